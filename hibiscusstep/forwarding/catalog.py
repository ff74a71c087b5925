"""hibiscusstep.forwarding.catalog: keeps the routing table and the targets current."""

import asyncio
import logging
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from hibiscusstep.forwarding.model import DiscoveredTarget, RoutingTable
from hibiscusstep.log import decision
from hibiscusstep.mailbox import Tick, Worker
from hibiscusstep.store import Change, Feed, Listing, RevisionExpired

__all__ = [
    "Catalog",
    "SetFollowing",
    "TableUpdate",
    "TargetListing",
    "TargetUpdate",
    "TargetsAnnounced",
]

_LOG = logging.getLogger(__name__)
TICK_S = 0.25
# Longest and shortest duration of one watch call. A waiting one costs no further call;
# a lost connection is noticed when it times out.
WATCH_S, MIN_WATCH_S = 3.0, 0.5
# Seconds from the end of a watch until an unanswered one is given up and all is read.
REPLACE_S = 1.0
RETRY_S = 0.3
# Delay before the next watch call, so that one call returns several changes. A release
# of a new version on 36 targets in 10 s makes about a hundred changes, each of which
# cost a call of every watching instance. The first instance to see a change sends it to
# its peers, so all instances know it as early as before.
BATCH_DELAY_S = 0.3
# Entries that expired during an outage of the store are written again within 2 s of its
# return. An entry that is missing for longer is removed.
EXPIRY_GRACE_S = 2.2


@dataclass(frozen=True, slots=True)
class TableUpdate:
    """A version of the routing table that was read or was sent by a peer."""

    table: RoutingTable


@dataclass(frozen=True, slots=True)
class TargetUpdate:
    """Changes of targets, from the store or from a peer."""

    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class TargetListing:
    """All targets known to a relay, at a revision of the store."""

    listing: Listing


@dataclass(frozen=True, slots=True)
class TargetsAnnounced:
    """Targets announced in responses that they are leaving, or their rate limits.

    This says nothing of the entries in the store.

    Parameters
    ----------
    targets : tuple of DiscoveredTarget
        The targets as known when the requests were sent, with what they announced.
    """

    targets: tuple[DiscoveredTarget, ...]


@dataclass(frozen=True, slots=True)
class SetFollowing:
    """Command to follow the store, or to rely on messages from peers only."""

    store: bool


@dataclass(frozen=True, slots=True)
class _ListRead:
    feed: Feed
    listing: Listing
    recovered: bool


@dataclass(frozen=True, slots=True)
class _ChangesSeen:
    feed: Feed
    changes: list[Change]


