"""Callers that do not keep the limits, and a real process that meets them.

The bounds are those of the process's settings: its memory, with the bytes that the
kernel has received and nobody has read, and its descriptors.
"""

import asyncio
import os
import resource
import socket
from pathlib import Path

import aiohttp
from platform_standin import answer
from slow_peers import BOUND_S, LimitedInstance

# A process that has just started takes 54 MB.
MEMORY_MB = 80
# Descriptors of a process in the tests of few: 200 are for files.
MAX_FDS, FILE_FDS = 300, 200
CONNECTIONS = 24
# What a connection sends at most, and how long the crowd sends.
SENT_BYTES, SENDING_S = 8 << 20, 3.0
SAMPLE_INTERVAL_S = 0.05
MAX_HEADER_BYTES = 16384
HEAD = (
    b"POST /safe/ HTTP/1.1\r\nHost: h.example\r\n"
    b"Authorization: Bearer key-one\r\nX-Request-Id: u1\r\n"
)


class Crowd:
    """Connections that send, read nothing and stay open until the end.

    Parameters
    ----------
    address : str
        IP address and port.
    first, repeated : bytes
        Bytes sent once, and those sent after them again and again.
    count : int
        Number of connections.
    half_closes : bool
        Whether each closes its side once all is sent.
    """

    def __init__(
        self, address, first, repeated=b"", count=CONNECTIONS, half_closes=False
    ):
        host, _, port = address.rpartition(":")
        self._address = host, int(port)
        self._first, self._repeated = first, repeated
        self._half_closes = half_closes
        self._count = count
        self._sockets = []
        self._tasks = []

    async def __aenter__(self):
        self._tasks = [asyncio.create_task(self._send()) for _ in range(self._count)]
        await asyncio.wait(self._tasks, timeout=SENDING_S)
        return self

    async def __aexit__(self, *_exc):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for sock in self._sockets:
            sock.close()

    async def _send(self):
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        self._sockets.append(sock)
        try:
            await loop.sock_connect(sock, self._address)
            await loop.sock_sendall(sock, self._first)
            if self._half_closes:
                sock.shutdown(socket.SHUT_WR)
            for _ in range(SENT_BYTES // len(self._repeated) if self._repeated else 0):
                await loop.sock_sendall(sock, self._repeated)
                await asyncio.sleep(0)
        except OSError:
            pass

    async def closed(self):
        """Wait until the process has closed all connections."""
        loop = asyncio.get_running_loop()

        async def drain(sock):
            try:
                while await loop.sock_recv(sock, 1 << 16):
                    pass
            except OSError:
                pass

        drains = [asyncio.create_task(drain(sock)) for sock in self._sockets]
        async with asyncio.timeout(BOUND_S):
            await asyncio.gather(*drains)


class WatchedInstance(LimitedInstance):
    """A real process whose memory and descriptors are watched.

    Parameters
    ----------
    folder : Path
        Folder for settings and logs.
    max_fds : int or None
        Descriptors of the process; None leaves the default.
    **limits : int
        Limits of callers in the configuration.
    """

    def __init__(self, folder, max_fds=None, **limits):
        super().__init__(folder, MEMORY_MB, lambda n, f, b: answer(f, b"served"))
        self._max_fds = max_fds
        self.document["Limits"] |= limits
        self.highest_unread = 0

    async def __aenter__(self):
        if self._max_fds:
            self.world.limits["MaxFds"] = self._max_fds
        await super().__aenter__()
        if self._max_fds:
            files = len(self._descriptors()) - self.sockets
            limit = self._max_fds - FILE_FDS + files, self._max_fds - FILE_FDS + files
            pid = self.instance.process.pid
            resource.prlimit(pid, resource.RLIMIT_NOFILE, limit)
        self._sampler = asyncio.create_task(self._sample())
        return self

    async def __aexit__(self, *exc):
        self._sampler.cancel()
        await super().__aexit__(*exc)

    def _descriptors(self):
        folder = Path(f"/proc/{self.instance.process.pid}/fd")
        found = []
        for path in folder.iterdir():
            try:
                found.append(os.readlink(path))
            except FileNotFoundError:
                continue
        return found

    @property
    def sockets(self):
        """Sockets and pipes of the process."""
        return sum(link.startswith(("socket", "pipe")) for link in self._descriptors())

    async def _sample(self):
        """Record the most bytes that the kernel holds unread for the process."""
        packed = socket.inet_aton(self.instance.ip)[::-1].hex().upper()
        while True:
            rows = Path("/proc/net/tcp").read_text().split("\n")[1:-1]
            fields = [row.split() for row in rows]
            unread = sum(
                int(row[4].split(":")[1], 16)
                for row in fields
                if row[1].startswith(packed) and row[3] == "01"
            )
            self.highest_unread = max(self.highest_unread, unread)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def check(self):
        """Check life, memory, descriptors and one ordinary answer."""
        assert self.instance.process.poll() is None, "ended"
        resident, unread = self.highest_resident, self.highest_unread
        sockets = self.sockets
        assert await self.serves_in_time(), "an ordinary request is not served"
        assert self.instance.process.poll() is None, "ended"
        assert resident + unread <= MEMORY_MB * 10**6, (resident, unread)
        if self._max_fds:
            assert sockets <= self._max_fds - FILE_FDS, sockets

    async def serves_in_time(self):
        """Whether an ordinary request on a new connection is served."""
        try:
            async with asyncio.timeout(BOUND_S):
                return await self.serves()
        except (TimeoutError, OSError, aiohttp.ClientError):
            return False

    async def request(self, *parts, pause=0.0):
        """Send a request in parts on a connection of its own; return its status."""
        host, _, port = self.instance.caller_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            for part in parts:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(pause)
            async with asyncio.timeout(BOUND_S):
                line = await reader.readline()
            return int(line.split()[1]) if line else 0
        finally:
            writer.close()


def head_of(size, field=None, framing=b"Content-Length: 0\r\n"):
    """Return a head of exactly so many bytes, in one field or repeated short ones."""
    head = HEAD + framing
    if field:
        while len(head) + 2 * len(field) + 10 < size:
            head += field
    rest = size - len(head) - len(b"X-Fill: \r\n\r\n")
    return head + b"X-Fill: " + b"f" * rest + b"\r\n\r\n"


def framed(body, size):
    """Return a body in chunks of so many bytes."""
    pieces = (body[n : n + size] for n in range(0, len(body), size))
    return b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in pieces) + b"0\r\n\r\n"


ORDINARY = HEAD + b"Content-Length: 0\r\n\r\n"
