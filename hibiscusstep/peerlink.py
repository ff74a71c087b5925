"""hibiscusstep.peerlink: authenticated connections between instances."""

import asyncio
import contextlib
import hashlib
import hmac
import logging
import secrets
import struct
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from hibiscusstep import codec
from hibiscusstep.clock import PauseDetector
from hibiscusstep.errors import PeerError
from hibiscusstep.line_limit import LineLimit
from hibiscusstep.mailbox import Tick, Worker
from hibiscusstep.peer import MESSAGES, Received, TunnelOpen

__all__ = ["Authenticator", "LinkLost", "PeerLinks", "Send", "read_frame"]

_LOG = logging.getLogger(__name__)
NONCE_BYTES = 16
TAG_BYTES = 16
MAX_FRAME_BYTES = 16 << 20
# The first frame of a stranger has its address.
MAX_ADDRESS_BYTES = 256
REFUSED_LINES_PER_S = 2
MAX_QUEUED_MESSAGES = 20_000
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
HANDSHAKE_TIMEOUT_S = 2.0
# The receiver acknowledges all frames of this interval with one byte.
ACKNOWLEDGE_AFTER_S = 0.2
_ACKNOWLEDGEMENT = b"."
ACKNOWLEDGEMENT_READ_BYTES = 64
# A connection can stop delivering without a reset while a new one would work, so it is
# replaced when a write has not been acknowledged for this long. This is longer than the
# pause of a busy peer and equal to the silence after which a peer counts as dead.
SILENT_AFTER_S = 1.5
# Interval of the checks for a pause of this process: well below `SILENT_AFTER_S`.
PAUSE_CHECK_INTERVAL_S = 0.25
_LENGTH = struct.Struct(">I")
_SEQUENCE = struct.Struct(">Q")
_TYPE_CODES = {cls: code for code, cls in enumerate(MESSAGES)}


@dataclass(slots=True)
class Send:
    """A message to send to the peer at an address; lost if the peer is unreachable."""

    address: str
    message: object


@dataclass(slots=True)
class LinkLost:
    """The connection to a peer broke; messages to it may be lost.

    Parameters
    ----------
    address : str
        Address of the peer.
    refused : bool
        Whether the connection was refused, which means that the process is dead: a
        paused process, or one behind a network partition, does not refuse.
    """

    address: str
    refused: bool = False


class Authenticator:
    """Authenticates the frames of a connection by a keyed digest and sequence number.

    Parameters
    ----------
    key : str
        Secret from the settings.
    nonces : bytes
        Random bytes of both sides, so that frames of other connections are rejected.
    """

    def __init__(self, key: str, nonces: bytes) -> None:
        secret = hashlib.blake2b(key.encode()).digest()
        self._key = hashlib.blake2b(nonces, key=secret, digest_size=32).digest()
        self._sequence = 0

    def tag(self, body: bytes) -> bytes:
        """Return the tag of the next frame."""
        data = _SEQUENCE.pack(self._sequence) + body
        self._sequence += 1
        return hashlib.blake2b(data, key=self._key, digest_size=TAG_BYTES).digest()

    def frame(self, body: bytes) -> bytes:
        """Return the next frame: length, tag and body."""
        return _LENGTH.pack(len(body)) + self.tag(body) + body


async def read_frame(
    reader: asyncio.StreamReader,
    authenticator: Authenticator,
    max_bytes: int = MAX_FRAME_BYTES,
) -> bytes:
    """Return the body of the next frame.

    Raises
    ------
    PeerError
        If the frame is too long or its tag does not match.
    """
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    if length > max_bytes:
        raise PeerError(
            f"frame of {length} bytes exceeds the limit of {max_bytes}",
            step="read",
        )
    tag = await reader.readexactly(TAG_BYTES)
    body = await reader.readexactly(length)
    if not hmac.compare_digest(tag, authenticator.tag(body)):
        raise PeerError(
            "authentication tag mismatch; the peer may use another key", step="read"
        )
    return body


