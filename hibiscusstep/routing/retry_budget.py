"""hibiscusstep.routing.retry_budget: a budget for retries after failures."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Limit of retries to a share of first attempts plus a reserve.

    When many targets fail at once, unlimited retries would multiply the load of the
    remaining targets.

    Parameters
    ----------
    share : float
        Retries per first attempt.
    reserve : float
        Maximum number of saved retries, available at the start.
    """

    def __init__(self, share: float, reserve: float = 10.0) -> None:
        self._share = share
        self._reserve = reserve if share else 0.0
        self._tokens = self._reserve

    def record_request(self) -> None:
        """Count a request's first attempt."""
        self._tokens = min(self._reserve, self._tokens + self._share)

    def try_acquire(self) -> bool:
        """Count a retry if the budget allows it; return whether it does."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
