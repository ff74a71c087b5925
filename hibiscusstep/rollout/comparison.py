"""hibiscusstep.rollout.comparison: whether a new version is worse than the current one.

Both versions are observed over the same period, route by route. An answer is bad if it
failed or took several times as long as usual at its target.
"""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from hibiscusstep.rollout.answer_times import AnswerTimes, RelativeTime
from hibiscusstep.rollout.evidence import (
    ALL_ROUTES,
    EXCESS_SHARES,
    UNDER_LOAD,
    AnswerEvidence,
    Evidence,
)
from hibiscusstep.rollout.failure_rates import FailureRates
from hibiscusstep.rollout.sequential import TESTS, Cusum, log_ratio_of_failure

__all__ = ["AnswerSample", "VersionComparison"]

# A version is slow on all targets if the fastest of at least three of its targets takes
# five times as long as the current version's; a single target may run on slow hardware.
ALL_SLOW_FACTOR = 5.0
MIN_TARGETS_FOR_ALL_SLOW = 3
# A version has to be rolled back soon after its fiftieth bad answer. Once it has
# MANY_EXCESS_BAD bad answers beyond this share of all, less evidence rejects it.
USUAL_BAD_SHARE, MANY_EXCESS_BAD, REDUCED_THRESHOLD = 0.2, 18.0, 0.5
# Targets that have just started are slower for a while; all targets have to stay slow
# for longer than this.
WARM_UP_S = 6.0
# A target is faulty by itself, whatever its version, if its rate of bad answers is this
# many times that of the others. It is also considered faulty if the others have too few
# answers, since these show nothing against the version.
FAULTY_RATE_RATIO = 2.0
MIN_ANSWERS_OF_OTHERS = 5
# A suspicion against a version is attributed to a faulty target only if there are this
# many answers of the others.
MIN_ANSWERS_AGAINST_SUSPICION = 20
# Numbers of targets from which on one, two, three of them may be faulty by themselves.
TARGETS_PER_TOLERATED_FAULT = (2, 6, 16)
# A crash of a target fails all its running requests; within this time they count once.
CRASH_S = 1.0


@dataclass(frozen=True, slots=True)
class AnswerSample:
    """How a request ended at a target.

    Parameters
    ----------
    target, route : str
        Target and route of the request.
    failed : bool
        Whether the target failed the request.
    broken : bool
        Whether the connection broke; when a target crashes, many break at once.
    ratio : float
        Ratio of its seconds to those expected of a target of slowness 1; 0 if not
        known.
    cut_short : bool
        Whether its caller left before its end, or it still runs. Such a request shows
        only whether it is slow.
    loaded : bool
        Whether most slots of its target were taken when it was granted.
    """

    target: str
    route: str
    failed: bool
    broken: bool = False
    ratio: float = 0.0
    cut_short: bool = False
    loaded: bool = False


