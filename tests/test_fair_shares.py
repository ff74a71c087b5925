"""Tests of hibiscusstep.routing.fair_shares and fair_queue: order of the customers."""

import itertools
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscusstep.routing import messages as m
from hibiscusstep.routing.fair_queue import MAX_CHECKED, FairSlotQueue
from hibiscusstep.routing.fair_shares import (
    ALLOWANCE_S,
    DECAY_TIME_S,
    SEEN_S,
    FairShares,
)
from hibiscusstep.routing.slot_queue import QueueClass

SECONDS = st.floats(0.05, 4.0)
WEIGHTS = {"a": 1.0, "b": 2.0, "c": 0.5}
CUSTOMER = st.sampled_from("abcd")


def _work(ask, customer="a", rank=0, received=0.0):
    return m.Work(ask, ask, "i", customer, str(rank), rank, 500, 100, 9.0, received)


class _Queue:
    """A queue whose first request is granted, one at a time or so many a second."""

    def __init__(self, weights=WEIGHTS, grants_per_s=math.inf):
        self.now, self._interval = 0.0, 1 / grants_per_s
        self.shares = FairShares(weights)
        self.queue = FairSlotQueue(self.shares)
        self.costs = {}
        self._numbers = itertools.count()

    def add(self, customer, seconds=1.0, rank=0, queue_class=QueueClass.ON_TIME):
        number = next(self._numbers)
        work = _work(f"{customer}{number}", customer, rank, float(number))
        self.costs[work.ask] = seconds
        if queue_class is not QueueClass.LATE:
            self.shares.record_request(rank, customer, seconds, self.now)
        self.queue.add(work, seconds, 9.0, queue_class)
        return work.ask

    def grant(self, position=0):
        work = self.queue[position]
        self.queue.remove(work.ask)
        self.now += self._interval
        cost = self.costs[work.ask]
        self.shares.record_grant(work.rank, work.customer, cost, self.now)
        return work.customer

    def order(self):
        return [work.ask for work in self.queue]


