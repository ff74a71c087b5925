"""hibiscusstep.routing.target_order: a pool's targets, kept in order as they change."""

import heapq
import itertools
from collections import defaultdict
from dataclasses import dataclass

from sortedcontainers import SortedList

from hibiscusstep.routing.slot_target import SlotTarget

__all__ = ["TargetIndex"]

# With fewer than this share of the targets fit, failures say more of the network, or
# of the one who reports them, than of the targets: all are used.
PANIC_THRESHOLD = 0.5
# Seconds of a usual request, by which the targets with room are ordered.
TYPICAL_REQUEST_S = 0.6
# So many of the cheapest targets with room are weighed for a request, of its own data
# centre and of each other one: the best is among them, as far as their order by a usual
# request tells, and a decision costs the same however many there are.
MAX_LOCAL_CANDIDATES = 8
MAX_REMOTE_CANDIDATES = 3
# So many of the fastest targets are looked at for one that is worth the wait: where
# they do not serve in time, no slower one does but by chance.
MAX_FASTEST = 24


@dataclass(slots=True)
class _Entry:
    """What a target counts for, and where it stands in the orders."""

    target: SlotTarget
    number: int
    centre: str = ""
    slots: int = 0
    staying: bool = False
    fit: bool = False
    room: tuple[float, int] | None = None
    pace: tuple[float, int] | None = None


class TargetIndex:
    """Tells which targets have room, and which are fast, without a walk over all.

    A walk over all for each message made a decision cost 96 us with 30 targets and
    223 us with 156 (`examples/decision_cost.py`, 100 waiting).
    """

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._by_number: dict[int, SlotTarget] = {}
        self._numbers = itertools.count()
        self._by_cost: dict[str, SortedList] = defaultdict(SortedList)
        self._by_slowness = SortedList()
        self._backoffs: list[tuple[float, int]] = []
        self._healthy_count = 0
        self._staying_count = 0
        self._slots = 0

    def add(self, target: SlotTarget, now: float) -> None:
        """Take a target; of those that are alike the one that was added first leads."""
        number = next(self._numbers)
        self._by_number[number] = target
        self._entries[target.name] = _Entry(target, number)
        self.update(target, now)

    def remove(self, target: SlotTarget) -> None:
        """Drop a target."""
        entry = self._entries.pop(target.name)
        self._unlink(entry)
        del self._by_number[entry.number]

    def update(self, target: SlotTarget, now: float) -> None:
        """Take note that a target's slots, speed, failures or state changed."""
        entry = self._entries.get(target.name)
        if entry is None:
            return
        if entry.fit and target.usable(now) and self._is_config_current(entry):
            self._reposition(entry)
            return
        self._unlink(entry)
        if target.leaving:
            return
        self._staying_count += 1
        entry.staying = True
        entry.slots, entry.centre = target.slots, target.data_centre
        if now < target.rest_until:
            heapq.heappush(self._backoffs, (target.rest_until, entry.number))
            return
        entry.fit = True
        self._healthy_count += 1
        self._slots += target.slots
        self._reposition(entry)

    def _reposition(self, entry: _Entry) -> None:
        """Put a target that is fit where it stands in the orders now."""
        target = entry.target
        pace = target.slowness, entry.number
        if pace != entry.pace:
            if entry.pace:
                self._by_slowness.remove(entry.pace)
            self._by_slowness.add(pace)
            entry.pace = pace
        room = (
            (target.cost(TYPICAL_REQUEST_S), entry.number)
            if target.unassigned_slots > 0
            else None
        )
        if room != entry.room:
            if entry.room:
                self._by_cost[entry.centre].remove(entry.room)
            if room:
                self._by_cost[entry.centre].add(room)
            entry.room = room

    def _unlink(self, entry: _Entry) -> None:
        self._staying_count -= entry.staying
        if entry.fit:
            self._healthy_count -= 1
            self._slots -= entry.slots
            self._by_slowness.remove(entry.pace)
        if entry.room:
            self._by_cost[entry.centre].remove(entry.room)
        entry.staying = entry.fit = False
        entry.room = entry.pace = None

    def _is_config_current(self, entry: _Entry) -> bool:
        target = entry.target
        return (entry.slots, entry.centre) == (target.slots, target.data_centre)

    def _end_backoffs(self, now: float) -> None:
        """Take back those that have rested."""
        while self._backoffs and self._backoffs[0][0] <= now:
            _until, number = heapq.heappop(self._backoffs)
            target = self._by_number.get(number)
            if target and not self._entries[target.name].fit:
                self.update(target, now)

    def _in_panic_mode(self, now: float) -> bool:
        self._end_backoffs(now)
        return self._healthy_count < PANIC_THRESHOLD * self._staying_count

    def _staying_targets(self) -> list[SlotTarget]:
        return [t for t in self._by_number.values() if not t.leaving]

    def usable(self, now: float) -> list[SlotTarget]:
        """Return all targets that may be used."""
        if self._in_panic_mode(now):
            return self._staying_targets()
        return [t for t in self._staying_targets() if t.usable(now)]

    def slots(self, now: float) -> int:
        """Return the slots of all targets that may be used."""
        if self._in_panic_mode(now):
            return sum(target.slots for target in self._staying_targets())
        return self._slots

    def has_free_slot(self, now: float) -> bool:
        """Whether a target that may be used seems to have a free slot."""
        return self._in_panic_mode(now) or any(self._by_cost.values())

    def candidates(self, centre: str, now: float) -> list[SlotTarget]:
        """Return targets with a free slot that are worth weighing for a request.

        Parameters
        ----------
        centre : str
            Data centre of the request.
        now : float
            Seconds on the dispatcher's clock.
        """
        if self._in_panic_mode(now):
            targets = self._staying_targets()
        else:
            targets = [
                self._by_number[number]
                for name, room in self._by_cost.items()
                for _cost, number in room[
                    : MAX_LOCAL_CANDIDATES if name == centre else MAX_REMOTE_CANDIDATES
                ]
            ]
        return [target for target in targets if target.available_slots(now) > 0]

    def fastest(self, now: float) -> list[SlotTarget]:
        """Return the fastest targets that may be used, with room or without."""
        if self._in_panic_mode(now):
            return self._staying_targets()
        return [
            self._by_number[number]
            for _slowness, number in self._by_slowness[:MAX_FASTEST]
        ]
