"""hibiscusstep.rollout.answer_times: how long answers take, by route and target.

All times are ratios: against what was expected of a target of slowness 1, then against
what answers of the route take, then against the fast answers of their target.
"""

import math
from collections import defaultdict, deque
from dataclasses import dataclass

from sortedcontainers import SortedList

__all__ = ["AnswerTimes", "Measured"]

# A slow answer is supposed to take so many times as long. One answer is no more
# evidence than this, as a logarithm: a few take long in any version.
SLOW_FACTOR = 4.0
MOST_FROM_ONE = 1.5
# Spread of the logarithm of an answer's time over that of its target's fast ones, at
# first and at the least, and the least weight of a new answer in it.
FIRST_SPREAD, LEAST_SPREAD, SPREAD_LEARN = 0.6, 0.35, 0.005
# Variance of what the fast ones take, against that of one answer, times their number.
FAST_VARIANCE = 1.2
# As many answers are taken as observed with the first spread.
FIRST_COUNT = 10
# Answers of a target that tell how long its fast ones take, the least number, and the
# seconds since the first: of those that began together the fast ones end first.
REMEMBERED, FEWEST, FEWEST_S = 200, 6, 1.0
# Most answers may be slow: the fast ones are those of this part.
FAST_PART = 0.1
# Weight of an answer in how long those of its route take, and the least number.
ROUTE_LEARN, ROUTE_FEWEST = 0.02, 10
# With fewer answers of a route the spread of all routes counts.
SPREAD_FEWEST = 30


@dataclass(frozen=True, slots=True)
class Measured:
    """An answer's time over that of fast ones at its target.

    Parameters
    ----------
    log_time : float
        Its natural logarithm.
    among : int
        How many answers tell what fast ones take.
    """

    log_time: float
    among: int


class _Spread:
    """Log-normal times of the version in force, over those of its fast answers."""

    def __init__(self) -> None:
        self._mean = FIRST_SPREAD
        self._square = FIRST_SPREAD**2
        self.count = 0

    def add(self, log_time: float) -> None:
        self.count += 1
        weight = max(SPREAD_LEARN, 1 / (FIRST_COUNT + self.count))
        off = log_time - self._mean
        self._mean += weight * off
        self._square += weight * (off**2 - self._square)

    def log_ratio(self, measured: Measured, part: float) -> float:
        """Return the logarithm of how much likelier a time is if a part is slow."""
        variance = max(LEAST_SPREAD**2, self._square)
        variance *= 1 + FAST_VARIANCE / measured.among
        shift = math.log(SLOW_FACTOR)
        power = shift * (measured.log_time - self._mean - shift / 2) / variance
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
        self._ratios: deque[float] = deque()
        self._ordered = SortedList()
        self._first = math.inf

    def is_known(self, now: float) -> bool:
        return len(self._ratios) >= FEWEST and now >= self._first + FEWEST_S

    @property
    def count(self) -> int:
        return len(self._ratios)

    @property
    def ratio(self) -> float:
        return self._ordered[int(FAST_PART * len(self._ordered))]

    def add(self, ratio: float, now: float) -> None:
        self._first = min(self._first, now)
        self._ratios.append(ratio)
        self._ordered.add(ratio)
        if len(self._ratios) > REMEMBERED:
            self._ordered.remove(self._ratios.popleft())


class AnswerTimes:
    """Compares the times of answers with those of the version in force."""

    def __init__(self) -> None:
        self._typical: dict[str, _Typical] = defaultdict(_Typical)
        # By target, and apart by whether it was loaded: what runs beside others is
        # slower, so answers are compared with their like once there are enough.
        self._fast: dict[str, _Fast] = defaultdict(_Fast)
        self._fast_alike: dict[tuple[str, bool], _Fast] = defaultdict(_Fast)
        self._spreads: dict[str, _Spread] = defaultdict(_Spread)
        self._all = _Spread()
        self._loaded = _Spread()
        self._admits = True

    def admit_no_more(self, now: float) -> None:
        """Compare no answers of targets that are not known by now.

        Where many targets begin at once, the answers that have ended are the fast ones.
        """
        if not self._admits:
            return
        self._admits = False
        for known in (self._fast, self._fast_alike):
            for key in [key for key, fast in known.items() if not fast.is_known(now)]:
                del known[key]

    def measure(
        self,
        target: str,
        route: str,
        ratio: float,
        *,
        loaded: bool,
        learns: bool,
        is_whole: bool,
        now: float,
    ) -> Measured | None:
        """Return an answer's time over that of fast ones there; None if not known.

        Parameters
        ----------
        target, route : str
            Where it was answered, and by which route it came.
        ratio : float
            Its time against that of a target of slowness 1.
        loaded : bool
            Whether most slots of the target were taken when it was granted.
        learns : bool
            Whether it tells how long the route's answers take: one of the version in
            force does.
        is_whole : bool
            Whether it came to its end.
        now : float
            Seconds on the dispatcher's clock.
        """
        if ratio <= 0:
            return None
        typical = self._typical[route]
        known = typical.ratio
        if learns and is_whole:
            typical.add(ratio)
        if not known:
            return None
        if is_whole:
            self._learn_fast(target, loaded, ratio / known, now)
        fast = self._fast_alike.get((target, loaded))
        if fast is None or not fast.is_known(now):
            fast = self._fast.get(target)
        if fast is None or not fast.is_known(now):
            return None
        return Measured(math.log(ratio / known / fast.ratio), fast.count)

    def _learn_fast(self, target: str, loaded: bool, ratio: float, now: float) -> None:
        """Learn from an answer what fast ones take at its target."""
        for fasts, key in (
            (self._fast, target),
            (self._fast_alike, (target, loaded)),
        ):
            if self._admits or key in fasts:
                fasts[key].add(ratio, now)

    def learn_spread(self, route: str, measured: Measured, loaded: bool) -> None:
        """Take an answer of the version in force."""
        self._spreads[route].add(measured.log_time)
        self._all.add(measured.log_time)
        if loaded:
            self._loaded.add(measured.log_time)

    def log_ratio(
        self, route: str, measured: Measured, part: float, loaded: bool = False
    ) -> float:
        """Return the logarithm of how much likelier a time is if a part is slow."""
        own = self._loaded if loaded else self._spreads[route]
        spread = own if own.count >= SPREAD_FEWEST else self._all
        return spread.log_ratio(measured, part)

    def is_slow(self, route: str, measured: Measured) -> bool:
        """Whether an answer is likelier slow than not, if half of them are."""
        return self.log_ratio(route, measured, 0.5) > 0

    def fast_ratios(self, now: float) -> dict[str, float]:
        """Return what the fast answers of each target that is known take."""
        return {name: f.ratio for name, f in self._fast.items() if f.is_known(now)}
