"""hibiscusstep.forwarding.connections: HTTP connections to targets, kept and reused."""

import asyncio
import contextlib
import socket
from collections import defaultdict
from dataclasses import dataclass
from weakref import WeakSet

from aiohttp import EMPTY_PAYLOAD, StreamReader
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import HttpResponseParser, RawResponseMessage

from hibiscusstep.clock import elapsed
from hibiscusstep.errors import TargetError

__all__ = ["Connection", "ConnectionPool", "Reply"]

# A handshake takes some milliseconds; a lost first packet is sent again after a second,
# so another target is the better choice long before that.
CONNECT_TIMEOUT_S = 0.4
# Unacknowledged bytes for so long mean that the target's machine is gone.
USER_TIMEOUT_MS = 4000
# A connection on which nothing comes is probed: one that went silent for good, without
# a reset, ends after 4 s in the midst of an answer. Busy streams are never probed.
PROBE_AFTER_S = 2
PROBE_INTERVAL_S = 1
PROBES = 2
READ_LIMIT_BYTES = 1 << 16
# Where a target names no idle time it is under a second: reuse only what is fresh.
UNNAMED_IDLE_S = 0.4
# Closed this long before the target would, so that a request does not cross its close.
IDLE_MARGIN_S = 0.6
MAX_IDLE_S = 10.0
_INFORMATIONAL = 200


@dataclass(slots=True, eq=False)
class Reply:
    """The head of an answer, and its body as it comes."""

    message: RawResponseMessage
    body: StreamReader


class Connection(BaseProtocol):
    """One connection; carries one request at a time.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Where it runs.
    peer : str
        The target's name, for errors.
    """

    def __init__(self, loop, peer: str) -> None:
        super().__init__(loop)
        self._peer = peer
        self._replies: asyncio.Queue | None = None
        self._current: StreamReader | None = None
        self._tainted = False
        self.idle_until = 0.0

    @property
    def usable(self) -> bool:
        """Whether another request may be sent on it."""
        return self.connected and not self._tainted

    def data_received(self, data: bytes) -> None:
        """Parse what came; bytes that nobody waits for spoil the connection."""
        if self._replies is None:
            self._fail(TargetError("bytes between answers", **self._where("idle")))
            return
        try:
            messages, _upgraded, _tail = self._parser.feed_data(data)
        except HttpProcessingError as cause:
            self._fail(TargetError(f"no HTTP: {cause}", **self._where("read")))
            return
        for message, payload in messages:
            self._current = payload
            self._replies.put_nowait(Reply(message, payload))

    def eof_received(self) -> None:
        """Let the transport close."""

    def connection_lost(self, exc: Exception | None) -> None:
        """End what is open: a clean end may complete an answer, a reset never does."""
        super().connection_lost(exc)
        self._tainted = True
        if self._replies is None:
            return
        detail = "closed" if exc is None else f"{type(exc).__name__}"
        error = TargetError(detail, **self._where("read"))
        if exc is None and self._current is not None and not self._current.is_eof():
            try:
                self._parser.feed_eof()
            except Exception as cause:
                error = TargetError(f"cut: {cause}", **self._where("read"))
        self._fail(error)

    def begin(self) -> None:
        """Get ready for the answers to one request."""
        self._parser = HttpResponseParser(
            self,
            self._loop,
            READ_LIMIT_BYTES,
            max_line_size=1 << 16,
            max_field_size=1 << 16,
            read_until_eof=True,
            auto_decompress=False,
        )
        self._replies = asyncio.Queue()
        self._current = None

    def write(self, data: bytes) -> None:
        """Send bytes of the request."""
        if not self.usable:
            raise TargetError("closed", step="send", peer=self._peer, sent=False)
        self.transport.write(data)

    async def next_reply(self) -> Reply:
        """Return the next answer on this connection.

        Raises
        ------
        TargetError
            If the connection ends before.
        """
        while True:
            reply = await self._replies.get()
            if isinstance(reply, TargetError):
                self._replies.put_nowait(reply)
                raise reply
            if reply.message.code >= _INFORMATIONAL:
                return reply

    def finish(self) -> None:
        """End a request whose answer was read whole; extra bytes spoil it."""
        extra = not self._replies.empty() or self._holds_part_of_another()
        self._replies = None
        self._current = None
        if extra:
            self.abort()

    def _holds_part_of_another(self) -> bool:
        """Whether the parser has begun with another answer; it is not used again."""
        try:
            return self._parser.feed_eof() is not None
        except Exception:
            return True

    def lose(self, why: str) -> None:
        """Close at once, and tell whoever waits for an answer that it is lost."""
        self._fail(TargetError(why, **self._where("read")))

    def abort(self) -> None:
        """Close at once."""
        self._tainted = True
        if self.transport is not None:
            self.transport.abort()

    def _fail(self, error: TargetError) -> None:
        self._tainted = True
        current = self._current
        if current is not None and current is not EMPTY_PAYLOAD:
            if not current.is_eof() and current.exception() is None:
                current.set_exception(error)
        if self._replies is not None:
            self._replies.put_nowait(error)
        if self.transport is not None:
            self.transport.abort()

    def _where(self, step: str) -> dict:
        return {"step": step, "peer": self._peer, "sent": True}


