"""hibiscusstep.rollout: budget, comparison of versions, and carrying an order out."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscusstep.errors import UnknownName
from hibiscusstep.rollout.budget import ExposureBudget, ExposureLimits
from hibiscusstep.rollout.comparison import Answer, VersionComparison
from hibiscusstep.rollout.controller import PlannedRollout, Rollout, RolloutProgress
from hibiscusstep.rollout.order import RolloutOrder, RolloutState
from hibiscusstep.routing import messages as m
from hibiscusstep.routing.plan import Plan, PlannedPool, PlannedTarget
from hibiscusstep.routing.slots import SlotDispatcher

LIMITS = ExposureLimits(0.1, 50.0)


class TestOrder:
    @pytest.mark.parametrize("state", list(RolloutState))
    def test_a_status_of_another_version_is_not_its_own(self, state):
        order = RolloutOrder("p", "v3", 10.0, 1, state, "v2")
        assert not (order.is_running or order.is_concluded)

    def test_states(self):
        order = RolloutOrder("p", "v2", 10.0, 1, RolloutState.ROLLED_BACK, "v2")
        assert order.is_rolled_back
        assert order.is_concluded
        assert not order.is_completed


class TestBudget:
    @given(st.lists(st.booleans(), max_size=2000), st.floats(0.01, 0.5))
    def test_what_is_left_never_exceeds_the_bound(self, wishes, share):
        limits = ExposureLimits(share, 50.0)
        budget = ExposureBudget(limits)
        for wish in wishes:
            budget.count(wish and budget.left >= 1.0)
            assert budget.exposed <= share * budget.requests + limits.slack

    def test_of_a_dispatcher_that_knows_nothing_of_the_allowance_uses_none(self):
        budget = ExposureBudget(LIMITS, slack_part=0.0)
        assert budget.left <= 0.0

    def test_the_last_seconds_may_be_the_versions_alone(self):
        budget = ExposureBudget(LIMITS, requests=1000, exposed=20)
        seconds = budget.seconds_of_all(100.0)
        assert 20 + 100.0 * seconds <= 0.1 * (1000 + 100.0 * seconds) + 50.0
        assert seconds > 0.5


class _Answers:
    """Two versions' answers, drawn; `play` returns after how many it is condemned."""

    def __init__(self, seed, targets=4, test="cusum"):
        self.draw = random.Random(seed)
        self.comparison = VersionComparison(test)
        self.targets = targets
        self.now = 0.0

    def old(self, count=1, fails=0.01, slow=0.0):
        for _ in range(count):
            self._one("old", False, fails, slow)

    def run_on(self, count, ratio):
        """Let so many requests still run at the new version that took so long."""
        running = [
            Answer(f"new{n % self.targets}", "r0", False, ratio=ratio, cut_short=True)
            for n in range(count)
        ]
        self.comparison.take_running(running, self.now)

    def play(self, count, fails=0.01, slow=0.0, old_fails=0.01, only=None):
        """Play a version's answers, each among four of the other one."""
        for number in range(count):
            self.old(4, old_fails)
            self._one("new", True, fails, slow, only)
            if reason := self.comparison.judge(self.targets, self.now):
                return number + 1, reason
        return None, ""

    def _one(self, name, new, fails, slow, only=None):
        self.now += 0.01
        number = self.draw.randrange(self.targets)
        hit = only is None or number == only
        failed = self.draw.random() < (fails if hit else 0.01)
        ratio = (1.0 + number) * self.draw.lognormvariate(0.0, 0.4)
        if self.draw.random() < slow:
            ratio *= 5.0
        route = f"r{self.draw.randrange(3)}"
        answer = Answer(f"{name}{number}", route, failed, ratio=ratio)
        self.comparison.observe(answer, new=new, now=self.now)


