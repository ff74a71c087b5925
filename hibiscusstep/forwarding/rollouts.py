"""hibiscusstep.forwarding.rollouts: tracking of operators' rollout orders."""

import asyncio
import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from hibiscusstep.errors import PlatformConflict, PlatformNotFound
from hibiscusstep.forwarding.begun_versions_sync import (
    BegunVersionsSync,
    VersionsStored,
)
from hibiscusstep.forwarding.model import DiscoveredTarget
from hibiscusstep.forwarding.pool_versions import (
    NO_VERSIONS,
    PoolVersionTable,
    VersionSource,
)
from hibiscusstep.forwarding.saved_rollouts import (
    SavedRollout,
    from_document,
    to_document,
)
from hibiscusstep.log import decision
from hibiscusstep.mailbox import Tick, Worker
from hibiscusstep.membership.mesh import ViewChanged
from hibiscusstep.membership.neighbours import Neighbours
from hibiscusstep.membership.view import View, rendezvous_hash
from hibiscusstep.peer import Received, RolloutRecord, RolloutRecords, RolloutWrite
from hibiscusstep.rollout.order import RolloutOrder, RolloutState
from hibiscusstep.rollout.rollout_update import RolloutUpdate
from hibiscusstep.routing.stream_versions import VersionsConfirmed
from hibiscusstep.store import (
    RevisionExpired,
    RolloutStore,
    StoreRestored,
    StreamStore,
)

__all__ = ["ConfirmVersions", "RolloutCoordinator", "TargetsChanged"]

TICK_S = 0.25
# Number of instances, in addition to the pools' dispatchers, that watch the store.
STORE_FOLLOWERS = 2
# A pending watch costs one call; a lost connection is noticed when it times out.
WATCH_TIMEOUT_S = 6.0
RETRY_S = 0.3
# While an order runs, its progress is sent to the other instances and saved in the
# store at these intervals.
PUBLISH_INTERVAL_S = 1.0
SAVE_INTERVAL_S = 2.0
# Interval at which the state of pools is sent to a random neighbour again, since a
# message may be lost with its connection.
RESEND_INTERVAL_S = 1.0
# Seconds before the deadline at which the completion is written, plus a multiple of the
# average time of a store call; at most `MAX_LEAD_S`.
BASE_LEAD_S, LEAD_CALLS, MAX_LEAD_S = 0.2, 3.0, 2.0
# Delay before a failed status write is retried.
WRITE_RETRY_S = 0.5
# After a restore of the store, operators' orders are back within this time.
RESTORE_GRACE_S = 2.2
# Weight of the last call in the average time of store calls.
CALL_TIME_WEIGHT = 0.5
_RENDEZVOUS_KEY = "rollouts"


@dataclass(frozen=True, slots=True)
class TargetsChanged:
    """The known targets, and whether these are all."""

    targets: tuple[DiscoveredTarget, ...]
    is_complete: bool = True


@dataclass(frozen=True, slots=True)
class ConfirmVersions:
    """Request to read from the store which versions began the streams of a pool."""

    pool: str


@dataclass(frozen=True, slots=True)
class _Listed:
    orders: dict[str, RolloutOrder]
    revision: int
    era: int


@dataclass(frozen=True, slots=True)
class _Changed:
    changes: list


@dataclass(frozen=True, slots=True)
class _Written:
    order: RolloutOrder


@dataclass(frozen=True, slots=True)
class _WriteFailed:
    pool: str
    is_conflict: bool


@dataclass(frozen=True, slots=True)
class _SavedRead:
    pool: str
    document: dict | None


