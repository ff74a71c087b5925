"""hibiscusstep.routing.retries: repeats after failures, within a budget."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Lets repeats be at most a share of first tries, and a few beside.

    When many targets fail at once, repeating everything would load those that are
    left with several times the work.

    Parameters
    ----------
    share : float
        Repeats for each first try.
    reserve : float
        Repeats that are saved up at most, and there at the start.
    """

    def __init__(self, share: float, reserve: float = 10.0) -> None:
        self._share = share
        self._reserve = reserve if share else 0.0
        self._tokens = self._reserve

    def first_try(self) -> None:
        """Count a request's first try."""
        self._tokens = min(self._reserve, self._tokens + self._share)

    def take(self) -> bool:
        """Return whether a repeat may be made, and count it."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
