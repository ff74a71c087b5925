"""Callers that do not read, and a real instance process with a memory limit."""

import asyncio
import contextlib
import os
import random
import socket
from pathlib import Path

import aiohttp
from platform_standin import TargetStandIn, chunk, configuration, stream_head
from soak_environment import POOL, SoakEnvironment
from soak_ledger import Ledger

KEY = b"Bearer key-one"
BOUND_S = 30
# Small kernel buffers, so that a few bytes suffice to fill a connection.
KERNEL_BUFFER_BYTES = 1 << 14
SLOW_PARTS = 20


class StalledCaller:
    """Caller on a connection of its own that reads only when it is told to.

    Parameters
    ----------
    address : str
        IP address and port of the instance.
    """

    def __init__(self, address):
        self._host, _, self._port = address.rpartition(":")

    async def send(
        self,
        path,
        body=b"",
        *,
        chunked=False,
        name="stalled",
        deadline_ms=None,
        version="1.1",
    ):
        """Connect and send a request; a chunked body is left without its end."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER_BYTES)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (self._host, int(self._port)))
        self.reader, self.writer = await asyncio.open_connection(sock=sock)
        self.writer.transport.pause_reading()
        lines = [
            f"POST {path} HTTP/{version}".encode(),
            b"Host: h.example",
            b"Authorization: " + KEY,
            b"X-Request-Id: " + name.encode(),
        ]
        if deadline_ms:
            lines.append(b"X-Request-Deadline-Ms: %d" % deadline_ms)
        framing = (
            b"Transfer-Encoding: chunked"
            if chunked
            else b"Content-Length: %d" % len(body)
        )
        head = b"\r\n".join([*lines, framing, b"", b""])
        self.writer.write(head + (chunk(body) if chunked and body else body))
        await self.writer.drain()

    async def read_all(self, end=None):
        """Read to the end, or until the bytes end so.

        Returns the bytes and whether the connection was reset.
        """
        self.writer.transport.resume_reading()
        data = bytearray()
        try:
            async with asyncio.timeout(BOUND_S):
                while part := await self.reader.read(1 << 16):
                    data += part
                    if end and data.endswith(end):
                        break
        except ConnectionError:
            return bytes(data), True
        return bytes(data), False

    async def read_slowly(self, count, seconds):
        """Read a head and a body of `count` bytes evenly over a time; return both."""
        self.writer.transport.resume_reading()
        data = bytearray(await self.reader.readuntil(b"\r\n\r\n"))
        async with asyncio.timeout(BOUND_S):
            for _ in range(SLOW_PARTS):
                data += await self.reader.readexactly(count // SLOW_PARTS)
                await asyncio.sleep(seconds / SLOW_PARTS)
            return bytes(data + await self.reader.readexactly(count % SLOW_PARTS))

    def reset(self):
        """Reset the connection."""
        self.writer.transport.abort()


def endless_events(size, count):
    """Return a target's script: `count` events of about `size` bytes and the end."""

    def script(number, fields, body):
        yield stream_head(fields)
        for n in range(count):
            yield chunk(b"id: %d\ndata: %s\n\n" % (n, b"x" * size))
        yield chunk(b"")

    return script


class LimitedInstance:
    """A process of an instance with a memory limit, and targets in this process."""

    def __init__(self, folder, memory_mb, script, slots=2000):
        self.world = SoakEnvironment(folder, random.Random(1), Ledger(), 1, targets=0)
        self.world.limits = {"MemoryMb": memory_mb}
        self._slots = slots
        self.target = TargetStandIn("t1", script)
        self.document = configuration(9)
        for route in self.document["Routes"]:
            route["TimeoutMs"] = 60_000
        self.document["Limits"]["MaxBodyBytes"] = 4 << 20

    async def __aenter__(self):
        world = self.world
        await world.start()
        world.store.put("config", "main", self.document)
        await self.target.start()
        world.store.put("servers", "t1", self.target.entry(POOL, slots=self._slots))
        async with aiohttp.ClientSession() as session:
            assert not await world.all_ready(session)
            url = f"http://{self.instance.caller_address}/safe/"
            async with asyncio.timeout(BOUND_S):
                while True:
                    async with session.post(url, headers=HEADERS) as response:
                        if response.status != 404:
                            break
                    await asyncio.sleep(0.05)
        return self

    async def __aexit__(self, *_exc):
        await self.target.stop()
        self.target.reset()
        await self.world.stop()

    @property
    def instance(self):
        """The process."""
        return self.world.instances[0]

    @property
    def resident(self):
        """Resident bytes of the process."""
        pages = Path(f"/proc/{self.instance.process.pid}/statm").read_text().split()[1]
        return int(pages) * os.sysconf("SC_PAGE_SIZE")

    @property
    def highest_resident(self):
        """The highest resident size of the process so far, in bytes."""
        return highest_resident(self.instance.process.pid)

    async def serves(self):
        """Whether a new request is served."""
        async with aiohttp.ClientSession() as session:
            url = f"http://{self.instance.caller_address}/safe/"
            async with session.post(url, headers=HEADERS) as response:
                return response.status == 200 and bool(await response.read())

    @property
    def log(self):
        """The log of the process."""
        return (self.world.folder / "n0.log").read_text()


def highest_resident(pid):
    """Return the highest resident size of a process so far, in bytes."""
    status = Path(f"/proc/{pid}/status").read_text()
    (line,) = [line for line in status.split("\n") if line.startswith("VmHWM")]
    return int(line.split()[1]) * 1024


HEADERS = {"Host": "h.example", "Authorization": "Bearer key-one", "X-Request-Id": "w"}


async def until_steady(read, times=10, pause=0.1):
    """Wait until a reading has not changed for some time; return the highest."""
    highest = last = read()
    unchanged = 0
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(BOUND_S):
            while unchanged < times:
                await asyncio.sleep(pause)
                value = read()
                unchanged = unchanged + 1 if value == last else 0
                last, highest = value, max(highest, value)
    return highest