class TestOrder:
    """A customer with many requests must not delay those of the others."""

    def test_customers_alternate_whatever_they_queued(self):
        queue = _Queue({})
        for customer in "aaaaaabb":
            queue.add(customer)
        assert [queue.grant() for _ in range(8)] == list("abababaa"[:4]) + list("aaaa")

    def test_a_new_customer_is_first(self):
        queue = _Queue({})
        for _ in range(6):
            queue.add("a")
        queue.grant()
        queue.add("b")
        assert queue.grant() == "b"

    def test_a_customer_is_served_in_order_of_arrival(self):
        queue = _Queue({})
        asks = [queue.add("a") for _ in range(4)]
        assert queue.order() == asks

    def test_a_heavier_customer_is_granted_in_proportion(self):
        queue = _Queue({"a": 3.0, "b": 1.0})
        for customer in "ab" * 40:
            queue.add(customer)
        granted = [queue.grant() for _ in range(40)]
        assert granted.count("a") == 30

    def test_many_small_requests_get_the_seconds_of_a_few_large_ones(self):
        queue = _Queue({})
        for n in range(100):
            queue.add("small", 0.1)
            if n % 10 == 0:
                queue.add("large", 1.0)
        granted = [queue.grant() for _ in range(55)]
        assert granted.count("large") == pytest.approx(5, abs=1)

    @pytest.mark.parametrize("seconds", [10, 100])
    def test_an_idle_customer_saves_a_second_of_its_share_at_most(self, seconds):
        """A customer that comes back must not get all slots for the time before."""
        queue = _Queue({}, grants_per_s=10)
        queue.add("b")
        for _ in range(10 * seconds):
            queue.add("a")
            queue.add("a")
            queue.grant()
        for _ in range(40):
            queue.add("b")
        granted = [queue.grant() for _ in range(30)]
        saved = granted.count("b") - granted.count("a")
        assert 0 <= saved <= ALLOWANCE_S * 10 / 2 + 1

    def test_use_of_an_idle_pool_is_not_paid_for_later(self):
        """What nobody else asked for must not count against a customer."""
        queue = _Queue({})
        for _ in range(50):
            queue.add("a")
            queue.grant()
        for customer in "ab" * 5:
            queue.add(customer)
        assert [queue.grant() for _ in range(10)].count("a") == 5

    def test_grants_of_other_classes_are_charged(self):
        """Returning requests must not add to a customer's share."""
        queue = _Queue({})
        for _ in range(4):
            queue.add("a", queue_class=QueueClass.RETURNING)
        for customer in "abababab":
            queue.add(customer)
        assert [queue.grant() for _ in range(8)] == list("aaaabbbb")

    def test_ranks_are_separate(self):
        """Usage at one rank must not delay a customer at another."""
        queue = _Queue({})
        for _ in range(20):
            queue.add("a", rank=1)
            queue.grant()
        for customer in "ab":
            queue.add(customer, rank=2)
        assert queue.grant() == "a"

    def test_classes_and_ranks_come_before_customers(self):
        queue = _Queue({})
        late = queue.add("b", queue_class=QueueClass.LATE)
        low = queue.add("c", rank=1)
        in_time = queue.add("a")
        returning = queue.add("a", queue_class=QueueClass.RETURNING)
        assert queue.order() == [returning, in_time, late, low]
        assert queue.queue.first_of_rank(0).ask == returning
        assert queue.queue.first_of_rank(2) is None

    @given(
        st.lists(
            st.tuples(st.sampled_from(["add", "grant", "remove"]), CUSTOMER, SECONDS),
            max_size=60,
        )
    )
    def test_equals_repeated_choice_of_the_least_virtual_time(self, steps):
        """The lazily merged order must equal the plain definition of the order."""
        queue = _Queue()
        for action, customer, seconds in steps:
            if action == "add":
                queue.add(customer, seconds)
            elif not len(queue.queue):
                continue
            elif action == "grant":
                queue.grant()
            else:
                queue.queue.remove(queue.queue[len(queue.queue) // 2].ask)
        order = queue.order()
        assert [queue.queue[n].ask for n in range(len(queue.queue))] == order
        assert len(queue.queue) == len(order) == len(set(order))
        shares = queue.shares
        entries = {name: (t, n) for t, n, name in shares.customers(0)}
        left = {
            name: [
                ask for ask in sorted(order, key=lambda a: int(a[1:])) if ask[0] == name
            ]
            for name in entries
        }
        expected = []
        while any(left.values()):
            name = min((n for n in left if left[n]), key=entries.get)
            ask = left[name].pop(0)
            time, number = entries[name]
            entries[name] = time + queue.costs[ask] / shares.weight(name), number
            expected.append(ask)
        assert order == expected

    @given(st.lists(st.tuples(SECONDS, SECONDS), min_size=20, max_size=40))
    def test_backlogged_customers_get_service_by_weight(self, costs):
        """Their service per weight differs by one request of each at most."""
        queue = _Queue()
        for first, second in costs:
            queue.add("a", first)
            queue.add("b", second)
        served = {"a": 0.0, "b": 0.0}
        largest = {"a": max(f for f, _ in costs), "b": max(s for _, s in costs)}
        for _ in range(len(costs)):
            work = queue.queue[0]
            served[queue.grant()] += queue.costs[work.ask]
            difference = abs(served["a"] / WEIGHTS["a"] - served["b"] / WEIGHTS["b"])
            allowed = largest["a"] / WEIGHTS["a"] + largest["b"] / WEIGHTS["b"]
            assert difference <= allowed + 1e-9


class TestSecondsAhead:
    """Waits must be long for the customer with the longest backlog only."""

    def _ahead(self, queue, ask):
        return queue.queue.ahead_of(ask)

    def test_of_a_lone_customer_is_all_that_it_queued(self):
        queue = _Queue({})
        asks = [queue.add("a", 0.5) for _ in range(10)]
        count, seconds = self._ahead(queue, asks[-1])
        assert (count, seconds) == (9, pytest.approx(4.5))

    def test_of_another_customer_is_short(self):
        queue = _Queue({})
        for _ in range(50):
            queue.add("a")
        ask = queue.add("b")
        assert self._ahead(queue, ask)[1] <= 1.0

    def test_of_a_light_customer_is_short_too(self):
        """A customer of little weight that sends little must not be refused."""
        queue = _Queue({"a": 100.0, "b": 1.0})
        for _ in range(50):
            queue.add("a")
        assert self._ahead(queue, queue.add("b"))[1] <= 1.0

    def test_includes_ranks_and_classes_before(self):
        queue = _Queue({})
        for _ in range(3):
            queue.add("a", queue_class=QueueClass.RETURNING)
        ask = queue.add("a", rank=1)
        late = queue.add("a", queue_class=QueueClass.LATE)
        assert self._ahead(queue, ask) == (4, pytest.approx(4.0))
        assert self._ahead(queue, late) == (3, pytest.approx(3.0))
        assert queue.queue.position_in_rank(ask) == 0
        assert queue.queue.position_in_rank(late) == 3

    def test_grows_with_what_the_others_will_ask_for(self):
        """In a flood, later requests of the light customers are served first."""
        queue = _Queue({})
        for _ in range(10):
            queue.add("b")
            queue.grant()
        for _ in range(40):
            queue.add("a")
        for _ in range(10):
            queue.grant()
        waits = self._ahead(queue, queue.add("a"))[1]
        assert waits == pytest.approx(60.0)

    @given(st.lists(st.tuples(CUSTOMER, SECONDS), min_size=1, max_size=40))
    def test_is_near_the_work_before_it_in_the_order(self, added):
        """Each other customer's work differs by one of its requests at most."""
        shares = FairShares(WEIGHTS)
        queue = FairSlotQueue(shares)
        costs, largest = {}, dict.fromkeys("abcd", 0.0)
        for n, (customer, seconds) in enumerate(added):
            work = _work(f"{customer}{n}", customer, received=float(n))
            queue.add(work, seconds, 9.0, QueueClass.ON_TIME)
            costs[work.ask] = seconds
            largest[customer] = max(largest[customer], seconds)
        shares.configure(WEIGHTS)
        order = [work.ask for work in queue]
        for customer in {customer for customer, _seconds in added}:
            last = queue.last_of_tail((0, QueueClass.ON_TIME, customer)).ask
            before = sum(costs[ask] for ask in order[: order.index(last)])
            others = sum(largest.values()) - largest[customer]
            assert abs(queue.ahead_of(last)[1] - before) <= others + 1e-6


class TestTails:
    """Each customer's last request must be checked without a scan of all of them."""

    def test_only_the_asking_customer_with_a_request(self):
        queue = _Queue({})
        for n in range(100):
            queue.add(f"c{n}")
        asking = _work("x", "c7")
        assert queue.queue.tails(asking) == [(0, QueueClass.ON_TIME, "c7")]

    def test_all_customers_in_turn_with_the_ticks(self):
        queue = _Queue({})
        names = {f"c{n}" for n in range(3 * MAX_CHECKED)}
        for name in names:
            queue.add(name)
        ticks = [queue.queue.tails() for _ in range(3)]
        assert all(len(tails) == MAX_CHECKED for tails in ticks)
        assert {name for tails in ticks for *_, name in tails} == names


class TestRecentShares:
    """Returns of a customer above its share must not displace the others."""

    def _shares(self, asked, granted):
        shares = FairShares()
        for name, seconds in asked.items():
            shares.record_request(0, name, seconds, 1.0)
        for name, seconds in granted.items():
            shares.record_grant(0, name, seconds, 1.0)
        return shares

    def test_a_flooding_customer_is_above_its_share(self):
        shares = self._shares({"a": 50.0, "b": 5.0}, {"a": 10.0, "b": 5.0})
        assert shares.is_above_share(0, "a")
        assert not shares.is_above_share(0, "b")
        assert not shares.is_above_share(1, "a")
        assert not shares.is_above_share(0, "unknown")

    def test_nobody_is_while_all_get_what_they_ask_for(self):
        shares = self._shares({"a": 50.0, "b": 5.0}, {"a": 50.0, "b": 5.0})
        assert not shares.is_above_share(0, "a")

    def test_a_lone_customer_is_not(self):
        assert not self._shares({"a": 50.0}, {"a": 10.0}).is_above_share(0, "a")

    def test_is_forgotten(self):
        shares = self._shares({"a": 50.0, "b": 5.0}, {"a": 10.0, "b": 5.0})
        later = 1.0 + 6 * DECAY_TIME_S
        for _ in range(5):
            for name in "ab":
                shares.record_request(0, name, 1.0, later)
                shares.record_grant(0, name, 1.0, later)
        assert not shares.is_above_share(0, "a")

    def test_granted_share(self):
        shares = self._shares({}, {"a": 6.0, "b": 2.0})
        assert shares.granted_share(0, "a") == pytest.approx(0.75)
        assert shares.granted_share(0, "c") == shares.granted_share(1, "a") == 0.0

    def test_weight_share_counts_customers_seen_recently(self):
        shares = FairShares({"a": 3.0, "b": 1.0})
        assert shares.weight_share("a") == 1.0
        shares.record_request(0, "a", 1.0, 0.0)
        shares.record_request(0, "b", 1.0, 0.0)
        assert shares.weight_share("a") == pytest.approx(0.75)
        shares.record_request(0, "a", 1.0, 1.0 + SEEN_S)
        assert shares.weight_share("a") == pytest.approx(1.0)

    def test_a_customer_without_weight_has_the_mean(self):
        """With quota rates as weights, a weight of 1 would starve a new customer."""
        assert FairShares({"a": 5e4, "b": 1e4}).weight("new") == 3e4
        assert FairShares().weight("new") == 1.0

    @given(
        st.lists(
            st.tuples(CUSTOMER, SECONDS, st.floats(0.0, 60.0)), min_size=1, max_size=40
        )
    )
    def test_shares_add_up_over_any_time(self, grants):
        """Scaled amounts must neither overflow nor lose customers that are seen."""
        shares, now = FairShares(WEIGHTS), 0.0
        for customer, seconds, pause in grants:
            now += pause
            shares.record_request(0, customer, seconds, now)
            shares.record_grant(0, customer, seconds, now)
        assert sum(shares.granted_share(0, c) for c in "abcd") == pytest.approx(1.0)
        last = grants[-1][0]
        assert 0.0 < shares.weight_share(last) <= 1.0


class TestAdoptedRequests:
    """A new dispatcher must not give a customer a second full share."""

    @pytest.mark.parametrize("reported", ["aaab", "baaa"])
    def test_are_charged_in_any_order(self, reported):
        queue = _Queue({})
        for customer in reported:
            queue.shares.record_grant(0, customer, 1.0, 0.0, is_adopted=True)
        for customer in "ababab":
            queue.add(customer)
        assert [queue.grant() for _ in range(4)] == list("bbab")

    def test_do_not_starve_their_customer(self):
        """As soon as it is alone in the queue, the others catch up with it."""
        queue = _Queue({})
        for _ in range(50):
            queue.shares.record_grant(0, "a", 1.0, 0.0, is_adopted=True)
        for _ in range(12):
            queue.add("a")
        queue.grant()
        for _ in range(8):
            queue.add("b")
        assert [queue.grant() for _ in range(8)].count("a") == 4
