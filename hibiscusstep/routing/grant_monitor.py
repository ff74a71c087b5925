"""hibiscusstep.routing.grant_monitor: detection of grants that never ended."""

import heapq
import itertools
from collections import OrderedDict, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from hibiscusstep.routing.messages import GrantLost

__all__ = ["CheckResult", "GrantMonitor", "LostRequests"]

# Time in which an instance must answer an inquiry. A live one takes some milliseconds,
# or 0.2 s on a busy half of a core.
ANSWER_TIMEOUT_S = 0.5
# Interval after which an instance that confirmed a request is asked about it again.
# With the timeout of the answer, a request lost meanwhile holds its slot for at most
# one more second.
INQUIRY_INTERVAL_S = 0.5
# Checks run every 0.05 s. After a longer gap than this the dispatcher's own process was
# paused, and answers to its inquiries may still be unread.
PAUSE_THRESHOLD_S = 0.25
# An instance that was cut off for less than this may still report that it holds a
# request that was considered lost.
LOST_RETENTION_S = 6.0


@dataclass(slots=True)
class _MonitoredGrant:
    """A granted request: its instance and the time of its next check."""

    instance: str
    check_at: float
    overdue: bool = False
    inquired: bool = False


@dataclass(slots=True)
class CheckResult:
    """Result of a check.

    Parameters
    ----------
    instances : set of str
        Instances to ask for the requests that they hold.
    lost : list of str
        Ids (`Work.ask`) of the grants that their instances did not confirm.
    """

    instances: set[str] = field(default_factory=set)
    lost: list[str] = field(default_factory=list)


class GrantMonitor:
    """Monitor of granted requests that finds overdue and lost ones.

    An instance that loses power reports no ends, and in a large region its failure is
    detected only seconds later. The dispatcher therefore asks an instance about each
    request that it holds beyond the time at which nearly all such requests have ended.
    Without an answer the slot is released, since the target has finished the request by
    then. With 33 of 195 instances lost, a quarter of a pool's slots was held for 4.5 s
    by requests that never ended.
    """

    def __init__(self) -> None:
        self._grants: dict[str, _MonitoredGrant] = {}
        self._asks_by_instance: dict[str, set[str]] = defaultdict(set)
        self._checks: list[tuple[float, int, str]] = []
        self._sequence = itertools.count()
        self._checked_at = 0.0

    @property
    def overdue(self) -> int:
        """Number of requests held beyond their expected end."""
        return sum(grant.overdue for grant in self._grants.values())

    def is_overdue(self, ask: str) -> bool:
        """Return whether a request is held beyond its expected end."""
        grant = self._grants.get(ask)
        return grant is not None and grant.overdue

    def grants_of_instance(self, instance: str) -> set[str]:
        """Return the ids (`Work.ask`) of an instance's grants."""
        return set(self._asks_by_instance.get(instance, ()))

    def register(self, ask: str, instance: str, expected_end: float) -> None:
        """Add a granted request; `expected_end` is a time on the dispatcher's clock."""
        self.forget(ask)
        self._grants[ask] = _MonitoredGrant(instance, expected_end)
        self._asks_by_instance[instance].add(ask)
        self._schedule_check(ask, expected_end)

    def forget(self, ask: str) -> None:
        """Remove a request that has ended."""
        grant = self._grants.pop(ask, None)
        if grant is None:
            return
        held = self._asks_by_instance[grant.instance]
        held.discard(ask)
        if not held:
            del self._asks_by_instance[grant.instance]

    def confirm_held(self, asks: Iterable[str], now: float) -> None:
        """Mark requests as held, as reported by their instance."""
        for ask in asks:
            grant = self._grants.get(ask)
            if grant and grant.inquired:
                grant.inquired = False
                self._schedule_check(ask, now + INQUIRY_INTERVAL_S)

    def check(self, now: float) -> CheckResult:
        """Return the instances to ask, and lost requests, which the caller removes."""
        paused = now - self._checked_at > PAUSE_THRESHOLD_S
        self._checked_at = now
        if paused:
            self._extend_inquiries(now)
        result = CheckResult()
        while self._checks and self._checks[0][0] <= now:
            check_at, _number, ask = heapq.heappop(self._checks)
            grant = self._grants.get(ask)
            if grant is None or grant.check_at != check_at:
                continue
            if grant.inquired:
                result.lost.append(ask)
                continue
            grant.overdue = grant.inquired = True
            result.instances.add(grant.instance)
            self._schedule_check(ask, now + ANSWER_TIMEOUT_S)
        return result

    def _extend_inquiries(self, now: float) -> None:
        """Restart the answer timeout of all pending inquiries."""
        for ask, grant in self._grants.items():
            if grant.inquired:
                self._schedule_check(ask, now + ANSWER_TIMEOUT_S)

    def _schedule_check(self, ask: str, check_at: float) -> None:
        self._grants[ask].check_at = check_at
        heapq.heappush(self._checks, (check_at, next(self._sequence), ask))


class LostRequests:
    """Requests considered lost recently, in case their instance still holds them."""

    def __init__(self) -> None:
        self._lost: OrderedDict[str, tuple[float, GrantLost]] = OrderedDict()

    def add(self, lost: GrantLost, now: float) -> None:
        """Add a request that is considered lost, and remove expired entries."""
        self._lost[lost.work.ask] = now, lost
        while next(iter(self._lost.values()))[0] < now - LOST_RETENTION_S:
            self._lost.popitem(last=False)

    def forget(self, ask: str) -> None:
        """Remove a request that has ended."""
        self._lost.pop(ask, None)

    def take(self, asks: Iterable[str]) -> list[GrantLost]:
        """Remove and return those of the given asks that were considered lost."""
        return [self._lost.pop(ask)[1] for ask in asks if ask in self._lost]
