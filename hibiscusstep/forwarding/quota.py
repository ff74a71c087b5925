"""hibiscusstep.forwarding.quota: tokens of customers over a sliding window."""

import asyncio
import heapq
from collections import defaultdict
from dataclasses import dataclass, field

from hibiscusstep.forwarding.bounds import Bounds
from hibiscusstep.forwarding.model import CustomerRule
from hibiscusstep.forwarding.quota_claim import Ticket
from hibiscusstep.forwarding.window import Window
from hibiscusstep.log import decision
from hibiscusstep.mailbox import Tick, Worker
from hibiscusstep.membership.view import View
from hibiscusstep.membership.worker import ViewChanged
from hibiscusstep.peer import Received, Usage
from hibiscusstep.peerlink import Send

__all__ = ["QuotaKeeper"]

# Instances tell each other what they let through this often; what happens in between
# is bounded by the overage that a quota allows.
TELL_INTERVAL_S = 0.2
# Share of the allowed overage that is used; the rest is for what is not yet heard.
OVERAGE_USED = 0.7
# An instance may take this many times its even part of what is left before the others
# hear of it; or the part that it had in the window.
UNTOLD_PARTS = 1.0
# Where this many times what is asked for between two tellings is left, none is held
# back: a large request must not be refused while much is left.
AMPLE = 2.0
# All totals are told again after so many intervals, for those that missed some.
TELL_ALL_EVERY = 10
# The same where instances hear of each other over relays: at the onset of a burst three
# times as much is used before all have heard of it.
OVERAGE_USED_GROUPED = 0.2
# From a follower over its relay and another one to a third instance.
GROUPED_HOPS = 3
# Share of the quota that is free while nothing is known of a whole window: all
# instances may have been restarted right after a customer used what it may.
START_SHARE = 0.1

# Each instance logs what it believes of the customers nearest to their limits: so many
# at the most, from this share of the limit on, every so many intervals (a second).
LOG_USE_MOST = 3
LOG_USE_FROM = 0.5
LOG_USE_EVERY = 5


@dataclass(slots=True)
class _Peer:
    """What another instance has told: totals since its start, by customer."""

    age: float
    at: float
    totals: dict[str, int] = field(default_factory=dict)


