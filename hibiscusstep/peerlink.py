"""hibiscusstep.peerlink: authenticated connections between instances."""

import asyncio
import contextlib
import hashlib
import hmac
import logging
import secrets
import struct
from collections.abc import Callable
from dataclasses import dataclass

from hibiscusstep import codec
from hibiscusstep.errors import PeerError
from hibiscusstep.mailbox import Worker
from hibiscusstep.peer import MESSAGES, Received

__all__ = ["Authenticator", "LinkLost", "PeerLinks", "Send", "read_frame"]

_LOG = logging.getLogger(__name__)
NONCE_BYTES = 16
TAG_BYTES = 16
MAX_FRAME_BYTES = 16 << 20
QUEUE_LENGTH = 20_000
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
HANDSHAKE_TIMEOUT_S = 2.0
# The receiver tells that frames have come, one byte for all of so many seconds.
ACKNOWLEDGE_AFTER_S = 0.2
_ACKNOWLEDGEMENT = b"."
ACKNOWLEDGEMENTS_READ = 64
# A connection may go silent for good without a reset while a new one would work: it is
# made anew when what was written so long ago is not acknowledged. Beyond the pause of a
# busy peer, and as long as a peer may be silent before it is taken for dead.
SILENT_AFTER_S = 1.5
_HEAD = struct.Struct(">I")
_NUMBER = struct.Struct(">Q")
_KINDS = {cls: number for number, cls in enumerate(MESSAGES)}


@dataclass(slots=True)
class Send:
    """A message for the peer at an address; lost if the peer is away."""

    address: str
    message: object


@dataclass(slots=True)
class LinkLost:
    """The connection to a peer broke; messages to it may be lost.

    Parameters
    ----------
    address : str
        The peer's.
    refused : bool
        Whether its machine answers and nothing listens: the process is dead. A
        paused process, or one behind a cut, does not refuse.
    """

    address: str
    refused: bool = False


class Authenticator:
    """Tags the frames of one connection with a keyed digest and their number.

    Parameters
    ----------
    key : str
        Secret of the settings.
    nonces : bytes
        Both sides' random bytes; a frame of another connection does not fit.
    """

    def __init__(self, key: str, nonces: bytes) -> None:
        secret = hashlib.blake2b(key.encode()).digest()
        self._key = hashlib.blake2b(nonces, key=secret, digest_size=32).digest()
        self._number = 0

    def tag(self, body: bytes) -> bytes:
        """Return the tag of the next frame."""
        data = _NUMBER.pack(self._number) + body
        self._number += 1
        return hashlib.blake2b(data, key=self._key, digest_size=TAG_BYTES).digest()

    def frame(self, body: bytes) -> bytes:
        """Return the next frame: length, tag, body."""
        return _HEAD.pack(len(body)) + self.tag(body) + body


async def read_frame(reader: asyncio.StreamReader, authenticator: Authenticator):
    """Return the body of the next frame.

    Raises
    ------
    PeerError
        If it is too long or its tag does not fit.
    """
    (length,) = _HEAD.unpack(await reader.readexactly(_HEAD.size))
    if length > MAX_FRAME_BYTES:
        raise PeerError(f"frame of {length} bytes", step="read")
    tag = await reader.readexactly(TAG_BYTES)
    body = await reader.readexactly(length)
    if not hmac.compare_digest(tag, authenticator.tag(body)):
        raise PeerError("tag does not fit: another key?", step="read")
    return body


