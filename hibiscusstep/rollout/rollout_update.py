"""hibiscusstep.rollout.rollout_update: progress of a rollout order."""

from dataclasses import dataclass

from hibiscusstep.rollout.controller import RolloutProgress
from hibiscusstep.rollout.order import RolloutState

__all__ = ["RolloutUpdate"]


@dataclass(frozen=True, slots=True)
class RolloutUpdate:
    """Progress of an order that a dispatcher of this instance carries out.

    Parameters
    ----------
    pool : str
        The pool.
    number : int
        Number of the order.
    progress : RolloutProgress
        Progress so far.
    state : RolloutState or None
        Final state; None while the order is running.
    reason : str
        Reason for the final state.
    """

    pool: str
    number: int
    progress: RolloutProgress
    state: RolloutState | None = None
    reason: str = ""
