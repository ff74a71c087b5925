"""hibiscusstep.forwarding.incoming: an admitted request, and what serves it."""

from collections.abc import Callable
from dataclasses import dataclass

import xxhash
from aiohttp import web

from hibiscusstep.dispatch_client import DispatchClient
from hibiscusstep.dispatcher_host import DispatcherHost
from hibiscusstep.forwarding.connections import ConnectionPool
from hibiscusstep.forwarding.dialect import Dialect, RequestHead
from hibiscusstep.forwarding.fingerprint import fingerprint
from hibiscusstep.forwarding.metrics import ForwardingMetrics
from hibiscusstep.forwarding.model import CustomerRule, DiscoveredTarget, ForwardRoute
from hibiscusstep.forwarding.quarantine import Quarantine
from hibiscusstep.forwarding.quota_claim import QuotaClaim
from hibiscusstep.forwarding.rests import TargetRests
from hibiscusstep.forwarding.retries import WindowedRetryBudget

__all__ = ["Incoming", "Means"]

# Ranks of routes within one rank of customers.
RANKS_A_CUSTOMER = 16


@dataclass(frozen=True, slots=True)
class Incoming:
    """A caller's request, read whole and admitted.

    Parameters
    ----------
    request : aiohttp.web.Request
        Of the library.
    head : RequestHead
        What its fields say.
    body : bytes
        Its body.
    route : ForwardRoute
        Where it goes.
    pool : str
        The pool that was drawn.
    customer : CustomerRule or None
        Whose it is; None on a public route.
    received : float
        When its head came, in seconds on the loop's clock.
    claim : QuotaClaim or None
        Its tokens of the customer's quota.
    """

    request: web.Request
    head: RequestHead
    body: bytes
    route: ForwardRoute
    pool: str
    customer: CustomerRule | None
    received: float
    claim: QuotaClaim | None = None

    @property
    def due(self) -> float:
        """When an answer is on time, on the loop's clock, if its caller came first."""
        return self.received + self.route.objective

    @property
    def identity(self) -> int:
        """The same for all attempts at one request, 0 if not known.

        Attempts have ids of their own; a prompt's parts and lengths tell requests
        apart. A request without a prompt is not known again.
        """
        head = self.head
        if not head.prompt:
            return 0
        customer = self.customer.name if self.customer else ""
        lengths = f"{head.prompt_tokens},{head.output_tokens},{head.expected_output}"
        parts = (customer, self.request.raw_path, head.prompt, lengths)
        return xxhash.xxh64_intdigest("\0".join(parts).encode()) >> 1

    def fingerprint(self) -> int:
        """Return what all attempts at this request share; hashes the whole body."""
        request = self.request
        host = request.headers.get("Host", "")
        customer = self.customer.name if self.customer else ""
        return fingerprint(request.method, host, request.raw_path, customer, self.body)

    @property
    def rank(self) -> int:
        """Priority: by the customer's, then by the route's."""
        customer = self.customer
        own = customer.rank if customer and customer.rank is not None else 0
        return own * RANKS_A_CUSTOMER + min(self.route.rank, RANKS_A_CUSTOMER - 1)

    @property
    def deadline(self) -> float:
        """When the whole answer is due, on the loop's clock."""
        patience = self.head.patience
        timeout = self.route.timeout
        return self.received + (timeout if patience is None else min(patience, timeout))


@dataclass(slots=True)
class Means:
    """What exchanges use.

    Parameters
    ----------
    instance : str
        Own name.
    data_centre : str
        Where it runs.
    dialect : Dialect
        Reads and writes header fields.
    desk : DispatchClient
        Gets grants.
    dispatching : DispatcherHost
        Is told the load that targets report.
    connections : ConnectionPool
        To targets.
    retries : WindowedRetryBudget
        Bounds repeats.
    targets : dict of str to DiscoveredTarget
        All known targets.
    metrics : ForwardingMetrics
        What is counted.
    quarantine : Quarantine
        Knows which requests crash their targets.
    rests : TargetRests
        Targets that want nothing from this instance for now.
    on_leaving : callable of DiscoveredTarget
        Is told of a target that said in an answer that it leaves.
    """

    instance: str
    data_centre: str
    dialect: Dialect
    desk: DispatchClient
    dispatching: DispatcherHost
    connections: ConnectionPool
    retries: WindowedRetryBudget
    targets: dict[str, DiscoveredTarget]
    metrics: ForwardingMetrics
    quarantine: Quarantine
    rests: TargetRests
    on_leaving: Callable[[DiscoveredTarget], None]
