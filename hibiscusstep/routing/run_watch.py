"""hibiscusstep.routing.run_watch: granted requests, and when each should have ended."""

import heapq
import itertools
from collections import OrderedDict, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from hibiscusstep.routing.messages import Lost

__all__ = ["CheckResult", "GrantMonitor", "LostRequests"]

# An instance that lives answers within some milliseconds, on a busy half of a core in
# 0.2 s.
ANSWER_TIMEOUT_S = 0.5
# What an instance says that it still holds is asked for again after this: with the time
# for an answer, one that is lost then holds a slot for a second more at the most.
INQUIRY_INTERVAL_S = 0.5
# Checked every 0.05 s; after a gap of so much this process was paused itself, and the
# answers to what it asked may wait to be read.
PAUSE_THRESHOLD_S = 0.25
# An instance that was cut off for less than this may still tell that it holds what was
# taken for lost.
LOST_RETENTION_S = 6.0


@dataclass(slots=True)
class _MonitoredGrant:
    """A granted request: its instance, and when it is looked at next."""

    instance: str
    at: float
    overdue: bool = False
    asked: bool = False


@dataclass(slots=True)
class CheckResult:
    """What a check found.

    Parameters
    ----------
    instances : set of str
        To be asked what they still hold.
    lost : list of str
        Asks of requests that their instances were asked for in vain.
    """

    instances: set[str] = field(default_factory=set)
    lost: list[str] = field(default_factory=list)


class GrantMonitor:
    """Tells which granted requests are overdue, and which of those are lost.

    An instance that loses its power tells no end, and in a large region nobody else
    tells its death for seconds. Who holds a request past the time at which nearly all
    have ended is asked; who does not answer holds it no more, as far as its target is
    concerned, since the target has ended it by then. With 33 of 195 instances lost, a
    quarter of a pool's slots was held for requests that would never end, for 4.5 s.
    """

    def __init__(self) -> None:
        self._grants: dict[str, _MonitoredGrant] = {}
        self._asks_by_instance: dict[str, set[str]] = defaultdict(set)
        self._checks: list[tuple[float, int, str]] = []
        self._sequence = itertools.count()
        self._checked_at = 0.0

    @property
    def overdue(self) -> int:
        """How many are held past the time at which they should have ended."""
        return sum(grant.overdue for grant in self._grants.values())

    def asks_of_instance(self, instance: str) -> set[str]:
        """Return the asks of the granted requests of an instance."""
        return set(self._asks_by_instance.get(instance, ()))

    def register(self, ask: str, instance: str, expected_end: float) -> None:
        """Take note of a grant, and when the request should have ended."""
        self.forget(ask)
        self._grants[ask] = _MonitoredGrant(instance, expected_end)
        self._asks_by_instance[instance].add(ask)
        self._schedule_check(ask, expected_end)

    def forget(self, ask: str) -> None:
        """Take note that a request has ended."""
        grant = self._grants.pop(ask, None)
        if grant is None:
            return
        held = self._asks_by_instance[grant.instance]
        held.discard(ask)
        if not held:
            del self._asks_by_instance[grant.instance]

    def confirm_held(self, asks: Iterable[str], now: float) -> None:
        """Take an instance's word for what it still holds."""
        for ask in asks:
            grant = self._grants.get(ask)
            if grant and grant.asked:
                grant.asked = False
                self._schedule_check(ask, now + INQUIRY_INTERVAL_S)

    def check(self, now: float) -> CheckResult:
        """Return whom to ask, and what is lost; the caller forgets that."""
        paused = now - self._checked_at > PAUSE_THRESHOLD_S
        self._checked_at = now
        if paused:
            self._extend_inquiries(now)
        result = CheckResult()
        while self._checks and self._checks[0][0] <= now:
            at, _number, ask = heapq.heappop(self._checks)
            grant = self._grants.get(ask)
            if grant is None or grant.at != at:
                continue
            if grant.asked:
                result.lost.append(ask)
                continue
            grant.overdue = grant.asked = True
            result.instances.add(grant.instance)
            self._schedule_check(ask, now + ANSWER_TIMEOUT_S)
        return result

    def _extend_inquiries(self, now: float) -> None:
        """Give all that were asked their time once more."""
        for ask, grant in self._grants.items():
            if grant.asked:
                self._schedule_check(ask, now + ANSWER_TIMEOUT_S)

    def _schedule_check(self, ask: str, at: float) -> None:
        self._grants[ask].at = at
        heapq.heappush(self._checks, (at, next(self._sequence), ask))


class LostRequests:
    """What was taken for lost lately, should its instance say that it holds it."""

    def __init__(self) -> None:
        self._lost: OrderedDict[str, tuple[float, Lost]] = OrderedDict()

    def add(self, lost: Lost, now: float) -> None:
        """Remember a request that was taken for lost, and forget the old ones."""
        self._lost[lost.work.ask] = now, lost
        while next(iter(self._lost.values()))[0] < now - LOST_RETENTION_S:
            self._lost.popitem(last=False)

    def forget(self, ask: str) -> None:
        """Take note that a request has ended."""
        self._lost.pop(ask, None)

    def take(self, asks: Iterable[str]) -> list[Lost]:
        """Return those of some asks that were taken for lost, and forget them."""
        return [self._lost.pop(ask)[1] for ask in asks if ask in self._lost]
