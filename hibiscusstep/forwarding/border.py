"""hibiscusstep.forwarding.border: the HTTP border towards callers."""

import asyncio
import contextlib
from collections.abc import Awaitable

from aiohttp import web

from hibiscusstep.forwarding.exchange import Exchange
from hibiscusstep.forwarding.incoming import Incoming, Means
from hibiscusstep.forwarding.model import (
    CustomerRule,
    ForwardRoute,
    IngressLimits,
    RoutingTable,
)
from hibiscusstep.forwarding.own_answer import own_answer
from hibiscusstep.forwarding.quota import QuotaKeeper
from hibiscusstep.forwarding.quota_claim import QUOTA_RETRY_S, QuotaClaim
from hibiscusstep.log import decision

__all__ = ["ForwardingBorder"]

NOT_READY_RETRY_S = 0.5
# A request that comes before the first configuration, or before it is heard what its
# customer used, waits for it, this long and for half of its caller's patience at the
# most: callers connect while an instance starts, and after a restart of all nobody
# else is ready. Of a region of 19 instances 219 requests were refused in the half
# second from listening to a configuration.
START_PATIENCE_S = 1.0
# Another instance takes it at once.
STOPPING_RETRY_S = 0.05
# A stopping instance begins what may last beyond its end for so long; the balancer has
# taken it out of its rotation by then.
BEGIN_FOR_S = 2.8


class _Rejected(Exception):
    """The request is answered here."""

    def __init__(self, status: int, why: str, retry_after: float | None = None) -> None:
        super().__init__(why)
        self.status = status
        self.why = why
        self.retry_after = retry_after


class ForwardingBorder:
    """Admits callers' requests and starts an exchange for each.

    Parameters
    ----------
    means : Means
        What exchanges use.
    quotas : QuotaKeeper
        Admits by customers' quotas.
    """

    def __init__(self, means: Means, quotas: QuotaKeeper) -> None:
        self._means = means
        self._quotas = quotas
        self._table: RoutingTable | None = None
        self._started = asyncio.Event()
        self._open = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._leaving = False
        self._closed = False
        self._begin_until = float("inf")
        self._stop_at = float("inf")

    @property
    def open_requests(self) -> int:
        """Requests without their whole answer yet."""
        return self._open

    @property
    def limits(self) -> IngressLimits:
        """What callers may send."""
        return self._table.limits if self._table else IngressLimits()

    def take(self, table: RoutingTable) -> None:
        """Act by a routing table from the next request on."""
        self._table = table
        self._started.set()

    def leave(self, now: float, stop_at: float) -> None:
        """Ask callers to go elsewhere; soon begin nothing that might not end in time.

        Parameters
        ----------
        now, stop_at : float
            This moment, and when answers have to be whole, on the loop's clock.
        """
        self._leaving = True
        self._begin_until = now + BEGIN_FOR_S
        self._stop_at = stop_at

    def close(self) -> None:
        """Refuse whatever comes from now on."""
        self._closed = True

    async def wait_idle(self) -> None:
        """Return when no request is open."""
        await self._idle.wait()

    def app(self) -> web.Application:
        """Return the application."""
        app = web.Application(client_max_size=64 << 20)
        app.router.add_route("*", "/{path:.*}", self._handle)
        return app

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        self._open += 1
        self._idle.clear()
        self._means.metrics.gauge("open_requests", self._open)
        try:
            response = await self._answer(request)
            if self._leaving and not response.prepared:
                response.force_close()
            return response
        finally:
            self._open -= 1
            self._means.metrics.gauge("open_requests", self._open)
            if not self._open:
                self._idle.set()

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        received = asyncio.get_running_loop().time()
        head = self._means.dialect.read_request(request.headers)
        if self._table is None:
            await _wait_in_vain(self._started.wait(), head.patience)
        try:
            route = self._find_route(request)
            customer = self._find_customer(route, head.key)
            body = await self._read_body(request)
            claim = await self._claim_quota(customer, head)
        except _Rejected as rejected:
            return self._reject(request, head.request, rejected)
        pool = route.choose_pool()
        incoming = Incoming(
            request,
            head,
            body,
            route,
            pool,
            customer,
            received,
            claim,
        )
        try:
            return await Exchange(incoming, self._means).run()
        finally:
            if claim:
                claim.release()

    def _find_route(self, request: web.Request) -> ForwardRoute:
        if self._table is None:
            raise _Rejected(503, "no configuration yet", NOT_READY_RETRY_S)
        host = request.headers.get("Host", "").partition(":")[0].lower()
        path = request.raw_path.partition("?")[0]
        route = self._table.route(host, path)
        if route is None:
            raise _Rejected(404, "no route")
        now = asyncio.get_running_loop().time()
        too_long = now > self._begin_until and now + route.timeout > self._stop_at
        if self._closed or too_long:
            raise _Rejected(503, "stopping", STOPPING_RETRY_S)
        return route

    def _find_customer(self, route: ForwardRoute, key: str) -> CustomerRule | None:
        if route.public or not self._table.needs_keys:
            return None
        customer = self._table.customer(key)
        if customer is None:
            raise _Rejected(401, "unknown key")
        return customer

    async def _claim_quota(
        self, customer: CustomerRule | None, head
    ) -> QuotaClaim | None:
        if customer is None:
            return None
        if customer.quota.rate and not self._quotas.informed:
            await _wait_in_vain(self._quotas.wait_informed(), head.patience)
        tokens = head.prompt_tokens + head.output_tokens
        if not head.counted:
            tokens = customer.quota.plain_tokens
        claim = QuotaClaim(self._quotas, customer, tokens, head.request)
        if not claim.fits():
            raise _Rejected(429, "over the quota", QUOTA_RETRY_S)
        return claim

    async def _read_body(self, request: web.Request) -> bytes:
        limits = self.limits
        if (request.content_length or 0) > limits.max_body_bytes:
            raise _Rejected(413, "body too long")
        try:
            body = await request.read()
        except web.HTTPRequestEntityTooLarge:
            raise _Rejected(413, "body too long") from None
        except (ValueError, web.HTTPException) as cause:
            raise _Rejected(400, f"malformed body: {cause!r}") from None
        if len(body) > limits.max_body_bytes:
            raise _Rejected(413, "body too long")
        return body

    def _reject(self, request, name: str, rejected: _Rejected) -> web.Response:
        version = self._table.version if self._table else 0
        self._means.metrics.requests.inc(
            {"route": "", "rank": "", "status": str(rejected.status)}
        )
        decision(
            "rejected",
            request=name,
            status=rejected.status,
            why=rejected.why,
            host=request.headers.get("Host", ""),
            path=request.path[:80],
            version=version,
        )
        return own_answer(rejected.status, retry_after=rejected.retry_after)


async def _wait_in_vain(event: Awaitable, patience: float | None) -> None:
    """Wait for what an instance learns at its start, for a bounded time."""
    seconds = START_PATIENCE_S
    if patience is not None:
        seconds = min(seconds, patience / 2)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await event
