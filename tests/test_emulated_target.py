"""hibiscusstep.load.emulated_target: answers of emulated targets."""

from dataclasses import replace

import numpy as np
import pytest

from hibiscusstep.load.emulated_target import CALLER_TIMEOUT_S, EmulatedTarget
from hibiscusstep.load.rollout_scenario import (
    NEW_VERSION,
    OLD_VERSION,
    ORDER_AT_S,
    Defect,
    Disturbance,
    EmulatedRoute,
    draw_scenario,
)
from hibiscusstep.routing import messages as m

ROUTE = EmulatedRoute("r0", 1.0, 0.1, 0.0, 0.0)
AFTER_ORDER_S = ORDER_AT_S + 10.0
PLAIN_SCENARIO = replace(
    draw_scenario(3), engine=False, slots=4, defect=Defect.FAILS, defect_share=1.0,
    defect_after_s=0.0, under_load=False, defect_route="", warm_up_factor=1.0,
    disturbances=(),
)  # fmt: skip


def _target(version=NEW_VERSION, **changes):
    scenario = replace(PLAIN_SCENARIO, **changes)
    return EmulatedTarget("t", version, 1.0, scenario, np.random.default_rng(1))


def _work(number=0):
    return m.Work(f"a{number}", f"a{number}", "i", "c", "0", 0, 0, 1, 9.0, 0.0)


class TestBadVersion:
    def test_fails_once_its_defect_begins(self):
        target = _target(defect_after_s=5.0)
        early = target.begin(_work(), ROUTE, 0.1, ORDER_AT_S + 4.9)
        late = target.begin(_work(1), ROUTE, 0.1, ORDER_AT_S + 5.0)
        assert (early.outcome, early.is_bad) == (m.GrantOutcome.DONE, False)
        assert (late.outcome, late.is_bad) == (m.GrantOutcome.FAILED, True)

    def test_the_old_version_does_not_fail(self):
        assert not _target(OLD_VERSION).begin(_work(), ROUTE, 0.1, AFTER_ORDER_S).is_bad

    def test_under_load_only(self):
        target = _target(under_load=True)
        runs = [target.begin(_work(n), ROUTE, 0.1, AFTER_ORDER_S) for n in range(4)]
        assert [run.is_bad for run in runs] == [False, False, False, True]

    def test_on_one_route_only(self):
        target = _target(defect_route="r1")
        assert not target.begin(_work(), ROUTE, 0.1, AFTER_ORDER_S).is_bad
        assert target.begin(
            _work(1), replace(ROUTE, name="r1"), 0.1, AFTER_ORDER_S
        ).is_bad

    def test_slow_answers_take_longer(self):
        target = _target(defect=Defect.SLOW, slow_factor=5.0)
        assert target.begin(
            _work(), ROUTE, 0.1, AFTER_ORDER_S
        ).seconds == pytest.approx(0.5)

    def test_callers_cancel_slow_requests(self):
        target = _target(defect=Defect.SLOW, slow_factor=500.0)
        run = target.begin(_work(), ROUTE, 0.1, AFTER_ORDER_S)
        assert (run.outcome, run.seconds) == (
            m.GrantOutcome.CANCELLED,
            CALLER_TIMEOUT_S,
        )


class TestDisturbance:
    def test_slows_its_targets_temporarily(self):
        slow = Disturbance("slow", AFTER_ORDER_S, 1.0, frozenset({"t"}))
        target = _target(OLD_VERSION, disturbances=(slow,))
        seconds = [
            target.begin(_work(n), ROUTE, 0.1, at).seconds
            for n, at in enumerate(
                (AFTER_ORDER_S - 0.1, AFTER_ORDER_S, AFTER_ORDER_S + 1.0)
            )
        ]
        assert seconds[1] > 2 * seconds[0]
        assert seconds[2] < 2 * seconds[0]

    def test_of_other_targets_has_no_effect(self):
        slow = Disturbance("slow", AFTER_ORDER_S, 1.0, frozenset({"another"}))
        target = _target(OLD_VERSION, disturbances=(slow,))
        assert target.begin(
            _work(), ROUTE, 0.1, AFTER_ORDER_S
        ).seconds == pytest.approx(0.1)


class TestEngine:
    def test_answers_event_by_event(self):
        target = _target(OLD_VERSION, engine=True)
        run = target.begin(_work(), ROUTE, 60, AFTER_ORDER_S)
        assert run.events == 10
        assert 0 < run.first < run.seconds
