"""Fair shares and planned returns together: take-over, registration, shares, limits."""

from collections import Counter
from dataclasses import replace

import pytest

from hibiscusstep.routing import messages as m
from hibiscusstep.routing.dispatch_plan import DispatchPlan, PlannedPool, PlannedTarget
from hibiscusstep.routing.fair_shares import FairShares
from hibiscusstep.routing.return_plan import Arrival, Attempt, ReturnPlan
from hibiscusstep.routing.slot_dispatcher import SlotDispatcher

RATE = 100.0


def _plan(slots, *, contended=True, weights=None):
    targets = {f"t{n}": PlannedTarget(count) for n, count in enumerate(slots)}
    pool = PlannedPool(
        True,
        targets=targets,
        fair_shares=contended,
        planned_returns=contended,
        customer_weights=weights or {},
    )
    return DispatchPlan({"p": pool})


def _dispatcher(slots, **options):
    dispatcher = SlotDispatcher("p", _plan(slots, **options))
    dispatcher.handle(m.Recovered(), 0.0)
    return dispatcher


def _work(ask, now, identity=0, customer="c", objective=1.0, prompt=500, request=""):
    return m.Work(
        ask, request or f"request {ask}", "i", customer, "0", 0, prompt, 100,
        now + objective / 4, now, first_token_due=now + objective,
        answer_due=now + 12.0, identity=identity,
    )  # fmt: skip


def _ask(dispatcher, work, now):
    return dispatcher.handle(m.RequestGrant(work), now)


def _refused(dispatcher, work, now):
    """Ask, and return the refusal and when it came."""
    decisions = _ask(dispatcher, work, now)
    while not any(isinstance(decision, m.Refuse) for decision in decisions):
        now += 0.05
        decisions = dispatcher.handle(m.TimePassed(), now)
    return decisions[0], now


class TestNewDispatcher:
    """A new dispatcher must not take the capacity for spare before it knows the load.

    It booked places for nearly all callers that it refused, and their returns took the
    slots of half a second of first attempts.
    """

    def test_the_demand_of_its_first_moments_is_not_underestimated(self):
        plan = ReturnPlan()
        plan.begin(10.0)
        plan.record_demand(0.3 * 2 * RATE, 10.0)
        assert plan.demand(10.0) == pytest.approx(2 * RATE, rel=0.2)

    def test_it_books_few_places_in_an_overload(self):
        plan = ReturnPlan()
        plan.begin(10.0)
        plan.record_demand(0.3 * 2 * RATE, 10.0)
        for identity in range(1, 200):
            arrival = Arrival(_work(f"a{identity}", 10.0, identity), Attempt.FIRST)
            plan.refuse(arrival, 1.0, 10.0, RATE)
        assert plan.counts.booked <= 0.1 * RATE * 4

    def test_grants_at_the_recovery_do_not_raise_the_service_rate(self):
        dispatcher = SlotDispatcher("p", _plan([6] * 4))
        for n in range(60):
            dispatcher.handle(m.RequestGrant(_work(f"a{n}", 0.0, n + 1)), 0.0)
        dispatcher.handle(m.Recovered(), 0.05)
        assert dispatcher._return_plan._busy_service.ratio(100.0) <= 1.0


class TestRegistration:
    """What an instance registers again was decided and charged before."""

    def test_a_caller_in_its_place_keeps_it(self):
        """It was refused, in its last attempt, at the time that it had been told."""
        dispatcher = _dispatcher([2])
        busy = [_work(f"busy{n}", 0.0) for n in range(2)]
        for work in busy:
            _ask(dispatcher, work, 0.0)
        refusal, now = _refused(dispatcher, _work("a", 0.01, 7), 0.01)
        returns_at = now + refusal.place_s
        returned = _work("b", returns_at, 7)
        assert _ask(dispatcher, returned, returns_at) == []
        now = returns_at + 0.05
        dispatcher.handle(m.InstanceGone("i"), now)
        for work in busy:
            dispatcher.handle(m.AdoptRunning(work, "t0"), now)
        assert _ask(dispatcher, replace(returned, ask="c"), now) == []
        assert dispatcher.is_undecided("c")

    def test_running_requests_are_charged_once(self):
        dispatcher = _dispatcher([6] * 10)
        requests = [_work(f"a{n}", 0.1, customer=f"c{n % 2}") for n in range(40)]
        for work in requests:
            _ask(dispatcher, work, 0.1)
        before = dispatcher._shares.granted_share(0, "c0")
        granted = dispatcher._shares._ranks[0].granted
        for _ in range(3):
            dispatcher.handle(m.InstanceGone("i"), 0.2)
            for work in requests:
                dispatcher.handle(m.AdoptRunning(work, "t0"), 0.2)
        assert dispatcher._shares._ranks[0].granted == pytest.approx(granted)
        assert dispatcher._shares.granted_share(0, "c0") == pytest.approx(before)


