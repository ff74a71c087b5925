"""hibiscusstep.grants: what requests of an instance ask for a target, and are told."""

from collections.abc import Callable
from dataclasses import dataclass

from hibiscusstep.peer import WorkInfo
from hibiscusstep.routing.messages import GrantOutcome, RefusalReason

__all__ = ["Ended", "Granted", "GrantRequest", "Refused", "Started"]


@dataclass(frozen=True, slots=True)
class GrantRequest:
    """A request wants a target.

    Parameters
    ----------
    pool : str
        The pool.
    work : WorkInfo
        The request; `ask` and the times are set by the desk.
    deadline : float
        When the first byte is due, in seconds on the loop's clock.
    never_shed : bool
        Whether it waits beyond its deadline.
    on_stop : callable
        Called if the granted request must stop.
    due : float
        When the first token is on time at the latest, on the loop's clock.
    ends : float
        When the whole answer must have come, on the loop's clock; 0 if not known.
    """

    pool: str
    work: WorkInfo
    deadline: float
    never_shed: bool
    on_stop: Callable[[], None]
    due: float = 0.0
    ends: float = 0.0


@dataclass(frozen=True, slots=True)
class Granted:
    """The request goes to `target`; `ask` names the grant."""

    ask: str
    target: str


@dataclass(frozen=True, slots=True)
class Refused:
    """The request is not run."""

    reason: RefusalReason
    retry_after: float


@dataclass(frozen=True, slots=True)
class Started:
    """The first token of a granted request came."""

    pool: str
    ask: str
    seconds: float


@dataclass(frozen=True, slots=True)
class Ended:
    """A granted request ended."""

    pool: str
    ask: str
    outcome: GrantOutcome
    tokens: int = 0
    decode_seconds: float = 0.0
    computed: int = -1
    longest_pause: float = 0.0
