"""hibiscusstep.routing.target_subset: the targets of a standby dispatcher."""

import math
from collections.abc import Iterable

import xxhash

from hibiscusstep.routing.slot_target import SlotTarget

__all__ = ["TargetSubset"]

# Minimum size of the subset: if one target fails or is full, two others remain.
MIN_TARGETS = 3
_HASH_RANGE = 1 << 64


class TargetSubset:
    """Subset of the targets for one instance's standby dispatcher.

    While the pool's dispatcher is unreachable, as for some seconds after a restart of
    all instances, each standby dispatcher knows only its own grants. Subsets spread
    the requests of all instances evenly. Without them all instances chose the fastest
    targets, whose queues stayed full for another four seconds: 98 instances and 39
    targets of three speeds served 0.21 of the requests in the first two seconds and
    0.56 in the next two (`PoolEmulator`, two seeds). Targets are chosen with
    probabilities proportional to their speed.

    Parameters
    ----------
    instance : str
        Name of the instance.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._draws: dict[str, float] = {}

    def choose(self, targets: Iterable[SlotTarget], share: float) -> list[SlotTarget]:
        """Return the instance's targets, the same ones for the same input.

        Targets with a rate limit are in every subset, since each instance has an equal
        share of the limit.

        Parameters
        ----------
        targets : iterable of SlotTarget
            All usable targets.
        share : float
            Share of all slots that the instance may take.
        """
        # Among exponential random values, each divided by a weight, the probability of
        # a target's value to be the lowest is proportional to its weight.
        targets = list(targets)
        order = sorted(
            (target for target in targets if target.limiter is None),
            key=lambda t: self._draw(t.name) * t.slowness,
        )
        chosen = order[: max(MIN_TARGETS, math.ceil(share * len(order)))]
        return chosen + [target for target in targets if target.limiter]

    def _draw(self, name: str) -> float:
        if name not in self._draws:
            digest = xxhash.xxh64_intdigest(f"{self._instance}\0{name}".encode())
            self._draws[name] = -math.log((digest + 1) / _HASH_RANGE)
        return self._draws[name]