class Catalog(Worker):
    """Current routing table and targets, from the store's feeds and from peers.

    The table's version only increases. A target's state is that of the highest revision
    of its newest incarnation. What an incarnation announced in a response to any
    instance holds in addition, whatever its entry says: that it is leaving, until it
    restarts, and its rate limit, until a response changes it. The store may be
    unavailable, and an entry never has the limit. A target that disappears around an
    outage of the store, or around a restore from an older copy, is kept until
    `EXPIRY_GRACE_S` after it.

    Parameters
    ----------
    tables, targets : Feed
        Feeds of the routing table and of the targets' entries.
    on_table : callable of RoutingTable
        Receives each new version.
    on_targets : callable of dict, list of Change
        Receives all targets by name and the changes of entries, whenever a target
        changes.
    on_restart : callable of str
        Receives the name of an incarnation that ended because the target restarted.
    on_announced : callable of list of DiscoveredTarget
        Receives the targets of which something new was announced.
    silence_limit : float
        Seconds within which a connection to the store that went silent is replaced.
    """

    def __init__(
        self,
        tables: Feed,
        targets: Feed,
        on_table: Callable[[RoutingTable], None],
        on_targets: Callable[[dict[str, DiscoveredTarget], list[Change]], None],
        on_restart: Callable[[str], None],
        on_announced: Callable[[list[DiscoveredTarget]], None],
        silence_limit: float = math.inf,
    ) -> None:
        super().__init__("catalog", tick_interval=TICK_S)
        self._feeds = (tables, targets)
        self._tables = tables
        self._on_table = on_table
        self._on_targets = on_targets
        self._on_restart = on_restart
        self._on_announced = on_announced
        self._watch_s = min(WATCH_S, max(MIN_WATCH_S, silence_limit - REPLACE_S))
        self._table: RoutingTable | None = None
        # By ID. `_last_seen` also holds removed targets, as they were seen last;
        # `_removed` holds the revisions of the removals.
        self._targets: dict[str, DiscoveredTarget] = {}
        self._last_seen: dict[str, DiscoveredTarget] = {}
        self._removed: dict[str, int] = {}
        # By name, incarnations with what they announced, by their entry or a response.
        self._announced: dict[str, DiscoveredTarget] = {}
        # By ID, when to remove a target whose entry may only have expired.
        self._pending_removals: dict[str, float] = {}
        self._removals_trusted_at = 0.0
        self._era = 0
        self._follow_tasks: list[asyncio.Task] = []
        self._is_following = False
        self._revision = 0
        # Whether the targets of a complete list were published. Changes from peers may
        # bring all of them before it.
        self._has_published_list = False
        self._answered_at: dict[str, float] = {}

    @property
    def revision(self) -> int:
        """Store revision up to which all targets are known; 0 before the first list."""
        return self._revision

    async def start(self) -> None:
        """Start following the feeds, if enabled."""
        if self._is_following:
            self._start_following()

    async def stop(self) -> None:
        """Stop following the feeds."""
        self._stop_following()

    def _start_following(self) -> None:
        self._follow_tasks = [
            asyncio.create_task(self._follow_feed(feed)) for feed in self._feeds
        ]

    def _stop_following(self) -> None:
        for task in self._follow_tasks:
            task.cancel()
        self._follow_tasks = []

    def _set_following(self, follows: bool) -> None:
        if follows == self._is_following:
            return
        self._is_following = follows
        decision("store-followed" if follows else "store-left-to-relay")
        if follows:
            self._start_following()
        else:
            self._stop_following()

    async def handle(self, message) -> None:
        """Handle lists and changes of the store, messages from peers, and ticks."""
        match message:
            case _ListRead(feed=feed, listing=listing) if feed is self._tables:
                self._apply_tables(listing.items.values())
            case _ListRead(listing=listing, recovered=recovered):
                self._apply_listing(listing, recovered)
            case _ChangesSeen(feed=feed, changes=changes) if feed is self._tables:
                self._apply_tables(change.item for change in changes if change.item)
            case _ChangesSeen(changes=changes):
                self._raise_revision(max(change.revision for change in changes))
                self._apply_changes(changes)
            case TableUpdate(table=table):
                self._apply_tables([table])
            case TargetUpdate(changes=changes):
                self._apply_changes(changes)
            case TargetListing(listing=listing):
                self._apply_listing(listing, recovered=False)
            case TargetsAnnounced(targets=targets):
                self._apply_announced(targets)
            case SetFollowing(store=follows):
                self._set_following(follows)
            case Tick():
                self._remove_pending()

    async def _follow_feed(self, feed: Feed) -> None:
        revision: int | None = None
        was_lost = False
        while True:
            if revision is None:
                listed = await feed.read_all()
                if listed.is_ok():
                    self._record_answer(feed)
                    listing = listed.unwrap()
                    revision = listing.revision
                    self.tell(_ListRead(feed, listing, was_lost))
                    if was_lost:
                        decision("store-regained", feed=feed.name, revision=revision)
                    was_lost = False
                    continue
                error = listed.unwrap_err()
            else:
                seen = await feed.watch(revision, self._watch_s)
                if seen.is_ok():
                    self._record_answer(feed)
                    changes, revision = seen.unwrap()
                    if changes:
                        self.tell(_ChangesSeen(feed, changes))
                        await asyncio.sleep(BATCH_DELAY_S)
                    continue
                revision = None
                error = seen.unwrap_err()
                if isinstance(error, RevisionExpired):
                    decision("store-history-lost", feed=feed.name)
                    continue
            if not was_lost:
                decision("store-lost", feed=feed.name, error=str(error))
            was_lost = True
            await asyncio.sleep(RETRY_S * (0.5 + random.random()))

    def _record_answer(self, feed: Feed) -> None:
        self._answered_at[feed.name] = asyncio.get_running_loop().time()

    def seconds_since_answer(self) -> float:
        """Return the seconds since the store last answered for both feeds."""
        if len(self._answered_at) < len(self._feeds):
            return float("inf")
        now = asyncio.get_running_loop().time()
        return now - min(self._answered_at.values())

    def _apply_tables(self, tables) -> None:
        for table in tables:
            if self._table is None or table.version > self._table.version:
                self._table = table
                ranks = {rule.name: rule.rank for rule in table.customers}
                decision(
                    "configuration-in-force",
                    version=table.version,
                    routes=len(table.routes),
                    customers=ranks,
                )
                self._on_table(table)

    def _apply_listing(self, listing: Listing, recovered: bool) -> None:
        """Apply a complete list.

        Targets that it lacks are removed: at once, or after `EXPIRY_GRACE_S` if their
        entries may only have expired.
        """
        now = asyncio.get_running_loop().time()
        self._raise_revision(listing.revision)
        if recovered or (self._era and listing.era > self._era):
            self._removals_trusted_at = now + EXPIRY_GRACE_S
        self._era = max(self._era, listing.era)
        removed = [
            Change(name, None, listing.revision)
            for name, target in self._targets.items()
            if name not in listing.items and target.revision <= listing.revision
        ]
        present = [
            Change(name, target, target.revision)
            for name, target in listing.items.items()
        ]
        self._apply_changes([*present, *removed])
        if not self._has_published_list:
            self._publish([])

    def _raise_revision(self, revision: int) -> None:
        """Raise the revision up to which all changes are known.

        A peer's change of one target does not raise it: sent on as the revision of a
        complete list, it would make peers remove targets that the list still lacks.
        """
        self._revision = max(self._revision, revision)

    def _apply_changes(self, changes) -> None:
        now = asyncio.get_running_loop().time()
        applied = []
        for change in changes:
            if change.item is None:
                if self._remove(change, now):
                    applied.append(change)
            elif self._apply_target(change.name, change.item):
                merged = self._targets[change.name]
                applied.append(Change(change.name, merged, merged.revision))
        if applied:
            self._publish(applied)

    def _apply_target(self, name: str, target: DiscoveredTarget) -> bool:
        last = self._last_seen.get(name)
        target = _with_known_incarnation(target, last)
        if last and target.incarnation < last.incarnation:
            return False
        self._pending_removals.pop(name, None)
        target = self._merge_announced(target)
        known = self._targets.get(name)
        if known and self._only_announced_is_new(known, target):
            target = known.merge_announced(target)
        elif known == target or self._removed.get(name, -1) >= target.revision:
            return False
        elif known and known.revision >= target.revision:
            return False
        if last and target.incarnation > last.incarnation:
            self._report_restart(last, target)
            known = None
        self._targets[name] = self._last_seen[name] = target
        _log_changes(known, target)
        return True

    def _merge_announced(self, target: DiscoveredTarget) -> DiscoveredTarget:
        """Return a target with all that its incarnation has announced so far."""
        announced = self._announced.get(target.name)
        if announced:
            target = target.merge_announced(announced)
        if target.has_announced:
            self._announced[target.name] = target
        return target

    def _only_announced_is_new(
        self, known: DiscoveredTarget, update: DiscoveredTarget
    ) -> bool:
        """Return whether only what the incarnation announced is new in an update."""
        is_older = update.revision <= known.revision
        is_same = update.name == known.name
        return is_same and is_older and known.merge_announced(update) != known

    def _apply_announced(self, targets: tuple[DiscoveredTarget, ...]) -> None:
        """Apply what incarnations announced, also of ones that are not known yet."""
        changed = []
        for target in targets:
            last = self._last_seen.get(target.id)
            target = _with_known_incarnation(target, last)
            if last and target.incarnation < last.incarnation:
                continue
            self._merge_announced(target)
            known = self._targets.get(target.id)
            if known is None or known.name != target.name:
                continue
            merged = known.merge_announced(target)
            if merged != known:
                self._targets[target.id] = self._last_seen[target.id] = merged
                _log_changes(known, merged)
                changed.append(merged)
        if changed:
            self._publish([])
            self._on_announced(changed)

    def _report_restart(self, last: DiscoveredTarget, target: DiscoveredTarget) -> None:
        """Report that an incarnation ended, with every request that ran on it."""
        decision(
            "target-restarted",
            target=target.name,
            before=last.name,
            pool=target.pool,
            revision=target.revision,
        )
        self._on_restart(last.name)

    def _remove(self, change: Change, now: float) -> bool:
        known = self._targets.get(change.name)
        if known is None:
            # Received out of order: an older state of the entry may still arrive.
            before = self._removed.get(change.name, -1)
            self._removed[change.name] = max(before, change.revision)
            return False
        if known.revision > change.revision:
            return False
        if now < self._removals_trusted_at:
            self._pending_removals.setdefault(change.name, self._removals_trusted_at)
            return False
        self._removed[change.name] = change.revision
        del self._targets[change.name]
        self._pending_removals.pop(change.name, None)
        decision("target-gone", target=known.name, revision=change.revision)
        return True

    def _remove_pending(self) -> None:
        now = asyncio.get_running_loop().time()
        due = [name for name, at in self._pending_removals.items() if at <= now]
        if due:
            self._apply_changes(
                [
                    Change(name, None, self._targets[name].revision)
                    for name in due
                    if name in self._targets
                ]
            )
        for name in due:
            self._pending_removals.pop(name, None)

    def _publish(self, changes: list[Change]) -> None:
        self._has_published_list = self._revision > 0
        targets = {target.name: target for target in self._targets.values()}
        self._on_targets(targets, changes)


