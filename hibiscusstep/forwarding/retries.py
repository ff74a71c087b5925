"""hibiscusstep.forwarding.retries: a window's repeats as a share of its requests."""

from collections import defaultdict

from hibiscusstep.forwarding.bounds import Bounds
from hibiscusstep.forwarding.window import Window

__all__ = ["WindowedRetryBudget"]

# Part of the budget that is used: the window of who counts lies elsewhere than ours.
SAFETY = 0.8
# The same in the first window after an instance's start. What was repeated before still
# counts, and nobody remembers it: where all targets failed around a restart of all, 41
# repeats more were made in a window than may be, with a reserve of 50.
SAFETY_AT_START = 1 - SAFETY


class WindowedRetryBudget:
    """Lets repeats to a pool be a share of its requests, and a few beside.

    The bound holds for all instances together: each keeps to its own requests and
    to its part of those beside.

    Parameters
    ----------
    bounds : Bounds
        Share, reserve and window.
    now : float
        The start of this instance, on the loop's clock.
    """

    def __init__(self, bounds: Bounds, now: float) -> None:
        self.bounds = bounds
        self._began = now
        self._requests: dict[str, Window] = defaultdict(self._window)
        self._repeats: dict[str, Window] = defaultdict(self._window)
        self.instances = 1

    def first_try(self, pool: str, now: float) -> None:
        """Count a request."""
        self._requests[pool].add(1, now)

    def left(self, pool: str, now: float) -> float:
        """Return how many repeats may be made now."""
        young = now - self._began < self.bounds.retry_window
        reserve = self.bounds.retry_reserve / max(1, self.instances)
        share = self.bounds.retry_share * self._requests[pool].total(now)
        most = (SAFETY_AT_START if young else SAFETY) * (share + reserve)
        return most - self._repeats[pool].total(now)

    def take(self, pool: str, now: float) -> bool:
        """Return whether a repeat may be made, and count it."""
        if self.left(pool, now) < 1.0:
            return False
        self._repeats[pool].add(1, now)
        return True

    def _window(self) -> Window:
        return Window(self.bounds.retry_window)
