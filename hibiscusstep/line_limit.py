"""hibiscusstep.line_limit: bounds the log lines that callers can cause."""

from collections.abc import Callable, Hashable

__all__ = ["LineLimit"]

INTERVAL_S = 1.0


class LineLimit:
    """Admits a number of lines of each kind in a second and counts the others.

    Parameters
    ----------
    max_lines : int
        Lines of a kind in a second.
    now : callable
        Returns the current time in seconds.
    """

    def __init__(self, max_lines: int, now: Callable[[], float]) -> None:
        self._max_lines = max_lines
        self._now = now
        # By kind: start of its second, lines in it, and lines left out since the last.
        self._kinds: dict[Hashable, tuple[float, int, int]] = {}

    def admit(self, kind: Hashable) -> int | None:
        """Return the number of lines left out before this one, None to leave it out.

        Kinds are names of the program, never a caller's words.
        """
        now = self._now()
        start, lines, left_out = self._kinds.get(kind, (now, 0, 0))
        if now - start >= INTERVAL_S:
            start, lines = now, 0
        is_admitted = lines < self._max_lines
        self._kinds[kind] = (
            (start, lines + 1, 0) if is_admitted else (start, lines, left_out + 1)
        )
        return left_out if is_admitted else None
