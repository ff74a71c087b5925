"""hibiscusstep.rollout.comparison: whether a version answers worse than another one.

Both versions are observed over the same seconds, route by route. An answer is bad if
it failed, or took several times what its target usually takes.
"""

import itertools
import math
from abc import ABC, abstractmethod
from collections import Counter, defaultdict, deque
from dataclasses import dataclass

from hibiscusstep.registry import Registry

__all__ = [
    "Answer",
    "Cusum",
    "SequentialTest",
    "SPRT",
    "TESTS",
    "VersionComparison",
]

# A slow answer is supposed to take so many times as long. One answer is no more
# evidence than this, as a logarithm: a few take long in any version.
SLOW_FACTOR = 4.0
MOST_FROM_ONE = 1.5
# Spread of the logarithm of an answer's time over that of its target's fast ones, at
# first and at the least, and the weight of a new answer in it.
FIRST_SPREAD, LEAST_SPREAD, SPREAD_LEARN = 0.6, 0.35, 0.03
# Answers of a target that tell how long its fast ones take, and the least number.
REMEMBERED, FEWEST = 64, 5
# Most answers may be slow: the fast ones are those of this part.
FAST_PART = 0.15
# All of a version is slow if the fastest of so many of its targets takes so many times
# what the others take: one target may run on slow hardware.
SLOW_THROUGHOUT = 5.0
TARGETS_THROUGHOUT = 3
# Targets that have just started are cold: they are compared after so many seconds.
COLD_S = 6.0
# Weight of an answer in how long those of its route take, and the least number.
ROUTE_LEARN, ROUTE_FEWEST = 0.02, 10
# Weight that what was observed keeps each second; faults that hit both versions pass.
KEPT_A_SECOND = 0.93
FADE_STEP_S = 1.0
# Standard errors that are added to the rate of bad answers of the version in force.
RATE_MARGIN = 1.5
# Answers that are taken as observed with the pool's own rate on a route with few, and
# in the pool with another one; before there are so many nothing is compared.
PRIOR_ANSWERS = 20.0
PRIOR_RATE = 0.05
FEWEST_COMPARED = 30.0
LEAST_RATE, MOST_RATE = 0.004, 0.9
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


class SequentialTest(ABC):
    """Sums up the evidence of answers, one by one, that too many of them are bad.

    Attributes
    ----------
    evidence : float
        Natural logarithm of how much likelier the answers are if too many are.
    """

    name: str

    def __init__(self) -> None:
        self.evidence = 0.0

    @abstractmethod
    def add(self, log_ratio: float) -> None:
        """Take an answer's logarithm of the likelihood ratio."""


class Cusum(SequentialTest):
    """Page's test: the evidence never falls below none.

    Page, E. S. (1954), Continuous inspection schemes, Biometrika 41. What was good at
    first does not count for a version that turns bad later.
    """

    name = "cusum"

    def add(self, log_ratio: float) -> None:
        """Take an answer; evidence that it is good does not add up."""
        self.evidence = max(0.0, self.evidence + log_ratio)


class SPRT(SequentialTest):
    """Wald's test: all answers count.

    Wald, A. (1945), Sequential tests of statistical hypotheses, Annals of Mathematical
    Statistics 16.
    """

    name = "sprt"

    def add(self, log_ratio: float) -> None:
        """Take an answer."""
        self.evidence += log_ratio


TESTS = Registry("sequential test", [Cusum, SPRT])


class _Spread:
    """Log-normal times of the version in force, over those of its fast answers."""

    def __init__(self) -> None:
        self._mean = FIRST_SPREAD
        self._square = FIRST_SPREAD**2
        self.count = 0

    def add(self, log_time: float) -> None:
        self.count += 1
        off = log_time - self._mean
        self._mean += SPREAD_LEARN * off
        self._square += SPREAD_LEARN * (off**2 - self._square)

    def log_ratio(self, log_time: float, part: float) -> float:
        """Return the logarithm of how much likelier a time is if a part is slow."""
        variance = max(LEAST_SPREAD**2, self._square)
        shift = math.log(SLOW_FACTOR)
        power = shift * (log_time - self._mean - shift / 2) / variance
        slow = math.exp(min(power, 50.0))
        return min(MOST_FROM_ONE, math.log(1 - part + part * slow))


def _log_ratio_of_failure(failed: bool, rate: float, part: float) -> float:
    """Return the logarithm of how much likelier an outcome is if a part more fails.

    Parameters
    ----------
    failed : bool
        The outcome.
    rate : float
        Part of answers that fail in the version in force.
    part : float
        Of the others.
    """
    worse = rate + part * (1 - rate)
    return math.log(worse / rate if failed else (1 - worse) / (1 - rate))


@dataclass(slots=True)
class _Rate:
    """Answers and bad ones of the version in force on a route, fading."""

    answers: float = 0.0
    bad: float = 0.0

    def fade(self, kept: float) -> None:
        self.answers *= kept
        self.bad *= kept

    def add(self, bad: bool) -> None:
        self.answers += 1
        self.bad += bad


class _Typical:
    """How long a route's answers take in the version in force, as a mean logarithm."""

    def __init__(self) -> None:
        self._mean = 0.0
        self._count = 0

    @property
    def ratio(self) -> float:
        """Against what was expected; 0 if not known."""
        return math.exp(self._mean) if self._count >= ROUTE_FEWEST else 0.0

    def add(self, ratio: float) -> None:
        self._count += 1
        weight = max(ROUTE_LEARN, 1 / self._count)
        self._mean += weight * (math.log(ratio) - self._mean)