class TestComparison:
    SEEDS = range(20)

    def test_a_version_like_the_other_one_is_not_condemned(self):
        found = [_Answers(s).play(600)[1] for s in self.SEEDS]
        assert found.count("") >= 19

    def test_one_that_fails_like_the_other_one_is_not_condemned(self):
        found = [
            _Answers(s).play(600, fails=0.14, old_fails=0.14)[1] for s in self.SEEDS
        ]
        assert found.count("") >= 19

    @pytest.mark.parametrize("part", [0.2, 0.5])
    def test_one_that_fails_is_condemned_before_50_bad_answers(self, part):
        for seed in self.SEEDS:
            answers, reason = _Answers(seed).play(600, fails=part)
            assert reason.startswith("fails"), seed
            assert answers * part < 50

    def test_one_of_which_a_part_is_slow_is_condemned(self):
        for seed in self.SEEDS:
            answers, reason = _Answers(seed).play(600, slow=0.4)
            assert reason.startswith("slow"), seed
            assert answers * 0.4 < 50

    def test_one_that_turns_bad_later_is_condemned(self):
        for seed in self.SEEDS:
            answers = _Answers(seed)
            assert answers.play(300)[1] == ""
            later, reason = answers.play(300, fails=0.3)
            assert reason, seed
            assert later * 0.3 < 50

    def test_runs_that_do_not_end_condemn_a_version(self):
        """A slow version was completed: its slow answers ended after the deadline."""
        answers = _Answers(1)
        assert answers.play(300)[1] == ""
        answers.run_on(5, ratio=0.5)
        assert answers.comparison.judge(4, answers.now) == ""
        answers.run_on(15, ratio=60.0)
        assert answers.comparison.judge(4, answers.now).startswith("slow")

    def test_runs_that_end_well_are_forgotten(self):
        answers = _Answers(1)
        answers.play(300)
        before = answers.comparison.evidence
        answers.run_on(8, ratio=60.0)
        assert answers.comparison.evidence > before
        answers.run_on(0, ratio=0.0)
        assert answers.comparison.evidence == before

    def test_one_that_is_bad_under_load_only_is_condemned(self):
        """Its few bad answers were lost among all the others."""
        comparison = VersionComparison()
        draw = random.Random(3)
        bad = 0
        for number in range(600):
            now = 0.01 * number
            new, loaded = number % 5 == 0, number % 20 == 0
            failed = new and loaded and draw.random() < 0.8
            bad += failed
            name = f"{'new' if new else 'old'}{number % 3}"
            answer = Answer(name, f"r{number % 4}", failed, ratio=1.0, loaded=loaded)
            comparison.observe(answer, new=new, now=now)
            if comparison.judge(3, now):
                break
        assert "under load" in comparison.judge(3, now)
        assert bad < 15

    def test_few_bad_answers_are_doubts(self):
        """With too little evidence to condemn it, a bad version was completed."""
        answers = _Answers(1)
        answers.play(200)
        assert answers.comparison.doubt(4) == ""
        for number in range(3):
            failed = Answer(f"new{number}", "r0", True)
            answers.comparison.observe(failed, new=True, now=answers.now)
        assert answers.comparison.judge(4, answers.now) == ""
        assert answers.comparison.doubt(4)

    def test_a_target_at_fault_takes_its_own_answers_along_only(self):
        """What told against the version's other targets was forgotten with them."""
        answers = _Answers(2, targets=2)
        answers.play(100, fails=0.5, only=0)
        assert answers.comparison.faulty == {"new0"}
        assert answers.comparison.doubt(2)
        _count, reason = answers.play(100, fails=0.5, only=1)
        assert reason

    def test_the_answers_that_end_first_do_not_tell_what_fast_ones_take(self):
        """As all targets began at once, good versions seemed to slow down."""
        comparison = VersionComparison()
        draw = random.Random(1)
        for number in range(400):
            ratio = draw.lognormvariate(0.0, 0.6)
            old = Answer(f"old{number % 4}", "r", False, ratio=ratio)
            comparison.observe(old, new=False, now=0.01 * number)
        comparison.begin_move(4.0)
        ratios = sorted(draw.lognormvariate(0.0, 0.6) for _ in range(400))
        for number, ratio in enumerate(ratios):
            new = Answer(f"new{number % 40}", "r", False, ratio=ratio)
            comparison.observe(new, new=True, now=4.0 + 0.005 * number)
        assert comparison.evidence < 0.1

    def test_one_target_at_fault_does_not_condemn_its_version(self):
        for seed in self.SEEDS:
            answers = _Answers(seed)
            assert answers.play(400, fails=0.5, only=1)[1] == ""
            assert answers.comparison.faulty == {"new1"}

    def test_a_version_of_one_target_is_judged_by_it(self):
        answers = _Answers(1, targets=1)
        assert answers.play(400, fails=0.5)[1]

    def test_a_crash_counts_once(self):
        comparison = VersionComparison()
        for number in range(60):
            old = Answer("old", "r", False, ratio=1.0)
            comparison.observe(old, new=False, now=0.01 * number)
        for number in range(10):
            broken = Answer("new", "r", False, broken=True)
            comparison.observe(broken, new=True, now=1.0 + 0.001 * number)
        assert comparison.bad == 1

    def test_nothing_is_judged_before_the_other_version_answered(self):
        comparison = VersionComparison()
        for number in range(40):
            failed = Answer("new", "r", True)
            comparison.observe(failed, new=True, now=0.1 * number)
        assert comparison.judge(1, 4.0) == ""

    def test_wald_condemns_as_well(self):
        assert _Answers(1, test="sprt").play(600, fails=0.5)[1]

    def test_an_unknown_test_is_an_error(self):
        with pytest.raises(UnknownName):
            VersionComparison("magic")


