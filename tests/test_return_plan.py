"""Tests of hibiscusstep.routing.return_plan: bins, spread, bounds and attempts."""

import math
import random
from dataclasses import replace

import pytest

from hibiscusstep.routing import messages as m
from hibiscusstep.routing import return_plan
from hibiscusstep.routing.return_plan import (
    BIN_S,
    MEMORY_S,
    MIN_PLACE_SHARE,
    UNBOOKED_SPREAD_S,
    Arrival,
    Attempt,
    ReturnPlan,
)

RATE = 100.0


def _work(identity, now=0.0, customer="c", left=12.0, request="", **options):
    name = request or f"r{identity}.{now}"
    return m.Work(
        name, name, "i", customer, "0", 0, 500, 100, now + 1.0, now,
        first_token_due=now + 0.8, answer_due=now + left, identity=identity, **options,
    )  # fmt: skip


def _refuse(plan, identity, now=0.0, seconds=1.0, rate=RATE, only_spare=False, **work):
    arrival = Arrival(_work(identity, now, **work), Attempt.FIRST)
    return plan.refuse(arrival, seconds, now, rate, only_spare=only_spare)


def _overloaded(**options):
    """Return a plan whose recent demand is twice the capacity."""
    plan = ReturnPlan(**options)
    plan.record_demand(2 * RATE, 0.0)
    return plan


class TestBins:
    """Overbooked bins would make callers return together and be refused again."""

    @pytest.mark.parametrize("seconds", [0.05, 1.0, 7.0])
    @pytest.mark.parametrize("demand", [0.0, 60.0, 200.0])
    def test_no_bin_gets_more_than_its_spare_capacity(self, seconds, demand):
        plan = ReturnPlan()
        plan.record_demand(demand, 0.0)
        for identity in range(1, 8000):
            _refuse(plan, identity, seconds=seconds)
        spare = max(RATE - demand, MIN_PLACE_SHARE * RATE)
        assert max(plan._booked.values()) <= spare * BIN_S + 1e-9
        # All of it is used within the horizon, but for a part of one request.
        booked = plan.counts.booked * seconds
        assert booked <= spare * 4.0
        assert booked >= spare * (4.0 - 3 * BIN_S) - seconds

    def test_the_earliest_time_with_room_is_named(self):
        plan = _overloaded()
        times = [_refuse(plan, identity).retry_after for identity in range(1, 15)]
        assert times[0] < 0.5
        starts = [math.floor(time / BIN_S) for time in times]
        assert starts == sorted(starts)

    def test_a_request_larger_than_a_bin_takes_several(self):
        """Otherwise a pool with few slots would book nothing."""
        plan = ReturnPlan()
        plan.record_demand(40.0, 0.0)
        named = _refuse(plan, 1, seconds=1.0, rate=24.0)
        # Nine bins of 0.12 s of service, from the second one on.
        assert 1.0 <= named.place_s < 1.1

    def test_recent_demand_decays_after_a_burst(self):
        plan = _overloaded()
        for identity in range(1, 100):
            _refuse(plan, identity)
        full = plan.counts.booked
        for identity in range(100, 400):
            _refuse(plan, identity, now=4.0)
        assert full < 25 and plan.counts.booked - full > 200

    @pytest.mark.parametrize("factor", [0.3, 3.0])
    def test_wrong_service_estimates_are_corrected_in_a_busy_pool(self, factor):
        """With too short estimates, more places were booked than the pool could serve.

        The pool serves 100 s of estimated service a second, the estimate is `factor`.
        """
        plan = ReturnPlan()
        for n in range(1, 801):
            now = 0.01 * n
            plan.record_demand(1.5, now)
            work = _work(10_000 + n, now)
            plan.record_grant(work, 1.0, now, RATE / factor, is_busy=True)
        for identity in range(1, 1000):
            _refuse(plan, identity, now=8.0, rate=RATE / factor)
        expected = MIN_PLACE_SHARE * RATE * 4.0
        assert 0.7 * expected < plan.counts.booked < 1.3 * expected


