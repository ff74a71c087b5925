"""Tests of hibiscusstep.routing.target_index: agreement with a scan, and cost."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscusstep.routing import messages as m
from hibiscusstep.routing.dispatch_plan import DispatchPlan, PlannedPool, PlannedTarget
from hibiscusstep.routing.slot_dispatcher import SlotDispatcher
from hibiscusstep.routing.slot_target import Run, SlotTarget
from hibiscusstep.routing.target_index import (
    MAX_FASTEST,
    MAX_LOCAL_CANDIDATES,
    MAX_REMOTE_CANDIDATES,
    PANIC_THRESHOLD,
    TYPICAL_REQUEST_S,
    TargetIndex,
)
from hibiscusstep.routing.target_selector import TargetSelector

CENTRES = ("a", "b")
TARGETS = 6


def _run(now, cost):
    work = m.Work("x", "x", "i", "c", "0", 0, 1, 1, 9.0, now)
    return Run(work, now, cost, 0.0)


def _apply(target, step, number, now):
    """Change a target as the dispatcher does."""
    match step:
        case "grant" if target.unassigned_slots > 0:
            target.add(f"{number}", _run(now, 0.1 + number))
        case "end" if target.running:
            target.remove(next(iter(target.running)))
        case "fail":
            target.record_failure(now)
        case "unreachable":
            target.record_unreachable(now)
        case "reject":
            target.record_rejection(now)
        case "learn":
            target.observe(0.2 * (1 + number % 40))
        case "leave":
            target.leaving = True
        case "grow":
            target.slots = number % 4
        case "limit" if target.limiter is None:
            target.set_rate_limit(number % 40, 1.0, now)
        case "limit" if now >= target.next_start_at:
            target.count_grant(now)
        case "unlimit":
            target.set_rate_limit(None, 1.0, now)
        case "foreign":
            target.external_requests, target.external_reported_at = number % 3, now


_STEPS = st.sampled_from(
    ["grant", "grant", "grant", "end", "fail", "unreachable", "reject", "learn",
     "leave", "grow", "foreign", "gone", "limit", "limit", "unlimit"]
)  # fmt: skip


class TestTargetIndex:
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.lists(st.tuples(_STEPS, st.integers(0, TARGETS - 1)), max_size=60))
    def test_agrees_with_a_scan_of_all_targets(self, steps):
        index, now = TargetIndex(), 0.0
        targets = {}
        for n in range(TARGETS):
            targets[n] = SlotTarget(f"t{n}", 2, data_centre=CENTRES[n % 2])
            index.add(targets[n], now)
        for number, (step, which) in enumerate(steps):
            now += 0.07
            target = targets.get(which)
            if target is None:
                continue
            if step == "gone":
                index.remove(targets.pop(which))
            else:
                _apply(target, step, number, now)
                index.update(target, now)
            self._check(index, targets.values(), now)

    def _check(self, index, targets, now):
        staying = [t for t in targets if not t.leaving]
        healthy = [t for t in staying if t.usable(now)]
        is_panic = len(healthy) < PANIC_THRESHOLD * len(staying)
        usable = staying if is_panic else healthy
        assert index.usable(now) == usable
        assert index.slots(now) == sum(t.slots for t in usable)
        free = [t for t in usable if t.available_slots(now) > 0]
        assert index.has_free_slot(now) or not free
        assert {t.name for t in index.candidates("a", now)} == {t.name for t in free}
        fastest = {t.slowness for t in index.fastest(now)}
        assert fastest == {t.slowness for t in usable if now >= t.next_start_at}

    def test_limits_candidates_to_the_cheapest_of_each_data_centre(self):
        index = TargetIndex()
        for n in range(200):
            slowness = 0.5 + (n * 37 % 200) / 100
            target = SlotTarget(f"t{n}", 4, slowness=slowness)
            target.data_centre = CENTRES[n % 2]
            index.add(target, 0.0)
        free = index.candidates("a", 0.0)
        near = [t for t in free if t.data_centre == "a"]
        assert len(near) == MAX_LOCAL_CANDIDATES
        assert len(free) == MAX_LOCAL_CANDIDATES + MAX_REMOTE_CANDIDATES
        assert near == sorted(near, key=lambda t: t.cost(TYPICAL_REQUEST_S))
        assert len(index.fastest(0.0)) == MAX_FASTEST


class TestDecisionCost:
    """The number of targets evaluated per decision does not grow with the pool.

    A scan of all targets for each message took 96 us per request with 30 targets and
    223 us with 156, a quarter of a core for a region of 156 targets in overload.
    """

    @pytest.mark.parametrize("full", [False, True])
    def test_number_of_evaluated_targets_is_bounded(self, monkeypatch, full):
        counts = [self._count_evaluations(monkeypatch, n, full) for n in (60, 600)]
        assert (
            counts[0] == counts[1] <= 2 * (MAX_LOCAL_CANDIDATES + MAX_REMOTE_CANDIDATES)
        )

    def _count_evaluations(self, monkeypatch, targets, full):
        plan = {
            f"t{n}": PlannedTarget(1, data_centre=CENTRES[n % 2])
            for n in range(targets)
        }
        dispatcher = SlotDispatcher(
            "p", DispatchPlan({"p": PlannedPool(True, targets=plan)})
        )
        dispatcher.handle(m.Recovered(), 0.0)
        for n in range(targets - 1 if full else targets // 2):
            dispatcher.handle(self._ask(f"a{n}"), 0.0)
        evaluated = []
        weighted_cost = TargetSelector._weighted_cost

        def count(selector, target, *rest):
            evaluated.append(target)
            return weighted_cost(selector, target, *rest)

        monkeypatch.setattr(TargetSelector, "_weighted_cost", count)
        assert dispatcher.handle(self._ask("last"), 0.0)
        monkeypatch.undo()
        return len(evaluated)

    def _ask(self, ask):
        return m.RequestGrant(
            m.Work(ask, ask, "i", "c", "0", 0, 500, 99, 9.0, 0.0, data_centre="a")
        )
