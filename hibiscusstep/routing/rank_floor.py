"""hibiscusstep.routing.rank_floor: the least service that each rank of a pool gets."""

import math
from collections import defaultdict

__all__ = ["RankFloor"]

# A rank is granted at least this share of how often all requests are. Strictly by rank
# the last one got 0.03 to 0.12 of what it asked while all got half (six targets, 1.4
# times what they can do for 24 s, four seeds); with it 0.21 to 0.30. Of all, and not a
# part of the slots: what it costs the others is no more than is needed for it.
LEAST_SHARE = 0.4
# Seconds for which what was asked and granted counts, fading: bursts last some seconds.
MEMORY_S = 4.0
# With fewer requests of a rank in that time nothing is said of it.
FEWEST_ASKED = 8.0
# What is counted fades in steps of this, in seconds.
FADE_STEP_S = 0.05


class RankFloor:
    """Tells which ranks were granted too little lately, of what they asked.

    Order by rank says who goes first, not that nobody else goes: callers of the last
    rank have a patience of their own, and overload lasts longer than that.
    """

    def __init__(self) -> None:
        self._asked: dict[int, float] = defaultdict(float)
        self._granted: dict[int, float] = defaultdict(float)
        self._at = 0.0

    def asked(self, rank: int, now: float) -> None:
        """Take note of a new request."""
        self._fade(now)
        self._asked[rank] += 1

    def granted(self, rank: int, now: float) -> None:
        """Take note of a grant."""
        self._fade(now)
        self._granted[rank] += 1

    def owed(self, now: float) -> list[int]:
        """Return the ranks that are below the least share, the most neglected first."""
        shares = self.shares(now)
        least = LEAST_SHARE * self._share_of_all
        return sorted((rank for rank in shares if shares[rank] < least), key=shares.get)

    def shares(self, now: float) -> dict[int, float]:
        """Return how often each rank was granted lately, of what it asked."""
        self._fade(now)
        return {
            rank: self._granted[rank] / asked
            for rank, asked in self._asked.items()
            if asked >= FEWEST_ASKED
        }

    def rate(self, rank: int) -> float:
        """Return the grants a second that a rank gets at least; 0 if not known."""
        if self._asked.get(rank, 0.0) < FEWEST_ASKED:
            return 0.0
        return LEAST_SHARE * self._share_of_all * self._asked[rank] / MEMORY_S

    @property
    def _share_of_all(self) -> float:
        asked = sum(self._asked.values())
        return min(1.0, sum(self._granted.values()) / asked) if asked else 0.0

    def _fade(self, now: float) -> None:
        passed = now - self._at
        if passed < FADE_STEP_S:
            return
        self._at = now
        kept = math.exp(-passed / MEMORY_S)
        for counts in (self._asked, self._granted):
            for rank in counts:
                counts[rank] *= kept
