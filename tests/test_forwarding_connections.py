"""Tests of hibiscusstep.forwarding.connections against raw TCP targets."""

import asyncio
import socket

import aiohttp
import pytest
import uvloop
from aiohttp import web
from platform_standin import TargetStandIn, answer

from hibiscusstep.clock import elapsed
from hibiscusstep.errors import TargetError
from hibiscusstep.forwarding import connections as module
from hibiscusstep.forwarding.buffer_budget import (
    BufferBounds,
    BufferBudget,
    BufferKind,
    HeldConnection,
)
from hibiscusstep.forwarding.connections import ConnectionPool
from hibiscusstep.listening import listen

BOUND_S = 10


async def _exchange(pool, target, request="r1"):
    connection = await pool.acquire(target.name, target.address)
    connection.begin()
    connection.write(f"GET / HTTP/1.1\r\nX-Request-Id: {request}\r\n\r\n".encode())
    async with asyncio.timeout(BOUND_S):
        response = await connection.next_response()
        body = b""
        while not response.body.at_eof():
            body += await response.body.readany()
    return connection, response, body


@pytest.fixture
async def target():
    standin = TargetStandIn("t")
    await standin.start()
    yield standin
    await standin.stop()


class TestReuse:
    async def test_a_complete_response_leaves_the_connection_reusable(self, target):
        pool = ConnectionPool()
        for number in range(3):
            connection, _response, body = await _exchange(pool, target, f"r{number}")
            assert body == b"whole"
            pool.release("t", connection, 5.0)
        assert target.connections == 1
        pool.close()

    async def test_an_idle_connection_expires_while_the_machine_is_suspended(
        self, target, monkeypatch
    ):
        """The loop's clock stops during a suspension; the target closes meanwhile."""
        pool = ConnectionPool()
        connection, _response, _body = await _exchange(pool, target)
        pool.release("t", connection, 5.0)
        resumed_at = elapsed() + 6.0
        monkeypatch.setattr(module, "elapsed", lambda: resumed_at)
        next_connection = await pool.acquire("t", target.address)
        assert next_connection is not connection
        pool.close()
        next_connection.abort()

    async def test_bytes_after_a_response_close_the_connection(self, target):
        target.script = lambda n, fields, body: answer(fields) + b"HTTP/1.1 200 OK\r\n"
        pool = ConnectionPool()
        connection, _response, _body = await _exchange(pool, target)
        await asyncio.sleep(0.05)
        pool.release("t", connection, 5.0)
        next_connection = await pool.acquire("t", target.address)
        assert next_connection is not connection
        pool.close()
        next_connection.abort()

    async def test_bytes_received_while_idle_close_the_connection(self, target):
        def script(number, fields, body):
            return [answer(fields), 0.05, answer(fields), "hang"]

        target.script = script
        pool = ConnectionPool()
        connection, _response, _body = await _exchange(pool, target)
        pool.release("t", connection, 5.0)
        async with asyncio.timeout(BOUND_S):
            while connection.usable:
                await asyncio.sleep(0.01)
        pool.close()

    async def test_the_default_idle_time_applies_if_none_is_declared(self, target):
        pool = ConnectionPool()
        connection, _response, _body = await _exchange(pool, target)
        pool.release("t", connection, 0.0)
        connection.idle_until = 0.0
        pool.close_expired()
        assert not connection.usable
        pool.close()


def _receive_buffer(connection):
    sock = connection.transport.get_extra_info("socket")
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)


async def _wait_until_small(connection, size):
    """Pause reading until the receive buffer is smaller."""
    async with asyncio.timeout(BOUND_S):
        with connection.reading_paused():
            while _receive_buffer(connection) >= size:
                await asyncio.sleep(0.01)


