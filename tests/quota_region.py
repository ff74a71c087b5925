"""A simulated region of quota limiters, without a network."""

import asyncio
import itertools
import random
from dataclasses import dataclass, field

from result import Err, Ok

from hibiscusstep import clock, codec
from hibiscusstep.errors import PlatformUnavailable
from hibiscusstep.forwarding.bounds import Bounds
from hibiscusstep.forwarding.model import CustomerRule, Quota
from hibiscusstep.forwarding.quota import CustomersChanged, QuotaLimiter
from hibiscusstep.forwarding.saved_usage import SavedUsageWorker
from hibiscusstep.mailbox import Tick
from hibiscusstep.membership.mesh import ViewChanged
from hibiscusstep.membership.view import Member, View
from hibiscusstep.peer import Received
from hibiscusstep.store import UsageStore

STEP_S = 0.02
TICK_S = 0.2
# Network delay between two instances.
DELAY_S = 0.02
# Mean tokens per request.
REQUEST_TOKENS = 3000
# Seconds from the start of an instance until it and the others are connected.
CONNECT_S = 0.3
# Seconds for which requests wait at an instance that does not know earlier usage yet.
MAX_WAIT_S = 1.0
# Seconds after its start for which an instance uses the number of listed instances.
USE_LIST_S = 3.0
# Seconds of silence after which an instance is unreachable for the others, and from the
# end of its pause until they see it again.
SUSPECT_S, RETURN_S = 1.0, 0.1


class _FakeLinks:
    def __init__(self):
        self.sent = []

    def tell(self, send):
        self.sent.append(send)


class FakeDocumentStore(UsageStore):
    """A store that counts its calls and fails while `unavailable` is set."""

    def __init__(self):
        self.document = None
        self.writes = self.reads = 0
        self.unavailable = False

    async def write(self, document):
        self.writes += 1
        if self.unavailable:
            return Err(PlatformUnavailable("away", step="write", peer="store"))
        self.document = document
        return Ok(None)

    async def read(self):
        self.reads += 1
        if self.unavailable:
            return Err(PlatformUnavailable("away", step="read", peer="store"))
        return Ok(self.document)


@dataclass
class Instance:
    incarnation: str
    limiter: QuotaLimiter
    links: _FakeLinks
    worker: SavedUsageWorker
    started: float
    next_tick: float
    last_view_values: tuple = ()
    seen: frozenset = field(default_factory=frozenset)
    unreachable: set = field(default_factory=set)
    # Tokens of the requests that wait at it.
    waiting: list = field(default_factory=list)
    paused_at: float | None = None
    resumed_at: float = 0.0


@dataclass(order=True)
class _InFlight:
    due: float
    serial: int
    sender: int
    to: int
    message: object = field(compare=False)


