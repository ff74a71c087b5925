"""hibiscusstep.routing.host_pace: how long work takes on the hosts of targets.

Hosts of targets also do other work, and change their pace several times a second. The
load that this handles: 15 of 100 hosts take 2.5 times as long, each host changes about
every 600 ms, and each target tells its host's pace in about seven responses a second.
The pace is a factor: 1 means that work takes as long as usual, 2.5 that it takes 2.5
times as long.
"""

import itertools
import math
from array import array
from bisect import bisect_right
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hibiscusstep.routing.slot_target import SlotTarget

__all__ = [
    "MAX_PACE",
    "MIN_PACE",
    "HostPace",
    "PaceCorrelation",
    "PoolPace",
    "is_valid_pace",
]

# Range of a plausible pace; others are errors of the target.
MIN_PACE, MAX_PACE = 0.01, 100.0
# Times between two values at which their correlation is learned. It is interpolated
# between them, and 0 from the last one on.
LAGS_S = (0.0, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6, 51.2)
# Initial estimate of the time in which the correlation falls to 1/e. Its weight is a
# squared relative deviation: a change from 1 to 2.5 counts about as much.
INITIAL_CORRELATION_S = 0.6
PRIOR_SQUARE = 0.5
# Share by which a pair of values reduces the weight of older pairs.
FORGETTING = 0.002
# Number of pairs after which the interpolated correlation is computed anew.
PAIRS_PER_UPDATE = 32
# A value is also paired with an older one, which is replaced after these times in turn:
# successive values alone would not show the correlation over longer times.
REFERENCE_SPANS_S = (0.5, 2.0, 8.0, 30.0)
# Weights of values in the mean of a host are seconds: of the initial mean 1, of the
# first value, and the limits for one value and for all. The mean of a host that changes
# every 600 ms has a standard error of 6 % over 30 s.
INITIAL_MEAN_S = 0.5
FIRST_VALUE_S = 0.1
MAX_VALUE_S = 1.0
MEAN_S = 30.0
# The mean is too uncertain before this for deviations from it to be correlated.
MIN_MEAN_S = 2.0
# Values that are kept for each host, for the pace over a request's run: the last four
# seconds at seven a second.
MAX_VALUES = 32
# Work that is granted now runs for some hundredths of a second to a second. It is
# expected to run at the pace that the host has in the middle of a typical run to a
# first token and the events after it.
LEAD_S = 0.2
# A host's expected pace that is this close to the mean, as a share of it, no longer
# needs updates. A change below the second share does not alter decisions.
NEGLIGIBLE_DEVIATION = 0.01
NEGLIGIBLE_CHANGE = 0.02
# Maximum number of hosts whose expected pace is updated with a tick. In a larger pool
# they take turns, which bounds the time of a tick.
MAX_UPDATED_PER_TICK = 128


def is_valid_pace(pace: float) -> bool:
    """Return whether a pace is plausible; 0, which means not told, is not."""
    return MIN_PACE <= pace <= MAX_PACE


class PaceCorrelation:
    """Learned correlation of two values of a host by the time between them.

    It is learned for all hosts of a pool together, from the relative deviations of
    values from their host's mean.
    """

    def __init__(self) -> None:
        self._prior = [math.exp(-lag / INITIAL_CORRELATION_S) for lag in LAGS_S]
        self._products = [0.0] * len(LAGS_S)
        self._squares = [0.0] * len(LAGS_S)
        self._pairs = 0
        self._update()

    def observe(self, lag: float, first: float, second: float) -> None:
        """Update the estimate by the deviations of two values, `lag` seconds apart."""
        if not 0 <= lag < LAGS_S[-1]:
            return
        index = bisect_right(LAGS_S, lag) - 1
        share = (lag - LAGS_S[index]) / (LAGS_S[index + 1] - LAGS_S[index])
        product, square = first * second, (first**2 + second**2) / 2
        for node, weight in ((index, 1 - share), (index + 1, share)):
            retained = 1 - FORGETTING * weight
            self._products[node] = retained * self._products[node] + weight * product
            self._squares[node] = retained * self._squares[node] + weight * square
        self._pairs += 1
        if self._pairs % PAIRS_PER_UPDATE == 0:
            self._update()

    def at(self, lag: float) -> float:
        """Return the correlation of two values `lag` seconds apart, from 0 to 1."""
        if lag >= LAGS_S[-1]:
            return 0.0
        index = bisect_right(LAGS_S, lag) - 1
        return self._values[index] + self._slopes[index] * (lag - LAGS_S[index])

    def integral(self, lag: float) -> float:
        """Return the integral of the correlation from 0 to `lag`, in seconds."""
        if lag >= LAGS_S[-1]:
            return self._integrals[-1]
        index = bisect_right(LAGS_S, lag) - 1
        step = lag - LAGS_S[index]
        mean = self._values[index] + self._slopes[index] * step / 2
        return self._integrals[index] + mean * step

    def _update(self) -> None:
        """Compute the interpolated correlation, which never rises with time."""
        learned = (
            (product + PRIOR_SQUARE * prior) / (square + PRIOR_SQUARE)
            for product, square, prior in zip(
                self._products, self._squares, self._prior, strict=True
            )
        )
        falling = itertools.accumulate(
            (min(1.0, max(0.0, value)) for value in learned), min
        )
        self._values = [*list(falling)[:-1], 0.0]
        steps = [
            (end - start, at_start, at_end)
            for (start, end), (at_start, at_end) in zip(
                itertools.pairwise(LAGS_S),
                itertools.pairwise(self._values),
                strict=True,
            )
        ]
        self._slopes = [(end - start) / step for step, start, end in steps]
        parts = (step * (start + end) / 2 for step, start, end in steps)
        self._integrals = list(itertools.accumulate(parts, initial=0.0))