class TestReturnWithoutAPlace:
    def test_it_gets_a_slow_free_slot_rather_than_a_refusal(self):
        """A caller was refused its last attempt while a slot was free."""
        dispatcher = _dispatcher([2, 1])
        speeds = m.LearnedEstimates({"t0": 1.0, "t1": 2.5})
        dispatcher.handle(speeds, 0.0)
        for n in range(3):
            _ask(dispatcher, _work(f"busy{n}", 0.0), 0.0)
        refusal, now = _refused(
            dispatcher, _work("a", 0.01, 7, objective=0.3, prompt=6670), 0.01
        )
        now += refusal.place_s + 1.2 if refusal.place_s else refusal.retry_after
        for ask, name in list(dispatcher._target_by_ask.items()):
            if name == "t1":
                done = m.Finished(ask, m.GrantOutcome.DONE, 0, 0.3)
                dispatcher.handle(done, now - 0.005)
        returned = _work("b", now, 7, objective=0.3, prompt=6670)
        assert [type(d) for d in _ask(dispatcher, returned, now)] == [m.Grant]

    def test_one_refused_without_any_target_counts_as_new(self):
        """Nobody could be served then, and it was not told a time with room."""
        dispatcher = _dispatcher([])
        assert isinstance(_ask(dispatcher, _work("a", 0.0, 7), 0.0)[0], m.Refuse)
        dispatcher.handle(m.Configure(_plan([1])), 0.3)
        _ask(dispatcher, _work("busy", 2.0), 2.0)
        assert _ask(dispatcher, _work("b", 2.0, 7), 2.0) == []
        assert dispatcher.is_undecided("b")


class TestOverloadOfAll:
    """If all customers send more than usual, none of them floods the others."""

    def _shares(self, asked_by_customer):
        shares = FairShares()
        for customer, count in asked_by_customer.items():
            for n in range(count):
                shares.record_request(0, customer, 1.0, n / count)
        for n in range(20):
            for customer in asked_by_customer:
                shares.record_grant(0, customer, 1.0, n / 20)
        return shares

    def test_places_are_not_denied_to_all(self):
        shares = self._shares(dict.fromkeys("abcd", 100))
        assert not any(shares.is_above_share(0, name) for name in "abcd")

    def test_nobody_waits_as_if_its_turn_were_near(self):
        shares = self._shares(dict.fromkeys("abcd", 100))
        assert not any(shares.asks_within_share(0, name) for name in "abcd")

    def test_one_that_floods_is_told_from_the_others(self):
        shares = self._shares({"a": 200, "b": 15, "c": 15, "d": 15})
        assert shares.is_above_share(0, "a") and not shares.asks_within_share(0, "a")
        assert not shares.is_above_share(0, "b") and shares.asks_within_share(0, "b")


class TestConfiguration:
    def test_places_follow_changed_weights(self):
        """The weights of the first refusals stayed in force for the places."""
        dispatcher = _dispatcher([1], weights={"a": 1.0, "b": 1.0})
        _ask(dispatcher, _work("busy", 0.0, customer="a"), 0.0)
        _refused(dispatcher, _work("a", 0.01, 7, customer="a"), 0.01)
        plan = _plan([1], weights={"a": 3.0, "b": 1.0})
        dispatcher.handle(m.Configure(plan), 0.5)
        assert dispatcher._return_plan._weights == {"a": 3.0}

    def test_nothing_of_queued_returns_stays_when_the_plan_ends(self):
        dispatcher = _dispatcher([2])
        for n in range(2):
            _ask(dispatcher, _work(f"busy{n}", 0.0), 0.0)
        refusal, now = _refused(dispatcher, _work("a", 0.01, 7), 0.01)
        now += refusal.place_s
        _ask(dispatcher, _work("b", now, 7), now)
        dispatcher.handle(m.Configure(_plan([2], contended=False)), now)
        decisions = Counter()
        for step in range(40):
            tick = dispatcher.handle(m.TimePassed(), now + 0.05 * step)
            decisions.update(type(decision) for decision in tick)
        assert not dispatcher._attempts and decisions[m.Refuse] == 1
