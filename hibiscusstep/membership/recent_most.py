"""hibiscusstep.membership.recent_most: the largest number seen within a time."""

from collections import deque

__all__ = ["RecentMost"]


class RecentMost:
    """The largest of the numbers that were seen within some seconds.

    A number that a later one reaches is never the largest again and is dropped, so a
    look costs a few steps however many were seen. Relays look with each heartbeat:
    going through all numbers took half of their processor time among 89 instances, and
    would have grown with the square of the instances.

    Parameters
    ----------
    seconds : float
        For how long a number counts.
    """

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        # Falling numbers, the oldest and largest first, each with when it was seen.
        self._seen: deque[tuple[float, int]] = deque()

    def __len__(self) -> int:
        """Return how many numbers are kept."""
        return len(self._seen)

    def see(self, number: int, now: float) -> int:
        """Take a number; return the largest one, itself among them."""
        while self._seen and self._seen[-1][1] <= number:
            self._seen.pop()
        self._seen.append((now, number))
        while self._seen[0][0] < now - self._seconds:
            self._seen.popleft()
        return self._seen[0][1]
