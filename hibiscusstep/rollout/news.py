"""hibiscusstep.rollout.news: what a dispatcher tells of the order it carries out."""

from dataclasses import dataclass

from hibiscusstep.rollout.controller import RolloutProgress
from hibiscusstep.rollout.order import RolloutState

__all__ = ["RolloutNews"]


@dataclass(frozen=True, slots=True)
class RolloutNews:
    """What a dispatcher of this instance did for an order.

    Parameters
    ----------
    pool : str
        Whose.
    number : int
        Of the order.
    progress : RolloutProgress
        How far it came.
    state : RolloutState or None
        How it ended, if it did.
    reason : str
        Why.
    """

    pool: str
    number: int
    progress: RolloutProgress
    state: RolloutState | None = None
    reason: str = ""
