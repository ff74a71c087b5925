"""hibiscusstep.routing.slot_queue: the queue of requests that wait for a slot."""

import enum
import heapq
import itertools
import math
from collections import Counter, OrderedDict, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, replace

from sortedcontainers import SortedList

from hibiscusstep.routing.messages import Work

__all__ = ["QueueClass", "QueuedRequest", "RefusedRequests", "SlotQueue", "Tail"]

# Callers retry within a few seconds or not at all: their maximum waiting time is below
# this.
REFUSAL_MEMORY_S = 20.0


class QueueClass(enum.IntEnum):
    """Class of a queued request within its rank; a lower one goes first.

    `RETURNING`: it returned at the time that its refusal named. `ON_TIME`: it can still
    be served in time. `LATE`: it can no longer be served in time.
    """

    RETURNING = 0
    ON_TIME = 1
    LATE = 2


# A rank, a class, and a customer if its requests are ordered by customer.
Tail = tuple[int, QueueClass, str]


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A queued request with its sort key, estimated seconds and deadline."""

    sort_key: tuple[int, QueueClass, float, int, Work]
    cost: float
    deadline: float


class SlotQueue:
    """Queue by rank; within a rank by class, then by time of arrival.

    The cost of an operation hardly grows with the number of queued requests.
    """

    def __init__(self) -> None:
        self._order: SortedList = SortedList()
        self._by_ask: dict[str, QueuedRequest] = {}
        self._deadlines: list[tuple[float, int, str]] = []
        self._backlog: dict[tuple[int, QueueClass], float] = defaultdict(float)
        self._counts: Counter[tuple[int, QueueClass]] = Counter()
        self._sequence = itertools.count()

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._order)

    def __contains__(self, ask: str) -> bool:
        """Return whether a request is queued."""
        return ask in self._by_ask

    def __iter__(self) -> Iterator[Work]:
        """Iterate over the queued requests in order."""
        return (sort_key[-1] for sort_key in self._order)

    def __getitem__(self, position: int) -> Work:
        """Return the request at a position of the queue."""
        return self._order[position][-1]

    def get(self, ask: str) -> Work | None:
        """Return a queued request; None if it is not queued."""
        queued = self._by_ask.get(ask)
        return queued.sort_key[-1] if queued else None

    def first_of_rank(self, rank: int) -> Work | None:
        """Return the first request of a rank; None if there is none."""
        position = self._order.bisect_left((rank,))
        if position == len(self._order) or self._order[position][0] != rank:
            return None
        return self._order[position][-1]

    def priority_classes(self) -> list[tuple[int, QueueClass]]:
        """Return the pairs of rank and class used so far, the last first."""
        return sorted(self._backlog, reverse=True)

    def tails(self, asking: Work | None = None) -> list[Tail]:
        """Return the ends of the queue at which requests may miss their deadlines.

        These are the classes, the last first; they do not depend on the request that
        has just arrived.
        """
        return [(*priority, "") for priority in self.priority_classes()]

    def last_of_tail(self, tail: Tail) -> Work | None:
        """Return the last request at an end of the queue; None if there is none."""
        priority = tail[:2]
        end_index = self._order.bisect_left((*priority, math.inf))
        if not end_index or self._order[end_index - 1][:2] != priority:
            return None
        return self._order[end_index - 1][-1]

    def position_in_rank(self, ask: str) -> int:
        """Return the number of requests of the same rank before a queued request."""
        sort_key = self._by_ask[ask].sort_key
        return self._order.bisect_left(sort_key) - self._order.bisect_left(sort_key[:1])

    @property
    def count_by_tier(self) -> dict[str, int]:
        """Number of queued requests by tier."""
        return dict(Counter(work.tier for work in self))

    def add(
        self, work: Work, cost: float, deadline: float, queue_class: QueueClass
    ) -> None:
        """Add a request.

        Parameters
        ----------
        work : Work
            The request.
        cost : float
            Its estimated service time in seconds, at slowness 1.
        deadline : float
            When it expires, on the dispatcher's clock.
        queue_class : QueueClass
            Its class within its rank.
        """
        number = next(self._sequence)
        sort_key = (work.rank, queue_class, work.received_at, number, work)
        queued = QueuedRequest(sort_key, cost, deadline)
        self._insert(queued)
        self._by_ask[work.ask] = queued
        self._backlog[sort_key[:2]] += cost
        self._counts[sort_key[:2]] += 1
        heapq.heappush(self._deadlines, (deadline, number, work.ask))

    def remove(self, ask: str) -> Work | None:
        """Remove and return a request; None if it is not queued."""
        queued = self._by_ask.pop(ask, None)
        if queued is None:
            return None
        self._take_out(queued)
        self._backlog[queued.sort_key[:2]] -= queued.cost
        self._counts[queued.sort_key[:2]] -= 1
        return queued.sort_key[-1]

    def requests(self) -> Iterator[QueuedRequest]:
        """Iterate over the queued requests in order of arrival at the queue."""
        return iter(self._by_ask.values())

    def _insert(self, queued: QueuedRequest) -> None:
        self._order.add(queued.sort_key)

    def _take_out(self, queued: QueuedRequest) -> None:
        self._order.remove(queued.sort_key)

    def ahead_of(self, ask: str) -> tuple[int, float]:
        """Return the number and estimated seconds of requests before a queued request.

        All other requests of its rank and class and of the classes before count, since
        few requests of its class are behind it.
        """
        queued = self._by_ask[ask]
        own_class = queued.sort_key[:2]
        count, seconds = -1, -queued.cost
        for priority, backlog in self._backlog.items():
            if priority <= own_class:
                count += self._counts[priority]
                seconds += backlog
        return count, max(0.0, seconds)

    def deadline(self, ask: str) -> float:
        """Return when a queued request expires, on the dispatcher's clock."""
        return self._by_ask[ask].deadline

    def expired(self, now: float) -> Iterator[Work]:
        """Yield the requests whose deadline has passed; the caller removes each."""
        while self._deadlines and self._deadlines[0][0] <= now:
            _deadline, number, ask = heapq.heappop(self._deadlines)
            queued = self._by_ask.get(ask)
            if queued and queued.sort_key[3] == number:
                yield queued.sort_key[-1]


class RefusedRequests:
    """Recently refused requests, to recognize retries that reach any instance.

    Each attempt of a caller has its own id, but the caller's objective counts from the
    first attempt. In a burst, one in five served answers was late because its request
    had been refused before; it took the slot of a request that could be served in time.
    """

    def __init__(self) -> None:
        self._first_received: OrderedDict[int, float] = OrderedDict()

    def was_refused(self, work: Work) -> bool:
        """Return whether a request was refused before, by its caller's identity."""
        return work.identity in self._first_received

    def record(self, work: Work) -> None:
        """Record a refused request with the time of its first attempt."""
        if work.identity:
            self._first_received.setdefault(work.identity, work.received_at)

    def with_original_due(self, work: Work, now: float) -> Work:
        """Return the request; a retry with the due time of its first attempt."""
        while self._first_received:
            identity, received = next(iter(self._first_received.items()))
            if received > now - REFUSAL_MEMORY_S:
                break
            del self._first_received[identity]
        first = self._first_received.get(work.identity)
        if first is None or not work.first_token_due:
            return work
        return replace(
            work, first_token_due=work.first_token_due - (work.received_at - first)
        )
