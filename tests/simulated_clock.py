"""Event loop on a simulated clock, for tests that wait much and compute little."""

import asyncio
import selectors


class SimulatedClockLoop(asyncio.SelectorEventLoop):
    """Event loop that skips the time in which nothing is due.

    Nothing may wait for sockets, threads or processes, so that a run does not depend on
    the speed of the machine.
    """

    def __init__(self, start=0.0):
        self._now = start
        super().__init__(_SkippingSelector(self._skip))

    def time(self):
        """Return the simulated time in seconds."""
        return self._now

    def _skip(self, seconds):
        self._now += seconds


class _SkippingSelector(selectors.DefaultSelector):
    """Selector that, instead of waiting, lets the clock skip the time."""

    def __init__(self, skip):
        super().__init__()
        self._skip = skip

    def select(self, timeout=None):
        found = super().select(0)
        if not found:
            if timeout is None:
                raise RuntimeError("nothing is due")
            self._skip(timeout)
        return found
