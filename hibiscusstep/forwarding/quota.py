"""hibiscusstep.forwarding.quota: tokens of customers over a sliding window."""

import asyncio
import heapq
from collections import defaultdict
from dataclasses import dataclass

from hibiscusstep.forwarding.bounds import Bounds
from hibiscusstep.forwarding.kept_use import KeepUse, KeptUse, ReadUse, UseRecorder
from hibiscusstep.forwarding.model import CustomerRule
from hibiscusstep.forwarding.quota_claim import Ticket
from hibiscusstep.forwarding.quota_limit import QuotaLimit
from hibiscusstep.forwarding.reach import Reach
from hibiscusstep.forwarding.usage import UsageLedger
from hibiscusstep.log import decision
from hibiscusstep.mailbox import Tick, Worker
from hibiscusstep.membership.mesh import ViewChanged
from hibiscusstep.membership.view import View
from hibiscusstep.peer import Received, Usage, UsageAsk, UsageHistory, UsageScope
from hibiscusstep.peerlink import Send
from hibiscusstep.store import StoreRestored

__all__ = ["CustomersChanged", "QuotaKeeper"]

# Instances tell each other what they let through this often; what happens in between
# is bounded by the overage that a quota allows.
TELL_INTERVAL_S = 0.2
# An instance may take this many times its even part of what is left before the others
# hear of it; or the part that it had in the window.
UNTOLD_PARTS = 1.0
# Where this many times what is asked for between two tellings is left, none is held
# back: a large request must not be refused while much is left.
AMPLE = 2.0
# All totals are told again after so many intervals, for those that missed some.
TELL_ALL_EVERY = 10
# From a follower over its relay and another one to a third instance.
GROUPED_HOPS = 3
# Each instance logs what it believes of the customers nearest to their limits: so many
# at the most, from this share of the limit on, every so many intervals (a second).
LOG_USE_MOST = 3
LOG_USE_FROM = 0.5
LOG_USE_EVERY = 5


@dataclass(frozen=True, slots=True)
class CustomersChanged:
    """The customers of the configuration in force."""

    customers: tuple[CustomerRule, ...]


