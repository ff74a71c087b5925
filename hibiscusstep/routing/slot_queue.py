"""hibiscusstep.routing.slot_queue: requests that wait for a slot, in order."""

import heapq
import itertools
import math
from collections import Counter, OrderedDict, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, replace

from sortedcontainers import SortedList

from hibiscusstep.routing.messages import Work

__all__ = ["RefusedRequests", "SlotQueue"]

# Callers come back within some seconds or not at all: each patience is below this.
REFUSAL_MEMORY_S = 20.0


@dataclass(frozen=True, slots=True)
class _QueuedRequest:
    """A waiting request: its place in the order, its guessed seconds, until when."""

    entry: tuple[int, bool, float, int, Work]
    cost: float
    deadline: float


class SlotQueue:
    """By rank, within it first come, first served, those that are late already last.

    No operation costs more than a few steps however many wait.
    """

    def __init__(self) -> None:
        self._order: SortedList = SortedList()
        self._by_ask: dict[str, _QueuedRequest] = {}
        self._deadlines: list[tuple[float, int, str]] = []
        self._backlog: dict[tuple[int, bool], float] = defaultdict(float)
        self._sequence = itertools.count()

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._order)

    def __contains__(self, ask: str) -> bool:
        """Whether an ask waits."""
        return ask in self._by_ask

    def __iter__(self) -> Iterator[Work]:
        """Iterate over those that wait, in order."""
        return (entry[-1] for entry in self._order)

    def __getitem__(self, place: int) -> Work:
        """Return the request at a place of the order."""
        return self._order[place][-1]

    def get(self, ask: str) -> Work | None:
        """Return a waiting request; None if it does not wait."""
        queued = self._by_ask.get(ask)
        return queued.entry[-1] if queued else None

    def first_of_rank(self, rank: int) -> Work | None:
        """Return the request of a rank that comes first; None if none waits."""
        place = self._order.bisect_left((rank,))
        if place == len(self._order) or self._order[place][0] != rank:
            return None
        return self._order[place][-1]

    def priority_classes(self) -> list[tuple[int, bool]]:
        """Return the classes (rank, whether late) that were seen, the last first."""
        return sorted(self._backlog, reverse=True)

    def last_of_class(self, place: tuple[int, bool]) -> Work | None:
        """Return the request of a class that comes last; None if none waits."""
        after = self._order.bisect_left((*place, math.inf))
        if not after or self._order[after - 1][:2] != place:
            return None
        return self._order[after - 1][-1]

    def position_in_rank(self, ask: str) -> int:
        """Return how many of its rank go before a waiting request."""
        entry = self._by_ask[ask].entry
        return self._order.bisect_left(entry) - self._order.bisect_left(entry[:1])

    @property
    def count_by_tier(self) -> dict[str, int]:
        """How many wait, by tier."""
        return dict(Counter(work.tier for work in self))

    def add(self, work: Work, cost: float, deadline: float, late: bool) -> None:
        """Take a request.

        Parameters
        ----------
        work : Work
            The request.
        cost : float
            Its guessed seconds.
        deadline : float
            Until when it waits, on the dispatcher's clock.
        late : bool
            Whether it can't be served in time any more.
        """
        number = next(self._sequence)
        entry = (work.rank, late, work.received, number, work)
        self._order.add(entry)
        self._by_ask[work.ask] = _QueuedRequest(entry, cost, deadline)
        self._backlog[entry[:2]] += cost
        heapq.heappush(self._deadlines, (deadline, number, work.ask))

    def remove(self, ask: str) -> Work | None:
        """Take a request out; None if it does not wait."""
        queued = self._by_ask.pop(ask, None)
        if queued is None:
            return None
        self._order.remove(queued.entry)
        self._backlog[queued.entry[:2]] -= queued.cost
        return queued.entry[-1]

    def seconds_ahead(self, ask: str) -> float:
        """Return the guessed seconds of all that go before a waiting request.

        Those are all of its class (rank, and whether late) and of those before: few
        come after it in its class.
        """
        queued = self._by_ask[ask]
        own = queued.entry[:2]
        total = sum(cost for place, cost in self._backlog.items() if place <= own)
        return max(0.0, total - queued.cost)

    def deadline(self, ask: str) -> float:
        """Return until when a waiting request waits."""
        return self._by_ask[ask].deadline

    def expired(self, now: float) -> Iterator[Work]:
        """Yield those whose deadline has passed; the caller removes each."""
        while self._deadlines and self._deadlines[0][0] <= now:
            _deadline, number, ask = heapq.heappop(self._deadlines)
            queued = self._by_ask.get(ask)
            if queued and queued.entry[3] == number:
                yield queued.entry[-1]


class RefusedRequests:
    """Recognizes requests that come back after a refusal, at whichever instance.

    A caller's attempts have ids of their own, and its objective counts from the first.
    Of the served answers of a burst one in five was late because its request had been
    refused before; it took the slot of one that could be served in time.
    """

    def __init__(self) -> None:
        self._first_received: OrderedDict[int, float] = OrderedDict()

    def was_refused(self, work: Work) -> bool:
        """Whether a request was refused before, by its caller's identity."""
        return work.identity in self._first_received

    def record(self, work: Work) -> None:
        """Remember a refused request, from its first attempt on."""
        if work.identity:
            self._first_received.setdefault(work.identity, work.received)

    def with_original_due(self, work: Work, now: float) -> Work:
        """Return the request; due as its first attempt was, if it comes back."""
        while self._first_received:
            identity, received = next(iter(self._first_received.items()))
            if received > now - REFUSAL_MEMORY_S:
                break
            del self._first_received[identity]
        first = self._first_received.get(work.identity)
        if first is None or not work.due:
            return work
        return replace(work, due=work.due - (work.received - first))
