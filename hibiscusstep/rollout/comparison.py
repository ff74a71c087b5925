"""hibiscusstep.rollout.comparison: whether a version answers worse than another one.

Both versions are observed over the same seconds, route by route. An answer is bad if
it failed, or took several times what its target usually takes.
"""

import math
from collections import Counter
from dataclasses import dataclass

from hibiscusstep.rollout.answer_times import AnswerTimes
from hibiscusstep.rollout.failure_rates import FailureRates
from hibiscusstep.rollout.sequential import (
    TESTS,
    Cusum,
    SequentialTest,
    log_ratio_of_failure,
)

__all__ = ["Answer", "VersionComparison"]

# All of a version is slow if the fastest of so many of its targets takes so many times
# what the others take: one target may run on slow hardware.
SLOW_THROUGHOUT = 5.0
TARGETS_THROUGHOUT = 3
# Targets that have just started are cold: they are compared after so many seconds.
COLD_S = 6.0
# How much worse a version is supposed to be, if it is worse: the tests look for each.
EXCESSES = (0.05, 0.2)
# Natural logarithm of the evidence that is asked for; more where times are compared,
# whose distribution is only roughly known.
EVIDENCE, SLOW_EVIDENCE = 10.0, 13.0
# One target is at fault, and not its version, if its answers are bad so many times as
# often as those of the others. Too few answers of these tell nothing against them.
FAULTY_TIMES = 2.0
FEWEST_OF_OTHERS = 5
# A version with so many targets may have one, two, three at fault by themselves.
FAULTS_FROM_TARGETS = (2, 6, 16)
# Stands for all routes: what is bad on each of them shows sooner together.
ALL_ROUTES = "all routes"
# A target that crashes fails all that runs there: once in so many seconds.
CRASH_S = 1.0


@dataclass(frozen=True, slots=True)
class Answer:
    """How a request ended at a target.

    Parameters
    ----------
    target, route : str
        Where, and of which route.
    failed : bool
        Whether the target failed the request.
    broken : bool
        Whether the connection broke; many break at once where a target crashes.
    ratio : float
        Seconds that it took against what was expected of a usual target; 0 if not
        known.
    cut_short : bool
        Whether its caller left before its end: it tells only that it was slow.
    """

    target: str
    route: str
    failed: bool
    broken: bool = False
    ratio: float = 0.0
    cut_short: bool = False