class QuotaRegion:
    """Simulated instances that serve one customer and exchange its token usage.

    Parameters
    ----------
    count : int
        Number of instances.
    rate : float
        Quota of the customer in tokens per second; its burst is as many tokens.
    seed : int
        Seed of the requests.
    has_store : bool
        Whether there is a store for the usage.
    """

    WINDOW_S = 8.0

    def __init__(self, count, monkeypatch, rate=60_000.0, seed=1, has_store=False):
        self.now = 1000.0
        monkeypatch.setattr(asyncio.get_running_loop(), "time", lambda: self.now)
        monkeypatch.setattr(clock, "elapsed", lambda: self.now)
        self.bounds = Bounds(
            quota_window=self.WINDOW_S, quota_overage=0.1, quota_slack=140_000.0
        )
        self.rule = CustomerRule("c", frozenset(), None, Quota(rate, rate, 10))
        self.store = FakeDocumentStore() if has_store else None
        self.history = []
        self.refused = 0
        self.asked = 0
        self.instances = {}
        # Instances that are partitioned from the others.
        self.isolated = set()
        self.count = count
        self._random = random.Random(seed)
        self._serial = itertools.count()
        self._in_flight = []
        for number in range(count):
            self.start(number)

    @property
    def limit(self):
        """Maximum tokens allowed in any window."""
        quota, bounds = self.rule.quota, self.bounds
        whole = quota.rate * bounds.quota_window + quota.burst
        return whole * (1 + bounds.quota_overage) + bounds.quota_slack

    @property
    def max_used(self):
        """Maximum tokens used in any window."""
        return max((self.used_since(at) for at, _ in self.history), default=0)

    def used_since(self, start):
        """Tokens used in the window that begins at `start`."""
        return sum(t for at, t in self.history if start <= at < start + self.WINDOW_S)

    def start(self, number):
        links = _FakeLinks()
        results = []
        worker = SavedUsageWorker(self.store, self.WINDOW_S, results.append)
        worker.calls, worker.results = [], results
        worker.tell = worker.calls.append
        incarnation = f"inc{number}.{next(self._serial)}"
        limiter = QuotaLimiter(
            incarnation,
            f"a{number}",
            links,
            self.bounds,
            worker if self.store else None,
        )
        first_tick = self.now + self._random.random() * TICK_S
        self.instances[number] = Instance(
            incarnation, limiter, links, worker, self.now, first_tick
        )

    def kill(self, *numbers):
        for number in numbers or list(self.instances):
            del self.instances[number]

    def pause(self, number):
        """Stop an instance; its callers and its peers' messages wait in its sockets."""
        self.instances[number].paused_at = self.now

    def resume(self, number):
        """Let a paused instance go on, which discards the messages that waited."""
        instance = self.instances[number]
        instance.paused_at, instance.resumed_at = None, self.now
        instance.next_tick = self.now
        self._in_flight = [p for p in self._in_flight if p.to != number]

    def _is_silent(self, instance):
        """Whether the others take it for unreachable."""
        if instance.paused_at is not None:
            return self.now - instance.paused_at > SUSPECT_S
        return self.now - instance.resumed_at < RETURN_S

    async def play(self, seconds, demand=0.0):
        """Advance the time; the customer requests `demand` times its rate."""
        for _ in range(round(seconds / STEP_S)):
            await self._update_views()
            self._request(demand)
            await self._tick()
            await self._deliver()
            self.now += STEP_S

    def _is_paused(self, number):
        instance = self.instances.get(number)
        return instance is not None and instance.paused_at is not None

    async def _update_views(self):
        """Send each instance its view; a new instance sees only itself."""
        connected = {n for n, i in self.instances.items() if self._is_connected(i)}
        silent = {n for n, i in self.instances.items() if self._is_silent(i)}
        for number, instance in self.instances.items():
            if instance.paused_at is not None or number in silent:
                continue
            reachable = {n for n in connected - silent if self._same_side(n, number)}
            seen = frozenset(reachable | {number} if number in connected else {number})
            lost = {
                n
                for n in instance.seen - seen
                if not self._same_side(n, number) or n in silent
            }
            instance.unreachable = (instance.unreachable | lost) - seen
            instance.seen = seen
            view_values = seen, len(instance.unreachable), self._listed(instance)
            if view_values == instance.last_view_values:
                continue
            instance.last_view_values = view_values
            view = self.view(number, *view_values)
            await instance.limiter.handle(ViewChanged(view))
            await instance.limiter.handle(CustomersChanged((self.rule,)))

    def view(self, number, seen, unreachable, listed):
        """Return the membership view of an instance."""
        members = {f"i{n}": self.member(n) for n in seen}
        return View(members, unreachable, listed_count_at_startup=listed)

    def member(self, number, relay=True):
        incarnation = self.instances[number].incarnation
        address = f"a{number}"
        return Member(
            f"i{number}", incarnation, "z", "d", address, "o", 1, True, False, relay
        )

    def _same_side(self, one, other):
        return (one in self.isolated) == (other in self.isolated)

    def _listed(self, instance):
        """Return the number of listed instances; 0 except soon after a start.

        Instances that start together do not know each other at once.
        """
        return self.count if self.now - instance.started < USE_LIST_S else 0

    def _is_connected(self, instance):
        return self.now - instance.started >= CONNECT_S or instance.started == 1000.0

    def _request(self, demand):
        expected = demand * self.rule.quota.rate * STEP_S / REQUEST_TOKENS
        count = int(expected) + (self._random.random() < expected % 1)
        open_to_callers = [
            i
            for i in self.instances.values()
            if i.paused_at is not None or i.resumed_at or self._accepts(i)
        ]
        for _ in range(count if open_to_callers else 0):
            tokens = 60 + int(self._random.expovariate(1 / (REQUEST_TOKENS - 60)))
            self._random.choice(open_to_callers).waiting.append(tokens)
        for instance in self.instances.values():
            if instance.paused_at is None and self._accepts(instance):
                self._serve_waiting(instance)

    def _serve_waiting(self, instance):
        for tokens in instance.waiting:
            self.asked += tokens
            if reservation := instance.limiter.reserve(self.rule, tokens):
                reservation.commit()
                self.history.append((self.now, tokens))
            else:
                self.refused += tokens
        instance.waiting.clear()

    def _accepts(self, instance):
        """Return whether requests no longer wait for the earlier usage."""
        since = max(instance.started, instance.resumed_at)
        return instance.limiter.history_known or self.now - since > MAX_WAIT_S

    async def _tick(self):
        for instance in list(self.instances.values()):
            if instance.paused_at is not None:
                continue
            if self.now >= instance.next_tick:
                instance.next_tick += TICK_S
                await instance.limiter.handle(Tick())
                await instance.worker.handle(Tick())
            await self._run_store_calls(instance)

    async def _run_store_calls(self, instance):
        """Run the store calls of an instance and deliver the results."""
        worker = instance.worker
        while worker.calls:
            await worker.handle(worker.calls.pop(0))
        while worker.results:
            await instance.limiter.handle(worker.results.pop(0))

    async def _deliver(self):
        for number, instance in self.instances.items():
            for send in instance.links.sent:
                due, to = self.now + DELAY_S, int(send.address[1:])
                serial = next(self._serial)
                self._in_flight.append(_InFlight(due, serial, number, to, send.message))
            instance.links.sent.clear()
        due = [
            packet
            for packet in self._in_flight
            if packet.due <= self.now and not self._is_paused(packet.to)
        ]
        arrived = sorted(due)
        self._in_flight = [packet for packet in self._in_flight if packet not in due]
        for packet in arrived:
            if packet.to in self.instances and self._same_side(
                packet.sender, packet.to
            ):
                sent = packet.message
                message = codec.decode(type(sent), codec.encode(sent))
                received = Received(f"a{packet.sender}", message)
                await self.instances[packet.to].limiter.handle(received)


class RelayedQuotaRegion(QuotaRegion):
    """A region whose first two instances are relays."""

    RELAYS = 2

    def view(self, number, seen, unreachable, listed):
        """Return the view; followers prefer their own relay if they see it."""
        relays = [n for n in seen if n < self.RELAYS]
        members = {f"i{n}": self.member(n, n in relays) for n in {*relays, number}}
        others = len(seen) - len(members)
        if number >= self.RELAYS:
            parent = f"a{self._parent(number, relays)}" if relays else ""
            return View(
                members,
                unreachable,
                parent=parent,
                other_instances=others,
                listed_count_at_startup=listed,
            )
        followers = {
            f"i{n}": self.member(n, relay=False)
            for n in seen
            if n >= self.RELAYS and self._parent(n, relays) == number
        }
        others -= len(followers)
        return View(
            members,
            unreachable,
            followers,
            other_instances=others,
            listed_count_at_startup=listed,
        )

    def _parent(self, number, relays):
        own = number % self.RELAYS
        return own if own in relays else relays[0]
