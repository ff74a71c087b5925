"""hibiscusstep.store: the platform's object service, as the system sees it."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from result import Result

from hibiscusstep.errors import PlatformError
from hibiscusstep.rollout.order import RolloutOrder, RolloutState

__all__ = [
    "BeliefStore",
    "Change",
    "Feed",
    "HistoryLost",
    "InstanceRecord",
    "Listing",
    "Platform",
    "RolloutStore",
    "Roster",
    "StoreRestored",
    "SuspectStore",
    "UseStore",
    "Versioned",
    "get_platform_by_name",
]


@dataclass(frozen=True, slots=True)
class Versioned:
    """An object of the platform.

    Parameters
    ----------
    key : str
        Its name.
    version : int
        Grows with every write of the object.
    value : bytes
        At most one megabyte.
    """

    key: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class InstanceRecord:
    """An entry of the platform's lagging list of instances.

    Parameters
    ----------
    name, data_centre, peer_address : str
        Who and where.
    leaving : bool
        Whether the platform is about to replace it.
    capacity : int
        Work that it can bear, in hundredths of a core or what its link allows.
    """

    name: str
    data_centre: str
    peer_address: str
    leaving: bool = False
    capacity: int = 1


@dataclass(frozen=True, slots=True)
class StoreRestored:
    """The store came back from an older copy: what was written lately is gone."""


class Roster(ABC):
    """Knows which instances there are; behind the truth by seconds."""

    @abstractmethod
    async def instances(self) -> Result[list[InstanceRecord], PlatformError]:
        """Return the lagging list of live and leaving instances."""


class HistoryLost(PlatformError):
    """The changes since a revision are not to be had; list again."""


@dataclass(frozen=True, slots=True)
class Change:
    """An object was written, or removed where `item` is None."""

    name: str
    item: object | None
    revision: int


@dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind by name, and the store's revision at that moment.

    `era` rises when the store came back from an older copy, which may lack objects for
    a moment; 0 where it is not known. A revision of a higher era is higher.
    """

    items: dict[str, object]
    revision: int
    era: int = 0


class Feed(ABC):
    """Objects of one kind, decoded: a list, and the changes since.

    Attributes
    ----------
    name : str
        For logs.
    left_out : int
        Objects that could not be decoded so far, each revision once.
    """

    name: str
    left_out: int = 0

    @abstractmethod
    async def read_all(self) -> Result[Listing, PlatformError]:
        """Return all objects as they are now; what cannot be decoded is left out."""

    @abstractmethod
    async def watch(
        self, revision: int, timeout: float
    ) -> Result[tuple[list[Change], int], PlatformError]:
        """Return the changes since a revision and the revision to go on from.

        Waits up to `timeout` seconds for a first one. `HistoryLost` says that the
        store has forgotten them.
        """


class BeliefStore(ABC):
    """Keeps a small document for each pool, for the time after a restart of all."""

    @abstractmethod
    async def write(self, pool: str, document: dict) -> Result[None, PlatformError]:
        """Write the document of a pool; the last one written stands."""

    @abstractmethod
    async def read_all(self) -> Result[dict[str, dict], PlatformError]:
        """Return the documents by pool; they may be some seconds old."""


class UseStore(ABC):
    """Keeps a small document of customers' use, for the time after a restart of all."""

    @abstractmethod
    async def write(self, document: dict) -> Result[None, PlatformError]:
        """Write the document; the last one written stands."""

    @abstractmethod
    async def read(self) -> Result[dict | None, PlatformError]:
        """Return the document as it is now, None if there is none."""


class SuspectStore(ABC):
    """Keeps a small document of requests that crash targets, as `UseStore` does."""

    @abstractmethod
    async def write(self, document: dict) -> Result[None, PlatformError]:
        """Write the document; the last one written stands."""

    @abstractmethod
    async def read(self) -> Result[dict | None, PlatformError]:
        """Return the document as it is now, None if there is none."""


class RolloutStore(ABC):
    """Has operators' orders to change pools' versions.

    Attributes
    ----------
    feed : Feed
        The orders by pool.
    """

    feed: Feed

    @abstractmethod
    async def write_state(
        self, order: RolloutOrder, state: RolloutState
    ) -> Result[RolloutOrder, PlatformError]:
        """Write the status of an order, if it is as it was seen; return it since.

        `PlatformConflict` says that it has changed, `PlatformUnavailable` that the
        status may or may not stand.
        """

    @abstractmethod
    async def write_kept(
        self, pool: str, document: dict
    ) -> Result[None, PlatformError]:
        """Write how far a pool's order was carried out; the last one written stands."""

    @abstractmethod
    async def read_kept(self, pool: str) -> Result[dict | None, PlatformError]:
        """Return that document as it is now, None if there is none."""


class Platform(Roster):
    """Object service with versions, conditional updates and watches.

    Each method is one counted call; none is repeated here. An error of type
    `PlatformUnavailable` after a write says that it may or may not stand.
    """

    @abstractmethod
    async def get(self, key: str) -> Result[Versioned, PlatformError]:
        """Return the object."""

    @abstractmethod
    async def put(
        self, key: str, value: bytes, expected: int
    ) -> Result[int, PlatformError]:
        """Write if the version is `expected` (0: if it does not exist).

        Returns
        -------
        Result of int
            The new version.
        """

    @abstractmethod
    async def delete(self, key: str) -> Result[None, PlatformError]:
        """Delete the object; no error if it does not exist."""

    @abstractmethod
    async def watch(
        self, key: str, after: int, timeout: float
    ) -> Result[Versioned | None, PlatformError]:
        """Wait until the version is above `after`; None after `timeout` seconds."""

    async def close(self) -> None:
        """Give back the sockets."""


def get_platform_by_name(name: str) -> type[Platform]:
    """Return the platform class of a dialect's name.

    Raises
    ------
    UnknownName
        If there is no such dialect.
    """
    from hibiscusstep.stores import PLATFORMS

    return PLATFORMS.get(name)
