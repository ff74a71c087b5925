"""hibiscusstep.forwarding.tunnel: connections to targets through another instance.

An instance opens a connection to a peer and names a target there. The peer connects to
the target directly and copies bytes in both directions until one side ends. The bytes
of the target are framed, so that the loss of the peer cannot be taken for the end of a
response that has no length.
"""

import asyncio
import enum
import struct
from collections.abc import Callable

from hibiscusstep.errors import TargetError
from hibiscusstep.forwarding.buffer_budget import (
    WINDOW_BYTES,
    BufferAccount,
    BufferBudget,
    BufferKind,
    HeldConnection,
)
from hibiscusstep.forwarding.connections import (
    CONNECT_TIMEOUT_S,
    RECEIVE_BUFFER_BYTES,
    Connection,
    enable_keepalive,
    set_receive_buffer,
)
from hibiscusstep.forwarding.model import DiscoveredTarget
from hibiscusstep.forwarding.target_paths import TargetPaths
from hibiscusstep.log import decision
from hibiscusstep.peer import TunnelOpen
from hibiscusstep.peerlink import NONCE_BYTES, PeerLinks

__all__ = ["TunnelServer", "TunnelStatus", "open_tunnel"]

# Less than the time in which the other instance needs its answer.
PEER_CONNECT_TIMEOUT_S = 0.75 * CONNECT_TIMEOUT_S
# The origin takes no bytes while its caller takes none. Like a target, the peer does
# not end the stream for that; the origin does when the request's time is over.
ORIGIN_USER_TIMEOUT_MS = 120_000
# A bound on the descriptors that other instances may use here, two for each tunnel.
MAX_TUNNELS = 256
_LENGTH = struct.Struct(">I")
# Instead of a length: the target closed its connection, or the connection broke.
_CLOSED = _LENGTH.pack(0)
_BROKEN_LENGTH = 0xFFFFFFFF
_BROKEN = _LENGTH.pack(_BROKEN_LENGTH)


class TunnelStatus(enum.IntEnum):
    """First byte of a peer's answer.

    `REFUSED`: the target refused the connection. `UNREACHABLE`: it could not be
    reached. `DECLINED`: the peer serves no tunnel now or reaches other targets neither;
    this says nothing about the target.
    """

    CONNECTED = 1
    REFUSED = 2
    UNREACHABLE = 3
    DECLINED = 4


