"""hibiscusstep.platform.client: client of the platform's metadata store."""

import contextlib
import logging
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace
from urllib.parse import quote

import aiohttp
import orjson
from result import Err, Ok, Result

from hibiscusstep.errors import (
    ConfigurationError,
    PlatformConflict,
    PlatformError,
    PlatformNotFound,
    PlatformUnavailable,
)
from hibiscusstep.http_client import make_connector
from hibiscusstep.platform import fields as f
from hibiscusstep.platform.documents import ROLLOUT_KIND, rollout_status
from hibiscusstep.platform.eras import EraTracker, join_revision, split_revision
from hibiscusstep.platform.partial_json import Unreadable, load
from hibiscusstep.platform.stored_objects import (
    IgnoredObjects,
    find_members,
    read_metadata,
    read_name,
    read_revision,
)
from hibiscusstep.rollout.order import RolloutOrder, RolloutState
from hibiscusstep.store import (
    Change,
    EstimateStore,
    Feed,
    InstanceDirectory,
    InstanceRecord,
    Listing,
    RevisionExpired,
    RolloutStore,
    StoredVersions,
    StreamStore,
    SuspectStore,
    UsageStore,
)

__all__ = [
    "ObjectClient",
    "ObjectEstimateStore",
    "ObjectFeed",
    "ObjectRolloutStore",
    "ObjectInstanceDirectory",
    "ObjectStreamStore",
    "ObjectSuspectStore",
    "ObjectUsageStore",
]

_LOG = logging.getLogger(__name__)
_ROOT = "/hibiscusstep/objects"
_ERA_HEADER = "Store-Era"
# A call takes a few milliseconds, or about 0.25 s if the store is slow.
CALL_TIMEOUT_S = 1.5
# Added to the time for which the store itself waits for a change.
WATCH_GRACE_S = 0.5
# Nested levels of an answer whose parts are read separately, down to the members of an
# object: the document, its list and the objects, or the events and their objects.
_OBJECT_LEVELS, _LIST_LEVELS, _WATCH_LEVELS = 1, 3, 4
# Versions of a pool within one stream lifetime; more indicate a malformed object.
MAX_VERSIONS = 100
_STATUS_ERRORS = {
    404: PlatformNotFound,
    409: PlatformConflict,
    410: RevisionExpired,
}
_Decoder = Callable[[str, int, dict, dict], object]


@dataclass(frozen=True, slots=True)
class _Answer:
    """A decoded answer of the store and its era.

    Malformed parts of it are `Unreadable`.
    """

    body: dict
    era: int


