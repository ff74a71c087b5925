"""hibiscusstep.routing.target_order: a pool's targets, kept in order as they change."""

import heapq
import itertools
from collections import defaultdict
from dataclasses import dataclass

from sortedcontainers import SortedList

from hibiscusstep.routing.slot_target import SlotTarget

__all__ = ["TargetOrder"]

# With fewer than this share of the targets fit, failures say more of the network, or
# of the one who reports them, than of the targets: all are used.
PANIC_SHARE = 0.5
# Seconds of a usual request, by which the targets with room are ordered.
USUAL_S = 0.6
# So many of the cheapest targets with room are weighed for a request, of its own data
# centre and of each other one: the best is among them, as far as their order by a usual
# request tells, and a decision costs the same however many there are.
NEAR_WEIGHED = 8
ELSEWHERE_WEIGHED = 3
# So many of the fastest targets are looked at for one that is worth the wait: where
# they do not serve in time, no slower one does but by chance.
FASTEST_LOOKED_AT = 24


@dataclass(slots=True)
class _Place:
    """What a target counts for, and where it stands in the orders."""

    target: SlotTarget
    number: int
    centre: str = ""
    slots: int = 0
    staying: bool = False
    fit: bool = False
    room: tuple[float, int] | None = None
    pace: tuple[float, int] | None = None


class TargetOrder:
    """Tells which targets have room, and which are fast, without a walk over all.

    A walk over all for each message made a decision cost 96 us with 30 targets and
    223 us with 156 (`examples/decision_cost.py`, 100 waiting).
    """

    def __init__(self) -> None:
        self._places: dict[str, _Place] = {}
        self._by_number: dict[int, SlotTarget] = {}
        self._numbers = itertools.count()
        self._room: dict[str, SortedList] = defaultdict(SortedList)
        self._pace = SortedList()
        self._rests: list[tuple[float, int]] = []
        self._fit = 0
        self._staying = 0
        self._slots = 0

    def add(self, target: SlotTarget, now: float) -> None:
        """Take a target; of those that are alike the one that was added first leads."""
        number = next(self._numbers)
        self._by_number[number] = target
        self._places[target.name] = _Place(target, number)
        self.changed(target, now)

    def remove(self, target: SlotTarget) -> None:
        """Drop a target."""
        place = self._places.pop(target.name)
        self._clear(place)
        del self._by_number[place.number]

    def changed(self, target: SlotTarget, now: float) -> None:
        """Take note that a target's slots, speed, failures or state changed."""
        place = self._places.get(target.name)
        if place is None:
            return
        if place.fit and target.usable(now) and self._is_placed_alike(place):
            self._move(place)
            return
        self._clear(place)
        if target.leaving:
            return
        self._staying += 1
        place.staying = True
        place.slots, place.centre = target.slots, target.data_centre
        if now < target.rest_until:
            heapq.heappush(self._rests, (target.rest_until, place.number))
            return
        place.fit = True
        self._fit += 1
        self._slots += target.slots
        self._move(place)

    def _move(self, place: _Place) -> None:
        """Put a target that is fit where it stands in the orders now."""
        target = place.target
        pace = target.slowness, place.number
        if pace != place.pace:
            if place.pace:
                self._pace.remove(place.pace)
            self._pace.add(pace)
            place.pace = pace
        room = (target.cost(USUAL_S), place.number) if target.room > 0 else None
        if room != place.room:
            if place.room:
                self._room[place.centre].remove(place.room)
            if room:
                self._room[place.centre].add(room)
            place.room = room

    def _clear(self, place: _Place) -> None:
        self._staying -= place.staying
        if place.fit:
            self._fit -= 1
            self._slots -= place.slots
            self._pace.remove(place.pace)
        if place.room:
            self._room[place.centre].remove(place.room)
        place.staying = place.fit = False
        place.room = place.pace = None

    def _is_placed_alike(self, place: _Place) -> bool:
        target = place.target
        return (place.slots, place.centre) == (target.slots, target.data_centre)

    def _wake(self, now: float) -> None:
        """Take back those that have rested."""
        while self._rests and self._rests[0][0] <= now:
            _until, number = heapq.heappop(self._rests)
            target = self._by_number.get(number)
            if target and not self._places[target.name].fit:
                self.changed(target, now)

    def _panics(self, now: float) -> bool:
        self._wake(now)
        return self._fit < PANIC_SHARE * self._staying

    def _all_staying(self) -> list[SlotTarget]:
        return [t for t in self._by_number.values() if not t.leaving]

    def usable(self, now: float) -> list[SlotTarget]:
        """Return all targets that may be used."""
        if self._panics(now):
            return self._all_staying()
        return [t for t in self._all_staying() if t.usable(now)]

    def slots(self, now: float) -> int:
        """Return the slots of all targets that may be used."""
        if self._panics(now):
            return sum(target.slots for target in self._all_staying())
        return self._slots

    def has_room(self, now: float) -> bool:
        """Whether a target that may be used seems to have a free slot."""
        return self._panics(now) or any(self._room.values())

    def free(self, centre: str, now: float) -> list[SlotTarget]:
        """Return targets with a free slot that are worth weighing for a request.

        Parameters
        ----------
        centre : str
            Data centre of the request.
        now : float
            Seconds on the dispatcher's clock.
        """
        if self._panics(now):
            found = self._all_staying()
        else:
            found = [
                self._by_number[number]
                for name, room in self._room.items()
                for _cost, number in room[
                    : NEAR_WEIGHED if name == centre else ELSEWHERE_WEIGHED
                ]
            ]
        return [target for target in found if target.free(now) > 0]

    def fastest(self, now: float) -> list[SlotTarget]:
        """Return the fastest targets that may be used, with room or without."""
        if self._panics(now):
            return self._all_staying()
        return [
            self._by_number[number] for _pace, number in self._pace[:FASTEST_LOOKED_AT]
        ]