class PeerLinks(Worker):
    """Owns the listening socket and one outgoing connection to each peer.

    Parameters
    ----------
    address : str
        Own peer address.
    key : str
        Secret shared by the instances.
    deliver : callable of object
        Gets each `Received` and `LinkLost`.
    """

    def __init__(self, address: str, key: str, deliver: Callable) -> None:
        super().__init__("peer-links")
        self._address = address
        self._key = key
        self._deliver = deliver
        self._server: asyncio.Server | None = None
        self._links: dict[str, _Link] = {}
        self._readers: set[asyncio.Task] = set()
        self._cut: set[str] = set()
        # The message that was encoded last, and its bytes.
        self._encoded: object = None
        self._body = b""
        self.bytes_sent = 0

    async def start(self) -> None:
        """Listen."""
        host, _, port = self._address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        """Close all connections."""
        self._server.close()
        for link in self._links.values():
            link.task.cancel()
        for reader in self._readers:
            reader.cancel()
        self._links = {}

    async def handle(self, message: Send) -> None:
        """Queue a message for its peer."""
        if message.address in self._cut:
            return
        link = self._links.get(message.address)
        if link is None or link.task.done():
            link = _Link(self, message.address)
            self._links[message.address] = link
        link.put(self._encode(message.message))

    def _encode(self, message) -> bytes:
        """Return a message as a frame's body; one that goes to many is encoded once."""
        if message is not self._encoded:
            kind = _KINDS[type(message)]
            self._body = bytes([kind]) + codec.encode(message)
            self._encoded = message
        return self._body

    def cut(self, addresses: set[str]) -> None:
        """Drop all traffic from and to these peers; for tests of cuts."""
        self._cut = set(addresses)

    def lost(self, address: str, refused: bool) -> None:
        """Report a broken connection."""
        self._deliver(LinkLost(address, refused))

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._readers.add(task)
        peer = str(writer.get_extra_info("peername"))
        try:
            await self._receive(reader, writer)
        except (PeerError, codec.CodecError, IndexError, TimeoutError) as error:
            _LOG.warning("peer refused", extra={"peer": peer, "error": str(error)})
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._readers.discard(task)
            writer.close()

    async def _receive(self, reader, writer) -> None:
        nonce = secrets.token_bytes(NONCE_BYTES)
        writer.write(nonce)
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            theirs = await reader.readexactly(NONCE_BYTES)
            authenticator = Authenticator(self._key, theirs + nonce)
            sender = (await read_frame(reader, authenticator)).decode()
        acknowledgement: asyncio.TimerHandle | None = None
        loop = asyncio.get_running_loop()
        try:
            while True:
                body = await read_frame(reader, authenticator)
                if acknowledgement is None or acknowledgement.when() <= loop.time():
                    acknowledgement = loop.call_later(
                        ACKNOWLEDGE_AFTER_S, writer.write, _ACKNOWLEDGEMENT
                    )
                message = codec.decode(MESSAGES[body[0]], body[1:])
                if sender not in self._cut:
                    self._deliver(Received(sender, message))
        finally:
            if acknowledgement:
                acknowledgement.cancel()

    async def connect(self, address: str):
        """Return a writer and its authenticator after the handshake."""
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            theirs = await reader.readexactly(NONCE_BYTES)
        nonce = secrets.token_bytes(NONCE_BYTES)
        authenticator = Authenticator(self._key, nonce + theirs)
        writer.write(nonce + authenticator.frame(self._address.encode()))
        return reader, writer, authenticator


class _Link:
    """One outgoing connection, made anew when it breaks while there is traffic."""

    def __init__(self, links: PeerLinks, address: str) -> None:
        self._links = links
        self._address = address
        self._queue: asyncio.Queue = asyncio.Queue(QUEUE_LENGTH)
        # When the first frame was written that is not acknowledged yet.
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
                await self._write_all(reader, writer, authenticator)
            except ConnectionRefusedError:
                refused = True
            except (OSError, EOFError, TimeoutError):
                pass
            self._links.lost(self._address, refused)
            await asyncio.sleep(backoff)
            backoff = min(MAX_BACKOFF_S, backoff * 2)

    async def _write_all(self, reader, writer, authenticator) -> None:
        """Write what is queued, all that waits at once, until the peer closes.

        Raises
        ------
        TimeoutError
            If the peer does not tell that frames come.
        """
        self._unacknowledged_since = None
        watch = asyncio.create_task(self._watch(reader))
        try:
            while (body := await self._queue.get()) is not None:
                frames = [authenticator.frame(body)]
                while not self._queue.empty() and (more := self._queue.get_nowait()):
                    frames.append(authenticator.frame(more))
                data = b"".join(frames)
                self._links.bytes_sent += len(data)
                self._expect_acknowledgement()
                writer.write(data)
                await writer.drain()
        finally:
            watch.cancel()
            writer.close()

    def _expect_acknowledgement(self) -> None:
        now = asyncio.get_running_loop().time()
        if self._unacknowledged_since is None:
            self._unacknowledged_since = now
        elif now > self._unacknowledged_since + SILENT_AFTER_S:
            raise TimeoutError("the peer has fallen silent")

    async def _watch(self, reader) -> None:
        """Take note of what the peer acknowledges; wake the writing when it closes."""
        with contextlib.suppress(OSError):
            while await reader.read(ACKNOWLEDGEMENTS_READ):
                self._unacknowledged_since = None
        self.put(None)
