"""Tests of the platform stand-in's service."""

import asyncio

from aiohttp import ClientSession, web
from cluster import BOUND_S

from hibiscusstep.standins.platform import make_platform_app

RECORD = {
    "name": "i",
    "data_centre": "d",
    "peer_address": "127.0.0.1:1",
    "leaving": True,
    "capacity": 250,
}


class TestInstanceList:
    async def test_lists_records_that_were_put(self):
        # The handler names the attribute that it sets in a string. When a rename of the
        # attribute left out the string, the list stayed empty.
        runner = web.AppRunner(make_platform_app())
        await runner.setup()
        try:
            await web.TCPSite(runner, "127.0.0.1", 0).start()
            host, port = runner.addresses[0]
            async with ClientSession(f"http://{host}:{port}") as session:
                async with session.put("/control/instances", json=[RECORD]) as response:
                    assert response.status == 204
                assert await self._first_list(session) == [RECORD]
        finally:
            await runner.cleanup()

    async def _first_list(self, session):
        """Return the first list with an instance; fail after `BOUND_S` seconds."""
        async with asyncio.timeout(BOUND_S):
            while True:
                async with session.get("/instances") as response:
                    assert response.status == 200
                    if listed := await response.json():
                        return listed
                await asyncio.sleep(0.01)