class RolloutCoordinator(Worker):
    """Tracks the orders, shares them with the other instances and writes their status.

    A pool's dispatcher carries an order out. This worker keeps the state that has to
    outlive the dispatcher: the order and its status in the store, its progress in a
    document beside it, and a copy of both in all other instances.

    Parameters
    ----------
    name, address : str
        Own name and peer address.
    links : Worker
        Sends messages to peers.
    store : RolloutStore
        Store of the orders.
    stream_store : StreamStore
        Store of the versions that began streams.
    on_change : callable
        Called when a pool's versions or order have changed.
    on_confirmed : callable of VersionsConfirmed
        Called after it when the versions that began streams were read.
    started_at : float
        When this instance started, on the event loop's clock.
    is_first_start : bool
        Whether no instance of the system ran before.
    orders_rollouts : bool
        Whether operators order rollouts.

    Attributes
    ----------
    version_table : PoolVersionTable
        Versions and orders of all pools; the plan for the dispatchers is made from it.
    """

    def __init__(
        self,
        name: str,
        address: str,
        links: Worker,
        store: RolloutStore,
        stream_store: StreamStore,
        on_change: Callable[[], None],
        on_confirmed: Callable[[VersionsConfirmed], None],
        started_at: float,
        *,
        is_first_start: bool,
        orders_rollouts: bool,
    ) -> None:
        super().__init__("rollouts", tick_interval=TICK_S)
        self._own_name = name
        self._store = store
        self._on_change = on_change
        self._on_confirmed = on_confirmed
        self._view = View(role_known=False)
        self._neighbours = Neighbours(address, links)
        self._follow_task: asyncio.Task | None = None
        self._read_task: asyncio.Task | None = None
        self._write_tasks: dict[str, asyncio.Task] = {}
        self._save_task: asyncio.Task | None = None
        self._requested_saved_pools: set[str] = set()
        # Pools whose last progress is to be saved: without the evidence of a verdict
        # whose status the store refuses, a restart of all would try the version anew.
        self._unsaved_verdicts: set[str] = set()
        self._published_at = self._saved_at = self._resent_at = 0.0
        self._call_s = 0.0
        self._era = 0
        self._restore_settled_at = 0.0
        self._write_retry_at = 0.0
        self._logged_barred: dict[str, frozenset[str]] = {}
        self._logged_current: dict[str, frozenset[str]] = {}
        self._unserved: set[str] = set()
        self.version_table = PoolVersionTable(
            started_at,
            orders_rollouts=orders_rollouts,
            unix_offset=time.time() - _now(),
        )
        self._is_first_start = is_first_start
        self._begun_sync = BegunVersionsSync(
            name, stream_store, self.version_table, self.tell
        )

    @property
    def completion_lead_s(self) -> float:
        """Seconds before a deadline at which a completion has to be written."""
        return min(MAX_LEAD_S, BASE_LEAD_S + LEAD_CALLS * self._call_s)

    def stream_origins(self, pool: str) -> frozenset[str]:
        """Return the versions that may have begun a stream that is resumed now."""
        return self.version_table[pool].begun.origins(_now())

    def pool_summaries(self) -> list[dict]:
        """Return a summary of each pool for operators."""
        now = _now()
        return [
            {
                "pool": pool,
                "serving": sorted(entry.serving),
                "stream_origins": sorted(entry.begun.origins(now)),
                "source": str(entry.source),
                "unserved": self.version_table.is_unserved(pool),
                "barred": sorted(self.version_table.barred_versions(pool)),
                "order": entry.order.version if entry.order else None,
                "state": entry.order.state if entry.order else None,
                "decided": entry.final,
                "seconds_left": (
                    round(entry.began + entry.order.duration - now, 2)
                    if entry.is_running
                    else None
                ),
                "requests": entry.progress.requests,
                "exposed": entry.progress.exposed,
            }
            for pool, entry in (
                (pool, self.version_table[pool]) for pool in self.version_table
            )
        ]

    async def start(self) -> None:
        """Start reading which versions began streams."""
        self._begun_sync.start()

    async def stop(self) -> None:
        """Cancel all tasks."""
        self._begun_sync.stop()
        tasks = (
            self._follow_task,
            self._read_task,
            self._save_task,
            *self._write_tasks.values(),
        )
        for task in tasks:
            if task:
                task.cancel()

    async def handle(self, message) -> None:
        """Handle a message of the store's tasks, a peer, a dispatcher, or a tick."""
        now = _now()
        match message:
            case TargetsChanged(targets=targets, is_complete=is_complete):
                if self.version_table.update_targets(
                    targets, now, is_complete=is_complete
                ):
                    self._log_barred()
                    self._apply_change_here()
                    self._update_following()
                self._log_unserved()
            case Received(sender=sender, message=RolloutRecords(records=records)):
                self._merge_records(records, sender, now)
            case Received(message=RolloutWrite() as request):
                self._write_for_peer(request)
            case ViewChanged(view=view):
                self._update_view(view, now)
            case RolloutUpdate() as update:
                self._handle_progress(update, now)
            case _Listed() as listed:
                self._apply_listing(listed, now)
            case _Changed(changes=changes):
                for change in changes:
                    self._apply_change(change.name, change.item, change.revision, now)
            case _Written(order=order):
                self._handle_written(order, now)
            case _WriteFailed(pool=pool, is_conflict=conflict):
                self._handle_failed_write(pool, conflict)
            case _SavedRead(pool=pool, document=document):
                self._restore_saved(pool, document, now)
            case ConfirmVersions(pool=pool):
                self._begun_sync.confirm(pool)
            case VersionsStored() as stored:
                self._apply_stored_versions(stored, now)
            case StoreRestored():
                for pool in self.version_table:
                    self.version_table[pool].begun.mark_lost()
            case Tick():
                self._handle_tick(now)
        self._begun_sync.update(self._view, now)

    # Versions that began streams.

    def _apply_stored_versions(self, stored: VersionsStored, now: float) -> None:
        if stored.are_all and self._is_first_start:
            self.version_table.assume_no_earlier_streams(stored.versions, now)
        changed = []
        for pool, item in stored.versions.items():
            if self.version_table[pool].begun.apply_stored(item, now):
                changed.append(pool)
                decision(
                    "stream-versions",
                    pool=pool,
                    versions=sorted(item.versions),
                    revision=item.revision,
                    complete=item.is_complete,
                )
        if changed:
            self._publish(changed, now)
            for pool in changed:
                self._write_status(pool)
        elif stored.are_all:
            self._on_change()
        is_first_read = stored.are_all and self._is_first_start
        # The store may have a version that has expired here and serves elsewhere.
        pools = frozenset(
            pool
            for pool, item in stored.versions.items()
            if item.is_complete and item.versions <= self.stream_origins(pool)
        )
        confirmed = None if is_first_read else pools
        self._on_confirmed(VersionsConfirmed(stored.began, confirmed))

    # Orders of the store.

    def _apply_listing(self, listed: _Listed, now: float) -> None:
        if self._era and listed.era > self._era:
            self._restore_settled_at = now + RESTORE_GRACE_S
        self._era = max(self._era, listed.era)
        for pool in self.version_table:
            if pool not in listed.orders and now >= self._restore_settled_at:
                self._apply_change(pool, None, listed.revision, now)
        for pool, order in listed.orders.items():
            self._apply_change(pool, order, order.revision, now)
        guessed = self.version_table.ambiguous_pools()
        for pool in guessed:
            self.version_table.guess_serving(pool, now)
            self._log_guess(pool)
        if guessed:
            self._publish(guessed, now)
        else:
            self._apply_change_here()

    def _apply_change(self, pool: str, order, revision: int, now: float) -> None:
        if order is None:
            if self.version_table.withdraw_order(pool, revision):
                decision("rollout-withdrawn", pool=pool, revision=revision)
                self._publish([pool], now)
            return
        number = self.version_table[pool].number
        if self.version_table.apply_order(order, now):
            if self.version_table[pool].number != number:
                self._log_order(order)
            self._publish([pool], now)
            self._write_status(pool)

    def _log_order(self, order: RolloutOrder) -> None:
        decision(
            "rollout-ordered",
            pool=order.pool,
            version=order.version,
            duration=order.duration,
            state=str(order.state or ""),
            serving=sorted(self.version_table[order.pool].serving),
            revision=order.revision,
        )

    def _log_guess(self, pool: str) -> None:
        serving = sorted(self.version_table[pool].serving)
        decision("version-guessed", pool=pool, serving=serving)

    def _log_barred(self) -> None:
        """Log once which versions of a pool are barred since no order names them."""
        for pool in self.version_table:
            barred = self.version_table.barred_versions(pool)
            if barred and self._logged_barred.get(pool) != barred:
                decision("version-barred", pool=pool, versions=sorted(barred))
            self._logged_barred[pool] = barred

    def _log_current(self, sender: str) -> None:
        """Log which versions of pools are current, and from whom, if that changed."""
        for pool in self.version_table:
            versions = self.version_table.serving_versions(pool) - NO_VERSIONS
            before = self._logged_current.get(pool, frozenset())
            if versions == before:
                continue
            self._logged_current[pool] = versions
            source = self.version_table[pool].source
            decision(
                "versions-current",
                pool=pool,
                versions=sorted(versions),
                before=sorted(before),
                source=str(source),
                sender=sender if source is VersionSource.PEER else "",
            )

    def _log_unserved(self) -> None:
        """Log when a pool has ready targets of barred versions only, and when not."""
        for pool in self.version_table:
            is_unserved = self.version_table.is_unserved(pool)
            if is_unserved == (pool in self._unserved):
                continue
            (self._unserved.add if is_unserved else self._unserved.discard)(pool)
            decision(
                "pool-without-version" if is_unserved else "pool-with-version",
                pool=pool,
                serving=sorted(self.version_table[pool].serving),
                rejected=self.version_table.rejected_version(pool) or "",
            )

    def _apply_change_here(self, sender: str = "") -> None:
        """Send the state of all pools to the local dispatchers."""
        self._log_current(sender)
        self._on_change()

    def _publish(self, pools: list[str], now: float) -> None:
        """Send the state of pools to the local dispatchers and the other instances."""
        self._apply_change_here()
        if pools:
            self._send_records(
                self.version_table.records(now, pools), self._neighbours.addresses
            )

    # Other instances.

    def _merge_records(self, records: list[RolloutRecord], sender: str, now) -> None:
        changed = [r.pool for r in records if self.version_table.merge_record(r, now)]
        running = [r.pool for r in records if self.version_table[r.pool].is_running]
        # An instance that takes an order over needs its progress.
        to_send = list(dict.fromkeys([*changed, *running]))
        if to_send:
            self._apply_change_here(sender)
            self._send_records(
                self.version_table.records(now, to_send),
                self._neighbours.forward_addresses(sender),
            )
        for pool in changed:
            self._write_status(pool)

    def _update_view(self, view: View, now: float) -> None:
        self._view = view
        new = self._neighbours.apply_view(view)
        self._send_records(self.version_table.records(now), new)
        self._update_following()

    def _send_records(
        self, records: list[RolloutRecord], addresses: Iterable[str]
    ) -> None:
        if records:
            self._neighbours.send(RolloutRecords(records), addresses)

    def _dispatches(self, pool: str) -> bool:
        return self._view.dispatcher_of(pool) == self._own_name

    # Following the store.

    def _update_following(self) -> None:
        """Start or stop watching the store as the view requires."""
        view = self._view
        chosen = rendezvous_hash(view.eligible, _RENDEZVOUS_KEY, STORE_FOLLOWERS)
        # Until an instance knows its role, it reads the store only if it has to.
        follows = view.role_known and (
            self._own_name in chosen or any(map(self._dispatches, self.version_table))
        )
        if follows and self._follow_task is None:
            self._follow_task = asyncio.create_task(self._follow())
        elif not follows and self._follow_task is not None:
            self._follow_task.cancel()
            self._follow_task = None

    async def _follow(self) -> None:
        revision: int | None = None
        while True:
            if revision is None:
                revision = await self._read_all()
                if revision is None:
                    await asyncio.sleep(RETRY_S * (0.5 + random.random()))
                continue
            watched = await self._store.feed.watch(revision, WATCH_TIMEOUT_S)
            if watched.is_ok():
                changes, revision = watched.unwrap()
                if changes:
                    self.tell(_Changed(changes))
                continue
            if not isinstance(watched.unwrap_err(), RevisionExpired):
                await asyncio.sleep(RETRY_S * (0.5 + random.random()))
            revision = None

    async def _read_all(self) -> int | None:
        began = _now()
        listed = await self._store.feed.read_all()
        self._record_call_time(began)
        if listed.is_err():
            return None
        listing = listed.unwrap()
        self.tell(_Listed(listing.items, listing.revision, listing.era))
        return listing.revision

    def _record_call_time(self, began: float) -> None:
        self._call_s += CALL_TIME_WEIGHT * (_now() - began - self._call_s)

    # The order's status.

    def _handle_progress(self, update: RolloutUpdate, now: float) -> None:
        self.version_table.set_progress(update.pool, update.number, update.progress)
        if update.state is None:
            if now >= self._published_at + PUBLISH_INTERVAL_S:
                self._published_at = now
                self._publish([update.pool], now)
            self._save_progress(now)
            return
        if self.version_table.conclude(update.pool, update.number, update.state):
            self._publish([update.pool], now)
            self._unsaved_verdicts.add(update.pool)
            self._save_progress(now)
            self._write_status(update.pool)

    def _write_status(self, pool: str) -> None:
        """Write the status of an order that this instance carries out."""
        entry = self.version_table[pool]
        state = entry.state_to_write
        if state is None or _now() < self._write_retry_at:
            return
        if not self._dispatches(pool):
            return
        # A version begins no streams before it is in the store.
        if state is RolloutState.RUNNING and entry.order.version in entry.begun.missing:
            return
        task = self._write_tasks.get(pool)
        if task is None or task.done():
            self._write_tasks[pool] = asyncio.create_task(
                self._write(entry.order, state)
            )

    async def _write(self, order: RolloutOrder, state: RolloutState) -> None:
        began = _now()
        written = await self._store.write_state(order, state)
        self._record_call_time(began)
        if written.is_ok():
            self.tell(_Written(written.unwrap()))
            return
        error = written.unwrap_err()
        decision("rollout-status-not-written", pool=order.pool, error=str(error))
        conflict = isinstance(error, PlatformConflict | PlatformNotFound)
        self.tell(_WriteFailed(order.pool, conflict))

    def _handle_written(self, order: RolloutOrder, now: float) -> None:
        decision(
            "rollout-status-written",
            pool=order.pool,
            version=order.version,
            state=str(order.state),
            revision=order.revision,
        )
        if self.version_table.apply_order(order, now):
            self._publish([order.pool], now)

    def _handle_failed_write(self, pool: str, is_conflict: bool) -> None:
        """Read the orders again after a conflict; else let a peer write the status."""
        self._write_retry_at = _now() + WRITE_RETRY_S
        if is_conflict:
            self._start_read()
            return
        entry = self.version_table[pool]
        state = entry.state_to_write
        others = self._neighbours.addresses
        if state and others and self._dispatches(pool):
            order = entry.order
            request = RolloutWrite(pool, order.revision, order.version, str(state))
            self._neighbours.send(request, [random.choice(others)])

    def _write_for_peer(self, request: RolloutWrite) -> None:
        """Write a status for a dispatcher that cannot reach the store."""
        order = self.version_table[request.pool].order
        task = self._write_tasks.get(request.pool)
        same = order and (order.revision, order.version) == (
            request.revision,
            request.version,
        )
        if same and (task is None or task.done()):
            state = RolloutState(request.state)
            self._write_tasks[request.pool] = asyncio.create_task(
                self._write(order, state)
            )

    def _start_read(self) -> None:
        if self._read_task is None or self._read_task.done():
            self._read_task = asyncio.create_task(self._read_all())

    # Saved progress, for a restart of all instances.

    def _save_progress(self, now: float) -> None:
        """Save the progress of running orders at intervals, and each verdict's once."""
        if self._save_task and not self._save_task.done():
            return
        pools, self._unsaved_verdicts = self._unsaved_verdicts, set()
        if now >= self._saved_at + SAVE_INTERVAL_S:
            running = self.version_table.running_pools
            pools |= {pool for pool in running if self._dispatches(pool)}
        if pools:
            self._saved_at = now
            self._save_task = asyncio.create_task(self._write_saved(sorted(pools)))

    async def _write_saved(self, pools: list[str]) -> None:
        for pool in pools:
            entry = self.version_table[pool]
            if entry.order is None:
                continue
            began = time.time() - (_now() - entry.began)
            saved = SavedRollout(entry.order.version, began, entry.progress)
            document = to_document(saved)
            written = await self._store.write_progress(pool, document)
            if written.is_err():
                decision("rollout-not-kept", pool=pool, error=str(written.unwrap_err()))
                if entry.final and entry.state_to_write:
                    self._unsaved_verdicts.add(pool)

    def _request_saved(self, pool: str) -> None:
        if pool not in self._requested_saved_pools:
            self._requested_saved_pools.add(pool)
            self._save_task = asyncio.create_task(self._read_saved(pool))

    async def _read_saved(self, pool: str) -> None:
        reply = await self._store.read_progress(pool)
        if reply.is_err():
            self._requested_saved_pools.discard(pool)
            return
        self.tell(_SavedRead(pool, reply.unwrap()))

    def _restore_saved(self, pool: str, document: dict | None, now: float) -> None:
        entry = self.version_table[pool]
        saved = from_document(pool, document)
        if saved is None or not entry.order or saved.version != entry.order.version:
            return
        age = min(max(0.0, time.time() - saved.began), entry.order.duration)
        self.version_table.restore_progress(
            pool, entry.number, age, saved.progress, now
        )
        exposed = saved.progress.exposed
        decision("rollout-resumed", pool=pool, age=round(age, 2), exposed=exposed)
        self._apply_change_here()

    # Periodic work.

    def _handle_tick(self, now: float) -> None:
        self._resolve_ambiguous(now)
        self._log_unserved()
        self._resend(now)
        if self._unsaved_verdicts and now >= self._saved_at + SAVE_INTERVAL_S:
            self._save_progress(now)
        if self.version_table.update_begun(now):
            self._on_change()
        if self._restore_settled_at and now >= self._restore_settled_at:
            # An order that a restored store still lacks was withdrawn.
            self._restore_settled_at = 0.0
            self._start_read()
        for pool in self.version_table:
            entry = self.version_table[pool]
            if entry.is_running and not entry.progress.is_known:
                self._request_saved(pool)
            self._write_status(pool)

    def _resolve_ambiguous(self, now: float) -> None:
        """Find which versions are current, if neither the store nor a peer tells it."""
        if self.version_table.ambiguous_pools():
            self._start_read()
        changed = self.version_table.advance(now)
        for pool in changed:
            if self.version_table[pool].source is VersionSource.GUESS:
                self._log_guess(pool)
        if changed:
            self._log_barred()
            self._publish(changed, now)

    def _resend(self, now: float) -> None:
        """Send the state of all pools to a random neighbour."""
        neighbours = self._neighbours.addresses
        if neighbours and now >= self._resent_at + RESEND_INTERVAL_S:
            self._resent_at = now
            records = self.version_table.records(now)
            self._send_records(records, [random.choice(neighbours)])


def _now() -> float:
    return asyncio.get_running_loop().time()
