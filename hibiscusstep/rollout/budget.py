"""hibiscusstep.rollout.budget: limit on the requests sent to an unproven version."""

from dataclasses import dataclass

__all__ = ["ExposureBudget", "ExposureLimits"]

# Share of the budget that the canary phase may use. The rest is for the full-traffic
# phase just before the deadline, when the version may still turn out to be bad.
CANARY_SHARE = 0.6
# Share of the fixed allowance that one dispatcher uses: during a network partition
# there may be two dispatchers, and each uses it.
SLACK_SHARE = 0.5
# Requests that may be in flight without being counted yet.
MAX_UNCOUNTED_REQUESTS = 5.0


@dataclass(frozen=True, slots=True)
class ExposureLimits:
    """Limits on the requests that a bad version may receive.

    Parameters
    ----------
    share : float
        Share of all requests to the pool from the order to its deadline.
    slack : float
        Fixed allowance of requests in addition.
    """

    share: float = 0.1
    slack: float = 50.0


@dataclass(slots=True)
class ExposureBudget:
    """Counters of the requests since an order and of those sent to its version.

    Future requests are not anticipated, so the limit holds at any moment and not only
    at the deadline.

    Parameters
    ----------
    limits : ExposureLimits
        The limits.
    requests, exposed : int
        Requests to the pool since the order, and those of them sent to the new version.
    slack_share : float
        Share of the fixed allowance that may be used; 0 if it is not known how much of
        it has been used already.
    """

    limits: ExposureLimits
    requests: int = 0
    exposed: int = 0
    slack_share: float = SLACK_SHARE

    def count_request(self, exposed: bool) -> None:
        """Count a request."""
        self.requests += 1
        self.exposed += exposed

    @property
    def remaining(self) -> float:
        """Requests that the new version may still receive."""
        slack = max(0.0, self.slack_share * self.limits.slack - MAX_UNCOUNTED_REQUESTS)
        return self.limits.share * self.requests + slack - self.exposed

    @property
    def canary_remaining(self) -> float:
        """Requests that the new version may still receive in the canary phase."""
        allowed = self.remaining + self.exposed
        return CANARY_SHARE * allowed - self.exposed

    def full_traffic_seconds(self, rate: float) -> float:
        """Return for how long the new version may receive all traffic.

        Parameters
        ----------
        rate : float
            Requests per second to the pool.
        """
        if rate <= 0:
            return 0.0
        return max(0.0, self.remaining) / (rate * (1 - self.limits.share))
