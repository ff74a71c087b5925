"""hibiscusstep.rollout.order: what an operator orders, and how far it has come."""

import enum
from dataclasses import dataclass

__all__ = ["RolloutOrder", "RolloutState"]


class RolloutState(enum.StrEnum):
    """How far an order has been carried out, as its status tells operators."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled-back"


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An order to move a pool's traffic to the targets of a version.

    Parameters
    ----------
    pool, version : str
        Whose traffic, and to which version.
    duration : float
        Seconds from the order until it should be completed.
    revision : int
        The store's revision of the order and its status.
    state : RolloutState or None
        As the status tells; None if it tells nothing.
    state_version : str
        The version that the status is about; an order that replaces another one finds
        the status of that.
    """

    pool: str
    version: str
    duration: float
    revision: int
    state: RolloutState | None = None
    state_version: str = ""

    @property
    def is_running(self) -> bool:
        """Whether the status tells that this order is being carried out."""
        return self._is(RolloutState.RUNNING)

    @property
    def is_completed(self) -> bool:
        """Whether all traffic has moved."""
        return self._is(RolloutState.COMPLETED)

    @property
    def is_rolled_back(self) -> bool:
        """Whether the version was found to be bad, or not shown to be good."""
        return self._is(RolloutState.ROLLED_BACK)

    @property
    def is_concluded(self) -> bool:
        """Whether nothing is left to be done."""
        return self.is_completed or self.is_rolled_back

    def _is(self, state: RolloutState) -> bool:
        return self.state is state and self.state_version == self.version
