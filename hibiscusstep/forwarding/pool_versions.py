"""hibiscusstep.forwarding.pool_versions: current versions and orders of all pools."""

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

__all__ = ["NO_VERSIONS", "PoolVersionTable", "PoolVersions"]

# Matches no version; used while it is unknown which of several versions is current.
NO_VERSIONS = frozenset({""})


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
    serving_at : float
        When they became known here, on the event loop's clock.
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
    serving_at: float = 0.0
    begun: BegunVersions = field(default_factory=BegunVersions)

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

    Parameters
    ----------
    started_at : float
        When this instance started, on the event loop's clock.
    """

    def __init__(self, started_at: float = -math.inf) -> None:
        self._started_at = started_at
        self._has_no_earlier_streams = False
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

    def assume_no_earlier_streams(self, now: float) -> None:
        """Take pools of which the store has no versions to have begun no streams."""
        self._has_no_earlier_streams = True
        for entry in self._pools.values():
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

    def update_targets(self, targets: Iterable[DiscoveredTarget], now: float) -> bool:
        """Replace the known targets; the only version of a pool is its current one.

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
            entry = self._pools[pool]
            if not entry.serving and len(versions) == 1 and entry.order is None:
                self._set_serving(entry, frozenset(versions), now)
        self._derive_serving(now)
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
        """Assume that the version with the oldest target is the current one."""
        versions = self._discovered.get(pool, {})
        entry = self._pools[pool]
        ordered = entry.order.version if entry.order else ""
        others = {v: t for v, t in versions.items() if v != ordered} or versions
        if others and not entry.serving:
            oldest = min(others, key=lambda v: (others[v].began, -others[v].slots, v))
            self._set_serving(entry, frozenset({oldest}), now)

    def serving_versions(self, pool: str, seen: Iterable[str] = ()) -> frozenset[str]:
        """Return the versions of a pool that may serve; empty if all may.

        Parameters
        ----------
        pool : str
            The pool.
        seen : iterable of str
            Versions of its targets, which may be newer than those of this table.
        """
        entry = self._pools.get(pool)
        if entry is not None and entry.serving:
            return entry.serving
        several = len({*seen, *self._discovered.get(pool, ())}) > 1
        return NO_VERSIONS if several else frozenset()

    def has_order(self, pool: str) -> bool:
        """Return whether there is an order for a pool, ended or not."""
        entry = self._pools.get(pool)
        return entry is not None and entry.order is not None

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
        changed = self._merge_serving(entry, record, now)
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
        if not record.serving:
            return False
        received = record.serving_since, record.serving_for
        own = entry.serving_since, now - entry.serving_at
        is_newer_order = received[0] > own[0]
        is_known_longer = received[0] == own[0] and received[1] > own[1]
        serving = frozenset(record.serving)
        if entry.serving and (
            entry.serving == serving or not (is_newer_order or is_known_longer)
        ):
            return False
        entry.serving = serving
        entry.serving_since = record.serving_since
        entry.serving_at = now - record.serving_for
        return True

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
            now - entry.serving_at if entry.serving else 0.0,
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

    def _apply_status(self, entry, now: float) -> None:
        """Apply the stored status of an order."""
        order = entry.order
        entry.is_begun |= order.is_running
        if order.is_rolled_back:
            entry.final = RolloutState.ROLLED_BACK
        if order.is_completed:
            entry.final = RolloutState.COMPLETED
            if entry.serving_since < entry.number or not entry.serving:
                self._set_serving(entry, frozenset({order.version}), now)
                entry.serving_since = entry.number

    def _derive_serving(self, now: float) -> None:
        """Take the only version beside the ordered one as current if none is known."""
        for name, entry in self._pools.items():
            versions = self._discovered.get(name)
            if entry.serving or entry.order is None or not versions:
                continue
            others = frozenset(versions) - {entry.order.version}
            if len(others) == 1 or (len(versions) == 1 and not others):
                self._set_serving(entry, others or frozenset(versions), now)

    def _set_serving(self, entry, versions: frozenset[str], now: float) -> None:
        entry.serving = versions
        entry.serving_at = now


@dataclass(slots=True)
class _VersionTargets:
    """The targets of a version: start of the oldest (Unix ms) and sum of slots."""

    began: float = math.inf
    slots: int = 0

    def add(self, target: DiscoveredTarget) -> None:
        self.slots += target.slots
        self.began = min(self.began, target.incarnation or math.inf)


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
