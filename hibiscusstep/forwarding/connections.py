"""hibiscusstep.forwarding.connections: pooled HTTP/1.1 connections to targets."""

import asyncio
import contextlib
import enum
import math
import socket
from abc import ABC, abstractmethod
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from weakref import WeakSet

from aiohttp import EMPTY_PAYLOAD, StreamReader
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import HttpResponseParser, RawResponseMessage

from hibiscusstep.clock import elapsed
from hibiscusstep.errors import TargetError
from hibiscusstep.forwarding.buffer_budget import (
    WINDOW_BYTES,
    BufferAccount,
    BufferKind,
)

__all__ = [
    "Connection",
    "ConnectionPool",
    "Connector",
    "DirectConnector",
    "Framing",
    "TargetResponse",
    "connect_directly",
    "enable_keepalive",
    "set_receive_buffer",
]

# A TCP handshake takes a few milliseconds and a lost SYN is retransmitted only after a
# second, so another target is tried before that.
CONNECT_TIMEOUT_S = 0.4
# Bytes that are unacknowledged for this long mean that the target's machine is gone.
USER_TIMEOUT_MS = 4000
# Keepalive probes end a connection that went silent without a reset, also within a
# response, after 4 s. Streams with traffic are never probed.
PROBE_AFTER_S = 2
PROBE_INTERVAL_S = 1
MAX_PROBES = 2
# Bytes that the kernel may receive from a target that is not read. The kernel doubles
# it for its own overhead; without a bound it grows to several MB.
RECEIVE_BUFFER_BYTES = 1 << 16
# Shorter waits for a caller are part of ordinary service, and the bound would limit the
# connection to 128 KiB for each round trip.
SMALL_RECEIVE_BUFFER_AFTER_S = 0.1
# Idle time if the target declares none: such targets close within a second.
DEFAULT_IDLE_S = 0.4
# Idle connections are closed this long before the target would close them, so that no
# request is sent to a closing connection.
IDLE_SAFETY_MARGIN_S = 0.6
MAX_IDLE_S = 10.0
# Targets at work send events at shorter intervals.
HEARD_WITHIN_S = 0.5
HEARD_CHECK_INTERVAL_S = 0.02
# A process that ends may accept a connection after it has closed others. It closes
# that one too, within this time.
PROBE_SETTLE_S = 0.1
MAX_REFUSAL_PROBES = 3
_MIN_FINAL_STATUS = 200
# Bytes in a row that bring neither the head of a final response nor content: a long
# head, the framing of chunks, trailer fields.
MAX_BYTES_WITHOUT_CONTENT = 1 << 16
MAX_INTERIM_RESPONSES = 16
# Time in which a head is complete after its first byte, while more of it arrives.
# Sound targets write it at once.
MAX_HEAD_S = 2.0


