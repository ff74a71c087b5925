"""hibiscusstep.standins.service: stand-in for a plain HTTP service."""

import asyncio
from collections import Counter

from aiohttp import web

from hibiscusstep.events import EventKind, NullRecorder

__all__ = ["make_service_app"]


def make_service_app(
    *,
    name: str = "service",
    duration: float = 0.02,
    max_running: int = 8,
    recorder: NullRecorder | None = None,
) -> web.Application:
    """Return the application; it answers any path with a summary of the request.

    Parameters
    ----------
    name : str
        Name of the service in the history.
    duration : float
        Duration of a call in seconds.
    max_running : int
        Maximum number of concurrent calls; further ones wait.
    recorder : NullRecorder
        Receives an event for each call that runs.
    """
    return _Service(name, duration, max_running, recorder or NullRecorder()).app()


class _Service:
    def __init__(self, name, duration, max_running, recorder) -> None:
        self._name = name
        self._duration = duration
        self._slots = asyncio.Semaphore(max_running)
        self._recorder = recorder
        self._counts: Counter = Counter()
        self._leaving = False

    def app(self) -> web.Application:
        app = web.Application(client_max_size=64 << 20)
        app.add_routes(
            [
                web.get("/load", self._load),
                web.get("/control", self._get_counts),
                web.post("/control", self._set_control),
                web.route("*", "/{path:.*}", self._call),
            ]
        )
        return app

    async def _load(self, _request: web.Request) -> web.Response:
        running = self._counts["received"] - self._counts["ended"]
        report = {"running": running, "waiting": 0, "leaving": self._leaving}
        return web.json_response(report)

    async def _get_counts(self, _request: web.Request) -> web.Response:
        return web.json_response(dict(self._counts))

    async def _set_control(self, request: web.Request) -> web.Response:
        control = await request.json()
        self._leaving = bool(control.get("leaving", self._leaving))
        self._duration = float(control.get("duration", self._duration))
        return web.Response(status=204)

    async def _call(self, request: web.Request) -> web.Response:
        body = await request.read()
        if self._leaving:
            return web.Response(status=503, headers={"X-Leaving": "1"}, text="leaving")
        name = request.headers.get("X-Request-Id", "")
        self._counts["received"] += 1
        self._recorder.record(
            EventKind.SERVED,
            request=name.partition(".")[0],
            attempt=name,
            key=request.headers.get("Idempotency-Key", ""),
            target=self._name,
        )
        try:
            async with self._slots:
                await asyncio.sleep(self._duration)
        finally:
            self._counts["ended"] += 1
        reply = {"path": request.path, "bytes": len(body), "request": name}
        return web.json_response(reply)