class ObjectClient:
    """Calls the store with one HTTP request each; does not retry.

    Parameters
    ----------
    address : str
        IP address and port.

    Attributes
    ----------
    eras : EraTracker
        Tracks the store's era.
    """

    def __init__(self, address: str) -> None:
        self._root = f"http://{address}{_ROOT}"
        self.eras = EraTracker()
        self._session: aiohttp.ClientSession | None = None
        # By kind.
        self._ignored: dict[str, IgnoredObjects] = {}

    async def call(
        self, method: str, path: str, *, query=None, body=None, extra_wait: float = 0.0
    ) -> Result[dict, PlatformError]:
        """Return the decoded answer of one call.

        The time-out is extended by `extra_wait` seconds.
        """
        reply = await self.call_in_era(
            method, path, query=query, body=body, extra_wait=extra_wait
        )
        return reply.map(lambda answer: answer.body)

    async def call_in_era(
        self,
        method: str,
        path: str,
        *,
        query=None,
        body=None,
        extra_wait: float = 0.0,
        levels: int = _OBJECT_LEVELS,
    ) -> Result[_Answer, PlatformError]:
        """Return the decoded answer of one call and its era; see `call`.

        Parts of the answer down to a number of `levels` are decoded separately, see
        `partial_json.load`.
        """
        if self._session is None:
            connector = make_connector(limit=0, keepalive_timeout=10.0)
            self._session = aiohttp.ClientSession(connector=connector)
        step = f"{method} {path.split('/')[0]}"
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S + extra_wait)
        data = None if body is None else orjson.dumps(body)
        headers = {"Content-Type": "application/json"} if data else None
        try:
            async with self._session.request(
                method,
                f"{self._root}/{path}",
                params=query,
                data=data,
                headers=headers,
                timeout=timeout,
            ) as response:
                status, text = response.status, await response.read()
                era = self.eras.read(response.headers.get(_ERA_HEADER))
            if status in (200, 201):
                # Only a write is answered without a body; else the answer was cut.
                is_empty = not text and method != "GET"
                return Ok(_Answer({} if is_empty else _parse(text, levels), era))
        except (TimeoutError, aiohttp.ClientError, OSError) as cause:
            detail = f"no answer: {type(cause).__name__}"
            return Err(PlatformUnavailable(detail, step=step, peer="store"))
        except ValueError as cause:
            return Err(_malformed_error(step, cause))
        kind = _STATUS_ERRORS.get(status, PlatformUnavailable)
        return Err(kind(f"status {status}", step=step, peer="store"))

    def log_ignored(
        self, kind: str, item: object, position: int, cause: Exception
    ) -> None:
        """Log an object that is left out, once per revision."""
        ignored = self._ignored.setdefault(kind, IgnoredObjects(kind))
        ignored.record(item, position, self.eras.era, 0, cause)

    async def list_all(
        self, kind: str, **query: str
    ) -> Result[tuple[list, int, int], PlatformError]:
        """Return all objects of a kind, the store's revision and its era.

        The revision is that of the first page: an object of it may change before the
        last one is read. Objects may be malformed in any way.
        """
        items: list = []
        revision = None
        eras: set[int] = set()
        continued: set[str] = set()
        while True:
            reply = await self.call_in_era(
                "GET", kind, query=query, levels=_LIST_LEVELS
            )
            if reply.is_err():
                return reply
            page = reply.unwrap().body
            eras.add(reply.unwrap().era)
            if len(eras) > 1:
                return Err(_restored_error(f"list {kind}"))
            try:
                found = page["Items"]
                if not isinstance(found, list):
                    raise ValueError("the objects are no list")
                revision = read_revision(page, "At") if revision is None else revision
                if not page.get("HasMore"):
                    return Ok((items + found, revision, *eras))
                last, query["After"] = _find_last_name(found)
                # The next page begins with those after it.
                items += found[: last + 1]
                if query["After"] in continued:
                    raise ValueError("a page that was read before")
                continued.add(query["After"])
            except f.MALFORMED_ERRORS as cause:
                return Err(_malformed_error(f"read {kind}", cause))

    async def read_decoded(
        self, kind: str, decode: Callable[[dict], object]
    ) -> Result[list, PlatformError]:
        """Return all objects of a kind, decoded; malformed ones are ignored.

        They may be a few seconds old, which makes the call cheaper for the store.
        """
        listed = await self.list_all(kind, Serializable="1")
        return listed.map(lambda found: list(self.decode_valid(kind, found[0], decode)))

    def decode_valid(
        self, kind: str, found: list, decode: Callable[[dict], object]
    ) -> Iterator[object]:
        """Iterate over the decoded objects; malformed ones are logged and ignored."""
        for position, item in enumerate(found):
            try:
                yield decode(item)
            except f.MALFORMED_ERRORS as cause:
                self.log_ignored(kind, item, position, cause)

    async def read_one(
        self, kind: str, name: str
    ) -> Result[dict | None, PlatformError]:
        """Return the current ``Spec`` of an object; None if it does not exist.

        It is empty if it cannot be read.
        """
        reply = await self.call("GET", f"{kind}/{quote(name)}")
        if reply.is_err():
            is_missing = isinstance(reply.unwrap_err(), PlatformNotFound)
            return Ok(None) if is_missing else reply
        item = reply.unwrap()
        try:
            return Ok(_read_spec(item))
        except f.MalformedField as cause:
            self.log_ignored(kind, item, 0, cause)
            return Ok({})

    async def write(
        self, kind: str, name: str, spec: dict, methods: tuple[str, str]
    ) -> Result[None, PlatformError]:
        """Write an object unconditionally.

        Parameters
        ----------
        kind, name : str
            Kind and name of the object.
        spec : dict
            Content of the object.
        methods : tuple of str
            Method to try first and method to fall back to. POST creates an object, PUT
            replaces one.
        """
        body = {"Metadata": {"Name": name}, "Spec": spec}
        for method in methods:
            path = kind if method == "POST" else f"{kind}/{quote(name)}"
            written = await self.call(method, path, body=body)
            if written.is_ok():
                break
            if not isinstance(
                written.unwrap_err(), PlatformConflict | PlatformNotFound
            ):
                break
        return written.map(lambda _reply: None)

    async def close(self) -> None:
        """Close the connections."""
        if self._session:
            await self._session.close()


