"""hibiscusstep.routing.own_targets: the targets of one that dispatches for itself."""

import math
from collections.abc import Iterable

import xxhash

from hibiscusstep.routing.slot_target import SlotTarget

__all__ = ["TargetSubset"]

# So many at the least: where one fails or is full there are two others.
MIN_TARGETS = 3
_HASH_RANGE = 1 << 64


class TargetSubset:
    """Chooses a few targets for one instance, so that all instances spread evenly.

    While nobody dispatches for all, as for some seconds after a restart of all, each
    instance sees only what it granted itself. All took the fastest targets, whose
    queues then were full for four seconds more: 98 instances and 39 targets of three
    speeds served 0.21 of what was asked in the first two seconds and 0.56 in the next
    (`PoolEmulator`, two seeds). A target is chosen as often as it is fast.

    Parameters
    ----------
    instance : str
        Its name.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._draws: dict[str, float] = {}

    def choose(self, targets: Iterable[SlotTarget], share: float) -> list[SlotTarget]:
        """Return the targets of the instance, the same as long as these are alike.

        Parameters
        ----------
        targets : iterable of SlotTarget
            All that may be used.
        share : float
            Part of all slots that the instance may take.
        """
        # The least of exponential draws, each divided by a weight, falls on a target
        # as often as its weight says.
        order = sorted(targets, key=lambda t: self._draw(t.name) * t.slowness)
        return order[: max(MIN_TARGETS, math.ceil(share * len(order)))]

    def _draw(self, name: str) -> float:
        if name not in self._draws:
            digest = xxhash.xxh64_intdigest(f"{self._instance}\0{name}".encode())
            self._draws[name] = -math.log((digest + 1) / _HASH_RANGE)
        return self._draws[name]