class TestHorizon:
    """Callers honour a delay up to a third of the time that they have left."""

    @pytest.mark.parametrize("left", [1.1, 2.6, 12.0, 60.0])
    def test_places_are_within_it(self, left):
        plan = _overloaded()
        named = [_refuse(plan, identity, left=left) for identity in range(1, 200)]
        booked = [n.place_s for n in named if n.place_s]
        horizon = min(left / 3, return_plan.MAX_HORIZON_S)
        assert booked or left < 2
        assert all(0 < place_s <= horizon for place_s in booked)

    def test_without_room_a_time_after_it_is_named_and_nothing_booked(self):
        plan = _overloaded()
        named = [_refuse(plan, identity) for identity in range(1, 200)]
        rest = [n for n in named if not n.place_s]
        assert len(rest) > 100 and all(n.retry_after >= 4.0 for n in rest)
        assert all(n.place_seconds == 0 for n in rest)
        assert plan.counts.booked == len(named) - len(rest)

    def test_a_request_without_identity_gets_no_place(self):
        plan = ReturnPlan()
        named = _refuse(plan, 0)
        assert named.place_s == 0 and named.retry_after >= 4.0
        assert plan.known == 0

    def test_no_time_before_the_targets_accept_requests(self):
        plan = ReturnPlan()
        arrival = Arrival(_work(1), Attempt.FIRST)
        named = plan.refuse(arrival, 1.0, 0.0, RATE, start_delay=2.0)
        assert named.place_s >= 2.0
        arrival = Arrival(_work(2), Attempt.FIRST)
        named = plan.refuse(arrival, 1.0, 0.0, RATE, start_delay=30.0)
        assert not named.place_s and named.retry_after >= 30.0

    def test_a_pool_without_capacity_books_nothing(self):
        assert not _refuse(ReturnPlan(), 1, rate=0.0).place_s


class TestSpread:
    """All refusals gave 2.00 s, so that all refused callers returned together."""

    def test_of_callers_without_a_place(self):
        plan = ReturnPlan()
        delays = [_refuse(plan, 0).retry_after - 4.0 for _ in range(1000)]
        counts = [0] * 20
        for delay in delays:
            counts[min(19, int(20 * delay / UNBOOKED_SPREAD_S))] += 1
        assert max(counts) <= 60 and min(counts) >= 40

    def test_of_places_within_a_bin(self):
        plan = ReturnPlan()
        named = [_refuse(plan, identity, seconds=0.1) for identity in range(1, 400)]
        times = [n.place_s for n in named]
        most = max(sum(a <= b < a + 0.02 for b in times) for a in times)
        assert most <= 0.02 / BIN_S * (BIN_S * RATE / 0.1) * 1.4