class QuotaKeeper(Worker):
    """Counts what all instances let through; admits what stays within the quota.

    Each instance tells its neighbours its totals a few times a second. A relay tells
    the other relays the sum of its own and its followers', and each follower the sum
    of all others. Instances out of reach are taken to use their even share, so that
    the parts of a cut stay within the quota together.

    One that starts asks what was used before: a living instance, which also knows what
    ended ones used, or after a restart of all the store.

    Parameters
    ----------
    incarnation, address : str
        Own incarnation and peer address.
    links : Worker
        Sends to peers.
    bounds : Bounds
        Window and allowed overage.
    kept : Worker or None
        Reads and writes what is kept in the store; None where nothing is.
    """

    def __init__(
        self,
        incarnation: str,
        address: str,
        links: Worker,
        bounds: Bounds,
        kept: Worker | None = None,
    ) -> None:
        super().__init__("quota-keeper", tick_interval=TELL_INTERVAL_S)
        self._incarnation = incarnation
        self._address = address
        self._links = links
        self._kept = kept
        now = asyncio.get_running_loop().time()
        self._ledger = UsageLedger(incarnation, bounds.quota_window, now)
        self._reach = Reach(now)
        self._limit = QuotaLimit(bounds, self._ledger, self._reach)
        self._recorder = UseRecorder()
        self._view = View()
        self._rules: dict[str, CustomerRule] = {}
        self._pending: dict[str, int] = defaultdict(int)
        self._told: dict[str, int] = {}
        self._told_all: dict[str, int] = {}
        # Peer addresses of those that are told, and that tell.
        self._neighbours: list[str] = []
        # Incarnations of the followers by peer address.
        self._followers: dict[str, str] = {}
        # Peer addresses that were asked since the last tick, and those that answered.
        self._asked: set[str] = set()
        self._answered: set[str] = set()
        self._informed = asyncio.Event()
        self._ticks = 0

    @property
    def bounds(self) -> Bounds:
        """Window and allowed overage in force."""
        return self._limit.bounds

    @bounds.setter
    def bounds(self, bounds: Bounds) -> None:
        self._limit.bounds = bounds

    @property
    def informed(self) -> bool:
        """Whether it is known, or was kept, what was used before the start."""
        return self._informed.is_set()

    async def wait_informed(self) -> None:
        """Return when it is informed."""
        await self._informed.wait()

    async def handle(self, message) -> None:
        """Take a tick, a view, or what a peer or the store tells of customers' use."""
        now = asyncio.get_running_loop().time()
        self._take(message, now)
        if not self.informed and self._ledger.knows_before(now):
            self._informed.set()

    def _take(self, message, now: float) -> None:
        match message:
            case Tick():
                self._take_tick(now)
            case ViewChanged(view=view):
                self._take_view(view, now)
            case CustomersChanged(customers=customers):
                self._rules = {rule.name: rule for rule in customers}
            case KeptUse(usage=usage):
                self._ledger.take_kept(usage, now)
                self._tell_followers(now)
            case StoreRestored():
                self._recorder.forget()
            case Received(sender=sender, message=body):
                self._take_from_peer(body, sender, now)

    def _take_from_peer(self, message, sender: str, now: float) -> None:
        """Take what a peer tells or asks."""
        match message:
            case Usage() as usage:
                meant = self._is_meant(usage, sender)
                if meant and not self._ledger.hear(usage, now):
                    self._ask(sender)
            case UsageAsk() as ask:
                if sender == self._view.parent:
                    self._take_relay(ask.incarnation)
                self._tell_history(sender, now)
            case UsageHistory() as history:
                self._take_history(history, sender, now)

    def _take_tick(self, now: float) -> None:
        self._ticks += 1
        self._asked.clear()
        self._ledger.forget_old(now)
        self._look_back(now)
        self._tell()
        self._keep(now)
        if self._ticks % LOG_USE_EVERY == 0:
            self._log_use(now)

    def _take_view(self, view: View, now: float) -> None:
        """Tell new neighbours all that is known, ended instances' use too."""
        before, self._view = self._view, view
        followers = view.followers.values()
        self._followers = {f.peer_address: f.incarnation for f in followers}
        known = set(self._neighbours)
        if view.parent != before.parent:
            self._ledger.set_apart(self._told)
            self._answered.clear()
            self._ask(view.parent)
        self._reach.take_view(view, now)
        self._neighbours = view.neighbours(self._address)
        for address in set(self._neighbours) - known:
            self._tell_history(address, now)
        self._read_kept(now)

    def _look_back(self, now: float) -> None:
        """Ask what was used before the start, until it is known."""
        if self._ledger.knows_window(now):
            return
        blind = not self._ledger.knows_before(now)
        for address in self._neighbours:
            if blind or address not in self._answered:
                self._ask(address)

    def _read_kept(self, now: float) -> None:
        """Have read what was kept, unless a relay knows it or the window is known."""
        if self._kept is None or self._ledger.knows_window(now):
            return
        if self._view.role_known and not self._view.parent:
            self._kept.tell(ReadUse())

    def _ask(self, address: str) -> None:
        """Ask a neighbour for all that it knows, once between two ticks."""
        if address and address not in self._asked:
            self._asked.add(address)
            self._links.tell(Send(address, UsageAsk(self._incarnation)))

    def _tell_followers(self, now: float) -> None:
        for address in self._followers:
            self._tell_history(address, now)

    def _take_relay(self, incarnation: str) -> None:
        """Take note that the relay that is followed may be another process."""
        if self._ledger.follows_another(incarnation):
            self._ledger.set_apart(self._told)

    def _tell_history(self, address: str, now: float) -> None:
        scope = self._scope_for(address)
        if scope:
            follower = self._followers.get(address, "")
            history = self._ledger.history(scope, now, follower)
            history.instances = self._reach.alive + self._reach.silent(now)
            self._links.tell(Send(address, history))

    def _scope_for(self, address: str) -> str:
        """Return whose use the peer at an address is told; empty if none."""
        if self._view.parent:
            return UsageScope.FOLLOWER if address == self._view.parent else ""
        return UsageScope.ALL if address in self._followers else UsageScope.GROUP

    def _is_meant(self, usage: Usage, sender: str) -> bool:
        """Whether a peer tells it to what this instance is: follower or relay."""
        if self._view.parent:
            return usage.scope == UsageScope.ALL and sender == self._view.parent
        return usage.scope != UsageScope.ALL

    def _take_history(self, history: UsageHistory, sender: str, now: float) -> None:
        if not history.usages or not self._is_meant(history.usages[0], sender):
            return
        self._answered.add(sender)
        older = history.age > self._ledger.age(now)
        if older and not self._ledger.knows_window(now):
            self._reach.take_told(history.instances, now)
        if self._view.parent:
            self._take_relay(history.usages[0].incarnation)
        before = self._ledger.known_for(now)
        self._ledger.take_history(history, now)
        known_for = self._ledger.known_for(now)
        if known_for > before:
            self._tell_followers(now)
            decision(
                "use-heard",
                known_for=round(known_for, 1),
                sources=len(history.usages),
                kept_known=history.kept_known,
            )

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
        now = asyncio.get_running_loop().time()
        limit, used = self._limit.at(customer, now), self.used(customer.name, now)
        left = limit - used
        if tokens > left or not self._may_go_untold(customer.name, tokens, left, now):
            self._log_refusal(request, customer, tokens, now)
            return False
        return True

    def _log_refusal(self, request, customer, tokens, now) -> None:
        quota, name = customer.quota, customer.name
        decision(
            "over-quota",
            request=request,
            tokens=tokens,
            rate=quota.rate,
            burst=quota.burst,
            last_second=int(self._ledger.lately(name, now)),
            pending=self._pending[name],
            **self._belief(customer, now),
        )

    def _log_use(self, now: float) -> None:
        """Log those nearest to their limits of the customers that were let through."""
        shares = {
            name: self.used(name, now) / self._limit.at(rule, now)
            for name, rule in self._rules.items()
            if rule.quota.rate and self._ledger.own(name, now)
        }
        near = [name for name, share in shares.items() if share >= LOG_USE_FROM]
        for name in heapq.nlargest(LOG_USE_MOST, near, key=shares.get):
            decision("customer-use", **self._belief(self._rules[name], now))

    def _belief(self, customer: CustomerRule, now: float) -> dict:
        """Return what is believed of a customer's use, as fields of a log line."""
        ledger, name = self._ledger, customer.name
        return {
            "customer": name,
            "limit": int(self._limit.at(customer, now)),
            "used": int(self.used(name, now)),
            "own": int(ledger.own(name, now)),
            "others": int(ledger.others(name, now)),
            "window": self.bounds.quota_window,
            "known_for": round(ledger.known_for(now), 1),
            "kept_known": ledger.listed is not None,
            "instances": self._view.size,
            "silent": self._reach.silent(now),
        }

    def settle(self, name: str, tokens: int, used: bool) -> None:
        """End a ticket."""
        self._pending[name] -= tokens
        if used and tokens:
            self._ledger.use(name, tokens, asyncio.get_running_loop().time())

    def used(self, name: str, now: float) -> float:
        """Return the tokens of the window, with a guess at what is not yet heard."""
        ledger = self._ledger
        unheard = ledger.lately(name, now) * self._delay
        counted = ledger.own(name, now) + ledger.others(name, now)
        return counted + self._pending[name] + unheard

    @property
    def _delay(self) -> float:
        """Seconds until an instance has heard of another one's use, at the most."""
        return (1 if self._view.is_mesh else GROUPED_HOPS) * TELL_INTERVAL_S

    def _may_go_untold(self, name: str, tokens: int, left: float, now: float) -> bool:
        """Whether others may well take as much before all have heard of each other."""
        ledger = self._ledger
        sent = ledger.of_group[name] - self._told.get(name, 0)
        untold = sent + self._pending[name]
        lately = ledger.lately(name, now)
        alive = self._reach.likely_size
        if alive == 1:
            return True
        others = ledger.others(name, now)
        heard = bool(self._neighbours)
        if heard and AMPLE * (lately * self._delay + untold + tokens) <= left:
            return True
        own = max(0.0, ledger.own(name, now) - sent)
        part = max(UNTOLD_PARTS / alive, own / max(1.0, own + others) if heard else 0.0)
        return untold + tokens <= part * (left + untold)

    def _tell(self) -> None:
        """Tell the neighbours the totals that changed, and now and then all of them."""
        every = self._ticks % TELL_ALL_EVERY == 0
        changed = _changed(self._ledger.of_group, {} if every else self._told)
        changed_all = _changed(self._ledger.of_all, {} if every else self._told_all)
        if self._neighbours:
            self._told = dict(self._ledger.of_group)
            self._told_all = dict(self._ledger.of_all)
        for address in self._neighbours:
            scope = self._scope_for(address)
            names = changed_all if scope == UsageScope.ALL else changed
            if names:
                follower = self._followers.get(address, "")
                totals = self._ledger.totals(scope, follower, names)
                usage = Usage(self._incarnation, scope, names, totals)
                self._links.tell(Send(address, usage))

    def _keep(self, now: float) -> None:
        """Have the use of customers near their limits kept, if it is up to this one."""
        if self._kept is None or not self._ledger.knows_before(now):
            return
        if not self._view.has_duty("customers' use", self._address):
            return
        if self._reach.alive < self._reach.silent(now):
            # The greater part of a cut keeps what it used; one document is kept.
            return
        limits = {
            name: self._limit.whole(rule)
            for name, rule in self._rules.items()
            if rule.quota.rate
        }
        document = self._recorder.due(self._ledger, limits, now)
        if document is not None:
            self._kept.tell(KeepUse(document))


def _changed(totals: dict[str, int], told: dict[str, int]) -> list[str]:
    return [name for name, total in totals.items() if total != told.get(name)]