class ObjectFeed(Feed):
    """Feed of the objects of one kind.

    Parameters
    ----------
    client : ObjectClient
        Makes the calls.
    kind : str
        Kind of the objects.
    decode : callable of str, int, dict, dict
        Returns the decoded object by name, revision, ``Spec`` and ``Status``.
    """

    def __init__(self, client: ObjectClient, kind: str, decode: _Decoder) -> None:
        self._client = client
        self._kind = kind
        self._decode = decode
        self._ignored = IgnoredObjects(kind)
        self.name = kind

    @property
    def ignored_count(self) -> int:
        """Number of revisions so far that could not be decoded."""
        return self._ignored.count

    async def read_all(self) -> Result[Listing, PlatformError]:
        """Return all objects."""
        listed = await self._client.list_all(self._kind)
        if listed.is_err():
            return listed
        found, revision, era = listed.unwrap()
        decoded = (
            self._to_change(item, position, era, revision)
            for position, item in enumerate(found)
        )
        items = {change.name: change.item for change in decoded if change}
        usable = {name: item for name, item in items.items() if item is not None}
        return Ok(Listing(usable, join_revision(era, revision), era))

    async def watch(self, revision: int, timeout: float):
        """Return the changes since a revision, or `RevisionExpired` after a restore."""
        era, since = split_revision(revision)
        query = {"Watch": str(since), "WaitMs": str(int(timeout * 1000))}
        reply = await self._client.call_in_era(
            "GET",
            self._kind,
            query=query,
            extra_wait=timeout - CALL_TIMEOUT_S + WATCH_GRACE_S,
            levels=_WATCH_LEVELS,
        )
        if reply.is_err():
            return reply
        answer = reply.unwrap()
        if answer.era != era:
            # The revision was reused after the restore and means another state.
            return Err(_restored_error(f"watch {self._kind}"))
        try:
            at = read_revision(answer.body, "At")
            events = answer.body.get("events", [])
            if not isinstance(events, list):
                raise ValueError("the events are no list")
        except f.MALFORMED_ERRORS as cause:
            return Err(_malformed_error(f"read {self._kind}", cause))
        decoded = (
            self._event_to_change(event, position, era, at)
            for position, event in enumerate(events)
        )
        changes = [change for change in decoded if change]
        return Ok((changes, join_revision(era, at)))

    def _event_to_change(
        self, event: object, position: int, era: int, at: int
    ) -> Change | None:
        members = find_members(event)
        item, removed = members.get("Object"), members.get("Removed")
        if isinstance(event, Unreadable):
            item = Unreadable(event.reason, members=find_members(item))
        return self._to_change(item, position, era, at, bool(removed))

    def _to_change(
        self, item: object, position: int, era: int, at: int, removed: bool = False
    ) -> Change | None:
        """Return an object's change; its item is None if removed or malformed.

        Return None if the object has no valid name. The change has the object's own
        revision, not the answer's, so that an object which is recreated in the same
        answer is newer than its removal.
        """
        try:
            metadata = read_metadata(item)
            name = read_name(metadata)
        except f.MALFORMED_ERRORS as cause:
            self._ignored.record(item, position, era, at, cause)
            return None
        own = at
        try:
            if "Revision" in metadata:
                own = read_revision(metadata, "Revision")
            revision = join_revision(era, own)
            if removed:
                return Change(name, None, revision)
            if not isinstance(item, dict) or isinstance(item.get("Spec"), Unreadable):
                raise f.MalformedField("Spec", "malformed")
            spec, status = item.get("Spec") or {}, item.get("Status") or {}
            return Change(name, self._decode(name, revision, spec, status), revision)
        except (ConfigurationError, *f.MALFORMED_ERRORS) as cause:
            self._ignored.record(item, position, era, at, cause)
            return Change(name, None, join_revision(era, own))


