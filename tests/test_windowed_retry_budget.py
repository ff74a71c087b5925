"""The retry budget of all instances together, also over restarts."""

import pytest

from hibiscusstep.forwarding.bounds import Bounds
from hibiscusstep.forwarding.windowed_retry_budget import WindowedRetryBudget

BOUNDS = Bounds(retry_share=0.2, retry_reserve=50.0, retry_window=10.0)
INSTANCES = 6


class Fleet:
    """Retry budgets of instances that use them up, on a simulated clock."""

    def __init__(self, requests_per_s):
        self.requests_per_step = requests_per_s // 10
        self.now = 100.0
        self.budgets = {}
        self.requests = []
        self.retries = []
        for number in range(INSTANCES):
            self.start(number)
        self.now += 30.0

    def start(self, number):
        budget = WindowedRetryBudget(BOUNDS, self.now)
        # A new instance takes the number of instances from the list.
        budget.instances = INSTANCES
        self.budgets[number] = budget

    def play(self, seconds, failing=True):
        for _ in range(round(seconds * 10)):
            for number in range(self.requests_per_step):
                budget = list(self.budgets.values())[number % len(self.budgets)]
                budget.record_request("p", self.now)
                self.requests.append(self.now)
                while failing and budget.try_acquire("p", self.now):
                    self.retries.append(self.now)
            self.now += 0.1

    def excess(self):
        """Return by how many retries the worst whole window exceeds the limit."""
        window = BOUNDS.retry_window

        def count(times, start):
            return sum(start <= at < start + window for at in times)

        return max(
            count(self.retries, start)
            - BOUNDS.retry_share * count(self.requests, start)
            - BOUNDS.retry_reserve
            for start in self.retries
            if start + window <= self.now
        )


@pytest.mark.parametrize("requests_per_s", [10, 40])
class TestAllInstancesTogether:
    def test_stay_within_the_limit(self, requests_per_s):
        fleet = Fleet(requests_per_s)
        fleet.play(30.0)
        assert fleet.excess() <= 0
        assert len(fleet.retries) > 0.7 * BOUNDS.retry_share * len(fleet.requests)

    def test_full_restart(self, requests_per_s):
        """Retries before the restart count but are not known after it."""
        fleet = Fleet(requests_per_s)
        fleet.play(12.0, failing=False)
        fleet.play(1.0)
        for number in range(INSTANCES):
            fleet.start(number)
        fleet.play(22.0)
        assert fleet.excess() <= 0

    @pytest.mark.parametrize("pause_s", [1.0, 2.0])
    def test_rolling_restart(self, requests_per_s, pause_s):
        fleet = Fleet(requests_per_s)
        fleet.play(12.0, failing=False)
        fleet.play(1.0)
        for number in range(2 * INSTANCES):
            fleet.start(number % INSTANCES)
            fleet.play(pause_s)
        fleet.play(22.0)
        assert fleet.excess() <= 0