class TestReceiveBuffer:
    @pytest.fixture(autouse=True)
    def _smaller_than_the_default(self, monkeypatch):
        """The kernel starts with 128 KiB, the bound with its overhead."""
        monkeypatch.setattr(module, "RECEIVE_BUFFER_BYTES", 1 << 13)

    async def test_a_short_wait_leaves_it_large(self, target):
        """A wait of 1 ms limited an ordinary stream to 128 KiB for each round trip."""
        pool = ConnectionPool()
        connection, _response, _body = await _exchange(pool, target)
        size = _receive_buffer(connection)
        with connection.reading_paused():
            await asyncio.sleep(0)
        assert _receive_buffer(connection) == size
        connection.abort()

    async def test_a_long_wait_makes_it_small(self, target):
        """The kernel would take several MB from a target that is not read."""
        pool = ConnectionPool()
        connection, _response, _body = await _exchange(pool, target)
        await _wait_until_small(connection, _receive_buffer(connection))
        assert _receive_buffer(connection) <= 2 * module.RECEIVE_BUFFER_BYTES
        connection.abort()

    async def test_a_connection_with_a_small_one_is_not_reused(self, target):
        """The next request would be limited to 128 KiB for each round trip."""
        pool = ConnectionPool()
        connection, _response, _body = await _exchange(pool, target)
        await _wait_until_small(connection, _receive_buffer(connection))
        pool.release("t", connection, 5.0)
        next_connection = await pool.acquire("t", target.address)
        assert next_connection is not connection
        next_connection.abort()


class _CallerStandIn(HeldConnection):
    def set_window(self, size):
        pass

    def cut_off(self, account, reason):
        raise AssertionError(reason)


async def _unsent(body):
    """Send a body that is counted to a target that does not read.

    Returns the bytes in the transport, and those counted for it.
    """
    server = await asyncio.start_server(
        lambda _reader, writer: writer.transport.pause_reading(), "127.0.0.1", 0
    )
    host, port = server.sockets[0].getsockname()
    connection = await ConnectionPool().acquire("t", f"{host}:{port}")
    account = BufferBudget(BufferBounds(), elapsed).open(_CallerStandIn())
    account.add(BufferKind.REQUEST, len(body))
    connection.begin(account)
    connection.write(b"POST / HTTP/1.1\r\n\r\n")
    connection.write(body, is_counted=True)
    result = connection.buffered, account[BufferKind.TO_TARGET]
    connection.abort()
    server.close()
    return result


async def _counted_once_taken(body):
    """Return what is counted of a request once its target has taken it."""
    taken = asyncio.Event()

    async def serve(reader, writer):
        await reader.readexactly(len(body))
        taken.set()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    connection = await ConnectionPool().acquire("t", f"{host}:{port}")
    account = BufferBudget(BufferBounds(), elapsed).open(_CallerStandIn())
    connection.begin(account)
    connection.write(body)
    async with asyncio.timeout(BOUND_S):
        await taken.wait()
        while connection.buffered:
            await asyncio.sleep(0.01)
    counted = account[BufferKind.TO_TARGET]
    connection.abort()
    server.close()
    return counted


class TestCounting:
    """A body was counted twice although uvloop's transport holds no copy of it."""

    BODY = bytes(32 << 20)

    def test_a_body_without_a_copy_is_counted_once(self):
        buffered, counted = uvloop.run(_unsent(self.BODY))
        assert buffered > 1 << 20
        assert counted == 0

    def test_what_the_target_has_taken_is_not_counted(self):
        """With uvloop, too, it stayed counted until the response."""
        assert uvloop.run(_counted_once_taken(self.BODY)) == 0

    def test_a_copy_is_counted(self):
        buffered, counted = asyncio.run(_unsent(self.BODY))
        assert counted == buffered > 1 << 20


class TestConnectionEnd:
    async def test_an_unframed_response_ends_with_a_clean_close(self, target):
        target.script = lambda n, f, b: [answer(f, b"all of it", framed=False), "close"]
        pool = ConnectionPool()
        _connection, _response, body = await _exchange(pool, target)
        assert body == b"all of it"
        pool.close()

    async def test_an_unframed_response_that_is_reset_is_incomplete(self, target):
        target.script = lambda n, fields, b: [
            answer(fields, b"part", framed=False),
            0.05,
            "reset",
        ]
        pool = ConnectionPool()
        with pytest.raises(TargetError):
            await _exchange(pool, target)
        pool.close()

    async def test_a_truncated_framed_response_is_incomplete(self, target):
        target.script = lambda n, fields, b: [answer(fields, b"whole")[:-2], "close"]
        pool = ConnectionPool()
        with pytest.raises(TargetError):
            await _exchange(pool, target)
        pool.close()

    async def test_malformed_http(self, target):
        target.script = lambda n, fields, b: [b"\x00\x01 nonsense\r\n\r\n", "hang"]
        pool = ConnectionPool()
        with pytest.raises(TargetError):
            await _exchange(pool, target)
        pool.close()

    async def test_a_refused_connection(self, target):
        await target.stop()
        with pytest.raises(TargetError) as caught:
            await ConnectionPool().acquire("t", target.address)
        assert not caught.value.sent


