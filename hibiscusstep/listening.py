"""hibiscusstep.listening: a socket that callers can connect to."""

import socket

__all__ = ["BACKLOG", "listen"]

# Connections waiting to be accepted.
BACKLOG = 1024


def listen(address: str) -> socket.socket:
    """Return a socket that listens, before anything accepts its connections.

    Most of a start is the import of libraries, 0.3 to 0.5 s. Callers that connect
    meanwhile wait for the rest of it; refused, they would have spent one of their few
    attempts.

    Parameters
    ----------
    address : str
        IP number and port.
    """
    host, _, port = address.rpartition(":")
    listener = socket.create_server((host, int(port)), backlog=BACKLOG)
    listener.setblocking(False)
    return listener
