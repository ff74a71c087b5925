"""Record of what arrived at targets that named a limit, and the check of the promise.

From `NOTICE_S` after a target first named its limit, no `WINDOW_S` bring it more than
one and a half times what the limit allows, plus five. Counted are the requests of
instances that had passed such an answer on `TOLD_S` earlier. A paused instance is
excused until `NOTICE_S` after it went on, and a restarted one is a new process.
"""

import bisect
import itertools
import math
import time
from collections import defaultdict

__all__ = ["LimitLedger"]

NOTICE_S, WINDOW_S, TOLD_S = 3.0, 4.0, 0.5
EXCESS_FACTOR, EXCESS_REQUESTS = 1.5, 5


class LimitLedger:
    """Arrivals at targets, and the limits that these named; times are monotonic."""

    def __init__(self):
        self.arrivals = defaultdict(list)
        self.limits = defaultdict(list)
        # When an instance first passed a limit on, by process and target.
        self.passed_on = {}
        self.pauses = defaultdict(list)

    def record_arrival(self, target, request, now=None):
        self.arrivals[target].append((now or time.monotonic(), request))

    def record_limit(self, target, limit, now=None):
        self.limits[target].append((now or time.monotonic(), limit))

    def record_passed_on(self, process, target, now=None):
        self.passed_on.setdefault((process, target), now or time.monotonic())

    def record_pause(self, process, paused, now=None):
        self.pauses[process].append((now or time.monotonic(), paused))

    def findings(self, processes):
        """Return a line for each target that was sent too many requests.

        Parameters
        ----------
        processes : dict of str to int
            Process id of the instance that received a request, by request.
        """
        for target, changes in self.limits.items():
            ends = [at for at, _limit in changes[1:]] + [math.inf]
            for (start, limit), end in zip(changes, ends, strict=True):
                if limit is not None:
                    yield from self._check(target, limit, start, end, processes)

    def _check(self, target, limit, start, end, processes):
        counted = [
            at
            for at, request in self.arrivals[target]
            if start + NOTICE_S <= at < end
            and self._counts(processes.get(request), target, at)
        ]
        counted.sort()
        allowed = EXCESS_FACTOR * limit * WINDOW_S + EXCESS_REQUESTS
        for position, at in enumerate(counted):
            count = bisect.bisect_left(counted, at + WINDOW_S) - position
            if count > allowed:
                yield (
                    f"{target}: {count} requests in {WINDOW_S} s at a limit of {limit},"
                    f" allowed {allowed:g}, from {at - start:.1f} s after it was named"
                )
                return

    def _counts(self, process, target, at):
        """Return whether a request that an instance sent counts."""
        passed_on = self.passed_on.get((process, target), math.inf)
        return at >= passed_on + TOLD_S and not self._was_paused(process, at)

    def _was_paused(self, process, at):
        """Return whether a process was paused within `NOTICE_S` before a moment."""
        spans = itertools.zip_longest(
            *(
                [moment for moment, paused in self.pauses[process] if paused is kind]
                for kind in (True, False)
            ),
            fillvalue=math.inf,
        )
        return any(start <= at <= end + NOTICE_S for start, end in spans)