class VersionComparison:
    """Compares the answers of a new version with those of the current one.

    A target may be faulty by itself, so a version with several targets is rejected only
    after some of them were bad.

    Parameters
    ----------
    test : str
        Name of the sequential test.

    Attributes
    ----------
    faulty_targets : set of str
        Targets of the new version that are faulty by themselves; their answers do not
        count.
    answers, bad : int
        Answers of the new version, and the bad ones of them.
    """

    def __init__(self, test: str = Cusum.name) -> None:
        self._rates = FailureRates()
        self._times = AnswerTimes()
        self._evidence = Evidence(TESTS.get(test))
        self._new_targets: set[str] = set()
        self._bad_by_target: Counter[str] = Counter()
        self._answers_by_target: Counter[str] = Counter()
        self._crashed_at: dict[str, float] = {}
        self._slow_since = math.inf
        self.faulty_targets: set[str] = set()
        self.answers = 0
        self.bad = 0

    @property
    def evidence(self) -> float:
        """Maximum evidence that the new version is worse; at 1 it is rejected."""
        return self._evidence.strongest

    @property
    def has_enough_answers(self) -> bool:
        """Whether enough answers were compared to detect a bad version."""
        return self._evidence.is_enough

    @property
    def has_baseline(self) -> bool:
        """Whether there are enough answers of the current version to compare with."""
        return self._rates.are_known

    def observe(self, answer: AnswerSample, *, new: bool, now: float) -> None:
        """Add an answer of the new version or of the current one."""
        if answer.broken and self._is_of_same_crash(answer.target, now):
            return
        failed = answer.failed or answer.broken
        relative = None if failed else self._measure(answer, new, now)
        slow = relative is not None and self._times.is_slow(answer.route, relative)
        if answer.cut_short and not slow:
            return
        if not new:
            self._rates.add(answer.route, failed, now)
            if relative is not None:
                self._times.add_to_distribution(answer.route, relative, answer.loaded)
            return
        self._new_targets.add(answer.target)
        self.answers += 1
        self.bad += failed or slow
        if answer.target in self.faulty_targets or not self._rates.are_known:
            return
        self._bad_by_target[answer.target] += failed or slow
        self._answers_by_target[answer.target] += 1
        self._evidence.add(self._evidence_of(answer, failed, relative))

    def begin_full_traffic(self, now: float) -> None:
        """Note that all targets of the new version receive requests from now on."""
        self._times.stop_accepting_targets(now)

    def replace_running(self, answers: Iterable[AnswerSample], now: float) -> None:
        """Replace the requests that are running at the new version's targets.

        Parameters
        ----------
        answers : iterable of AnswerSample
            The running requests, cut short, with their time so far. Only those that
            are already slow count.
        now : float
            Seconds on the dispatcher's clock.
        """
        self._evidence.replace_running(
            self._evidence_of(answer, False, relative)
            for answer in answers
            if answer.target not in self.faulty_targets
            and (relative := self._measure(answer, True, now)) is not None
            and self._times.is_slow(answer.route, relative)
        )

    def _measure(
        self, answer: AnswerSample, new: bool, now: float
    ) -> RelativeTime | None:
        return self._times.measure(
            answer.target,
            answer.route,
            answer.ratio,
            loaded=answer.loaded,
            is_baseline=not new,
            is_whole=not answer.cut_short,
            now=now,
        )

    def _evidence_of(
        self, answer: AnswerSample, failed: bool, relative: RelativeTime | None
    ) -> AnswerEvidence:
        """Return the evidence of an answer of the new version."""
        route = answer.route
        rate = self._rates.rate(route)
        keys = (route, ALL_ROUTES, UNDER_LOAD) if answer.loaded else (route, ALL_ROUTES)
        failures = tuple(log_ratio_of_failure(failed, rate, p) for p in EXCESS_SHARES)
        slowness = ()
        if relative is not None:
            slowness = tuple(
                self._times.log_ratio(route, relative, excess, answer.loaded)
                for excess in EXCESS_SHARES
            )
        return AnswerEvidence(answer.target, keys, failures, slowness)

    def rejection_reason(self, targets: int, now: float) -> str:
        """Return why the new version is to be rejected; empty if it is not.

        A target that is faulty by itself is excluded instead.

        Parameters
        ----------
        targets : int
            Number of targets of the new version.
        now : float
            Seconds on the dispatcher's clock.
        """
        reason = self._reason(targets, now)
        return "" if reason and self._exclude_worst_target(targets, 0) else reason

    def _exclude_worst_target(self, targets: int, min_answers_of_others: int) -> bool:
        """Exclude a target that is faulty by itself; return whether there is one.

        Parameters
        ----------
        targets : int
            Number of targets of the new version.
        min_answers_of_others : int
            With fewer answers of the other targets, none is excluded.
        """
        if len(self.faulty_targets) >= _max_faulty_targets(targets):
            return False
        worst = self._worst_target()
        of_others = self._answers_by_target.total() - self._answers_by_target[worst]
        if not worst or of_others < min_answers_of_others:
            return False
        self._exclude_target(worst)
        return True

    def suspicion(self, targets: int) -> str:
        """Return a sign that the new version is worse; empty if there is none.

        Parameters
        ----------
        targets : int
            Number of targets of the new version.
        """
        suspicion = self._evidence.suspicion()
        while suspicion and self._exclude_worst_target(
            targets, MIN_ANSWERS_AGAINST_SUSPICION
        ):
            suspicion = self._evidence.suspicion()
        faulty = len(self.faulty_targets)
        if not suspicion and 2 * faulty >= max(2, targets):
            return "half of its targets are faulty"
        if not suspicion and faulty > 1 and 3 * faulty >= len(self._new_targets):
            return "a third of the targets that received requests are faulty"
        return suspicion

    def _exclude_target(self, target: str) -> None:
        """Stop counting the answers of a target that is faulty by itself."""
        self.faulty_targets.add(target)
        self._evidence.exclude_target(target)
        for counts in (self._bad_by_target, self._answers_by_target):
            del counts[target]

    def _worst_target(self) -> str:
        """Return the target that is faulty by itself; empty if there is none."""
        bad = self._bad_by_target + self._evidence.slow_running
        worst = max(bad, key=bad.get, default="")
        answers = self._answers_by_target.total() - self._answers_by_target[worst]
        if answers < MIN_ANSWERS_OF_OTHERS:
            return worst
        others = (bad.total() - bad[worst]) / answers
        own = bad[worst] / max(1, self._answers_by_target[worst])
        return worst if own > FAULTY_RATE_RATIO * others else ""

    def _reason(self, targets: int, now: float) -> str:
        if reason := self._evidence.rejection_reason(self._required_part):
            return reason
        if not self._is_slow_on_all_targets(targets, now):
            self._slow_since = math.inf
            return ""
        self._slow_since = min(self._slow_since, now)
        return "slow on all targets" if now >= self._slow_since + WARM_UP_S else ""

    @property
    def _required_part(self) -> float:
        """Part of the usual evidence that is sufficient to reject the version."""
        excess = self.bad - USUAL_BAD_SHARE * self.answers
        return REDUCED_THRESHOLD if excess >= MANY_EXCESS_BAD else 1.0

    def _is_of_same_crash(self, target: str, now: float) -> bool:
        """Whether a broken connection is not the first one of a target's crash."""
        if now < self._crashed_at.get(target, -math.inf) + CRASH_S:
            return True
        self._crashed_at[target] = now
        return False

    def _is_slow_on_all_targets(self, targets: int, now: float) -> bool:
        """Whether all targets of the new version are much slower than the others."""
        known = self._times.fast_ratios(now)
        new = [
            math.log(ratio)
            for name, ratio in known.items()
            if name in self._new_targets
        ]
        old = [
            math.log(r) for name, r in known.items() if name not in self._new_targets
        ]
        if len(new) < min(MIN_TARGETS_FOR_ALL_SLOW, targets) or not old:
            return False
        return min(new) - sum(old) / len(old) > math.log(ALL_SLOW_FACTOR)


def _max_faulty_targets(targets: int) -> int:
    """Return how many targets of a version may be faulty by themselves."""
    return sum(targets >= least for least in TARGETS_PER_TOLERATED_FAULT)
