"""hibiscusstep.forwarding.windowed_retry_budget: retry budget over a sliding window."""

from collections import defaultdict

from hibiscusstep.forwarding.bounds import Bounds
from hibiscusstep.forwarding.window import SlidingWindow
from hibiscusstep.membership.sliding_maximum import SlidingMaximum

__all__ = ["WindowedRetryBudget"]

# Share of the budget that is used. Whoever checks the limit may count over windows that
# are not aligned with these.
USABLE_SHARE = 0.8
# The same in the first window after an instance's start. Retries before it still count
# but are not known: when all targets failed around a full restart, a window had 41
# retries more than allowed, with a reserve of 50.
USABLE_SHARE_AT_START = 1 - USABLE_SHARE


class WindowedRetryBudget:
    """Limits the retries to a pool to a share of its requests plus a reserve.

    The limit holds for all instances together: each uses the share of its own requests
    and an even part of the reserve. What lost instances used counts until it has left
    the window, so the parts of the others grow only after a whole window.

    Parameters
    ----------
    bounds : Bounds
        Share, reserve and window.
    now : float
        Start of this instance, on the loop's clock.
    """

    def __init__(self, bounds: Bounds, now: float) -> None:
        self.bounds = bounds
        self._started_at = now
        self._requests: dict[str, SlidingWindow] = defaultdict(self._window)
        self._retries: dict[str, SlidingWindow] = defaultdict(self._window)
        self._instances = 1
        self._most_instances = SlidingMaximum(bounds.retry_window)

    def set_instances(self, count: int, now: float) -> None:
        """Set the number of instances that share the reserve from now on."""
        self._most_instances.add(self._instances, now)
        self._instances = max(1, count)

    def record_request(self, pool: str, now: float) -> None:
        """Count a request."""
        self._requests[pool].add(1, now)

    def remaining(self, pool: str, now: float) -> float:
        """Return how many retries are allowed now."""
        in_first_window = now - self._started_at < self.bounds.retry_window
        reserve = self.bounds.retry_reserve / self._sharing_instances(now)
        share = self.bounds.retry_share * self._requests[pool].total(now)
        limit = (USABLE_SHARE_AT_START if in_first_window else USABLE_SHARE) * (
            share + reserve
        )
        return limit - self._retries[pool].total(now)

    def summary(self, pool: str, now: float) -> dict[str, float]:
        """Return what the budget of a pool follows from, for the log."""
        return {
            "remaining": round(self.remaining(pool, now), 2),
            "retries": self._retries[pool].total(now),
            "requests": self._requests[pool].total(now),
            "instances": self._sharing_instances(now),
            "age": round(now - self._started_at, 1),
        }

    def try_acquire(self, pool: str, now: float) -> bool:
        """Return whether a retry is allowed, and count it if so."""
        if self.remaining(pool, now) < 1.0:
            return False
        self._retries[pool].add(1, now)
        return True

    def _sharing_instances(self, now: float) -> int:
        """Return the largest number of instances that shared it in the window."""
        return self._most_instances.add(self._instances, now)

    def _window(self) -> SlidingWindow:
        return SlidingWindow(self.bounds.retry_window)
