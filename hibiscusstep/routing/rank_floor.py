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
# A rank whose requests take less than this part of the mean time, and together no more
# than this part of all, is granted as often as the ranks above it: next to nothing is
# gained for them by refusing it.
SHORT_REQUEST, SMALL_PART = 0.25, 0.1
# With fewer requests of a rank in that time nothing is said of it.
FEWEST_ASKED = 8.0
# What is counted fades in steps of this, in seconds.
FADE_STEP_S = 0.05


class RankFloor:
    """Tells which ranks were granted too little lately, of what they asked.

    Order by rank says who goes first, not that nobody else goes: callers of the last
    rank have a patience of their own, and overload lasts longer than that.
    """

    def __init__(self, *, spares_short: bool = True) -> None:
        self._spares_short = spares_short
        self._asked: dict[int, float] = defaultdict(float)
        self._granted: dict[int, float] = defaultdict(float)
        self._seconds: dict[int, float] = defaultdict(float)
        self._short: set[int] = set()
        self._short_at = -math.inf
        self._at = 0.0

    def asked(self, rank: int, now: float, seconds: float = 1.0) -> None:
        """Take note of a new request, and for how long it takes a slot."""
        self._fade(now)
        self._asked[rank] += 1
        self._seconds[rank] += seconds

    def granted(self, rank: int, now: float) -> None:
        """Take note of a grant."""
        self._fade(now)
        self._granted[rank] += 1

    def owed(self, now: float) -> list[int]:
        """Return the ranks that are below the least share, the most neglected first."""
        shares = self.shares(now)
        self._find_short(now)
        below = (rank for rank in shares if shares[rank] < self._least(rank, shares))
        return sorted(below, key=shares.get)

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
        shares = self.shares(self._at) if rank in self._short else {}
        return self._least(rank, shares) * self._asked[rank] / MEMORY_S

    def _least(self, rank: int, shares: dict[int, float]) -> float:
        """Return the share of its requests that a rank is granted at least."""
        least = LEAST_SHARE * self._share_of_all
        if rank not in self._short:
            return least
        above = min((s for r, s in shares.items() if r < rank), default=0.0)
        return max(least, min(above, self._share_of_all))

    def _find_short(self, now: float) -> None:
        """Find the ranks whose requests take little time, each and together."""
        if not self._spares_short or now < self._short_at + FADE_STEP_S:
            return
        self._short_at = now
        seconds, asked = sum(self._seconds.values()), sum(self._asked.values())
        self._short = {
            rank
            for rank, own in self._seconds.items()
            if own < SMALL_PART * seconds
            and own * asked < SHORT_REQUEST * seconds * self._asked[rank]
        }

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
        for counts in (self._asked, self._granted, self._seconds):
            for rank in counts:
                counts[rank] *= kept
