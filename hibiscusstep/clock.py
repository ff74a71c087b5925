"""hibiscusstep.clock: a clock that goes on while the machine is suspended.

The loop's clock stands still then, and the others' go on. What must agree with them
uses this one: here that something is still fresh is never believed for too long.
"""

import asyncio
import time

__all__ = ["SuspensionWatch", "elapsed"]

# Two clocks that are read one after the other differ by less, also on a busy machine
# where the process is interrupted between the readings.
_NOTICED_S = 0.25


def elapsed() -> float:
    """Return seconds since some moment, those of suspensions too."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SuspensionWatch:
    """Notices that the machine was suspended, by the clock that went on meanwhile."""

    def __init__(self) -> None:
        self._ahead = elapsed() - _steady()

    def check(self) -> float:
        """Return the seconds for which it was since the last look; 0 if it was not."""
        ahead = elapsed() - _steady()
        gap, self._ahead = ahead - self._ahead, ahead
        return gap if gap > _NOTICED_S else 0.0


def _steady() -> float:
    return asyncio.get_running_loop().time()
