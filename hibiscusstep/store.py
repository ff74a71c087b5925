"""hibiscusstep.store: abstract interfaces to the platform's object service."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass

from result import Result

from hibiscusstep.errors import PlatformError
from hibiscusstep.rollout.order import RolloutOrder, RolloutState

__all__ = [
    "Change",
    "EstimateStore",
    "Feed",
    "InstanceDirectory",
    "InstanceRecord",
    "Listing",
    "Platform",
    "RevisionExpired",
    "RolloutStore",
    "StoreRestored",
    "StoredVersions",
    "StreamStore",
    "SuspectStore",
    "UsageStore",
    "VersionedObject",
    "get_platform_by_name",
]


@dataclass(frozen=True, slots=True)
class VersionedObject:
    """An object of the platform with its version.

    Parameters
    ----------
    key : str
        Name of the object.
    version : int
        Increases with every write of the object.
    value : bytes
        At most one megabyte.
    """

    key: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class InstanceRecord:
    """An entry of the platform's list of instances, which lags behind.

    Parameters
    ----------
    name, data_centre, peer_address : str
        Name and location of the instance.
    leaving : bool
        Whether the platform is about to replace the instance.
    capacity : int
        Capacity for work, in hundredths of a core or as limited by its link.
    """

    name: str
    data_centre: str
    peer_address: str
    leaving: bool = False
    capacity: int = 1


@dataclass(frozen=True, slots=True)
class StoreRestored:
    """The store was restored from an older copy, so recent writes are lost."""


@dataclass(frozen=True, slots=True)
class StoredVersions:
    """The versions that may have begun streams of a pool, as they are in the store.

    Parameters
    ----------
    versions : frozenset of str
        The versions.
    revision : int
        Revision of the object; 0 if there is none.
    is_complete : bool
        Whether no other version began streams. This is not so if the object is missing
        or malformed, or if the store has been restored from an older copy since.
    """

    versions: frozenset[str] = frozenset()
    revision: int = 0
    is_complete: bool = False


class InstanceDirectory(ABC):
    """Lists the instances; the list lags by seconds."""

    @abstractmethod
    async def instances(self) -> Result[list[InstanceRecord], PlatformError]:
        """Return the live and leaving instances."""


class RevisionExpired(PlatformError):
    """The changes since a revision are no longer available; list again."""


@dataclass(frozen=True, slots=True)
class Change:
    """A write of an object, or its removal if `item` is None."""

    name: str
    item: object | None
    revision: int


@dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind by name, with the store's revision at that time.

    `era` increases when the store is restored from an older copy, which may lack
    objects for a moment; it is 0 if unknown. Any revision of a higher era is newer than
    those of lower eras.
    """

    items: dict[str, object]
    revision: int
    era: int = 0


class Feed(ABC):
    """Lists and watches the decoded objects of one kind.

    Attributes
    ----------
    name : str
        Name in logs.
    ignored_count : int
        Number of objects that could not be decoded so far, each revision counted once.
    """

    name: str
    ignored_count: int = 0

    @abstractmethod
    async def read_all(self) -> Result[Listing, PlatformError]:
        """Return all current objects except those that cannot be decoded."""

    @abstractmethod
    async def watch(
        self, revision: int, timeout: float
    ) -> Result[tuple[list[Change], int], PlatformError]:
        """Return the changes since a revision, and the revision to continue from.

        Waits up to `timeout` seconds for the first change. The error is
        `RevisionExpired` if the store no longer has the changes.
        """


class EstimateStore(ABC):
    """Stores a document of estimates per pool; read after all instances restart."""

    @abstractmethod
    async def write(self, pool: str, document: dict) -> Result[None, PlatformError]:
        """Write the document of a pool; the last write wins."""

    @abstractmethod
    async def read_all(self) -> Result[dict[str, dict], PlatformError]:
        """Return the documents by pool; they may be seconds old."""


class UsageStore(ABC):
    """Stores a document of customers' usage; read after all instances restart."""

    @abstractmethod
    async def write(self, document: dict) -> Result[None, PlatformError]:
        """Write the document; the last write wins."""

    @abstractmethod
    async def read(self) -> Result[dict | None, PlatformError]:
        """Return the current document, None if there is none."""


class SuspectStore(ABC):
    """Stores a document of requests that crash targets; read as in `UsageStore`."""

    @abstractmethod
    async def write(self, document: dict) -> Result[None, PlatformError]:
        """Write the document; the last write wins."""

    @abstractmethod
    async def read(self) -> Result[dict | None, PlatformError]:
        """Return the current document, None if there is none."""


class StreamStore(ABC):
    """Stores which versions began a pool's streams, and the streams by version.

    Both are read after all instances restart. The streams are in a fixed number of
    segments for each pool.
    """

    @abstractmethod
    async def read_versions(
        self, pool: str | None = None
    ) -> Result[dict[str, StoredVersions], PlatformError]:
        """Return the current versions of one pool, or of all, by pool."""

    @abstractmethod
    async def write_versions(
        self, pool: str, versions: Iterable[str], revision: int
    ) -> Result[StoredVersions, PlatformError]:
        """Write a pool's versions if their revision is unchanged, 0 if there are none.

        The error is `PlatformConflict` if they have changed, and `PlatformUnavailable`
        if the write may or may not have taken effect.
        """

    @abstractmethod
    async def write_segment(
        self, pool: str, segment: int, document: dict
    ) -> Result[None, PlatformError]:
        """Write a segment of a pool's streams; the last write wins."""

    @abstractmethod
    async def read_segments(self, pool: str) -> Result[list[dict], PlatformError]:
        """Return the current documents of a pool's segments, in any order."""


class RolloutStore(ABC):
    """Reads operators' rollout orders; stores their status and progress.

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
        """Write the status of an order if the order is unchanged; return the new order.

        The error is `PlatformConflict` if the order has changed, and
        `PlatformUnavailable` if the write may or may not have taken effect.
        """

    @abstractmethod
    async def write_progress(
        self, pool: str, document: dict
    ) -> Result[None, PlatformError]:
        """Write the progress of a pool's order; the last write wins."""

    @abstractmethod
    async def read_progress(self, pool: str) -> Result[dict | None, PlatformError]:
        """Return the current progress of a pool's order, None if there is none."""


class Platform(InstanceDirectory):
    """An object service with versions, conditional updates and watches.

    Each method makes one call to the platform, which is counted, and does not retry.
    After a `PlatformUnavailable` error a write may or may not have taken effect.
    """

    @abstractmethod
    async def get(self, key: str) -> Result[VersionedObject, PlatformError]:
        """Return the object of a key."""

    @abstractmethod
    async def put(
        self, key: str, value: bytes, expected: int
    ) -> Result[int, PlatformError]:
        """Write if the version is `expected`; 0 means that the object does not exist.

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
    ) -> Result[VersionedObject | None, PlatformError]:
        """Wait for a version above `after`; return None after `timeout` seconds."""

    async def close(self) -> None:
        """Close the connections."""


def get_platform_by_name(name: str) -> type[Platform]:
    """Return the platform class of a dialect by its name.

    Raises
    ------
    UnknownName
        If there is no such dialect.
    """
    from hibiscusstep.stores import PLATFORMS

    return PLATFORMS.get(name)
