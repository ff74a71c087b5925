"""hibiscusstep.grant_messages: messages about the grants of requests."""

from collections.abc import Callable
from dataclasses import dataclass

from hibiscusstep.peer import WorkInfo
from hibiscusstep.routing.messages import GrantOutcome, RefusalReason

__all__ = ["FirstTokenReceived", "GrantRequest", "Granted", "Refused", "RequestEnded"]


@dataclass(frozen=True, slots=True)
class GrantRequest:
    """A request for a grant, that is for a slot of a target.

    Parameters
    ----------
    pool : str
        The pool.
    work : WorkInfo
        The request's description; the dispatch client sets `ask` and the times.
    deadline : float
        Latest time of the first byte, in seconds on the loop's clock.
    never_shed : bool
        Whether the request keeps waiting beyond its deadline.
    on_stop : callable
        Called if the granted request must be stopped.
    first_token_due : float
        Latest time at which the first token is on time, on the loop's clock.
    answer_due : float
        Latest time of the complete answer, on the loop's clock; 0 if not known.
    on_inquiry : callable
        Called if the dispatcher asks for requests that should have ended; returns
        whether the granted request hangs on a lost path.
    """

    pool: str
    work: WorkInfo
    deadline: float
    never_shed: bool
    on_stop: Callable[[], None]
    first_token_due: float = 0.0
    answer_due: float = 0.0
    on_inquiry: Callable[[], bool] = lambda: False


@dataclass(frozen=True, slots=True)
class Granted:
    """The request is granted `target`; `ask` is the grant's id.

    `version` is the target's software version as the dispatcher knows it, None if it
    has none.
    """

    ask: str
    target: str
    version: str | None = None


@dataclass(frozen=True, slots=True)
class Refused:
    """The request is refused; a retry is useful after `retry_after` seconds."""

    reason: RefusalReason
    retry_after: float


@dataclass(frozen=True, slots=True)
class FirstTokenReceived:
    """The first token of a granted request came `seconds` after its dispatch.

    `pace` is as in `routing.messages.FirstToken`.
    """

    pool: str
    ask: str
    seconds: float
    pace: float = 0.0


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """A granted request ended; fields as in `routing.messages.Finished`."""

    pool: str
    ask: str
    outcome: GrantOutcome
    tokens: int = 0
    decode_seconds: float = 0.0
    computed_prompt_tokens: int = -1
    longest_pause: float = 0.0
    pace: float = 0.0
    pace_age: float = 0.0
    in_path: bool = False
