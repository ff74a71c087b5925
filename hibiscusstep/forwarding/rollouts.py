"""hibiscusstep.forwarding.rollouts: operators' orders to change a pool's version."""

import asyncio
import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from hibiscusstep.errors import PlatformConflict, PlatformNotFound
from hibiscusstep.forwarding.kept_rollouts import (
    KeptRollout,
    from_document,
    to_document,
)
from hibiscusstep.forwarding.model import DiscoveredTarget
from hibiscusstep.forwarding.rollout_book import RolloutBook
from hibiscusstep.log import decision
from hibiscusstep.mailbox import Tick, Worker
from hibiscusstep.membership.mesh import ViewChanged
from hibiscusstep.membership.neighbours import Neighbours
from hibiscusstep.membership.view import View, rendezvous_hash
from hibiscusstep.peer import Received, RolloutRecord, RolloutRecords, RolloutWrite
from hibiscusstep.rollout.news import RolloutNews
from hibiscusstep.rollout.order import RolloutOrder, RolloutState
from hibiscusstep.store import RevisionExpired, RolloutStore

__all__ = ["RolloutKeeper", "TargetsChanged"]

TICK_S = 0.25
# So many instances, beside the pools' dispatchers, follow the orders in the store.
FOLLOWERS = 2
# A watch that waits costs one call; a lost path is noticed when it is over.
WATCH_S = 6.0
RETRY_S = 0.3
# What a dispatcher did is told to the others, and kept, so often while an order runs.
TELL_INTERVAL_S = 1.0
KEEP_INTERVAL_S = 2.0
# Where the store does not tell by then which version serves, it is guessed.
GUESS_AFTER_S = 1.5
# The completion is written so long before the deadline, and longer by the time that
# calls of the store take.
LEAD_S, LEAD_CALLS, MAX_LEAD_S = 0.2, 3.0, 2.0
# A status that could not be written is tried again after so long.
WRITE_AGAIN_S = 0.5
# What the operator wrote is there again so soon after a restore of the store.
LAPSE_GRACE_S = 2.2
# Weight of the last call in the time that calls take.
CALL_LEARN = 0.5
_DUTY = "rollouts"


@dataclass(frozen=True, slots=True)
class TargetsChanged:
    """All targets, where all are known."""

    targets: tuple[DiscoveredTarget, ...]


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
class _Kept:
    pool: str
    document: dict | None