class TestAttempts:
    """When a caller with a place returns."""

    def _plan(self):
        plan = _overloaded()
        return plan, _refuse(plan, 7).place_s

    @pytest.mark.parametrize(
        ("delay", "attempt"),
        [
            (-0.12, Attempt.EARLY),
            (-0.08, Attempt.IN_PLACE),
            (0.98, Attempt.IN_PLACE),
            (1.02, Attempt.RETURNED),
        ],
    )
    def test_by_the_time_of_receipt(self, delay, attempt):
        plan, place_s = self._plan()
        now = place_s + delay
        arrival = plan.admit(_work(7, now), now)
        assert arrival.attempt is attempt

    def test_a_late_decision_about_a_timely_return(self):
        """It waited at its instance until a new dispatcher was there."""
        plan, place_s = self._plan()
        now = place_s + 0.9
        work = _work(7, now)
        assert plan.admit(work, now).attempt is Attempt.IN_PLACE

    def test_is_due_one_objective_after_the_return(self):
        """Callers that send the due time of their first attempt would be late."""
        plan, place_s = self._plan()
        from_first = replace(_work(7, place_s), first_token_due=0.8)
        due = plan.admit(from_first, place_s).work.first_token_due
        assert due == pytest.approx(place_s + 0.8)

    def test_an_unknown_caller_is_at_its_first_attempt(self):
        plan, _place_s = self._plan()
        assert plan.admit(_work(8), 0.0).attempt is Attempt.FIRST
        assert plan.admit(_work(0), 0.0).attempt is Attempt.FIRST

    def test_a_place_is_used_once(self):
        plan, place_s = self._plan()
        first, second = (_work(7, place_s, request=name) for name in ("a", "b"))
        assert plan.admit(first, place_s).attempt is Attempt.IN_PLACE
        assert plan.admit(second, place_s).attempt is Attempt.RETURNED
        assert plan.counts.used == 1 and plan.counts.open == 0

    def test_a_granted_request_asks_again_after_its_target_failed(self):
        """It was accepted: it must not be refused like a caller without a place."""
        plan, place_s = self._plan()
        work = _work(7, place_s, request="a")
        plan.admit(work, place_s)
        assert plan.record_grant(work, 1.0, place_s, RATE, is_busy=True)
        again = plan.admit(_work(7, place_s + 0.3, request="a"), place_s + 0.3)
        assert again.attempt is Attempt.IN_PLACE

    def test_the_same_after_a_return_without_a_place(self):
        plan = _overloaded()
        _refuse(plan, 7, only_spare=True)
        work = _work(7, 3.0, request="a")
        assert plan.admit(work, 3.0).attempt is Attempt.RETURNED
        assert not plan.record_grant(work, 1.0, 3.0, RATE, is_busy=True)
        again = plan.admit(_work(7, 3.5, request="a"), 3.5)
        assert again.attempt is Attempt.FIRST

    def test_an_early_caller_is_told_the_same_time(self):
        plan, place_s = self._plan()
        arrival = plan.admit(_work(7, 0.05), 0.05)
        named = plan.refuse(arrival, 1.0, 0.05, RATE)
        assert named.place_s == pytest.approx(place_s - 0.05)
        assert plan.counts.booked == 1

    def test_only_the_first_refusal_books_a_place(self):
        """Otherwise callers that repeat at once would get a place sooner or later."""
        plan = _overloaded()
        assert not _refuse(plan, 7, only_spare=True).place_s
        for n in range(1, 100):
            now = 0.05 * n
            arrival = plan.admit(_work(7, now), now)
            assert arrival.attempt is Attempt.RETURNED
            assert not plan.refuse(arrival, 1.0, now, RATE).place_s

    def test_an_early_grant_frees_the_bins(self):
        plan, _place_s = self._plan()
        booked = sum(plan._booked.values())
        work = _work(7, 0.05)
        assert plan.record_grant(work, 1.0, 0.05, RATE, is_busy=False)
        assert booked == pytest.approx(1.0)
        assert sum(plan._booked.values()) == pytest.approx(0.0)
        assert plan.counts.open == 0


class TestShares:
    """Places of customers above their share, and of several customers."""

    def test_above_its_share_only_from_spare_capacity(self):
        plan = _overloaded(is_above_share=lambda _rank, customer: customer == "large")
        assert not _refuse(plan, 1, customer="large").place_s
        assert _refuse(plan, 2, customer="small").place_s
        plan = ReturnPlan(is_above_share=lambda _rank, _customer: True)
        plan.record_demand(50.0, 0.0)
        assert _refuse(plan, 1).place_s

    def test_a_request_that_is_late_anyway_only_from_spare_capacity(self):
        """It would displace a new request that can be in time, and be late itself."""
        assert not _refuse(_overloaded(), 1, only_spare=True).place_s

    def test_by_weight(self):
        weights = {"a": 3.0, "b": 1.0, "c": 1.0}
        plan = ReturnPlan(weight=weights.get)
        rng = random.Random(1)
        places = dict.fromkeys(weights, 0)
        for n in range(1, 6000):
            now = 0.005 * n
            plan.record_demand(1.0, now)
            # The lightest customer asks for most.
            customer = rng.choices(["a", "b", "c"], [0.2, 0.2, 0.6])[0]
            named = _refuse(plan, n, now=now, customer=customer)
            if now > 8.0:
                places[customer] += named.place_s > 0
        total = sum(places.values())
        assert places["a"] / total == pytest.approx(0.6, abs=0.08)
        assert places["c"] / total == pytest.approx(0.2, abs=0.08)

    def test_one_customer_alone_gets_all(self):
        plan = _overloaded(weight=lambda _customer: 0.01)
        for identity in range(1, 200):
            _refuse(plan, identity)
        assert plan.counts.booked >= 17


