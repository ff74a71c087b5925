"""hibiscusstep.routing.forecast: how long work will wait, and when to come back."""

from collections.abc import Sequence

from hibiscusstep.configuration.models import Configuration
from hibiscusstep.routing.estimate import TargetState
from hibiscusstep.routing.messages import Work
from hibiscusstep.routing.queue import TierQueue, Waiting
from hibiscusstep.routing.shedding import Shedder

__all__ = ["MIN_RETRY_AFTER_S", "Forecast"]

MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 120.0
UNREACHABLE_RETRY_S = 1.0
NEXT_FREE_VALID_S = 0.02


class Forecast:
    """Expects waits from what waits and runs.

    Parameters
    ----------
    configuration : Configuration
        Holds ranks and weights.
    queues : dict of str to TierQueue
        Waiting work by tier, the highest first.
    targets : dict of str to TargetState
        Running work by target.
    shedder : Shedder
        Knows what may be stopped.
    """

    def __init__(
        self,
        configuration: Configuration,
        queues: dict[str, TierQueue],
        targets: dict[str, TargetState],
        shedder: Shedder,
    ) -> None:
        self._tiers = configuration.tiers
        self._weights = {n: c.weight for n, c in configuration.customers.items()}
        self._queues = queues
        self._targets = targets
        self._shedder = shedder
        self._next_free_at: dict[int, tuple[float, float]] = {}

    def wait(self, item: Waiting, live: Sequence[TargetState], now: float) -> float:
        """Return the expected seconds until a request is granted."""
        places = sum(target.max_running for target in live)
        if not places:
            return self._next_probe(now)
        ahead = self._ahead(item)
        if not ahead and any(target.free > 0 for target in live):
            return 0.0
        return ahead / places + self._next_free(item.work.rank, live, now)

    def retry_after(self, work: Work, live: Sequence[TargetState], now: float) -> float:
        """Return the seconds until what goes before the tier should be served."""
        places = sum(target.max_running for target in live)
        if not places:
            return max(MIN_RETRY_AFTER_S, self._next_probe(now))
        waiting = sum(
            queue.backlog()
            for tier, queue in self._queues.items()
            if self._tiers[tier].rank <= work.rank
        )
        running = sum(
            target.seconds_left(run, now)
            for target in live
            for run in target.running.values()
        )
        seconds = (waiting + running) / places
        return round(min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, seconds)), 1)

    def _ahead(self, item: Waiting) -> float:
        """Return the target seconds of the waiting work that goes first."""
        total = 0.0
        for tier, queue in self._queues.items():
            if tier == item.work.tier:
                own = queue.work_ahead(item, self._weights)
                return max(0.0, total + own - item.cost)
            total += queue.backlog()
        return total

    def _next_free(self, rank: int, live: Sequence[TargetState], now: float) -> float:
        """Return the seconds until a place is free that the rank may take."""
        if any(target.free > 0 for target in live):
            return 0.0
        at, seconds = self._next_free_at.get(rank, (-1.0, 0.0))
        if now - at > NEXT_FREE_VALID_S:
            seconds = self._scan_next_free(rank, live, now)
            self._next_free_at[rank] = now, seconds
        return seconds

    def _scan_next_free(self, rank: int, live, now: float) -> float:
        return min(
            (
                0.0
                if run.work.rank > rank and self._shedder.may_stop(run)
                else target.seconds_left(run, now)
                for target in live
                for run in target.running.values()
            ),
            default=0.0,
        )

    def _next_probe(self, now: float) -> float:
        """Return the seconds until a failed target is tried again."""
        waits = [t.suspect_until - now for t in self._targets.values() if t.failures]
        soonest = min(waits, default=UNREACHABLE_RETRY_S)
        return round(min(MAX_RETRY_AFTER_S, max(0.0, soonest)), 1)
