"""Tests of hibiscusstep.routing.target_subset: standby dispatchers spread evenly."""

from collections import Counter

import pytest

from hibiscusstep.routing import messages as m
from hibiscusstep.routing.dispatch_plan import DispatchPlan, PlannedPool, PlannedTarget
from hibiscusstep.routing.slot_dispatcher import SlotDispatcher
from hibiscusstep.routing.slot_target import SlotTarget
from hibiscusstep.routing.target_subset import MIN_TARGETS, TargetSubset

SLOWNESS = (0.5, 1.0, 3.0)


def _targets(count):
    return [SlotTarget(f"t{n}", 5, slowness=SLOWNESS[n % 3]) for n in range(count)]


class TestTargetSubset:
    def test_uses_targets_in_proportion_to_their_speed(self):
        targets = _targets(60)
        used = Counter(
            target.slowness
            for n in range(600)
            for target in TargetSubset(f"i{n}").choose(targets, 0.01)
        )
        assert sum(used.values()) == 600 * MIN_TARGETS
        speeds = [1 / slowness for slowness in SLOWNESS]
        for slowness in SLOWNESS:
            expected = 600 * MIN_TARGETS / slowness / sum(speeds)
            assert used[slowness] == pytest.approx(expected, rel=0.2)

    def test_is_stable_for_an_instance(self):
        subset = TargetSubset("i")
        targets = _targets(60)
        assert subset.choose(targets, 0.01) == TargetSubset("i").choose(targets, 0.01)

    def test_size_grows_with_the_share(self):
        assert len(TargetSubset("i").choose(_targets(60), 0.2)) == 12

    def test_next_target_replaces_a_removed_one(self):
        targets = _targets(60)
        first, *rest = TargetSubset("i").choose(targets, 0.01)
        left = [target for target in targets if target is not first]
        assert TargetSubset("i").choose(left, 0.01)[: len(rest)] == rest


class TestStandaloneInstance:
    """After a restart of all, all instances start with the same stored estimates."""

    def _granted(self, instance, asks=1):
        targets = {f"t{n}": PlannedTarget(5) for n in range(30)}
        plan = DispatchPlan({"p": PlannedPool(True, targets=targets)})
        dispatcher = SlotDispatcher("p", plan, standby_instance=instance)
        dispatcher.capacity_share = 2 / 100
        slowness = {name: SLOWNESS[n % 3] for n, name in enumerate(targets)}
        dispatcher.handle(m.LearnedEstimates(slowness, is_fallback=True), 0.0)
        dispatcher.handle(m.Recovered(), 0.0)
        decisions = []
        for n in range(asks):
            work = m.Work(f"a{n}", "r", instance, "c", "0", 0, 500, 99, 9.0, 0.0)
            decisions += dispatcher.handle(m.RequestGrant(work), 0.0)
        return dispatcher, [d.target for d in decisions if isinstance(d, m.Grant)]

    def test_instances_use_different_targets(self):
        used = Counter(self._granted(f"i{n}")[1][0] for n in range(90))
        assert len(used) > 10
        assert max(used.values()) < 20

    def test_grants_no_more_than_its_share_of_all_slots(self):
        assert len(self._granted("i", asks=9)[1]) == 3

    def test_avoids_an_unreachable_target(self):
        dispatcher, (target,) = self._granted("i")
        dispatcher.handle(m.Finished("a0", m.GrantOutcome.UNREACHABLE), 0.1)
        work = m.Work("b", "r", "i", "c", "0", 0, 500, 99, 9.0, 0.1)
        (grant,) = dispatcher.handle(m.RequestGrant(work), 0.1)
        assert isinstance(grant, m.Grant) and grant.target != target
