"""hibiscusstep.routing.rank_floor: the least service that each rank of a pool gets."""

import math
from collections import defaultdict

__all__ = ["RankFloor"]

# A rank is granted at least this share of how often all requests are. Strictly by rank
# the last one got 0.03 to 0.12 of what it asked while all got half (six targets, 1.4
# times what they can do for 24 s, four seeds); with it 0.21 to 0.30. Of all, and not a
# part of the slots: what it costs the others is no more than is needed for it.
MIN_RELATIVE_GRANT_SHARE = 0.4
# Seconds for which what was asked and granted counts, fading: bursts last some seconds.
DECAY_TIME_S = 4.0
# A rank whose requests take less than this part of the mean time, and together no more
# than this part of all, is granted as often as the ranks above it: next to nothing is
# gained for them by refusing it.
SHORT_REQUEST_SHARE, SMALL_LOAD_SHARE = 0.25, 0.1
# With fewer requests of a rank in that time nothing is said of it.
MIN_REQUESTS = 8.0
# What is counted fades in steps of this, in seconds.
DECAY_INTERVAL_S = 0.05


class RankFloor:
    """Tells which ranks were granted too little lately, of what they asked.

    Order by rank says who goes first, not that nobody else goes: callers of the last
    rank have a patience of their own, and overload lasts longer than that.
    """

    def __init__(self, *, protect_short: bool = True) -> None:
        self._protect_short = protect_short
        self._requested: dict[int, float] = defaultdict(float)
        self._granted: dict[int, float] = defaultdict(float)
        self._seconds: dict[int, float] = defaultdict(float)
        self._short_ranks: set[int] = set()
        self._short_updated_at = -math.inf
        self._decayed_at = 0.0

    def record_request(self, rank: int, now: float, seconds: float = 1.0) -> None:
        """Take note of a new request, and for how long it takes a slot."""
        self._decay(now)
        self._requested[rank] += 1
        self._seconds[rank] += seconds

    def record_grant(self, rank: int, now: float) -> None:
        """Take note of a grant."""
        self._decay(now)
        self._granted[rank] += 1

    def underserved(self, now: float) -> list[int]:
        """Return the ranks that are below the least share, the most neglected first."""
        shares = self.grant_shares(now)
        self._update_short_ranks(now)
        below = (
            rank for rank in shares if shares[rank] < self._min_share(rank, shares)
        )
        return sorted(below, key=shares.get)

    def grant_shares(self, now: float) -> dict[int, float]:
        """Return how often each rank was granted lately, of what it asked."""
        self._decay(now)
        return {
            rank: self._granted[rank] / requested
            for rank, requested in self._requested.items()
            if requested >= MIN_REQUESTS
        }

    def min_grant_rate(self, rank: int) -> float:
        """Return the grants a second that a rank gets at least; 0 if not known."""
        if self._requested.get(rank, 0.0) < MIN_REQUESTS:
            return 0.0
        shares = (
            self.grant_shares(self._decayed_at) if rank in self._short_ranks else {}
        )
        return self._min_share(rank, shares) * self._requested[rank] / DECAY_TIME_S

    def _min_share(self, rank: int, shares: dict[int, float]) -> float:
        """Return the share of its requests that a rank is granted at least."""
        min_share = MIN_RELATIVE_GRANT_SHARE * self._overall_share
        if rank not in self._short_ranks:
            return min_share
        above = min((s for r, s in shares.items() if r < rank), default=0.0)
        return max(min_share, min(above, self._overall_share))

    def _update_short_ranks(self, now: float) -> None:
        """Find the ranks whose requests take little time, each and together."""
        if not self._protect_short or now < self._short_updated_at + DECAY_INTERVAL_S:
            return
        self._short_updated_at = now
        seconds, requested = sum(self._seconds.values()), sum(self._requested.values())
        self._short_ranks = {
            rank
            for rank, own in self._seconds.items()
            if own < SMALL_LOAD_SHARE * seconds
            and own * requested < SHORT_REQUEST_SHARE * seconds * self._requested[rank]
        }

    @property
    def _overall_share(self) -> float:
        requested = sum(self._requested.values())
        return min(1.0, sum(self._granted.values()) / requested) if requested else 0.0

    def _decay(self, now: float) -> None:
        passed = now - self._decayed_at
        if passed < DECAY_INTERVAL_S:
            return
        self._decayed_at = now
        kept = math.exp(-passed / DECAY_TIME_S)
        for counts in (self._requested, self._granted, self._seconds):
            for rank in counts:
                counts[rank] *= kept
