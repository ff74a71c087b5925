"""Guards against a prefix of an answer that is taken for the whole.

Each number of bytes after which a target, a store or a peer can stop is tried at the
client that reads the answer.
"""

import asyncio
import contextlib
import struct

import pytest
from platform_standin import TargetStandIn, answer, chunk, stream_head
from test_cut_heads import INTERIM, with_chunks, with_length
from test_forwarding import BOUND_S

from hibiscusstep.errors import PeerError, PlatformUnavailable, TargetError
from hibiscusstep.forwarding.buffer_budget import NARROW_WINDOW_BYTES, WINDOW_BYTES
from hibiscusstep.forwarding.connections import ConnectionPool
from hibiscusstep.forwarding.tunnel import TunnelStatus, open_tunnel
from hibiscusstep.operator_client import OperatorClient
from hibiscusstep.peerlink import NONCE_BYTES, PeerLinks
from hibiscusstep.platform.client import ObjectClient, ObjectFeed
from hibiscusstep.sockets import reset
from hibiscusstep.stores.http import HttpPlatform
from hibiscusstep.target import TargetRequest
from hibiscusstep.targets.http import TargetSessions
from hibiscusstep.targets.service import ServiceClient

KEY = "a-key-for-tests-only"
JSON = "Content-Type: application/json"
ENDS = ["close", "reset"]
FIELDS = {"x-request-id": "whole"}
WHOLE = {
    "length": with_length(FIELDS),
    "chunks": with_chunks(FIELDS),
    "HTTP/1.0": with_length(FIELDS).replace(b"HTTP/1.1", b"HTTP/1.0"),
    "after 100": INTERIM["100"] + with_length(FIELDS),
    "after 103": INTERIM["103"] + with_chunks(FIELDS),
}
LINKS = PeerLinks("127.0.0.1:1", KEY, lambda _message: None)
by_framing = pytest.mark.parametrize("framed", [True, False])


@pytest.fixture
async def make_server():
    servers = []

    async def make(script):
        server = TargetStandIn("t", script)
        await server.start()
        servers.append(server)
        return server

    yield make
    for server in servers:
        await server.stop()


async def read_body(connection, pool=None):
    """Return the body of the next response on a connection; keep it in a pool."""
    response = await connection.next_response()
    body = b""
    while not response.body.at_eof():
        body += await connection.read(response)
    if pool:
        pool.release(connection.peer, connection, 5.0)
    return body


async def read_prefixes(make_server, whole, read):
    """Return what is read of each prefix, given the address of its server."""
    prefix = b""
    server = await make_server(lambda *_request: [prefix, "close"])
    results = []
    for size in range(len(whole)):
        prefix = whole[:size]
        results.append(await read(server.address))
    return results


class TestConnections:
    """Guards against targets whose cut answer reaches a caller as whole."""

    @pytest.mark.parametrize("is_used", [False, True])
    @pytest.mark.parametrize("end", ENDS)
    @pytest.mark.parametrize("shape", WHOLE)
    async def test_no_prefix_is_an_answer(self, make_server, shape, end, is_used):
        whole = WHOLE[shape]

        def script(_number, fields, _body):
            request = fields["x-request-id"]
            return whole if request == "whole" else [whole[: int(request)], end]

        async def read(request):
            connection = await pool.acquire(target.name, target.address)
            connection.begin()
            line = f"GET / HTTP/1.1\r\nX-Request-Id: {request}\r\n\r\n"
            connection.write(line.encode())
            return await read_body(connection, pool)

        target, pool = await make_server(script), ConnectionPool()
        complete = []
        async with asyncio.timeout(BOUND_S):
            for size in range(len(whole)):
                if is_used:
                    await read("whole")
                with contextlib.suppress(TargetError):
                    complete.append((size, await read(size)))
        pool.close()
        assert complete == []
        assert target.connections == len(whole)


def frames(data, size):
    """Return data in frames of a tunnel."""
    pieces = (data[start : start + size] for start in range(0, len(data), size))
    return b"".join(struct.pack(">I", len(piece)) + piece for piece in pieces)


REQUEST = b"GET / HTTP/1.1\r\n\r\n"
CLOSED = struct.pack(">I", 0)


class TestRelays:
    """Guards against relays whose loss, or whose end mark, changes an answer."""

    HANDSHAKE = bytes(NONCE_BYTES) + bytes([TunnelStatus.CONNECTED])

    @contextlib.asynccontextmanager
    async def _serve(self, whole, end, first_size=0):
        """Serve one prefix after the other, until all is sent."""
        sizes = iter(range(first_size, len(whole) + 1))

        async def serve(reader, writer):
            prefix = whole[: next(sizes)]
            writer.write(prefix[:NONCE_BYTES])
            if len(prefix) > NONCE_BYTES:
                await reader.read(1)
                writer.write(prefix[NONCE_BYTES : len(self.HANDSHAKE)])
            if len(prefix) > len(self.HANDSHAKE):
                await reader.readuntil(REQUEST)
                writer.write(prefix[len(self.HANDSHAKE) :])
            await writer.drain()
            if end == "reset":
                reset(writer.transport)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1")
        async with asyncio.timeout(BOUND_S):
            yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        server.close()

    async def _read(self, relay, window=WINDOW_BYTES):
        connection = await open_tunnel(LINKS, relay, "t", "127.0.0.1:2")
        connection.begin(window=window)
        connection.write(REQUEST)
        try:
            return await read_body(connection)
        finally:
            connection.abort()

    @pytest.mark.parametrize("end", ENDS)
    async def test_no_prefix_is_an_answer(self, end):
        head = answer({}, b"a body", framed=False)
        whole = self.HANDSHAKE + frames(head, 50) + CLOSED
        async with self._serve(whole, end) as relay:
            for _size in range(len(whole)):
                with pytest.raises(TargetError):
                    await self._read(relay)
            if end == "close":
                assert await self._read(relay) == b"a body"

    @pytest.mark.parametrize("shape", ["length", "chunks", "connection"])
    async def test_a_long_answer_is_whole_though_its_end_is_there(self, shape):
        """Guards against an end that overtakes bytes which wait to be parsed."""
        body = bytes(1500)
        sent = answer({}, 20 * body, framed=shape == "length")
        if shape == "chunks":
            sent = stream_head(FIELDS) + 20 * chunk(body) + chunk(b"")
        whole = self.HANDSHAKE + frames(sent, 1000) + CLOSED
        async with self._serve(whole, "close", len(whole)) as relay:
            found = await self._read(relay, NARROW_WINDOW_BYTES)
        assert found == 20 * body