class Framing(enum.StrEnum):
    """What tells the end of a response's body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


@dataclass(slots=True, eq=False)
class TargetResponse:
    """A target's response: its head, and its body as a stream.

    Parameters
    ----------
    message : RawResponseMessage
        The head.
    body : StreamReader
        The body.
    taken : int
        Bytes of the body that were read.
    """

    message: RawResponseMessage
    body: StreamReader
    taken: int = 0

    @property
    def framing(self) -> Framing:
        """What tells the end of the body."""
        if self.message.chunked:
            return Framing.CHUNKS
        if "Content-Length" in self.message.headers or self.body is EMPTY_PAYLOAD:
            return Framing.LENGTH
        return Framing.CONNECTION


class Connection(BaseProtocol):
    """A connection that carries one request at a time.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The event loop.
    peer : str
        The target's name, for error messages.

    Attributes
    ----------
    idle_until : float
        Until when it may be used again, on the clock of `elapsed`.
    is_reused : bool
        Whether it has carried a request before.
    via : str
        Peer address of the instance that it leads through; "" if it is direct.
    is_path_broken : bool
        Whether that instance was lost; this says nothing about the target.
    received_at : float
        When bytes arrived last, or else when it was made, on the loop's clock.
    """

    def __init__(self, loop, peer: str) -> None:
        super().__init__(loop)
        self._peer = peer
        self._responses: asyncio.Queue | None = None
        self._current: StreamReader | None = None
        self._unusable = False
        self._account: BufferAccount | None = None
        self._has_small_receive_buffer = False
        # The transports of asyncio copy what they cannot send at once; those of uvloop
        # keep a reference.
        self._copies_writes = isinstance(loop, asyncio.BaseEventLoop)
        self._counted_tail = 0
        self._bytes_without_content = 0
        self._interim_responses = 0
        self._head_began_at = math.inf
        self.idle_until = 0.0
        self.is_reused = False
        self.via = ""
        self.is_path_broken = False
        self.received_at = loop.time()

    @property
    def peer(self) -> str:
        """The target's name."""
        return self._peer

    @property
    def usable(self) -> bool:
        """Whether another request may be sent on this connection."""
        return self.connected and not self._unusable

    @property
    def buffered(self) -> int:
        """Bytes of the request that the target has not taken."""
        transport = self.transport
        return 0 if transport is None else transport.get_write_buffer_size()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask to be told as soon as the target has taken everything."""
        super().connection_made(transport)
        transport.set_write_buffer_limits(high=0)

    def resume_writing(self) -> None:
        """Release what the target has taken."""
        super().resume_writing()
        self._count_buffered()

    def pause_reading(self) -> None:
        """Pause, except at the end of the connection, when all bytes have arrived."""
        if self.connected:
            super().pause_reading()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if no request is open."""
        self.received_at = self._loop.time()
        if self._account is not None:
            self._account.add(BufferKind.FROM_TARGET, len(data))
        if self._responses is None:
            self._fail(
                TargetError(
                    "unexpected bytes between responses", **self._error_context("idle")
                )
            )
            return
        content_before = self._content_size
        try:
            messages, _upgraded, _tail = self._parser.feed_data(data)
        except HttpProcessingError as cause:
            self._fail(
                TargetError(f"malformed HTTP: {cause}", **self._error_context("read"))
            )
            return
        is_final = False
        for message, payload in messages:
            self._current = payload
            self._responses.put_nowait(TargetResponse(message, payload))
            is_final |= message.code >= _MIN_FINAL_STATUS
        if is_final or self._content_size > content_before:
            self._bytes_without_content = 0
            self._head_began_at = math.inf
        else:
            self._check_progress(len(data), len(messages))

    @property
    def _content_size(self) -> int:
        """Bytes of the current response's body so far."""
        return 0 if self._current is None else self._current.total_bytes

    def _check_progress(self, size: int, interim_responses: int) -> None:
        """Fail if too much has arrived without a final head or content."""
        self._bytes_without_content += size
        self._interim_responses += interim_responses
        if interim_responses:
            self._head_began_at = math.inf
        elif self._current is None or self._current.is_eof():
            self._head_began_at = min(self._head_began_at, self.received_at)
        if self._bytes_without_content > MAX_BYTES_WITHOUT_CONTENT:
            reason = f"{self._bytes_without_content} bytes without content"
        elif self._interim_responses > MAX_INTERIM_RESPONSES:
            reason = f"{self._interim_responses} interim responses"
        elif self.received_at > self._head_began_at + MAX_HEAD_S:
            seconds = self.received_at - self._head_began_at
            reason = f"a head is not complete after {seconds:.1f} s"
        else:
            return
        self._fail(TargetError(reason, **self._error_context("read")))

    def eof_received(self) -> None:
        """Let the transport close the connection."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete or fail the response: only a clean close can complete one."""
        super().connection_lost(exc)
        self._unusable = True
        if self._responses is None:
            return
        if self._reading_paused:
            # The end of a tunnel may arrive while bytes wait in the parser.
            self.data_received(b"")
        detail = "closed" if exc is None else f"{type(exc).__name__}"
        error = TargetError(detail, **self._error_context("read"))
        if exc is None and self._current is not None and not self._current.is_eof():
            try:
                self._parser.feed_eof()
            except Exception as cause:
                error = TargetError(
                    f"connection closed within the response: {cause}",
                    **self._error_context("read"),
                )
        self._fail(error)

    def begin(
        self, account: BufferAccount | None = None, window: int = WINDOW_BYTES
    ) -> None:
        """Prepare for the responses to one request.

        Parameters
        ----------
        account : BufferAccount or None
            Counts what is received and not read.
        window : int
            Reading pauses if more than twice this number of bytes is not read.
        """
        self._account = account
        self._parser = HttpResponseParser(
            self,
            self._loop,
            window,
            max_line_size=1 << 16,
            max_field_size=1 << 16,
            read_until_eof=True,
            auto_decompress=False,
        )
        self._responses = asyncio.Queue()
        self._current = None
        self._counted_tail = 0
        self._bytes_without_content = self._interim_responses = 0
        self._head_began_at = math.inf

    def write(self, data: bytes, *, is_counted: bool = False) -> None:
        """Send bytes of the request.

        Parameters
        ----------
        data : bytes
            The bytes.
        is_counted : bool
            Whether the account counts them already; they must be the request's last.
        """
        if not self.usable:
            raise TargetError("closed", step="send", peer=self._peer, sent=False)
        if is_counted and not self._copies_writes:
            self._counted_tail = len(data)
        self.transport.write(data)
        self._count_buffered()

    def _count_buffered(self) -> None:
        if self._account is not None:
            size = max(0, self.buffered - self._counted_tail)
            self._account.set(BufferKind.TO_TARGET, size)

    async def next_response(self) -> TargetResponse:
        """Return the next response on this connection.

        Raises
        ------
        TargetError
            If the connection is lost first.
        """
        while True:
            response = await self._responses.get()
            self._count_buffered()
            if isinstance(response, TargetError):
                self._responses.put_nowait(response)
                raise response
            if response.message.code >= _MIN_FINAL_STATUS:
                return response

    async def read(self, response: TargetResponse) -> bytes:
        """Return the bytes of a response that have arrived, b"" at its end."""
        data = await response.body.readany()
        response.taken += len(data)
        if self._account is not None:
            unread = response.body.total_bytes - response.taken
            self._account.set(BufferKind.FROM_TARGET, unread)
        return data

    @contextlib.contextmanager
    def reading_paused(self) -> Iterator[None]:
        """Read nothing from the target meanwhile; count what the kernel may receive."""
        timer = self._loop.call_later(
            SMALL_RECEIVE_BUFFER_AFTER_S, self._shrink_receive_buffer
        )
        self._pause_reading_for_buffer()
        if self._account is not None:
            self._account.add(BufferKind.FROM_TARGET, RECEIVE_BUFFER_BYTES)
        try:
            yield
        finally:
            timer.cancel()
            if self._account is not None:
                self._account.add(BufferKind.FROM_TARGET, -RECEIVE_BUFFER_BYTES)
            self._resume_reading_for_buffer()

    def _shrink_receive_buffer(self) -> None:
        if self._has_small_receive_buffer or self.transport is None:
            return
        self._has_small_receive_buffer = True
        set_receive_buffer(self.transport.get_extra_info("socket"))

    def _release_account(self) -> None:
        if self._account is not None:
            self._account.set(BufferKind.FROM_TARGET, 0)
            self._account.set(BufferKind.TO_TARGET, 0)
            self._account = None

    def finish(self) -> None:
        """End a request with a complete response.

        The connection is closed if more bytes arrived, or if its receive buffer is
        small, which would limit the rate of the next response.
        """
        self._release_account()
        extra = not self._responses.empty() or self._has_partial_response()
        self._responses = None
        self._current = None
        if extra or self._has_small_receive_buffer:
            self.abort()

    def _has_partial_response(self) -> bool:
        """Whether the parser holds part of another response; consumes the parser."""
        try:
            return self._parser.feed_eof() is not None
        except Exception:
            return True

    def fail(self, reason: str) -> None:
        """Close at once and fail the pending response."""
        self._fail(TargetError(reason, **self._error_context("read")))

    def abort(self) -> None:
        """Close at once."""
        self._release_account()
        self._unusable = True
        if self.transport is not None:
            self.transport.abort()

    def _fail(self, error: TargetError) -> None:
        self._unusable = True
        current = self._current
        if current is not None and current is not EMPTY_PAYLOAD:
            if not current.is_eof() and current.exception() is None:
                current.set_exception(error)
        if self._responses is not None:
            self._responses.put_nowait(error)
        if self.transport is not None:
            self.transport.abort()

    def _error_context(self, step: str) -> dict:
        return {
            "step": step,
            "peer": self._peer,
            "sent": True,
            "in_path": self.is_path_broken,
        }


