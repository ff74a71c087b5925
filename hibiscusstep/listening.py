"""hibiscusstep.listening: creates listening sockets."""

import socket

__all__ = ["BACKLOG", "listen"]

# Maximum number of connections waiting to be accepted.
BACKLOG = 1024


def listen(address: str) -> socket.socket:
    """Return a listening socket, whose connections may be accepted later.

    Most of the start-up time is the import of libraries, 0.3 to 0.5 s. Callers that
    connect meanwhile wait until start-up ends; a refused connection would use up one of
    their few attempts.

    Parameters
    ----------
    address : str
        IP number and port.
    """
    host, _, port = address.rpartition(":")
    listener = socket.create_server((host, int(port)), backlog=BACKLOG)
    listener.setblocking(False)
    return listener
