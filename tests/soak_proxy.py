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
        self._delay = 0.0
        self._changed = asyncio.Event()
        self._writers = set()
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

    def set(self, mode, delay=0.0):
        """Change the treatment of all bytes, including those in transit."""
        self._mode, self._delay = mode, delay
        self._changed.set()
        self._changed = asyncio.Event()

    def reset(self):
        """Reset all connections."""
        for writer in list(self._writers):
            _abort(writer)

    def silence_open_connections(self):
        """Silence the open connections permanently; new ones work."""
        self._silenced |= self._writers

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            if self._mode is not Mode.REFUSE:
                await self._forward_connection(reader, writer)
        except (OSError, asyncio.CancelledError):
            # Nothing listens on the other side, or the soak is over.
            pass
        finally:
            _abort(writer)
            self._tasks.discard(task)

    async def _forward_connection(self, reader, writer):
        remote_reader, remote_writer = await asyncio.open_connection(*self._forward())
        self._writers |= {writer, remote_writer}
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._copy(reader, remote_writer, "up"))
                group.create_task(self._copy(remote_reader, writer, "down"))
        except* (OSError, EOFError):
            pass
        finally:
            self._writers -= {writer, remote_writer}
            self._silenced -= {writer, remote_writer}
            _abort(remote_writer)

    async def _copy(self, reader, writer, direction):
        while data := await reader.read(PIECE_BYTES):
            if self._mode is Mode.DELAY:
                await asyncio.sleep(self._delay)
            while self._mode in _BLOCKING_MODES[direction]:
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
