"""hibiscusstep.logstream: a non-blocking log handler with a bounded buffer."""

import errno
import logging
import os
from collections import deque
from collections.abc import Callable

__all__ = ["BoundedHandler"]

# Bound on the lines buffered for a slow reader; further lines are dropped and counted.
MAX_PENDING_BYTES = 256 << 10
# Routine lines, which report successful requests, are dropped first: above this share
# of the bound, and above a rate that is more than an engineer can read.
ROUTINE_SHARE = 0.25
MAX_ROUTINE_PER_S = 200
FLUSH_INTERVAL_S = 0.25


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor, which it makes non-blocking.

    Lines that cannot be written are buffered up to a bound. Dropped lines are counted,
    and reported by a separate line once the buffer is empty.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to.
    clock : callable returning float
        Returns the time in seconds.

    Attributes
    ----------
    dropped : int
        Number of lines dropped since the start.
    """

    def __init__(self, descriptor: int, clock: Callable[[], float]) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._clock = clock
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._rate_second = 0
        self._routine_count = 0
        self._unreported = 0
        self._closed = False
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer a line and write as much as the descriptor accepts."""
        if self._should_drop(getattr(record, "routine", False)):
            self.dropped += 1
            self._unreported += 1
            return
        if self._unreported and self._pending_bytes == 0:
            self._report_dropped()
        self._buffer(self.format(record))
        self.flush()

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        while self._pending and not self._closed:
            line = self._pending.popleft()
            try:
                written = os.write(self._descriptor, line)
            except OSError as cause:
                self._pending.appendleft(line)
                if cause.errno not in (errno.EAGAIN, errno.EINTR):
                    self._close_buffer()
                return
            self._pending_bytes -= written
            if written < len(line):
                self._pending.appendleft(line[written:])

    def _should_drop(self, routine: bool) -> bool:
        bound = MAX_PENDING_BYTES * (ROUTINE_SHARE if routine else 1.0)
        if self._closed or self._pending_bytes > bound:
            return True
        if not routine:
            return False
        second = int(self._clock())
        if second != self._rate_second:
            self._rate_second, self._routine_count = second, 0
        self._routine_count += 1
        return self._routine_count > MAX_ROUTINE_PER_S

    def _buffer(self, text: str) -> None:
        line = text.encode() + b"\n"
        self._pending.append(line)
        self._pending_bytes += len(line)

    def _report_dropped(self) -> None:
        record = logging.LogRecord(
            __name__, logging.WARNING, "", 0, "log lines dropped", None, None
        )
        record.count = self._unreported
        self._unreported = 0
        self._buffer(self.format(record))

    def _close_buffer(self) -> None:
        """Drop all lines from now on, because the reader has closed."""
        self._closed = True
        self._pending.clear()
        self._pending_bytes = 0
