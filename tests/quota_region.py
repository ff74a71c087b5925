"""A region of quota keepers without network, on a clock of the test's own."""

import asyncio
import itertools
import random
from dataclasses import dataclass, field

from result import Err, Ok

from hibiscusstep import codec
from hibiscusstep.errors import PlatformUnavailable
from hibiscusstep.forwarding.bounds import Bounds
from hibiscusstep.forwarding.kept_use import KeptUseWorker
from hibiscusstep.forwarding.model import CustomerRule, Quota
from hibiscusstep.forwarding.quota import CustomersChanged, QuotaKeeper
from hibiscusstep.mailbox import Tick
from hibiscusstep.membership.mesh import ViewChanged
from hibiscusstep.membership.view import Member, View
from hibiscusstep.peer import Received
from hibiscusstep.store import UsageStore

STEP_S = 0.02
TICK_S = 0.2
# From one instance to another.
DELAY_S = 0.02
# Tokens of a request in the mean.
REQUEST_TOKENS = 3000
# Seconds from the start of an instance until it and the others know each other.
MEET_S = 0.3
# Seconds for which requests wait at an instance that is not informed yet.
PATIENCE_S = 1.0
# Seconds for which an instance counts the others by the list.
NEW_S = 3.0


class _Links:
    def __init__(self):
        self.sent = []

    def tell(self, send):
        self.sent.append(send)


class Store(UsageStore):
    """Counts its calls; answers at once unless it is away."""

    def __init__(self):
        self.document = None
        self.writes = self.reads = 0
        self.away = False

    async def write(self, document):
        self.writes += 1
        if self.away:
            return Err(PlatformUnavailable("away", step="write", peer="store"))
        self.document = document
        return Ok(None)

    async def read(self):
        self.reads += 1
        if self.away:
            return Err(PlatformUnavailable("away", step="read", peer="store"))
        return Ok(self.document)


@dataclass
class Instance:
    incarnation: str
    keeper: QuotaKeeper
    links: _Links
    worker: KeptUseWorker
    started: float
    next_tick: float
    told: tuple = ()
    seen: frozenset = field(default_factory=frozenset)
    silent: set = field(default_factory=set)


@dataclass(order=True)
class _OnItsWay:
    due: float
    serial: int
    sender: int
    to: int
    message: object = field(compare=False)


