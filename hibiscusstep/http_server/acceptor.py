"""hibiscusstep.http_server.acceptor: accepts connections up to a number."""

import asyncio
import socket

from hibiscusstep.http_server.server_context import ServerContext

__all__ = ["Acceptor"]

# Connections accepted before bytes of others are read.
BATCH = 8
# Time for descriptors to become free again.
RETRY_S = 0.05


class Acceptor:
    """Accepts connections, and closes others where that makes room.

    A server of the event loop accepts all that wait, whatever the number of
    descriptors, and may stop listening for good once they are used up.

    Parameters
    ----------
    listener : socket.socket
        Listening socket, which does not block.
    make_connection : callable
        Returns the protocol of a new connection.
    context : ServerContext
        What the connections of the port share.
    """

    def __init__(
        self, listener: socket.socket, make_connection, context: ServerContext
    ) -> None:
        self._listener = listener
        self._make_connection = make_connection
        self._context = context
        self._loop = asyncio.get_running_loop()
        self._opening: set[asyncio.Task] = set()
        self._is_listening = False

    def start(self) -> None:
        """Accept connections from now on."""
        self._is_listening = True
        self._loop.add_reader(self._listener, self._accept)

    def stop(self) -> None:
        """Close the listening socket."""
        if self._is_listening:
            self._is_listening = False
            self._loop.remove_reader(self._listener)
            self._listener.close()

    def _accept(self) -> None:
        for _ in range(BATCH):
            try:
                sock, _address = self._listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError:
                self._pause()
                return
            if not self._make_room():
                sock.close()
                continue
            sock.setblocking(False)
            task = self._loop.create_task(self._open(sock))
            self._opening.add(task)
            task.add_done_callback(self._opening.discard)

    def _make_room(self) -> bool:
        """Close connections until one more is allowed; return whether it is."""
        context = self._context
        while len(context.table) + len(self._opening) >= context.max_connections:
            victim = context.table.choose_victim()
            if victim is None:
                context.count_refusal("all-at-work")
                return False
            context.count_refusal("no-room")
            victim.evict()
        return True

    def _pause(self) -> None:
        """Accept no more for a moment: there is no descriptor or no memory."""
        self._context.count_refusal("accept-failed")
        victim = self._context.table.choose_victim()
        if victim is not None:
            victim.evict()
        self._loop.remove_reader(self._listener)
        self._loop.call_later(RETRY_S, self._resume)

    def _resume(self) -> None:
        if self._is_listening:
            self._loop.add_reader(self._listener, self._accept)

    async def _open(self, sock: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._make_connection, sock)
        except OSError:
            sock.close()
