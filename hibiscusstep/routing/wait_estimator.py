"""hibiscusstep.routing.wait_estimator: how long queued requests will wait."""

from hibiscusstep.routing.messages import Work
from hibiscusstep.routing.pool_capacity import PoolCapacity
from hibiscusstep.routing.rank_floor import RankFloor
from hibiscusstep.routing.slot_queue import SlotQueue
from hibiscusstep.routing.wait_limits import MAX_RETRY_AFTER_S

__all__ = ["WaitEstimator"]


class WaitEstimator:
    """Estimates waiting times from the queue, the capacity and the rank's floor.

    Parameters
    ----------
    queue : SlotQueue
        The queued requests.
    capacity : PoolCapacity
        Service rate of the pool.
    rank_floor : RankFloor or None
        Minimum service of each rank; None if strict priority applies.

    Attributes
    ----------
    queue : SlotQueue
        The queued requests; replaced if their order changes.
    """

    def __init__(
        self, queue: SlotQueue, capacity: PoolCapacity, rank_floor: RankFloor | None
    ) -> None:
        self.queue = queue
        self._capacity = capacity
        self._rank_floor = rank_floor

    def seconds(self, work: Work, now: float) -> float:
        """Return the estimated seconds until a queued request is granted."""
        wait = self._capacity.wait_seconds(*self.queue.ahead_of(work.ask), now)
        if wait is None:
            wait = MAX_RETRY_AFTER_S
        if self._rank_floor is None:
            return wait
        min_rate = self._rank_floor.min_grant_rate(work.rank)
        return min(wait, self._by_floor(work, min_rate, now)) if min_rate else wait

    def _by_floor(self, work: Work, min_rate: float, now: float) -> float:
        """Return the seconds until the minimum service of its rank reaches a request.

        Where all targets are limited, the mean interval between the requests of a rank
        is longer than any of them waits. The first one of a rank that is underserved is
        granted as soon as a limit permits it.
        """
        position = self.queue.position_in_rank(work.ask)
        by_rate = (position + 1) / min_rate
        if not self._capacity.is_limited:
            return by_rate
        start_delay = self._capacity.start_delay(now)
        if position == 0 and work.rank in self._rank_floor.underserved(now):
            return start_delay
        return start_delay + by_rate
