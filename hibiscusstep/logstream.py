"""hibiscusstep.logstream: a log handler that never blocks and is bounded."""

import errno
import logging
import os
from collections import deque
from collections.abc import Callable

__all__ = ["BoundedHandler"]

# Lines that wait for a reader that is slow; beyond this they are dropped and counted.
MAX_PENDING_BYTES = 256 << 10
# Lines of requests that ended well are dropped first, from this share of the bound on,
# and when there are more of them in a second than an engineer reads.
ROUTINE_SHARE = 0.25
MAX_ROUTINE_PER_S = 200
# Waiting lines are tried again this often.
FLUSH_INTERVAL_S = 0.25


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor that it made non-blocking.

    What the descriptor does not take waits, up to a bound. Dropped lines are counted
    and reported by a line of their own once there is room.

    Parameters
    ----------
    descriptor : int
        Where to write.
    clock : callable returning float
        Seconds.

    Attributes
    ----------
    dropped : int
        Lines dropped since the start.
    """

    def __init__(self, descriptor: int, clock: Callable[[], float]) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._clock = clock
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._second = 0
        self._routine = 0
        self._unreported = 0
        self._closed = False
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line and write what the descriptor takes."""
        if self._refuses(getattr(record, "routine", False)):
            self.dropped += 1
            self._unreported += 1
            return
        if self._unreported and self._pending_bytes == 0:
            self._report_dropped()
        self._queue(self.format(record))
        self.flush()

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        while self._pending and not self._closed:
            line = self._pending.popleft()
            try:
                written = os.write(self._descriptor, line)
            except OSError as cause:
                self._pending.appendleft(line)
                if cause.errno not in (errno.EAGAIN, errno.EINTR):
                    self._give_up()
                return
            self._pending_bytes -= written
            if written < len(line):
                self._pending.appendleft(line[written:])

    def _refuses(self, routine: bool) -> bool:
        bound = MAX_PENDING_BYTES * (ROUTINE_SHARE if routine else 1.0)
        if self._closed or self._pending_bytes > bound:
            return True
        if not routine:
            return False
        second = int(self._clock())
        if second != self._second:
            self._second, self._routine = second, 0
        self._routine += 1
        return self._routine > MAX_ROUTINE_PER_S

    def _queue(self, text: str) -> None:
        line = text.encode() + b"\n"
        self._pending.append(line)
        self._pending_bytes += len(line)

    def _report_dropped(self) -> None:
        record = logging.LogRecord(
            __name__, logging.WARNING, "", 0, "log lines dropped", None, None
        )
        record.count = self._unreported
        self._unreported = 0
        self._queue(self.format(record))

    def _give_up(self) -> None:
        """Write nothing more: the reader is gone for good."""
        self._closed = True
        self._pending.clear()
        self._pending_bytes = 0
