"""hibiscusstep.target: interface of the clients for targets."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from result import Result

from hibiscusstep.errors import TargetError
from hibiscusstep.routing.messages import LoadReport

__all__ = ["TargetClient", "TargetAnswer", "TargetRequest", "get_client_class"]


@dataclass(frozen=True, slots=True)
class TargetRequest:
    """A request to a target.

    Parameters
    ----------
    request, attempt : str
        Ids; the attempt is unique to this dispatch.
    method, path : str
        HTTP method and path.
    body : bytes
        Forwarded unchanged.
    content_type : str
        Content type of the body.
    key : str
        Idempotency key; ``""`` if there is none.
    stream : bool
        Whether the caller wants server-sent events.
    idempotent : bool
        Whether the request may run twice.
    timeout : float
        Seconds within which the answer must be complete.
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


class TargetAnswer(ABC):
    """The answer of a target, as a stream.

    Attributes
    ----------
    status : int
        HTTP status.
    content_type : str
        Content type of the answer.
    tokens : int
        Events or tokens received so far.
    computed_prompt_tokens : int
        Prompt tokens that the target reports as computed; -1 if not reported.
    """

    status: int
    content_type: str
    tokens: int = 0
    computed_prompt_tokens: int = -1

    @abstractmethod
    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the answer in complete events.

        Raises
        ------
        TargetError
            If the answer ends without its end mark.
        """

    @abstractmethod
    async def cancel(self) -> None:
        """Ask the target to cancel the request."""

    @abstractmethod
    def close(self) -> None:
        """Release the connection."""


class TargetClient(ABC):
    """Client for one target, in the protocol of its kind.

    Parameters
    ----------
    name, address : str
        The target's name, and its IP address and port.
    sessions : object
        Connections shared by the targets of an instance.
    """

    def __init__(self, name: str, address: str, sessions) -> None:
        self._name = name
        self._address = address
        self._sessions = sessions

    @property
    def name(self) -> str:
        """The target's name."""
        return self._name

    @property
    def address(self) -> str:
        """IP address and port."""
        return self._address

    @abstractmethod
    async def send(
        self, target_request: TargetRequest
    ) -> Result[TargetAnswer, TargetError]:
        """Send a request once; return when the answer starts."""

    @abstractmethod
    async def report(self) -> LoadReport:
        """Return the target's load report, marked unreachable if there is no reply."""


def get_client_class(kind: str) -> type[TargetClient]:
    """Return the client class for the targets of a kind of pool.

    Raises
    ------
    UnknownName
        If there is no such kind.
    """
    from hibiscusstep.targets import TARGET_CLIENTS

    return TARGET_CLIENTS.get(kind)
