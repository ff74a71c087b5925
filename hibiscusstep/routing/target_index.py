"""hibiscusstep.routing.target_index: an incremental index of a pool's targets."""

import heapq
import itertools
import math
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from sortedcontainers import SortedList

from hibiscusstep.routing.slot_target import SlotTarget
from hibiscusstep.routing.target_memory import MemoryNeed

__all__ = ["TargetIndex"]

# If less than this share of the targets is healthy, failures indicate a problem of the
# network or of the reporting instance rather than of the targets: all are used.
PANIC_THRESHOLD = 0.5
# Service time of a typical request, by which the targets with free slots are ordered.
TYPICAL_REQUEST_S = 0.6
# Maximum number of cheapest targets with free slots that are evaluated for a request,
# in its own data centre and in each other one. The best target is among them as far as
# the order by a typical request tells, and the cost of a decision does not depend on
# the number of targets.
MAX_LOCAL_CANDIDATES = 8
MAX_REMOTE_CANDIDATES = 3
# Maximum number of fastest targets that are checked for one worth waiting for. If none
# of them serves in time, a slower one rarely does.
MAX_FASTEST = 24
# Maximum number of further targets that are evaluated for a request that does not fit
# the memory of some of the cheapest.
MAX_ROOMY = 8


@dataclass(slots=True)
class _Entry:
    """A target's contribution to the totals and its keys in the sorted lists.

    `waits_until` is the time of its entry in the heap of targets whose rate limit
    permits no request now; 0 if it has none.
    """

    target: SlotTarget
    number: int
    data_centre: str = ""
    slots: int = 0
    is_staying: bool = False
    is_healthy: bool = False
    waits_until: float = 0.0
    cost_key: tuple[float, int] | None = None
    slowness_key: tuple[float, int] | None = None
    crowded_memory: int | None = None