def _rollout(deadline=20.0, progress=None, **fields):
    planned = PlannedRollout(
        "v2",
        1,
        deadline,
        limits=LIMITS,
        progress=progress or RolloutProgress(),
        **fields,
    )
    return Rollout(planned)


class TestRollout:
    def _serve(self, rollout, seconds, rate=100, failing=0.0, start=0.0):
        """Let requests come; each one that the version may get is answered."""
        draw = random.Random(1)
        for number in range(int(seconds * rate)):
            now = start + number / rate
            exposed = rollout.may_expose()
            rollout.count(exposed)
            name = "new" if exposed else "old"
            failed = exposed and draw.random() < failing
            answer = Answer(f"{name}{number % 3}", "r", failed, ratio=1.0)
            rollout.comparison.observe(answer, new=exposed, now=now)
            if number % 5 == 0:
                rollout.tick(3, now)
            if rollout.verdict:
                return now
        return None

    def test_a_good_version_is_completed_just_before_the_deadline(self):
        rollout = _rollout()
        ended = self._serve(rollout, 20.0)
        assert rollout.verdict is RolloutState.COMPLETED
        assert 19.0 < ended <= 20.0 - 0.3 + 0.05

    def test_a_good_version_stays_within_the_bound_until_then(self):
        rollout = _rollout()
        self._serve(rollout, 20.0)
        progress = rollout.progress
        assert progress.exposed <= 0.1 * progress.requests + 50

    def test_a_bad_version_is_rolled_back_and_gets_nothing_more(self):
        rollout = _rollout()
        self._serve(rollout, 20.0, failing=0.5)
        assert rollout.verdict is RolloutState.ROLLED_BACK
        assert not rollout.may_expose()

    def test_it_does_not_move_all_traffic_while_in_doubt(self):
        rollout = _rollout()
        self._serve(rollout, 18.5)
        for number in range(4):
            bad = Answer(f"new{number % 3}", "r", number % 2 == 0, ratio=1.0)
            rollout.comparison.observe(bad, new=True, now=18.5)
        assert rollout.comparison.judge(3, 18.5) == ""
        rollout.tick(3, 19.6)
        assert not rollout.moves_all
        rollout.tick(3, 19.71)
        assert rollout.verdict is RolloutState.ROLLED_BACK

    def test_answers_that_could_not_be_compared_prove_nothing(self):
        rollout = _rollout()
        for number in range(20):
            rollout.count(True)
            answer = Answer("new", "r", False, ratio=1.0)
            rollout.comparison.observe(answer, new=True, now=0.1 * number)
        rollout.tick(3, 19.8)
        assert rollout.verdict is RolloutState.ROLLED_BACK
        assert "compared" in rollout.reason

    def test_a_bad_version_harms_no_more_callers_than_it_takes_to_see_it(self):
        rollout = _rollout(40.0)
        self._serve(rollout, 30.0, rate=1000)
        assert rollout.progress.exposed <= 20 * 30 + 24

    def test_without_targets_it_is_rolled_back_at_the_deadline(self):
        rollout = _rollout(5.0)
        rollout.tick(0, 4.0)
        assert rollout.verdict is None
        rollout.tick(0, 4.8)
        assert rollout.verdict is RolloutState.ROLLED_BACK
        assert "no targets" in rollout.reason

    def test_with_too_few_answers_it_is_rolled_back(self):
        rollout = _rollout(5.0)
        rollout.count(True)
        rollout.tick(2, 4.8)
        assert rollout.verdict is RolloutState.ROLLED_BACK
        assert "answers" in rollout.reason

    def test_who_takes_over_goes_on_with_what_was_used(self):
        before = RolloutProgress(100, 25, 22)
        rollout = _rollout(progress=before)
        assert not rollout.may_expose()
        assert rollout.progress.exposed == 25

    def test_who_does_not_know_what_was_used_begins_with_the_share_alone(self):
        rollout = _rollout(progress=RolloutProgress(is_known=False))
        assert not rollout.may_expose()

    def test_doubts_of_a_dispatcher_that_ended_count(self):
        before = RolloutProgress(1000, 40, 40, evidence=0.9)
        rollout = _rollout(progress=before)
        rollout.tick(3, 19.8)
        assert rollout.verdict is RolloutState.ROLLED_BACK

    def test_the_version_in_force_is_completed_at_once(self):
        rollout = _rollout(is_in_force=True)
        rollout.tick(3, 0.0)
        assert rollout.verdict is RolloutState.COMPLETED