class ObjectInstanceDirectory(InstanceDirectory):
    """Roster of the instances, which each write an object at their start.

    Parameters
    ----------
    client : ObjectClient
        Makes the calls.
    is_first_start : bool
        Whether the whole system starts for the first time. Otherwise most instances
        restart and their objects exist: 195 instances that restart at once then make
        195 calls to write them instead of 390.
    """

    _KIND = "hibiscusstep-instances"

    def __init__(self, client: ObjectClient, is_first_start: bool = True) -> None:
        self._client = client
        self._methods = ("POST", "PUT") if is_first_start else ("PUT", "POST")

    async def register(self, record: InstanceRecord) -> Result[None, PlatformError]:
        """Write the record of an instance, replacing an earlier one."""
        spec = {
            "DataCentre": record.data_centre,
            "PeerAddress": record.peer_address,
            "Capacity": record.capacity,
        }
        return await self._client.write(self._KIND, record.name, spec, self._methods)

    async def instances(self) -> Result[list[InstanceRecord], PlatformError]:
        """Return the records, which may be a few seconds old."""
        return await self._client.read_decoded(self._KIND, _parse_record)


class ObjectEstimateStore(EstimateStore):
    """Store of estimates, one object per pool, which the pool's dispatcher writes.

    Parameters
    ----------
    client : ObjectClient
        Makes the calls.
    """

    _KIND = "hibiscusstep-beliefs"

    def __init__(self, client: ObjectClient) -> None:
        self._client = client

    async def write(self, pool: str, document: dict) -> Result[None, PlatformError]:
        """Write the estimates of a pool's targets."""
        return await self._client.write(self._KIND, pool, document, ("PUT", "POST"))

    async def read_all(self) -> Result[dict[str, dict], PlatformError]:
        """Return the estimates of all pools, by pool."""
        return (await self._client.read_decoded(self._KIND, _parse_estimates)).map(dict)


class _SingleObjectStore:
    """Store with a single object, which one of the instances writes.

    Parameters
    ----------
    client : ObjectClient
        Makes the calls.
    """

    _KIND: str
    _NAME: str

    def __init__(self, client: ObjectClient) -> None:
        self._client = client

    async def write(self, document: dict) -> Result[None, PlatformError]:
        """Write the document."""
        return await self._client.write(
            self._KIND, self._NAME, document, ("PUT", "POST")
        )

    async def read(self) -> Result[dict | None, PlatformError]:
        """Return the current document, without a stale read."""
        return await self._client.read_one(self._KIND, self._NAME)


class ObjectUsageStore(_SingleObjectStore, UsageStore):
    """Store of the customers' usage."""

    _KIND = "hibiscusstep-use"
    _NAME = "customers"


class ObjectSuspectStore(_SingleObjectStore, SuspectStore):
    """Store of the quarantined requests."""

    _KIND = "hibiscusstep-suspects"
    _NAME = "requests"


