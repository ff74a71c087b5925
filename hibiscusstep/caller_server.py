"""hibiscusstep.caller_server: the HTTP server for callers."""

import asyncio

from aiohttp import web

from hibiscusstep.admission import RequestHead, admit, authenticate, find_route
from hibiscusstep.answer_sink import AnswerSink
from hibiscusstep.configuration.in_force import ConfigurationInForce
from hibiscusstep.delivery import Delivery, DeliveryServices
from hibiscusstep.http_server.connection import RequestRefused
from hibiscusstep.metrics import Metrics
from hibiscusstep.problem import Outcome, Problem

__all__ = ["CallerServer"]

MAX_BODY_BYTES = 64 << 20
# Key of a request under which the bytes of its body are counted.
HELD_BYTES = web.RequestKey("held_bytes", int)


class CallerServer:
    """Admits callers' requests and runs a delivery for each.

    Parameters
    ----------
    services : DeliveryServices
        Components that deliveries share.
    metrics : Metrics
        Receives the counts.
    body_timeout : float
        Seconds within which a caller must send its body.
    max_open : int
        Limit of open requests; more are refused.
    max_held : int
        Limit of the bytes of their bodies together; more are refused.
    """

    def __init__(
        self,
        services: DeliveryServices,
        metrics: Metrics,
        body_timeout: float,
        max_open: int,
        max_held: int = 256 << 20,
    ) -> None:
        self._services = services
        self._metrics = metrics
        self._body_timeout = body_timeout
        self._max_open = max_open
        self._max_held = max_held
        self._held_bytes = 0
        self._being_admitted = 0
        self._in_force = ConfigurationInForce()
        self._draining = False
        self._open_tasks: set[asyncio.Task] = set()
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def open_requests(self) -> int:
        """Number of requests whose answer is not complete."""
        return len(self._open_tasks)

    def set_configuration(self, in_force: ConfigurationInForce) -> None:
        """Use a configuration for all later requests."""
        self._in_force = in_force

    def drain(self) -> None:
        """Refuse new requests."""
        self._draining = True

    async def wait_idle(self) -> None:
        """Wait until no request is open."""
        await self._idle.wait()

    def cut(self) -> list[str]:
        """Cancel all open requests and return their ids."""
        names = [task.get_name() for task in self._open_tasks]
        for task in self._open_tasks:
            task.cancel()
        return names

    def app(self) -> web.Application:
        """Return the web application."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_route("*", "/{path:.*}", self._handle_request)
        return app

    async def _handle_request(self, request: web.Request) -> web.StreamResponse:
        try:
            return await self._respond(request)
        finally:
            self._held_bytes -= request.get(HELD_BYTES, 0)

    async def _respond(self, request: web.Request) -> web.StreamResponse:
        received_at = asyncio.get_running_loop().time()
        sink = AnswerSink(request, f"{self._services.name}-refused", keep=False)
        self._being_admitted += 1
        try:
            delivery, sink = await self._admit(request)
        except Problem as problem:
            self._count_request("", "", problem.name)
            await sink.send_problem(problem)
            return sink.response
        finally:
            self._being_admitted -= 1
        task = asyncio.create_task(delivery.run(), name=delivery.admitted.request)
        self._track(task)
        try:
            await asyncio.shield(task)
        except asyncio.CancelledError:
            if not task.done():
                delivery.on_caller_disconnected()
            raise
        admitted = delivery.admitted
        self._count_request(
            admitted.tier, admitted.route_name, str(sink.response.status)
        )
        first_byte_seconds = sink.started_at - received_at
        self._metrics.first_byte.observe({"tier": admitted.tier}, first_byte_seconds)
        return sink.response

    async def _admit(self, request: web.Request) -> tuple[Delivery, AnswerSink]:
        configuration = self._in_force.configuration
        if self._draining or configuration is None:
            reason = (
                "is shutting down" if self._draining else "has no configuration yet"
            )
            raise Problem(
                503,
                "not-ready",
                f"This instance {reason}; it was not run.",
                Outcome.NOT_RUN,
                1.0,
            )
        if len(self._open_tasks) + self._being_admitted > self._max_open:
            detail = "This instance holds as many requests as it may."
            raise Problem(503, "instance-full", detail, Outcome.NOT_RUN, 1.0)
        head = _request_head(request)
        customer = authenticate(head, configuration)
        route_name = find_route(head, configuration)
        body = await self._read_body(request)
        admitted = admit(
            self._services.name, customer, route_name, head, body, configuration
        )
        sink = AnswerSink(request, admitted.request, keep=admitted.needs_claim)
        return Delivery(admitted, sink, self._services, configuration), sink

    async def _read_body(self, request: web.Request) -> bytes:
        try:
            async with asyncio.timeout(self._body_timeout):
                return await self._collect_body(request)
        except TimeoutError:
            detail = "The body did not come in time."
            raise Problem(408, "body-timeout", detail) from None
        except RequestRefused as cause:
            detail = "The body was not read to its end; the request was not run."
            retry_after = 1.0 if cause.status == 503 else None
            raise Problem(
                cause.status, cause.reason, detail, Outcome.NOT_RUN, retry_after
            ) from None
        except (ValueError, web.HTTPException) as cause:
            raise Problem(400, "malformed", f"The body: {cause}"[:200]) from None

    async def _collect_body(self, request: web.Request) -> bytes:
        parts = []
        request[HELD_BYTES] = 0
        async for part in request.content.iter_any():
            request[HELD_BYTES] += len(part)
            self._held_bytes += len(part)
            if request[HELD_BYTES] > MAX_BODY_BYTES:
                raise Problem(413, "too-large", "The body is too large.")
            if self._held_bytes > self._max_held:
                detail = "This instance holds as much as it may; it was not run."
                raise Problem(503, "instance-full", detail, Outcome.NOT_RUN, 1.0)
            parts.append(part)
        return b"".join(parts)

    def _track(self, task: asyncio.Task) -> None:
        self._open_tasks.add(task)
        self._idle.clear()
        task.add_done_callback(self._untrack)

    def _untrack(self, task: asyncio.Task) -> None:
        self._open_tasks.discard(task)
        if not self._open_tasks:
            self._idle.set()

    def _count_request(self, tier: str, route: str, outcome: str) -> None:
        labels = {"tier": tier, "route": route, "outcome": outcome}
        self._metrics.requests.inc(labels)


def _request_head(request: web.Request) -> RequestHead:
    headers = request.headers
    return RequestHead(
        request.method,
        request.raw_path,
        headers.get("Authorization", ""),
        headers.get("Idempotency-Key", ""),
        headers.get("Hibiscusstep-Tier", ""),
        headers.get("Content-Type", "application/json"),
    )
