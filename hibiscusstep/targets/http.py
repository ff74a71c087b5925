"""hibiscusstep.targets.http: common parts of the clients of HTTP targets."""

import aiohttp
from result import Err, Ok, Result

from hibiscusstep.errors import TargetError
from hibiscusstep.http_client import make_connector
from hibiscusstep.routing.messages import LoadReport
from hibiscusstep.target import TargetClient, TargetRequest

__all__ = ["HttpTargetClient", "TargetSessions"]

CONNECT_TIMEOUT_S = 1.0
REPORT_TIMEOUT_S = 1.0
READ_BUFFER_BYTES = 1 << 16
KEEP_ALIVE_S = 15.0
# Errors of a report that is empty, no JSON object, or has no number of requests.
_MALFORMED_ERRORS = (ValueError, TypeError, AttributeError, OverflowError)


class TargetSessions:
    """Connections to targets.

    Attributes
    ----------
    reused : aiohttp.ClientSession
        Reuses connections; for idempotent requests and load reports.
    unshared : aiohttp.ClientSession
        Opens a connection for each request; for requests that are not idempotent: a
        reused connection may turn out to be closed after the request was sent, and the
        outcome would be unknown.
    """

    def __init__(self) -> None:
        self.reused = _make_session(force_close=False, keepalive_timeout=KEEP_ALIVE_S)
        self.unshared = _make_session(force_close=True)

    async def close(self) -> None:
        """Close all connections."""
        await self.reused.close()
        await self.unshared.close()


def _make_session(**options) -> aiohttp.ClientSession:
    session = aiohttp.ClientSession(
        connector=make_connector(limit=0, **options),
        read_bufsize=READ_BUFFER_BYTES,
        auto_decompress=False,
    )
    # The library repeats GET, PUT and DELETE after a broken connection, but they may
    # not be idempotent on a target. There is no public option to turn this off.
    session._retry_connection = False
    return session


class HttpTargetClient(TargetClient):
    """Client that sends each request over HTTP at most once; reports ``GET /load``."""

    async def send_once(self, target_request: TargetRequest) -> Result:
        """Send a request and return the response once its head has arrived."""
        timeout = aiohttp.ClientTimeout(
            total=target_request.timeout, sock_connect=CONNECT_TIMEOUT_S
        )
        session = (
            self._sessions.reused
            if target_request.idempotent
            else self._sessions.unshared
        )
        try:
            response = await session.request(
                target_request.method,
                f"http://{self._address}{target_request.path}",
                data=target_request.body or None,
                headers=self._headers(target_request),
                timeout=timeout,
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as cause:
            return Err(self.error(cause, step="connect", sent=False))
        except (aiohttp.ClientError, OSError, TimeoutError) as cause:
            return Err(self.error(cause, step="send", sent=True))
        if response.status == 503 and "X-Leaving" in response.headers:
            response.release()
            return Err(
                TargetError(
                    "leaving", step="send", peer=self._name, sent=False, leaving=True
                )
            )
        return Ok(response)

    async def report(self) -> LoadReport:
        """Return the load that the target reports; malformed, it counts as absent."""
        timeout = aiohttp.ClientTimeout(total=REPORT_TIMEOUT_S)
        try:
            async with self._sessions.reused.get(
                f"http://{self._address}/load", timeout=timeout
            ) as response:
                load = await response.json()
            return LoadReport(
                self._name,
                int(load.get("running", 0)),
                int(load.get("waiting", 0)),
                bool(load.get("leaving", False)),
            )
        except (aiohttp.ClientError, OSError, TimeoutError, *_MALFORMED_ERRORS):
            return LoadReport(self._name, 0, 0, False, reachable=False)

    def error(self, cause: Exception, *, step: str, sent: bool) -> TargetError:
        """Return the `TargetError` for an error of the HTTP library."""
        detail = f"{type(cause).__name__}: {cause}".rstrip(": ")
        return TargetError(detail, step=step, peer=self._name, sent=sent)

    def _headers(self, target_request: TargetRequest) -> dict[str, str]:
        headers = {
            "X-Request-Id": target_request.attempt,
            "Content-Type": target_request.content_type,
        }
        if target_request.key:
            headers["Idempotency-Key"] = target_request.key
        return headers
