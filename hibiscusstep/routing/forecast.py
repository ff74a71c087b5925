"""hibiscusstep.routing.forecast: expected waiting times and retry delays."""

from collections.abc import Sequence

from hibiscusstep.configuration.models import Configuration
from hibiscusstep.routing.messages import Work
from hibiscusstep.routing.queue import QueuedRequest, TierQueue
from hibiscusstep.routing.shedding import Shedder
from hibiscusstep.routing.target_estimate import TargetEstimate

__all__ = ["MIN_RETRY_AFTER_S", "Forecast"]

# Bounds of the retry delay, and the delay if no target is known to have failed.
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 120.0
UNREACHABLE_RETRY_S = 1.0
# Validity of the computed seconds until a slot is free.
FREE_SLOT_CACHE_S = 0.02


class Forecast:
    """Estimates waiting times from the waiting and running requests.

    Parameters
    ----------
    configuration : Configuration
        The ranks of tiers and the weights of customers.
    queues : dict of str to TierQueue
        Waiting requests by tier, the highest tier first.
    targets : dict of str to TargetEstimate
        Targets by name, with their running requests.
    shedder : Shedder
        Decides which running requests may be stopped.
    """

    def __init__(
        self,
        configuration: Configuration,
        queues: dict[str, TierQueue],
        targets: dict[str, TargetEstimate],
        shedder: Shedder,
    ) -> None:
        self._tiers = configuration.tiers
        self._weights = {n: c.weight for n, c in configuration.customers.items()}
        self._queues = queues
        self._targets = targets
        self._shedder = shedder
        self._free_slot_cache: dict[int, tuple[float, float]] = {}

    def expected_wait(
        self,
        queued: QueuedRequest,
        usable_targets: Sequence[TargetEstimate],
        now: float,
    ) -> float:
        """Return the expected seconds until a waiting request is granted."""
        slots = sum(target.max_running for target in usable_targets)
        if not slots:
            return self._seconds_to_probe(now)
        work_ahead_s = self._work_ahead_of(queued)
        if not work_ahead_s and any(target.free > 0 for target in usable_targets):
            return 0.0
        return work_ahead_s / slots + self._seconds_to_free_slot(
            queued.work.rank, usable_targets, now
        )

    def retry_after(
        self, work: Work, usable_targets: Sequence[TargetEstimate], now: float
    ) -> float:
        """Return the seconds after which a refused caller should retry.

        By then the running requests, and the waiting ones of its tier and of higher
        tiers, are expected to have ended.
        """
        slots = sum(target.max_running for target in usable_targets)
        if not slots:
            return max(MIN_RETRY_AFTER_S, self._seconds_to_probe(now))
        waiting = sum(
            queue.backlog()
            for tier, queue in self._queues.items()
            if self._tiers[tier].rank <= work.rank
        )
        running = sum(
            target.remaining_seconds(run, now)
            for target in usable_targets
            for run in target.running.values()
        )
        seconds = (waiting + running) / slots
        return round(min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, seconds)), 1)

    def _work_ahead_of(self, queued: QueuedRequest) -> float:
        """Return the seconds of service of the requests ahead of a waiting one."""
        total = 0.0
        for tier, queue in self._queues.items():
            if tier == queued.work.tier:
                own_tier = queue.work_ahead(queued, self._weights)
                return max(0.0, total + own_tier - queued.cost)
            total += queue.backlog()
        return total

    def _seconds_to_free_slot(
        self, rank: int, usable_targets: Sequence[TargetEstimate], now: float
    ) -> float:
        """Return the seconds until a request of the rank can have a slot."""
        if any(target.free > 0 for target in usable_targets):
            return 0.0
        computed_at, seconds = self._free_slot_cache.get(rank, (-1.0, 0.0))
        if now - computed_at > FREE_SLOT_CACHE_S:
            seconds = self._compute_seconds_to_free_slot(rank, usable_targets, now)
            self._free_slot_cache[rank] = now, seconds
        return seconds

    def _compute_seconds_to_free_slot(
        self, rank: int, usable_targets, now: float
    ) -> float:
        return min(
            (
                0.0
                if run.work.rank > rank and self._shedder.may_stop(run)
                else target.remaining_seconds(run, now)
                for target in usable_targets
                for run in target.running.values()
            ),
            default=0.0,
        )

    def _seconds_to_probe(self, now: float) -> float:
        """Return the seconds until the next probe of a failed target."""
        backoffs = [t.backoff_until - now for t in self._targets.values() if t.failures]
        soonest = min(backoffs, default=UNREACHABLE_RETRY_S)
        return round(min(MAX_RETRY_AFTER_S, max(0.0, soonest)), 1)
