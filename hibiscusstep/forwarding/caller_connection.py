"""hibiscusstep.forwarding.caller_connection: writes responses to slow callers."""

import asyncio
import contextlib
import fcntl
import struct
import termios
from collections import deque
from collections.abc import Callable, Iterable

from aiohttp import HttpVersion11, web

from hibiscusstep import sockets
from hibiscusstep.forwarding.buffer_budget import (
    WINDOW_BYTES,
    BufferAccount,
    BufferKind,
    HeldConnection,
)

__all__ = ["CallerConnection", "CollectedResponse"]

# A caller that takes no byte for this long, after the deadline of its request, is taken
# not to read. A window update of a caller that reads slowly comes well within it.
STALL_S = 2.0
# Resuming below this share of the window lets a target write on while its caller reads
# slowly; asyncio resumes at a quarter.
RESUME_SHARE = 0.75


class CollectedResponse(web.StreamResponse):
    """A response that was collected completely and is written as the caller reads.

    Parameters
    ----------
    status : int
        HTTP status.
    parts : iterable of bytes
        The body; its bytes are counted in the account.
    caller : CallerConnection
        The caller's connection.
    account : BufferAccount
        Account of the exchange.
    """

    def __init__(
        self,
        status: int,
        parts: Iterable[bytes],
        caller: "CallerConnection",
        account: BufferAccount,
    ) -> None:
        super().__init__(status=status)
        self._parts = deque(parts)
        self._caller = caller
        self._account = account
        self.content_length = sum(map(len, self._parts))

    async def write_eof(self, data: bytes = b"") -> None:
        """Write the body in pieces; release each piece once it is written."""
        account = self._account
        while self._parts:
            part = memoryview(self._parts.popleft())
            for start in range(0, len(part), WINDOW_BYTES):
                piece = part[start : start + WINDOW_BYTES]
                await self._caller.write(piece)
                account.add(BufferKind.RESPONSE, -len(piece))
                account.set(BufferKind.TO_CALLER, self._caller.buffered)
                if self._caller.is_blocked:
                    await self._caller.wait_for_room()
                    account.set(BufferKind.TO_CALLER, self._caller.buffered)
                    account.record_progress()
        await super().write_eof(data)


class CallerConnection(HeldConnection):
    """The connection of one request, for as long as its exchange lasts.

    Parameters
    ----------
    request : aiohttp.web.Request
        The request.
    on_cut_off : callable
        Called with the account and the reason when the exchange is cut off.

    Attributes
    ----------
    cut_off_reason : str
        Why the exchange was cut off; empty if it was not.
    """

    def __init__(
        self, request: web.Request, on_cut_off: Callable[[BufferAccount, str], None]
    ) -> None:
        self._request = request
        self._transport = request.transport
        self._on_cut_off = on_cut_off
        self._window = WINDOW_BYTES
        self._taken_before = -1
        self.cut_off_reason = ""

    @property
    def buffered(self) -> int:
        """Bytes that the caller has not taken from the transport."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return 0
        return transport.get_write_buffer_size()

    @property
    def is_blocked(self) -> bool:
        """Whether writing has to wait until the caller takes bytes."""
        return self._request.protocol.writing_paused

    def set_window(self, size: int) -> None:
        """Set how many bytes may wait for the caller before writing pauses."""
        self._window = size
        self._set_limits(size, int(RESUME_SHARE * size))

    def cut_off(self, account: BufferAccount, reason: str) -> None:
        """Reset the connection, so that no response can look complete.

        The reset also frees what the kernel holds for the caller.
        """
        if self.cut_off_reason:
            return
        self.cut_off_reason = reason
        self._on_cut_off(account, reason)
        self.reset()

    def reset(self) -> None:
        """Reset the connection: a response that was begun is not complete."""
        if self._transport is not None:
            sockets.reset(self._transport)

    async def begin_stream(self, response: web.StreamResponse) -> None:
        """Send the head of a stream, whose connection is reset until it is complete.

        That holds for callers of HTTP/1.0, who are sent no chunks.
        """
        if self._ends_with_connection:
            sockets.reset_on_close(self._transport, True)
        await response.prepare(self._request)

    @property
    def _ends_with_connection(self) -> bool:
        """Whether the caller takes the end of its connection for that of a stream."""
        return self._transport is not None and self._request.version < HttpVersion11

    async def write(self, data: bytes | memoryview) -> None:
        """Write part of a response that was prepared, without waiting for room."""
        await self._request.writer.write(data, drain=False)

    async def wait_for_room(self) -> None:
        """Wait until the caller has taken part of its window."""
        self.set_window(self._window)  # The default resumes later than RESUME_SHARE.
        await self._request.writer.drain()

    async def deliver(
        self, response: web.StreamResponse, account: BufferAccount, deadline: float
    ) -> None:
        """Write a response and wait until the caller has taken it.

        A caller that takes nothing is cut off at the deadline, or `STALL_S` after the
        response became ready if that is later. One that reads slowly is waited for.
        """
        loop = asyncio.get_running_loop()
        self._account = account
        first_check = max(loop.time(), deadline - STALL_S)
        self._timer = loop.call_at(first_check, self._check_progress, loop, deadline)
        try:
            with contextlib.suppress(ConnectionError):
                await response.prepare(self._request)
                await response.write_eof()
                if self.buffered:
                    # The loop may write only at the end of its iteration.
                    await asyncio.sleep(0)
                account.set(BufferKind.TO_CALLER, self.buffered)
                if self.buffered:
                    await self._flush()
                if self._ends_with_connection and not self._transport.is_closing():
                    sockets.reset_on_close(self._transport, False)
        finally:
            self._timer.cancel()

    async def _flush(self) -> None:
        """Wait until the caller has taken everything."""
        try:
            self._set_limits(0, 0)
            await self._request.writer.drain()
        finally:
            self.set_window(self._window)

    def _check_progress(self, loop: asyncio.AbstractEventLoop, deadline: float) -> None:
        taken = self._request.writer.output_size - self.buffered - self._unacknowledged
        if taken != self._taken_before:
            self._taken_before = taken
            self._account.record_progress()
        elif loop.time() >= deadline:
            self.cut_off(self._account, "not read by its deadline")
            return
        self._timer = loop.call_later(STALL_S, self._check_progress, loop, deadline)

    @property
    def _unacknowledged(self) -> int:
        """Bytes in the kernel that the caller's machine has not acknowledged.

        The kernel takes several MB, and more only once a third of them is gone: without
        this, a caller that reads slowly would seem not to read.
        """
        with contextlib.suppress(OSError, AttributeError, ValueError):
            sock = self._transport.get_extra_info("socket")
            answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
            return struct.unpack("i", answer)[0]
        return 0

    def _set_limits(self, high: int, low: int) -> None:
        transport = self._transport
        if transport is not None and not transport.is_closing():
            transport.set_write_buffer_limits(high=high, low=low)
