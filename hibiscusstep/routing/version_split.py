"""hibiscusstep.routing.version_split: which targets serve, by their version."""

import enum

from hibiscusstep.rollout.comparison import Answer
from hibiscusstep.rollout.controller import Rollout
from hibiscusstep.routing import messages as m
from hibiscusstep.routing.plan import PlannedPool
from hibiscusstep.routing.slot_choice import TargetSelector
from hibiscusstep.routing.slot_target import Run, SlotTarget
from hibiscusstep.routing.target_order import TargetIndex

__all__ = ["VersionPartition"]


class _Role(enum.Enum):
    SERVING = "its version is in force"
    CANARY = "its version is to be in force, and not proved yet"
    BARRED = "no order allows its version"


# What a request's end tells of its target's version; other ends tell nothing of it.
_COMPARED_OUTCOMES = (
    m.Outcome.DONE,
    m.Outcome.FAILED,
    m.Outcome.BROKEN,
    m.Outcome.CANCELLED,
)


class VersionPartition:
    """Keeps the targets of each version apart, and carries out the pool's order.

    Parameters
    ----------
    choice : SlotChoice
        Weighs targets for requests.
    is_standalone : bool
        Whether it dispatches for one instance only: that sends nothing to a version
        that is not in force, since nobody counts it.

    Attributes
    ----------
    serving : TargetOrder
        Targets of the versions that are in force.
    rollout : Rollout or None
        The order that is being carried out.
    """

    def __init__(self, selector: TargetSelector, is_standalone: bool) -> None:
        self._selector = selector
        self._is_standalone = is_standalone
        self._canaries = TargetIndex()
        self._roles: dict[str, _Role] = {}
        # Where each target stands that is not barred.
        self._index_by_target: dict[str, TargetIndex] = {}
        self._serving_versions: frozenset[str] = frozenset()
        self._reported = False
        self.serving = TargetIndex()
        self.rollout: Rollout | None = None

    @property
    def _canary_names(self) -> list[str]:
        """Targets of the version that is to be in force."""
        return [name for name, role in self._roles.items() if role is _Role.CANARY]

    def slots(self, now: float) -> int:
        """Return the slots of all targets that may be used."""
        slots = self.serving.slots(now)
        return slots if self.rollout is None else slots + self._canaries.slots(now)

    def configure(self, pool: PlannedPool) -> None:
        """Take the versions in force and the order, before the targets are placed."""
        self._serving_versions = pool.serving
        planned = None if self._is_standalone else pool.rollout
        if planned is None:
            self.rollout = None
        elif self.rollout and self.rollout.planned.number == planned.number:
            self.rollout.replan(planned)
        else:
            self.rollout = Rollout(planned)
            self._reported = False

    def assign(self, target: SlotTarget, now: float) -> None:
        """Put a target where its version belongs, and note that it changed."""
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
        """Take note that a target's slots, speed, failures or state changed."""
        index = self._index_by_target.get(target.name)
        if index is not None:
            index.update(target, now)

    def remove(self, target: SlotTarget) -> None:
        """Drop a target."""
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
        """Whether a target that may be used seems to have a free slot."""
        if self.serving.has_free_slot(now):
            return True
        if self.rollout is None or not self.rollout.may_expose():
            return False
        return self._canaries.has_free_slot(now)

    def choose_canary(self, work: m.Work, now: float) -> SlotTarget | None:
        """Return a target of the new version for a request; None if it gets none."""
        if self.rollout is None or work.suspect:
            return None
        if not self.rollout.may_expose() or not self._canaries.has_free_slot(now):
            return None
        if self.rollout.moves_all:
            free = self._canaries.candidates(work.data_centre, now)
            worth_waiting = self._canaries.fastest(now)
        else:
            free = self._next_canary(now)
            worth_waiting = []
        excluded = {*work.resting, *work.avoid}
        free = [target for target in free if target.name not in excluded]
        if not free:
            return None
        return self._selector.choose(work, free, worth_waiting, now)

    def _next_canary(self, now: float) -> list[SlotTarget]:
        """Return the first of the new targets, in turn, that has a free slot."""
        free = {
            t.name: t for t in self._canaries.usable(now) if t.available_slots(now) > 0
        }
        tried = self.rollout.tried(self._canary_names, now)
        return [free[name] for name in tried if name in free][:1]

    def may_serve(self, work: m.Work, target: SlotTarget, now: float) -> bool:
        """Whether a request would end at a target before that is stopped."""
        if self.rollout is None or not self.rollout.moves_all:
            return True
        planned = self.rollout.planned
        ends = now + self._selector.duration_bound(target, work, now)
        return ends < planned.deadline - planned.lead

    def record_grant(self, target: SlotTarget) -> None:
        """Count a request that was granted a target."""
        if self.rollout:
            self.rollout.count(self._roles.get(target.name) is _Role.CANARY)

    def record_end(
        self, target: SlotTarget, run: Run, finished: m.Finished, now: float
    ) -> None:
        """Compare a request's end with others."""
        outcome = finished.outcome
        if not self.rollout or outcome not in _COMPARED_OUTCOMES:
            return
        if run.work.suspect or run.adopted:
            return
        answer = Answer(
            target.name,
            run.work.route,
            outcome is m.Outcome.FAILED,
            outcome is m.Outcome.BROKEN,
            self._selector.time_ratio(run, finished.tokens, now),
            outcome is m.Outcome.CANCELLED,
            run.loaded,
        )
        new = self._roles.get(target.name) is _Role.CANARY
        self.rollout.comparison.observe(answer, new=new, now=now)

    def _running_canaries(self, targets: dict[str, SlotTarget], now: float):
        """Yield what runs at the new version's targets."""
        for name in self._canary_names:
            for run in targets[name].running.values():
                if not (run.work.suspect or run.adopted):
                    ratio = self._selector.running_time_ratio(run, now)
                    yield Answer(
                        name,
                        run.work.route,
                        failed=False,
                        ratio=ratio,
                        cut_short=True,
                        loaded=run.loaded,
                    )

    def tick(self, targets: dict[str, SlotTarget], now: float) -> m.Conclude | None:
        """Decide what is a matter of time; return a conclusion that is new."""
        if self.rollout is None:
            return None
        running = self._running_canaries(targets, now)
        self.rollout.comparison.take_running(running, now)
        usable = len(self._canaries.usable(now))
        self.rollout.tick(usable, now)
        if self.rollout.verdict is None or self._reported:
            return None
        self._reported = True
        planned = self.rollout.planned
        return m.Conclude(
            planned.version, planned.number, self.rollout.verdict, self.rollout.reason
        )
