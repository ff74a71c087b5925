"""hibiscusstep.rollout.answer_times: how long answers take, by route and target.

All times are ratios: against what was expected of a target of slowness 1, then against
what answers of the route take, then against the fast answers of their target.
"""

import math
from collections import defaultdict, deque

__all__ = ["AnswerTimes"]

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
# Weight of an answer in how long those of its route take, and the least number.
ROUTE_LEARN, ROUTE_FEWEST = 0.02, 10
# With fewer answers of a route the spread of all routes counts.
SPREAD_FEWEST = 30


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


class AnswerTimes:
    """Compares the times of answers with those of the version in force."""

    def __init__(self) -> None:
        self._typical: dict[str, _Typical] = defaultdict(_Typical)
        self._fast: dict[str, _Fast] = defaultdict(_Fast)
        self._spreads: dict[str, _Spread] = defaultdict(_Spread)
        self._all = _Spread()

    def log_time(
        self, target: str, route: str, ratio: float, *, learns: bool, is_whole: bool
    ) -> float | None:
        """Return an answer's time over that of fast ones there; None if not known.

        Parameters
        ----------
        target, route : str
            Where it was answered, and by which route it came.
        ratio : float
            Its time against that of a target of slowness 1.
        learns : bool
            Whether it tells how long the route's answers take: one of the version in
            force does.
        is_whole : bool
            Whether it came to its end.
        """
        if ratio <= 0:
            return None
        typical = self._typical[route]
        known = typical.ratio
        if learns and is_whole:
            typical.add(ratio)
        if not known:
            return None
        fast = self._fast[target]
        if is_whole:
            fast.add(ratio / known)
        return math.log(ratio / known / fast.ratio) if fast.is_known else None

    def learn_spread(self, route: str, log_time: float) -> None:
        """Take an answer of the version in force."""
        self._spreads[route].add(log_time)
        self._all.add(log_time)

    def log_ratio(self, route: str, log_time: float, part: float) -> float:
        """Return the logarithm of how much likelier a time is if a part is slow."""
        own = self._spreads[route]
        spread = own if own.count >= SPREAD_FEWEST else self._all
        return spread.log_ratio(log_time, part)

    def is_slow(self, route: str, log_time: float) -> bool:
        """Whether an answer is likelier slow than not, if half of them are."""
        return self.log_ratio(route, log_time, 0.5) > 0

    def fast_ratios(self) -> dict[str, float]:
        """Return what the fast answers of each target that is known take."""
        return {name: f.ratio for name, f in self._fast.items() if f.is_known}