class RolloutKeeper(Worker):
    """Follows the orders, tells the other instances, and writes what became of them.

    A pool's dispatcher carries an order out; this keeps what must outlive it: the order
    and its status in the store, how far it came in a document beside it, and with all
    other instances what each of them knows.

    Parameters
    ----------
    name, address : str
        Own name and peer address.
    links : Worker
        Sends to peers.
    store : RolloutStore
        Has the orders.
    on_change : callable
        Is called when a pool's versions or order changed.

    Attributes
    ----------
    book : RolloutBook
        What is known; read by the plan for the dispatchers.
    """

    def __init__(
        self,
        name: str,
        address: str,
        links: Worker,
        store: RolloutStore,
        on_change: Callable[[], None],
    ) -> None:
        super().__init__("rollouts", tick_interval=TICK_S)
        self._own_name = name
        self._store = store
        self._on_change = on_change
        self._view = View(role_known=False)
        self._neighbours = Neighbours(address, links)
        self._following: asyncio.Task | None = None
        self._reading: asyncio.Task | None = None
        self._writing: dict[str, asyncio.Task] = {}
        self._keeping: asyncio.Task | None = None
        self._asked_kept: set[str] = set()
        self._ambiguous_since: float | None = None
        self._told_at = self._kept_at = 0.0
        self._call_s = 0.0
        self._era = 0
        self._trusted_at = 0.0
        self._write_again_at = 0.0
        self._barred: dict[str, frozenset[str]] = {}
        self.book = RolloutBook()

    @property
    def lead(self) -> float:
        """Seconds before a deadline at which a completion has to be written."""
        return min(MAX_LEAD_S, LEAD_S + LEAD_CALLS * self._call_s)

    def listing(self) -> list[dict]:
        """Return what operators are told of each pool."""
        now = _now()
        return [
            {
                "pool": pool,
                "serving": sorted(known.serving),
                "barred": sorted(self.book.barred(pool)),
                "order": known.order.version if known.order else None,
                "state": known.order.state if known.order else None,
                "decided": known.final,
                "seconds_left": (
                    round(known.began + known.order.duration - now, 2)
                    if known.is_running
                    else None
                ),
                "requests": known.progress.requests,
                "exposed": known.progress.exposed,
            }
            for pool, known in ((pool, self.book[pool]) for pool in self.book)
        ]

    async def stop(self) -> None:
        """End what is under way."""
        tasks = (self._following, self._reading, self._keeping, *self._writing.values())
        for task in tasks:
            if task:
                task.cancel()

    async def handle(self, message) -> None:
        """Take orders of the store, what peers and dispatchers tell, or a tick."""
        now = _now()
        match message:
            case TargetsChanged(targets=targets):
                if self.book.take_targets(targets, now):
                    self._note_barred()
                    self._on_change()
                    self._follow_or_not()
            case Received(sender=sender, message=RolloutRecords(records=records)):
                self._take_records(records, sender, now)
            case Received(message=RolloutWrite() as wish):
                self._write_for_another(wish)
            case ViewChanged(view=view):
                self._take_view(view, now)
            case RolloutNews() as news:
                self._take_news(news, now)
            case _Listed() as listed:
                self._take_listing(listed, now)
            case _Changed(changes=changes):
                for change in changes:
                    self._take_change(change.name, change.item, change.revision, now)
            case _Written(order=order):
                self._take_written(order, now)
            case _WriteFailed(pool=pool, is_conflict=conflict):
                self._take_failed_write(pool, conflict)
            case _Kept(pool=pool, document=document):
                self._take_kept(pool, document, now)
            case Tick():
                self._take_tick(now)

    # Orders of the store.

    def _take_listing(self, listed: _Listed, now: float) -> None:
        if self._era and listed.era > self._era:
            self._trusted_at = now + LAPSE_GRACE_S
        self._era = max(self._era, listed.era)
        for pool in self.book:
            if pool not in listed.orders and now >= self._trusted_at:
                self._take_change(pool, None, listed.revision, now)
        for pool, order in listed.orders.items():
            self._take_change(pool, order, order.revision, now)
        for pool in self.book.ambiguous():
            self.book.guess(pool, now)
            self._log_guess(pool)
        self._on_change()

    def _take_change(self, pool: str, order, revision: int, now: float) -> None:
        if order is None:
            if self.book.withdraw(pool, revision):
                decision("rollout-withdrawn", pool=pool, revision=revision)
                self._publish([pool], now)
            return
        number = self.book[pool].number
        if self.book.take_order(order, now):
            if self.book[pool].number != number:
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
            serving=sorted(self.book[order.pool].serving),
            revision=order.revision,
        )

    def _log_guess(self, pool: str) -> None:
        serving = sorted(self.book[pool].serving)
        decision("version-guessed", pool=pool, serving=serving)

    def _note_barred(self) -> None:
        """Log once which versions of a pool get nothing since no order names them."""
        for pool in self.book:
            barred = self.book.barred(pool)
            if barred and self._barred.get(pool) != barred:
                decision("version-barred", pool=pool, versions=sorted(barred))
            self._barred[pool] = barred

    def _publish(self, pools: list[str], now: float) -> None:
        """Tell the dispatchers here and the other instances."""
        self._on_change()
        self._tell(self.book.records(now, pools), self._neighbours.addresses)

    # Other instances.

    def _take_records(self, records: list[RolloutRecord], sender: str, now) -> None:
        changed = [r.pool for r in records if self.book.take_record(r, now)]
        running = [r.pool for r in records if self.book[r.pool].is_running]
        # Whoever takes an order over needs how far it came.
        news = list(dict.fromkeys([*changed, *running]))
        if news:
            self._on_change()
            self._tell(
                self.book.records(now, news), self._neighbours.forward_addresses(sender)
            )
        for pool in changed:
            self._write_status(pool)

    def _take_view(self, view: View, now: float) -> None:
        self._view = view
        new = self._neighbours.apply_view(view)
        self._tell(self.book.records(now), new)
        self._follow_or_not()

    def _tell(self, records: list[RolloutRecord], addresses: Iterable[str]) -> None:
        if records:
            self._neighbours.send(RolloutRecords(records), addresses)

    def _dispatches(self, pool: str) -> bool:
        return self._view.dispatcher_of(pool) == self._own_name

    # Following the store.

    def _follow_or_not(self) -> None:
        view = self._view
        chosen = rendezvous_hash(view.eligible, _DUTY, FOLLOWERS)
        # Before anybody is settled each instance reads only if it has to.
        follows = view.role_known and (
            self._own_name in chosen or any(map(self._dispatches, self.book))
        )
        if follows and self._following is None:
            self._following = asyncio.create_task(self._follow())
        elif not follows and self._following is not None:
            self._following.cancel()
            self._following = None

    async def _follow(self) -> None:
        revision: int | None = None
        while True:
            if revision is None:
                revision = await self._read_all()
                if revision is None:
                    await asyncio.sleep(RETRY_S * (0.5 + random.random()))
                continue
            seen = await self._store.feed.watch(revision, WATCH_S)
            if seen.is_ok():
                changes, revision = seen.unwrap()
                if changes:
                    self.tell(_Changed(changes))
                continue
            if not isinstance(seen.unwrap_err(), RevisionExpired):
                await asyncio.sleep(RETRY_S * (0.5 + random.random()))
            revision = None

    async def _read_all(self) -> int | None:
        began = _now()
        listed = await self._store.feed.read_all()
        self._note_call(began)
        if listed.is_err():
            return None
        listing = listed.unwrap()
        self.tell(_Listed(listing.items, listing.revision, listing.era))
        return listing.revision

    def _note_call(self, began: float) -> None:
        self._call_s += CALL_LEARN * (_now() - began - self._call_s)

    # The order's status.

    def _take_news(self, news: RolloutNews, now: float) -> None:
        self.book.note_progress(news.pool, news.number, news.progress)
        if news.state is None:
            if now >= self._told_at + TELL_INTERVAL_S:
                self._told_at = now
                self._publish([news.pool], now)
            self._keep(now)
            return
        if self.book.conclude(news.pool, news.number, news.state):
            self._publish([news.pool], now)
            self._keep(now, at_once=True)
            self._write_status(news.pool)

    def _write_status(self, pool: str) -> None:
        """Write the status of an order that this instance carries out."""
        known = self.book[pool]
        state = known.wanted_state
        if state is None or _now() < self._write_again_at:
            return
        if not self._dispatches(pool):
            return
        task = self._writing.get(pool)
        if task is None or task.done():
            self._writing[pool] = asyncio.create_task(self._write(known.order, state))

    async def _write(self, order: RolloutOrder, state: RolloutState) -> None:
        began = _now()
        written = await self._store.write_state(order, state)
        self._note_call(began)
        if written.is_ok():
            self.tell(_Written(written.unwrap()))
            return
        error = written.unwrap_err()
        decision("rollout-status-not-written", pool=order.pool, error=str(error))
        conflict = isinstance(error, PlatformConflict | PlatformNotFound)
        self.tell(_WriteFailed(order.pool, conflict))

    def _take_written(self, order: RolloutOrder, now: float) -> None:
        decision(
            "rollout-status-written",
            pool=order.pool,
            version=order.version,
            state=str(order.state),
            revision=order.revision,
        )
        if self.book.take_order(order, now):
            self._publish([order.pool], now)

    def _take_failed_write(self, pool: str, is_conflict: bool) -> None:
        self._write_again_at = _now() + WRITE_AGAIN_S
        if is_conflict:
            self._read_again()
            return
        known = self.book[pool]
        state = known.wanted_state
        others = self._neighbours.addresses
        if state and others and self._dispatches(pool):
            order = known.order
            wish = RolloutWrite(pool, order.revision, order.version, str(state))
            self._neighbours.send(wish, [random.choice(others)])

    def _write_for_another(self, wish: RolloutWrite) -> None:
        """Write a status for a dispatcher that can't reach the store."""
        order = self.book[wish.pool].order
        task = self._writing.get(wish.pool)
        same = order and (order.revision, order.version) == (
            wish.revision,
            wish.version,
        )
        if same and (task is None or task.done()):
            state = RolloutState(wish.state)
            self._writing[wish.pool] = asyncio.create_task(self._write(order, state))

    def _read_again(self) -> None:
        if self._reading is None or self._reading.done():
            self._reading = asyncio.create_task(self._read_all())

    # What is kept for after a restart of all.

    def _keep(self, now: float, *, at_once: bool = False) -> None:
        if self._keeping and not self._keeping.done():
            return
        pools = [pool for pool in self.book.running if self._dispatches(pool)]
        if pools and (at_once or now >= self._kept_at + KEEP_INTERVAL_S):
            self._kept_at = now
            self._keeping = asyncio.create_task(self._write_kept(pools))

    async def _write_kept(self, pools: list[str]) -> None:
        for pool in pools:
            known = self.book[pool]
            if known.order is None:
                continue
            began = time.time() - (_now() - known.began)
            kept = KeptRollout(known.order.version, began, known.progress)
            document = to_document(kept)
            written = await self._store.write_progress(pool, document)
            if written.is_err():
                decision("rollout-not-kept", pool=pool, error=str(written.unwrap_err()))

    def _ask_kept(self, pool: str) -> None:
        if pool not in self._asked_kept:
            self._asked_kept.add(pool)
            self._keeping = asyncio.create_task(self._read_kept(pool))

    async def _read_kept(self, pool: str) -> None:
        reply = await self._store.read_progress(pool)
        if reply.is_err():
            self._asked_kept.discard(pool)
            return
        self.tell(_Kept(pool, reply.unwrap()))

    def _take_kept(self, pool: str, document: dict | None, now: float) -> None:
        known = self.book[pool]
        kept = from_document(pool, document)
        if kept is None or not known.order or kept.version != known.order.version:
            return
        age = min(max(0.0, time.time() - kept.began), known.order.duration)
        self.book.resume(pool, known.number, age, kept.progress, now)
        exposed = kept.progress.exposed
        decision("rollout-resumed", pool=pool, age=round(age, 2), exposed=exposed)
        self._on_change()

    # Time.

    def _take_tick(self, now: float) -> None:
        self._read_if_ambiguous(now)
        if self._trusted_at and now >= self._trusted_at:
            # What a restored store lacked for longer was withdrawn.
            self._trusted_at = 0.0
            self._read_again()
        for pool in self.book:
            known = self.book[pool]
            if known.is_running and not known.progress.is_known:
                self._ask_kept(pool)
            self._write_status(pool)

    def _read_if_ambiguous(self, now: float) -> None:
        """Find which of several versions serves, where no peer told it."""
        ambiguous = self.book.ambiguous()
        if not ambiguous:
            self._ambiguous_since = None
            return
        if self._ambiguous_since is None:
            self._ambiguous_since = now
        self._read_again()
        if now >= self._ambiguous_since + GUESS_AFTER_S:
            for pool in ambiguous:
                self.book.guess(pool, now)
                self._log_guess(pool)
            self._on_change()


def _now() -> float:
    return asyncio.get_running_loop().time()
