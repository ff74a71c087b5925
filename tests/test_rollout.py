"""Tests of hibiscusstep.rollout: exposure budget, version comparison, rollout."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscusstep.errors import UnknownName
from hibiscusstep.rollout.budget import ExposureBudget, ExposureLimits
from hibiscusstep.rollout.comparison import AnswerSample, VersionComparison
from hibiscusstep.rollout.controller import PlannedRollout, Rollout, RolloutProgress
from hibiscusstep.rollout.order import RolloutOrder, RolloutState
from hibiscusstep.routing import messages as m
from hibiscusstep.routing.dispatch_plan import DispatchPlan, PlannedPool, PlannedTarget
from hibiscusstep.routing.slot_dispatcher import SlotDispatcher

LIMITS = ExposureLimits(0.1, 50.0)


class TestOrder:
    @pytest.mark.parametrize("state", list(RolloutState))
    def test_a_status_of_another_version_is_ignored(self, state):
        order = RolloutOrder("p", "v3", 10.0, 1, state, "v2")
        assert not (order.is_running or order.is_concluded)

    def test_states(self):
        order = RolloutOrder("p", "v2", 10.0, 1, RolloutState.ROLLED_BACK, "v2")
        assert order.is_rolled_back
        assert order.is_concluded
        assert not order.is_completed


class TestBudget:
    @given(st.lists(st.booleans(), max_size=2000), st.floats(0.01, 0.5))
    def test_exposed_requests_never_exceed_the_limit(self, requested, share):
        limits = ExposureLimits(share, 50.0)
        budget = ExposureBudget(limits)
        for exposed in requested:
            budget.count_request(exposed and budget.remaining >= 1.0)
            assert budget.exposed <= share * budget.requests + limits.slack

    def test_an_unknown_use_of_the_allowance_leaves_none(self):
        budget = ExposureBudget(LIMITS, slack_share=0.0)
        assert budget.remaining <= 0.0

    def test_full_traffic_in_the_last_seconds_keeps_the_limit(self):
        budget = ExposureBudget(LIMITS, requests=1000, exposed=20)
        seconds = budget.full_traffic_seconds(100.0)
        assert 20 + 100.0 * seconds <= 0.1 * (1000 + 100.0 * seconds) + 50.0
        assert seconds > 0.5


class _DrawnAnswers:
    """Randomly drawn answers of two versions, and a comparison that observes them."""

    def __init__(self, seed, targets=4, test="cusum"):
        self.rng = random.Random(seed)
        self.comparison = VersionComparison(test)
        self.targets = targets
        self.now = 0.0

    def add_current(self, count=1, fails=0.01, slow=0.0):
        for _ in range(count):
            self._add("old", False, fails, slow)

    def add_running(self, count, ratio):
        """Let `count` requests run at the new version, with this time ratio so far."""
        running = [
            AnswerSample(
                f"new{n % self.targets}", "r0", False, ratio=ratio, cut_short=True
            )
            for n in range(count)
        ]
        self.comparison.replace_running(running, self.now)

    def add_new(self, count, fails=0.01, slow=0.0, current_fails=0.01, only=None):
        """Add answers of the new version, each after four of the current one.

        Returns the number of answers at which it is rejected (or None), and the reason.
        """
        for number in range(count):
            self.add_current(4, current_fails)
            self._add("new", True, fails, slow, only)
            if reason := self.comparison.rejection_reason(self.targets, self.now):
                return number + 1, reason
        return None, ""

    def _add(self, name, new, fails, slow, only=None):
        self.now += 0.01
        number = self.rng.randrange(self.targets)
        hit = only is None or number == only
        failed = self.rng.random() < (fails if hit else 0.01)
        ratio = (1.0 + number) * self.rng.lognormvariate(0.0, 0.4)
        if self.rng.random() < slow:
            ratio *= 5.0
        route = f"r{self.rng.randrange(3)}"
        answer = AnswerSample(f"{name}{number}", route, failed, ratio=ratio)
        self.comparison.observe(answer, new=new, now=self.now)


class TestComparison:
    SEEDS = range(20)

    def test_a_version_like_the_current_one_is_not_rejected(self):
        found = [_DrawnAnswers(s).add_new(600)[1] for s in self.SEEDS]
        assert found.count("") >= 19

    def test_a_version_failing_like_the_current_one_is_not_rejected(self):
        found = [
            _DrawnAnswers(s).add_new(600, fails=0.14, current_fails=0.14)[1]
            for s in self.SEEDS
        ]
        assert found.count("") >= 19

    @pytest.mark.parametrize("part", [0.2, 0.5])
    def test_a_failing_version_is_rejected_before_50_bad_answers(self, part):
        for seed in self.SEEDS:
            answers, reason = _DrawnAnswers(seed).add_new(600, fails=part)
            assert reason.startswith("fails"), seed
            assert answers * part < 50

    def test_a_partly_slow_version_is_rejected(self):
        for seed in self.SEEDS:
            answers, reason = _DrawnAnswers(seed).add_new(600, slow=0.4)
            assert reason.startswith("slow"), seed
            assert answers * 0.4 < 50

    def test_a_version_that_turns_bad_later_is_rejected(self):
        for seed in self.SEEDS:
            answers = _DrawnAnswers(seed)
            assert answers.add_new(300)[1] == ""
            later, reason = answers.add_new(300, fails=0.3)
            assert reason, seed
            assert later * 0.3 < 50

    def test_requests_that_do_not_end_reject_a_version(self):
        """Guards against completing a slow version whose answers end too late."""
        answers = _DrawnAnswers(1)
        assert answers.add_new(300)[1] == ""
        answers.add_running(5, ratio=0.5)
        assert answers.comparison.rejection_reason(4, answers.now) == ""
        answers.add_running(15, ratio=60.0)
        assert answers.comparison.rejection_reason(4, answers.now).startswith("slow")

    def test_running_requests_that_end_well_leave_no_evidence(self):
        answers = _DrawnAnswers(1)
        answers.add_new(300)
        before = answers.comparison.evidence
        answers.add_running(8, ratio=60.0)
        assert answers.comparison.evidence > before
        answers.add_running(0, ratio=0.0)
        assert answers.comparison.evidence == before

    def test_a_version_bad_under_load_only_is_rejected(self):
        """Guards against outweighing its few bad answers by all the others."""
        comparison = VersionComparison()
        rng = random.Random(3)
        bad = 0
        for number in range(600):
            now = 0.01 * number
            new, loaded = number % 5 == 0, number % 20 == 0
            failed = new and loaded and rng.random() < 0.8
            bad += failed
            name = f"{'new' if new else 'old'}{number % 3}"
            answer = AnswerSample(
                name, f"r{number % 4}", failed, ratio=1.0, loaded=loaded
            )
            comparison.observe(answer, new=new, now=now)
            if comparison.rejection_reason(3, now):
                break
        assert "under load" in comparison.rejection_reason(3, now)
        assert bad < 15

    def test_few_bad_answers_raise_a_suspicion(self):
        """Guards against completing a bad version for lack of evidence to reject it."""
        answers = _DrawnAnswers(1)
        answers.add_new(200)
        assert answers.comparison.suspicion(4) == ""
        for number in range(3):
            failed = AnswerSample(f"new{number}", "r0", True)
            answers.comparison.observe(failed, new=True, now=answers.now)
        assert answers.comparison.rejection_reason(4, answers.now) == ""
        assert answers.comparison.suspicion(4)

    def test_excluding_a_faulty_target_keeps_the_answers_of_others(self):
        """Guards against dropping the evidence against the version's other targets."""
        answers = _DrawnAnswers(2, targets=2)
        answers.add_new(100, fails=0.5, only=0)
        assert answers.comparison.faulty_targets == {"new0"}
        assert answers.comparison.suspicion(2)
        _count, reason = answers.add_new(100, fails=0.5, only=1)
        assert reason

    def test_the_first_answers_of_new_targets_do_not_bias_fast_times(self):
        """Guards against rejecting a good version whose targets all start at once.

        The fast answers of a target end first, so later ones look slow beside them.
        """
        comparison = VersionComparison()
        rng = random.Random(1)
        for number in range(400):
            ratio = rng.lognormvariate(0.0, 0.6)
            old = AnswerSample(f"old{number % 4}", "r", False, ratio=ratio)
            comparison.observe(old, new=False, now=0.01 * number)
        comparison.begin_full_traffic(4.0)
        ratios = sorted(rng.lognormvariate(0.0, 0.6) for _ in range(400))
        for number, ratio in enumerate(ratios):
            new = AnswerSample(f"new{number % 40}", "r", False, ratio=ratio)
            comparison.observe(new, new=True, now=4.0 + 0.005 * number)
        assert comparison.evidence < 0.1

    def test_one_faulty_target_does_not_reject_its_version(self):
        for seed in self.SEEDS:
            answers = _DrawnAnswers(seed)
            assert answers.add_new(400, fails=0.5, only=1)[1] == ""
            assert answers.comparison.faulty_targets == {"new1"}

    def test_the_only_target_of_a_version_can_reject_it(self):
        answers = _DrawnAnswers(1, targets=1)
        assert answers.add_new(400, fails=0.5)[1]

    def test_a_crash_counts_once(self):
        comparison = VersionComparison()
        for number in range(60):
            old = AnswerSample("old", "r", False, ratio=1.0)
            comparison.observe(old, new=False, now=0.01 * number)
        for number in range(10):
            broken = AnswerSample("new", "r", False, broken=True)
            comparison.observe(broken, new=True, now=1.0 + 0.001 * number)
        assert comparison.bad == 1

    def test_nothing_is_rejected_before_the_current_version_answered(self):
        comparison = VersionComparison()
        for number in range(40):
            failed = AnswerSample("new", "r", True)
            comparison.observe(failed, new=True, now=0.1 * number)
        assert comparison.rejection_reason(1, 4.0) == ""

    def test_the_sprt_rejects_as_well(self):
        assert _DrawnAnswers(1, test="sprt").add_new(600, fails=0.5)[1]

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
        """Send `rate` requests per second; return when the order ended, or None."""
        rng = random.Random(1)
        for number in range(int(seconds * rate)):
            now = start + number / rate
            exposed = rollout.may_expose()
            rollout.count_request(exposed)
            name = "new" if exposed else "old"
            failed = exposed and rng.random() < failing
            answer = AnswerSample(f"{name}{number % 3}", "r", failed, ratio=1.0)
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

    def test_a_good_version_stays_within_the_limit_until_then(self):
        rollout = _rollout()
        self._serve(rollout, 20.0)
        progress = rollout.progress
        assert progress.exposed <= 0.1 * progress.requests + 50

    def test_a_bad_version_is_rolled_back_and_receives_no_more(self):
        rollout = _rollout()
        self._serve(rollout, 20.0, failing=0.5)
        assert rollout.verdict is RolloutState.ROLLED_BACK
        assert not rollout.may_expose()

    def test_a_suspicion_prevents_full_traffic(self):
        rollout = _rollout()
        self._serve(rollout, 18.5)
        for number in range(4):
            bad = AnswerSample(f"new{number % 3}", "r", number % 2 == 0, ratio=1.0)
            rollout.comparison.observe(bad, new=True, now=18.5)
        assert rollout.comparison.rejection_reason(3, 18.5) == ""
        rollout.tick(3, 19.6)
        assert not rollout.sends_all_traffic
        rollout.tick(3, 19.71)
        assert rollout.verdict is RolloutState.ROLLED_BACK

    def test_answers_that_were_not_compared_do_not_complete_it(self):
        rollout = _rollout()
        for number in range(20):
            rollout.count_request(True)
            answer = AnswerSample("new", "r", False, ratio=1.0)
            rollout.comparison.observe(answer, new=True, now=0.1 * number)
        rollout.tick(3, 19.8)
        assert rollout.verdict is RolloutState.ROLLED_BACK
        assert "compared" in rollout.reason

    def test_canary_requests_are_limited_by_rate(self):
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
        rollout.count_request(True)
        rollout.tick(2, 4.8)
        assert rollout.verdict is RolloutState.ROLLED_BACK
        assert "answers" in rollout.reason

    def test_a_takeover_continues_with_the_used_budget(self):
        before = RolloutProgress(100, 25, 22)
        rollout = _rollout(progress=before)
        assert not rollout.may_expose()
        assert rollout.progress.exposed == 25

    def test_an_unknown_used_budget_starts_with_the_share_alone(self):
        rollout = _rollout(progress=RolloutProgress(is_known=False))
        assert not rollout.may_expose()

    def test_evidence_of_a_previous_dispatcher_counts(self):
        before = RolloutProgress(1000, 40, 40, evidence=0.9)
        rollout = _rollout(progress=before)
        rollout.tick(3, 19.8)
        assert rollout.verdict is RolloutState.ROLLED_BACK

    def test_the_current_version_is_completed_at_once(self):
        rollout = _rollout(is_current=True)
        rollout.tick(3, 0.0)
        assert rollout.verdict is RolloutState.COMPLETED


