"""hibiscusstep.routing.queue: the requests of one tier that wait, in fair order."""

import heapq
import itertools
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from hibiscusstep.routing.messages import Work

__all__ = ["TierQueue", "Waiting"]

LONG_CHOICES = 8
CUSTOMER_CHOICES = 3
PLAIN_CHOICES = 8


@dataclass(slots=True, eq=False)
class Waiting:
    """A waiting request.

    Parameters
    ----------
    work : Work
        The request.
    cost : float
        Expected seconds of a target that it takes.
    latest_start : float
        When it must be granted to meet its deadline, dispatcher's clock.
    long : bool
        Whether it queues with the long ones.
    gone : bool
        Whether it has left the queue.
    """

    work: Work
    cost: float
    latest_start: float
    long: bool
    gone: bool = False


@dataclass(slots=True)
class _CustomerQueue:
    """Short and long requests of one customer, each cheapest first."""

    heaps: tuple[list, list] = field(default_factory=lambda: ([], []))
    backlog: float = 0.0
    count: int = 0

    def head(self, long: bool) -> Waiting | None:
        heap = self.heaps[long]
        while heap and heap[0][-1].gone:
            heapq.heappop(heap)
        return heap[0][-1] if heap else None


class TierQueue:
    """Waiting requests of a tier.

    Fair order (`fair`): customers take turns by what they were served, divided by
    their weight; within a customer the cheapest goes first, aged by its wait. A
    request whose latest start is near goes before all others. Plain order
    otherwise: first come, first served.

    Parameters
    ----------
    fair : bool
        Which order.
    urgent_s : float
        Seconds before the latest start from which a request is urgent.
    """

    def __init__(self, fair: bool, urgent_s: float = 0.3) -> None:
        self._fair = fair
        self._urgent_s = urgent_s
        self._by_ask: dict[str, Waiting] = {}
        self._customers: dict[str, _CustomerQueue] = defaultdict(_CustomerQueue)
        self._served: dict[str, float] = defaultdict(float)
        self._virtual = 0.0
        self._due: list = []
        self._ticket = itertools.count()

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._by_ask)

    def __iter__(self) -> Iterator[Waiting]:
        """Iterate over those that wait, in order of arrival."""
        return iter(list(self._by_ask.values()))

    def waiting_of(self, customer: str) -> int:
        """Return how many of a customer's requests wait."""
        return self._customers[customer].count if customer in self._customers else 0

    def add(self, item: Waiting) -> None:
        """Take a request."""
        ticket = next(self._ticket)
        work = item.work
        self._by_ask[work.ask] = item
        customer = self._customers[work.customer]
        if not customer.count:
            returned = max(self._served[work.customer], self._virtual)
            self._served[work.customer] = returned
        aged_cost = work.received + item.cost if self._fair else 0.0
        heapq.heappush(customer.heaps[item.long], (aged_cost, ticket, item))
        heapq.heappush(self._due, (item.latest_start, ticket, item))
        customer.backlog += item.cost
        customer.count += 1

    def remove(self, ask: str) -> Waiting | None:
        """Take a request out, whatever its position."""
        item = self._by_ask.pop(ask, None)
        if item is None:
            return None
        item.gone = True
        customer = self._customers[item.work.customer]
        customer.backlog -= item.cost
        customer.count -= 1
        if not customer.count:
            del self._customers[item.work.customer]
        return item

    def charge(self, item: Waiting, weight: float) -> None:
        """Count a granted request against its customer's share."""
        name = item.work.customer
        self._virtual = max(self._virtual, self._served[name])
        self._served[name] += item.cost / weight

    def candidates(
        self, now: float, may_run: Callable[[str], bool] = lambda _customer: True
    ) -> list[Waiting]:
        """Return requests to try in this order, a few of each class.

        Parameters
        ----------
        now : float
            Seconds on the dispatcher's clock.
        may_run : callable of str
            Whether a customer may have one more running.
        """
        if not self._by_ask:
            return []
        if not self._fair:
            return list(itertools.islice(self._by_ask.values(), PLAIN_CHOICES))
        open_to = {n: c for n, c in self._customers.items() if may_run(n)}
        heads = [*self._short_heads(open_to), *self._long_heads(open_to)]
        urgent = self._next_due()
        near = urgent.latest_start - now < self._urgent_s
        if near and not urgent.long and urgent.work.customer in open_to:
            heads.insert(0, urgent)
        heads.sort(key=lambda item: self._turn(item, item is urgent and near))
        if near and urgent.long:
            heads.append(urgent)
        return list(dict.fromkeys(heads))

    def _turn(self, item: Waiting, urgent: bool) -> float:
        """Return the sort key; urgency puts a request first within its share only."""
        return self._served[item.work.customer] + (0.0 if urgent else item.cost)

    def overdue(self, now: float) -> Iterator[Waiting]:
        """Yield the requests whose latest start is past, the most overdue first."""
        while (item := self._next_due()) and item.latest_start <= now:
            yield item
            if not item.gone:
                return

    def due_before(self, moment: float) -> list[Waiting]:
        """Return the requests whose latest start lies before `moment`."""
        return [item for item in self._by_ask.values() if item.latest_start < moment]

    def next_due(self) -> float:
        """Return the earliest latest start, infinity if nothing waits."""
        item = self._next_due()
        return item.latest_start if item else float("inf")

    def work_ahead(self, item: Waiting, weights: dict[str, float]) -> float:
        """Return the expected target seconds served before a new request ends its wait.

        Each other customer gets its share, at most what it has waiting.
        """
        name = item.work.customer
        if not self._fair:
            return sum(customer.backlog for customer in self._customers.values())
        own = item.cost
        if name in self._customers:
            own += self._customers[name].backlog
        share = own / weights.get(name, 1.0)
        others = sum(
            min(customer.backlog, share * weights.get(other, 1.0))
            for other, customer in self._customers.items()
            if other != name
        )
        return own - item.cost + others

    def backlog(self) -> float:
        """Return the expected target seconds of all that wait."""
        return sum(customer.backlog for customer in self._customers.values())

    def _next_due(self) -> Waiting | None:
        while self._due and self._due[0][-1].gone:
            heapq.heappop(self._due)
        return self._due[0][-1] if self._due else None

    def _short_heads(self, customers: dict) -> list[Waiting]:
        """Return the next short requests, of as many customers."""
        heads = (customer.head(False) for customer in customers.values())
        found = (head for head in heads if head)
        return heapq.nsmallest(CUSTOMER_CHOICES, found, key=self._key)

    def _long_heads(self, customers: dict) -> list[Waiting]:
        """Return the next long requests of some customers, several of each."""
        heads = (customer.head(True) for customer in customers.values())
        found = (head for head in heads if head)
        firsts = heapq.nsmallest(CUSTOMER_CHOICES, found, key=self._key)
        heaps = (customers[first.work.customer].heaps[True] for first in firsts)
        return [
            entry[-1]
            for heap in heaps
            for entry in heap[:LONG_CHOICES]
            if not entry[-1].gone
        ]

    def _key(self, item: Waiting) -> float:
        return self._served[item.work.customer] + item.cost
