"""hibiscusstep.forwarding.model: validated routes, customers, pools and targets."""

import enum
import math
import random
from dataclasses import dataclass, field, replace
from functools import cached_property

from hibiscusstep.http_server.limits import IngressLimits

__all__ = [
    "CustomerRule",
    "DiscoveredTarget",
    "ForwardRoute",
    "PoolRule",
    "PoolShare",
    "Quota",
    "RateLimit",
    "RetryMode",
    "RoutingTable",
]


class RetryMode(enum.Enum):
    """Whether and how a request may be retried after it was sent to a target."""

    NEVER = "it runs at most once"
    FROM_START = "it may run again from its beginning"
    RESUME = "it may run again and go on behind the last event that was passed on"


@dataclass(frozen=True, slots=True)
class PoolShare:
    """A pool's share of a route's requests, by a weight relative to other pools."""

    pool: str
    weight: float


@dataclass(frozen=True, slots=True)
class ForwardRoute:
    """A rule that forwards the requests of a host and path prefix to pools.

    Parameters
    ----------
    name, host, prefix : str
        The route with the longest matching prefix of a host applies.
    shares : tuple of PoolShare
        Pools that serve the route.
    streaming : bool
        Whether responses are streams of server-sent events.
    retry_mode : RetryMode
        Whether and how requests may be retried.
    timeout : float
        Maximum seconds from the receipt to the end of the response.
    objective : float
        Seconds within which the response (of a stream: its first event) is on time.
    rank : int
        Priority, 0 the highest.
    max_attempts : int
        Maximum number of targets that one request is sent to.
    public : bool
        Whether the route is open to callers without a customer's key.
    max_pause : float
        Maximum seconds between two events of a stream that is on time.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[PoolShare, ...]
    streaming: bool
    retry_mode: RetryMode
    timeout: float
    objective: float
    rank: int
    max_attempts: int
    public: bool
    max_pause: float = 1.0

    def choose_pool(self) -> str:
        """Return a pool for a request, drawn at random by weight."""
        if len(self.shares) == 1:
            return self.shares[0].pool
        weights = [share.weight for share in self.shares]
        return random.choices(self.shares, weights)[0].pool


@dataclass(frozen=True, slots=True)
class Quota:
    """A customer's limit on tokens.

    Parameters
    ----------
    rate : float
        Tokens per second, summed over all instances; 0 means unlimited.
    burst : float
        Additional tokens in any window.
    default_tokens : int
        Tokens charged for a request that declares no token count.
    """

    rate: float
    burst: float
    default_tokens: int


@dataclass(frozen=True, slots=True)
class CustomerRule:
    """A customer, its keys, rank (None: only the route's counts) and quota."""

    name: str
    keys: frozenset[str] = field(repr=False)
    rank: int | None
    quota: Quota


@dataclass(frozen=True, slots=True)
class PoolRule:
    """Properties of a pool.

    Parameters
    ----------
    name : str
        Name of the pool.
    is_engine : bool
        Whether its targets are model engines.
    tokens_per_event : int
        Tokens per event of its streams.
    max_connections : int
        Connections that a target accepts from all instances together.
    memory_tokens : int
        Tokens that the memory of each target holds; 0 if not known.
    """

    name: str
    is_engine: bool
    tokens_per_event: int
    max_connections: int
    memory_tokens: int = 0


@dataclass(frozen=True)
class RoutingTable:
    """One version of the configuration.

    Parameters
    ----------
    version : int
        Increases with each change.
    routes : tuple of ForwardRoute
        All routes.
    customers : tuple of CustomerRule
        All customers.
    pools : tuple of PoolRule
        All pools.
    limits : IngressLimits
        Limits on callers' requests.
    document : bytes
        The source document, which is sent to peers on request.
    """

    version: int
    routes: tuple[ForwardRoute, ...]
    customers: tuple[CustomerRule, ...]
    pools: tuple[PoolRule, ...]
    limits: IngressLimits
    document: bytes = field(default=b"", repr=False)

    @cached_property
    def _by_host(self) -> dict[str, list[ForwardRoute]]:
        table: dict[str, list[ForwardRoute]] = {}
        for route in sorted(self.routes, key=lambda route: -len(route.prefix)):
            table.setdefault(route.host, []).append(route)
        return table

    @cached_property
    def _by_key(self) -> dict[str, CustomerRule]:
        return {key: rule for rule in self.customers for key in rule.keys}

    @property
    def needs_keys(self) -> bool:
        """Whether requests have to carry a customer's key."""
        return bool(self.customers)

    def route(self, host: str, path: str) -> ForwardRoute | None:
        """Return the route with the longest matching prefix, None if none matches."""
        routes = self._by_host.get(host, ())
        return next((route for route in routes if path.startswith(route.prefix)), None)

    def customer(self, key: str) -> CustomerRule | None:
        """Return the customer that owns a key, None if there is none."""
        return self._by_key.get(key)


@dataclass(frozen=True, slots=True)
class RateLimit:
    """The requests per second that a target accepts, or bears to reject, in all.

    Instances hear changes in responses, and tell each other. A value that was heard in
    response to a request replaces the one that was known when the request was sent.
    Versions count these replacements, so merging gives the same result in any order.

    Parameters
    ----------
    per_second : float or None
        Requests per second; None if there is no limit.
    version : int
        Number of changes so far; 0 if the target has never announced a limit.
    """

    per_second: float | None = None
    version: int = 0

    def merge(self, other: "RateLimit") -> "RateLimit":
        """Return the newer one; of two that replaced the same one, the lower one."""
        return max(self, other, key=lambda limit: (limit.version, -limit._upper_bound))

    @property
    def _upper_bound(self) -> float:
        return math.inf if self.per_second is None else self.per_second


@dataclass(frozen=True, slots=True)
class DiscoveredTarget:
    """One incarnation of a target, as it registered itself.

    Parameters
    ----------
    id : str
        Id that the target registered; a restarted target may reuse it.
    pool, address, data_centre : str
        Pool that it serves, IP address and port, and location.
    slots : int
        Maximum number of concurrent requests.
    leaving : bool
        Whether it accepts no new work.
    revision : int
        The store's revision of this state.
    incarnation : int
        Unix time of its start in milliseconds; 0 if its entry does not say.
    version : str
        Software version.
    rate_limit : RateLimit
        The limit that it announced in responses.
    rejection_limit : RateLimit
        The rejections that it bears, announced in the same way.
    """

    id: str
    pool: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    revision: int
    incarnation: int = 0
    version: str = ""
    rate_limit: RateLimit = RateLimit()
    rejection_limit: RateLimit = RateLimit()

    def merge_announced(self, other: "DiscoveredTarget") -> "DiscoveredTarget":
        """Return this target with what another state of its incarnation announced."""
        leaving = self.leaving or other.leaving
        rate_limit = self.rate_limit.merge(other.rate_limit)
        rejection_limit = self.rejection_limit.merge(other.rejection_limit)
        merged = (leaving, rate_limit, rejection_limit)
        if merged == (self.leaving, self.rate_limit, self.rejection_limit):
            return self
        return replace(
            self,
            leaving=leaving,
            rate_limit=rate_limit,
            rejection_limit=rejection_limit,
        )

    @property
    def has_announced(self) -> bool:
        """Whether it announced anything in responses."""
        versions = self.rate_limit.version, self.rejection_limit.version
        return self.leaving or any(versions)

    @property
    def name(self) -> str:
        """Name that is unique to one incarnation.

        All instances key slots, speed, failures and connections by this name, so that
        no state of one incarnation applies to the next.
        """
        return f"{self.id}@{self.incarnation}" if self.incarnation else self.id