def _plan(serving=("v1",), rollout=None, versions=("v1", "v1", "v2")):
    targets = {
        f"t{n}": PlannedTarget(4, version=version) for n, version in enumerate(versions)
    }
    pool = PlannedPool(False, 1, 1.0, targets, frozenset(serving), rollout)
    return DispatchPlan({"p": pool})


def _work(number, now, **fields):
    ask = f"a{number}"
    return m.Work(
        ask,
        ask,
        "i",
        "c",
        "0",
        0,
        0,
        1,
        now + 9.0,
        now,
        first_token_due=now + 9,
        **fields,
    )


class TestDispatcher:
    """A dispatcher grants targets according to their version."""

    def _dispatcher(self, plan, standby_instance=""):
        dispatcher = SlotDispatcher("p", plan, standby_instance=standby_instance)
        dispatcher.handle(m.Recovered(), 0.0)
        return dispatcher

    def _granted(self, dispatcher, count, now=0.0, **fields):
        """Request grants, each finished before the next; return their targets."""
        found = []
        for number in range(count):
            work = _work(number, now, **fields)
            for taken in dispatcher.handle(m.RequestGrant(work), now):
                found.append(taken.target)
            dispatcher.handle(m.Finished(work.ask, m.GrantOutcome.DONE), now + 0.01)
        return found

    def test_a_version_that_is_not_current_receives_nothing(self):
        dispatcher = self._dispatcher(_plan())
        assert "t2" not in self._granted(dispatcher, 50)

    def test_a_version_that_is_not_current_receives_nothing_in_overload(self):
        dispatcher = self._dispatcher(_plan())
        for number in range(20):
            dispatcher.handle(m.RequestGrant(_work(number, 0.0)), 0.0)
        assert dispatcher.waiting == {"0": 12}

    def test_without_a_current_version_nothing_is_granted(self):
        assert self._granted(self._dispatcher(_plan(serving=("",))), 5) == []

    @pytest.mark.parametrize("serving", ["", "v9"], ids=["unknown", "without a target"])
    def test_without_a_current_version_a_refusal_tells_it(self, serving):
        """Guards against refusals for load while all targets are idle."""
        dispatcher = self._dispatcher(_plan(serving=(serving,)))
        dispatcher.handle(m.RequestGrant(_work(0, 0.0)), 0.0)
        (refusal,) = dispatcher.handle(m.TimePassed(), 100.0)
        assert refusal.reason is m.RefusalReason.NO_VERSION
        assert refusal.retry_after <= 2.0

    def test_all_targets_serve_without_information_on_versions(self):
        dispatcher = self._dispatcher(_plan(serving=()))
        for number in range(12):
            dispatcher.handle(m.RequestGrant(_work(number, 0.0)), 0.0)
        assert dispatcher.waiting == {}

    def test_a_standby_dispatcher_sends_no_canary_requests(self):
        plan = _plan(rollout=PlannedRollout("v2", 1, 100.0))
        dispatcher = self._dispatcher(plan, standby_instance="i")
        assert "t2" not in self._granted(dispatcher, 50)

    def test_suspect_requests_run_at_the_current_version(self):
        plan = _plan(rollout=PlannedRollout("v2", 1, 100.0))
        dispatcher = self._dispatcher(plan)
        assert "t2" not in self._granted(dispatcher, 50, suspect=7)

    def test_a_version_being_rolled_out_receives_few(self):
        plan = _plan(rollout=PlannedRollout("v2", 1, 100.0, limits=LIMITS))
        granted = self._granted(self._dispatcher(plan), 400)
        assert 0 < granted.count("t2") <= 0.1 * 400 + 50

    def test_a_withdrawn_order_bars_its_version(self):
        plan = _plan(rollout=PlannedRollout("v2", 1, 100.0, limits=LIMITS))
        dispatcher = self._dispatcher(plan)
        dispatcher.handle(m.Configure(_plan()), 0.0)
        assert "t2" not in self._granted(dispatcher, 50)

    def test_a_completed_version_receives_all(self):
        dispatcher = self._dispatcher(_plan())
        dispatcher.handle(m.Configure(_plan(serving=("v2",))), 0.0)
        assert set(self._granted(dispatcher, 20)) == {"t2"}
