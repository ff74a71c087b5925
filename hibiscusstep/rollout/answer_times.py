"""hibiscusstep.rollout.answer_times: answer times by route and target.

All times are ratios: first to the time expected of a target of slowness 1, then to the
mean of the route, then to the fast answers of the same target.
"""

import math
from collections import defaultdict, deque
from dataclasses import dataclass

from sortedcontainers import SortedList

__all__ = ["AnswerTimes", "RelativeTime"]

# Assumed ratio of the time of a slow answer to that of a normal one. The log-likelihood
# ratio of one answer is limited, since a few answers take long in any version.
SLOW_FACTOR = 4.0
MAX_LOG_RATIO = 1.5
# Standard deviation of the log of an answer's time relative to its target's fast ones:
# initial value and minimum; and the minimum weight of a new answer in it.
INITIAL_SPREAD, MIN_SPREAD, MIN_SPREAD_WEIGHT = 0.6, 0.35, 0.005
# Variance of the estimated time of fast answers, relative to the variance of one
# answer, times the number of answers in the estimate.
FAST_VARIANCE = 1.2
# Weight, in answers, of the initial spread.
INITIAL_SPREAD_COUNT = 10
# Answers kept per target to estimate the time of its fast ones, their minimum number,
# and the minimum seconds since the first: of answers that began together, the fast ones
# end first.
MAX_KEPT_RATIOS, MIN_RATIOS, MIN_RATIO_SPAN_S = 200, 6, 1.0
# Quantile that stands for the fast answers; low, since most answers may be slow.
FAST_QUANTILE = 0.1
# Minimum weight of an answer in the mean time of its route, and the minimum number of
# answers for a known mean.
MIN_ROUTE_WEIGHT, MIN_ROUTE_ANSWERS = 0.02, 10
# With fewer answers of a route, the distribution of all routes is used.
MIN_DISTRIBUTION_ANSWERS = 30


@dataclass(frozen=True, slots=True)
class RelativeTime:
    """An answer's time relative to the fast answers of its target.

    Parameters
    ----------
    log_time : float
        Natural logarithm of the ratio.
    sample_count : int
        Number of answers behind the estimate of the fast ones.
    """

    log_time: float
    sample_count: int


class _TimeDistribution:
    """Log-normal distribution of the current version's relative answer times."""

    def __init__(self) -> None:
        self._mean = INITIAL_SPREAD
        self._mean_square = INITIAL_SPREAD**2
        self.count = 0

    def add(self, log_time: float) -> None:
        self.count += 1
        weight = max(MIN_SPREAD_WEIGHT, 1 / (INITIAL_SPREAD_COUNT + self.count))
        deviation = log_time - self._mean
        self._mean += weight * deviation
        self._mean_square += weight * (deviation**2 - self._mean_square)

    def log_ratio(self, relative: RelativeTime, excess: float) -> float:
        """Return the log-likelihood ratio of a time if a share of answers is slow."""
        variance = max(MIN_SPREAD**2, self._mean_square)
        variance *= 1 + FAST_VARIANCE / relative.sample_count
        shift = math.log(SLOW_FACTOR)
        power = shift * (relative.log_time - self._mean - shift / 2) / variance
        slow = math.exp(min(power, 50.0))
        return min(MAX_LOG_RATIO, math.log(1 - excess + excess * slow))


class _RouteMean:
    """Geometric mean of the current version's answer times on a route."""

    def __init__(self) -> None:
        self._mean = 0.0
        self._count = 0

    @property
    def ratio(self) -> float:
        """Mean ratio to the expected time; 0 if not known."""
        return math.exp(self._mean) if self._count >= MIN_ROUTE_ANSWERS else 0.0

    def add(self, ratio: float) -> None:
        self._count += 1
        weight = max(MIN_ROUTE_WEIGHT, 1 / self._count)
        self._mean += weight * (math.log(ratio) - self._mean)


class _FastAnswers:
    """Estimate of the time that a target's fast answers take."""

    def __init__(self) -> None:
        self._ratios: deque[float] = deque()
        self._ordered = SortedList()
        self._first = math.inf

    def is_known(self, now: float) -> bool:
        return len(self._ratios) >= MIN_RATIOS and now >= self._first + MIN_RATIO_SPAN_S

    @property
    def count(self) -> int:
        return len(self._ratios)

    @property
    def ratio(self) -> float:
        return self._ordered[int(FAST_QUANTILE * len(self._ordered))]

    def add(self, ratio: float, now: float) -> None:
        self._first = min(self._first, now)
        self._ratios.append(ratio)
        self._ordered.add(ratio)
        if len(self._ratios) > MAX_KEPT_RATIOS:
            self._ordered.remove(self._ratios.popleft())


