"""hibiscusstep.rollout.order: rollout orders of operators and their status."""

import enum
from dataclasses import dataclass

__all__ = ["RolloutOrder", "RolloutState"]


class RolloutState(enum.StrEnum):
    """State of an order, as written to its status for operators."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled-back"


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An operator's order to move a pool's traffic to the targets of a version.

    Parameters
    ----------
    pool, version : str
        The pool, and the version that is to receive its traffic.
    duration : float
        Seconds from the order to its deadline.
    revision : int
        The store's revision of the order and its status.
    state : RolloutState or None
        State in the stored status; None if the status has none.
    state_version : str
        The version that the status refers to. When an order replaces another one, the
        status still refers to the version of the replaced order.
    """

    pool: str
    version: str
    duration: float
    revision: int
    state: RolloutState | None = None
    state_version: str = ""

    @property
    def is_running(self) -> bool:
        """Whether this order is being carried out, according to its status."""
        return self._has_state(RolloutState.RUNNING)

    @property
    def is_completed(self) -> bool:
        """Whether all traffic has moved to the version."""
        return self._has_state(RolloutState.COMPLETED)

    @property
    def is_rolled_back(self) -> bool:
        """Whether the version was found to be bad, or not shown to be good."""
        return self._has_state(RolloutState.ROLLED_BACK)

    @property
    def is_concluded(self) -> bool:
        """Whether the order has been completed or rolled back."""
        return self.is_completed or self.is_rolled_back

    def _has_state(self, state: RolloutState) -> bool:
        return self.state is state and self.state_version == self.version
