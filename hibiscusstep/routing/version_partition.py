"""hibiscusstep.routing.version_partition: which versions of a pool's targets serve."""

import enum
from collections.abc import Iterable

from hibiscusstep.rollout.comparison import AnswerSample
from hibiscusstep.rollout.controller import Rollout
from hibiscusstep.routing import messages as m
from hibiscusstep.routing.dispatch_plan import PlannedPool
from hibiscusstep.routing.slot_target import Run, SlotTarget
from hibiscusstep.routing.target_index import TargetIndex
from hibiscusstep.routing.target_memory import MemoryNeed
from hibiscusstep.routing.target_selector import TargetSelector

__all__ = ["VersionPartition"]


class _Role(enum.Enum):
    SERVING = "its version is a current one"
    CANARY = "its version is being rolled out"
    BARRED = "its version is neither current nor being rolled out"


# Outcomes that count in the comparison of versions; others do not depend on the
# version.
_COMPARED_OUTCOMES = (
    m.GrantOutcome.DONE,
    m.GrantOutcome.FAILED,
    m.GrantOutcome.BROKEN,
    m.GrantOutcome.CANCELLED,
)


class VersionPartition:
    """Partition of the targets by version, which carries out the pool's rollout.

    Parameters
    ----------
    selector : TargetSelector
        Selects targets for requests.
    is_standby : bool
        Whether this is for the standby dispatcher of a single instance. It sends no
        requests to a version that is not current, since the exposure budget of the
        rollout would not count them.

    Attributes
    ----------
    serving : TargetIndex
        Targets of the current versions.
    rollout : Rollout or None
        The rollout in progress.
    """

    def __init__(self, selector: TargetSelector, is_standby: bool) -> None:
        self._selector = selector
        self._is_standby = is_standby
        self._canaries = TargetIndex()
        self._roles: dict[str, _Role] = {}
        # Index of each target that is not barred.
        self._index_by_target: dict[str, TargetIndex] = {}
        self._serving_versions: frozenset[str] = frozenset()
        # Versions that receive nothing, not even streams that began there.
        self._closed_versions: frozenset[str] = frozenset()
        self._reported = False
        self.serving = TargetIndex()
        self.rollout: Rollout | None = None

    @property
    def _canary_names(self) -> list[str]:
        """Names of the targets of the new version."""
        return [name for name, role in self._roles.items() if role is _Role.CANARY]

    def slots(self, now: float) -> int:
        """Return the number of slots of all usable targets."""
        slots = self.serving.slots(now)
        return slots if self.rollout is None else slots + self._canaries.slots(now)

    def configure(self, pool: PlannedPool) -> None:
        """Apply the current versions and the rollout, before targets are assigned."""
        self._serving_versions = pool.current_versions
        planned = None if self._is_standby else pool.rollout
        closed = {pool.rejected_version}
        if self._is_standby and pool.rollout:
            closed.add(pool.rollout.version)
        self._closed_versions = frozenset(closed - {None}) - pool.current_versions
        if planned is None:
            self.rollout = None
        elif self.rollout and self.rollout.planned.number == planned.number:
            self.rollout.update_order(planned)
        else:
            self.rollout = Rollout(planned)
            self._reported = False

    def bars_all(self, targets: Iterable[SlotTarget], now: float) -> bool:
        """Return whether all targets that accept requests are of barred versions."""
        if self.slots(now) > 0:
            return False
        roles = [self._roles.get(t.name) for t in targets if not t.leaving]
        return bool(roles) and all(role is _Role.BARRED for role in roles)

    def assign(self, target: SlotTarget, now: float) -> None:
        """Assign a target to the index of its version and update it there."""
        role = self._role_of(target)
        if role is self._roles.get(target.name):
            self.update(target, now)
            return
        self.remove(target)
        self._roles[target.name] = role
        if role is not _Role.BARRED:
            index = self._canaries if role is _Role.CANARY else self.serving
            self._index_by_target[target.name] = index
            index.add(target, now)

    def update(self, target: SlotTarget, now: float) -> None:
        """Update a target after its slots, speed, failures or state changed."""
        index = self._index_by_target.get(target.name)
        if index is not None:
            index.update(target, now)

    def serves(self, target: SlotTarget, now: float) -> bool:
        """Return whether a target of a current version is usable."""
        is_serving = self._index_by_target.get(target.name) is self.serving
        return is_serving and target.usable(now)

    def remove(self, target: SlotTarget) -> None:
        """Remove a target."""
        self._roles.pop(target.name, None)
        index = self._index_by_target.pop(target.name, None)
        if index is not None:
            index.remove(target)

    def _role_of(self, target: SlotTarget) -> _Role:
        if not self._serving_versions or target.version in self._serving_versions:
            return _Role.SERVING
        if self.rollout and target.version == self.rollout.planned.version:
            return _Role.CANARY
        return _Role.BARRED

    def has_free_slot(self, now: float) -> bool:
        """Return whether a usable target seems to have a free slot."""
        if self.serving.has_free_slot(now):
            return True
        if self.rollout is None or not self.rollout.may_expose():
            return False
        return self._canaries.has_free_slot(now)

    def may_fit(self, need: MemoryNeed, now: float) -> bool:
        """Return whether a usable target seems to have a slot and memory free."""
        if self.rollout is not None and self._canaries.may_fit(need, now):
            return True
        return self.serving.may_fit(need, now)

    def choose_canary(
        self, work: m.Work, need: MemoryNeed | None, now: float
    ) -> SlotTarget | None:
        """Return a target of the new version for a request that needs some memory.

        None if the new version may not receive it or has no suitable target free.
        """
        if self.rollout is None or work.suspect:
            return None
        if not self.rollout.may_expose() or not self._canaries.has_free_slot(now):
            return None
        if self.rollout.sends_all_traffic:
            free = self._canaries.candidates(work.data_centre, now)
            free = self._canaries.fitting(free, need, now)
            worth_waiting = self._canaries.fastest(now)
        else:
            free = self._next_canary(need, now)
            worth_waiting = []
        excluded = {*work.avoided_by_backoff, *work.avoid}
        free = [target for target in free if target.name not in excluded]
        if not free:
            return None
        return self._selector.choose(work, free, worth_waiting, now)

    def _next_canary(self, need: MemoryNeed | None, now: float) -> list[SlotTarget]:
        """Return at most one target: the preferred canary target with a free slot."""
        free = {
            t.name: t
            for t in self._canaries.usable(now)
            if t.available_slots(now) > 0 and (need is None or need.fits(t))
        }
        canaries = self.rollout.canary_targets(self._canary_names, now)
        return [free[name] for name in canaries if name in free][:1]

    def may_serve(self, work: m.Work, target: SlotTarget, now: float) -> bool:
        """Return whether a request would end before its target is stopped."""
        if self.rollout is None or not self.rollout.sends_all_traffic:
            return True
        planned = self.rollout.planned
        ends = now + self._selector.duration_bound(target, work, now)
        return ends < planned.deadline - planned.lead_s

    def serves_only(self, version: str) -> bool:
        """Return whether all new requests go to a version."""
        return self.rollout is None and self._serving_versions == {version}

    def receives_requests(self, version: str) -> bool:
        """Return whether new requests may go to a version."""
        if not self._serving_versions or version in self._serving_versions:
            return True
        return self.rollout is not None and version == self.rollout.planned.version

    def is_open(self, version: str) -> bool:
        """Return whether streams that began at a version may continue there.

        They may at a version that receives no new requests, since no other version can
        continue them. One that was rolled back receives nothing, and a standby
        dispatcher cannot count what a version in its rollout receives.
        """
        return version not in self._closed_versions

    def may_expose(self, target: SlotTarget) -> bool:
        """Return whether the rollout's budget permits another request at a target."""
        is_canary = self._roles.get(target.name) is _Role.CANARY
        return not is_canary or self.rollout is None or self.rollout.may_expose()

    def record_grant(self, target: SlotTarget) -> None:
        """Count a granted request for the rollout."""
        if self.rollout:
            self.rollout.count_request(self._roles.get(target.name) is _Role.CANARY)

    def record_end(
        self, target: SlotTarget, run: Run, finished: m.Finished, now: float
    ) -> None:
        """Add a request's outcome to the comparison of versions."""
        outcome = finished.outcome
        if not self.rollout or outcome not in _COMPARED_OUTCOMES:
            return
        if run.work.suspect or run.adopted or finished.in_path:
            return
        if self._roles.get(target.name) is _Role.BARRED:
            return
        answer = AnswerSample(
            target.name,
            run.work.route,
            outcome is m.GrantOutcome.FAILED,
            outcome is m.GrantOutcome.BROKEN,
            self._selector.time_ratio(target, run, finished.tokens, now),
            outcome is m.GrantOutcome.CANCELLED,
            run.target_loaded,
        )
        new = self._roles.get(target.name) is _Role.CANARY
        self.rollout.comparison.observe(answer, new=new, now=now)

    def _running_canaries(self, targets: dict[str, SlotTarget], now: float):
        """Yield the running requests at targets of the new version."""
        for name in self._canary_names:
            target = targets[name]
            for run in target.running.values():
                if not (run.work.suspect or run.adopted):
                    ratio = self._selector.running_time_ratio(target, run, now)
                    yield AnswerSample(
                        name,
                        run.work.route,
                        failed=False,
                        ratio=ratio,
                        cut_short=True,
                        loaded=run.target_loaded,
                    )

    def tick(
        self, targets: dict[str, SlotTarget], now: float
    ) -> m.ConcludeRollout | None:
        """Advance the rollout; return its conclusion once there is one."""
        if self.rollout is None:
            return None
        running = self._running_canaries(targets, now)
        self.rollout.comparison.replace_running(running, now)
        usable = len(self._canaries.usable(now))
        self.rollout.tick(usable, now)
        if self.rollout.verdict is None or self._reported:
            return None
        self._reported = True
        planned = self.rollout.planned
        return m.ConcludeRollout(
            planned.version, planned.number, self.rollout.verdict, self.rollout.reason
        )