def _plan(serving=("v1",), rollout=None, versions=("v1", "v1", "v2")):
    targets = {
        f"t{n}": PlannedTarget(4, version=version) for n, version in enumerate(versions)
    }
    pool = PlannedPool(False, 1, 1.0, targets, frozenset(serving), rollout)
    return Plan({"p": pool})


def _work(number, now, **fields):
    ask = f"a{number}"
    return m.Work(
        ask, ask, "i", "c", "0", 0, 0, 1, now + 9.0, now, due=now + 9, **fields
    )


class TestDispatcher:
    """Which targets a dispatcher grants, by their versions."""

    def _dispatcher(self, plan, alone=""):
        dispatcher = SlotDispatcher("p", plan, alone=alone)
        dispatcher.handle(m.Recovered(), 0.0)
        return dispatcher

    def _granted(self, dispatcher, count, now=0.0, **fields):
        """Ask for some requests, each ended before the next; return their targets."""
        found = []
        for number in range(count):
            work = _work(number, now, **fields)
            for taken in dispatcher.handle(m.Ask(work), now):
                found.append(taken.target)
            dispatcher.handle(m.Finished(work.ask, m.Outcome.DONE), now + 0.01)
        return found

    def test_a_version_that_is_not_in_force_gets_nothing(self):
        dispatcher = self._dispatcher(_plan())
        assert "t2" not in self._granted(dispatcher, 50)

    def test_nor_while_all_others_are_full(self):
        dispatcher = self._dispatcher(_plan())
        for number in range(20):
            dispatcher.handle(m.Ask(_work(number, 0.0)), 0.0)
        assert dispatcher.waiting == {"0": 12}

    def test_without_any_version_in_force_nothing_is_granted(self):
        assert self._granted(self._dispatcher(_plan(serving=("",))), 5) == []

    def test_all_serve_where_nothing_is_said_of_versions(self):
        dispatcher = self._dispatcher(_plan(serving=()))
        for number in range(12):
            dispatcher.handle(m.Ask(_work(number, 0.0)), 0.0)
        assert dispatcher.waiting == {}

    def test_an_instance_alone_sends_nothing_to_a_version_under_way(self):
        plan = _plan(rollout=PlannedRollout("v2", 1, 100.0))
        dispatcher = self._dispatcher(plan, alone="i")
        assert "t2" not in self._granted(dispatcher, 50)

    def test_suspects_run_at_the_version_in_force(self):
        plan = _plan(rollout=PlannedRollout("v2", 1, 100.0))
        dispatcher = self._dispatcher(plan)
        assert "t2" not in self._granted(dispatcher, 50, suspect=7)

    def test_a_version_under_way_gets_few(self):
        plan = _plan(rollout=PlannedRollout("v2", 1, 100.0, limits=LIMITS))
        granted = self._granted(self._dispatcher(plan), 400)
        assert 0 < granted.count("t2") <= 0.1 * 400 + 50

    def test_an_order_that_is_withdrawn_bars_its_version(self):
        plan = _plan(rollout=PlannedRollout("v2", 1, 100.0, limits=LIMITS))
        dispatcher = self._dispatcher(plan)
        dispatcher.handle(m.Configure(_plan()), 0.0)
        assert "t2" not in self._granted(dispatcher, 50)

    def test_the_version_that_is_completed_gets_all(self):
        dispatcher = self._dispatcher(_plan())
        dispatcher.handle(m.Configure(_plan(serving=("v2",))), 0.0)
        assert set(self._granted(dispatcher, 20)) == {"t2"}