class TargetIndex:
    """Index of the targets with free slots and of the fastest targets.

    It avoids a scan of all targets for each message. With a scan a decision took 96 us
    for 30 targets and 223 us for 156 (`examples/decision_cost.py`, 100 requests
    queued).
    """

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._by_number: dict[int, SlotTarget] = {}
        self._numbers = itertools.count()
        self._by_cost: dict[str, SortedList] = defaultdict(SortedList)
        self._by_slowness = SortedList()
        # The targets with a free slot and a bound on their memory: those with little in
        # use by number, the others sorted by the tokens in use.
        self._uncrowded: dict[int, SlotTarget] = {}
        self._crowded = SortedList()
        self._backoffs: list[tuple[float, int]] = []
        self._rate_waits: list[tuple[float, int]] = []
        self._healthy_count = 0
        self._staying_count = 0
        self._slots = 0

    def add(self, target: SlotTarget, now: float) -> None:
        """Add a target; among equal targets the one added first comes first."""
        number = next(self._numbers)
        self._by_number[number] = target
        self._entries[target.name] = _Entry(target, number)
        self.update(target, now)

    def remove(self, target: SlotTarget) -> None:
        """Remove a target."""
        entry = self._entries.pop(target.name)
        self._unlink(entry)
        del self._by_number[entry.number]

    def update(self, target: SlotTarget, now: float) -> None:
        """Update a target after its slots, speed, failures or state changed."""
        entry = self._entries.get(target.name)
        if entry is None:
            return
        if entry.is_healthy and target.usable(now) and self._is_config_current(entry):
            self._reposition(entry, now)
            return
        self._unlink(entry)
        if target.leaving:
            return
        self._staying_count += 1
        entry.is_staying = True
        entry.slots, entry.data_centre = target.slots, target.data_centre
        if now < target.backoff_until:
            heapq.heappush(self._backoffs, (target.backoff_until, entry.number))
            return
        entry.is_healthy = True
        self._healthy_count += 1
        self._slots += target.slots
        self._reposition(entry, now)

    def _reposition(self, entry: _Entry, now: float) -> None:
        """Move a healthy target to its current position in the sorted lists."""
        target = entry.target
        slowness_key = target.slowness, entry.number
        if slowness_key != entry.slowness_key:
            if entry.slowness_key:
                self._by_slowness.remove(entry.slowness_key)
            self._by_slowness.add(slowness_key)
            entry.slowness_key = slowness_key
        may_start = now >= target.next_start_at
        if not may_start:
            self._wait_for_rate_limit(entry)
        cost_key = (
            (target.cost(TYPICAL_REQUEST_S), entry.number)
            if may_start and target.unassigned_slots > 0
            else None
        )
        if cost_key != entry.cost_key:
            if entry.cost_key:
                self._by_cost[entry.data_centre].remove(entry.cost_key)
            if cost_key:
                self._by_cost[entry.data_centre].add(cost_key)
            entry.cost_key = cost_key
        if target.memory_tokens or entry.crowded_memory is not None:
            is_listed = cost_key and target.memory_tokens
            self._move_by_memory(entry, target.crowded_memory if is_listed else None)

    def _move_by_memory(self, entry: _Entry, crowded_memory: int | None) -> None:
        """Move a target in the order by memory; None removes it."""
        previous = entry.crowded_memory
        if crowded_memory == previous:
            return
        if previous:
            self._crowded.remove((previous, entry.number))
        elif previous == 0:
            del self._uncrowded[entry.number]
        if crowded_memory:
            self._crowded.add((crowded_memory, entry.number))
        elif crowded_memory == 0:
            self._uncrowded[entry.number] = entry.target
        entry.crowded_memory = crowded_memory

    def _wait_for_rate_limit(self, entry: _Entry) -> None:
        """Update a target again when its rate limit permits the next request."""
        if entry.waits_until != entry.target.next_start_at:
            entry.waits_until = entry.target.next_start_at
            heapq.heappush(self._rate_waits, (entry.waits_until, entry.number))

    def _unlink(self, entry: _Entry) -> None:
        self._staying_count -= entry.is_staying
        if entry.is_healthy:
            self._healthy_count -= 1
            self._slots -= entry.slots
            self._by_slowness.remove(entry.slowness_key)
        if entry.cost_key:
            self._by_cost[entry.data_centre].remove(entry.cost_key)
        self._move_by_memory(entry, None)
        entry.is_staying = entry.is_healthy = False
        entry.cost_key = entry.slowness_key = None

    def _is_config_current(self, entry: _Entry) -> bool:
        target = entry.target
        return (entry.slots, entry.data_centre) == (target.slots, target.data_centre)

    def _end_waits(self, now: float) -> None:
        """Add the targets whose backoff has ended or whose rate limit permits more."""
        while self._backoffs and self._backoffs[0][0] <= now:
            _until, number = heapq.heappop(self._backoffs)
            target = self._by_number.get(number)
            if target and not self._entries[target.name].is_healthy:
                self.update(target, now)
        while self._rate_waits and self._rate_waits[0][0] <= now:
            _until, number = heapq.heappop(self._rate_waits)
            target = self._by_number.get(number)
            if target:
                self._entries[target.name].waits_until = 0.0
                self.update(target, now)

    def _in_panic_mode(self, now: float) -> bool:
        self._end_waits(now)
        return self._healthy_count < PANIC_THRESHOLD * self._staying_count

    def _staying_targets(self) -> list[SlotTarget]:
        return [t for t in self._by_number.values() if not t.leaving]

    def usable(self, now: float) -> list[SlotTarget]:
        """Return all usable targets."""
        if self._in_panic_mode(now):
            return self._staying_targets()
        return [t for t in self._staying_targets() if t.usable(now)]

    def slots(self, now: float) -> int:
        """Return the number of slots of all usable targets."""
        if self._in_panic_mode(now):
            return sum(target.slots for target in self._staying_targets())
        return self._slots

    def has_free_slot(self, now: float) -> bool:
        """Return whether a usable target seems to have a free slot."""
        return self._in_panic_mode(now) or any(self._by_cost.values())

    def candidates(self, data_centre: str, now: float) -> list[SlotTarget]:
        """Return the targets with a free slot to evaluate for a request.

        Parameters
        ----------
        data_centre : str
            Data centre of the request.
        now : float
            Seconds on the dispatcher's clock.
        """
        if self._in_panic_mode(now):
            targets = self._staying_targets()
        else:
            targets = [
                self._by_number[number]
                for name, by_cost in self._by_cost.items()
                for _cost, number in by_cost[
                    : MAX_LOCAL_CANDIDATES
                    if name == data_centre
                    else MAX_REMOTE_CANDIDATES
                ]
            ]
        return [target for target in targets if target.available_slots(now) > 0]

    def fitting(
        self, candidates: list[SlotTarget], need: MemoryNeed | None, now: float
    ) -> list[SlotTarget]:
        """Return those of a request's candidates that fit it, and others if some don't.

        Parameters
        ----------
        candidates : list of SlotTarget
            Targets with a free slot, as from `candidates`.
        need : MemoryNeed or None
            What the request needs; None if it fits everywhere.
        now : float
            Seconds on the dispatcher's clock.
        """
        if need is None:
            return candidates
        fitting = need.select(candidates)
        if len(fitting) == len(candidates) or self._in_panic_mode(now):
            return fitting
        others = (t for t in self._roomy(need, now) if t not in fitting)
        return fitting + list(itertools.islice(others, MAX_ROOMY))

    def _roomy(self, need: MemoryNeed, now: float) -> Iterator[SlotTarget]:
        """Yield targets with a free slot that fit a request, the least used first."""
        crowded = (
            self._by_number[number]
            for _used, number in self._crowded.irange(
                maximum=(max(0.0, need.max_used), math.inf)
            )
        )
        for target in itertools.chain(self._uncrowded.values(), crowded):
            if need.fits(target) and target.available_slots(now) > 0:
                yield target

    def may_fit(self, need: MemoryNeed, now: float) -> bool:
        """Return whether a usable target seems to have a slot and memory free."""
        if self._uncrowded or self._in_panic_mode(now):
            return True
        return bool(self._crowded) and self._crowded[0][0] <= need.max_used

    def fastest(self, now: float) -> list[SlotTarget]:
        """Return the fastest usable targets, with or without a free slot.

        Those whose rate limit permits no request now are left out: many requests would
        wait for the same next one.
        """
        if self._in_panic_mode(now):
            targets = self._staying_targets()
        else:
            targets = [
                self._by_number[number]
                for _slowness, number in self._by_slowness[:MAX_FASTEST]
            ]
        if not self._rate_waits:
            return targets
        return [target for target in targets if now >= target.next_start_at]