class PeerLinks(Worker):
    """Owns the listening socket and one outgoing connection to each peer.

    After a pause of this process of `SILENT_AFTER_S`, it closes the connections of its
    peers: the messages that waited in them are outdated. The peers, which may have
    closed theirs by then, learn that messages were lost and connect again.

    Parameters
    ----------
    address : str
        Peer address of this instance.
    key : str
        Secret shared by the instances.
    deliver : callable of object
        Called with each `Received` and `LinkLost`.
    max_strangers : int
        Connections that have not shown the key; the oldest is closed for one more.
    """

    def __init__(
        self, address: str, key: str, deliver: Callable, max_strangers: int = 64
    ) -> None:
        super().__init__("peer-links", tick_interval=PAUSE_CHECK_INTERVAL_S)
        self._address = address
        self._key = key
        self._deliver = deliver
        self._server: asyncio.Server | None = None
        self._links: dict[str, _Link] = {}
        self._serve_tunnel: Callable[..., Awaitable[None]] | None = None
        self._receive_tasks: set[asyncio.Task] = set()
        self._max_strangers = max_strangers
        self._lines = LineLimit(REFUSED_LINES_PER_S, time.monotonic)
        # Connections that have not shown the key, the oldest first.
        self._strangers: dict[asyncio.StreamWriter, None] = {}
        # Connections that messages arrive on, and the number of pauses so far.
        self._message_writers: set[asyncio.StreamWriter] = set()
        self._pauses = 0
        self._pause_detector = PauseDetector(SILENT_AFTER_S)
        self._blocked: set[str] = set()
        # The last encoded message and its bytes.
        self._last_encoded: object = None
        self._last_body = b""
        self.bytes_sent = 0

    async def start(self) -> None:
        """Start to listen on the peer address."""
        host, _, port = self._address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), backlog=self._max_strangers
        )

    async def stop(self) -> None:
        """Close all connections."""
        self._server.close()
        for link in self._links.values():
            link.task.cancel()
        for receive_task in self._receive_tasks:
            receive_task.cancel()
        self._links = {}

    async def handle(self, message: Send | Tick) -> None:
        """Queue a message for its peer, creating the connection if needed."""
        self._check_pause()
        if isinstance(message, Tick) or message.address in self._blocked:
            return
        link = self._links.get(message.address)
        if link is None or link.task.done():
            link = _Link(self, message.address)
            self._links[message.address] = link
        link.put(self._encode(message.message))

    def accept_tunnels(self, serve: Callable[..., Awaitable[None]]) -> None:
        """Serve the tunnels that peers ask for.

        Parameters
        ----------
        serve : callable of str, TunnelOpen, asyncio.Transport
            Serves a tunnel for the peer at an address until it ends.
        """
        self._serve_tunnel = serve

    def handshake(self, peer_nonce: bytes, message) -> bytes:
        """Return the bytes that answer a peer's nonce and send a first message."""
        nonce = secrets.token_bytes(NONCE_BYTES)
        authenticator = Authenticator(self._key, nonce + peer_nonce)
        address = authenticator.frame(self._address.encode())
        return nonce + address + authenticator.frame(self._encode(message))

    def _encode(self, message) -> bytes:
        """Return the frame body of a message; cached, as one message may go to many."""
        if message is not self._last_encoded:
            code = _TYPE_CODES[type(message)]
            self._last_body = bytes([code]) + codec.encode(message)
            self._last_encoded = message
        return self._last_body

    def block(self, addresses: set[str]) -> None:
        """Drop all traffic from and to these peers; for tests of network partitions."""
        self._blocked = set(addresses)

    def _check_pause(self) -> None:
        """Close the connections of the peers if this process was paused."""
        if not (seconds := self._pause_detector.check()):
            return
        _LOG.warning("paused", extra={"seconds": round(seconds, 3)})
        self._pauses += 1
        for writer in self._message_writers:
            writer.close()

    def report_lost(self, address: str, refused: bool) -> None:
        """Report a broken connection to `deliver`."""
        self._deliver(LinkLost(address, refused))

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._receive_tasks.add(task)
        self._message_writers.add(writer)
        peer = str(writer.get_extra_info("peername"))
        self._strangers[writer] = None
        if len(self._strangers) > self._max_strangers:
            oldest = next(iter(self._strangers))
            del self._strangers[oldest]
            oldest.transport.abort()
        try:
            await self._receive(reader, writer)
        except (PeerError, codec.CodecError, IndexError, TimeoutError) as error:
            left_out = self._lines.admit("peer refused")
            if left_out is not None:
                fields = {"peer": peer, "error": str(error), "left_out": left_out}
                _LOG.warning("peer refused", extra=fields)
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._receive_tasks.discard(task)
            self._message_writers.discard(writer)
            self._strangers.pop(writer, None)
            writer.close()

    async def _receive(self, reader, writer) -> None:
        self._check_pause()
        pauses = self._pauses
        nonce = secrets.token_bytes(NONCE_BYTES)
        writer.write(nonce)
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            peer_nonce = await reader.readexactly(NONCE_BYTES)
            authenticator = Authenticator(self._key, peer_nonce + nonce)
            frame = await read_frame(reader, authenticator, MAX_ADDRESS_BYTES)
            sender = frame.decode()
        self._strangers.pop(writer, None)
        acknowledgement: asyncio.TimerHandle | None = None
        loop = asyncio.get_running_loop()
        try:
            while True:
                body = await read_frame(reader, authenticator)
                self._check_pause()
                if pauses != self._pauses:
                    return
                if MESSAGES[body[0]] is TunnelOpen:
                    request = codec.decode(TunnelOpen, body[1:])
                    self._message_writers.discard(writer)
                    await self._accept_tunnel(sender, request, writer.transport)
                    return
                if acknowledgement is None or acknowledgement.when() <= loop.time():
                    acknowledgement = loop.call_later(
                        ACKNOWLEDGE_AFTER_S, writer.write, _ACKNOWLEDGEMENT
                    )
                message = codec.decode(MESSAGES[body[0]], body[1:])
                if sender not in self._blocked:
                    self._deliver(Received(sender, message))
        finally:
            if acknowledgement:
                acknowledgement.cancel()

    async def _accept_tunnel(self, sender: str, request: TunnelOpen, transport) -> None:
        if self._serve_tunnel is None:
            raise PeerError("tunnels are not served here", step="read")
        if sender not in self._blocked:
            await self._serve_tunnel(sender, request, transport)

    async def connect(self, address: str):
        """Do the handshake with a peer; return reader, writer and authenticator."""
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            peer_nonce = await reader.readexactly(NONCE_BYTES)
        nonce = secrets.token_bytes(NONCE_BYTES)
        authenticator = Authenticator(self._key, nonce + peer_nonce)
        writer.write(nonce + authenticator.frame(self._address.encode()))
        return reader, writer, authenticator


