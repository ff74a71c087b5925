"""hibiscusstep.routing.fair_queue: a queue with fair shares of the customers.

Made for the same load as `hibiscusstep.routing.fair_shares`.
"""

import heapq
import itertools
from collections.abc import Iterator

from sortedcontainers import SortedList

from hibiscusstep.routing.fair_shares import FairShares
from hibiscusstep.routing.messages import Work
from hibiscusstep.routing.slot_queue import QueueClass, QueuedRequest, SlotQueue, Tail

__all__ = ["FairSlotQueue"]

# Maximum number of customers of a rank whose last request is checked with each tick, in
# turn. A customer that sends much is checked with each of its requests; requests of the
# others that are not checked wait until their deadline at most.
MAX_CHECKED = 32


class FairSlotQueue(SlotQueue):
    """Queue by rank and class, with the requests in time ordered by customer.

    The customer with the least virtual time is first; its requests are in order of
    arrival. The other classes are ordered by arrival.

    Parameters
    ----------
    shares : FairShares
        Virtual times and backlogs of the customers.
    """

    def __init__(self, shares: FairShares) -> None:
        super().__init__()
        self._shares = shares
        self._by_customer: dict[tuple[int, str], SortedList] = {}
        # The first requests in order, and the iterator over the others, as long as
        # nothing changes.
        self._first: list[Work] = []
        self._others: Iterator[Work] = iter(())
        self._ordered_version = -1
        # By rank, the position of the next customer to check.
        self._next_checked: dict[int, int] = {}
        # The last estimate of what is served before a request, while nothing changes.
        self._estimated = "", -1
        self._estimate = 0, 0.0

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._by_ask)

    def __iter__(self) -> Iterator[Work]:
        """Iterate over the queued requests in order."""
        queued = sorted(priority for priority, n in self._counts.items() if n)
        return itertools.chain.from_iterable(map(self._in_class, queued))

    def __getitem__(self, position: int) -> Work:
        """Return the request at a position of the queue."""
        if self._ordered_version != self._shares.version:
            self._ordered_version = self._shares.version
            self._first, self._others = [], iter(self)
        missing = position + 1 - len(self._first)
        if missing > 0:
            self._first += itertools.islice(self._others, missing)
        return self._first[position]

    def first_of_rank(self, rank: int) -> Work | None:
        """Return the first request of a rank; None if there is none."""
        for queue_class in QueueClass:
            if self._counts.get((rank, queue_class)):
                return next(self._in_class((rank, queue_class)))
        return None

    def tails(self, asking: Work | None = None) -> list[Tail]:
        """Return the ends of the queue at which requests may miss their deadlines.

        These are the classes, and in place of that of requests in time some of its
        customers: those whose turn it is, or the one of a request that has just
        arrived.
        """
        tails: list[Tail] = []
        for rank, queue_class in self.priority_classes():
            if queue_class is not QueueClass.ON_TIME:
                tails.append((rank, queue_class, ""))
            elif asking is None:
                tails += [(rank, queue_class, name) for name in self._turn(rank)]
            elif asking.rank == rank:
                tails.append((rank, queue_class, asking.customer))
        return tails

    def _turn(self, rank: int) -> list[str]:
        """Return the customers of a rank to check now."""
        first = self._next_checked.get(rank, 0)
        entries = list(self._shares.customers(rank, first, MAX_CHECKED))
        is_end = len(entries) < MAX_CHECKED
        self._next_checked[rank] = 0 if is_end else first + MAX_CHECKED
        return [customer for _time, _number, customer in reversed(entries)]

    def last_of_tail(self, tail: Tail) -> Work | None:
        """Return the last request at an end of the queue; None if there is none."""
        rank, queue_class, customer = tail
        if queue_class is not QueueClass.ON_TIME:
            return super().last_of_tail(tail)
        requests = self._by_customer.get((rank, customer))
        return requests[-1][-1] if requests else None

    def position_in_rank(self, ask: str) -> int:
        """Return about how many requests of its rank are before a queued request."""
        rank, own_class = self._by_ask[ask].sort_key[:2]
        before = sum(
            self._counts.get((rank, c), 0) for c in QueueClass if c < own_class
        )
        if own_class is QueueClass.ON_TIME:
            return before + self._ahead_in_class(ask)[0]
        first = self._order.bisect_left((rank, own_class))
        return before + self._order.bisect_left(self._by_ask[ask].sort_key) - first

    def ahead_of(self, ask: str) -> tuple[int, float]:
        """Return the number and estimated seconds of requests before a queued request.

        All other requests of its customer count, since few of them are behind it.
        """
        own_class = self._by_ask[ask].sort_key[:2]
        if own_class[1] is not QueueClass.ON_TIME:
            return super().ahead_of(ask)
        count, seconds = self._ahead_in_class(ask)
        for priority, backlog in self._backlog.items():
            if priority < own_class:
                count += self._counts[priority]
                seconds += backlog
        return count, max(0.0, seconds)

    def _ahead_in_class(self, ask: str) -> tuple[int, float]:
        """Return the number and estimated seconds of requests before one in its class.

        The same request is mostly asked for twice, for its rank and for its class.
        """
        if self._estimated == (ask, self._shares.version):
            return self._estimate
        self._estimated = ask, self._shares.version
        queued = self._by_ask[ask]
        work = queued.sort_key[-1]
        priority = queued.sort_key[:2]
        seconds = self._shares.seconds_ahead(work.rank, work.customer, queued.cost)
        mean = self._backlog[priority] / self._counts[priority]
        self._estimate = (round(seconds / mean) if mean > 0 else 0), seconds
        return self._estimate

    def _in_class(self, priority: tuple[int, QueueClass]) -> Iterator[Work]:
        if priority[1] is QueueClass.ON_TIME:
            return self._by_virtual_time(priority[0])
        first = self._order.bisect_left(priority)
        keys = self._order.islice(first, first + self._counts[priority])
        return (sort_key[-1] for sort_key in keys)

    def _by_virtual_time(self, rank: int) -> Iterator[Work]:
        """Yield the requests in time of a rank in the order of their customers.

        A customer's next request comes at the virtual time that it will have after the
        grants of those before. Only as many customers are examined as are needed.
        """
        customers = self._shares.customers(rank)
        following = next(customers, None)
        heap: list[tuple[float, int, str, int]] = []
        while heap or following:
            if following and (not heap or following < heap[0][:3]):
                heapq.heappush(heap, (*following, 0))
                following = next(customers, None)
                continue
            time, number, customer, index = heapq.heappop(heap)
            requests = self._by_customer[rank, customer]
            work = requests[index][-1]
            yield work
            if index + 1 < len(requests):
                time += self._by_ask[work.ask].cost / self._shares.weight(customer)
                heapq.heappush(heap, (time, number, customer, index + 1))

    def _insert(self, queued: QueuedRequest) -> None:
        rank, queue_class, *_, work = queued.sort_key
        if queue_class is not QueueClass.ON_TIME:
            super()._insert(queued)
            self._ordered_version = -1
            return
        requests = self._by_customer.setdefault((rank, work.customer), SortedList())
        requests.add(queued.sort_key)
        self._shares.add(rank, work.customer, queued.cost)

    def _take_out(self, queued: QueuedRequest) -> None:
        rank, queue_class, *_, work = queued.sort_key
        if queue_class is not QueueClass.ON_TIME:
            super()._take_out(queued)
            self._ordered_version = -1
            return
        requests = self._by_customer[rank, work.customer]
        requests.remove(queued.sort_key)
        if not requests:
            del self._by_customer[rank, work.customer]
        self._shares.remove(rank, work.customer, queued.cost)
