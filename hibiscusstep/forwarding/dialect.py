"""hibiscusstep.forwarding.dialect: interface to the header fields of a platform."""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

__all__ = [
    "Dialect",
    "Headers",
    "RequestFields",
    "TargetRequestHead",
    "TargetResponseHead",
]

Headers = Sequence[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class RequestFields:
    """Parsed header fields of a caller's request.

    Parameters
    ----------
    request : str
        The caller's id of this attempt, "" if there is none.
    key : str
        The customer's key.
    caller_timeout : float or None
        Seconds for which the caller waits; None if not declared.
    prompt_tokens, output_tokens : int
        Tokens of the prompt and maximum tokens of the output, as the caller declares.
    expected_output : int
        The caller's estimate of the output tokens; `output_tokens` if not declared.
    declares_tokens : bool
        Whether the caller declared token counts.
    last_event_id : str
        Id of the event after which a stream resumes, "" to start at its beginning.
    prompt_parts : str
        Names of the prompt's parts, "" if not declared.
    shared_parts : tuple of str
        IDs of the parts that other requests may have too: all but the last.
    model : str
        Name of the model, "" if not declared.
    resumed_request : str
        The caller's id of the attempt that received the first event of the stream that
        resumes, "" if not declared.
    """

    request: str
    key: str
    caller_timeout: float | None
    prompt_tokens: int
    output_tokens: int
    expected_output: int
    declares_tokens: bool
    last_event_id: str
    prompt_parts: str = ""
    shared_parts: tuple[str, ...] = ()
    model: str = ""
    resumed_request: str = ""


@dataclass(frozen=True, slots=True)
class TargetRequestHead:
    """Values that are added to a request to a target.

    Parameters
    ----------
    target : str
        Id of the target; a different target at its address rejects the request.
    customer : str
        Name of the customer, "" if there is none.
    timeout : float
        Seconds until the request's deadline.
    last_event_id : str
        As in `RequestFields`.
    """

    target: str
    customer: str
    timeout: float
    last_event_id: str


@dataclass(frozen=True, slots=True)
class TargetResponseHead:
    """Parsed header fields of a target's response.

    Parameters
    ----------
    request : str
        Id of the request to which it responds.
    sealed : bool
        Whether it carries the seal with which a target signs its responses.
    not_run : bool
        Whether the target declares that it did not run the request.
    misdirected : bool
        Whether a different target has the address.
    is_reencoded : bool
        Whether the body was encoded after the target wrote it.
    running, waiting : int
        The target's running and waiting requests; -1 if not declared.
    idle_timeout : float
        Seconds for which the target keeps an idle connection; 0 if not known.
    leaving : bool
        Whether the target declares that it accepts no new work.
    retry_after : float
        Seconds for which the target asks this instance to send no requests; 0 if not
        declared.
    rate_limit : float or None
        Requests per second that the target accepts from all instances together; None
        if not declared.
    malformed_rate_limit : str
        Text of a declared rate limit that is not a number; "" if there is none.
    rejection_limit : float or None
        Requests per second of all instances together that the target bears to reject;
        None if not declared.
    malformed_rejection_limit : str
        As `malformed_rate_limit`.
    pace : float
        Factor by which work takes longer than usual on the target's host; 0 if not
        declared.
    malformed_pace : str
        Text of a declared pace that is not a plausible number; "" if there is none.
    """

    request: str
    sealed: bool
    not_run: bool
    misdirected: bool
    is_reencoded: bool
    running: int
    waiting: int
    idle_timeout: float
    leaving: bool = False
    retry_after: float = 0.0
    rate_limit: float | None = None
    malformed_rate_limit: str = ""
    rejection_limit: float | None = None
    malformed_rejection_limit: str = ""
    pace: float = 0.0
    malformed_pace: str = ""


class Dialect(ABC):
    """Reads and writes a platform's header fields."""

    @abstractmethod
    def read_request(self, headers) -> RequestFields:
        """Parse a caller's header fields (a case-insensitive multidict)."""

    @abstractmethod
    def target_request_fields(
        self, raw: Headers, head: TargetRequestHead
    ) -> Iterable[tuple[bytes, bytes]]:
        """Return the header fields to send to a target, without hop-by-hop fields."""

    @abstractmethod
    def read_response(self, status: int, headers) -> TargetResponseHead:
        """Parse the status and header fields of a target's response."""

    @abstractmethod
    def caller_response_fields(self, raw: Headers) -> Iterable[tuple[str, str]]:
        """Return the header fields of a target's response to send to the caller."""
