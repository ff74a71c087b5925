"""hibiscusstep.forwarding.caller_frontend: the HTTP server for callers."""

import asyncio
import contextlib
from collections.abc import Awaitable

from aiohttp import web

from hibiscusstep.forwarding.buffer_budget import (
    REFUSED_RETRY_AFTER_S,
    BufferAccount,
    BufferKind,
)
from hibiscusstep.forwarding.caller_connection import CallerConnection
from hibiscusstep.forwarding.exchange import Exchange
from hibiscusstep.forwarding.incoming_request import (
    ForwardingContext,
    IncomingRequest,
    response_timeout,
)
from hibiscusstep.forwarding.local_response import local_response
from hibiscusstep.forwarding.model import (
    CustomerRule,
    ForwardRoute,
    RetryMode,
    RoutingTable,
)
from hibiscusstep.forwarding.quota import QuotaLimiter
from hibiscusstep.forwarding.quota_request import QUOTA_RETRY_S, QuotaRequest
from hibiscusstep.http_server.connection import RequestRefused, field_memory
from hibiscusstep.http_server.limits import IngressLimits
from hibiscusstep.line_limit import LineLimit
from hibiscusstep.log import decision

__all__ = ["CallerFrontend"]

NOT_READY_RETRY_AFTER_S = 0.5
# A request that arrives before the first configuration, or before the usage of its
# customer's quota is known, waits at most this long and at most half of its caller's
# timeout. Callers connect while an instance starts, and when all instances restart no
# other one is ready: a region of 19 instances refused 219 requests in the half second
# between the start of listening and the first configuration.
STARTUP_WAIT_S = 1.0
# Another instance can serve the request at once.
STOPPING_RETRY_AFTER_S = 0.05
# A stopping instance accepts requests that may outlast it for this long; after that the
# balancer has removed it from its rotation.
ACCEPT_ALL_AFTER_STOP_S = 2.8
# Time for which a caller is waited for that does not take a refusal.
REJECTION_TIMEOUT_S = 10.0
# Parts of a body that are smaller are joined as they come.
JOINED_PART_BYTES = 1 << 12
# Statuses of requests that callers made wrong, and log lines for each in a second.
CALLER_FAULTS = frozenset({400, 401, 404, 408, 413, 431})
FAULT_LINES_PER_S = 20


