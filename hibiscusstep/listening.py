"""hibiscusstep.listening: creates listening sockets."""

import socket

__all__ = ["BACKLOG", "listen"]

# Maximum number of connections waiting to be accepted.
BACKLOG = 1024
# What the kernel may hold of a connection that is not read, about, in bytes. It counts
# toward the memory of the process.
RECEIVE_BUFFER_BYTES = 1 << 15


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
    # Accepted sockets inherit it.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listener.setblocking(False)
    return listener