class QuotaRegion:
    """Instances that admit one customer's requests, and hear each other.

    Parameters
    ----------
    count : int
        Instances.
    rate : float
        Tokens a second that the customer may use; the same once more as a burst.
    seed : int
        Of the requests.
    kept : bool
        Whether a store keeps what was used.
    """

    WINDOW_S = 8.0

    def __init__(self, count, monkeypatch, rate=60_000.0, seed=1, kept=False):
        self.now = 1000.0
        monkeypatch.setattr(asyncio.get_running_loop(), "time", lambda: self.now)
        self.bounds = Bounds(
            quota_window=self.WINDOW_S, quota_overage=0.1, quota_slack=140_000.0
        )
        self.rule = CustomerRule("c", frozenset(), None, Quota(rate, rate, 10))
        self.store = Store() if kept else None
        self.history = []
        self.refused = 0
        self.asked = 0
        self.instances = {}
        # Instances that neither hear the others nor are heard by them.
        self.cut = set()
        self.count = count
        self._random = random.Random(seed)
        self._serial = itertools.count()
        self._way = []
        for number in range(count):
            self.start(number)

    @property
    def most(self):
        """Tokens that may be used in any window."""
        quota, bounds = self.rule.quota, self.bounds
        whole = quota.rate * bounds.quota_window + quota.burst
        return whole * (1 + bounds.quota_overage) + bounds.quota_slack

    @property
    def heaviest(self):
        """The most tokens used in any window."""
        return max((self.used_since(at) for at, _ in self.history), default=0)

    def used_since(self, start):
        """Tokens used in the window that begins at a moment."""
        return sum(t for at, t in self.history if start <= at < start + self.WINDOW_S)

    def start(self, number):
        links = _Links()
        found = []
        worker = KeptUseWorker(self.store, self.WINDOW_S, found.append)
        worker.told, worker.found = [], found
        worker.tell = worker.told.append
        incarnation = f"inc{number}.{next(self._serial)}"
        keeper = QuotaKeeper(
            incarnation,
            f"a{number}",
            links,
            self.bounds,
            worker if self.store else None,
        )
        first_tick = self.now + self._random.random() * TICK_S
        self.instances[number] = Instance(
            incarnation, keeper, links, worker, self.now, first_tick
        )

    def kill(self, *numbers):
        for number in numbers or list(self.instances):
            del self.instances[number]

    async def play(self, seconds, demand=0.0):
        """Let time pass; the customer asks for `demand` times its rate."""
        for _ in range(round(seconds / STEP_S)):
            await self._meet()
            self._request(demand)
            await self._tick()
            await self._deliver()
            self.now += STEP_S

    async def _meet(self):
        """Tell each instance who lives; one that has just started knows nobody."""
        met = {n for n, i in self.instances.items() if self._has_met(i)}
        for number, instance in self.instances.items():
            hears = {n for n in met if self._same_side(n, number)}
            seen = frozenset(hears | {number} if number in met else {number})
            lost = {n for n in instance.seen - seen if not self._same_side(n, number)}
            instance.silent = (instance.silent | lost) - seen
            instance.seen = seen
            told = seen, len(instance.silent), self._listed(instance)
            if told == instance.told:
                continue
            instance.told = told
            view = self.view(number, *told)
            await instance.keeper.handle(ViewChanged(view))
            await instance.keeper.handle(CustomersChanged((self.rule,)))

    def view(self, number, seen, silent, listed):
        """Return the view of an instance that sees others."""
        members = {f"i{n}": self.member(n) for n in seen}
        return View(members, silent, listed_at_startup=listed)

    def member(self, number, relay=True):
        incarnation = self.instances[number].incarnation
        address = f"a{number}"
        return Member(
            f"i{number}", incarnation, "z", "d", address, "o", 1, True, False, relay
        )

    def _same_side(self, one, other):
        return (one in self.cut) == (other in self.cut)

    def _listed(self, instance):
        """Instances that start together do not find each other on the list at once."""
        return self.count if self.now - instance.started < NEW_S else 0

    def _has_met(self, instance):
        return self.now - instance.started >= MEET_S or instance.started == 1000.0

    def _request(self, demand):
        expected = demand * self.rule.quota.rate * STEP_S / REQUEST_TOKENS
        count = int(expected) + (self._random.random() < expected % 1)
        takers = [i.keeper for i in self.instances.values() if self._takes(i)]
        for _ in range(count if takers else 0):
            tokens = 60 + int(self._random.expovariate(1 / (REQUEST_TOKENS - 60)))
            keeper = self._random.choice(takers)
            self.asked += tokens
            if ticket := keeper.admit(self.rule, tokens):
                ticket.use()
                self.history.append((self.now, tokens))
            else:
                self.refused += tokens

    def _takes(self, instance):
        """One that has just started lets requests wait until it is informed."""
        return instance.keeper.informed or self.now - instance.started > PATIENCE_S

    async def _tick(self):
        for instance in list(self.instances.values()):
            if self.now >= instance.next_tick:
                instance.next_tick += TICK_S
                await instance.keeper.handle(Tick())
                await instance.worker.handle(Tick())
            await self._store_of(instance)

    async def _store_of(self, instance):
        """Let the store take what an instance writes, and answer what it reads."""
        worker = instance.worker
        while worker.told:
            await worker.handle(worker.told.pop(0))
        while worker.found:
            await instance.keeper.handle(worker.found.pop(0))

    async def _deliver(self):
        for number, instance in self.instances.items():
            for send in instance.links.sent:
                due, to = self.now + DELAY_S, int(send.address[1:])
                serial = next(self._serial)
                self._way.append(_OnItsWay(due, serial, number, to, send.message))
            instance.links.sent.clear()
        arrived = sorted(way for way in self._way if way.due <= self.now)
        self._way = [way for way in self._way if way.due > self.now]
        for way in arrived:
            if way.to in self.instances and self._same_side(way.sender, way.to):
                sent = way.message
                message = codec.decode(type(sent), codec.encode(sent))
                received = Received(f"a{way.sender}", message)
                await self.instances[way.to].keeper.handle(received)


class RelayedQuotaRegion(QuotaRegion):
    """One in which the first two instances relay between all others."""

    RELAYS = 2

    def view(self, number, seen, silent, listed):
        """Each other instance follows a relay that it sees, its own one first."""
        relays = [n for n in seen if n < self.RELAYS]
        members = {f"i{n}": self.member(n, n in relays) for n in {*relays, number}}
        others = len(seen) - len(members)
        if number >= self.RELAYS:
            parent = f"a{self._parent(number, relays)}" if relays else ""
            return View(
                members,
                silent,
                parent=parent,
                other_instances=others,
                listed_at_startup=listed,
            )
        followers = {
            f"i{n}": self.member(n, relay=False)
            for n in seen
            if n >= self.RELAYS and self._parent(n, relays) == number
        }
        others -= len(followers)
        return View(
            members, silent, followers, other_instances=others, listed_at_startup=listed
        )

    def _parent(self, number, relays):
        own = number % self.RELAYS
        return own if own in relays else relays[0]
