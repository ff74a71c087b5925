"""hibiscusstep.membership.sliding_maximum: maximum over a sliding time window."""

from collections import deque

__all__ = ["SlidingMaximum"]


class SlidingMaximum:
    """Maximum of the numbers added within a sliding time window.

    A number that is not above a later one cannot become the maximum again and is
    dropped, so adding a number takes amortized constant time. Relays add one with each
    heartbeat: scanning all numbers took half of their processor time among 89
    instances, and the cost would grow with the square of the number of instances.

    Parameters
    ----------
    window_s : float
        Length of the window in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        # Pairs of time and number; times increase and numbers decrease.
        self._entries: deque[tuple[float, int]] = deque()

    def __len__(self) -> int:
        """Return the number of stored entries."""
        return len(self._entries)

    def add(self, number: int, now: float) -> int:
        """Add a number and return the maximum of the window."""
        while self._entries and self._entries[-1][1] <= number:
            self._entries.pop()
        self._entries.append((now, number))
        while self._entries[0][0] < now - self._window_s:
            self._entries.popleft()
        return self._entries[0][1]
