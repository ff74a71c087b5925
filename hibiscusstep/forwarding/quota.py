"""hibiscusstep.forwarding.quota: token quotas of customers in a sliding window."""

import asyncio
import heapq
from collections import defaultdict
from dataclasses import dataclass

from hibiscusstep.clock import PauseDetector
from hibiscusstep.forwarding.bounds import Bounds
from hibiscusstep.forwarding.model import CustomerRule
from hibiscusstep.forwarding.quota_limit import QuotaLimit
from hibiscusstep.forwarding.quota_request import TokenReservation
from hibiscusstep.forwarding.reachability import Reachability
from hibiscusstep.forwarding.saved_usage import (
    ReadUsage,
    SavedUsage,
    SavedUsagePlanner,
    SaveUsage,
)
from hibiscusstep.forwarding.usage import UsageLedger
from hibiscusstep.log import decision
from hibiscusstep.mailbox import Tick, Worker
from hibiscusstep.membership.mesh import ViewChanged
from hibiscusstep.membership.view import View
from hibiscusstep.peer import Received, Usage, UsageAsk, UsageHistory, UsageScope
from hibiscusstep.peerlink import Send
from hibiscusstep.store import StoreRestored

__all__ = ["CustomersChanged", "QuotaLimiter"]

# Interval at which instances exchange their token usage. Usage between two exchanges is
# bounded by the allowed overage of a quota.
SEND_INTERVAL_S = 0.2
# An instance may use this many times its even share of the remaining tokens before the
# other instances receive its totals, or the share that it had in the window.
UNSENT_SHARES = 1.0
# If at least this many times the demand between two exchanges remains, an instance is
# not limited to its share, so that a large request is not refused while much remains.
AMPLE_FACTOR = 2.0
# Intervals after which all totals are sent again, for instances that missed some.
SEND_ALL_EVERY = 10
# After a longer pause of this instance, what it knows of the others' usage is outdated:
# the time after which they do without it.
PAUSED_AFTER_S = 1.0
# Time after a pause in which an instance uses no more than its share: callers waited at
# it, and at the others if all were paused.
EVEN_SHARES_S = 2.0
# Hops from a follower over its relay and another relay to a third instance.
RELAYED_HOPS = 3
# Each instance logs the usage of the customers nearest to their limits: at most this
# many, from this share of the limit on, every this many intervals (one second).
LOG_USAGE_MAX_CUSTOMERS = 3
LOG_USAGE_MIN_SHARE = 0.5
LOG_USAGE_EVERY = 5


@dataclass(frozen=True, slots=True)
class CustomersChanged:
    """The customers of the configuration in force."""

    customers: tuple[CustomerRule, ...]