class TestStore:
    """Guards against cut answers that read as no object, as a conflict, as changes."""

    PAGE = b'{"Items": [], "HasMore": false, "At": 7, "events": [], "Spec": {"a": 1}}'
    CALLS = {
        "list": lambda client: client.list_all("servers"),
        "watch": lambda client: ObjectFeed(client, "servers", dict).watch(0, 1.0),
        "one": lambda client: client.read_one("config", "main"),
        "write": lambda client: client.write("config", "main", {}, ("PUT", "POST")),
    }

    @pytest.mark.parametrize("status", [200, 404, 409, 410])
    @pytest.mark.parametrize("call", CALLS.values(), ids=CALLS)
    async def test_no_prefix_is_an_answer(self, make_server, call, status):
        async def read(address):
            client = ObjectClient(address)
            result = await call(client)
            await client.close()
            return type(result.err())

        whole = answer({}, self.PAGE, status=status, extra="Store-Era: 0")
        found = await read_prefixes(make_server, whole, read)
        assert set(found) == {PlatformUnavailable}


class TestGenericStore:
    """Guards against the same of the generic store, and errors that are raised."""

    CALLS = {
        "get": lambda platform: platform.get("key"),
        "put": lambda platform: platform.put("key", b"", 3),
        "delete": lambda platform: platform.delete("key"),
        "instances": lambda platform: platform.instances(),
    }

    async def _read(self, make_server, call, whole):
        async def read(address):
            platform = HttpPlatform(f"http://{address}")
            result = await call(platform)
            await platform.close()
            return type(result.err())

        return set(await read_prefixes(make_server, whole, read))

    @pytest.mark.parametrize("status", [200, 404, 412])
    @pytest.mark.parametrize("call", CALLS.values(), ids=CALLS)
    async def test_no_prefix_is_an_answer(self, make_server, call, status):
        whole = answer({}, b'[{"a": 1}]', status=status, extra='ETag: "3"')
        assert await self._read(make_server, call, whole) == {PlatformUnavailable}

    async def test_no_prefix_is_a_list_of_instances(self, make_server):
        """Guards against an error that ends the task which reads the list."""
        whole = answer({}, b'[{"a": 1}]', framed=False)
        call = self.CALLS["instances"]
        assert await self._read(make_server, call, whole) == {PlatformUnavailable}


class TestGenericTargets:
    """Guards against cut answers and load reports of targets that are used."""

    async def _read_report(self, address):
        sessions = TargetSessions()
        report = await ServiceClient("t", address, sessions).report()
        await sessions.close()
        return report.reachable

    @by_framing
    async def test_no_prefix_is_a_load_report(self, make_server, framed):
        """Guards against an error that ends the task which reads the reports."""
        whole = answer({}, b'{"running": 3}', framed=framed, extra=JSON)
        assert not any(await read_prefixes(make_server, whole, self._read_report))

    @pytest.mark.parametrize("load", ["null", "[]", "1", '{"running": null}', "{"])
    async def test_a_malformed_load_is_no_report(self, make_server, load):
        target = await make_server(lambda *_r: answer({}, load.encode(), extra=JSON))
        assert not await self._read_report(target.address)

    @pytest.mark.parametrize("idempotent", [True, False])
    @pytest.mark.parametrize("shape", WHOLE)
    async def test_no_prefix_is_an_answer(self, make_server, shape, idempotent):
        request = TargetRequest(
            "r", "r.1", "POST", "/", b"", "text/plain", "", False, idempotent, 5.0
        )

        async def read(address):
            sessions, found = TargetSessions(), []
            sent = await ServiceClient("t", address, sessions).send(request)
            with contextlib.suppress(TargetError):
                if sent.is_ok():
                    found = [[part async for part in sent.unwrap().chunks()]]
            await sessions.close()
            return found

        assert not any(await read_prefixes(make_server, WHOLE[shape], read))


class TestOperatorClient:
    """Guards against a cut status that ends the operator's command with a trace."""

    @by_framing
    async def test_no_prefix_is_a_status(self, make_server, framed):
        async def read(address):
            client, found = OperatorClient(address, KEY), []
            with contextlib.suppress(PeerError):
                found = [await client.status()]
            await client.close()
            return found

        whole = answer({}, b'{"members": []}', framed=framed, extra=JSON)
        assert not any(await read_prefixes(make_server, whole, read))
