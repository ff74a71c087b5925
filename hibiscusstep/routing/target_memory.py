"""hibiscusstep.routing.target_memory: bound on the tokens in a target's memory.

An engine that holds requests beyond its memory crashes. The load is long prompts: a few
of them fill the memory of an engine before its slots. Decisions only; the counts are
`SlotTarget.memory_used`.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass, field

from hibiscusstep.routing.messages import Work
from hibiscusstep.routing.slot_target import SlotTarget

__all__ = ["MemoryBound", "MemoryNeed"]

# Number of smaller requests that may overtake one that waits for memory. A large pool
# grants this many in about 50 ms, a small part of any objective.
MAX_OVERTAKING = 16
# Maximum share of the targets considered that are reserved at the same time; at least
# one is. The others serve the smaller requests meanwhile.
MAX_RESERVED_SHARE = 0.125
# Maximum number of waiting requests whose overtaking is counted, to bound the cost of a
# grant. The others are counted once one of these no longer waits.
MAX_COUNTED = 32
# Share of the bound above which the log of a grant has the memory in use.
LOGGED_SHARE = 0.5


@dataclass(slots=True)
class MemoryNeed:
    """What a request needs of a target's memory.

    Parameters
    ----------
    max_used : float
        Tokens in use at a target up to which the request fits; negative if it fits
        only a target with none in use.
    withheld : collection of str
        Targets reserved for other requests that this one may not overtake.
    """

    max_used: float
    withheld: Collection[str] = ()

    def fits(self, target: SlotTarget) -> bool:
        """Return whether the request may be granted the target."""
        return self.has_room(target) and target.name not in self.withheld

    def select(self, targets: list[SlotTarget]) -> list[SlotTarget]:
        """Return the targets that the request may be granted."""
        max_used = self.max_used
        fitting = [
            target
            for target in targets
            if target.memory_used <= max_used or not target.memory_used
        ]
        if not self.withheld:
            return fitting
        return [target for target in fitting if target.name not in self.withheld]

    def has_room(self, target: SlotTarget) -> bool:
        """Return whether the target has enough memory for the request."""
        return target.memory_used <= self.max_used or not target.memory_used


@dataclass(slots=True)
class _Waiting:
    """A request that waits for memory, and how many smaller ones overtook it."""

    work: Work
    overtaken: int = 0
    target: str = ""


@dataclass(slots=True)
class MemoryBound:
    """Bound on the memory of a pool's targets, and the requests that wait for memory.

    A large request fits only when several smaller ones have ended at the same target.
    After `MAX_OVERTAKING` smaller ones were granted, a target is reserved for it:
    requests that it may go before get nothing there until it is granted.

    Parameters
    ----------
    tokens : int
        Tokens that the memory of each target holds; 0 for no bound.
    """

    tokens: int = 0
    _waiting: dict[str, _Waiting] = field(default_factory=dict)
    _ask_by_target: dict[str, str] = field(default_factory=dict)

    @property
    def has_waiting(self) -> bool:
        """Whether a request waits for memory."""
        return bool(self._waiting)

    @property
    def reserved_targets(self) -> frozenset[str]:
        """Names of the targets with a reservation."""
        return frozenset(self._ask_by_target)

    @property
    def reservations(self) -> list[tuple[Work, str]]:
        """The requests with a reservation, and their targets."""
        return [
            (self._waiting[ask].work, target)
            for target, ask in self._ask_by_target.items()
        ]

    def configure(self, tokens: int) -> None:
        """Set the bound; a changed one ends all reservations."""
        if tokens != self.tokens:
            self.tokens = tokens
            self._waiting.clear()
            self._ask_by_target.clear()

    def exceeded_by(self, work: Work) -> bool:
        """Return whether a request is larger than the whole memory of a target."""
        return 0 < self.tokens < work.memory_tokens

    def is_waiting(self, ask: str) -> bool:
        """Return whether a request is counted as waiting for memory."""
        return ask in self._waiting

    def need(
        self, work: Work, share: float, underserved: Collection[int]
    ) -> MemoryNeed | None:
        """Return what a request needs; None if it fits everywhere.

        Parameters
        ----------
        work : Work
            A request that fits an empty target.
        share : float
            Share of the memory that this dispatcher may grant; other dispatchers of
            the pool grant the rest. A target where it granted nothing may get one
            request of any size.
        underserved : collection of int
            Ranks that go before all others.
        """
        if not self.tokens:
            return None
        # A request that takes nothing fits, also where too much was adopted.
        max_used = (
            math.floor(share * self.tokens) - work.memory_tokens
            if work.memory_tokens
            else math.inf
        )
        if not self._ask_by_target:
            return MemoryNeed(max_used)
        return MemoryNeed(max_used, self._withheld_from(work, underserved))

    def _withheld_from(self, work: Work, underserved: Collection[int]) -> list[str]:
        return [
            target
            for target, ask in self._ask_by_target.items()
            if ask != work.ask
            and not _goes_before(work, self._waiting[ask].work, underserved)
        ]

    def record_wait(self, work: Work) -> bool:
        """Record that a request waits for memory; return whether it is counted anew."""
        if work.ask in self._waiting or len(self._waiting) >= MAX_COUNTED:
            return False
        self._waiting[work.ask] = _Waiting(work)
        return True

    def record_grant(self, work: Work, underserved: Collection[int]) -> None:
        """Count a grant as overtaking the larger requests that wait for memory."""
        for waiting in self._waiting.values():
            if work.memory_tokens < waiting.work.memory_tokens and not _goes_before(
                work, waiting.work, underserved
            ):
                waiting.overtaken += 1

    def may_reserve(self, ask: str, targets: int) -> bool:
        """Return whether one of the considered targets may be reserved."""
        waiting = self._waiting.get(ask)
        if waiting is None or waiting.target or waiting.overtaken < MAX_OVERTAKING:
            return False
        return len(self._ask_by_target) < max(1, int(MAX_RESERVED_SHARE * targets))

    def reserve(self, ask: str, target: str) -> None:
        """Reserve a target for a waiting request."""
        self._waiting[ask].target = target
        self._ask_by_target[target] = ask

    def release(self, target: str) -> None:
        """End the reservation of a target; its request waits on."""
        ask = self._ask_by_target.pop(target, None)
        if ask is not None:
            self._waiting[ask].target = ""

    def forget(self, ask: str) -> None:
        """Forget a request that was granted, refused or withdrawn."""
        waiting = self._waiting.pop(ask, None)
        if waiting is not None:
            self._ask_by_target.pop(waiting.target, None)

    def logged_tokens(self, target: SlotTarget) -> int:
        """Return a target's memory in use; 0 where it is too little to be logged."""
        used = target.memory_used
        return used if used > LOGGED_SHARE * self.tokens > 0 else 0

    def highest_share(self, targets: Collection[SlotTarget]) -> float:
        """Return the highest share of a target's memory in use; 0 without a bound."""
        if not self.tokens:
            return 0.0
        return max((target.memory_used for target in targets), default=0) / self.tokens


def _goes_before(work: Work, waiting: Work, underserved: Collection[int]) -> bool:
    """Return whether a request is served before a waiting one because of its rank."""
    if waiting.rank in underserved:
        return False
    return work.rank < waiting.rank or work.rank in underserved
