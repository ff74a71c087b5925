"""hibiscusstep.forwarding.window: sums over the last seconds."""

from bisect import insort
from collections import deque

__all__ = ["Window"]


class Window:
    """A sum over the last seconds.

    Parameters
    ----------
    span : float
        Seconds.
    """

    def __init__(self, span: float) -> None:
        self._span = span
        self._parts: deque[tuple[float, float]] = deque()
        self._sum = 0.0

    def add(self, amount: float, at: float) -> None:
        """Count an amount at a moment, which may be an earlier one."""
        if self._parts and at < self._parts[-1][0]:
            insort(self._parts, (at, amount))
        else:
            self._parts.append((at, amount))
        self._sum += amount

    def total(self, now: float) -> float:
        """Return the sum."""
        while self._parts and self._parts[0][0] <= now - self._span:
            self._sum -= self._parts.popleft()[1]
        return self._sum

    def by_age(self, now: float, step: float) -> list[float]:
        """Return the parts of the sum by age in steps of so many seconds, newest first.

        As many as the span has.
        """
        self.total(now)
        sums = [0.0] * -int(-self._span // step)
        for at, amount in self._parts:
            age = max(0.0, now - at)
            sums[min(int(age / step), len(sums) - 1)] += amount
        return sums
