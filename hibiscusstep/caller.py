"""hibiscusstep.caller: the HTTP border towards callers."""

import asyncio

from aiohttp import web

from hibiscusstep.admission import CallerHead, admit, authenticate, find_route
from hibiscusstep.configuration.in_force import InForce
from hibiscusstep.delivery import Delivery, Services
from hibiscusstep.metrics import Metrics
from hibiscusstep.problem import Outcome, Problem
from hibiscusstep.sink import Sink

__all__ = ["CallerBorder"]

HARD_MAX_BODY = 64 << 20


class CallerBorder:
    """Takes callers' requests and starts a delivery for each.

    Parameters
    ----------
    services : Services
        What deliveries use.
    metrics : Metrics
        Gets the counts.
    body_timeout : float
        Seconds for a caller to send its body.
    max_open : int
        Requests held at once; more are refused.
    """

    def __init__(
        self,
        services: Services,
        metrics: Metrics,
        body_timeout: float,
        max_open: int,
    ) -> None:
        self._services = services
        self._metrics = metrics
        self._body_timeout = body_timeout
        self._max_open = max_open
        self._admitting = 0
        self._in_force = InForce()
        self._draining = False
        self._open: set[asyncio.Task] = set()
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def open_requests(self) -> int:
        """Requests without their whole answer yet."""
        return len(self._open)

    def take(self, in_force: InForce) -> None:
        """Act by a configuration from the next request on."""
        self._in_force = in_force

    def drain(self) -> None:
        """Refuse new requests from now on."""
        self._draining = True

    async def wait_idle(self) -> None:
        """Return when no request is open."""
        await self._idle.wait()

    def cut(self) -> list[str]:
        """Cancel what is open; return the names of what was cut."""
        names = [task.get_name() for task in self._open]
        for task in self._open:
            task.cancel()
        return names

    def app(self) -> web.Application:
        """Return the application."""
        app = web.Application(client_max_size=HARD_MAX_BODY)
        app.router.add_route("*", "/{path:.*}", self._handle)
        return app

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        started = asyncio.get_running_loop().time()
        sink = Sink(request, f"{self._services.name}-refused", keep=False)
        self._admitting += 1
        try:
            delivery, sink = await self._admit(request)
        except Problem as problem:
            self._count("", "", problem.name)
            await sink.problem(problem)
            return sink.response
        finally:
            self._admitting -= 1
        task = asyncio.create_task(delivery.run(), name=delivery.admitted.request)
        self._track(task)
        try:
            await asyncio.shield(task)
        except asyncio.CancelledError:
            if not task.done():
                delivery.caller_left()
            raise
        admitted = delivery.admitted
        self._count(admitted.tier, admitted.route_name, str(sink.response.status))
        waited = sink.begun_at - started
        self._metrics.first_byte.observe({"tier": admitted.tier}, waited)
        return sink.response

    async def _admit(self, request: web.Request) -> tuple[Delivery, Sink]:
        configuration = self._in_force.configuration
        if self._draining or configuration is None:
            why = "is shutting down" if self._draining else "has no configuration yet"
            raise Problem(
                503,
                "not-ready",
                f"This instance {why}; it was not run.",
                Outcome.NOT_RUN,
                1.0,
            )
        if len(self._open) + self._admitting > self._max_open:
            detail = "This instance holds as many requests as it may."
            raise Problem(503, "instance-full", detail, Outcome.NOT_RUN, 1.0)
        head = _head(request)
        customer = authenticate(head, configuration)
        route_name = find_route(head, configuration)
        body = await self._read_body(request)
        admitted = admit(
            self._services.name, customer, route_name, head, body, configuration
        )
        sink = Sink(request, admitted.request, keep=admitted.keyed)
        return Delivery(admitted, sink, self._services, configuration), sink

    async def _read_body(self, request: web.Request) -> bytes:
        try:
            async with asyncio.timeout(self._body_timeout):
                return await request.read()
        except TimeoutError:
            detail = "The body did not come in time."
            raise Problem(408, "body-timeout", detail) from None
        except web.HTTPRequestEntityTooLarge:
            raise Problem(413, "too-large", "The body is too large.") from None
        except (ValueError, web.HTTPException) as cause:
            raise Problem(400, "malformed", f"The body: {cause}"[:200]) from None

    def _track(self, task: asyncio.Task) -> None:
        self._open.add(task)
        self._idle.clear()
        task.add_done_callback(self._untrack)

    def _untrack(self, task: asyncio.Task) -> None:
        self._open.discard(task)
        if not self._open:
            self._idle.set()

    def _count(self, tier: str, route: str, outcome: str) -> None:
        labels = {"tier": tier, "route": route, "outcome": outcome}
        self._metrics.requests.inc(labels)


def _head(request: web.Request) -> CallerHead:
    headers = request.headers
    return CallerHead(
        request.method,
        request.raw_path,
        headers.get("Authorization", ""),
        headers.get("Idempotency-Key", ""),
        headers.get("Hibiscusstep-Tier", ""),
        headers.get("Content-Type", "application/json"),
    )