class _RequestRejected(Exception):
    """A request that the instance rejects without forwarding it."""

    def __init__(
        self, status: int, reason: str, retry_after: float | None = None
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after = retry_after


class CallerFrontend:
    """Authenticates and admits callers' requests and starts an exchange for each.

    Parameters
    ----------
    context : ForwardingContext
        Services shared by all exchanges.
    quotas : QuotaLimiter
        Enforces customers' quotas.
    """

    def __init__(self, context: ForwardingContext, quotas: QuotaLimiter) -> None:
        self._context = context
        self._quotas = quotas
        self._table: RoutingTable | None = None
        self._table_received = asyncio.Event()
        self._open = 0
        self._lines = LineLimit(FAULT_LINES_PER_S, context.buffers.now)
        self._idle = asyncio.Event()
        self._idle.set()
        self._draining = False
        self._refusing = False
        self._accept_all_until = float("inf")
        self._drain_deadline = float("inf")

    @property
    def open_requests(self) -> int:
        """Number of requests without a complete response."""
        return self._open

    @property
    def limits(self) -> IngressLimits:
        """Limits on callers' requests."""
        return self._table.limits if self._table else IngressLimits()

    def set_table(self, table: RoutingTable) -> None:
        """Use a routing table from the next request on."""
        self._table = table
        self._table_received.set()

    def begin_drain(self, now: float, drain_deadline: float) -> None:
        """Close connections after responses; then reject requests that may outlast it.

        Parameters
        ----------
        now, drain_deadline : float
            Current time, and when all responses have to be complete, on the loop's
            clock.
        """
        self._draining = True
        self._accept_all_until = now + ACCEPT_ALL_AFTER_STOP_S
        self._drain_deadline = drain_deadline

    def refuse_requests(self) -> None:
        """Reject all further requests."""
        self._refusing = True

    async def wait_idle(self) -> None:
        """Wait until no request is open."""
        await self._idle.wait()

    def app(self) -> web.Application:
        """Return the web application that serves callers."""
        app = web.Application(client_max_size=64 << 20)
        app.router.add_route("*", "/{path:.*}", self._handle)
        return app

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        self._open += 1
        self._idle.clear()
        self._context.metrics.set_gauge("open_requests", self._open)
        caller = CallerConnection(request, self._record_cut_off)
        account = self._context.buffers.open(caller)
        account.add(BufferKind.REQUEST, field_memory(len(request.raw_headers)))
        try:
            response, deadline = await self._respond(request, caller, account)
            if self._draining and not response.prepared:
                response.force_close()
            await caller.deliver(response, account, deadline)
            return response
        finally:
            account.close()
            self._open -= 1
            self._context.metrics.set_gauge("open_requests", self._open)
            if not self._open:
                self._idle.set()

    async def _respond(
        self, request: web.Request, caller: CallerConnection, account: BufferAccount
    ) -> tuple[web.StreamResponse, float]:
        """Return the response and the time by which the caller has to take it."""
        received = asyncio.get_running_loop().time()
        head = self._context.dialect.read_request(request.headers)
        account.name = head.request
        if self._table is None:
            await _wait_for_startup(self._table_received.wait(), head.caller_timeout)
        try:
            route = self._find_route(request)
            customer = self._find_customer(route, head.key)
            account.repeatable = route.retry_mode is not RetryMode.NEVER
            deadline = received + response_timeout(route, head)
            body = await self._read_body(request, account, deadline)
            quota_request = await self._request_quota(customer, head)
        except _RequestRejected as rejected:
            response = self._reject(request, head.request, rejected)
            return response, received + REJECTION_TIMEOUT_S
        pool = route.choose_pool()
        incoming = IncomingRequest(
            request,
            head,
            body,
            route,
            pool,
            customer,
            caller,
            account,
            received,
            quota_request,
        )
        try:
            return await Exchange(incoming, self._context).run(), deadline
        finally:
            if quota_request:
                quota_request.release()

    def _record_cut_off(self, account: BufferAccount, reason: str) -> None:
        repeatable = "yes" if account.repeatable else "no"
        self._context.metrics.cut_off.inc({"reason": reason, "repeatable": repeatable})
        decision(
            "cut-off",
            request=account.name,
            why=reason,
            repeatable=account.repeatable,
            held=account.held,
            **{f"held_{kind.name.lower()}": account[kind] for kind in BufferKind},
            idle=round(self._context.buffers.now() - account.progress_at, 3),
            held_by_all=self._context.buffers.held,
        )

    def _find_route(self, request: web.Request) -> ForwardRoute:
        if self._table is None:
            raise _RequestRejected(503, "no configuration yet", NOT_READY_RETRY_AFTER_S)
        host = request.headers.get("Host", "").partition(":")[0].lower()
        path = request.raw_path.partition("?")[0]
        route = self._table.route(host, path)
        if route is None:
            raise _RequestRejected(404, "no matching route")
        now = asyncio.get_running_loop().time()
        too_long = (
            now > self._accept_all_until and now + route.timeout > self._drain_deadline
        )
        if self._refusing or too_long:
            raise _RequestRejected(503, "stopping", STOPPING_RETRY_AFTER_S)
        return route

    def _find_customer(self, route: ForwardRoute, key: str) -> CustomerRule | None:
        if route.public or not self._table.needs_keys:
            return None
        customer = self._table.customer(key)
        if customer is None:
            raise _RequestRejected(401, "unknown customer key")
        return customer

    async def _request_quota(
        self, customer: CustomerRule | None, head
    ) -> QuotaRequest | None:
        if customer is None:
            return None
        if customer.quota.rate and not self._quotas.history_known:
            await _wait_for_startup(
                self._quotas.wait_history_known(), head.caller_timeout
            )
        tokens = head.prompt_tokens + head.output_tokens
        if not head.declares_tokens:
            tokens = customer.quota.default_tokens
        quota_request = QuotaRequest(self._quotas, customer, tokens, head.request)
        if not quota_request.fits():
            raise _RequestRejected(429, "customer quota exceeded", QUOTA_RETRY_S)
        return quota_request

    async def _read_body(
        self, request: web.Request, account: BufferAccount, deadline: float
    ) -> bytes:
        declared = request.content_length or 0
        if declared > self.limits.max_body_bytes:
            raise _RequestRejected(413, "request body too long")
        received = account.progress_at
        self._check_memory(declared, received, 0)
        try:
            async with asyncio.timeout_at(deadline):
                return await self._collect_body(request, account)
        except TimeoutError:
            raise _RequestRejected(504, "request body incomplete") from None
        except RequestRefused as cause:
            retry_after = REFUSED_RETRY_AFTER_S if cause.status == 503 else None
            raise _RequestRejected(cause.status, cause.reason, retry_after) from None
        except (ValueError, web.HTTPException) as cause:
            raise _RequestRejected(400, f"malformed body: {cause!r}"[:200]) from None

    async def _collect_body(
        self, request: web.Request, account: BufferAccount
    ) -> bytes:
        received = account.progress_at
        error = RequestRefused(503, "memory")

        def refuse() -> None:
            request.content.set_exception(error)

        parts = [b""]
        size = 0
        account.refuse_request = refuse
        while part := await request.content.readany():
            # It is not refused to make room for itself.
            account.refuse_request = None
            size += len(part)
            if size > self.limits.max_body_bytes:
                raise _RequestRejected(413, "request body too long")
            self._check_memory(len(part), received, account.held)
            account.add(BufferKind.REQUEST, len(part))
            account.record_progress()
            account.refuse_request = refuse
            # Many small parts would take far more memory than their bytes.
            if len(parts[-1]) < JOINED_PART_BYTES:
                parts[-1] += part
            else:
                parts.append(part)
        account.refuse_request = None
        return b"".join(parts)

    def _check_memory(self, size: int, received: float, held: int) -> None:
        """Reject a request that has not run if its body would need too much memory."""
        if not self._context.buffers.make_room(size, received, held):
            raise _RequestRejected(503, "memory", REFUSED_RETRY_AFTER_S)

    def _reject(self, request, name: str, rejected: _RequestRejected) -> web.Response:
        version = self._table.version if self._table else 0
        self._context.metrics.requests.inc(
            {"route": "", "rank": "", "status": str(rejected.status)}
        )
        left_out = 0
        if rejected.status in CALLER_FAULTS:
            left_out = self._lines.admit(rejected.status)
        if left_out is not None:
            decision(
                "rejected",
                request=name,
                status=rejected.status,
                why=rejected.reason,
                host=request.headers.get("Host", "")[:80],
                path=request.path[:80],
                version=version,
                **({"left_out": left_out} if left_out else {}),
            )
        return local_response(rejected.status, retry_after=rejected.retry_after)


async def _wait_for_startup(event: Awaitable, caller_timeout: float | None) -> None:
    """Wait for state that a starting instance still lacks, for a bounded time."""
    seconds = STARTUP_WAIT_S
    if caller_timeout is not None:
        seconds = min(seconds, caller_timeout / 2)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await event
