"""hibiscusstep.forwarding.window: sums over a sliding time window."""

from bisect import insort
from collections import deque

__all__ = ["SlidingWindow"]


class SlidingWindow:
    """A sum of amounts over a sliding time window.

    Parameters
    ----------
    span : float
        Length of the window in seconds.
    """

    def __init__(self, span: float) -> None:
        self._span = span
        self._parts: deque[tuple[float, float]] = deque()
        self._sum = 0.0

    def add(self, amount: float, at: float) -> None:
        """Add an amount at a time, which may precede earlier additions."""
        if self._parts and at < self._parts[-1][0]:
            insort(self._parts, (at, amount))
        else:
            self._parts.append((at, amount))
        self._sum += amount

    def total(self, now: float) -> float:
        """Return the sum of the amounts in the window."""
        while self._parts and self._parts[0][0] <= now - self._span:
            self._sum -= self._parts.popleft()[1]
        return self._sum

    def pop_older(self, newest_sum: float) -> list[tuple[float, float]]:
        """Remove and return all but the newest amounts, which sum to `newest_sum`."""
        remaining: deque[tuple[float, float]] = deque()
        older: list[tuple[float, float]] = []
        for at, amount in reversed(self._parts):
            part = min(amount, newest_sum)
            newest_sum -= part
            if part:
                remaining.appendleft((at, part))
            if amount > part:
                older.append((at, amount - part))
        self._parts = remaining
        self._sum = sum(amount for _at, amount in remaining)
        return older

    def by_age(self, now: float, step: float) -> list[float]:
        """Return the sums by age in steps of `step` seconds, newest first.

        The list covers the whole window.
        """
        self.total(now)
        sums = [0.0] * -int(-self._span // step)
        for at, amount in self._parts:
            age = max(0.0, now - at)
            sums[min(int(age / step), len(sums) - 1)] += amount
        return sums
