"""hibiscusstep.rollout.budget: how many requests an unproved version may get."""

from dataclasses import dataclass

__all__ = ["ExposureBudget", "ExposureLimits"]

# Of what a version may get until its deadline, the canary phase uses this part; the
# rest pays for the move of all traffic just before the deadline, when the version may
# still turn out to be bad.
CANARY_PART = 0.6
# Part of the allowance beside the share that is used: two dispatchers on both sides of
# a cut may each use it.
SLACK_PART = 0.5
# Requests that may be on their way without being counted here yet.
IN_FLIGHT = 5.0


@dataclass(frozen=True, slots=True)
class ExposureLimits:
    """Bounds on what a bad version may get.

    Parameters
    ----------
    share : float
        Of all requests to the pool from the order to its deadline.
    slack : float
        Requests beside that.
    """

    share: float = 0.1
    slack: float = 50.0


@dataclass(slots=True)
class ExposureBudget:
    """Counts requests since an order, and those that its version got.

    Requests that are still to come are not counted on, so the bound holds at any
    moment and not only at the deadline.

    Parameters
    ----------
    limits : ExposureLimits
        The bounds.
    requests, exposed : int
        Requests to the pool since the order, and those of them that the version got.
    slack_part : float
        Of the allowance beside the share; 0 where it is not known what was used of it.
    """

    limits: ExposureLimits
    requests: int = 0
    exposed: int = 0
    slack_part: float = SLACK_PART

    def count(self, exposed: bool) -> None:
        """Count a request."""
        self.requests += 1
        self.exposed += exposed

    @property
    def left(self) -> float:
        """Requests that the version may still get."""
        slack = max(0.0, self.slack_part * self.limits.slack - IN_FLIGHT)
        return self.limits.share * self.requests + slack - self.exposed

    @property
    def canary_left(self) -> float:
        """Requests that it may still get before all traffic moves."""
        allowed = self.left + self.exposed
        return CANARY_PART * allowed - self.exposed

    def seconds_of_all(self, rate: float) -> float:
        """Return for how long the version may get all of so many requests a second."""
        if rate <= 0:
            return 0.0
        return max(0.0, self.left) / (rate * (1 - self.limits.share))
