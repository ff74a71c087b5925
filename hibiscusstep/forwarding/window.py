"""hibiscusstep.forwarding.window: sums over the last seconds."""

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

    def add(self, amount: float, now: float) -> None:
        """Count an amount at this moment."""
        self._parts.append((now, amount))
        self._sum += amount

    def total(self, now: float) -> float:
        """Return the sum."""
        while self._parts and self._parts[0][0] <= now - self._span:
            self._sum -= self._parts.popleft()[1]
        return self._sum
