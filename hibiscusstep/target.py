"""hibiscusstep.target: one engine or service, as the system speaks to it."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from result import Result

from hibiscusstep.errors import TargetError
from hibiscusstep.routing.messages import LoadReport

__all__ = ["Answer", "Order", "Target", "get_target_by_kind"]


@dataclass(frozen=True, slots=True)
class Order:
    """A request on its way to a target.

    Parameters
    ----------
    request, attempt : str
        Ids; the attempt is unique to this dispatch.
    method, path : str
        Of HTTP.
    body : bytes
        Passed on untouched.
    content_type : str
        Of the body.
    key : str
        Idempotency key, or ``""``.
    stream : bool
        Whether the caller wants server-sent events.
    idempotent : bool
        Whether it may run twice.
    timeout : float
        Seconds until the end of the answer.
    """

    request: str
    attempt: str
    method: str
    path: str
    body: bytes = field(repr=False)
    content_type: str = "application/json"
    key: str = ""
    stream: bool = False
    idempotent: bool = True
    timeout: float = 600.0


class Answer(ABC):
    """The answer of a target, as it comes.

    Attributes
    ----------
    status : int
        Of HTTP.
    content_type : str
        Of HTTP.
    tokens : int
        Events or tokens so far.
    computed : int
        Prompt tokens that the target says it computed; -1 if it does not say.
    """

    status: int
    content_type: str
    tokens: int = 0
    computed: int = -1

    @abstractmethod
    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the answer in whole events.

        Raises
        ------
        TargetError
            If it ends without its end mark.
        """

    @abstractmethod
    async def cancel(self) -> None:
        """Tell the target to stop working on it."""

    @abstractmethod
    def close(self) -> None:
        """Give back the connection."""


class Target(ABC):
    """A target's dialect.

    Parameters
    ----------
    name, address : str
        The target and its IP number and port.
    sessions : object
        Connections shared by the targets of an instance.
    """

    def __init__(self, name: str, address: str, sessions) -> None:
        self._name = name
        self._address = address
        self._sessions = sessions

    @property
    def name(self) -> str:
        """The target."""
        return self._name

    @property
    def address(self) -> str:
        """IP number and port."""
        return self._address

    @abstractmethod
    async def send(self, order: Order) -> Result[Answer, TargetError]:
        """Send an order, once; return when the answer begins."""

    @abstractmethod
    async def report(self) -> LoadReport:
        """Return what the target says of its load; unreachable if it says nothing."""


def get_target_by_kind(kind: str) -> type[Target]:
    """Return the target class of a pool's kind.

    Raises
    ------
    UnknownName
        If there is no such kind.
    """
    from hibiscusstep.targets import TARGETS

    return TARGETS.get(kind)
