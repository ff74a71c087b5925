"""hibiscusstep.operator_api: the HTTP API for operators and the load balancer."""

import asyncio
import hmac
from collections.abc import Awaitable, Callable
from dataclasses import asdict

from aiohttp import web

from hibiscusstep.explain import Explainer
from hibiscusstep.metrics import Metrics

__all__ = ["OperatorApi"]

STATUS_TIMEOUT_S = 2.0


class OperatorApi:
    """Serves health, readiness, metrics, status and explain.

    Health and readiness are for the load balancer and need no authentication; the rest
    requires the operators' key as a bearer token.

    Parameters
    ----------
    key : str
        The operators' key.
    ready : callable returning bool
        Whether the load balancer may send callers to this instance.
    status : callable returning an awaitable of dict
        The instance's view of the system.
    refresh : callable
        Updates the gauges before they are read.
    explainer : Explainer
        Source of the steps of requests.
    metrics : Metrics
        Source of the metrics.
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
        """Return the aiohttp application."""
        app = web.Application(middlewares=[self._check_key])
        app.add_routes(
            [
                web.get("/health", self._health),
                web.get("/ready", self._readiness),
                web.get("/metrics", self._metrics_text),
                web.get("/status", self._system_status),
                web.get("/explain/{request}", self._explain),
            ]
        )
        return app

    @web.middleware
    async def _check_key(self, request: web.Request, handler) -> web.StreamResponse:
        if request.path not in ("/health", "/ready"):
            authorization = request.headers.get("Authorization", "").encode()
            if not hmac.compare_digest(authorization, f"Bearer {self._key}".encode()):
                return web.json_response({"error": "operators' key wanted"}, status=401)
        return await handler(request)

    async def _health(self, _request: web.Request) -> web.Response:
        return web.Response(text="alive\n")

    async def _readiness(self, _request: web.Request) -> web.Response:
        if self._ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    async def _metrics_text(self, _request: web.Request) -> web.Response:
        self._refresh()
        content, headers = self._metrics.render()
        return web.Response(body=content, headers=headers)

    async def _system_status(self, _request: web.Request) -> web.Response:
        try:
            async with asyncio.timeout(STATUS_TIMEOUT_S):
                return web.json_response(await self._status())
        except TimeoutError:
            return web.json_response({"error": "status timed out"}, status=504)

    async def _explain(self, request: web.Request) -> web.Response:
        steps = self._explainer.explain(request.match_info["request"])
        if not steps:
            return web.json_response({"error": "not remembered here"}, status=404)
        return web.json_response([asdict(step) for step in steps])
