"""hibiscusstep.forwarding.incoming_request: admitted requests and shared services."""

from dataclasses import dataclass

import xxhash
from aiohttp import web

from hibiscusstep.dispatch_client import DispatchClient
from hibiscusstep.dispatcher_host import DispatcherHost
from hibiscusstep.forwarding.announcement import AnnouncementReader
from hibiscusstep.forwarding.buffer_budget import BufferAccount, BufferBudget
from hibiscusstep.forwarding.caller_connection import CallerConnection
from hibiscusstep.forwarding.connections import ConnectionPool
from hibiscusstep.forwarding.dialect import Dialect, RequestFields
from hibiscusstep.forwarding.fingerprint import fingerprint, part_fingerprint
from hibiscusstep.forwarding.metrics import ForwardingMetrics
from hibiscusstep.forwarding.model import CustomerRule, DiscoveredTarget, ForwardRoute
from hibiscusstep.forwarding.quarantine import Quarantine
from hibiscusstep.forwarding.quota_request import QuotaRequest
from hibiscusstep.forwarding.target_backoff import TargetBackoff
from hibiscusstep.forwarding.target_paths import TargetPaths
from hibiscusstep.forwarding.windowed_retry_budget import WindowedRetryBudget

__all__ = ["ForwardingContext", "IncomingRequest", "response_timeout"]

# Bounds the work for a request that names many parts.
MAX_SHARED_PARTS = 64
# Number of route ranks within one customer rank.
ROUTE_RANKS = 16


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A caller's request, completely read and admitted.

    Parameters
    ----------
    request : aiohttp.web.Request
        The request in aiohttp's form.
    head : RequestFields
        Parsed header fields.
    body : bytes
        Request body.
    route : ForwardRoute
        The matching route.
    pool : str
        The chosen pool of the route.
    customer : CustomerRule or None
        The authenticated customer; None if the request needs no key.
    caller : CallerConnection
        The caller's connection.
    account : BufferAccount
        The bytes held for the request.
    received : float
        Time of receipt of its head, in seconds on the loop's clock.
    quota_request : QuotaRequest or None
        Its request for tokens of the customer's quota.
    """

    request: web.Request
    head: RequestFields
    body: bytes
    route: ForwardRoute
    pool: str
    customer: CustomerRule | None
    caller: CallerConnection
    account: BufferAccount
    received: float
    quota_request: QuotaRequest | None = None

    @property
    def due(self) -> float:
        """Time by which a response is on time, on the loop's clock.

        It holds for a caller's first attempt: a caller that retries has waited before.
        """
        return self.received + self.route.objective

    @property
    def identity(self) -> int:
        """Hash that is equal for all of a caller's attempts at one request, or 0.

        Each attempt has an id of its own, so the hash covers the prompt's parts and
        lengths. It is 0 for a request without a prompt, which is not recognized.
        """
        head = self.head
        if not head.prompt_parts:
            return 0
        customer = self.customer.name if self.customer else ""
        lengths = f"{head.prompt_tokens},{head.output_tokens},{head.expected_output}"
        parts = (customer, self.request.raw_path, head.prompt_parts, lengths)
        return xxhash.xxh64_intdigest("\0".join(parts).encode()) >> 1

    @property
    def stream(self) -> int:
        """Hash by which the caller may later resume the stream; 0 if there is none."""
        if not (self.route.streaming and self.head.request):
            return 0
        return self._hash_stream(self.head.request)

    @property
    def resumes(self) -> int:
        """Hash of the stream that the caller resumes; 0 if it begins one.

        Without the id of the request that began the stream it is that of no stream.
        """
        if not (self.route.streaming and self.head.last_event_id):
            return 0
        return self._hash_stream(self.head.resumed_request)

    def _hash_stream(self, request: str) -> int:
        """Return a hash, not 0, of a customer's request; ids are callers' words."""
        customer = self.customer.name if self.customer else ""
        digest = xxhash.xxh64_intdigest(f"{customer}\0{request}".encode())
        return digest >> 1 | 1

    def fingerprint(self) -> int:
        """Return a hash of the whole request, equal for all attempts at it."""
        request = self.request
        host = request.headers.get("Host", "")
        customer = self.customer.name if self.customer else ""
        return fingerprint(request.method, host, request.raw_path, customer, self.body)

    def shared_parts(self) -> dict[int, str]:
        """Return the parts that other requests may have too, by their hashes."""
        head = self.head
        parts = head.shared_parts[:MAX_SHARED_PARTS]
        return {part_fingerprint(self.pool, head.model, part): part for part in parts}

    @property
    def rank(self) -> int:
        """Priority, 0 the highest: the customer's rank, then the route's."""
        customer = self.customer
        own = customer.rank if customer and customer.rank is not None else 0
        return own * ROUTE_RANKS + min(self.route.rank, ROUTE_RANKS - 1)

    @property
    def deadline(self) -> float:
        """Time by which the response has to be complete, on the loop's clock."""
        return self.received + response_timeout(self.route, self.head)


def response_timeout(route: ForwardRoute, head: RequestFields) -> float:
    """Return the seconds from the receipt of a request to the end of its response."""
    if head.caller_timeout is None:
        return route.timeout
    return min(head.caller_timeout, route.timeout)


@dataclass(slots=True)
class ForwardingContext:
    """Services and state shared by all exchanges of an instance.

    Parameters
    ----------
    instance : str
        Name of this instance.
    data_centre : str
        Location of this instance.
    dialect : Dialect
        Reads and writes header fields.
    dispatch_client : DispatchClient
        Obtains grants from dispatchers.
    dispatcher_host : DispatcherHost
        Receives the load that targets report.
    connections : ConnectionPool
        Connections to targets.
    paths : TargetPaths
        Which targets this instance reaches.
    retries : WindowedRetryBudget
        Limits retries.
    targets : dict of str to DiscoveredTarget
        All known targets by name.
    metrics : ForwardingMetrics
        Metrics of this instance.
    quarantine : Quarantine
        Records which requests crash targets.
    target_backoff : TargetBackoff
        Targets that asked this instance to back off.
    announcements : AnnouncementReader
        Reads what targets announce in their responses.
    buffers : BufferBudget
        The bytes held for callers and targets.
    """

    instance: str
    data_centre: str
    dialect: Dialect
    dispatch_client: DispatchClient
    dispatcher_host: DispatcherHost
    connections: ConnectionPool
    paths: TargetPaths
    retries: WindowedRetryBudget
    targets: dict[str, DiscoveredTarget]
    metrics: ForwardingMetrics
    quarantine: Quarantine
    target_backoff: TargetBackoff
    announcements: AnnouncementReader
    buffers: BufferBudget
