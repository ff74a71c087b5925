"""hibiscusstep.routing.shedding: which requests are shed for a higher tier."""

from collections.abc import Iterator

from hibiscusstep.configuration.models import Configuration
from hibiscusstep.routing.queue import QueuedRequest, TierQueue
from hibiscusstep.routing.target_estimate import RunningRequest, TargetEstimate

__all__ = ["Shedder"]


class Shedder:
    """Selects requests of lower tiers to shed before a higher tier is refused.

    Parameters
    ----------
    configuration : Configuration
        The operators' shedding rules.
    queues : dict of str to TierQueue
        Waiting requests by tier, the highest tier first.
    targets : dict of str to TargetEstimate
        Targets by name, with their running requests.
    """

    def __init__(
        self,
        configuration: Configuration,
        queues: dict[str, TierQueue],
        targets: dict[str, TargetEstimate],
    ) -> None:
        self._configuration = configuration
        self._queues = queues
        self._targets = targets

    def may_stop(self, run: RunningRequest) -> bool:
        """Whether the rules allow stopping a running request."""
        rule = self._configuration.shedding_rule(run.work.tier)
        return run.work.stoppable and rule.may_be_stopped

    def waiting_below(self, rank: int) -> Iterator[QueuedRequest]:
        """Yield the waiting requests of lower tiers, the lowest tier first."""
        for queue in reversed(self._queues.values()):
            yield from (queued for queued in queue if queued.work.rank > rank)

    def victims(
        self, rank: int, now: float
    ) -> list[tuple[TargetEstimate, RunningRequest]]:
        """Return the running requests that may be stopped for one of a rank.

        The lowest tier comes first, and within it the request with the least work done.
        """
        candidates = [
            (target, run)
            for target in self._targets.values()
            for run in target.running.values()
            if run.work.rank > rank and not run.stopping and self.may_stop(run)
        ]
        return sorted(candidates, key=lambda pair: self._stop_order(pair[1], now))

    def stopping(self, rank: int) -> int:
        """Return how many requests below a rank are being stopped but still run."""
        return sum(
            run.stopping and run.work.rank > rank
            for target in self._targets.values()
            for run in target.running.values()
        )

    def _stop_order(self, run: RunningRequest, now: float) -> tuple[int, float]:
        has_first_token = run.first_token_at is not None
        computed_tokens = run.uncached if has_first_token else 0.0
        return (-run.work.rank, computed_tokens + (now - run.granted_at))
