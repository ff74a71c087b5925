"""Loopback proxy that delays, resets, cuts and silences connections."""

import asyncio
import contextlib
import enum
import socket
import struct

PIECE_BYTES = 1 << 16
_LINGER = struct.pack("ii", 1, 0)


class Mode(enum.Enum):
    """Treatment of the bytes between the two sides."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    CUT_UP = "cut-up"
    CUT_DOWN = "cut-down"
    REFUSE = "refuse"


_BLOCKING_MODES = {
    "up": {Mode.SILENT, Mode.CUT_UP},
    "down": {Mode.SILENT, Mode.CUT_DOWN},
}


class Proxy:
    """Proxy that forwards connections from one loopback address to another.

    Parameters
    ----------
    host : str
        Address to listen on.
    port : int
        Port to listen on.
    forward : callable
        Returns host and port of the other side; called for each connection.
    """

    def __init__(self, host, port, forward):
        self.address = f"{host}:{port}"
        self._listen = host, port
        self._forward = forward
        self._mode = Mode.PASS
        # Modes of connections by the address that they come from.
        self._modes = {}
        self._delay = 0.0
        self._changed = asyncio.Event()
        # Open connections, and the address of the side that made each.
        self._writers = {}
        self._silenced = set()
        self._tasks = set()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._accept, *self._listen)

    async def stop(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set(self, mode, delay=0.0, source=None):
        """Change the treatment of all bytes, including those in transit.

        With a source, only that of connections from this address.
        """
        self._delay = delay
        if source is None:
            self._mode, self._modes = mode, {}
        else:
            self._modes[source] = mode
        self._changed.set()
        self._changed = asyncio.Event()

    def reset(self, source=None):
        """Reset all connections, or those from one address."""
        for writer, made_by in list(self._writers.items()):
            if source in (None, made_by):
                _abort(writer)

    def silence_open_connections(self):
        """Silence the open connections permanently; new ones work."""
        self._silenced |= self._writers.keys()

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            source = writer.get_extra_info("peername")[0]
            if self._mode_of(source) is not Mode.REFUSE:
                await self._forward_connection(reader, writer, source)
        except (OSError, asyncio.CancelledError):
            # Nothing listens on the other side, or the soak is over.
            pass
        finally:
            _abort(writer)
            self._tasks.discard(task)

    def _mode_of(self, source):
        return self._modes.get(source, self._mode)

    async def _forward_connection(self, reader, writer, source):
        remote_reader, remote_writer = await asyncio.open_connection(*self._forward())
        self._writers |= {writer: source, remote_writer: source}
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._copy(reader, remote_writer, "up", source))
                group.create_task(self._copy(remote_reader, writer, "down", source))
        except* (OSError, EOFError):
            pass
        finally:
            del self._writers[writer], self._writers[remote_writer]
            self._silenced -= {writer, remote_writer}
            _abort(remote_writer)

    async def _copy(self, reader, writer, direction, source):
        while data := await reader.read(PIECE_BYTES):
            if self._mode_of(source) is Mode.DELAY:
                await asyncio.sleep(self._delay)
            while self._mode_of(source) in _BLOCKING_MODES[direction]:
                await self._changed.wait()
            if writer not in self._silenced:
                writer.write(data)
                await writer.drain()
        if writer.can_write_eof() and writer not in self._silenced:
            with contextlib.suppress(OSError):
                writer.write_eof()


def _abort(writer):
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER)
    writer.transport.abort()