class _Link:
    """An outgoing connection that reconnects after a failure."""

    def __init__(self, links: PeerLinks, address: str) -> None:
        self._links = links
        self._address = address
        self._queue: asyncio.Queue = asyncio.Queue(MAX_QUEUED_MESSAGES)
        # Time of the first write that has not been acknowledged.
        self._unacknowledged_since: float | None = None
        self.task = asyncio.create_task(self._run(), name=f"link {address}")

    def put(self, body: bytes | None) -> None:
        if self._queue.full():
            self._queue.get_nowait()
        self._queue.put_nowait(body)

    async def _run(self) -> None:
        backoff = FIRST_BACKOFF_S
        while True:
            refused = False
            try:
                reader, writer, authenticator = await self._links.connect(self._address)
                backoff = FIRST_BACKOFF_S
                await self._write_queued(reader, writer, authenticator)
            except ConnectionRefusedError:
                refused = True
            except (OSError, EOFError, TimeoutError):
                pass
            self._links.report_lost(self._address, refused)
            await asyncio.sleep(backoff)
            backoff = min(MAX_BACKOFF_S, backoff * 2)

    async def _write_queued(self, reader, writer, authenticator) -> None:
        """Write queued frames in batches until the peer closes the connection.

        Raises
        ------
        TimeoutError
            If the peer does not acknowledge frames in time.
        """
        self._unacknowledged_since = None
        acknowledgements = asyncio.create_task(self._read_acknowledgements(reader))
        try:
            while (body := await self._queue.get()) is not None:
                frames = [authenticator.frame(body)]
                while not self._queue.empty() and (more := self._queue.get_nowait()):
                    frames.append(authenticator.frame(more))
                data = b"".join(frames)
                self._links.bytes_sent += len(data)
                self._check_acknowledgement()
                writer.write(data)
                await writer.drain()
        finally:
            acknowledgements.cancel()
            writer.close()

    def _check_acknowledgement(self) -> None:
        now = asyncio.get_running_loop().time()
        if self._unacknowledged_since is None:
            self._unacknowledged_since = now
        elif now > self._unacknowledged_since + SILENT_AFTER_S:
            raise TimeoutError(
                f"no acknowledgement from the peer for {SILENT_AFTER_S} s"
            )

    async def _read_acknowledgements(self, reader) -> None:
        """Record acknowledgements; wake the writer when the peer closes."""
        with contextlib.suppress(OSError):
            while await reader.read(ACKNOWLEDGEMENT_READ_BYTES):
                self._unacknowledged_since = None
        self.put(None)
