"""hibiscusstep.forwarding.pool_versions: current versions and orders of all pools."""

import enum
import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from hibiscusstep.forwarding.begun_versions import BegunVersions
from hibiscusstep.forwarding.model import DiscoveredTarget
from hibiscusstep.peer import RolloutRecord
from hibiscusstep.rollout.budget import ExposureLimits
from hibiscusstep.rollout.controller import PlannedRollout, RolloutProgress
from hibiscusstep.rollout.order import RolloutOrder, RolloutState
from hibiscusstep.store import StoredVersions

__all__ = ["NO_VERSIONS", "PoolVersionTable", "PoolVersions", "VersionSource"]

# Matches no version; used while it is unknown which of several versions is current.
NO_VERSIONS = frozenset({""})
# Time after which one of several versions is taken for current, and time without a
# ready target of a current version after which the other versions become current. With
# the interval between two calls of `advance`, each takes 2 s at the most.
GUESS_AFTER_S = 1.5
REPLACE_AFTER_S = 1.75


class VersionSource(enum.StrEnum):
    """From what it is known which versions of a pool are current."""

    UNKNOWN = "unknown"
    ALL_PRESENT = "all-present"
    ONLY_VERSION = "only-version"
    ORDER = "order"
    GUESS = "guess"
    PEER = "peer"
    NONE_READY = "none-ready"


@dataclass(slots=True, eq=False)
class PoolVersions:
    """A pool's current versions and its order, as far as they are known.

    Parameters
    ----------
    order : RolloutOrder or None
        The operator's order in the store.
    revision : int
        Store revision up to which `order` is known.
    number : int
        Store revision at which the order was new; it identifies the order.
    began : float
        When the order was first seen, on the event loop's clock.
    progress : RolloutProgress
        Progress of the order.
    is_begun : bool
        Whether the store has the status that the order is running. Before that, no
        request may go to its version: an instance that starts later would not ask how
        much of the budget was used.
    final : RolloutState or None
        Final state of the order, whether or not the store has it yet.
    serving : frozenset of str
        Current versions; empty while they are unknown.
    serving_since : int
        Number of the order whose completion made them current; 0 for none.
    serving_began : float
        Unix time at which an instance first took them for current. It is sent along
        with them, so that all instances prefer the same ones.
    source : VersionSource
        From what they are known here.
    undecided_since, unready_since : float or None
        Since when none of several versions is current, and since when no current
        version has a ready target, on the event loop's clock; None if it is not so.
    retired : frozenset of str
        Versions that other ones replaced here since they had no ready target. A record
        of an instance that has not noticed it does not make them current again.
    begun : BegunVersions
        Versions that may have begun streams, and may begin new ones.
    """

    order: RolloutOrder | None = None
    revision: int = 0
    number: int = 0
    began: float = 0.0
    progress: RolloutProgress = field(default_factory=RolloutProgress)
    is_begun: bool = False
    final: RolloutState | None = None
    serving: frozenset[str] = frozenset()
    serving_since: int = 0
    serving_began: float = 0.0
    source: VersionSource = VersionSource.UNKNOWN
    undecided_since: float | None = None
    unready_since: float | None = None
    retired: frozenset[str] = frozenset()
    begun: BegunVersions = field(default_factory=BegunVersions)

    @property
    def has_had_order(self) -> bool:
        """Whether there is an order, or was one that is known of."""
        return self.revision > 0 or self.serving_since > 0

    @property
    def is_running(self) -> bool:
        """Whether there is an order without a final state."""
        return self.order is not None and self.final is None

    @property
    def is_rejected(self) -> bool:
        """Whether the version was found to be bad, or not shown to be good."""
        return self.final is RolloutState.ROLLED_BACK

    @property
    def state_to_write(self) -> RolloutState | None:
        """State to write to the order's status; None if the store has it already."""
        if self.order is None:
            return None
        expected = self.final or RolloutState.RUNNING
        stored = self.order.state if self._status_is_of_order else None
        return expected if stored is not expected else None

    @property
    def _status_is_of_order(self) -> bool:
        return self.order.state_version == self.order.version


