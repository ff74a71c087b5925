"""Tests of hibiscusstep.routing.grant_monitor: grants that never ended are found.

Slots of dead instances become free; no slot is granted twice.
"""

import heapq
import itertools
import random
from dataclasses import dataclass

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscusstep.dispatch_client import STALE_GRANT_S
from hibiscusstep.routing import messages as m
from hibiscusstep.routing.dispatch_plan import DispatchPlan, PlannedPool, PlannedTarget
from hibiscusstep.routing.grant_monitor import (
    ANSWER_TIMEOUT_S,
    INQUIRY_INTERVAL_S,
    GrantMonitor,
)
from hibiscusstep.routing.slot_dispatcher import SlotDispatcher
from hibiscusstep.routing.target_selector import MIN_OVERDUE_S

TICK_S = 0.05


def _run_checks(monitor, until, start=0.0):
    """Check at each tick; return when each instance was asked and each grant lost."""
    asked, lost = {}, {}
    now = start
    while now <= until:
        result = monitor.check(now)
        asked |= dict.fromkeys(result.instances, round(now, 2))
        for ask in result.lost:
            lost[ask] = round(now, 2)
            monitor.forget(ask)
        now += TICK_S
    return asked, lost


class TestGrantMonitor:
    def test_sends_no_inquiry_before_the_expected_end(self):
        monitor = GrantMonitor()
        monitor.register("a", "i", 2.0)
        assert _run_checks(monitor, 1.9) == ({}, {})
        assert monitor.overdue == 0

    def test_request_is_lost_without_an_answer(self):
        monitor = GrantMonitor()
        monitor.register("a", "i", 2.0)
        asked, lost = _run_checks(monitor, 4.0)
        assert asked == {"i": 2.0}
        assert lost == {"a": pytest.approx(2.0 + ANSWER_TIMEOUT_S, abs=TICK_S + 0.001)}
        assert monitor.grants_of_instance("i") == set()

    def test_confirmed_request_is_checked_again_later(self):
        monitor = GrantMonitor()
        monitor.register("a", "i", 2.0)
        _run_checks(monitor, 2.2)
        monitor.confirm_held(["a"], 2.2)
        assert monitor.overdue == 1
        asked, lost = _run_checks(monitor, 2.2 + INQUIRY_INTERVAL_S + 0.1, 2.25)
        assert asked == {"i": pytest.approx(2.2 + INQUIRY_INTERVAL_S, abs=0.051)}
        assert not lost

    def test_sends_no_inquiry_after_a_reported_end(self):
        monitor = GrantMonitor()
        monitor.register("a", "i", 2.0)
        monitor.forget("a")
        assert _run_checks(monitor, 4.0) == ({}, {})

    def test_waits_for_the_answer_after_a_pause_of_the_dispatcher(self):
        """The answer may be unread in its mailbox when the next check runs."""
        monitor = GrantMonitor()
        monitor.register("a", "i", 2.0)
        _run_checks(monitor, 2.1)
        assert monitor.check(5.0).lost == []
        monitor.confirm_held(["a"], 5.01)
        assert monitor.check(5.05).lost == []


def _dispatcher(slots, targets=2):
    pool = PlannedPool(
        False, targets={f"t{n}": PlannedTarget(slots) for n in range(targets)}
    )
    dispatcher = SlotDispatcher("p", DispatchPlan({"p": pool}))
    dispatcher.handle(m.Recovered(), 0.0)
    return dispatcher


def _ask(ask, instance, now):
    return m.RequestGrant(m.Work(ask, ask, instance, "c", "0", 0, 0, 1, now + 9.0, now))


class TestLostRequests:
    def test_slots_of_an_unreachable_instance_are_freed_after_an_inquiry(self):
        dispatcher = _dispatcher(1, targets=1)
        dispatcher.handle(_ask("a", "dead", 0.0), 0.0)
        dispatcher.handle(_ask("b", "i", 0.0), 0.0)
        decided = {}
        for n in range(40):
            now = n * TICK_S
            for decision in dispatcher.handle(m.TimePassed(), now):
                decided.setdefault(type(decision), (round(now, 2), decision))
        assert decided[m.QueryGrants] == (MIN_OVERDUE_S, m.QueryGrants("dead"))
        assert decided[m.GrantLost][1].work.ask == "a"
        at, grant = decided[m.Grant]
        assert grant.work.ask == "b"
        assert at == pytest.approx(MIN_OVERDUE_S + ANSWER_TIMEOUT_S, abs=0.06)
        assert dispatcher.counts.lost == 1

    def test_summary_contains_the_overdue_requests(self):
        dispatcher = _dispatcher(1, targets=1)
        dispatcher.handle(_ask("a", "i", 0.0), 0.0)
        assert dispatcher.summary(0.0)["overdue"] == 0
        for n in range(12):
            dispatcher.handle(m.TimePassed(), n * TICK_S)
        assert dispatcher.summary(0.6)["overdue"] == 1

    def test_lost_request_counts_again_when_it_is_reported_held(self):
        dispatcher = _dispatcher(1, targets=1)
        dispatcher.handle(_ask("a", "i", 0.0), 0.0)
        for n in range(40):
            dispatcher.handle(m.TimePassed(), n * TICK_S)
        dispatcher.handle(m.HeldGrants("i", frozenset(["a"])), 2.0)
        assert dispatcher.targets["t0"].available_slots(2.0) == 0
        dispatcher.handle(m.Finished("a", m.GrantOutcome.DONE), 2.1)
        assert dispatcher.targets["t0"].available_slots(2.1) == 1