class HostPace:
    """Pace of one target's host, from the values that the target told.

    Parameters
    ----------
    correlation : PaceCorrelation
        Correlation of two values, learned for the pool.

    Attributes
    ----------
    factor : float
        Expected factor of work that is granted now, as of the last value or update.
    mean : float
        Mean factor over time.
    """

    __slots__ = (
        "_correlation",
        "_mean_rate",
        "_mean_seconds",
        "_progress",
        "_rates",
        "_reference",
        "_reference_at",
        "_reference_number",
        "_times",
        "_value",
        "factor",
        "mean",
    )

    def __init__(self, correlation: PaceCorrelation) -> None:
        self._correlation = correlation
        self.factor = self.mean = self._value = 1.0
        self._mean_seconds = INITIAL_MEAN_S
        # Work that would take a second as usual, done per second. Over a longer run the
        # mean of this rate tells how long work takes, not the mean of the factor.
        self._mean_rate = 1.0
        # Times and rates of the last values, and the work done until then.
        self._times, self._rates = array("d"), array("d")
        self._progress = array("d")
        self._reference, self._reference_at, self._reference_number = 1.0, -math.inf, 0

    def record(self, value: float, at: float, now: float) -> bool:
        """Record a value; return False if it is not newer than the last one.

        Parameters
        ----------
        value : float
            A valid pace.
        at : float
            When the target told it, on the dispatcher's clock.
        now : float
            Seconds on the dispatcher's clock.
        """
        at = min(at, now)
        if self._times and at <= self._times[-1]:
            return False
        rate, progress = 1 / value, 0.0
        if self._times:
            gap = at - self._times[-1]
            self._learn_correlation(value, at, gap)
            self._learn_mean(
                (self._value + value) / 2,
                (self._rates[-1] + rate) / 2,
                min(gap, MAX_VALUE_S),
            )
            progress = self._progress[-1] + self._work(self._rates[-1], rate, gap)
        else:
            self._learn_mean(value, rate, FIRST_VALUE_S)
        if len(self._times) == MAX_VALUES:
            for kept in (self._times, self._rates, self._progress):
                kept.pop(0)
        self._times.append(at)
        self._rates.append(rate)
        self._progress.append(progress)
        self._value = value
        self.update(now)
        return True

    def update(self, now: float) -> bool:
        """Update the expected factor; return whether it still differs from the mean."""
        age = max(0.0, now - self._times[-1]) + LEAD_S
        deviation = self._correlation.at(age) * (self._value - self.mean)
        self.factor = self.mean + deviation
        return abs(deviation) > NEGLIGIBLE_DEVIATION * self.mean

    def mean_factor(self, start: float, end: float) -> float:
        """Return the factor by which work from `start` to `end` took longer than usual.

        For times long before, after or between values it tends to the mean.
        """
        if end <= start:
            return self.factor
        work = self._progress_at(end) - self._progress_at(start)
        if work <= 0:
            return MAX_PACE
        return min(MAX_PACE, max(MIN_PACE, (end - start) / work))

    def _learn_mean(self, value: float, rate: float, seconds: float) -> None:
        self._mean_seconds = min(MEAN_S, self._mean_seconds + seconds)
        weight = seconds / self._mean_seconds
        self.mean += weight * (value - self.mean)
        self._mean_rate += weight * (rate - self._mean_rate)

    def _learn_correlation(self, value: float, at: float, gap: float) -> None:
        if self._mean_seconds < MIN_MEAN_S:
            return
        mean = self.mean
        deviation = (value - mean) / mean
        self._correlation.observe(gap, (self._value - mean) / mean, deviation)
        lag = at - self._reference_at
        if lag > gap:
            self._correlation.observe(lag, (self._reference - mean) / mean, deviation)
        if lag > REFERENCE_SPANS_S[self._reference_number]:
            self._reference, self._reference_at = value, at
            self._reference_number = (self._reference_number + 1) % len(
                REFERENCE_SPANS_S
            )

    def _work(self, first: float, second: float, seconds: float) -> float:
        """Return the expected work between two known rates, `seconds` apart.

        The best linear prediction from both; `first + second` counts half as much each
        as a rate at one end only, the more so the closer they are.
        """
        correlation = self._correlation
        mean = self._mean_rate
        each = correlation.integral(seconds) / (1 + correlation.at(seconds))
        each = min(seconds / 2, each)
        return mean * seconds + (first + second - 2 * mean) * each

    def _work_beside(self, rate: float, seconds: float) -> float:
        """Return the expected work in the time before or after one known rate."""
        mean = self._mean_rate
        return mean * seconds + (rate - mean) * self._correlation.integral(seconds)

    def _progress_at(self, moment: float) -> float:
        times = self._times
        if moment >= times[-1]:
            after = self._work_beside(self._rates[-1], moment - times[-1])
            return self._progress[-1] + after
        if moment <= times[0]:
            return self._progress[0] - self._work_beside(
                self._rates[0], times[0] - moment
            )
        index = bisect_right(times, moment)
        rate = self._rate_between(index - 1, moment)
        rest = self._work(rate, self._rates[index], times[index] - moment)
        return self._progress[index] - rest

    def _rate_between(self, index: int, moment: float) -> float:
        """Return the expected rate between a value and the next one."""
        correlation, mean = self._correlation, self._mean_rate
        start, end = self._times[index], self._times[index + 1]
        first, second = self._rates[index], self._rates[index + 1]
        both = correlation.at(end - start)
        if both > 0.99:
            return first + (second - first) * (moment - start) / (end - start)
        to_first, to_second = (
            correlation.at(moment - start),
            correlation.at(end - moment),
        )
        scale = 1 / (1 - both**2)
        of_first = min(1.0, max(0.0, (to_first - both * to_second) * scale))
        of_second = min(1 - of_first, max(0.0, (to_second - both * to_first) * scale))
        return mean + of_first * (first - mean) + of_second * (second - mean)


