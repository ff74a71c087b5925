"""hibiscusstep.forwarding.model: routes, customers and targets, checked."""

import enum
import random
from dataclasses import dataclass, field
from functools import cached_property

__all__ = [
    "CustomerRule",
    "DiscoveredTarget",
    "ForwardRoute",
    "IngressLimits",
    "PoolRule",
    "Quota",
    "Repeat",
    "RoutingTable",
    "Share",
]


class Repeat(enum.Enum):
    """What may be done again after a request was sent to a target."""

    NEVER = "it runs at most once"
    WHOLE = "it may run again from its beginning"
    RESUME = "it may run again and go on behind the last event that was passed on"


@dataclass(frozen=True, slots=True)
class Share:
    """A pool's share of a route's requests; `weight` is relative to the others."""

    pool: str
    weight: float


@dataclass(frozen=True, slots=True)
class ForwardRoute:
    """Where the requests of a host and path prefix go.

    Parameters
    ----------
    name, host, prefix : str
        The longest prefix of a host's routes wins.
    shares : tuple of Share
        Pools that serve it.
    streaming : bool
        Whether answers are server-sent events.
    repeat : Repeat
        What may be done again.
    timeout : float
        Seconds until the end of the answer at the latest.
    objective : float
        Seconds within which the answer (of a stream: its first event) is on time.
    rank : int
        Priority, 0 the highest.
    max_attempts : int
        Targets that one request may be sent to.
    public : bool
        Whether no key is needed.
    max_pause : float
        Seconds between two events of a stream that is on time, at the most.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[Share, ...]
    streaming: bool
    repeat: Repeat
    timeout: float
    objective: float
    rank: int
    max_attempts: int
    public: bool
    max_pause: float = 1.0

    def choose_pool(self) -> str:
        """Return the pool of the next request, drawn by weight."""
        if len(self.shares) == 1:
            return self.shares[0].pool
        weights = [share.weight for share in self.shares]
        return random.choices(self.shares, weights)[0].pool


@dataclass(frozen=True, slots=True)
class Quota:
    """Tokens that a customer may use.

    Parameters
    ----------
    rate : float
        Tokens a second, summed over all instances; 0 is no limit.
    burst : float
        Tokens beside them in any window.
    plain_tokens : int
        What a request without a token count is counted as.
    """

    rate: float
    burst: float
    plain_tokens: int


@dataclass(frozen=True, slots=True)
class CustomerRule:
    """A customer: name, rank (None leaves the route's) and quota."""

    name: str
    keys: frozenset[str] = field(repr=False)
    rank: int | None
    quota: Quota


@dataclass(frozen=True, slots=True)
class PoolRule:
    """A pool.

    Parameters
    ----------
    name : str
        The pool.
    engine : bool
        Whether its targets are model engines.
    tokens_per_event : int
        Tokens that an event of its streams holds.
    max_connections : int
        Connections that a target accepts from all instances together.
    """

    name: str
    engine: bool
    tokens_per_event: int
    max_connections: int


@dataclass(frozen=True, slots=True)
class IngressLimits:
    """What a caller may send, in bytes, and how long it may take, in seconds."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 << 20
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True)
class RoutingTable:
    """One version of the configuration.

    Parameters
    ----------
    version : int
        Grows with each change.
    routes, customers, pools : tuple
        See their classes.
    limits : IngressLimits
        For callers.
    value : bytes
        The document it was read from, to hand on to peers.
    """

    version: int
    routes: tuple[ForwardRoute, ...]
    customers: tuple[CustomerRule, ...]
    pools: tuple[PoolRule, ...]
    limits: IngressLimits
    value: bytes = field(default=b"", repr=False)

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
        """Return the route of the longest prefix, None if there is none."""
        routes = self._by_host.get(host, ())
        return next((route for route in routes if path.startswith(route.prefix)), None)

    def customer(self, key: str) -> CustomerRule | None:
        """Return the customer that holds a key."""
        return self._by_key.get(key)


@dataclass(frozen=True, slots=True)
class DiscoveredTarget:
    """One incarnation of a target, as it registered itself.

    Parameters
    ----------
    id : str
        The target's own, which a later incarnation may bear again.
    pool, address, data_centre : str
        What it serves, IP number and port, where it runs.
    slots : int
        Requests that it works on at once.
    leaving : bool
        Whether it takes no new work.
    revision : int
        The store's revision of this state.
    incarnation : int
        Unix millisecond of its start; 0 if it does not say.
    version : str
        Of its software.
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

    @property
    def name(self) -> str:
        """Unique to one incarnation.

        Slots, speed, failures and connections are kept by this name, here and at other
        instances, so what is known of one incarnation never counts for the next.
        """
        return f"{self.id}@{self.incarnation}" if self.incarnation else self.id
