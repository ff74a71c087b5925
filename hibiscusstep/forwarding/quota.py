"""hibiscusstep.forwarding.quota: customers' tokens over a sliding window, all instances."""

import asyncio
from collections import defaultdict, deque
from dataclasses import dataclass, field

from hibiscusstep.forwarding.bounds import Bounds
from hibiscusstep.forwarding.model import CustomerRule
from hibiscusstep.mailbox import Tick, Worker
from hibiscusstep.membership.view import View
from hibiscusstep.membership.worker import ViewChanged
from hibiscusstep.peer import Received, Usage
from hibiscusstep.peerlink import Send

__all__ = ["QuotaKeeper", "Window"]

# Instances tell each other what they let through this often; what happens in between
# is bounded by the overage that a quota allows.
TELL_INTERVAL_S = 0.2
# Share of the allowed overage that is used; the rest is for what is not yet heard.
OVERAGE_USED = 0.3
# Time in which an instance that starts takes others for still running.
RESTART_S = 1.0


class Window:
    """A sum over the last seconds.

    Parameters
    ----------
    span : float
        Seconds.
    """

    def __init__(self, span: float) -> None:
        self._span = span
        self._parts: deque[tuple[float, float]] = deque()
        self._sum = 0.0

    def add(self, amount: float, now: float) -> None:
        """Count an amount at this moment."""
        self._parts.append((now, amount))
        self._sum += amount

    def total(self, now: float) -> float:
        """Return the sum."""
        while self._parts and self._parts[0][0] <= now - self._span:
            self._sum -= self._parts.popleft()[1]
        return self._sum


@dataclass(slots=True)
class _Peer:
    """What another instance has told: totals since its start, by customer."""

    age: float
    at: float
    totals: dict[str, int] = field(default_factory=dict)


class QuotaKeeper(Worker):
    """Counts what all instances let through; admits what stays within the quota.

    Each instance tells all others its totals a few times a second. Instances out of
    reach are taken to use their even share, so that the parts of a cut stay within
    the quota together.

    Parameters
    ----------
    incarnation, address : str
        Own incarnation and peer address.
    links : Worker
        Sends to peers.
    bounds : Bounds
        Window and allowed overage.
    """

    def __init__(
        self, incarnation: str, address: str, links: Worker, bounds: Bounds
    ) -> None:
        super().__init__("quota-keeper", tick_interval=TELL_INTERVAL_S)
        self._incarnation = incarnation
        self._address = address
        self._links = links
        self.bounds = bounds
        self._began = asyncio.get_running_loop().time()
        self._view = View()
        self._totals: dict[str, int] = defaultdict(int)
        self._own: dict[str, Window] = {}
        self._others: dict[str, Window] = {}
        self._lately: dict[str, Window] = {}
        self._peers: dict[str, _Peer] = {}
        self._told: dict[str, int] = {}

    async def handle(self, message) -> None:
        """Take a tick, a view, or what a peer has let through."""
        match message:
            case Tick():
                self._tell()
            case ViewChanged(view=view):
                self._view = view
            case Received(message=Usage() as usage):
                self._hear(usage)

    def admit(self, customer: CustomerRule, tokens: int) -> bool:
        """Return whether a request of so many tokens is within the quota; count it."""
        now = asyncio.get_running_loop().time()
        if not customer.quota.rate:
            return True
        if self.used(customer.name, now) + tokens > self.limit(customer, now):
            return False
        self._count(customer.name, tokens, now)
        return True

    def refund(self, customer: CustomerRule, tokens: int) -> None:
        """Take back what was counted for a request that never ran."""
        if customer.quota.rate:
            now = asyncio.get_running_loop().time()
            self._count(customer.name, -tokens, now)

    def used(self, name: str, now: float) -> float:
        """Return the tokens of the window, with a guess at what is not yet heard."""
        window = self.bounds.quota_window
        own = self._own.setdefault(name, Window(window)).total(now)
        others = self._others.setdefault(name, Window(window)).total(now)
        lately = self._lately.setdefault(name, Window(1.0)).total(now)
        return own + others + max(0.0, lately) * TELL_INTERVAL_S

    def limit(self, customer: CustomerRule, now: float) -> float:
        """Return the tokens that may be used in a window at this moment."""
        bounds, quota = self.bounds, customer.quota
        whole = quota.rate * bounds.quota_window + quota.burst
        slack = whole * bounds.quota_overage + bounds.quota_slack
        alive = max(1, len(self._view.members))
        reached = alive / (alive + self._view.silent)
        known = (self._age(now) + RESTART_S) / bounds.quota_window
        return (whole * min(1.0, known) + OVERAGE_USED * slack) * reached

    def _age(self, now: float) -> float:
        """Return the seconds for which what was used is known."""
        ages = [peer.age + now - peer.at for peer in self._peers.values()]
        return max([now - self._began, *ages])

    def _count(self, name: str, tokens: int, now: float) -> None:
        window = self._own.setdefault(name, Window(self.bounds.quota_window))
        window.add(tokens, now)
        self._totals[name] += tokens

    def _tell(self) -> None:
        now = asyncio.get_running_loop().time()
        if self._totals == self._told and int(now * 5) % 10:
            return
        self._told = dict(self._totals)
        names = list(self._totals)
        recent = [int(self._own[name].total(now)) for name in names]
        totals = [self._totals[name] for name in names]
        usage = Usage(self._incarnation, now - self._began, names, totals, recent)
        for member in self._view.members.values():
            if member.peer_address != self._address:
                self._links.tell(Send(member.peer_address, usage))

    def _hear(self, usage: Usage) -> None:
        now = asyncio.get_running_loop().time()
        peer = self._peers.get(usage.incarnation)
        first = peer is None
        if first:
            peer = self._peers[usage.incarnation] = _Peer(usage.age, now)
            self._forget_old(now)
        peer.age, peer.at = usage.age, now
        for name, total, recent in zip(
            usage.customers, usage.totals, usage.recent, strict=True
        ):
            new = recent if first else total - peer.totals.get(name, 0)
            peer.totals[name] = total
            if new:
                window = self.bounds.quota_window
                self._others.setdefault(name, Window(window)).add(new, now)
                if not first:
                    self._lately.setdefault(name, Window(1.0)).add(new, now)

    def _forget_old(self, now: float) -> None:
        horizon = now - 2 * self.bounds.quota_window
        self._peers = {i: p for i, p in self._peers.items() if p.at > horizon}