class VersionComparison:
    """Weighs the answers of a new version against those of the version in force.

    A target may be at fault by itself, so a version that has several is condemned only
    after some of them showed it.

    Parameters
    ----------
    test : str
        Name of the sequential test.

    Attributes
    ----------
    faulty : set of str
        Targets of the new version that did worse by themselves; their answers do not
        count.
    answers, bad : int
        Answers of the new version, and the bad ones of them.
    """

    def __init__(self, test: str = Cusum.name) -> None:
        self._make_test = TESTS.get(test)
        self._rates = FailureRates()
        self._times = AnswerTimes()
        self._new: set[str] = set()
        self._failures: dict[str, list[SequentialTest]] = {}
        self._slowness: dict[str, list[SequentialTest]] = {}
        self._bad_at: Counter[str] = Counter()
        self._answers_at: Counter[str] = Counter()
        self._broke: dict[str, float] = {}
        self._slow_since = math.inf
        self.faulty: set[str] = set()
        self.answers = 0
        self.bad = 0

    @property
    def evidence(self) -> float:
        """The most evidence that the new version is worse, 1 where it is enough."""
        parts = [
            test.evidence / needed
            for tests, needed in self._each_kind()
            for of_route in tests.values()
            for test in of_route
        ]
        return max(parts, default=0.0)

    def observe(self, answer: Answer, *, new: bool, now: float) -> None:
        """Take an answer of the new version, or of the one in force."""
        if answer.broken and self._is_of_same_crash(answer.target, now):
            return
        failed = answer.failed or answer.broken
        log_time = None if failed else self._log_time(answer, new)
        slow = log_time is not None and self._times.is_slow(answer.route, log_time)
        if answer.cut_short and not slow:
            return
        if not new:
            self._rates.add(answer.route, failed, now)
            if log_time is not None:
                self._times.learn_spread(answer.route, log_time)
            return
        self._new.add(answer.target)
        self.answers += 1
        self.bad += failed or slow
        if answer.target in self.faulty or not self._rates.are_known:
            return
        self._bad_at[answer.target] += failed or slow
        self._answers_at[answer.target] += 1
        self._weigh(answer.route, failed, log_time)

    def _log_time(self, answer: Answer, new: bool) -> float | None:
        return self._times.log_time(
            answer.target,
            answer.route,
            answer.ratio,
            learns=not new,
            is_whole=not answer.cut_short,
        )

    def _weigh(self, route: str, failed: bool, log_time: float | None) -> None:
        """Add an answer of the new version to the tests."""
        rate = self._rates.rate(route)
        for number, part in enumerate(EXCESSES):
            ratio = log_ratio_of_failure(failed, rate, part)
            self._add(self._failures, route, number, ratio)
            if log_time is not None:
                ratio = self._times.log_ratio(route, log_time, part)
                self._add(self._slowness, route, number, ratio)

    def _add(self, tests: dict, route: str, number: int, log_ratio: float) -> None:
        for key in (route, ALL_ROUTES):
            if key not in tests:
                tests[key] = [self._make_test() for _ in EXCESSES]
            tests[key][number].add(log_ratio)

    def judge(self, targets: int, now: float) -> str:
        """Return why the new version is worse; empty if that is not shown.

        Parameters
        ----------
        targets : int
            How many the new version has.
        now : float
            Seconds on the dispatcher's clock.
        """
        reason = self._reason(targets, now)
        if not reason or len(self.faulty) >= _tolerated_faults(targets):
            return reason
        worst = self._worst_target()
        if not worst:
            return reason
        self.faulty.add(worst)
        for counts in (self._failures, self._slowness, self._bad_at, self._answers_at):
            counts.clear()
        return ""

    def _worst_target(self) -> str:
        """Return the target that is at fault by itself; empty if none is."""
        worst = max(self._bad_at, key=self._bad_at.get, default="")
        answers = self._answers_at.total() - self._answers_at[worst]
        if answers < FEWEST_OF_OTHERS:
            return worst
        others = (self._bad_at.total() - self._bad_at[worst]) / answers
        own = self._bad_at[worst] / self._answers_at[worst]
        return worst if own > FAULTY_TIMES * others else ""

    def _each_kind(self) -> tuple[tuple[dict, float], ...]:
        """Return the tests of failures and of slowness, and the evidence they need."""
        return (self._failures, EVIDENCE), (self._slowness, SLOW_EVIDENCE)

    def _reason(self, targets: int, now: float) -> str:
        for what, (tests, needed) in zip(
            ("fails", "slow"), self._each_kind(), strict=True
        ):
            routes = sorted(
                route
                for route, of_route in tests.items()
                if any(test.evidence >= needed for test in of_route)
            )
            if routes:
                return f"{what} on {', '.join(routes)}"
        if not self._is_slow_throughout(targets):
            self._slow_since = math.inf
            return ""
        self._slow_since = min(self._slow_since, now)
        return "slow throughout" if now >= self._slow_since + COLD_S else ""

    def _is_of_same_crash(self, target: str, now: float) -> bool:
        """Whether a broken connection is not the first of a target's crash."""
        if now < self._broke.get(target, -math.inf) + CRASH_S:
            return True
        self._broke[target] = now
        return False

    def _is_slow_throughout(self, targets: int) -> bool:
        """Whether the new version's targets are all much slower than the others."""
        known = self._times.fast_ratios()
        new = [math.log(ratio) for name, ratio in known.items() if name in self._new]
        old = [math.log(r) for name, r in known.items() if name not in self._new]
        if len(new) < min(TARGETS_THROUGHOUT, targets) or not old:
            return False
        return min(new) - sum(old) / len(old) > math.log(SLOW_THROUGHOUT)


def _tolerated_faults(targets: int) -> int:
    """Return how many targets of a version may be at fault by themselves."""
    return sum(targets >= least for least in FAULTS_FROM_TARGETS)
