"""hibiscusstep.rollout.failure_rates: how often the version in force fails."""

import math
from collections import defaultdict
from dataclasses import dataclass

__all__ = ["FailureRates"]

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


class FailureRates:
    """Answers of the version in force, fading.

    Attributes
    ----------
    answers : float
        How many count.
    """

    def __init__(self) -> None:
        self._rates: dict[str, _Rate] = defaultdict(_Rate)
        self._faded = 0.0

    @property
    def answers(self) -> float:
        """Answers that count, of all routes."""
        return sum(rate.answers for rate in self._rates.values())

    @property
    def are_known(self) -> bool:
        """Whether there are enough to compare with."""
        return self.answers >= FEWEST_COMPARED

    def add(self, route: str, failed: bool, now: float) -> None:
        """Take an answer."""
        self._fade(now)
        self._rates[route].add(failed)

    def rate(self, route: str) -> float:
        """Return the part of answers that fail, cautiously.

        Parameters
        ----------
        route : str
            Of a route with few answers the pool's rate counts as well.
        """
        bad = sum(rate.bad for rate in self._rates.values())
        pool = (bad + PRIOR_RATE * PRIOR_ANSWERS) / (self.answers + PRIOR_ANSWERS)
        own = self._rates[route]
        weight = own.answers + PRIOR_ANSWERS
        rate = (own.bad + PRIOR_ANSWERS * pool) / weight
        rate += RATE_MARGIN * math.sqrt(rate * (1 - rate) / weight)
        return min(MOST_RATE, max(LEAST_RATE, rate))

    def _fade(self, now: float) -> None:
        passed = now - self._faded
        if passed < FADE_STEP_S:
            return
        self._faded = now
        for rate in self._rates.values():
            rate.fade(KEPT_A_SECOND**passed)