@dataclass(frozen=True)
class _Fault:
    """A fault of an instance for `length` seconds.

    A `deaf` instance receives nothing, and nothing that a `mute` one sends arrives. A
    `paused` one does nothing; a `dead` one never returns.
    """

    kind: str
    instance: int
    start: float
    length: float

    def is_active(self, now):
        return self.start <= now < self.start + self.length


class _Region:
    """Instances, a dispatcher and targets connected by a network, in virtual time.

    Messages take up to 0.05 s. A paused instance does nothing and handles the messages
    that arrived meanwhile afterwards. Messages delayed by a cut arrive after it, as on
    a connection. Targets continue to work when their instance fails.
    """

    INSTANCES, TARGETS, SLOTS = 4, 2, 2

    def __init__(self, seed, faults):
        self.draw = random.Random(seed)
        self.faults = faults
        self.dispatcher = _dispatcher(self.SLOTS, self.TARGETS)
        self.now = 0.0
        self.events = []
        self.order = itertools.count()
        self.waiting = {}
        self.held = [set() for _ in range(self.INSTANCES)]
        self.work_until = {}
        self.max_running = 0

    def at(self, moment, action, *arguments):
        heapq.heappush(self.events, (moment, next(self.order), action, arguments))

    def run(self, seconds):
        for n in range(int(seconds / TICK_S)):
            self.at(n * TICK_S, self.dispatch, m.TimePassed())
            self.at(n * TICK_S, self.send_ask, f"a{n}", n % self.INSTANCES)
        while self.events and self.events[0][0] <= seconds:
            self.now, _number, action, arguments = heapq.heappop(self.events)
            action(*arguments)

    def available_at(self, instance, *kinds):
        """Return when an instance is first free of some kinds of faults.

        None if it is dead by then.
        """
        moment = self.now
        while True:
            active = [
                t for t in self.faults if t.instance == instance and t.is_active(moment)
            ]
            if any(t.kind == "dead" for t in active):
                return None
            ends = [t.start + t.length for t in active if t.kind in kinds]
            if not ends:
                return moment
            moment = max(ends)

    def delay(self):
        return self.draw.uniform(0.001, 0.05)

    def to_dispatcher(self, instance, message):
        moment = self.available_at(instance, "mute", "paused")
        if moment is not None:
            self.at(moment + self.delay(), self.dispatch, message)

    def dispatch(self, message):
        for decision in self.dispatcher.handle(message, self.now):
            if isinstance(decision, m.QueryGrants | m.Grant):
                name = getattr(decision, "instance", None) or decision.work.instance
                self.at(self.now + self.delay(), self.deliver, int(name), decision)

    def deliver(self, instance, decision):
        moment = self.available_at(instance, "deaf", "paused")
        if moment is None:
            return
        if moment > self.now:
            self.at(moment, self.deliver, instance, decision)
        elif isinstance(decision, m.QueryGrants):
            held = m.HeldGrants(str(instance), frozenset(self.held[instance]))
            self.to_dispatcher(instance, held)
        else:
            self.accept_grant(instance, decision)

    def send_ask(self, ask, instance):
        if self.available_at(instance, "paused") != self.now:
            return
        self.waiting[ask] = self.now
        self.to_dispatcher(instance, _ask(ask, str(instance), self.now))

    def accept_grant(self, instance, grant):
        ask = grant.work.ask
        if self.now - self.waiting.pop(ask) - grant.wait > STALE_GRANT_S:
            self.to_dispatcher(instance, m.Withdraw(ask))
            return
        self.held[instance].add(ask)
        seconds = self.draw.uniform(0.05, MIN_OVERDUE_S)
        self.work_until[ask] = grant.target, self.now + seconds
        working = [t for t, ends in self.work_until.values() if ends > self.now]
        self.max_running = max(self.max_running, working.count(grant.target))
        self.at(self.now + seconds, self.finish, instance, ask)

    def finish(self, instance, ask):
        moment = self.available_at(instance, "paused")
        if moment is None:
            return
        if moment > self.now:
            self.at(moment, self.finish, instance, ask)
            return
        self.held[instance].discard(ask)
        self.to_dispatcher(instance, m.Finished(ask, m.GrantOutcome.DONE))


_FAULTS = st.builds(
    _Fault,
    st.sampled_from(["paused", "deaf", "mute"]),
    st.integers(0, _Region.INSTANCES - 1),
    st.floats(0.0, 5.0),
    st.floats(0.05, 3.0),
)


class TestRegion:
    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.integers(0, 999), st.lists(_FAULTS, max_size=5))
    def test_no_slot_is_granted_twice_while_instances_are_slow_or_cut_off(
        self, seed, faults
    ):
        region = _Region(seed, faults)
        region.run(9.0)
        assert region.max_running <= region.SLOTS

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(
        st.integers(0, 999),
        st.lists(_FAULTS, max_size=3),
        st.lists(st.integers(0, _Region.INSTANCES - 1), min_size=1, max_size=3),
    )
    def test_slots_of_dead_instances_are_free_within_a_second(self, seed, faults, dead):
        at = 6.0
        losses = [_Fault("dead", instance, at, 99.0) for instance in dead]
        region = _Region(seed, [*faults, *losses])
        region.run(at + MIN_OVERDUE_S + ANSWER_TIMEOUT_S + 2 * TICK_S)
        assert region.max_running <= region.SLOTS
        held = {
            run.work.instance
            for target in region.dispatcher.targets.values()
            for run in target.running.values()
            if run.granted < at
        }
        assert not held & {str(instance) for instance in dead}
