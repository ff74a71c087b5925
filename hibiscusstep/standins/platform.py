"""hibiscusstep.standins.platform: serves the in-memory platform over HTTP."""

import asyncio
from dataclasses import asdict

from aiohttp import web

from hibiscusstep.errors import PlatformConflict, PlatformNotFound
from hibiscusstep.store import InstanceRecord
from hibiscusstep.stores.memory import MemoryPlatform

__all__ = ["make_platform_app"]

MAX_WATCH_S = 60.0
MAX_OUTAGE_S = 3600.0
STATUS_CODES = {PlatformNotFound: 404, PlatformConflict: 412}


def make_platform_app(list_lag: float = 0.0) -> web.Application:
    """Return the application.

    Parameters
    ----------
    list_lag : float
        Delay in seconds until a new list of instances is visible.

    Notes
    -----
    ``POST /control`` sets faults: ``{"down": true, "delay": 0.1,
    "lose_answers": 2}``. ``GET /control`` returns the number of calls by kind. ``PUT
    /control/instances`` sets the list of instances, which a real platform maintains.
    """
    return _PlatformService(list_lag).app()


class _PlatformService:
    def __init__(self, list_lag: float) -> None:
        self._platform = MemoryPlatform()
        self._list_lag = list_lag

    def app(self) -> web.Application:
        app = web.Application(client_max_size=2 << 20)
        app.add_routes(
            [
                web.get("/objects/{key:.+}", self._get),
                web.put("/objects/{key:.+}", self._put),
                web.delete("/objects/{key:.+}", self._delete),
                web.get("/watch/{key:.+}", self._watch),
                web.get("/instances", self._list_instances),
                web.get("/control", self._counts),
                web.post("/control", self._control),
                web.put("/control/instances", self._set_instances),
            ]
        )
        return app

    async def _get(self, request: web.Request) -> web.Response:
        found = await self._platform.get(request.match_info["key"])
        return await self._reply(found, lambda item: _object(item))

    async def _put(self, request: web.Request) -> web.Response:
        expected = int(request.headers.get("If-Match", '"0"').strip('"'))
        value = await request.read()
        written = await self._platform.put(request.match_info["key"], value, expected)
        return await self._reply(
            written, lambda version: web.Response(headers={"ETag": f'"{version}"'})
        )

    async def _delete(self, request: web.Request) -> web.Response:
        gone = await self._platform.delete(request.match_info["key"])
        return await self._reply(gone, lambda _none: web.Response(status=204))

    async def _watch(self, request: web.Request) -> web.Response:
        after = int(request.query.get("after", 0))
        timeout = min(MAX_WATCH_S, float(request.query.get("timeout", 30)))
        found = await self._platform.watch(request.match_info["key"], after, timeout)
        return await self._reply(
            found, lambda item: _object(item) if item else web.Response(status=204)
        )

    async def _list_instances(self, _request: web.Request) -> web.Response:
        listed = await self._platform.instances()
        return await self._reply(
            listed, lambda records: web.json_response([asdict(r) for r in records])
        )

    async def _counts(self, _request: web.Request) -> web.Response:
        return web.json_response(dict(self._platform.calls))

    async def _control(self, request: web.Request) -> web.Response:
        for name, value in (await request.json()).items():
            if not hasattr(self._platform.faults, name):
                return web.Response(status=400, text=f"unknown fault {name}")
            setattr(self._platform.faults, name, value)
        return web.json_response(asdict(self._platform.faults))

    async def _set_instances(self, request: web.Request) -> web.Response:
        records = [InstanceRecord(**entry) for entry in await request.json()]
        loop = asyncio.get_running_loop()
        loop.call_later(
            self._list_lag, setattr, self._platform, "instance_records", records
        )
        return web.Response(status=204)

    async def _reply(self, answer, render) -> web.Response:
        if answer.is_ok():
            return render(answer.unwrap())
        error = answer.unwrap_err()
        if type(error) in STATUS_CODES:
            return web.Response(status=STATUS_CODES[type(error)], text=error.detail)
        await self._delay_answer()
        return web.Response(status=503)

    async def _delay_answer(self) -> None:
        """Delay an answer that the caller must not get, so that its call times out.

        Waits until the platform is up, at most `MAX_OUTAGE_S`, and 5 s more, which is
        longer than the timeout of a call and thus also hides a lost answer.
        """
        until = asyncio.get_running_loop().time() + MAX_OUTAGE_S
        while asyncio.get_running_loop().time() < until:
            await asyncio.sleep(0.05)
            if not self._platform.faults.down:
                await asyncio.sleep(5.0)
                return


def _object(item) -> web.Response:
    return web.Response(body=item.value, headers={"ETag": f'"{item.version}"'})