class ObjectRolloutStore(RolloutStore):
    """Rollout orders written by operators, with status written by the system.

    Parameters
    ----------
    client : ObjectClient
        Makes the calls.
    feed : ObjectFeed
        Feed of the orders.
    """

    _PROGRESS_KIND = "hibiscusstep-rollouts"

    def __init__(self, client: ObjectClient, feed: ObjectFeed) -> None:
        self._client = client
        self.feed = feed

    async def write_state(
        self, order: RolloutOrder, state: RolloutState
    ) -> Result[RolloutOrder, PlatformError]:
        """Write the status of an order, if its revision is still current."""
        era, revision = split_revision(order.revision)
        if era != self._client.eras.era:
            return Err(_restored_error("write rollout status"))
        body = {
            "Metadata": {"Name": order.pool, "Revision": revision},
            "Status": rollout_status(order.version, state),
        }
        path = f"{ROLLOUT_KIND}/{quote(order.pool)}/status"
        reply = await self._client.call_in_era("PUT", path, body=body)
        if reply.is_err():
            return reply
        answer = reply.unwrap()
        try:
            written = read_revision(read_metadata(answer.body), "Revision")
        except f.MALFORMED_ERRORS:
            # The feed will supply the revision; a write before that gets a conflict.
            written = revision
        since = join_revision(answer.era, written)
        return Ok(
            replace(order, revision=since, state=state, state_version=order.version)
        )

    async def write_progress(
        self, pool: str, document: dict
    ) -> Result[None, PlatformError]:
        """Write the progress of a pool's order."""
        return await self._client.write(
            self._PROGRESS_KIND, pool, document, ("PUT", "POST")
        )

    async def read_progress(self, pool: str) -> Result[dict | None, PlatformError]:
        """Return the progress of a pool's order."""
        return await self._client.read_one(self._PROGRESS_KIND, pool)


class ObjectStreamStore(StreamStore):
    """Store of the versions that began streams, and of the streams by version.

    Parameters
    ----------
    client : ObjectClient
        Makes the calls.
    """

    _VERSIONS_KIND = "hibiscusstep-versions"
    _SEGMENTS_KIND = "hibiscusstep-streams"

    def __init__(self, client: ObjectClient) -> None:
        self._client = client

    async def read_versions(
        self, pool: str | None = None
    ) -> Result[dict[str, StoredVersions], PlatformError]:
        """Return the versions of one pool, or of all, by pool; no stale read."""
        client = self._client
        if pool is None:
            listed = await client.list_all(self._VERSIONS_KIND)
            if listed.is_err():
                return listed
            items, _revision, era = listed.unwrap()
        else:
            path = f"{self._VERSIONS_KIND}/{quote(pool)}"
            reply = await client.call_in_era("GET", path)
            if reply.is_err():
                is_missing = isinstance(reply.unwrap_err(), PlatformNotFound)
                return Ok({}) if is_missing else reply
            items, era = [reply.unwrap().body], reply.unwrap().era
        decoded = client.decode_valid(self._VERSIONS_KIND, items, _version_parser(era))
        return Ok(dict(decoded))

    async def write_versions(
        self, pool: str, versions: Iterable[str], revision: int
    ) -> Result[StoredVersions, PlatformError]:
        """Write a pool's versions with the era in which they are written."""
        client = self._client
        if revision and split_revision(revision)[0] != client.eras.era:
            return Err(_restored_error("write versions"))
        names = sorted(versions)
        body = {
            "Metadata": {"Name": pool},
            "Spec": {"Versions": names, "Era": client.eras.era},
        }
        method, path = "POST", self._VERSIONS_KIND
        if revision:
            body["Metadata"]["Revision"] = split_revision(revision)[1]
            method, path = "PUT", f"{path}/{quote(pool)}"
        reply = await client.call_in_era(method, path, body=body)
        if reply.is_err():
            return reply
        answer = reply.unwrap()
        try:
            written = read_revision(read_metadata(answer.body), "Revision")
        except f.MALFORMED_ERRORS as cause:
            return Err(_malformed_error(f"read {self._VERSIONS_KIND}", cause))
        is_complete = answer.era == body["Spec"]["Era"]
        return Ok(
            StoredVersions(
                frozenset(names), join_revision(answer.era, written), is_complete
            )
        )

    async def write_segment(
        self, pool: str, segment: int, document: dict
    ) -> Result[None, PlatformError]:
        """Write a segment."""
        name = f"{pool}.{segment}"
        return await self._client.write(
            self._SEGMENTS_KIND, name, {"Pool": pool, **document}, ("PUT", "POST")
        )

    async def read_segments(self, pool: str) -> Result[list[dict], PlatformError]:
        """Return the documents of a pool's segments; no stale read."""
        listed = await self._client.list_all(self._SEGMENTS_KIND)
        if listed.is_err():
            return listed
        found = self._client.decode_valid(
            self._SEGMENTS_KIND, listed.unwrap()[0], _read_spec
        )
        return Ok([spec for spec in found if spec.get("Pool") == pool])