class QuotaLimiter(Worker):
    """Tracks the token usage of all instances and enforces the quotas of customers.

    Each instance sends its totals to its neighbours several times a second. In a large
    region some instances are relays, and each other one follows a relay. A relay sends
    the sum of its own usage and its followers' to the other relays, and the sum
    of all others' to each follower. Unreachable instances are assumed to use their even
    share, so that all sides of a network partition together stay within the quota.

    An instance that starts requests the earlier usage from a live instance, which also
    knows that of ended instances, or after a full restart from the store. One that was
    paused requests it from a live instance.

    Parameters
    ----------
    incarnation, address : str
        Own incarnation and peer address.
    links : Worker
        Sends messages to peers.
    bounds : Bounds
        Window and allowed overage.
    usage_worker : Worker or None
        Reads and writes the saved usage; None if there is no store.

    Attributes
    ----------
    reachability : Reachability
        Counts the instances that are or may be alive.
    """

    def __init__(
        self,
        incarnation: str,
        address: str,
        links: Worker,
        bounds: Bounds,
        usage_worker: Worker | None = None,
    ) -> None:
        super().__init__("quota-keeper", tick_interval=SEND_INTERVAL_S)
        self._incarnation = incarnation
        self._address = address
        self._links = links
        self._usage_worker = usage_worker
        now = asyncio.get_running_loop().time()
        self._ledger = UsageLedger(incarnation, bounds.quota_window, now)
        self.reachability = Reachability(now)
        self._limit = QuotaLimit(bounds, self._ledger, self.reachability)
        self._planner = SavedUsagePlanner()
        self._view = View()
        self._rules: dict[str, CustomerRule] = {}
        self._pending: dict[str, int] = defaultdict(int)
        self._sent_totals: dict[str, int] = {}
        self._sent_all_totals: dict[str, int] = {}
        # Peer addresses of the instances with which usage is exchanged.
        self._neighbours: list[str] = []
        # Incarnations of followers by peer address.
        self._followers: dict[str, str] = {}
        # Peer addresses queried since the last tick, and those that have answered.
        self._queried: set[str] = set()
        self._answered: set[str] = set()
        self._history_known = asyncio.Event()
        self._pause_detector = PauseDetector(PAUSED_AFTER_S)
        self._shares_evenly_until = 0.0
        self._ticks = 0

    @property
    def bounds(self) -> Bounds:
        """Window and allowed overage in force."""
        return self._limit.bounds

    @bounds.setter
    def bounds(self, bounds: Bounds) -> None:
        self._limit.bounds = bounds

    @property
    def history_known(self) -> bool:
        """Whether usage before the start is known, or the store does not tell it.

        After a pause, whether another instance has told that of the others.
        """
        self._check_pause(asyncio.get_running_loop().time())
        return self._history_known.is_set()

    async def wait_history_known(self) -> None:
        """Wait until usage before the start is known, or cannot be read."""
        await self._history_known.wait()

    async def handle(self, message) -> None:
        """Process a tick, a membership view, or usage from a peer or the store."""
        now = asyncio.get_running_loop().time()
        self._check_pause(now)
        self._process(message, now)
        if not self.history_known and self._ledger.knows_history(now):
            self._history_known.set()

    def _check_pause(self, now: float) -> None:
        """Request the usage of the others anew if this instance was paused."""
        seconds = self._pause_detector.check()
        if not seconds or self.reachability.sharing_count(now) == 1:
            return
        decision("use-outdated", paused=round(seconds, 1))
        self._ledger.forget_knowledge(now)
        self._shares_evenly_until = now + EVEN_SHARES_S
        self._history_known.clear()
        self._answered.clear()
        self._queried.clear()
        self._query_history(now)

    def _process(self, message, now: float) -> None:
        match message:
            case Tick():
                self._process_tick(now)
            case ViewChanged(view=view):
                self._process_view(view, now)
            case CustomersChanged(customers=customers):
                self._rules = {rule.name: rule for rule in customers}
            case SavedUsage(usage=None):
                # Requests need not wait: the store will not tell it later either.
                self._history_known.set()
            case SavedUsage(usage=usage):
                self._ledger.apply_stored(usage, now)
                self._send_history_to_followers(now)
            case StoreRestored():
                self._planner.mark_lost()
            case Received(sender=sender, message=body):
                self._process_peer_message(body, sender, now)

    def _process_peer_message(self, message, sender: str, now: float) -> None:
        """Process a message from a peer."""
        match message:
            case Usage() as usage:
                expected = self._is_expected(usage, sender)
                if expected and not self._ledger.apply_update(usage, now):
                    self._query(sender)
            case UsageAsk() as ask:
                if sender == self._view.parent:
                    self._process_relay(ask.incarnation)
                self._send_history(sender, now)
            case UsageHistory() as history:
                self._process_history(history, sender, now)

    def _process_tick(self, now: float) -> None:
        self._ticks += 1
        self._queried.clear()
        self._ledger.drop_stale(now)
        self._query_history(now)
        self._send_changes()
        self._save_usage(now)
        if self._ticks % LOG_USAGE_EVERY == 0:
            self._log_usage(now)

    def _process_view(self, view: View, now: float) -> None:
        """Apply a membership view; send new neighbours all known usage.

        That includes the usage of ended instances.
        """
        previous, self._view = self._view, view
        followers = view.followers.values()
        self._followers = {f.peer_address: f.incarnation for f in followers}
        known = set(self._neighbours)
        if view.parent != previous.parent:
            self._ledger.detach_sent(self._sent_totals)
            self._answered.clear()
            self._query(view.parent)
        self.reachability.apply_view(view, now)
        self._neighbours = view.neighbours(self._address)
        for address in set(self._neighbours) - known:
            self._send_history(address, now)
        self._request_saved_usage(now)

    def _query_history(self, now: float) -> None:
        """Query neighbours for usage before the start until it is known."""
        if self._ledger.knows_window(now):
            return
        history_unknown = not self._ledger.knows_history(now)
        for address in self._neighbours:
            if history_unknown or address not in self._answered:
                self._query(address)

    def _request_saved_usage(self, now: float) -> None:
        """Request the saved usage unless there is a relay or the window is known."""
        if self._usage_worker is None or self._ledger.knows_window(now):
            return
        if self._view.role_known and not self._view.parent:
            self._usage_worker.tell(ReadUsage())

    def _query(self, address: str) -> None:
        """Query a neighbour for its usage history, at most once per tick."""
        if address and address not in self._queried:
            self._queried.add(address)
            self._links.tell(Send(address, UsageAsk(self._incarnation)))

    def _send_history_to_followers(self, now: float) -> None:
        for address in self._followers:
            self._send_history(address, now)

    def _process_relay(self, incarnation: str) -> None:
        """Exclude usage sent to the previous relay if it restarted or was replaced."""
        if self._ledger.relay_changed(incarnation):
            self._ledger.detach_sent(self._sent_totals)

    def _send_history(self, address: str, now: float) -> None:
        scope = self._scope_for(address)
        if scope:
            follower = self._followers.get(address, "")
            history = self._ledger.make_history(scope, now, follower)
            history.instances = (
                self.reachability.alive_count + self.reachability.unreachable_count(now)
            )
            self._links.tell(Send(address, history))

    def _scope_for(self, address: str) -> str:
        """Return the scope of the usage to send to a peer; empty if none is sent."""
        if self._view.parent:
            return UsageScope.FOLLOWER if address == self._view.parent else ""
        return UsageScope.ALL if address in self._followers else UsageScope.GROUP

    def _is_expected(self, usage: Usage, sender: str) -> bool:
        """Whether the scope and the sender fit the role of this instance."""
        if self._view.parent:
            return usage.scope == UsageScope.ALL and sender == self._view.parent
        return usage.scope != UsageScope.ALL

    def _process_history(self, history: UsageHistory, sender: str, now: float) -> None:
        if not history.usages or not self._is_expected(history.usages[0], sender):
            return
        self._answered.add(sender)
        older = history.age > self._ledger.age(now)
        if older and not self._ledger.knows_window(now):
            self.reachability.apply_reported_count(history.instances, now)
        if self._view.parent:
            self._process_relay(history.usages[0].incarnation)
        previous = self._ledger.known_for(now)
        self._ledger.apply_history(history, now)
        known_for = self._ledger.known_for(now)
        if known_for > previous:
            self._send_history_to_followers(now)
            decision(
                "use-heard",
                known_for=round(known_for, 1),
                sources=len(history.usages),
                kept_known=history.kept_known,
            )

    def reserve(
        self, customer: CustomerRule, tokens: int, request: str = ""
    ) -> TokenReservation | None:
        """Reserve tokens for a request; return None if they exceed the quota."""
        if not customer.quota.rate:
            return TokenReservation(self, customer.name, 0)
        if not self.fits(customer, tokens, request):
            return None
        self._pending[customer.name] += tokens
        return TokenReservation(self, customer.name, tokens)

    def fits(self, customer: CustomerRule, tokens: int, request: str = "") -> bool:
        """Return whether tokens are within the quota; log a refusal if they are not."""
        if not customer.quota.rate:
            return True
        now = asyncio.get_running_loop().time()
        self._check_pause(now)
        limit, used = (
            self._limit.current_limit(customer, now),
            self.used(customer.name, now),
        )
        remaining = limit - used
        if tokens > remaining or not self._fits_before_exchange(
            customer.name, tokens, remaining, now
        ):
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
            last_second=int(self._ledger.recent_others_usage(name, now)),
            pending=self._pending[name],
            **self._usage_fields(customer, now),
        )

    def _log_usage(self, now: float) -> None:
        """Log the usage of the active customers nearest to their limits."""
        shares = {
            name: self.used(name, now) / self._limit.current_limit(rule, now)
            for name, rule in self._rules.items()
            if rule.quota.rate and self._ledger.own_usage(name, now)
        }
        near = [name for name, share in shares.items() if share >= LOG_USAGE_MIN_SHARE]
        for name in heapq.nlargest(LOG_USAGE_MAX_CUSTOMERS, near, key=shares.get):
            decision("customer-use", **self._usage_fields(self._rules[name], now))

    def _usage_fields(self, customer: CustomerRule, now: float) -> dict:
        """Return a customer's usage and limit as fields of a log line."""
        ledger, name = self._ledger, customer.name
        return {
            "customer": name,
            "limit": int(self._limit.current_limit(customer, now)),
            "used": int(self.used(name, now)),
            "own": int(ledger.own_usage(name, now)),
            "others": int(ledger.others_usage(name, now)),
            "window": self.bounds.quota_window,
            "known_for": round(ledger.known_for(now), 1),
            "kept_known": ledger.listed is not None,
            "instances": self._view.size,
            "silent": self.reachability.unreachable_count(now),
        }

    def settle(self, name: str, tokens: int, used: bool) -> None:
        """End a reservation and count its tokens if they were used."""
        self._pending[name] -= tokens
        if used and tokens:
            self._ledger.add_own(name, tokens, asyncio.get_running_loop().time())

    def used(self, name: str, now: float) -> float:
        """Return the tokens used in the window, with reserved and estimated ones."""
        ledger = self._ledger
        unreported = ledger.recent_others_usage(name, now) * self._max_delay_s
        counted = ledger.own_usage(name, now) + ledger.others_usage(name, now)
        return counted + self._pending[name] + unreported

    @property
    def _max_delay_s(self) -> float:
        """Maximum seconds until an instance receives another instance's usage."""
        return (1 if self._view.is_mesh else RELAYED_HOPS) * SEND_INTERVAL_S

    def _fits_before_exchange(
        self, name: str, tokens: int, remaining: float, now: float
    ) -> bool:
        """Whether the limit holds if all instances use as much before they exchange."""
        ledger = self._ledger
        used_unsent = ledger.group_totals[name] - self._sent_totals.get(name, 0)
        unsent = used_unsent + self._pending[name]
        recent = ledger.recent_others_usage(name, now)
        instance_count = self.reachability.likely_size
        if instance_count == 1:
            return True
        others = ledger.others_usage(name, now)
        has_neighbours = bool(self._neighbours)
        if (
            has_neighbours
            and now >= self._shares_evenly_until
            and AMPLE_FACTOR * (recent * self._max_delay_s + unsent + tokens)
            <= remaining
        ):
            return True
        own = max(0.0, ledger.own_usage(name, now) - used_unsent)
        allowed_share = max(
            UNSENT_SHARES / instance_count,
            own / max(1.0, own + others) if has_neighbours else 0.0,
        )
        return unsent + tokens <= allowed_share * (remaining + unsent)

    def _send_changes(self) -> None:
        """Send changed totals to the neighbours, and periodically all totals."""
        send_all = self._ticks % SEND_ALL_EVERY == 0
        changed = _changed_names(
            self._ledger.group_totals, {} if send_all else self._sent_totals
        )
        changed_all = _changed_names(
            self._ledger.all_totals, {} if send_all else self._sent_all_totals
        )
        if self._neighbours:
            self._sent_totals = dict(self._ledger.group_totals)
            self._sent_all_totals = dict(self._ledger.all_totals)
        for address in self._neighbours:
            scope = self._scope_for(address)
            names = changed_all if scope == UsageScope.ALL else changed
            if names:
                follower = self._followers.get(address, "")
                totals = self._ledger.totals(scope, follower, names)
                usage = Usage(self._incarnation, scope, names, totals)
                self._links.tell(Send(address, usage))

    def _save_usage(self, now: float) -> None:
        """Store the usage of customers near their limits, if this instance has to."""
        if self._usage_worker is None or not self._ledger.knows_history(now):
            return
        if not self._view.has_duty("customers' use", self._address):
            return
        if self.reachability.alive_count < self.reachability.unreachable_count(now):
            # There is one document; the larger side of a partition writes it.
            return
        limits = {
            name: self._limit.full_limit(rule)
            for name, rule in self._rules.items()
            if rule.quota.rate
        }
        document = self._planner.next_document(self._ledger, limits, now)
        if document is not None:
            self._usage_worker.tell(SaveUsage(document))


def _changed_names(totals: dict[str, int], sent_totals: dict[str, int]) -> list[str]:
    return [name for name, total in totals.items() if total != sent_totals.get(name)]
