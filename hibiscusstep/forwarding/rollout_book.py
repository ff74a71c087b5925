"""hibiscusstep.forwarding.rollout_book: versions of pools' targets, and orders."""

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from hibiscusstep.forwarding.model import DiscoveredTarget
from hibiscusstep.peer import RolloutRecord
from hibiscusstep.rollout.budget import ExposureLimits
from hibiscusstep.rollout.controller import PlannedRollout, RolloutProgress
from hibiscusstep.rollout.order import RolloutOrder, RolloutState

__all__ = ["PoolVersions", "RolloutBook"]

# Stands for all versions of a pool while it is not known which of several serves.
NONE_KNOWN = frozenset({""})


@dataclass(slots=True, eq=False)
class PoolVersions:
    """What is known of a pool's versions.

    Parameters
    ----------
    order : RolloutOrder or None
        The operator's order as the store has it.
    revision : int
        Of the store, up to which `order` is known.
    number : int
        The store's revision at which the order was new; it tells orders apart.
    began : float
        When it was first seen, on the loop's clock.
    progress : RolloutProgress
        How far it has been carried out.
    is_begun : bool
        Whether the store told that it is being carried out. Before, no request may go
        to its version: who starts later would not ask what was used.
    final : RolloutState or None
        How it ended, whether or not the store has that yet.
    serving : frozenset of str
        Versions in force; empty while they are not known.
    serving_since : int
        Number of the order whose completion put them in force; 0 for none.
    serving_at : float
        When they were known here, on the loop's clock.
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

    @property
    def is_running(self) -> bool:
        """Whether an order is to be carried out."""
        return self.order is not None and self.final is None

    @property
    def is_rejected(self) -> bool:
        """Whether the version was found to be bad, or not shown to be good."""
        return self.final is RolloutState.ROLLED_BACK

    @property
    def wanted_state(self) -> RolloutState | None:
        """What the order's status should be, where it is not; else None."""
        if self.order is None:
            return None
        wanted = self.final or RolloutState.RUNNING
        told = self.order.state if self._status_is_of_order else None
        return wanted if told is not wanted else None

    @property
    def _status_is_of_order(self) -> bool:
        return self.order.state_version == self.order.version


