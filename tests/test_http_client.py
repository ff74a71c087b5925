"""Guards against bodies that were cut by a reset and are taken for complete.

A body without a length or chunks ends with its connection, however that ends.
"""

import aiohttp
import pytest
from platform_standin import TargetStandIn

from hibiscusstep.errors import PlatformUnavailable, TargetError
from hibiscusstep.http_client import make_connector
from hibiscusstep.platform.client import ObjectClient
from hibiscusstep.stores.http import HttpPlatform
from hibiscusstep.target import TargetRequest
from hibiscusstep.targets.http import TargetSessions
from hibiscusstep.targets.service import ServiceClient

HEAD = b'HTTP/1.1 200 OK\r\nETag: "3"\r\nConnection: close\r\n\r\n'
BODY = b'{"Spec": {"piece": 1}}'


@pytest.fixture
async def make_server():
    servers = []

    async def make(*parts):
        server = TargetStandIn("server", lambda _number, _fields, _body: parts)
        await server.start()
        servers.append(server)
        return server.address

    yield make
    for server in servers:
        await server.stop()


class TestConnector:
    async def _read(self, address):
        async with (
            aiohttp.ClientSession(connector=make_connector()) as session,
            session.get(f"http://{address}/") as response,
        ):
            return await response.read()

    async def test_a_close_ends_a_body(self, make_server):
        address = await make_server(HEAD, BODY, 0.05, "close")
        assert await self._read(address) == BODY

    async def test_a_reset_does_not(self, make_server):
        address = await make_server(HEAD, BODY, 0.05, "reset")
        with pytest.raises(aiohttp.ClientPayloadError):
            await self._read(address)


class TestService:
    async def _read(self, address):
        sessions = TargetSessions()
        client = ServiceClient("s", address, sessions)
        request = TargetRequest(
            "r", "r.1", "POST", "/", b"", "text/plain", "", False, False, 5.0
        )
        try:
            answer = (await client.send(request)).unwrap()
            return b"".join([part async for part in answer.chunks()])
        finally:
            await sessions.close()

    async def test_an_answer_may_end_with_its_connection(self, make_server):
        address = await make_server(HEAD, BODY, 0.05, "close")
        assert await self._read(address) == BODY

    async def test_one_that_is_reset_is_broken(self, make_server):
        address = await make_server(HEAD, BODY, 0.05, "reset")
        with pytest.raises(TargetError):
            await self._read(address)


class TestStores:
    async def test_a_value_that_is_reset_is_no_value(self, make_server):
        platform = HttpPlatform(
            f"http://{await make_server(HEAD, BODY, 0.05, 'reset')}"
        )
        reply = await platform.get("key")
        await platform.close()
        assert isinstance(reply.unwrap_err(), PlatformUnavailable)

    @pytest.mark.parametrize("end", ["close", "reset"])
    @pytest.mark.parametrize("body", [b"", BODY[:-1]])
    async def test_an_object_that_is_cut_is_not_absent(self, make_server, body, end):
        """Guards against a cut answer without a body that reads as no object."""
        client = ObjectClient(await make_server(HEAD, body, 0.05, end))
        reply = await client.read_one("kind", "name")
        await client.close()
        assert isinstance(reply.unwrap_err(), PlatformUnavailable)

    @pytest.mark.parametrize("body", [b"null", b"[1]", b"[{}]", b'[{"a": 1}]'])
    async def test_a_malformed_list_of_instances_is_an_error(self, make_server, body):
        """Guards against an error that ends the task which reads the list."""
        platform = HttpPlatform(f"http://{await make_server(HEAD, body, 'close')}")
        reply = await platform.instances()
        await platform.close()
        assert isinstance(reply.unwrap_err(), PlatformUnavailable)
