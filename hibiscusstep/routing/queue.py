"""hibiscusstep.routing.queue: the fair queue of one tier."""

import heapq
import itertools
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from hibiscusstep.routing.messages import Work

__all__ = ["QueuedRequest", "TierQueue"]

# Maximum numbers of candidates that are tried at a time: long requests of a customer;
# customers, for short and again for long requests; requests in first-come order.
MAX_LONG_PER_CUSTOMER = 8
MAX_CUSTOMERS = 3
MAX_FIRST_COME = 8


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A waiting request.

    Parameters
    ----------
    work : Work
        The request.
    cost : float
        Expected seconds of service on a target.
    latest_start : float
        Latest time of a grant that meets its deadline, on the dispatcher's clock.
    is_long : bool
        Whether it counts as long; long requests queue separately.
    removed : bool
        Whether it has left the queue.
    """

    work: Work
    cost: float
    latest_start: float
    is_long: bool
    removed: bool = False


@dataclass(slots=True)
class _CustomerQueue:
    """Heaps of the short and the long requests of one customer, cheapest first."""

    heaps: tuple[list, list] = field(default_factory=lambda: ([], []))
    backlog: float = 0.0
    count: int = 0

    def head(self, long: bool) -> QueuedRequest | None:
        heap = self.heaps[long]
        while heap and heap[0][-1].removed:
            heapq.heappop(heap)
        return heap[0][-1] if heap else None


class TierQueue:
    """The waiting requests of a tier.

    With `fair` the queue is weighted fair: the customer with the least service divided
    by its weight goes first; within a customer the cheapest request goes first, with
    ageing by its wait. A request whose latest start is near goes before all others of
    its customer. Without `fair` the order is first come, first served.

    Parameters
    ----------
    fair : bool
        Whether customers share fairly.
    urgent_s : float
        Seconds before the latest start from which a request is urgent.
    """

    def __init__(self, fair: bool, urgent_s: float = 0.3) -> None:
        self._fair = fair
        self._urgent_s = urgent_s
        self._by_ask: dict[str, QueuedRequest] = {}
        self._customers: dict[str, _CustomerQueue] = defaultdict(_CustomerQueue)
        self._served: dict[str, float] = defaultdict(float)
        self._virtual_time = 0.0
        self._by_latest_start: list = []
        self._arrival_numbers = itertools.count()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._by_ask)

    def __iter__(self) -> Iterator[QueuedRequest]:
        """Iterate over the waiting requests in order of arrival."""
        return iter(list(self._by_ask.values()))

    def waiting_count(self, customer: str) -> int:
        """Return the number of waiting requests of a customer."""
        return self._customers[customer].count if customer in self._customers else 0

    def add(self, queued: QueuedRequest) -> None:
        """Add a request."""
        arrival_number = next(self._arrival_numbers)
        work = queued.work
        self._by_ask[work.ask] = queued
        customer = self._customers[work.customer]
        if not customer.count:
            served_on_return = max(self._served[work.customer], self._virtual_time)
            self._served[work.customer] = served_on_return
        aged_cost = work.received_at + queued.cost if self._fair else 0.0
        heapq.heappush(
            customer.heaps[queued.is_long], (aged_cost, arrival_number, queued)
        )
        heapq.heappush(
            self._by_latest_start, (queued.latest_start, arrival_number, queued)
        )
        customer.backlog += queued.cost
        customer.count += 1

    def remove(self, ask: str) -> QueuedRequest | None:
        """Remove a request from any position; return None if it is not queued."""
        queued = self._by_ask.pop(ask, None)
        if queued is None:
            return None
        queued.removed = True
        customer = self._customers[queued.work.customer]
        customer.backlog -= queued.cost
        customer.count -= 1
        if not customer.count:
            del self._customers[queued.work.customer]
        return queued

    def charge(self, queued: QueuedRequest, weight: float) -> None:
        """Charge the cost of a granted request to its customer."""
        name = queued.work.customer
        self._virtual_time = max(self._virtual_time, self._served[name])
        self._served[name] += queued.cost / weight

    def candidates(
        self, now: float, may_run: Callable[[str], bool] = lambda _customer: True
    ) -> list[QueuedRequest]:
        """Return the requests to try next, in order: a few of each class.

        Parameters
        ----------
        now : float
            Seconds on the dispatcher's clock.
        may_run : callable of str
            Whether a customer may run one more request.
        """
        if not self._by_ask:
            return []
        if not self._fair:
            return list(itertools.islice(self._by_ask.values(), MAX_FIRST_COME))
        eligible = {n: c for n, c in self._customers.items() if may_run(n)}
        heads = [*self._short_heads(eligible), *self._long_heads(eligible)]
        urgent = self._earliest_due()
        is_urgent = urgent.latest_start - now < self._urgent_s
        if is_urgent and not urgent.is_long and urgent.work.customer in eligible:
            heads.insert(0, urgent)
        heads.sort(
            key=lambda queued: self._sort_key(queued, queued is urgent and is_urgent)
        )
        if is_urgent and urgent.is_long:
            heads.append(urgent)
        return list(dict.fromkeys(heads))

    def _sort_key(self, queued: QueuedRequest, urgent: bool) -> float:
        """Return the sort key; urgency changes the order within a customer only."""
        return self._served[queued.work.customer] + (0.0 if urgent else queued.cost)

    def overdue(self, now: float) -> Iterator[QueuedRequest]:
        """Yield the requests whose latest start is past, the most overdue first.

        Iteration ends if the caller does not remove the yielded request.
        """
        while (queued := self._earliest_due()) and queued.latest_start <= now:
            yield queued
            if not queued.removed:
                return

    def due_before(self, moment: float) -> list[QueuedRequest]:
        """Return the requests whose latest start is before `moment`."""
        return [
            queued for queued in self._by_ask.values() if queued.latest_start < moment
        ]

    def next_latest_start(self) -> float:
        """Return the first `latest_start` of the requests; infinity if none waits."""
        queued = self._earliest_due()
        return queued.latest_start if queued else float("inf")

    def work_ahead(self, queued: QueuedRequest, weights: dict[str, float]) -> float:
        """Return the expected seconds of service ahead of a new request.

        Each other customer gets its fair share, but no more than its backlog.
        """
        name = queued.work.customer
        if not self._fair:
            return sum(customer.backlog for customer in self._customers.values())
        own_work = queued.cost
        if name in self._customers:
            own_work += self._customers[name].backlog
        own_rounds = own_work / weights.get(name, 1.0)
        others = sum(
            min(customer.backlog, own_rounds * weights.get(other, 1.0))
            for other, customer in self._customers.items()
            if other != name
        )
        return own_work - queued.cost + others

    def backlog(self) -> float:
        """Return the expected seconds of service of all waiting requests."""
        return sum(customer.backlog for customer in self._customers.values())

    def _earliest_due(self) -> QueuedRequest | None:
        while self._by_latest_start and self._by_latest_start[0][-1].removed:
            heapq.heappop(self._by_latest_start)
        return self._by_latest_start[0][-1] if self._by_latest_start else None

    def _short_heads(self, customers: dict) -> list[QueuedRequest]:
        """Return the next short requests, one per customer."""
        heads = (customer.head(False) for customer in customers.values())
        nonempty = (head for head in heads if head)
        return heapq.nsmallest(MAX_CUSTOMERS, nonempty, key=self._head_key)

    def _long_heads(self, customers: dict) -> list[QueuedRequest]:
        """Return the next long requests, several per customer."""
        heads = (customer.head(True) for customer in customers.values())
        nonempty = (head for head in heads if head)
        firsts = heapq.nsmallest(MAX_CUSTOMERS, nonempty, key=self._head_key)
        heaps = (customers[first.work.customer].heaps[True] for first in firsts)
        return [
            entry[-1]
            for heap in heaps
            for entry in heap[:MAX_LONG_PER_CUSTOMER]
            if not entry[-1].removed
        ]

    def _head_key(self, queued: QueuedRequest) -> float:
        return self._served[queued.work.customer] + queued.cost
