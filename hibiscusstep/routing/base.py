"""hibiscusstep.routing.base: what every dispatcher of a pool has and does."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from hibiscusstep.rollout.controller import Rollout
from hibiscusstep.routing import messages as m

__all__ = ["PoolCounts", "PoolDispatcher"]


@dataclass
class PoolCounts:
    """Totals of a dispatcher since its start.

    `refused_with_room` counts refusals for load while a target had a free place and
    was not held up by a long prompt: those may have been needless. `lost` counts
    granted requests whose end was never told.
    """

    asked: int = 0
    granted: int = 0
    refused: int = 0
    refused_with_room: int = 0
    stopped: int = 0
    lost: int = 0


class PoolDispatcher(ABC):
    """Orders the requests of one pool before its targets.

    Pure: `handle` takes a message and a time and returns decisions. Until
    `Recovered` is handled it neither grants nor refuses, so that a new dispatcher
    does not decide before it has heard what runs.

    Parameters
    ----------
    pool_name : str
        The pool.

    Attributes
    ----------
    counts : PoolCounts
        Totals since the start.
    share : float
        Part of all places that may be taken at a time; the others use the rest.
    """

    def __init__(self, pool_name: str) -> None:
        self._pool_name = pool_name
        self._targets: dict = {}
        self._placed: dict[str, str] = {}
        self._recovered = False
        self._decisions: list[m.Decision] = []
        self.counts = PoolCounts()
        self.share = 1.0

    @property
    def pool_name(self) -> str:
        """The pool."""
        return self._pool_name

    @property
    def recovered(self) -> bool:
        """Whether it decides."""
        return self._recovered

    @property
    def targets(self) -> dict:
        """Targets by name."""
        return self._targets

    @property
    @abstractmethod
    def waiting(self) -> dict[str, int]:
        """How many wait, by tier."""

    @property
    def learnt(self) -> m.Learnt | None:
        """What was learnt, for those that may dispatch next; None if nothing."""
        return None

    @property
    def overdue(self) -> int:
        """Places held for requests beyond their expected end; 0 if not known."""
        return 0

    @property
    def rollout(self) -> Rollout | None:
        """The order to another version that it carries out; None if there is none."""
        return None

    def instances_waiting(self) -> set[str]:
        """Return the instances that want to hear that they are not forgotten."""
        return set()

    def is_waiting(self, ask: str) -> bool:
        """Whether an ask is still undecided."""
        return False

    def summary(self, now: float) -> dict:
        """Return the state in short, for the log; empty if there is none."""
        return {}

    def status(self) -> dict[str, dict]:
        """Return what is known of each target, for operators."""
        return {}

    def handle(self, message, now: float) -> list[m.Decision]:
        """Take one message.

        Parameters
        ----------
        message : one of the messages of `hibiscusstep.routing.messages`
            What happened.
        now : float
            Seconds on a clock that never goes back.

        Returns
        -------
        list of Decision
            In the order in which they were taken.
        """
        self._decisions = []
        self._take(message, now)
        if self._recovered:
            self._decide(message, now)
        return self._decisions

    @abstractmethod
    def _take(self, message, now: float) -> None:
        """Take note of a message."""

    @abstractmethod
    def _decide(self, message, now: float) -> None:
        """Grant and refuse what can be decided after a message."""