class _Fast:
    """What a target's fast answers take, against what was expected."""

    def __init__(self) -> None:
        self._ratios: deque[float] = deque(maxlen=REMEMBERED)
        self._quantile: float | None = None

    @property
    def is_known(self) -> bool:
        return len(self._ratios) >= FEWEST

    @property
    def ratio(self) -> float:
        if self._quantile is None:
            ordered = sorted(self._ratios)
            self._quantile = ordered[int(FAST_PART * len(ordered))]
        return self._quantile

    def add(self, ratio: float) -> None:
        self._ratios.append(ratio)
        self._quantile = None


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
        self._rates: dict[str, _Rate] = defaultdict(_Rate)
        self._typical: dict[str, _Typical] = defaultdict(_Typical)
        self._fast: dict[str, _Fast] = defaultdict(_Fast)
        self._new: set[str] = set()
        self._failures: dict[str, list[SequentialTest]] = {}
        self._slowness: dict[str, list[SequentialTest]] = {}
        self._bad_at: Counter[str] = Counter()
        self._answers_at: Counter[str] = Counter()
        self._broke: dict[str, float] = {}
        self._spreads: dict[str, _Spread] = defaultdict(_Spread)
        self._slow_since = math.inf
        self._faded = 0.0
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
        if answer.cut_short and (
            log_time is None or not self._is_slow(answer.route, log_time)
        ):
            return
        if not new:
            self._fade(now)
            self._rates[answer.route].add(failed)
            if log_time is not None:
                for route in (answer.route, ALL_ROUTES):
                    self._spreads[route].add(log_time)
            return
        bad = failed or (log_time is not None and self._is_slow(answer.route, log_time))
        self._new.add(answer.target)
        self.answers += 1
        self.bad += bad
        if answer.target in self.faulty or self._old_answers < FEWEST_COMPARED:
            return
        self._bad_at[answer.target] += bad
        self._answers_at[answer.target] += 1
        rate = self.rate(answer.route)
        for part, number in zip(EXCESSES, itertools.count(), strict=False):
            ratio = _log_ratio_of_failure(failed, rate, part)
            self._add(self._failures, answer.route, number, ratio)
            if log_time is not None:
                ratio = self._spread_of(answer.route).log_ratio(log_time, part)
                self._add(self._slowness, answer.route, number, ratio)

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

    def rate(self, route: str) -> float:
        """Return the part of answers that are bad in the version in force, cautiously.

        Parameters
        ----------
        route : str
            Of a route with few answers the pool's rate counts as well.
        """
        bad = sum(rate.bad for rate in self._rates.values())
        pool = (bad + PRIOR_RATE * PRIOR_ANSWERS) / (self._old_answers + PRIOR_ANSWERS)
        own = self._rates[route]
        weight = own.answers + PRIOR_ANSWERS
        rate = (own.bad + PRIOR_ANSWERS * pool) / weight
        rate += RATE_MARGIN * math.sqrt(rate * (1 - rate) / weight)
        return min(MOST_RATE, max(LEAST_RATE, rate))

    def _each_kind(self) -> tuple[tuple[dict, float], ...]:
        """Return the tests of failures and of slowness, and the evidence they need."""
        return (self._failures, EVIDENCE), (self._slowness, SLOW_EVIDENCE)

    @property
    def _old_answers(self) -> float:
        return sum(rate.answers for rate in self._rates.values())

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

    def _fade(self, now: float) -> None:
        passed = now - self._faded
        if passed < FADE_STEP_S:
            return
        self._faded = now
        for rate in self._rates.values():
            rate.fade(KEPT_A_SECOND**passed)

    def _is_of_same_crash(self, target: str, now: float) -> bool:
        """Whether a broken connection is not the first of a target's crash."""
        if now < self._broke.get(target, -math.inf) + CRASH_S:
            return True
        self._broke[target] = now
        return False

    def _log_time(self, answer: Answer, new: bool) -> float | None:
        """Return an answer's time over that of fast ones there; None if not known."""
        if answer.ratio <= 0:
            return None
        typical = self._typical[answer.route]
        known = typical.ratio
        if not new and not answer.cut_short:
            typical.add(answer.ratio)
        if not known:
            return None
        seconds = answer.ratio / known
        fast = self._fast[answer.target]
        if not answer.cut_short:
            fast.add(seconds)
        return math.log(seconds / fast.ratio) if fast.is_known else None

    def _spread_of(self, route: str) -> _Spread:
        """Return how times of a route vary, or those of all while that is not known."""
        own = self._spreads[route]
        return own if own.count >= FEWEST_COMPARED else self._spreads[ALL_ROUTES]

    def _is_slow(self, route: str, log_time: float) -> bool:
        """Whether an answer is likelier slow than not, if half of them are."""
        return self._spread_of(route).log_ratio(log_time, 0.5) > 0

    def _is_slow_throughout(self, targets: int) -> bool:
        """Whether the new version's targets are all much slower than the others."""
        known = {name: fast for name, fast in self._fast.items() if fast.is_known}
        new = [math.log(fast.ratio) for n, fast in known.items() if n in self._new]
        old = [math.log(fast.ratio) for n, fast in known.items() if n not in self._new]
        if len(new) < min(TARGETS_THROUGHOUT, targets) or not old:
            return False
        return min(new) - sum(old) / len(old) > math.log(SLOW_THROUGHOUT)


def _tolerated_faults(targets: int) -> int:
    """Return how many targets of a version may be at fault by themselves."""
    return sum(targets >= least for least in FAULTS_FROM_TARGETS)
