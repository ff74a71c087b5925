"""hibiscusstep.routing.run_watch: slots that the dead hold, none of the living."""

import heapq
import itertools
import random
from dataclasses import dataclass

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscusstep.dispatch_client import STALE_GRANT_S
from hibiscusstep.routing import messages as m
from hibiscusstep.routing.plan import Plan, PlannedPool, PlannedTarget
from hibiscusstep.routing.run_watch import ANSWER_S, ASK_AGAIN_S, RunWatch
from hibiscusstep.routing.slot_choice import MIN_OVERDUE_S
from hibiscusstep.routing.slots import SlotDispatcher

TICK_S = 0.05


def _checked(watch, until, start=0.0):
    """Check at each tick; return the instances asked and the asks lost, by moment."""
    asked, lost = {}, {}
    now = start
    while now <= until:
        suspects = watch.check(now)
        asked |= dict.fromkeys(suspects.instances, round(now, 2))
        for ask in suspects.lost:
            lost[ask] = round(now, 2)
            watch.forget(ask)
        now += TICK_S
    return asked, lost


class TestRunWatch:
    def test_nothing_is_asked_before_the_expected_end(self):
        watch = RunWatch()
        watch.watch("a", "i", 2.0)
        assert _checked(watch, 1.9) == ({}, {})
        assert watch.overdue == 0

    def test_who_does_not_answer_holds_nothing(self):
        watch = RunWatch()
        watch.watch("a", "i", 2.0)
        asked, lost = _checked(watch, 4.0)
        assert asked == {"i": 2.0}
        assert lost == {"a": pytest.approx(2.0 + ANSWER_S, abs=TICK_S + 0.001)}
        assert watch.asks_of("i") == set()

    def test_who_answers_is_asked_again_later(self):
        watch = RunWatch()
        watch.watch("a", "i", 2.0)
        _checked(watch, 2.2)
        watch.confirm(["a"], 2.2)
        assert watch.overdue == 1
        asked, lost = _checked(watch, 2.2 + ASK_AGAIN_S + 0.1, 2.25)
        assert asked == {"i": pytest.approx(2.2 + ASK_AGAIN_S, abs=0.051)}
        assert not lost

    def test_an_end_that_was_told_is_not_asked_for(self):
        watch = RunWatch()
        watch.watch("a", "i", 2.0)
        watch.forget("a")
        assert _checked(watch, 4.0) == ({}, {})

    def test_a_dispatcher_that_was_paused_itself_waits_for_the_answer(self):
        """The answer lies in its mailbox; a check may come before it."""
        watch = RunWatch()
        watch.watch("a", "i", 2.0)
        _checked(watch, 2.1)
        assert watch.check(5.0).lost == []
        watch.confirm(["a"], 5.01)
        assert watch.check(5.05).lost == []


def _dispatcher(slots, targets=2):
    pool = PlannedPool(
        False, targets={f"t{n}": PlannedTarget(slots) for n in range(targets)}
    )
    dispatcher = SlotDispatcher("p", Plan({"p": pool}))
    dispatcher.handle(m.Recovered(), 0.0)
    return dispatcher


def _ask(ask, instance, now):
    return m.Ask(m.Work(ask, ask, instance, "c", "0", 0, 0, 1, now + 9.0, now))


class TestLostRequests:
    def test_a_silent_instance_is_asked_and_its_slots_are_free(self):
        dispatcher = _dispatcher(1, targets=1)
        dispatcher.handle(_ask("a", "dead", 0.0), 0.0)
        dispatcher.handle(_ask("b", "i", 0.0), 0.0)
        decided = {}
        for n in range(40):
            now = n * TICK_S
            for decision in dispatcher.handle(m.Tick(), now):
                decided.setdefault(type(decision), (round(now, 2), decision))
        assert decided[m.Inquire] == (MIN_OVERDUE_S, m.Inquire("dead"))
        assert decided[m.Lost][1].work.ask == "a"
        at, grant = decided[m.Grant]
        assert grant.work.ask == "b"
        assert at == pytest.approx(MIN_OVERDUE_S + ANSWER_S, abs=0.06)
        assert dispatcher.counts.lost == 1

    def test_the_state_in_the_log_tells_what_is_overdue(self):
        dispatcher = _dispatcher(1, targets=1)
        dispatcher.handle(_ask("a", "i", 0.0), 0.0)
        assert dispatcher.summary(0.0)["overdue"] == 0
        for n in range(12):
            dispatcher.handle(m.Tick(), n * TICK_S)
        assert dispatcher.summary(0.6)["overdue"] == 1

    def test_what_was_taken_for_lost_counts_again_when_it_is_told(self):
        dispatcher = _dispatcher(1, targets=1)
        dispatcher.handle(_ask("a", "i", 0.0), 0.0)
        for n in range(40):
            dispatcher.handle(m.Tick(), n * TICK_S)
        dispatcher.handle(m.Held("i", frozenset(["a"])), 2.0)
        assert dispatcher.targets["t0"].free(2.0) == 0
        dispatcher.handle(m.Finished("a", m.Outcome.DONE), 2.1)
        assert dispatcher.targets["t0"].free(2.1) == 1


