"""hibiscusstep.platform.client: the one client of the platform's metadata store."""

import logging
from collections.abc import Callable
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
from hibiscusstep.store import (
    BeliefStore,
    Change,
    Feed,
    HistoryLost,
    InstanceRecord,
    Listing,
    Roster,
)

__all__ = ["ObjectBeliefs", "ObjectClient", "ObjectFeed", "ObjectRoster"]

_LOG = logging.getLogger(__name__)
_ROOT = "/hibiscusstep/objects"
# A call takes some milliseconds; a slow store takes about 0.25 s.
CALL_TIMEOUT_S = 1.5
# Beyond the time that the store itself waits for a change.
WATCH_GRACE_S = 0.5
_STATUS_ERRORS = {
    404: PlatformNotFound,
    409: PlatformConflict,
    410: HistoryLost,
}
_Decode = Callable[[str, int, dict, dict], object]


class ObjectClient:
    """Calls of the store, one HTTP request each, none repeated here.

    Parameters
    ----------
    address : str
        IP number and port.
    """

    def __init__(self, address: str) -> None:
        self._root = f"http://{address}{_ROOT}"
        self._session: aiohttp.ClientSession | None = None

    async def call(
        self, method: str, path: str, *, query=None, body=None, extra: float = 0.0
    ) -> Result[dict, PlatformError]:
        """Return the decoded answer of one call; `extra` seconds it may wait."""
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=10.0)
            self._session = aiohttp.ClientSession(connector=connector)
        step = f"{method} {path.split('/')[0]}"
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S + extra)
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
            if status in (200, 201):
                return Ok(orjson.loads(text) if text else {})
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as cause:
            detail = f"no answer: {type(cause).__name__}"
            return Err(PlatformUnavailable(detail, step=step, peer="store"))
        kind = _STATUS_ERRORS.get(status, PlatformUnavailable)
        return Err(kind(f"status {status}", step=step, peer="store"))

    async def list_all(
        self, kind: str, **query: str
    ) -> Result[tuple[list[dict], int], PlatformError]:
        """Return all objects of a kind, page by page, and the store's revision."""
        items: list[dict] = []
        while True:
            reply = await self.call("GET", kind, query=query)
            if reply.is_err():
                return reply
            page = reply.unwrap()
            try:
                items += page["Items"]
                if not page.get("HasMore"):
                    return Ok((items, int(page["At"])))
                query["After"] = items[-1]["Metadata"]["Name"]
            except (IndexError, KeyError, TypeError, ValueError) as cause:
                return Err(_malformed(kind, cause))

    async def write(
        self, kind: str, name: str, spec: dict, methods: tuple[str, str]
    ) -> Result[None, PlatformError]:
        """Write an object without a condition.

        Parameters
        ----------
        kind, name : str
            Of the object.
        spec : dict
            What it holds.
        methods : tuple of str
            The call to try first, and the one for the other case: POST makes an
            object, PUT replaces one.
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
    """The objects of one kind.

    Parameters
    ----------
    client : ObjectClient
        Makes the calls.
    kind : str
        Kind of the objects.
    decode : callable of str, int, dict, dict
        Makes the product's type of name, revision, ``Spec`` and ``Status``.
    """

    def __init__(self, client: ObjectClient, kind: str, decode: _Decode) -> None:
        self._client = client
        self._kind = kind
        self._decode = decode
        self.name = kind

    async def read_all(self) -> Result[Listing, PlatformError]:
        """Return all objects."""
        listed = await self._client.list_all(self._kind)
        if listed.is_err():
            return listed
        found, revision = listed.unwrap()
        items: dict[str, object] = {}
        try:
            for item in found:
                self._add(items, item)
        except (KeyError, TypeError, ValueError) as cause:
            return Err(_malformed(self._kind, cause))
        return Ok(Listing(items, revision))

    async def watch(self, revision: int, timeout: float):
        """Return the changes since a revision."""
        query = {"Watch": str(revision), "WaitMs": str(int(timeout * 1000))}
        reply = await self._client.call(
            "GET",
            self._kind,
            query=query,
            extra=timeout - CALL_TIMEOUT_S + WATCH_GRACE_S,
        )
        if reply.is_err():
            return reply
        answer = reply.unwrap()
        try:
            at = int(answer["At"])
            changes = [
                change
                for event in answer.get("events", ())
                if (change := self._change(event, at))
            ]
        except (KeyError, TypeError, ValueError) as cause:
            return Err(_malformed(self._kind, cause))
        return Ok((changes, at))

    def _add(self, items: dict[str, object], item: dict) -> None:
        name = item["Metadata"]["Name"]
        decoded = self._decoded(name, item)
        if decoded is not None:
            items[name] = decoded

    def _change(self, event: dict, at: int) -> Change | None:
        item = event["Object"]
        name = item["Metadata"]["Name"]
        if event.get("Removed"):
            return Change(name, None, at)
        decoded = self._decoded(name, item)
        return Change(name, decoded, at) if decoded is not None else None

    def _decoded(self, name: str, item: dict) -> object | None:
        try:
            revision = int(item["Metadata"]["Revision"])
            spec, status = item.get("Spec") or {}, item.get("Status") or {}
            return self._decode(name, revision, spec, status)
        except (ConfigurationError, KeyError, TypeError, ValueError) as cause:
            _LOG.error(
                "object ignored",
                extra={"kind": self._kind, "object": name, "error": repr(cause)},
            )
            return None


class ObjectRoster(Roster):
    """The instances, each with an object that it wrote at its start.

    Parameters
    ----------
    client : ObjectClient
        Makes the calls.
    """

    _KIND = "hibiscusstep-instances"

    def __init__(self, client: ObjectClient) -> None:
        self._client = client

    async def register(self, record: InstanceRecord) -> Result[None, PlatformError]:
        """Write one's own record, unless it stands there already."""
        spec = {
            "DataCentre": record.data_centre,
            "PeerAddress": record.peer_address,
            "Capacity": record.capacity,
        }
        return await self._client.write(self._KIND, record.name, spec, ("POST", "PUT"))

    async def instances(self) -> Result[list[InstanceRecord], PlatformError]:
        """Return the records; they may be some seconds old."""
        listed = await self._client.list_all(self._KIND, Serializable="1")
        try:
            return listed.map(lambda found: [_record(item) for item in found[0]])
        except (KeyError, TypeError, ValueError) as cause:
            return Err(_malformed(self._KIND, cause))


