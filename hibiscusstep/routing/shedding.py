"""hibiscusstep.routing.shedding: who makes way for whom."""

from collections.abc import Iterator

from hibiscusstep.configuration.models import Configuration
from hibiscusstep.routing.estimate import Running, TargetState
from hibiscusstep.routing.queue import TierQueue, Waiting

__all__ = ["Shedder"]


class Shedder:
    """Finds the work of lower tiers that goes before a higher one is refused.

    Parameters
    ----------
    configuration : Configuration
        Holds the operators' rules.
    queues : dict of str to TierQueue
        Waiting work by tier, the highest first.
    targets : dict of str to TargetState
        Running work by target.
    """

    def __init__(
        self,
        configuration: Configuration,
        queues: dict[str, TierQueue],
        targets: dict[str, TargetState],
    ) -> None:
        self._configuration = configuration
        self._queues = queues
        self._targets = targets

    def may_stop(self, run: Running) -> bool:
        """Whether a running request may be stopped by the rules."""
        rule = self._configuration.shedding_rule(run.work.tier)
        return run.work.stoppable and rule.may_be_stopped

    def waiting_below(self, rank: int) -> Iterator[Waiting]:
        """Yield the waiting work of lower tiers, the lowest first."""
        for queue in reversed(self._queues.values()):
            yield from (item for item in queue if item.work.rank > rank)

    def victims(self, rank: int, now: float) -> list[tuple[TargetState, Running]]:
        """Return the running work that may be stopped for a rank.

        The lowest tier goes first, within it what has least to lose.
        """
        found = [
            (target, run)
            for target in self._targets.values()
            for run in target.running.values()
            if run.work.rank > rank and not run.stopping and self.may_stop(run)
        ]
        return sorted(found, key=lambda pair: self._loss(pair[1], now))

    def stopping(self, rank: int) -> int:
        """Return how many lower requests were told to stop and still run."""
        return sum(
            run.stopping and run.work.rank > rank
            for target in self._targets.values()
            for run in target.running.values()
        )

    def _loss(self, run: Running, now: float) -> tuple[int, float]:
        started = run.first is not None
        spent = run.uncached if started else 0.0
        return (-run.work.rank, spent + (now - run.granted))
