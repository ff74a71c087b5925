"""hibiscusstep.answer_sink: sends an answer to the caller and keeps it for repeats."""

import asyncio

from aiohttp import web

from hibiscusstep import sockets
from hibiscusstep.problem import Problem

__all__ = ["AnswerSink"]

# Limit for an answer that is kept for a repeat of its key.
MAX_KEPT_BYTES = 1 << 20
# Limit for other answers, kept only to continue an interrupted stream.
MAX_CONTINUATION_BYTES = 64 << 10


class AnswerSink:
    """Writes one answer to one caller.

    Parameters
    ----------
    request : aiohttp.web.Request
        The caller's HTTP request.
    request_id : str
        Id of the request, returned with every answer.
    keep : bool
        Whether the complete answer is kept for a repeat of its key; then writing
        continues if the caller disconnects.

    Attributes
    ----------
    detached : bool
        Whether sending to the caller has ended.
    started_at : float or None
        When the head of the answer was sent, in seconds on the loop's clock.
    """

    def __init__(self, request: web.Request, request_id: str, keep: bool) -> None:
        self._request = request
        self._request_id = request_id
        self._keep = keep
        self._response: web.StreamResponse | None = None
        self._kept_parts: list[bytes] = []
        self._kept_bytes = 0
        self._overflowed = False
        self.detached = False
        self.started_at: float | None = None
        self.bytes_sent = 0
        self.status = 0
        self.content_type = ""

    @property
    def has_started(self) -> bool:
        """Whether the head of the answer was sent."""
        return self._response is not None

    @property
    def response(self) -> web.StreamResponse | None:
        """The response, once started."""
        return self._response

    @property
    def written(self) -> bytes | None:
        """The bytes written so far; None if over the size limit."""
        return None if self._overflowed else b"".join(self._kept_parts)

    async def begin(self, status: int, content_type: str, **headers: str) -> None:
        """Send the head of a streamed answer."""
        self.status, self.content_type = status, content_type
        self.started_at = asyncio.get_running_loop().time()
        self._response = web.StreamResponse(
            status=status, headers=self._headers(content_type, headers)
        )
        await self._send_to_caller(self._response.prepare, self._request)

    async def write(self, data: bytes) -> None:
        """Send a part of a streamed answer."""
        self._buffer(data)
        self.bytes_sent += len(data)
        await self._send_to_caller(self._response.write, data)

    async def end(self) -> None:
        """Send the end of a streamed answer."""
        await self._send_to_caller(self._response.write_eof)

    async def send_whole(
        self, status: int, content_type: str, body: bytes, **headers: str
    ) -> None:
        """Send an answer in one piece, with its length."""
        self.status, self.content_type = status, content_type
        self._buffer(body)
        self.bytes_sent += len(body)
        self.started_at = asyncio.get_running_loop().time()
        self._response = web.Response(
            status=status, body=body, headers=self._headers(content_type, headers)
        )
        await self._send_to_caller(self._response.prepare, self._request)
        await self._send_to_caller(self._response.write_eof)

    async def send_problem(self, problem: Problem) -> None:
        """Send a problem document; in a started event stream, as its last event."""
        body = problem.body(self._request_id)
        if not self.has_started:
            headers = problem.headers
            media_type = headers.pop("Content-Type")
            await self.send_whole(problem.status, media_type, body, **headers)
        elif self.content_type.startswith("text/event-stream"):
            await self._send_to_caller(
                self._response.write, b"event: error\ndata: " + body + b"\n\n"
            )
            await self.end()
        elif self._request.transport:
            sockets.reset(self._request.transport)

    def _headers(self, content_type: str, headers: dict) -> dict:
        return {
            "Content-Type": content_type,
            "X-Request-Id": self._request_id,
            **headers,
        }

    async def _send_to_caller(self, send, *arguments) -> None:
        """Send to the caller; ignore a lost connection only if the answer is kept."""
        if self.detached:
            return
        try:
            await send(*arguments)
        except ConnectionError:
            if not self._keep:
                raise
            self.detached = True

    def _buffer(self, data: bytes) -> None:
        if self._overflowed:
            return
        self._kept_bytes += len(data)
        if self._kept_bytes > (
            MAX_KEPT_BYTES if self._keep else MAX_CONTINUATION_BYTES
        ):
            self._overflowed = True
            self._kept_parts = []
        else:
            self._kept_parts.append(data)