class ObjectBeliefs(BeliefStore):
    """An object for each pool, which its dispatcher writes.

    Parameters
    ----------
    client : ObjectClient
        Makes the calls.
    """

    _KIND = "hibiscusstep-beliefs"

    def __init__(self, client: ObjectClient) -> None:
        self._client = client

    async def write(self, pool: str, document: dict) -> Result[None, PlatformError]:
        """Write the document of a pool."""
        return await self._client.write(self._KIND, pool, document, ("PUT", "POST"))

    async def read_all(self) -> Result[dict[str, dict], PlatformError]:
        """Return the documents by pool."""
        listed = await self._client.list_all(self._KIND, Serializable="1")
        try:
            return listed.map(
                lambda found: {i["Metadata"]["Name"]: i["Spec"] for i in found[0]}
            )
        except (KeyError, TypeError) as cause:
            return Err(_malformed(self._KIND, cause))


def _record(item: dict) -> InstanceRecord:
    spec = item["Spec"]
    return InstanceRecord(
        item["Metadata"]["Name"],
        spec["DataCentre"],
        spec["PeerAddress"],
        capacity=int(spec.get("Capacity", 1)),
    )


def _malformed(kind: str, cause: Exception) -> PlatformError:
    detail = f"malformed answer: {cause!r}"
    return PlatformUnavailable(detail, step=f"read {kind}", peer="store")