@dataclass(frozen=True)
class _Trouble:
    """What happens to an instance: `deaf` hears nothing, `mute` is not heard."""

    kind: str
    instance: int
    start: float
    length: float

    def holds(self, now):
        return self.start <= now < self.start + self.length


class _Region:
    """Instances, a dispatcher and targets in virtual time, with a network between.

    Messages take up to 0.05 s. A paused instance does nothing, and takes afterwards
    what has come meanwhile; what a cut holds up arrives after it, as on a connection.
    Targets work on whatever becomes of the instance.
    """

    INSTANCES, TARGETS, SLOTS = 4, 2, 2

    def __init__(self, seed, troubles):
        self.draw = random.Random(seed)
        self.troubles = troubles
        self.dispatcher = _dispatcher(self.SLOTS, self.TARGETS)
        self.now = 0.0
        self.events = []
        self.order = itertools.count()
        self.waiting = {}
        self.held = [set() for _ in range(self.INSTANCES)]
        self.work_until = {}
        self.most = 0

    def at(self, moment, action, *arguments):
        heapq.heappush(self.events, (moment, next(self.order), action, arguments))

    def run(self, seconds):
        for n in range(int(seconds / TICK_S)):
            self.at(n * TICK_S, self.tell, m.Tick())
            self.at(n * TICK_S, self.ask, f"a{n}", n % self.INSTANCES)
        while self.events and self.events[0][0] <= seconds:
            self.now, _number, action, arguments = heapq.heappop(self.events)
            action(*arguments)

    def when(self, instance, *kinds):
        """Return when an instance is next free of some troubles; None if it is dead."""
        moment = self.now
        while True:
            hit = [
                t for t in self.troubles if t.instance == instance and t.holds(moment)
            ]
            if any(t.kind == "dead" for t in hit):
                return None
            ends = [t.start + t.length for t in hit if t.kind in kinds]
            if not ends:
                return moment
            moment = max(ends)

    def delay(self):
        return self.draw.uniform(0.001, 0.05)

    def to_dispatcher(self, instance, message):
        moment = self.when(instance, "mute", "paused")
        if moment is not None:
            self.at(moment + self.delay(), self.tell, message)

    def tell(self, message):
        for decision in self.dispatcher.handle(message, self.now):
            if isinstance(decision, m.Inquire | m.Grant):
                name = getattr(decision, "instance", None) or decision.work.instance
                self.at(self.now + self.delay(), self.deliver, int(name), decision)

    def deliver(self, instance, decision):
        moment = self.when(instance, "deaf", "paused")
        if moment is None:
            return
        if moment > self.now:
            self.at(moment, self.deliver, instance, decision)
        elif isinstance(decision, m.Inquire):
            held = m.Held(str(instance), frozenset(self.held[instance]))
            self.to_dispatcher(instance, held)
        else:
            self.take(instance, decision)

    def ask(self, ask, instance):
        if self.when(instance, "paused") != self.now:
            return
        self.waiting[ask] = self.now
        self.to_dispatcher(instance, _ask(ask, str(instance), self.now))

    def take(self, instance, grant):
        ask = grant.work.ask
        if self.now - self.waiting.pop(ask) - grant.wait > STALE_GRANT_S:
            self.to_dispatcher(instance, m.Withdraw(ask))
            return
        self.held[instance].add(ask)
        seconds = self.draw.uniform(0.05, MIN_OVERDUE_S)
        self.work_until[ask] = grant.target, self.now + seconds
        working = [t for t, ends in self.work_until.values() if ends > self.now]
        self.most = max(self.most, working.count(grant.target))
        self.at(self.now + seconds, self.end, instance, ask)

    def end(self, instance, ask):
        moment = self.when(instance, "paused")
        if moment is None:
            return
        if moment > self.now:
            self.at(moment, self.end, instance, ask)
            return
        self.held[instance].discard(ask)
        self.to_dispatcher(instance, m.Finished(ask, m.Outcome.DONE))


_SLOW = st.builds(
    _Trouble,
    st.sampled_from(["paused", "deaf", "mute"]),
    st.integers(0, _Region.INSTANCES - 1),
    st.floats(0.0, 5.0),
    st.floats(0.05, 3.0),
)


class TestRegion:
    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.integers(0, 999), st.lists(_SLOW, max_size=5))
    def test_no_slot_is_granted_twice_while_instances_are_slow_or_cut(
        self, seed, troubles
    ):
        region = _Region(seed, troubles)
        region.run(9.0)
        assert region.most <= region.SLOTS

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(
        st.integers(0, 999),
        st.lists(_SLOW, max_size=3),
        st.lists(st.integers(0, _Region.INSTANCES - 1), min_size=1, max_size=3),
    )
    def test_what_the_dead_hold_is_free_within_a_second(self, seed, troubles, dead):
        at = 6.0
        losses = [_Trouble("dead", instance, at, 99.0) for instance in dead]
        region = _Region(seed, [*troubles, *losses])
        region.run(at + MIN_OVERDUE_S + ANSWER_S + 2 * TICK_S)
        assert region.most <= region.SLOTS
        held = {
            run.work.instance
            for target in region.dispatcher.targets.values()
            for run in target.running.values()
            if run.granted < at
        }
        assert not held & {str(instance) for instance in dead}