def _version_parser(era: int) -> Callable[[dict], tuple[str, StoredVersions]]:
    """Return a parser of the versions that a store of an era has for a pool.

    Malformed ones count as incomplete, and are replaced.
    """

    def parse(item: dict) -> tuple[str, StoredVersions]:
        metadata = read_metadata(item)
        pool = f.read_text(metadata, "Name")
        revision = join_revision(era, f.read_int(metadata, "Revision", least=1))
        try:
            spec = _read_spec(item)
            versions, written_era = spec["Versions"], f.read_int(spec, "Era")
            if not isinstance(versions, list) or len(versions) > MAX_VERSIONS:
                raise ValueError("versions are no list, or too many")
            if not all(isinstance(version, str) for version in versions):
                raise ValueError("a version is not text")
        except f.MALFORMED_ERRORS as cause:
            extra = {"pool": pool, "error": repr(cause)}
            _LOG.error("malformed versions replaced", extra=extra)
            return pool, StoredVersions(revision=revision)
        return pool, StoredVersions(frozenset(versions), revision, written_era == era)

    return parse


def _parse_record(item: dict) -> InstanceRecord:
    spec = _read_spec(item)
    return InstanceRecord(
        f.read_id(item["Metadata"], "Name"),
        f.read_text(spec, "DataCentre"),
        f.read_address(spec, "PeerAddress"),
        capacity=f.read_int(spec, "Capacity", least=1) if "Capacity" in spec else 1,
    )


def _parse_estimates(item: dict) -> tuple[str, dict]:
    return f.read_text(item["Metadata"], "Name"), _read_spec(item)


def _read_spec(item: object) -> dict:
    """Return the ``Spec`` of an object.

    Raises
    ------
    MalformedField
        If it is missing, malformed or no table.
    """
    spec = item.get("Spec") if isinstance(item, dict) else None
    if not isinstance(spec, dict):
        raise f.MalformedField("Spec", "missing, malformed or not a table")
    return spec


def _find_last_name(page: list) -> tuple[int, str]:
    """Return index and name of the last object of a page whose name can be read.

    Raises
    ------
    ValueError
        If no name can be read.
    """
    for index in reversed(range(len(page))):
        with contextlib.suppress(*f.MALFORMED_ERRORS):
            return index, f.read_text(read_metadata(page[index]), "Name")
    raise ValueError("a page without a name that can be read")


def _parse(text: bytes, levels: int) -> dict:
    """Return an answer's document, with `Unreadable` for malformed parts.

    Raises
    ------
    ValueError
        If it is no object in JSON.
    """
    document = load(text, levels)
    if not isinstance(document, dict):
        raise ValueError("no object")
    return document


def _restored_error(step: str) -> RevisionExpired:
    return RevisionExpired("restored from an older copy", step=step, peer="store")


def _malformed_error(step: str, cause: Exception) -> PlatformError:
    detail = f"malformed answer: {cause!r}"
    return PlatformUnavailable(detail, step=step, peer="store")
