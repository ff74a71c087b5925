"""hibiscusstep.routing.pool_dispatcher: the interface of a pool's dispatcher."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from hibiscusstep.rollout.controller import Rollout
from hibiscusstep.routing import messages as m
from hibiscusstep.routing.return_plan import PlaceCounts
from hibiscusstep.routing.stream_versions import StreamVersions

__all__ = ["PoolCounts", "PoolDispatcher"]


@dataclass
class PoolCounts:
    """Totals of a dispatcher since its start.

    `refused_with_room` counts refusals for load while a target had a free slot and was
    not blocked by a long prefill; these refusals may have been unnecessary. `lost`
    counts granted requests whose end was never reported, `waited_for_memory` those that
    waited since they did not fit the memory of a target with a free slot.
    """

    asked: int = 0
    granted: int = 0
    refused: int = 0
    refused_with_room: int = 0
    stopped: int = 0
    lost: int = 0
    waited_for_memory: int = 0


class PoolDispatcher(ABC):
    """A state machine that assigns the requests of one pool to its targets.

    It does no I/O: `handle` takes a message and a time and returns decisions. Before
    `Recovered` it neither grants requests nor refuses them for load, since a new
    dispatcher does not know yet which requests already run.

    Parameters
    ----------
    pool_name : str
        Name of the pool.

    Attributes
    ----------
    counts : PoolCounts
        Totals since the start.
    capacity_share : float
        Fraction of all slots that this dispatcher may occupy at a time; other
        dispatchers of the pool use the rest.
    stream_versions : StreamVersions
        Versions of the pool's streams, shared by the pool's dispatchers of an instance.
    """

    def __init__(self, pool_name: str) -> None:
        self._pool_name = pool_name
        self._targets: dict = {}
        self._target_by_ask: dict[str, str] = {}
        self._recovered = False
        self._decisions: list[m.Decision] = []
        self._limit_share = 1.0
        self.counts = PoolCounts()
        self.capacity_share = 1.0
        self.stream_versions = StreamVersions()

    @property
    def pool_name(self) -> str:
        """Name of the pool."""
        return self._pool_name

    @property
    def recovered(self) -> bool:
        """Whether `Recovered` was handled and decisions are made."""
        return self._recovered

    @property
    def targets(self) -> dict:
        """Targets by name."""
        return self._targets

    @property
    def is_standby(self) -> bool:
        """Whether it grants targets to the requests of one instance only."""
        return False

    @property
    @abstractmethod
    def waiting(self) -> dict[str, int]:
        """Number of waiting requests by tier."""

    @property
    def learned_estimates(self) -> m.LearnedEstimates | None:
        """Learned estimates for the next dispatcher; None if there are none."""
        return None

    @property
    def overdue_slots(self) -> int:
        """Slots of requests that run past their expected end; 0 if not known."""
        return 0

    @property
    def place_counts(self) -> PlaceCounts | None:
        """Numbers of places for returning requests; None if returns are not planned."""
        return None

    @property
    def slow_host_count(self) -> int:
        """Targets whose hosts take well above the usual time; 0 if not known."""
        return 0

    @property
    def memory_share(self) -> float | None:
        """Highest share of a target's memory that is granted; None without a bound."""
        return None

    def suspend_decisions(self) -> None:
        """Make no decisions until `Recovered` is handled again."""
        self._recovered = False

    def set_limit_share(self, share: float, now: float) -> None:
        """Set the share of the targets' rate limits that this dispatcher may grant.

        Parameters
        ----------
        share : float
            Between 0 and 1; other dispatchers of the pool may grant the rest.
        now : float
            Seconds on a monotonic clock.
        """
        self._limit_share = share

    @property
    def rollout(self) -> Rollout | None:
        """The rollout to another version in progress; None if there is none."""
        return None

    def may_mix_versions(self, now: float) -> bool:
        """Whether streams of several software versions may be resumed."""
        return False

    def discard_confirmation(self) -> None:  # noqa: B027
        """Discard which versions were confirmed to have begun streams."""

    def instances_waiting(self) -> set[str]:
        """Return the instances whose waiting requests need a keep-alive message."""
        return set()

    def is_undecided(self, ask: str) -> bool:
        """Whether the request with this id is neither granted nor refused yet."""
        return False

    def summary(self, now: float) -> dict:
        """Return a summary of the state for the log; empty if there is none."""
        return {}

    def status(self) -> dict[str, dict]:
        """Return the state of each target by name, for operators."""
        return {}

    def handle(self, message, now: float) -> list[m.Decision]:
        """Process one message and return the decisions that follow from it.

        Parameters
        ----------
        message : one of the messages of `hibiscusstep.routing.messages`
            The event.
        now : float
            Seconds on a monotonic clock.

        Returns
        -------
        list of Decision
            In the order in which they were made.
        """
        self._decisions = []
        self._update_state(message, now)
        if self._recovered:
            self._make_decisions(message, now)
        return self._decisions

    @abstractmethod
    def _update_state(self, message, now: float) -> None:
        """Update the state from a message."""

    @abstractmethod
    def _make_decisions(self, message, now: float) -> None:
        """Make all decisions that are possible after a message."""
