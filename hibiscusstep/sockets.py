"""hibiscusstep.sockets: how connections end."""

import asyncio
import contextlib
import socket
import struct

__all__ = ["reset", "reset_on_close"]

_LINGER_OFF = struct.pack("ii", 0, 0)
_LINGER_NONE = struct.pack("ii", 1, 0)


def reset_on_close(transport: asyncio.Transport, enabled: bool) -> None:
    """Set whether a connection is reset when it is closed, also by a kill.

    A peer that does not know the length of what it receives takes an orderly close for
    its end.

    Parameters
    ----------
    transport : asyncio.Transport
        Transport of the connection.
    enabled : bool
        Whether to reset it; bytes that the peer has not received are dropped then.
    """
    sock = transport.get_extra_info("socket")
    linger = _LINGER_NONE if enabled else _LINGER_OFF
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def reset(transport: asyncio.Transport) -> None:
    """Reset a connection at once."""
    reset_on_close(transport, True)
    transport.abort()