class RolloutBook:
    """Knows of each pool which versions are in force and which order is given.

    What instances tell each other is merged: it does not matter in which order, or how
    often.
    """

    def __init__(self) -> None:
        self._pools: dict[str, PoolVersions] = defaultdict(PoolVersions)
        self._seen: dict[str, dict[str, _Seen]] = {}

    def __getitem__(self, pool: str) -> PoolVersions:
        """Return what is known of a pool."""
        return self._pools[pool]

    def __iter__(self):
        """Iterate over the pools' names."""
        return iter(list(self._pools))

    @property
    def running(self) -> list[str]:
        """Pools whose order is being carried out."""
        return [name for name, pool in self._pools.items() if pool.is_running]

    def ambiguous(self) -> list[str]:
        """Return the pools of whose several versions none is known to be in force."""
        return [
            pool
            for pool, seen in self._seen.items()
            if not self._pools[pool].serving and len(seen) > 1
        ]

    def take_targets(self, targets: Iterable[DiscoveredTarget], now: float) -> bool:
        """Take all targets; the only version of a pool is the one in force.

        Returns
        -------
        bool
            Whether other versions are in force, or seen, than before.
        """
        before = self._versions()
        self._seen = {}
        for target in targets:
            seen = self._seen.setdefault(target.pool, {})
            seen.setdefault(target.version, _Seen()).add(target)
        for pool, seen in self._seen.items():
            known = self._pools[pool]
            if not known.serving and len(seen) == 1 and known.order is None:
                self._set_serving(known, frozenset(seen), now)
        self._take_over(now)
        return self._versions() != before

    def _versions(self) -> dict[str, tuple[frozenset[str], frozenset[str]]]:
        """Return the versions in force and those that are seen, by pool."""
        return {
            pool: (self._pools[pool].serving, frozenset(seen))
            for pool, seen in self._seen.items()
        }

    def take_order(self, order: RolloutOrder, now: float) -> bool:
        """Take an order as the store has it; whether that is news."""
        known = self._pools[order.pool]
        if order.revision <= known.revision:
            return False
        before, known.revision = known.order, order.revision
        known.order = order
        if before is not None and _is_same(before, order):
            self._note_state(known, now)
        elif before is None and order.state_version == order.version:
            # It was being carried out, or was, before this instance saw it.
            self._begin(known, order, now, is_known=False)
            self._note_state(known, now)
        else:
            # The status is that of another order, also where the version is the same.
            known.order = replace(order, state=None, state_version="")
            self._begin(known, order, now, is_known=True)
        self._take_over(now)
        return True

    def withdraw(self, pool: str, revision: int) -> bool:
        """Take note that a pool's order was withdrawn; whether that is news.

        What is told of a removal may bear the revision of the order's last change; the
        removal itself came after it.
        """
        known = self._pools[pool]
        if known.order is None or revision < known.revision:
            return False
        known.revision = max(revision, known.revision + 1)
        known.order = None
        return True

    def conclude(self, pool: str, number: int, state: RolloutState) -> bool:
        """Take note of how an order ends; whether that is news."""
        known = self._pools[pool]
        if known.number != number or known.final is not None:
            return False
        known.final = state
        return True

    def note_progress(self, pool: str, number: int, progress: RolloutProgress) -> None:
        """Take how far an order has been carried out here."""
        known = self._pools[pool]
        if known.number == number:
            known.progress = progress

    def resume(
        self, pool: str, number: int, age: float, progress: RolloutProgress, now: float
    ) -> None:
        """Take how far an order was carried out before all instances restarted."""
        known = self._pools[pool]
        if known.number == number and not known.progress.is_known:
            known.began = now - age
            known.progress = progress

    def guess(self, pool: str, now: float) -> None:
        """Take the version for the one in force that has been there for longest."""
        seen = self._seen.get(pool, {})
        known = self._pools[pool]
        ordered = known.order.version if known.order else ""
        others = {v: s for v, s in seen.items() if v != ordered} or seen
        if others and not known.serving:
            oldest = min(others, key=lambda v: (others[v].began, -others[v].slots, v))
            self._set_serving(known, frozenset({oldest}), now)

    def serving(self, pool: str, seen: Iterable[str] = ()) -> frozenset[str]:
        """Return the versions of a pool that may serve; empty if all may.

        Parameters
        ----------
        pool : str
            The pool.
        seen : iterable of str
            Versions of its targets, which may be newer than what was taken here.
        """
        known = self._pools.get(pool)
        if known is not None and known.serving:
            return known.serving
        several = len({*seen, *self._seen.get(pool, ())}) > 1
        return NONE_KNOWN if several else frozenset()

    def barred(self, pool: str) -> frozenset[str]:
        """Return the versions of a pool that no order allows."""
        known = self._pools[pool]
        allowed = self.serving(pool) | {known.order.version if known.order else ""}
        return (
            frozenset(self._seen.get(pool, ())) - allowed
            if known.serving
            else frozenset()
        )

    def planned(
        self, pool: str, limits: ExposureLimits, lead: float
    ) -> PlannedRollout | None:
        """Return the order that a pool's dispatcher is to carry out.

        Until the store has the completion, all traffic goes on moving.
        """
        known = self._pools.get(pool)
        if known is None or known.order is None or known.is_rejected:
            return None
        order = known.order
        if order.is_completed or not known.is_begun:
            return None
        return PlannedRollout(
            order.version,
            known.number,
            known.began + order.duration,
            lead,
            known.serving == {order.version},
            limits,
            known.progress,
        )

    def records(self, now: float, pools: Iterable[str] = ()) -> list[RolloutRecord]:
        """Return what others are told: of some pools, or of all with something to tell.

        A pool with one version and no order is known to all.
        """
        names = list(pools) or [
            name
            for name, known in self._pools.items()
            if known.revision
            or known.serving_since
            or len(self._seen.get(name, ())) > 1
        ]
        return [self._record(name, now) for name in names]

    def take_record(self, record: RolloutRecord, now: float) -> bool:
        """Take what another instance knows of a pool; whether anything was news."""
        known = self._pools[record.pool]
        changed = self._take_serving(known, record, now)
        is_newer_order = record.number > known.revision
        if record.revision > known.revision:
            changed = True
            known.revision = record.revision
            known.order = None if record.removed else _order_of(record)
        if is_newer_order:
            self._begin(known, known.order, now, is_known=record.is_known)
            known.number = record.number
        if known.number and record.revision >= known.number:
            # Who saw the order first has the lower number.
            known.number = min(known.number, record.number or known.number)
            changed |= self._take_progress(known, record, now)
        if known.order is not None:
            self._note_state(known, now)
        return changed

    def _take_progress(self, known, record: RolloutRecord, now: float) -> bool:
        known.began = min(known.began, now - record.age)
        mine = known.progress
        known.progress = RolloutProgress(
            max(mine.requests, record.requests),
            max(mine.exposed, record.exposed),
            max(mine.answers, record.answers),
            mine.is_known or record.is_known,
            max(mine.evidence, record.evidence),
        )
        if record.is_rejected and known.final is None:
            known.final = RolloutState.ROLLED_BACK
            return True
        return False

    def _take_serving(self, known, record: RolloutRecord, now: float) -> bool:
        if not record.serving:
            return False
        told = record.serving_since, record.serving_for
        mine = known.serving_since, now - known.serving_at
        newer = told[0] > mine[0]
        older_word = told[0] == mine[0] and told[1] > mine[1]
        serving = frozenset(record.serving)
        if known.serving and (known.serving == serving or not (newer or older_word)):
            return False
        known.serving = serving
        known.serving_since = record.serving_since
        known.serving_at = now - record.serving_for
        return True

    def _record(self, name: str, now: float) -> RolloutRecord:
        known = self._pools[name]
        order, progress = known.order, known.progress
        return RolloutRecord(
            name,
            order.version if order else "",
            known.revision,
            order is None,
            order.duration if order else 0.0,
            str(order.state or "") if order else "",
            order.state_version if order else "",
            known.number,
            now - known.began if known.number else 0.0,
            progress.requests,
            progress.exposed,
            progress.answers,
            progress.is_known,
            progress.evidence,
            known.is_rejected,
            sorted(known.serving),
            known.serving_since,
            now - known.serving_at if known.serving else 0.0,
        )

    def _begin(self, known, order, now: float, *, is_known: bool) -> None:
        """Begin an order that is new here."""
        known.number = order.revision if order else 0
        known.began = now
        known.progress = RolloutProgress(is_known=is_known)
        known.is_begun = False
        known.final = None

    def _note_state(self, known, now: float) -> None:
        """Take the status of an order for how it ended."""
        order = known.order
        known.is_begun |= order.is_running
        if order.is_rolled_back:
            known.final = RolloutState.ROLLED_BACK
        if order.is_completed:
            known.final = RolloutState.COMPLETED
            if known.serving_since < known.number or not known.serving:
                self._set_serving(known, frozenset({order.version}), now)
                known.serving_since = known.number

    def _take_over(self, now: float) -> None:
        """Find the versions in force by a pool's order: all others than its own."""
        for name, known in self._pools.items():
            seen = self._seen.get(name)
            if known.serving or known.order is None or not seen:
                continue
            others = frozenset(seen) - {known.order.version}
            if len(others) == 1 or (len(seen) == 1 and not others):
                self._set_serving(known, others or frozenset(seen), now)

    def _set_serving(self, known, versions: frozenset[str], now: float) -> None:
        known.serving = versions
        known.serving_at = now


@dataclass(slots=True)
class _Seen:
    """The targets of a version: when the first began, and their slots."""

    began: float = math.inf
    slots: int = 0

    def add(self, target: DiscoveredTarget) -> None:
        self.slots += target.slots
        self.began = min(self.began, target.incarnation or math.inf)


def _is_same(before: RolloutOrder, order: RolloutOrder) -> bool:
    return (before.version, before.duration) == (order.version, order.duration)


def _order_of(record: RolloutRecord) -> RolloutOrder:
    state = RolloutState(record.state) if record.state else None
    return RolloutOrder(
        record.pool,
        record.version,
        record.duration,
        record.revision,
        state,
        record.state_version,
    )