class _TunnelClient(asyncio.Protocol):
    """The end of a tunnel at the instance that opened it.

    Parameters
    ----------
    links : PeerLinks
        Authenticates this instance.
    request : TunnelOpen
        The target.
    connection : Connection
        Receives the bytes of the target.
    """

    def __init__(
        self, links: PeerLinks, request: TunnelOpen, connection: Connection
    ) -> None:
        self.status = asyncio.get_running_loop().create_future()
        self._links = links
        self._request = request
        self._connection = connection
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._has_sent_request = False
        self._is_open = False
        # Bytes of the current frame that have not arrived.
        self._missing = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the peer's nonce."""
        self._transport = transport
        enable_keepalive(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Handle the handshake, then pass the bytes of the frames on."""
        if self._is_open:
            self._read_frames(data)
            return
        self._buffer += data
        if not self._has_sent_request:
            if len(self._buffer) < NONCE_BYTES:
                return
            nonce = bytes(self._buffer[:NONCE_BYTES])
            del self._buffer[:NONCE_BYTES]
            self._has_sent_request = True
            self._transport.write(self._links.handshake(nonce, self._request))
        if self._buffer:
            status, rest = self._buffer[0], bytes(self._buffer[1:])
            self._buffer.clear()
            self._handle_status(status)
            if self._is_open and rest:
                self._read_frames(rest)

    def _handle_status(self, status: int) -> None:
        if self.status.done():
            return
        if status == TunnelStatus.CONNECTED:
            self._is_open = True
            self._connection.connection_made(self._transport)
        self.status.set_result(status)

    def _read_frames(self, data: bytes) -> None:
        while data:
            if self._missing:
                piece, data = data[: self._missing], data[self._missing :]
                self._missing -= len(piece)
                self._connection.data_received(piece)
                continue
            needed = _LENGTH.size - len(self._buffer)
            self._buffer += data[:needed]
            data = data[needed:]
            if len(self._buffer) < _LENGTH.size:
                return
            (length,) = _LENGTH.unpack(self._buffer)
            self._buffer.clear()
            if length in (0, _BROKEN_LENGTH):
                self._end(None if length == 0 else ConnectionResetError())
                self._transport.abort()
                return
            self._missing = length

    def eof_received(self) -> None:
        """Let the transport close the connection."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the handshake, or the open response: the peer is lost."""
        if not self.status.done():
            self.status.set_exception(exc or ConnectionResetError())
            # Nobody waits for it after the attempt was given up.
            self.status.exception()
        elif self._is_open:
            self._connection.is_path_broken = True
            self._end(exc or ConnectionResetError())

    def _end(self, exc: Exception | None) -> None:
        self._is_open = False
        self._connection.connection_lost(exc)

    def pause_writing(self) -> None:
        """Tell the connection that the peer takes no more bytes."""
        self._connection.pause_writing()

    def resume_writing(self) -> None:
        """Tell the connection that the peer has taken all bytes."""
        self._connection.resume_writing()


async def open_tunnel(
    links: PeerLinks, peer: str, target: str, address: str
) -> Connection:
    """Return a connection to a target through the instance at a peer address.

    Raises
    ------
    TargetError
        If there is none. Its `refused` is set if the peer was refused by the target,
        its `in_path` if the failure says nothing about the target.
    """
    loop = asyncio.get_running_loop()
    connection = Connection(loop, target)
    connection.via = peer
    host, _, port = peer.rpartition(":")
    transport = None
    try:
        request = TunnelOpen(target, address)
        transport, client = await loop.create_connection(
            lambda: _TunnelClient(links, request, connection), host, int(port)
        )
        status = await client.status
    except BaseException as cause:
        if transport is not None:
            transport.abort()
        if isinstance(cause, OSError):
            raise TargetError(
                f"peer {peer}: {type(cause).__name__}",
                step="connect",
                peer=target,
                sent=False,
                in_path=True,
            ) from None
        raise
    if status == TunnelStatus.CONNECTED:
        return connection
    transport.abort()
    raise TargetError(
        f"peer {peer}: {_status_name(status)}",
        step="connect",
        peer=target,
        sent=False,
        refused=status == TunnelStatus.REFUSED,
        in_path=status not in (TunnelStatus.REFUSED, TunnelStatus.UNREACHABLE),
    )


def _status_name(status: int) -> str:
    known = status in TunnelStatus.__members__.values()
    return TunnelStatus(status).name.lower() if known else f"status {status}"


class _Tunnel(HeldConnection):
    """Copies bytes between another instance and a target, until one of them ends.

    Parameters
    ----------
    to_origin : asyncio.Transport
        Connection of the instance that opened the tunnel.
    budget : BufferBudget
        Counts the bytes that are held here.
    name : str
        The target, for the log.
    """

    def __init__(
        self, to_origin: asyncio.Transport, budget: BufferBudget, name: str
    ) -> None:
        self.closed = asyncio.get_running_loop().create_future()
        self.to_origin = to_origin
        self.to_target: asyncio.Transport | None = None
        self._account = budget.open(self)
        self._account.name = name
        # Whether the request may be repeated is not known here.
        self._account.repeatable = False

    def set_window(self, size: int) -> None:
        """Set how many bytes may wait in each direction before reading pauses."""
        for transport in (self.to_origin, self.to_target):
            if transport is not None:
                transport.set_write_buffer_limits(high=size)

    def cut_off(self, account: BufferAccount, reason: str) -> None:
        """End the tunnel at once."""
        decision("tunnel-cut-off", target=account.name, why=reason, held=account.held)
        self.abort()

    def send_to_origin(self, data: bytes) -> None:
        """Send bytes of the target in a frame."""
        self.to_origin.write(_LENGTH.pack(len(data)))
        self.to_origin.write(data)
        self._count(BufferKind.TO_CALLER, self.to_origin)

    def send_to_target(self, data: bytes) -> None:
        """Send bytes of the origin."""
        self.to_target.write(data)
        self._count(BufferKind.TO_TARGET, self.to_target)

    def _count(self, kind: BufferKind, transport: asyncio.Transport) -> None:
        self._account.set(kind, transport.get_write_buffer_size())
        self._account.record_progress()

    def set_reading(self, transport: asyncio.Transport, is_reading: bool) -> None:
        """Pause or resume reading from one side while the other takes no bytes."""
        if transport.is_closing():
            return
        if is_reading:
            transport.resume_reading()
        else:
            transport.pause_reading()
        if transport is self.to_target:
            # What the kernel may receive meanwhile.
            held = 0 if is_reading else RECEIVE_BUFFER_BYTES
            self._account.set(BufferKind.FROM_TARGET, held)
            self._count(BufferKind.TO_CALLER, self.to_origin)

    def end_target(self, exc: Exception | None) -> None:
        """Tell the origin how the connection of the target ended."""
        if not self.closed.done() and not self.to_origin.is_closing():
            self.to_origin.write(_CLOSED if exc is None else _BROKEN)
        # Closed after what is still to be written.
        self.to_origin.close()

    def end_origin(self) -> None:
        """End the connection of the target; the origin has closed its own."""
        if self.to_target is not None:
            self.to_target.abort()
        self._account.close()
        if not self.closed.done():
            self.closed.set_result(None)

    def abort(self) -> None:
        """End both connections at once."""
        self.to_origin.abort()
        self.end_origin()


class _Side(asyncio.Protocol):
    """Base of the protocols of the two sides of a tunnel."""

    def __init__(self, tunnel: _Tunnel) -> None:
        self._tunnel = tunnel

    def eof_received(self) -> None:
        """Let the transport close the connection."""


class _TargetSide(_Side):
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport.set_write_buffer_limits(high=WINDOW_BYTES)
        self._tunnel.to_target = transport

    def data_received(self, data: bytes) -> None:
        self._tunnel.send_to_origin(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self._tunnel.end_target(exc)

    def pause_writing(self) -> None:
        self._tunnel.set_reading(self._tunnel.to_origin, False)

    def resume_writing(self) -> None:
        self._tunnel.set_reading(self._tunnel.to_origin, True)


class _OriginSide(_Side):
    def data_received(self, data: bytes) -> None:
        self._tunnel.send_to_target(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self._tunnel.end_origin()

    def pause_writing(self) -> None:
        self._tunnel.set_reading(self._tunnel.to_target, False)

    def resume_writing(self) -> None:
        self._tunnel.set_reading(self._tunnel.to_target, True)


class TunnelServer:
    """Serves tunnels to other instances.

    Parameters
    ----------
    targets : dict of str to DiscoveredTarget
        All known targets by name; updated by its owner.
    paths : TargetPaths
        Records which targets this instance reaches.
    budget : BufferBudget
        Counts the bytes that are held for tunnels.
    on_change : callable of int
        Called with the number of open tunnels.
    """

    def __init__(
        self,
        targets: dict[str, DiscoveredTarget],
        paths: TargetPaths,
        budget: BufferBudget,
        on_change: Callable[[int], None],
    ) -> None:
        self._targets = targets
        self._paths = paths
        self._budget = budget
        self._on_change = on_change
        self._open: set[_Tunnel] = set()
        self._opening = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._draining = False

    def begin_drain(self) -> None:
        """Serve no new tunnels."""
        self._draining = True

    async def wait_idle(self) -> None:
        """Wait until no tunnel is open."""
        await self._idle.wait()

    async def serve(
        self, sender: str, request: TunnelOpen, transport: asyncio.Transport
    ) -> None:
        """Serve a tunnel until it ends.

        Parameters
        ----------
        sender : str
            Peer address of the instance that asks for it.
        request : TunnelOpen
            The target.
        transport : asyncio.Transport
            The authenticated connection of that instance.
        """
        self._opening += 1
        self._idle.clear()
        try:
            await self._serve(sender, request, transport)
        finally:
            self._opening -= 1
            if not self._opening:
                self._idle.set()

    async def _serve(self, sender, request: TunnelOpen, transport) -> None:
        tunnel = None
        status = TunnelStatus.DECLINED
        if self._accepts(request):
            sock = transport.get_extra_info("socket")
            enable_keepalive(sock, ORIGIN_USER_TIMEOUT_MS)
            tunnel = _Tunnel(transport, self._budget, request.target)
            try:
                status = await self._connect(tunnel, request)
            finally:
                if status is not TunnelStatus.CONNECTED:
                    tunnel.end_origin()
        transport.write(bytes([status]))
        if status is not TunnelStatus.CONNECTED:
            decision(
                "tunnel-failed",
                target=request.target,
                origin=sender,
                status=status.name.lower(),
            )
            return
        self._open.add(tunnel)
        self._on_change(len(self._open))
        try:
            await tunnel.closed
        finally:
            tunnel.abort()
            self._open.discard(tunnel)
            self._on_change(len(self._open))

    def _accepts(self, request: TunnelOpen) -> bool:
        target = self._targets.get(request.target)
        return (
            not self._draining
            and target is not None
            and target.address == request.address
            and self._opening <= MAX_TUNNELS
            and self._budget.admits(RECEIVE_BUFFER_BYTES + 2 * WINDOW_BYTES)
            and not self._paths.is_partitioned
        )

    async def _connect(self, tunnel: _Tunnel, request: TunnelOpen) -> TunnelStatus:
        """Connect to the target directly, never through a third instance."""
        loop = asyncio.get_running_loop()
        host, _, port = request.address.rpartition(":")
        started = loop.time()
        try:
            async with asyncio.timeout(PEER_CONNECT_TIMEOUT_S):
                transport, _side = await loop.create_connection(
                    lambda: _TargetSide(tunnel), host, int(port)
                )
        except (OSError, TimeoutError) as error:
            detail = type(error).__name__
            self._paths.record_failure(request.target, detail, loop.time(), started)
            if self._paths.fails_elsewhere(request.target):
                return TunnelStatus.DECLINED
            if isinstance(error, ConnectionRefusedError):
                return TunnelStatus.REFUSED
            return TunnelStatus.UNREACHABLE
        self._paths.record_success(request.target, loop.time() - started, loop.time())
        sock = transport.get_extra_info("socket")
        enable_keepalive(sock)
        set_receive_buffer(sock)
        # The origin sends nothing before the status.
        tunnel.to_origin.set_protocol(_OriginSide(tunnel))
        tunnel.to_origin.set_write_buffer_limits(high=self._budget.window)
        if tunnel.to_origin.is_closing():
            transport.abort()
            tunnel.end_origin()
        return TunnelStatus.CONNECTED