class PoolPace:
    """Pace of the hosts of a pool's targets.

    A message costs the same in a pool of any size. With a tick, only targets with a
    value that still differs from the expectation without it are updated.
    """

    def __init__(self) -> None:
        self._correlation = PaceCorrelation()
        # Targets whose expected pace changes with time, the longest not updated first.
        self._changing: dict[str, SlotTarget] = {}

    def record(
        self, target: "SlotTarget", value: float, age: float, now: float
    ) -> None:
        """Record a value that a target told `age` seconds ago; 0 means not told."""
        if not is_valid_pace(value) or not 0 <= age < math.inf:
            return
        if target.host_pace is None:
            target.attach_host_pace(HostPace(self._correlation))
        if target.host_pace.record(value, now - age, now):
            target.apply_host_pace()
            self._changing[target.name] = target

    def update(self, now: float) -> list["SlotTarget"]:
        """Update the expected pace; return the targets whose slowness changed."""
        changed = []
        for name in list(itertools.islice(self._changing, MAX_UPDATED_PER_TICK)):
            target = self._changing.pop(name)
            if target.host_pace.update(now):
                self._changing[name] = target
                change = target.host_pace.factor / target.host_factor - 1
                if abs(change) < NEGLIGIBLE_CHANGE:
                    continue
            target.apply_host_pace()
            changed.append(target)
        return changed

    def forget(self, target: "SlotTarget") -> None:
        """Drop the values of a target that has left."""
        self._changing.pop(target.name, None)
