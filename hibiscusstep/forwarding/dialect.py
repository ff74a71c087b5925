"""hibiscusstep.forwarding.dialect: how requests and answers spell what we need."""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

__all__ = ["AnswerHead", "Dialect", "Headers", "Order", "RequestHead"]

Headers = Sequence[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class RequestHead:
    """What a caller's header fields say.

    Parameters
    ----------
    request : str
        The caller's id of this attempt, "" if it gave none.
    key : str
        The customer's key.
    patience : float or None
        Seconds for which the caller waits.
    prompt_tokens, output_tokens : int
        As the caller declares them; the second is the most it may get.
    expected_output : int
        The caller's estimate of the output, `output_tokens` if it gives none.
    counted : bool
        Whether it declared tokens at all.
    last_event : str
        The id behind which a stream goes on, "" from its beginning.
    prompt : str
        Names of the prompt's parts, "" if it gives none.
    """

    request: str
    key: str
    patience: float | None
    prompt_tokens: int
    output_tokens: int
    expected_output: int
    counted: bool
    last_event: str
    prompt: str = ""


@dataclass(frozen=True, slots=True)
class Order:
    """What the system adds to a request that goes to a target.

    Parameters
    ----------
    target : str
        The target that is meant; another one at its address refuses.
    customer : str
        The customer, "" if the route is public.
    timeout : float
        Seconds that are left.
    last_event : str
        As in `RequestHead`.
    """

    target: str
    customer: str
    timeout: float
    last_event: str


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """What a target's header fields say.

    Parameters
    ----------
    request : str
        The id of the request that is answered.
    sealed : bool
        Whether the target signed it.
    not_run : bool
        Whether the target says that it did not run the request.
    misdirected : bool
        Whether another target has the address.
    encoded : bool
        Whether the body is not what the target wrote.
    running, waiting : int
        The target's load; -1 if it does not say.
    idle_timeout : float
        Seconds for which the target keeps an idle connection; 0 if not known.
    leaving : bool
        Whether the target says that it takes no new work.
    stay_away : float
        Seconds for which the target wants nothing more from this instance; 0 if it
        does not say.
    """

    request: str
    sealed: bool
    not_run: bool
    misdirected: bool
    encoded: bool
    running: int
    waiting: int
    idle_timeout: float
    leaving: bool = False
    stay_away: float = 0.0


class Dialect(ABC):
    """Reads and writes header fields."""

    @abstractmethod
    def read_request(self, headers) -> RequestHead:
        """Return what a caller's fields (a case-insensitive multidict) say."""

    @abstractmethod
    def order_fields(self, raw: Headers, order: Order) -> Iterable[tuple[bytes, bytes]]:
        """Return the fields that go to a target, without those of the connection."""

    @abstractmethod
    def read_answer(self, status: int, headers) -> AnswerHead:
        """Return what a target's fields say."""

    @abstractmethod
    def answer_fields(self, raw: Headers) -> Iterable[tuple[str, str]]:
        """Return the fields of a target's answer that go to the caller."""