class TestKeepalive:
    async def test_idle_connections_are_probed(self):
        """Only TCP keepalive can detect that a silent connection is dead."""
        server = await asyncio.start_server(lambda _r, _w: None, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        pool = ConnectionPool()
        connection = await pool.acquire("t", f"{host}:{port}")
        sock = connection.transport.get_extra_info("socket")
        option = sock.getsockopt
        assert option(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
        assert option(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE) <= 2
        assert option(socket.IPPROTO_TCP, socket.TCP_KEEPCNT) <= 3
        assert 0 < option(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) <= 4000
        connection.abort()
        server.close()


class TestUserTimeout:
    """Guards against a user time-out that ends connections before the probes do.

    As soon as it is set it also decides when keepalive probes give up.
    """

    async def test_time_outs_of_a_connection_agree(self):
        target = TargetStandIn("t")
        await target.start()
        connection = await ConnectionPool().acquire("t", target.address)
        sock = connection.transport.get_extra_info("socket")
        seconds = {
            option: sock.getsockopt(socket.IPPROTO_TCP, option)
            for option in (
                socket.TCP_KEEPIDLE,
                socket.TCP_KEEPINTVL,
                socket.TCP_KEEPCNT,
                socket.TCP_USER_TIMEOUT,
            )
        }
        idle, interval, count, user_timeout_ms = seconds.values()
        assert user_timeout_ms == 1000 * (idle + interval * count)
        connection.abort()
        await target.stop()

    async def test_the_http_library_sets_none(self, monkeypatch):
        """Its connections would end by it where probes are not expected to give up."""
        opened = []

        async def handle(request):
            opened.append(request.transport.get_extra_info("socket"))
            return web.Response()

        app = web.Application()
        app.router.add_get("/", handle)
        runner = web.AppRunner(app)
        await runner.setup()
        listener = listen("127.0.0.1:0")
        await web.SockSite(runner, listener).start()
        connector = aiohttp.TCPConnector()
        create = asyncio.get_running_loop().create_connection

        async def create_connection(*args, **options):
            transport, protocol = await create(*args, **options)
            opened.append(transport.get_extra_info("socket"))
            return transport, protocol

        loop = asyncio.get_running_loop()
        monkeypatch.setattr(loop, "create_connection", create_connection)
        port = listener.getsockname()[1]
        async with aiohttp.ClientSession(connector=connector) as session:
            await session.get(f"http://127.0.0.1:{port}/")
            timeouts = [
                sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
                for sock in opened
            ]
        await runner.cleanup()
        assert timeouts == [0, 0]


class TestProbe:
    """Guards against a crash that was taken for a reset.

    The process that ended accepted a connection after it had closed the others.
    """

    async def _probe(self, ends):
        pool, accepted = ConnectionPool(), []

        async def accept(_reader, writer):
            accepted.append(writer)
            if ends:
                server.close()
            writer.transport.abort()

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        async with asyncio.timeout(BOUND_S):
            refused = await pool.probe_refused("t", f"{host}:{port}")
        pool.close()
        server.close()
        return refused, len(accepted)

    async def test_a_process_that_ends_has_crashed(self):
        assert await self._probe(ends=True) == (True, 1)

    async def test_one_that_closes_connections_has_not(self):
        refused, accepted = await self._probe(ends=False)
        assert not refused
        assert accepted > 1

    async def test_an_open_connection_is_kept(self, target):
        pool = ConnectionPool()
        assert not await pool.probe_refused("t", target.address)
        connection = await pool.acquire("t", target.address)
        assert connection.usable
        assert pool.opened == 1
        pool.close()