class AnswerTimes:
    """Comparison of answer times with those of the current version."""

    def __init__(self) -> None:
        self._route_means: dict[str, _RouteMean] = defaultdict(_RouteMean)
        # By target, and by target and load: concurrent requests slow each other down,
        # so answers are compared with those under the same load once there are enough.
        self._fast_by_target: dict[str, _FastAnswers] = defaultdict(_FastAnswers)
        self._fast_by_load: dict[tuple[str, bool], _FastAnswers] = defaultdict(
            _FastAnswers
        )
        self._route_distributions: dict[str, _TimeDistribution] = defaultdict(
            _TimeDistribution
        )
        self._pool_distribution = _TimeDistribution()
        self._loaded_distribution = _TimeDistribution()
        self._accepts_targets = True

    def stop_accepting_targets(self, now: float) -> None:
        """Ignore from now on the answer times of targets without a known estimate.

        When many targets start at once, the first answers to end are the fast ones and
        would bias the estimate.
        """
        if not self._accepts_targets:
            return
        self._accepts_targets = False
        for known in (self._fast_by_target, self._fast_by_load):
            for key in [key for key, fast in known.items() if not fast.is_known(now)]:
                del known[key]

    def measure(
        self,
        target: str,
        route: str,
        ratio: float,
        *,
        loaded: bool,
        is_baseline: bool,
        is_whole: bool,
        now: float,
    ) -> RelativeTime | None:
        """Return an answer's time relative to fast ones there; None if not known.

        Parameters
        ----------
        target, route : str
            Target and route of the request.
        ratio : float
            Ratio of its time to that expected of a target of slowness 1.
        loaded : bool
            Whether most slots of the target were taken when it was granted.
        is_baseline : bool
            Whether the answer is one of the current version; only these determine the
            route's mean.
        is_whole : bool
            Whether the answer was complete.
        now : float
            Seconds on the dispatcher's clock.
        """
        if ratio <= 0:
            return None
        mean = self._route_means[route]
        known = mean.ratio
        if is_baseline and is_whole:
            mean.add(ratio)
        if not known:
            return None
        if is_whole:
            self._add_to_fast(target, loaded, ratio / known, now)
        fast = self._fast_by_load.get((target, loaded))
        if fast is None or not fast.is_known(now):
            fast = self._fast_by_target.get(target)
        if fast is None or not fast.is_known(now):
            return None
        return RelativeTime(math.log(ratio / known / fast.ratio), fast.count)

    def _add_to_fast(self, target: str, loaded: bool, ratio: float, now: float) -> None:
        """Update the estimates of a target's fast answers."""
        for estimates, key in (
            (self._fast_by_target, target),
            (self._fast_by_load, (target, loaded)),
        ):
            if self._accepts_targets or key in estimates:
                estimates[key].add(ratio, now)

    def add_to_distribution(
        self, route: str, relative: RelativeTime, loaded: bool
    ) -> None:
        """Add an answer of the current version to the distributions."""
        self._route_distributions[route].add(relative.log_time)
        self._pool_distribution.add(relative.log_time)
        if loaded:
            self._loaded_distribution.add(relative.log_time)

    def log_ratio(
        self, route: str, relative: RelativeTime, excess: float, loaded: bool = False
    ) -> float:
        """Return the log-likelihood ratio of a time if a share of answers is slow."""
        own = self._loaded_distribution if loaded else self._route_distributions[route]
        distribution = (
            own if own.count >= MIN_DISTRIBUTION_ANSWERS else self._pool_distribution
        )
        return distribution.log_ratio(relative, excess)

    def is_slow(self, route: str, relative: RelativeTime) -> bool:
        """Whether an answer is likelier slow than not, if half of all are slow."""
        return self.log_ratio(route, relative, 0.5) > 0

    def fast_ratios(self, now: float) -> dict[str, float]:
        """Return the time ratio of fast answers, by target with a known estimate."""
        return {
            name: fast.ratio
            for name, fast in self._fast_by_target.items()
            if fast.is_known(now)
        }
