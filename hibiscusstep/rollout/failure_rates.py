"""hibiscusstep.rollout.failure_rates: failure rates of the current version."""

import math
from collections import defaultdict
from dataclasses import dataclass

__all__ = ["FailureRates"]

# Weight of past answers decays by this factor every second, so that faults which
# affected both versions are forgotten.
DECAY_PER_S = 0.93
DECAY_STEP_S = 1.0
# Standard errors that are added to the failure rate of the current version.
RATE_MARGIN = 1.5
# Weight, in answers, of the prior: the pool's rate for a route, and PRIOR_RATE for the
# pool. Versions are not compared before the pool has MIN_ANSWERS.
PRIOR_ANSWERS = 20.0
PRIOR_RATE = 0.05
MIN_ANSWERS = 30.0
MIN_RATE, MAX_RATE = 0.004, 0.9


@dataclass(slots=True)
class _RouteCounts:
    """Decaying counts of all and of bad answers of the current version on a route."""

    answers: float = 0.0
    bad: float = 0.0

    def decay(self, factor: float) -> None:
        self.answers *= factor
        self.bad *= factor

    def add(self, bad: bool) -> None:
        self.answers += 1
        self.bad += bad


class FailureRates:
    """Failure rates of the current version by route, with decaying weights."""

    def __init__(self) -> None:
        self._routes: dict[str, _RouteCounts] = defaultdict(_RouteCounts)
        self._decayed_at = 0.0

    @property
    def answers(self) -> float:
        """Decayed number of answers of all routes."""
        return sum(counts.answers for counts in self._routes.values())

    @property
    def are_known(self) -> bool:
        """Whether there are enough answers for a comparison."""
        return self.answers >= MIN_ANSWERS

    def add(self, route: str, failed: bool, now: float) -> None:
        """Count an answer."""
        self._decay(now)
        self._routes[route].add(failed)

    def rate(self, route: str) -> float:
        """Return an upper estimate of a route's failure rate.

        On a route with few answers the pool's rate dominates.
        """
        bad = sum(counts.bad for counts in self._routes.values())
        pool = (bad + PRIOR_RATE * PRIOR_ANSWERS) / (self.answers + PRIOR_ANSWERS)
        own = self._routes[route]
        weight = own.answers + PRIOR_ANSWERS
        rate = (own.bad + PRIOR_ANSWERS * pool) / weight
        rate += RATE_MARGIN * math.sqrt(rate * (1 - rate) / weight)
        return min(MAX_RATE, max(MIN_RATE, rate))

    def _decay(self, now: float) -> None:
        passed = now - self._decayed_at
        if passed < DECAY_STEP_S:
            return
        self._decayed_at = now
        for counts in self._routes.values():
            counts.decay(DECAY_PER_S**passed)