class ConnectionPool:
    """Connections by target: the idle ones, to be reused, and those in use.

    How long one was idle counts while the machine is suspended too: its target closes
    it meanwhile.

    Attributes
    ----------
    opened : int
        Connections made so far.
    """

    def __init__(self) -> None:
        self._idle: dict[str, list[Connection]] = defaultdict(list)
        self._in_use: dict[str, WeakSet[Connection]] = defaultdict(WeakSet)
        self.opened = 0

    async def acquire(self, name: str, address: str) -> Connection:
        """Return a connection to a target.

        Raises
        ------
        TargetError
            If none can be made; nothing was sent.
        """
        loop = asyncio.get_running_loop()
        connection = self._take_idle(name)
        if connection is None:
            connection = await self._connect(loop, name, address)
        self._in_use[name].add(connection)
        return connection

    async def is_refused(self, name: str, address: str) -> bool:
        """Whether nothing listens at a target's address; else a connection is kept.

        False also where it can't be told, as behind a cut.
        """
        loop = asyncio.get_running_loop()
        try:
            connection = await self._connect(loop, name, address)
        except TargetError as error:
            return error.refused
        connection.idle_until = elapsed() + UNNAMED_IDLE_S
        self._idle[name].append(connection)
        return False

    def _take_idle(self, name: str) -> Connection | None:
        idle = self._idle[name]
        while idle:
            connection = idle.pop()
            if connection.usable and elapsed() < connection.idle_until:
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
            Its answer has been read whole.
        idle_timeout : float
            Seconds for which the target keeps it; 0 if it did not say.
        """
        connection.finish()
        self._in_use[name].discard(connection)
        if not connection.usable:
            return
        span = idle_timeout - IDLE_MARGIN_S if idle_timeout else UNNAMED_IDLE_S
        connection.idle_until = elapsed() + min(MAX_IDLE_S, max(span, 0.0))
        self._idle[name].append(connection)

    def forget(self, name: str) -> None:
        """Close the idle connections to a target that is gone."""
        for connection in self._idle.pop(name, ()):
            connection.abort()

    def end_all(self, name: str) -> None:
        """Close all connections to an incarnation of a target that is over.

        What was asked there is lost. A connection that died behind a cut, with no
        reset, would show that only when it was probed, up to four seconds later.
        """
        self.forget(name)
        for connection in self._in_use.pop(name, ()):
            connection.lose("the target started again")

    def sweep(self) -> None:
        """Close the connections that have been idle for too long."""
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
            self.forget(name)

    async def _connect(self, loop, name: str, address: str) -> Connection:
        host, _, port = address.rpartition(":")
        self.opened += 1
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
        sock = connection.transport.get_extra_info("socket")
        _find_silence(sock)
        return connection


def _find_silence(sock) -> None:
    """Let the system end a connection whose other side is not heard any more."""
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in (
            (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
            (socket.TCP_KEEPIDLE, PROBE_AFTER_S),
            (socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
            (socket.TCP_KEEPCNT, PROBES),
        ):
            sock.setsockopt(socket.IPPROTO_TCP, option, value)