def _with_known_incarnation(
    target: DiscoveredTarget, last: DiscoveredTarget | None
) -> DiscoveredTarget:
    """Return a target; one whose start is not given, with the start seen last."""
    if last and last.incarnation and not target.incarnation:
        return replace(target, incarnation=last.incarnation)
    return target


def _log_changes(before: DiscoveredTarget | None, target: DiscoveredTarget) -> None:
    """Log a new state of a target; `before` is None if its incarnation is new."""
    fields = {
        "target": target.name,
        "pool": target.pool,
        "address": target.address,
        "revision": target.revision,
    }
    if before is None or before.leaving != target.leaving:
        decision("target-leaving" if target.leaving else "target-seen", **fields)
    limit = target.rate_limit.per_second
    limit_before = before.rate_limit.per_second if before else None
    if limit != limit_before:
        message = "target-unlimited" if limit is None else "target-limited"
        limits = {"rate_limit": limit, "rate_limit_before": limit_before}
        decision(message, **fields, **limits)
    limit = target.rejection_limit.per_second
    limit_before = before.rejection_limit.per_second if before else None
    if limit != limit_before:
        message = f"target-rejections-{'unlimited' if limit is None else 'limited'}"
        limits = {"rejection_limit": limit, "rejection_limit_before": limit_before}
        decision(message, **fields, **limits)
