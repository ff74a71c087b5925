"""The retry budget of all instances together, also over restarts."""

import pytest

from hibiscusstep.forwarding.bounds import Bounds
from hibiscusstep.forwarding.reachability import Reachability
from hibiscusstep.forwarding.windowed_retry_budget import WindowedRetryBudget
from hibiscusstep.membership.view import View

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
        Fleet.play(self, 30.0, failing=False)
        self.requests.clear()

    def start(self, number):
        budget = WindowedRetryBudget(BOUNDS, self.now, lambda: self.now)
        # A new instance takes the number of instances from the list.
        budget.set_instances(INSTANCES, self.now)
        self.budgets[number] = budget

    def play(self, seconds, failing=True):
        for _ in range(round(seconds * 10)):
            for number in range(self.requests_per_step):
                budget = list(self.budgets.values())[number % len(self.budgets)]
                budget.record_request("p", self.now)
                self.requests.append(self.now)
                while failing and budget.try_acquire("p", self.now):
                    budget.record_sent("p", self.now)
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


DETECTION_S = 1.5


class ChangingFleet(Fleet):
    """A fleet whose instances are lost, stopped or cut from each other.

    Each of the others knows of a change after `DETECTION_S`.
    """

    def __init__(self, requests_per_s):
        super().__init__(requests_per_s)
        self.stopped = {}
        self.changes = []

    def later(self, change):
        self.changes.append((self.now + DETECTION_S, change))

    def play(self, seconds, failing=True):
        for _ in range(round(seconds * 10)):
            while self.changes and self.changes[0][0] <= self.now:
                self.changes.pop(0)[1]()
            self.rotate()
            super().play(0.1, failing)

    def rotate(self):
        """Have other instances receive the next requests."""
        for number in list(self.budgets)[: self.requests_per_step]:
            self.budgets[number] = self.budgets.pop(number)

    def set_count(self, budgets, count, unreachable=0):
        reachability = Reachability(0.0)
        view = View(dict.fromkeys(map(str, range(count))), unreachable=unreachable)
        reachability.apply_view(view, self.now)
        for budget in budgets:
            budget.set_instances(reachability.sharing_count(self.now), self.now)

    def lose(self, count):
        """Lose instances for good, as with a kill: their connections are refused."""
        for number in range(count):
            del self.budgets[number]
        left = list(self.budgets.values())
        self.later(lambda: self.set_count(left, len(left)))

    def stop(self, count, unreachable):
        """Stop instances, as with SIGSTOP or a cut of power."""
        for number in range(count):
            self.stopped[number] = self.budgets.pop(number)
        left = list(self.budgets.values())
        lost = count if unreachable else 0
        self.later(lambda: self.set_count(left, len(left), lost))

    def wake(self):
        self.budgets |= self.stopped
        everyone = list(self.budgets.values())
        self.later(lambda: self.set_count(everyone, len(everyone)))

    def partition(self, count):
        """Cut some instances from the others; callers reach all of them."""
        budgets = list(self.budgets.values())
        parts = budgets[:count], budgets[count:]
        for part, other in (parts, parts[::-1]):
            self.later(
                lambda part=part, other=other: self.set_count(
                    part, len(part), len(other)
                )
            )


@pytest.mark.parametrize("requests_per_s", [10, 40])
class TestLostInstances:
    """Guards against parts that grow while what lost instances used still counts."""

    @pytest.mark.parametrize("failing_s", [0.5, 5.0])
    @pytest.mark.parametrize("count", [1, 2, 4, 5])
    def test_for_good(self, requests_per_s, count, failing_s):
        fleet = ChangingFleet(requests_per_s)
        fleet.play(12.0, failing=False)
        fleet.play(failing_s)
        fleet.lose(count)
        fleet.play(40.0)
        assert fleet.excess() <= 0

    def test_one_after_the_other(self, requests_per_s):
        fleet = ChangingFleet(requests_per_s)
        fleet.play(12.0, failing=False)
        for _ in range(INSTANCES - 1):
            fleet.play(3.0)
            fleet.budgets = dict(enumerate(fleet.budgets.values()))
            fleet.lose(1)
        fleet.play(30.0)
        assert fleet.excess() <= 0

    @pytest.mark.parametrize("unreachable", [True, False])
    @pytest.mark.parametrize("stopped_s", [3.0, 8.0, 14.0, 30.0])
    def test_stopped_and_woken(self, requests_per_s, stopped_s, unreachable):
        fleet = ChangingFleet(requests_per_s)
        fleet.play(12.0, failing=False)
        fleet.play(1.0)
        fleet.stop(4, unreachable)
        fleet.play(stopped_s)
        fleet.wake()
        fleet.play(30.0)
        assert fleet.excess() <= 0

    @pytest.mark.parametrize("count", [1, 3])
    def test_cut_from_each_other(self, requests_per_s, count):
        fleet = ChangingFleet(requests_per_s)
        fleet.play(12.0, failing=False)
        fleet.partition(count)
        fleet.play(30.0)
        assert fleet.excess() <= 0

    @pytest.mark.parametrize("pause_s", [1.0, 2.2])
    def test_restarts_of_all_in_series(self, requests_per_s, pause_s):
        fleet = ChangingFleet(requests_per_s)
        fleet.play(12.0, failing=False)
        fleet.play(5.0)
        for _ in range(8):
            for number in range(INSTANCES):
                fleet.start(number)
            fleet.play(pause_s)
        fleet.play(22.0)
        assert fleet.excess() <= 0


class TestLateRetries:
    """Guards against retries that wait and arrive with those of the next window."""

    def test_arrive_within_the_limit(self):
        fleet = Fleet(40)
        fleet.play(12.0, failing=False)
        budgets = list(fleet.budgets.values())
        sent = []
        for _ in range(120):
            fleet.play(0.1, failing=False)
            sent += [b for b in budgets if b.try_acquire("p", fleet.now)]
        for budget in sent:
            budget.record_sent("p", fleet.now)
            fleet.retries.append(fleet.now)
        fleet.play(12.0, failing=False)
        assert fleet.excess() <= 0

    def test_count_no_more_once_given_back(self):
        fleet = Fleet(40)
        budget = fleet.budgets[0]
        before = budget.remaining("p", fleet.now)
        assert budget.try_acquire("p", fleet.now)
        assert budget.remaining("p", fleet.now) == before - 1
        budget.release("p")
        assert budget.remaining("p", fleet.now) == before


class TestFirstStart:
    def test_has_a_part_at_once(self):
        """Guards against failed requests that are not retried in the first seconds."""
        budget = WindowedRetryBudget(BOUNDS, 0.0, lambda: 0.0, is_first_start=True)
        budget.set_instances(INSTANCES, 0.0)
        budget.record_request("p", 0.0)
        assert budget.try_acquire("p", 0.0)
        later = WindowedRetryBudget(BOUNDS, 0.0, lambda: 0.0)
        later.record_request("p", 0.0)
        assert not later.try_acquire("p", 0.0)