class Connector(ABC):
    """Opens connections to targets.

    Attributes
    ----------
    opened : int
        Number of connection attempts so far.
    """

    def __init__(self) -> None:
        self.opened = 0

    @abstractmethod
    async def connect(self, name: str, address: str) -> Connection:
        """Return a connection to a target.

        Raises
        ------
        TargetError
            If no connection can be made.
        """

    @abstractmethod
    async def is_path_lost(self, name: str, address: str) -> bool:
        """Return whether other instances reach a target and this one does not."""


class DirectConnector(Connector):
    """Opens direct connections only."""

    async def connect(self, name: str, address: str) -> Connection:
        """Return a direct connection."""
        self.opened += 1
        return await connect_directly(name, address)

    async def is_path_lost(self, name: str, address: str) -> bool:
        """Return False: there is no other path."""
        return False


class ConnectionPool:
    """Connections by target: idle ones, which are reused, and those in use.

    The idle time includes time in which the machine was suspended, since the target
    closes an idle connection meanwhile.

    Parameters
    ----------
    connector : Connector or None
        Opens the connections; None for direct ones.
    """

    def __init__(self, connector: Connector | None = None) -> None:
        self._connector = connector or DirectConnector()
        self._idle: dict[str, list[Connection]] = defaultdict(list)
        self._in_use: dict[str, WeakSet[Connection]] = defaultdict(WeakSet)
        self._path_checks: set[asyncio.Task] = set()

    @property
    def opened(self) -> int:
        """Number of connection attempts so far."""
        return self._connector.opened

    async def acquire(self, name: str, address: str) -> Connection:
        """Return a connection to a target.

        Raises
        ------
        TargetError
            If no connection can be made; nothing was sent.
        """
        connection = self._pop_idle(name)
        if connection is None:
            connection = await self._connector.connect(name, address)
        self._in_use[name].add(connection)
        return connection

    async def is_path_lost(self, name: str, address: str) -> bool:
        """Return whether a target is reached by other instances only."""
        return await self._connector.is_path_lost(name, address)

    def check_path(self, name: str, address: str) -> None:
        """Check in the background whether this instance still reaches a target."""
        task = asyncio.create_task(self._connector.is_path_lost(name, address))
        self._path_checks.add(task)
        task.add_done_callback(self._path_checks.discard)

    async def probe_refused(self, name: str, address: str) -> bool:
        """Probe whether a target's address refuses connections.

        A connection that stays open is kept as idle; after one that is closed at once
        the address is probed again. Returns False if the result is unknown, for example
        in a network partition.
        """
        for _ in range(MAX_REFUSAL_PROBES):
            connection = await self._probe(name, address)
            if isinstance(connection, bool):
                return connection
            await asyncio.sleep(PROBE_SETTLE_S)
            if connection.usable:
                self.keep_unused(name, connection)
                return False
        return False

    async def _probe(self, name: str, address: str) -> Connection | bool:
        """Return a new connection, or whether the address refused it."""
        started = asyncio.get_running_loop().time()
        try:
            return await self._connector.connect(name, address)
        except TargetError as error:
            if error.in_path:
                # Other targets may be down as well.
                return error.refused and await self._hears_others(name, started)
            return error.refused

    async def _hears_others(self, name: str, since: float) -> bool:
        """Wait for bytes of another target, which show that the links work."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + HEARD_WITHIN_S
        while not self._has_heard_others(name, since):
            if loop.time() >= deadline:
                return False
            await asyncio.sleep(HEARD_CHECK_INTERVAL_S)
        return True

    def _has_heard_others(self, name: str, since: float) -> bool:
        return any(
            connection.received_at > since and not connection.via
            for other, connections in self._in_use.items()
            if other != name
            for connection in connections
        )

    def keep_unused(self, name: str, connection: Connection) -> None:
        """Keep a connection that no request needs, for a short time."""
        connection.idle_until = elapsed() + DEFAULT_IDLE_S
        self._keep(name, connection)

    def _keep(self, name: str, connection: Connection) -> None:
        """Keep a direct connection as idle; a tunnel serves one request only."""
        if connection.via:
            connection.abort()
        else:
            self._idle[name].append(connection)

    def _pop_idle(self, name: str) -> Connection | None:
        idle = self._idle[name]
        while idle:
            connection = idle.pop()
            if connection.usable and elapsed() < connection.idle_until:
                connection.is_reused = True
                return connection
            connection.abort()
        return None

    def release(self, name: str, connection: Connection, idle_timeout: float) -> None:
        """Keep a connection for the next request.

        Parameters
        ----------
        name : str
            The target.
        connection : Connection
            A connection whose response has been read completely.
        idle_timeout : float
            Seconds for which the target keeps it idle; 0 if not declared.
        """
        connection.finish()
        self._in_use[name].discard(connection)
        if not connection.usable:
            return
        span = idle_timeout - IDLE_SAFETY_MARGIN_S if idle_timeout else DEFAULT_IDLE_S
        connection.idle_until = elapsed() + min(MAX_IDLE_S, max(span, 0.0))
        self._keep(name, connection)

    def close_idle(self, name: str) -> None:
        """Close the idle connections to a target."""
        for connection in self._idle.pop(name, ()):
            connection.abort()

    def close_all(self, name: str) -> None:
        """Close all connections to an incarnation of a target that has ended.

        Its open requests are lost. In a network partition there is no reset, and the
        keepalive probes would detect the loss up to four seconds later.
        """
        self.close_idle(name)
        for connection in self._in_use.pop(name, ()):
            connection.fail("the target restarted")

    def close_expired(self) -> None:
        """Close the connections whose idle time is over."""
        now = elapsed()
        for name, idle in list(self._idle.items()):
            kept = []
            for connection in idle:
                if connection.usable and now < connection.idle_until:
                    kept.append(connection)
                else:
                    connection.abort()
            self._idle[name] = kept
            if not kept:
                del self._idle[name]
        for name in [name for name, used in self._in_use.items() if not used]:
            del self._in_use[name]

    def close(self) -> None:
        """Close all idle connections."""
        for name in list(self._idle):
            self.close_idle(name)


async def connect_directly(name: str, address: str) -> Connection:
    """Return a connection to a target from this instance.

    Raises
    ------
    TargetError
        If no connection can be made within `CONNECT_TIMEOUT_S`; nothing was sent.
    """
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _transport, connection = await loop.create_connection(
                lambda: Connection(loop, name), host, int(port)
            )
    except (OSError, TimeoutError) as cause:
        detail = f"{type(cause).__name__}"
        refused = isinstance(cause, ConnectionRefusedError)
        raise TargetError(
            detail, step="connect", peer=name, sent=False, refused=refused
        ) from None
    enable_keepalive(connection.transport.get_extra_info("socket"))
    return connection


def set_receive_buffer(sock) -> None:
    """Bound the bytes that the kernel receives while a connection is not read."""
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)


def enable_keepalive(sock, user_timeout_ms: int = USER_TIMEOUT_MS) -> None:
    """Enable TCP timeouts that end a connection whose peer no longer responds.

    Parameters
    ----------
    sock : socket.socket
        Socket of the connection.
    user_timeout_ms : int
        Milliseconds for which bytes may be unacknowledged, or a peer may take none.
    """
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in (
            (socket.TCP_USER_TIMEOUT, user_timeout_ms),
            (socket.TCP_KEEPIDLE, PROBE_AFTER_S),
            (socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
            (socket.TCP_KEEPCNT, MAX_PROBES),
        ):
            sock.setsockopt(socket.IPPROTO_TCP, option, value)
