"""hibiscusstep.routing.rank_floor: the minimum service of each rank of a pool."""

import math
from collections import defaultdict

__all__ = ["RankFloor"]

# Minimum ratio of a rank's share of granted requests to the overall share. With strict
# priority the last rank was granted 0.03 to 0.12 of its requests while the overall
# share was one half (six targets, 1.4 times their capacity for 24 s, four seeds); with
# this minimum 0.21 to 0.30. It is relative to the overall share rather than a share of
# the slots, so that it costs the other ranks no more than necessary.
MIN_RELATIVE_GRANT_SHARE = 0.4
# Time constant of the exponential decay of the counts: bursts last some seconds.
DECAY_TIME_S = 4.0
# A rank is granted requests as often as the ranks above it if its requests take less
# than the first share of the mean service time, and all of them together less than the
# second share of the total. Refusing them would gain next to nothing for the other
# ranks.
SHORT_REQUEST_SHARE, SMALL_LOAD_SHARE = 0.25, 0.1
# Minimum decayed number of requests of a rank for which a share is computed.
MIN_REQUESTS = 8.0
# Interval between updates of the decay, in seconds.
DECAY_INTERVAL_S = 0.05


class RankFloor:
    """Counter of requests and grants by rank that finds underserved ranks.

    Priority by rank decides which requests go first, but lower ranks must still be
    served: their callers wait only for a limited time, and overload lasts longer.
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
        """Count a new request and its estimated service time in seconds."""
        self._decay(now)
        self._requested[rank] += 1
        self._seconds[rank] += seconds

    def record_grant(self, rank: int, now: float) -> None:
        """Count a grant."""
        self._decay(now)
        self._granted[rank] += 1

    def underserved(self, now: float) -> list[int]:
        """Return the ranks below their minimum share, the lowest share first."""
        shares = self.grant_shares(now)
        self._update_short_ranks(now)
        below = (
            rank for rank in shares if shares[rank] < self._min_share(rank, shares)
        )
        return sorted(below, key=shares.get)

    def grant_shares(self, now: float) -> dict[int, float]:
        """Return the recent share of granted requests of each rank."""
        self._decay(now)
        return {
            rank: self._granted[rank] / requested
            for rank, requested in self._requested.items()
            if requested >= MIN_REQUESTS
        }

    def min_grant_rate(self, rank: int) -> float:
        """Return the minimum grants per second of a rank; 0 if not known."""
        if self._requested.get(rank, 0.0) < MIN_REQUESTS:
            return 0.0
        shares = (
            self.grant_shares(self._decayed_at) if rank in self._short_ranks else {}
        )
        return self._min_share(rank, shares) * self._requested[rank] / DECAY_TIME_S

    def _min_share(self, rank: int, shares: dict[int, float]) -> float:
        """Return the minimum share of a rank's requests that is granted."""
        min_share = MIN_RELATIVE_GRANT_SHARE * self._overall_share
        if rank not in self._short_ranks:
            return min_share
        above = min((s for r, s in shares.items() if r < rank), default=0.0)
        return max(min_share, min(above, self._overall_share))

    def _update_short_ranks(self, now: float) -> None:
        """Update the ranks whose requests are short, each and in total."""
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
