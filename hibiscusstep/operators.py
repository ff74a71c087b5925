"""hibiscusstep.operators: the HTTP border towards operators and the balancer."""

import asyncio
import hmac
from collections.abc import Awaitable, Callable
from dataclasses import asdict

from aiohttp import web

from hibiscusstep.explain import Explainer
from hibiscusstep.metrics import Metrics

__all__ = ["OperatorBorder"]

STATUS_TIMEOUT_S = 2.0


class OperatorBorder:
    """Health, readiness, metrics, status and explain.

    Health and readiness are open, for the balancer; the rest wants the operators'
    key as Bearer token.

    Parameters
    ----------
    key : str
        The operators' key.
    ready : callable returning bool
        Whether the balancer may send callers here.
    status : callable returning an awaitable of dict
        The instance's view of the system.
    refresh : callable
        Brings the gauges up to date.
    explainer : Explainer
        What was decided.
    metrics : Metrics
        What is counted.
    """

    def __init__(
        self,
        key: str,
        ready: Callable[[], bool],
        status: Callable[[], Awaitable[dict]],
        refresh: Callable[[], None],
        explainer: Explainer,
        metrics: Metrics,
    ) -> None:
        self._key = key
        self._ready = ready
        self._status = status
        self._refresh = refresh
        self._explainer = explainer
        self._metrics = metrics

    def app(self) -> web.Application:
        """Return the application."""
        app = web.Application(middlewares=[self._guard])
        app.add_routes(
            [
                web.get("/health", self._health),
                web.get("/ready", self._readiness),
                web.get("/metrics", self._render),
                web.get("/status", self._tell_status),
                web.get("/explain/{request}", self._explain),
            ]
        )
        return app

    @web.middleware
    async def _guard(self, request: web.Request, handler) -> web.StreamResponse:
        if request.path not in ("/health", "/ready"):
            given = request.headers.get("Authorization", "").encode()
            if not hmac.compare_digest(given, f"Bearer {self._key}".encode()):
                return web.json_response({"error": "operators' key wanted"}, status=401)
        return await handler(request)

    async def _health(self, _request: web.Request) -> web.Response:
        return web.Response(text="alive\n")

    async def _readiness(self, _request: web.Request) -> web.Response:
        if self._ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    async def _render(self, _request: web.Request) -> web.Response:
        self._refresh()
        content, headers = self._metrics.render()
        return web.Response(body=content, headers=headers)

    async def _tell_status(self, _request: web.Request) -> web.Response:
        try:
            async with asyncio.timeout(STATUS_TIMEOUT_S):
                return web.json_response(await self._status())
        except TimeoutError:
            return web.json_response({"error": "status timed out"}, status=504)

    async def _explain(self, request: web.Request) -> web.Response:
        notes = self._explainer.explain(request.match_info["request"])
        if not notes:
            return web.json_response({"error": "not remembered here"}, status=404)
        return web.json_response([asdict(note) for note in notes])
