"""hibiscusstep.clock: a clock that includes the time in which the machine is suspended.

The event loop's clock stops during a suspension while the clocks of other machines
continue. Expiry times that must agree with other machines use this clock, so that
nothing is considered fresh for too long.
"""

import asyncio
import time

__all__ = ["PauseDetector", "SuspensionDetector", "elapsed"]

# Above the error from reading two clocks in turn, also on a busy machine where the
# process is interrupted between the readings.
_MIN_SUSPENSION_S = 0.25


def elapsed() -> float:
    """Return the seconds since boot, including suspensions."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SuspensionDetector:
    """Detects suspensions by comparing the boot-time clock with the loop's clock."""

    def __init__(self) -> None:
        self._offset = elapsed() - _steady()

    def check(self) -> float:
        """Return the seconds of suspension since the last check; 0 if none."""
        offset = elapsed() - _steady()
        gap, self._offset = offset - self._offset, offset
        return gap if gap > _MIN_SUSPENSION_S else 0.0


class PauseDetector:
    """Detects that this process stood still, stopped or on a suspended machine.

    Parameters
    ----------
    threshold : float
        A longer gap between two checks, in seconds, is a pause.
    """

    def __init__(self, threshold: float) -> None:
        self._threshold = threshold
        self._checked_at = elapsed()

    def check(self) -> float:
        """Return the seconds since the last check if that is a pause, otherwise 0."""
        now = elapsed()
        gap, self._checked_at = now - self._checked_at, now
        return gap if gap > self._threshold else 0.0


def _steady() -> float:
    return asyncio.get_running_loop().time()
