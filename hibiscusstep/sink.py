"""hibiscusstep.sink: where an answer goes: the caller, and the memory for repeats."""

import asyncio

from aiohttp import web

from hibiscusstep.problem import Problem

__all__ = ["Sink"]

MAX_KEPT_BYTES = 1 << 20
MAX_REPLAY_BYTES = 64 << 10


class Sink:
    """Writes one answer to one caller; goes on without the caller if told so.

    Parameters
    ----------
    request : aiohttp.web.Request
        The caller's.
    name : str
        Id of the request, returned with every answer.
    keep : bool
        Whether the whole answer is kept for a repeat of its key.

    Attributes
    ----------
    detached : bool
        Whether nothing more goes to the caller.
    begun_at : float or None
        When the head of the answer was sent, in seconds on the loop's clock.
    """

    def __init__(self, request: web.Request, name: str, keep: bool) -> None:
        self._request = request
        self._name = name
        self._keep = keep
        self._response: web.StreamResponse | None = None
        self._parts: list[bytes] = []
        self._parts_bytes = 0
        self._overflow = False
        self.detached = False
        self.begun_at: float | None = None
        self.bytes_sent = 0
        self.status = 0
        self.content_type = ""

    @property
    def begun(self) -> bool:
        """Whether the head of an answer has gone to the caller."""
        return self._response is not None

    @property
    def response(self) -> web.StreamResponse | None:
        """The response, once begun."""
        return self._response

    @property
    def sent(self) -> bytes | None:
        """All that was written, None if it was too much to remember."""
        return None if self._overflow else b"".join(self._parts)

    async def begin(self, status: int, content_type: str, **headers: str) -> None:
        """Send the head of a streamed answer."""
        self.status, self.content_type = status, content_type
        self.begun_at = asyncio.get_running_loop().time()
        self._response = web.StreamResponse(
            status=status, headers=self._head(content_type, headers)
        )
        await self._to_caller(self._response.prepare, self._request)

    async def write(self, data: bytes) -> None:
        """Send a part."""
        self._remember(data)
        self.bytes_sent += len(data)
        await self._to_caller(self._response.write, data)

    async def end(self) -> None:
        """Send the end of a streamed answer."""
        await self._to_caller(self._response.write_eof)

    async def whole(
        self, status: int, content_type: str, body: bytes, **headers: str
    ) -> None:
        """Send an answer in one piece, with its length."""
        self.status, self.content_type = status, content_type
        self._remember(body)
        self.bytes_sent += len(body)
        self.begun_at = asyncio.get_running_loop().time()
        self._response = web.Response(
            status=status, body=body, headers=self._head(content_type, headers)
        )
        await self._to_caller(self._response.prepare, self._request)
        await self._to_caller(self._response.write_eof)

    async def problem(self, problem: Problem) -> None:
        """Send a problem document; in a stream that has begun, as its last event."""
        body = problem.body(self._name)
        if not self.begun:
            headers = problem.headers
            kind = headers.pop("Content-Type")
            await self.whole(problem.status, kind, body, **headers)
        elif self.content_type.startswith("text/event-stream"):
            await self._to_caller(
                self._response.write, b"event: error\ndata: " + body + b"\n\n"
            )
            await self.end()
        elif self._request.transport:
            self._request.transport.abort()

    def _head(self, content_type: str, headers: dict) -> dict:
        return {"Content-Type": content_type, "X-Request-Id": self._name, **headers}

    async def _to_caller(self, send, *arguments) -> None:
        """Send to the caller; if it has left, go on only where the answer is kept."""
        if self.detached:
            return
        try:
            await send(*arguments)
        except ConnectionError:
            if not self._keep:
                raise
            self.detached = True

    def _remember(self, data: bytes) -> None:
        if self._overflow:
            return
        self._parts_bytes += len(data)
        if self._parts_bytes > (MAX_KEPT_BYTES if self._keep else MAX_REPLAY_BYTES):
            self._overflow = True
            self._parts = []
        else:
            self._parts.append(data)