class PoolVersionTable:
    """Table of each pool's current versions and order.

    Records of other instances are merged; neither their order nor their repetition
    affects the result.

    Where rollouts are not ordered, all versions of a pool serve until it has an order.
    Elsewhere only its current versions do, and the version of its order as far as the
    order says.

    Parameters
    ----------
    started_at : float
        When this instance started, on the event loop's clock.
    orders_rollouts : bool, default=True
        Whether operators order rollouts.
    unix_offset : float, default=0.0
        Unix time at which the event loop's clock was 0.
    """

    def __init__(
        self,
        started_at: float = -math.inf,
        *,
        orders_rollouts: bool = True,
        unix_offset: float = 0.0,
    ) -> None:
        self._started_at = started_at
        self._has_no_earlier_streams = False
        self.orders_rollouts = orders_rollouts
        self._unix_offset = unix_offset
        self._pools: dict[str, PoolVersions] = defaultdict(self._make_entry)
        self._discovered: dict[str, dict[str, _VersionTargets]] = {}

    def __getitem__(self, pool: str) -> PoolVersions:
        """Return the entry of a pool."""
        return self._pools[pool]

    def __iter__(self):
        """Iterate over the pools' names."""
        return iter(list(self._pools))

    def _make_entry(self) -> PoolVersions:
        entry = PoolVersions(begun=BegunVersions(self._started_at))
        if self._has_no_earlier_streams:
            entry.begun.apply_stored(StoredVersions(is_complete=True), self._started_at)
        return entry

    def assume_no_earlier_streams(
        self, stored_pools: Iterable[str], now: float
    ) -> None:
        """Take pools of which the store has no versions to have begun no streams."""
        known = {pool: self._pools[pool] for pool in stored_pools}
        self._has_no_earlier_streams = True
        for pool, entry in self._pools.items():
            if pool not in known:
                entry.begun.apply_stored(StoredVersions(is_complete=True), now)

    @property
    def running_pools(self) -> list[str]:
        """Pools with a running order."""
        return [name for name, pool in self._pools.items() if pool.is_running]

    def ambiguous_pools(self) -> list[str]:
        """Return the pools with several versions of which none is known as current."""
        return [
            pool
            for pool, versions in self._discovered.items()
            if not self._pools[pool].serving and len(versions) > 1
        ]

    def _is_ordered(self, entry: PoolVersions) -> bool:
        """Return whether an order is needed for a further version to serve."""
        return self.orders_rollouts or entry.has_had_order

    def update_targets(
        self,
        targets: Iterable[DiscoveredTarget],
        now: float,
        *,
        is_complete: bool = True,
    ) -> bool:
        """Replace the known targets; the only version of a pool is its current one.

        Parameters
        ----------
        targets : iterable of DiscoveredTarget
            The targets.
        now : float
            Seconds on the event loop's clock.
        is_complete : bool, default=True
            Whether these are all targets. If not, their only version may not be the
            only one.

        Returns
        -------
        bool
            Whether the current versions or those of the targets have changed.
        """
        before = self._versions()
        self._discovered = {}
        for target in targets:
            versions = self._discovered.setdefault(target.pool, {})
            versions.setdefault(target.version, _VersionTargets()).add(target)
        for pool, versions in self._discovered.items():
            entry, present = self._pools[pool], frozenset(versions)
            if not self._is_ordered(entry):
                if entry.serving != present:
                    self._set_serving(entry, present, now, VersionSource.ALL_PRESENT)
            elif is_complete and not entry.serving:
                if len(versions) == 1 and entry.order is None:
                    self._set_serving(entry, present, now, VersionSource.ONLY_VERSION)
        if is_complete:
            self._derive_serving(now)
        self._update_waits(now)
        return self._versions() != before

    def _versions(self) -> dict[str, tuple[frozenset[str], frozenset[str]]]:
        """Return the current versions and those of the targets, by pool."""
        return {
            pool: (self._pools[pool].serving, frozenset(versions))
            for pool, versions in self._discovered.items()
        }

    def apply_order(self, order: RolloutOrder, now: float) -> bool:
        """Apply an order of the store; return whether it is newer than the known."""
        entry = self._pools[order.pool]
        if order.revision <= entry.revision:
            return False
        before, entry.revision = entry.order, order.revision
        entry.order = order
        if before is not None and _is_same_order(before, order):
            self._apply_status(entry, now)
        elif before is None and order.state_version == order.version:
            # The order was being carried out, or had ended, before this instance saw
            # it.
            self._start_order(entry, order, now, is_known=False)
            self._apply_status(entry, now)
        else:
            # The status is that of another order, even if the version is the same.
            entry.order = replace(order, state=None, state_version="")
            self._start_order(entry, order, now, is_known=True)
        self._derive_serving(now)
        return True

    def withdraw_order(self, pool: str, revision: int) -> bool:
        """Apply the removal of a pool's order; return whether there was one to remove.

        A notification of the removal may carry the revision of the order's last change,
        although the removal came after it.
        """
        entry = self._pools[pool]
        if entry.order is None or revision < entry.revision:
            return False
        entry.revision = max(revision, entry.revision + 1)
        entry.order = None
        return True

    def conclude(self, pool: str, number: int, state: RolloutState) -> bool:
        """Set the final state of an order; return whether it had none."""
        entry = self._pools[pool]
        if entry.number != number or entry.final is not None:
            return False
        entry.final = state
        return True

    def set_progress(self, pool: str, number: int, progress: RolloutProgress) -> None:
        """Set the progress of an order that this instance carries out."""
        entry = self._pools[pool]
        if entry.number == number:
            entry.progress = progress

    def restore_progress(
        self, pool: str, number: int, age: float, progress: RolloutProgress, now: float
    ) -> None:
        """Set the progress of an order that was made before all instances restarted."""
        entry = self._pools[pool]
        if entry.number == number and not entry.progress.is_known:
            entry.began = now - age
            entry.progress = progress

    def guess_serving(self, pool: str, now: float) -> None:
        """Assume that the version with the oldest target is the current one.

        One with a ready target goes before those without.
        """
        versions = self._discovered.get(pool, {})
        entry = self._pools[pool]
        if not versions or entry.serving:
            return
        ordered = entry.order.version if entry.order else ""
        others = {v: t for v, t in versions.items() if v != ordered} or versions
        candidates = {v: t for v, t in others.items() if t.is_ready} or others
        oldest = min(
            candidates,
            key=lambda v: (candidates[v].began, -candidates[v].slots, v),
        )
        self._set_serving(entry, frozenset({oldest}), now, VersionSource.GUESS)

    def advance(self, now: float) -> list[str]:
        """Decide for pools that have had no current version with a target for long.

        Returns
        -------
        list of str
            The pools whose current versions have changed.
        """
        self._update_waits(now)
        changed = []
        for pool, versions in self._discovered.items():
            entry = self._pools[pool]
            if _has_lasted(entry.undecided_since, GUESS_AFTER_S, now):
                self.guess_serving(pool, now)
                changed.append(pool)
            elif _has_lasted(entry.unready_since, REPLACE_AFTER_S, now):
                ready = {version for version, t in versions.items() if t.is_ready}
                others = frozenset(ready - {self.rejected_version(pool)})
                if others and not entry.is_running:
                    entry.retired |= entry.serving
                    self._set_serving(entry, others, now, VersionSource.NONE_READY)
                    changed.append(pool)
        self._update_waits(now)
        return changed

    def _update_waits(self, now: float) -> None:
        """Record since when pools have no current version, or no target of one."""
        for pool, entry in self._pools.items():
            versions = self._discovered.get(pool, {})
            is_undecided = not entry.serving and len(versions) > 1
            is_unready = bool(entry.serving) and not self._is_ready(pool, entry.serving)
            entry.undecided_since = _since(entry.undecided_since, is_undecided, now)
            entry.unready_since = _since(entry.unready_since, is_unready, now)

    def _is_ready(self, pool: str, versions: Iterable[str]) -> bool:
        """Return whether a target of some versions accepts requests."""
        known = self._discovered.get(pool, {})
        return any(known[version].is_ready for version in versions if version in known)

    def is_unserved(self, pool: str) -> bool:
        """Return whether a pool has ready targets, all of them of barred versions."""
        allowed = self.serving_versions(pool)
        entry = self._pools.get(pool)
        if entry is not None and entry.order is not None and not entry.is_rejected:
            allowed |= {entry.order.version}
        ready = {v for v, t in self._discovered.get(pool, {}).items() if t.is_ready}
        return bool(ready and allowed) and not ready & allowed

    def serving_versions(self, pool: str, seen: Iterable[str] = ()) -> frozenset[str]:
        """Return the versions of a pool that may serve; empty if all may.

        Parameters
        ----------
        pool : str
            The pool.
        seen : iterable of str
            Versions of its targets, which may be newer than those of this table.
        """
        entry = self._pools.get(pool) or PoolVersions()
        present = frozenset({*seen, *self._discovered.get(pool, ())})
        if not self._is_ordered(entry):
            return present
        if entry.serving:
            return entry.serving
        return NO_VERSIONS if len(present) > 1 else frozenset()

    def ordered_version(self, pool: str) -> str | None:
        """Return the version of a pool's order that has not ended; None for none."""
        entry = self._pools.get(pool)
        return entry.order.version if entry is not None and entry.is_running else None

    def rejected_version(self, pool: str) -> str | None:
        """Return the version whose order was rolled back; None if there is none."""
        entry = self._pools.get(pool)
        if entry is None or entry.order is None or not entry.is_rejected:
            return None
        return entry.order.version

    def barred_versions(self, pool: str) -> frozenset[str]:
        """Return the versions of a pool that are neither current nor ordered."""
        entry = self._pools[pool]
        allowed = self.serving_versions(pool) | {
            entry.order.version if entry.order else ""
        }
        return (
            frozenset(self._discovered.get(pool, ())) - allowed
            if entry.serving
            else frozenset()
        )

    def planned_rollout(
        self, pool: str, limits: ExposureLimits, lead_s: float
    ) -> PlannedRollout | None:
        """Return the order that a pool's dispatcher is to carry out.

        An order is carried out until the store has its completion.
        """
        entry = self._pools.get(pool)
        if entry is None or entry.order is None or entry.is_rejected:
            return None
        order = entry.order
        if order.is_completed or not entry.is_begun:
            return None
        return PlannedRollout(
            order.version,
            entry.number,
            entry.began + order.duration,
            lead_s,
            entry.serving == {order.version},
            limits,
            entry.progress,
        )

    def update_begun(self, now: float) -> bool:
        """Update which versions may have begun streams; return whether any changed."""
        changed = [entry.begun.refresh(now) for entry in self._pools.values()]
        return any(changed)

    def records(self, now: float, pools: Iterable[str] = ()) -> list[RolloutRecord]:
        """Return the records for other instances; by default of pools that need one.

        A pool with one version, no order and nothing in the store needs none.
        """
        names = list(pools) or [
            name
            for name, entry in self._pools.items()
            if entry.revision
            or entry.serving_since
            or entry.begun.stored.revision
            or len(self._discovered.get(name, ())) > 1
        ]
        return [self._record(name, now) for name in names]

    def merge_record(self, record: RolloutRecord, now: float) -> bool:
        """Merge another instance's record; return whether the pool's state changed."""
        entry = self._pools[record.pool]
        changed = False
        if record.begun_revision:
            begun = frozenset(record.begun)
            stored = StoredVersions(begun, record.begun_revision, is_complete=True)
            changed |= entry.begun.apply_stored(stored, now)
        is_newer_order = record.number > entry.revision
        if record.revision > entry.revision:
            changed = True
            entry.revision = record.revision
            entry.order = None if record.removed else _order_from_record(record)
        if is_newer_order:
            self._start_order(entry, entry.order, now, is_known=record.is_known)
            entry.number = record.number
        if entry.number and record.revision >= entry.number:
            # The instance that saw the order first has the lower number.
            entry.number = min(entry.number, record.number or entry.number)
            changed |= self._merge_progress(entry, record, now)
        if entry.order is not None:
            self._apply_status(entry, now)
        changed |= self._merge_serving(entry, record, now)
        self._update_waits(now)
        return changed

    def _merge_progress(self, entry, record: RolloutRecord, now: float) -> bool:
        entry.began = min(entry.began, now - record.age)
        own = entry.progress
        entry.progress = RolloutProgress(
            max(own.requests, record.requests),
            max(own.exposed, record.exposed),
            max(own.answers, record.answers),
            own.is_known or record.is_known,
            max(own.evidence, record.evidence),
        )
        if record.is_rejected and entry.final is None:
            entry.final = RolloutState.ROLLED_BACK
            return True
        return False

    def _merge_serving(self, entry, record: RolloutRecord, now: float) -> bool:
        """Take over the current versions of a record if they go before the own ones.

        Those of a newer order do, then those that were not replaced here, then those
        that any instance has taken for current for longer.
        """
        if not record.serving or not (record.serving_since or self._is_ordered(entry)):
            return False
        serving = frozenset(record.serving)
        # An older build does not tell since when.
        began = record.serving_began or self._unix(now) - record.serving_for
        own = self._precedence(
            record.pool, entry.serving, entry.serving_since, entry.serving_began
        )
        received = self._precedence(record.pool, serving, record.serving_since, began)
        if entry.serving and received <= own:
            return False
        is_changed = entry.serving != serving
        entry.serving, entry.serving_began = serving, began
        entry.serving_since = record.serving_since
        if is_changed:
            entry.source = VersionSource.PEER
        return is_changed

    def _precedence(
        self, pool: str, versions: frozenset[str], since: int, began: float
    ) -> tuple:
        """Return a sort key; of two sets of current versions the greater one holds."""
        is_retired = versions <= self._pools[pool].retired
        is_usable = not is_retired or self._is_ready(pool, versions)
        return since, is_usable, -began, sorted(versions)

    def _record(self, name: str, now: float) -> RolloutRecord:
        entry = self._pools[name]
        order, progress = entry.order, entry.progress
        return RolloutRecord(
            name,
            order.version if order else "",
            entry.revision,
            order is None,
            order.duration if order else 0.0,
            str(order.state or "") if order else "",
            order.state_version if order else "",
            entry.number,
            now - entry.began if entry.number else 0.0,
            progress.requests,
            progress.exposed,
            progress.answers,
            progress.is_known,
            progress.evidence,
            entry.is_rejected,
            sorted(entry.serving),
            entry.serving_since,
            self._unix(now) - entry.serving_began if entry.serving else 0.0,
            entry.serving_began,
            sorted(entry.begun.stored.versions),
            entry.begun.stored.revision if entry.begun.stored.is_complete else 0,
        )

    def _start_order(self, entry, order, now: float, *, is_known: bool) -> None:
        """Reset an entry for an order that is new here."""
        entry.number = order.revision if order else 0
        entry.began = now
        entry.progress = RolloutProgress(is_known=is_known)
        entry.is_begun = False
        entry.final = None
        if order is not None and entry.source is VersionSource.ALL_PRESENT:
            # Until now all versions served.
            others = entry.serving - {order.version}
            serving = others or entry.serving
            self._set_serving(entry, serving, now, VersionSource.ORDER)

    def _apply_status(self, entry, now: float) -> None:
        """Apply the stored status of an order."""
        order = entry.order
        entry.is_begun |= order.is_running
        if order.is_rolled_back:
            entry.final = RolloutState.ROLLED_BACK
        if order.is_completed:
            entry.final = RolloutState.COMPLETED
            if entry.serving_since < entry.number or not entry.serving:
                completed = frozenset({order.version})
                self._set_serving(entry, completed, now, VersionSource.ORDER)
                entry.serving_since = entry.number

    def _derive_serving(self, now: float) -> None:
        """Take the only version beside the ordered one as current if none is known.

        Where rollouts are usually not ordered, all versions beside it are current.
        """
        for name, entry in self._pools.items():
            versions = self._discovered.get(name)
            if entry.serving or entry.order is None or not versions:
                continue
            others = frozenset(versions) - {entry.order.version}
            is_known = len(others) == 1 or not self.orders_rollouts
            if is_known or (len(versions) == 1 and not others):
                serving = others or frozenset(versions)
                self._set_serving(entry, serving, now, VersionSource.ORDER)

    def _set_serving(
        self, entry, versions: frozenset[str], now: float, source: VersionSource
    ) -> None:
        entry.serving = versions
        entry.serving_began = self._unix(now)
        entry.source = source

    def _unix(self, now: float) -> float:
        """Return the Unix time of a time on the event loop's clock."""
        return self._unix_offset + now


@dataclass(slots=True)
class _VersionTargets:
    """The targets of a version: start of the oldest (Unix ms) and sum of slots."""

    began: float = math.inf
    slots: int = 0
    is_ready: bool = False

    def add(self, target: DiscoveredTarget) -> None:
        self.slots += target.slots
        self.is_ready |= not target.leaving
        self.began = min(self.began, target.incarnation or math.inf)


def _since(before: float | None, holds: bool, now: float) -> float | None:
    """Return since when a condition holds; None if it does not."""
    if not holds:
        return None
    return now if before is None else before


def _has_lasted(since: float | None, seconds: float, now: float) -> bool:
    return since is not None and now >= since + seconds


def _is_same_order(before: RolloutOrder, order: RolloutOrder) -> bool:
    return (before.version, before.duration) == (order.version, order.duration)


def _order_from_record(record: RolloutRecord) -> RolloutOrder:
    state = RolloutState(record.state) if record.state else None
    return RolloutOrder(
        record.pool,
        record.version,
        record.duration,
        record.revision,
        state,
        record.state_version,
    )