class QuotaKeeper(Worker):
    """Counts what all instances let through; admits what stays within the quota.

    Each instance tells its neighbours its totals a few times a second. A relay tells
    the other relays the sum of its own and its followers', and each follower the sum
    of all others. Instances out of reach are taken to use their even share, so that
    the parts of a cut stay within the quota together.

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
        self._pending: dict[str, int] = defaultdict(int)
        self._own: dict[str, Window] = {}
        self._others: dict[str, Window] = {}
        self._lately: dict[str, Window] = {}
        self._peers: dict[str, _Peer] = {}
        # Tokens since the start: of this instance's group, which is itself and its
        # followers; of all; and of each follower.
        self._of_group: dict[str, int] = defaultdict(int)
        self._of_all: dict[str, int] = defaultdict(int)
        self._of_follower: dict[str, dict[str, int]] = {}
        self._group: dict[str, Window] = {}
        self._told: dict[str, int] = {}
        self._told_all: dict[str, int] = {}
        self._ticks = 0
        self._rules: dict[str, CustomerRule] = {}

    async def handle(self, message) -> None:
        """Take a tick, a view, or what a peer has let through."""
        match message:
            case Tick():
                self._tell()
            case ViewChanged(view=view):
                self._take_view(view)
            case Received(message=Usage() as usage):
                self._hear(usage)

    def _take_view(self, view: View) -> None:
        before, self._view = self._view, view
        if view.parent and view.parent != before.parent:
            # The new parent tells anew what the others used in the window.
            self._others.clear()
            self._peers.clear()
        known = before.members.keys() | before.followers.keys()
        if view.parent != before.parent or (
            view.members.keys() | view.followers.keys() - known
        ):
            self._tell_all()

    def admit(
        self, customer: CustomerRule, tokens: int, request: str = ""
    ) -> Ticket | None:
        """Set tokens aside for a request; None if they are beyond the quota."""
        if not customer.quota.rate:
            return Ticket(self, customer.name, 0)
        if not self.fits(customer, tokens, request):
            return None
        self._pending[customer.name] += tokens
        return Ticket(self, customer.name, tokens)

    def fits(self, customer: CustomerRule, tokens: int, request: str = "") -> bool:
        """Return whether tokens are within the quota; log it if they are not."""
        if not customer.quota.rate:
            return True
        self._rules[customer.name] = customer
        now = asyncio.get_running_loop().time()
        limit, used = self.limit(customer, now), self.used(customer.name, now)
        left = limit - used
        if tokens > left or not self._may_go_untold(customer.name, tokens, left, now):
            self._log_refusal(request, customer, tokens, limit, used, now)
            return False
        return True

    def _log_refusal(self, request, customer, tokens, limit, used, now) -> None:
        quota, name = customer.quota, customer.name
        decision(
            "over-quota",
            request=request,
            customer=name,
            tokens=tokens,
            rate=quota.rate,
            burst=quota.burst,
            limit=int(limit),
            used=int(used),
            own=int(self._window(self._own, name).total(now)),
            others=int(self._window(self._others, name).total(now)),
            last_second=int(self._lately[name].total(now)),
            pending=self._pending[name],
            instances=self._view.size,
            silent=self._view.silent,
            known_for=round(self._age(now), 1),
        )

    def _log_use(self) -> None:
        """Log the customers nearest to their limits, as believed here."""
        now = asyncio.get_running_loop().time()
        limits = {name: self.limit(rule, now) for name, rule in self._rules.items()}
        shares = {name: self.used(name, now) / limit for name, limit in limits.items()}
        near = [name for name, share in shares.items() if share >= LOG_USE_FROM]
        for name in heapq.nlargest(LOG_USE_MOST, near, key=shares.get):
            decision(
                "customer-use",
                customer=name,
                limit=int(limits[name]),
                used=int(self.used(name, now)),
                own=int(self._window(self._own, name).total(now)),
                others=int(self._window(self._others, name).total(now)),
                window=self.bounds.quota_window,
                known_for=round(self._age(now), 1),
                instances=self._view.size,
                silent=self._view.silent,
            )

    def settle(self, name: str, tokens: int, used: bool) -> None:
        """End a ticket."""
        self._pending[name] -= tokens
        if used and tokens:
            now = asyncio.get_running_loop().time()
            self._window(self._own, name).add(tokens, now)
            self._count(name, tokens, now, in_group=True)

    def _window(self, windows: dict[str, Window], name: str) -> Window:
        return windows.setdefault(name, Window(self.bounds.quota_window))

    def _count(self, name: str, tokens: int, now: float, *, in_group: bool) -> None:
        """Count for what is told to the neighbours."""
        self._of_all[name] += tokens
        if in_group:
            self._of_group[name] += tokens
            self._window(self._group, name).add(tokens, now)

    def used(self, name: str, now: float) -> float:
        """Return the tokens of the window, with a guess at what is not yet heard."""
        own = self._window(self._own, name).total(now)
        others = self._window(self._others, name).total(now)
        lately = self._lately.setdefault(name, Window(1.0)).total(now)
        unheard = lately * self._delay
        return own + others + self._pending[name] + unheard

    @property
    def _delay(self) -> float:
        """Seconds until an instance has heard of another one's use, at the most."""
        return (1 if self._view.is_mesh else GROUPED_HOPS) * TELL_INTERVAL_S

    def limit(self, customer: CustomerRule, now: float) -> float:
        """Return the tokens that may be used in a window at this moment."""
        bounds, quota = self.bounds, customer.quota
        whole = quota.rate * bounds.quota_window + quota.burst
        slack = whole * bounds.quota_overage + bounds.quota_slack
        alive = max(1, self._view.size)
        reached = alive / (alive + self._view.silent)
        known = min(1.0, self._age(now) / bounds.quota_window)
        free = START_SHARE + (1 - START_SHARE) * known
        part = OVERAGE_USED if self._view.is_mesh else OVERAGE_USED_GROUPED
        return (whole + part * slack) * free * reached

    def _may_go_untold(self, name: str, tokens: int, left: float, now: float) -> bool:
        """Whether others may well take as much before all have heard of each other."""
        sent = self._of_group[name] - self._told.get(name, 0)
        untold = sent + self._pending[name]
        lately = self._lately[name].total(now)
        if AMPLE * (lately * self._delay + untold + tokens) <= left:
            return True
        alive = max(1, self._view.size)
        own, others = self._own[name].total(now), self._others[name].total(now)
        own = max(0.0, own - sent)
        part = max(UNTOLD_PARTS / alive, own / max(1.0, own + others))
        return untold + tokens <= part * (left + untold) or alive == 1

    def _age(self, now: float) -> float:
        """Return the seconds for which what was used is known."""
        ages = [peer.age + now - peer.at for peer in self._peers.values()]
        return max([now - self._began, *ages])

    def _tell(self) -> None:
        self._ticks += 1
        if self._ticks % LOG_USE_EVERY == 0:
            self._log_use()
        every = self._ticks % TELL_ALL_EVERY == 0
        if every or self._of_group != self._told or self._has_news_for_followers():
            self._tell_all()

    def _has_news_for_followers(self) -> bool:
        return bool(self._view.followers) and self._of_all != self._told_all

    def _tell_all(self) -> None:
        now = asyncio.get_running_loop().time()
        self._told = dict(self._of_group)
        self._told_all = dict(self._of_all)
        followers = {f.peer_address: f for f in self._view.followers.values()}
        group = self._usage(self._of_group, self._group, {}, now)
        for address in self._view.neighbours(self._address):
            usage = group
            if address in followers:
                told = self._of_follower.get(followers[address].incarnation, {})
                usage = self._usage(self._of_all, self._others, told, now)
            self._links.tell(Send(address, usage))

    def _usage(self, totals, windows, without: dict[str, int], now: float) -> Usage:
        """Return what is told to a neighbour: totals without its own part."""
        names = list(totals)
        rest = [totals[name] - without.get(name, 0) for name in names]
        recent = [int(self._window(windows, name).total(now)) for name in names]
        follower = bool(self._view.parent)
        age = now - self._began
        return Usage(self._incarnation, age, names, rest, recent, follower)

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
            if not new:
                continue
            self._window(self._others, name).add(new, now)
            self._count(name, new, now, in_group=usage.follower)
            if usage.follower:
                told = self._of_follower.setdefault(usage.incarnation, {})
                told[name] = told.get(name, 0) + new
            if not first:
                self._lately.setdefault(name, Window(1.0)).add(new, now)

    def _forget_old(self, now: float) -> None:
        horizon = now - 2 * self.bounds.quota_window
        self._peers = {i: p for i, p in self._peers.items() if p.at > horizon}
        heard = self._peers.keys()
        self._of_follower = {i: t for i, t in self._of_follower.items() if i in heard}