class TestBounds:
    """The plan must not grow with the length of an overload."""

    def test_places_expire(self):
        plan = _overloaded()
        _refuse(plan, 7)
        plan.import_places([], 2.0)
        assert plan.counts.expired == 1 and plan.counts.open == 0
        assert plan.admit(_work(7, 2.0), 2.0).attempt is Attempt.RETURNED

    def test_callers_are_forgotten(self):
        plan = _overloaded()
        _refuse(plan, 7)
        now = MEMORY_S + 0.1
        assert plan.admit(_work(7, now), now).attempt is Attempt.FIRST
        assert plan.known == 0 and not plan._booked
        assert not plan._refused_by_customer and not plan._weights
        assert not plan._booked_by_customer and not plan._place_ends

    def test_their_number_is_bounded(self, monkeypatch):
        monkeypatch.setattr(return_plan, "MAX_KNOWN", 50)
        plan = ReturnPlan()
        for identity in range(1, 500):
            _refuse(plan, identity, seconds=0.1)
            assert plan.known <= 50 and plan.counts.open <= 50
        assert plan.counts.booked == plan.counts.open + plan.counts.expired
        assert sum(plan._booked.values()) == pytest.approx(0.1 * plan.counts.open)

    def test_past_bins_are_dropped(self):
        plan = ReturnPlan()
        for n in range(1, 2000):
            plan.record_demand(2.0, 0.01 * n)
            _refuse(plan, n, now=0.01 * n)
        assert len(plan._booked) <= return_plan.MAX_HORIZON_S / BIN_S + 1


class TestImport:
    """A new dispatcher gets the places that the instances know."""

    def _place(self, identity=7, starts_at=1.0, used=False):
        return m.KnownPlace(identity, "c", 0, 1.0, starts_at, used)

    def test_a_place_is_kept(self):
        plan = ReturnPlan()
        plan.import_places([self._place()], 0.5)
        assert plan.counts.open == 1 and sum(plan._booked.values()) == 1.0
        assert plan.admit(_work(7, 0.7), 0.7).attempt is Attempt.EARLY
        arrival = plan.admit(_work(7, 1.2), 1.2)
        assert arrival.attempt is Attempt.IN_PLACE
        assert arrival.work.first_token_due == pytest.approx(2.0)

    @pytest.mark.parametrize("used_first", [False, True])
    def test_a_used_place_beats_an_unused_one(self, used_first):
        plan = ReturnPlan()
        places = [self._place(used=used) for used in (used_first, not used_first)]
        for place in places:
            plan.import_places([place], 1.2)
        assert plan.admit(_work(7, 1.3), 1.3).attempt is Attempt.RETURNED
        assert plan.counts.open == 0

    def test_the_same_place_from_two_instances_is_booked_once(self):
        plan = ReturnPlan()
        plan.import_places([self._place(), self._place()], 0.5)
        assert sum(plan._booked.values()) == 1.0 and plan.counts.open == 1

    def test_past_places_and_unknown_identities_are_ignored(self):
        plan = ReturnPlan()
        plan.import_places([self._place(starts_at=-1.5), self._place(identity=0)], 0.0)
        assert plan.known == 0
