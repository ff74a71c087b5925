"""hibiscusstep.forwarding.retries: repeats of all instances, over restarts too."""

import pytest

from hibiscusstep.forwarding.bounds import Bounds
from hibiscusstep.forwarding.retries import WindowedRetryBudget

BOUNDS = Bounds(retry_share=0.2, retry_reserve=50.0, retry_window=10.0)
INSTANCES = 6


class Fleet:
    """Budgets of instances that make all repeats they may, on a clock of its own."""

    def __init__(self, requests_per_s):
        self.requests_a_step = requests_per_s // 10
        self.now = 100.0
        self.budgets = {}
        self.requests = []
        self.repeats = []
        for number in range(INSTANCES):
            self.start(number)
        self.now += 30.0

    def start(self, number):
        budget = WindowedRetryBudget(BOUNDS, self.now)
        # An instance that has just started has met nobody and knows only a list.
        budget.instances = INSTANCES
        self.budgets[number] = budget

    def play(self, seconds, failing=True):
        for _ in range(round(seconds * 10)):
            for number in range(self.requests_a_step):
                budget = list(self.budgets.values())[number % len(self.budgets)]
                budget.first_try("p", self.now)
                self.requests.append(self.now)
                while failing and budget.take("p", self.now):
                    self.repeats.append(self.now)
            self.now += 0.1

    def excess(self):
        """Return by how much repeats of a whole window exceed what all may make."""
        window = BOUNDS.retry_window

        def count(moments, start):
            return sum(start <= at < start + window for at in moments)

        return max(
            count(self.repeats, start)
            - BOUNDS.retry_share * count(self.requests, start)
            - BOUNDS.retry_reserve
            for start in self.repeats
            if start + window <= self.now
        )


@pytest.mark.parametrize("requests_per_s", [10, 40])
class TestAllInstancesTogether:
    def test_stay_within(self, requests_per_s):
        fleet = Fleet(requests_per_s)
        fleet.play(30.0)
        assert fleet.excess() <= 0
        assert len(fleet.repeats) > 0.7 * BOUNDS.retry_share * len(fleet.requests)

    def test_do_so_over_a_restart_of_all(self, requests_per_s):
        """The repeats before it count with those after it, and nobody knows them."""
        fleet = Fleet(requests_per_s)
        fleet.play(12.0, failing=False)
        fleet.play(1.0)
        for number in range(INSTANCES):
            fleet.start(number)
        fleet.play(22.0)
        assert fleet.excess() <= 0

    @pytest.mark.parametrize("pause_s", [1.0, 2.0])
    def test_and_while_one_after_the_other_restarts(self, requests_per_s, pause_s):
        fleet = Fleet(requests_per_s)
        fleet.play(12.0, failing=False)
        fleet.play(1.0)
        for number in range(2 * INSTANCES):
            fleet.start(number % INSTANCES)
            fleet.play(pause_s)
        fleet.play(22.0)
        assert fleet.excess() <= 0
