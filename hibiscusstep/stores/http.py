"""hibiscusstep.stores.http: client of the object service over HTTP with entity tags."""

from urllib.parse import quote

import aiohttp
import orjson
from result import Err, Ok, Result

from hibiscusstep.errors import (
    PlatformConflict,
    PlatformError,
    PlatformNotFound,
    PlatformUnavailable,
)
from hibiscusstep.http_client import make_connector
from hibiscusstep.store import InstanceRecord, Platform, VersionedObject

__all__ = ["HttpPlatform"]

CALL_TIMEOUT_S = 2.0
WATCH_GRACE_S = 2.0


class HttpPlatform(Platform):
    """Client with ``GET``, conditional ``PUT``, ``DELETE`` and long polling.

    Parameters
    ----------
    url : str
        Base URL of the service.
    timeout : float
        Timeout of a call in seconds.
    """

    name = "http"

    def __init__(self, url: str, timeout: float = CALL_TIMEOUT_S) -> None:
        self._url = url.rstrip("/")
        self._timeout = timeout
        self._session: aiohttp.ClientSession | None = None

    async def get(self, key: str) -> Result[VersionedObject, PlatformError]:
        """Return the object."""
        answer = await self._call("GET", self._object_url(key), step="get")
        return answer.map(lambda reply: VersionedObject(key, reply.version, reply.body))

    async def put(
        self, key: str, value: bytes, expected: int
    ) -> Result[int, PlatformError]:
        """Write the object if its version is `expected` (0: if it does not exist)."""
        condition = (
            {"If-Match": f'"{expected}"'} if expected else {"If-None-Match": "*"}
        )
        answer = await self._call(
            "PUT", self._object_url(key), step="put", data=value, headers=condition
        )
        return answer.map(lambda reply: reply.version)

    async def delete(self, key: str) -> Result[None, PlatformError]:
        """Delete the object."""
        answer = await self._call("DELETE", self._object_url(key), step="delete")
        if answer.is_err() and isinstance(answer.unwrap_err(), PlatformNotFound):
            return Ok(None)
        return answer.map(lambda _reply: None)

    async def watch(
        self, key: str, after: int, timeout: float
    ) -> Result[VersionedObject | None, PlatformError]:
        """Return the object once its version is above `after`; None after `timeout`."""
        url = f"{self._url}/watch/{quote(key)}?after={after}&timeout={timeout}"
        answer = await self._call(
            "GET", url, step="watch", extra_s=timeout + WATCH_GRACE_S
        )
        return answer.map(
            lambda reply: (
                VersionedObject(key, reply.version, reply.body)
                if reply.status == 200
                else None
            )
        )

    async def instances(self) -> Result[list[InstanceRecord], PlatformError]:
        """Return the list of instances, which lags behind."""
        step = "instances"
        answer = await self._call("GET", f"{self._url}/instances", step=step)
        try:
            return answer.map(
                lambda reply: [InstanceRecord(**entry) for entry in reply.json()]
            )
        except (ValueError, TypeError) as cause:
            detail = f"malformed answer: {cause!r}"
            return Err(PlatformUnavailable(detail, step=step, peer="platform"))

    async def close(self) -> None:
        """Close the session."""
        if self._session:
            await self._session.close()

    def _object_url(self, key: str) -> str:
        return f"{self._url}/objects/{quote(key)}"

    async def _call(self, method, url, *, step, extra_s=0.0, **options):
        if self._session is None:
            self._session = aiohttp.ClientSession(connector=make_connector())
        timeout = aiohttp.ClientTimeout(total=self._timeout + extra_s)
        try:
            async with self._session.request(
                method, url, timeout=timeout, **options
            ) as response:
                reply = _Reply(response.status, response.headers, await response.read())
        except (TimeoutError, aiohttp.ClientError, OSError) as cause:
            detail = f"no answer: {type(cause).__name__}"
            return Err(PlatformUnavailable(detail, step=step, peer="platform"))
        return reply.to_result(step)


class _Reply:
    def __init__(self, status: int, headers, body: bytes) -> None:
        self.status = status
        self.body = body
        self.version = int(headers.get("ETag", '"0"').strip('"') or 0)

    def json(self):
        return orjson.loads(self.body)

    def to_result(self, step: str) -> "Result[_Reply, PlatformError]":
        if self.status in (200, 201, 204):
            return Ok(self)
        error_types = {
            404: PlatformNotFound,
            412: PlatformConflict,
            409: PlatformConflict,
        }
        error_type = error_types.get(self.status, PlatformUnavailable)
        return Err(error_type(f"status {self.status}", step=step, peer="platform"))
