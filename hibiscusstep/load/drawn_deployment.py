"""hibiscusstep.load.drawn_deployment: random pools and loads for the pool emulator."""

from dataclasses import dataclass, replace

import numpy as np

__all__ = [
    "Burst",
    "CustomerFlood",
    "DrawnDeployment",
    "HostChanges",
    "InstanceLoss",
    "RequestKind",
    "TargetLimit",
    "draw_deployment",
]

# Ranges of the random draws; a draw is uniform, or log-uniform for ratios.
TARGETS = (4, 12)
SLOTS = (4, 12)
MAX_SLOWNESS = (1.0, 6.0)
STEP_S = (0.0015, 0.008)
PREFILL_RATE = (15_000.0, 120_000.0)
FIRST_TOKEN_S = (0.005, 0.05)
PREFILL_CHUNK_TOKENS = (512, 1024, 2048, 4096)
TOKENS_PER_EVENT = (4, 9)
KINDS = (2, 4)
PROMPT_TOKENS = (200.0, 8000.0)
OUTPUT_TOKENS = (15.0, 450.0)
OBJECTIVE_S = (0.3, 1.5)
DEADLINE_S = (3.0, 16.0)
SPREAD = (0.4, 1.4)
# Share of the targets' capacity that the load needs without bursts.
UTILIZATION = (0.4, 0.8)
BURSTS = (1, 2)
BURST_FACTOR = (1.5, 3.5)
BURST_S = (2.0, 5.0)
RUN_LENGTH_S = 24.0
# A customer sends this multiple of its usual rate, for so many seconds.
FLOOD_FACTOR = (3.0, 7.5)
FLOOD_S = (5.5, 11.0)
# Standard deviation of the logarithm of the customers' sizes: a few are large.
CUSTOMER_SPREAD = 0.8
# Hosts of changing pace.
SLOW_HOST_SHARE = (0.05, 0.3)
SLOW_HOST_FACTOR = (1.5, 4.0)
HOST_CHANGE_INTERVAL_S = (0.2, 5.0)


@dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request.

    Parameters
    ----------
    rank : int
        Priority; 0 is the highest.
    rate : float
        Requests per second without bursts.
    prompt, output : float
        Mean number of tokens.
    spread : float
        Standard deviation of the logarithm of both.
    objective, deadline : float
        Seconds until the first token and until the end of the answer are due.
    """

    rank: int
    rate: float
    prompt: float
    output: float
    spread: float
    objective: float
    deadline: float


@dataclass(frozen=True, slots=True)
class Burst:
    """Period in seconds in which the request rates are multiplied by a factor."""

    start: float
    end: float
    factor: float


@dataclass(frozen=True, slots=True)
class CustomerFlood:
    """Period in which a customer sends a multiple of its usual rate.

    Parameters
    ----------
    customer : int
        Number of the customer.
    start, end : float
        Seconds at which the period begins and ends.
    factor : float
        Its requests per second, relative to the usual rate.
    """

    customer: int
    start: float
    end: float
    factor: float


@dataclass(frozen=True, slots=True)
class InstanceLoss:
    """Permanent loss of a share of all instances at a moment, by a power failure."""

    at: float
    share: float


@dataclass(frozen=True, slots=True)
class TargetLimit:
    """Period in which a target's responses name a limit on its requests.

    Parameters
    ----------
    target : int
        Number of the target.
    start, end : float
        Seconds at which the period begins and ends.
    per_second : float
        Requests per second that the target accepts.
    """

    target: int
    start: float
    end: float
    per_second: float


@dataclass(frozen=True, slots=True)
class HostChanges:
    """How the pace of the targets' hosts changes; all targets tell it.

    Parameters
    ----------
    slow_share : float
        Share of the time in which a host is slow.
    factor : float
        Factor by which work takes longer on a slow host.
    interval : float
        Mean seconds between two draws of a host's state.
    """

    slow_share: float
    factor: float
    interval: float


@dataclass(frozen=True, slots=True)
class DrawnDeployment:
    """Pool, its callers and its failures.

    Parameters
    ----------
    slowness : tuple of float
        Slowdown factor of each target.
    slots : int
        Slots of each target.
    step, first_token : float
        Seconds per token, and before the first one, at slowness 1.
    prefill_rate : float
        Prompt tokens per second.
    prefill_chunk : int
        Prompt tokens per step (prefill chunk).
    tokens_per_event : int
        Tokens per event of a stream.
    max_pause : float
        Longest pause in seconds between two events of an answer in time.
    kinds : tuple of RequestKind
        Kinds of requests.
    bursts : tuple of Burst
        Periods with higher request rates.
    restart : float
        Second at which all instances restart; 0 for never.
    loss : InstanceLoss or None
        Loss of instances, if any.
    instances : int
        Number of instances; requests are spread evenly over them.
    standby_seconds : float
        Seconds after a restart in which each instance uses its standby dispatcher.
    limits : tuple of TargetLimit
        Limits that targets name.
    customers : tuple of float
        Usual share of the requests that each customer sends, also its weight.
    flood : CustomerFlood or None
        Period in which a customer sends far more, if any.
    plans_returns : bool
        Whether the pool's plan calls for planned returns.
    at_once_share : float
        Share of the callers that ignore Retry-After: they retry at once, three times as
        often as the others.
    due_from_return : bool
        Whether an answer to a returned caller is in time within one objective of its
        last attempt, instead of its first.
    host_changes : HostChanges or None
        How the hosts' pace changes; None for hosts without other work.
    """

    slowness: tuple[float, ...]
    slots: int
    step: float
    first_token: float
    prefill_rate: float
    prefill_chunk: int
    tokens_per_event: int
    max_pause: float
    kinds: tuple[RequestKind, ...]
    bursts: tuple[Burst, ...]
    restart: float
    loss: InstanceLoss | None = None
    instances: int = 20
    standby_seconds: float = 0.0
    limits: tuple[TargetLimit, ...] = ()
    customers: tuple[float, ...] = (1.0,)
    flood: CustomerFlood | None = None
    plans_returns: bool = False
    at_once_share: float = 0.0
    due_from_return: bool = False
    host_changes: HostChanges | None = None

    def limit_named_by(self, target: int, now: float) -> float | None:
        """Return the limit that a target's responses name; None if they name none."""
        named = (
            limit.per_second
            for limit in self.limits
            if limit.target == target and limit.start <= now < limit.end
        )
        return next(named, None)

    def rate(self, kind: RequestKind, now: float) -> float:
        """Return the requests per second of a kind at a moment."""
        factors = [b.factor for b in self.bursts if b.start <= now < b.end]
        return kind.rate * max(factors, default=1.0) * sum(self.customer_rates(now))

    def customer_rates(self, now: float) -> list[float]:
        """Return each customer's rate at a moment, relative to the usual total."""
        rates = list(self.customers)
        if self.flood and self.flood.start <= now < self.flood.end:
            rates[self.flood.customer] *= self.flood.factor
        return rates


def draw_deployment(
    seed: int, customers: int = 1, *, host_changes: bool = False
) -> DrawnDeployment:
    """Return the random deployment of a seed.

    Parameters
    ----------
    seed : int
        Seed of the draws.
    customers : int
        Number of customers; of several, one floods the pool. The rest of the deployment
        does not depend on their number.
    host_changes : bool
        Whether the pace of the targets' hosts changes. It is drawn last: all else is
        the same with and without it.
    """
    rng = np.random.default_rng(seed)

    def log_uniform(least: float, most: float) -> float:
        return float(np.exp(rng.uniform(np.log(least), np.log(most))))

    count = int(rng.integers(*TARGETS, endpoint=True))
    slowest = rng.uniform(*MAX_SLOWNESS)
    slowness = tuple(float(s) for s in np.exp(rng.uniform(0, np.log(slowest), count)))
    slots = int(rng.integers(*SLOTS, endpoint=True))
    step, rate = log_uniform(*STEP_S), log_uniform(*PREFILL_RATE)
    per_event = int(rng.integers(*TOKENS_PER_EVENT, endpoint=True))
    shapes = [
        _draw_kind(rng, log_uniform, rank)
        for rank in range(int(rng.integers(*KINDS, endpoint=True)))
    ]
    # Engine time that the requests of all kinds need per second, with full slots.
    taken = sum(k.rate * (k.prompt / rate + k.output * step / slots) for k in shapes)
    scale = rng.uniform(*UTILIZATION) * sum(1 / s for s in slowness) / taken
    kinds = tuple(
        RequestKind(
            k.rank,
            k.rate * scale,
            k.prompt,
            k.output,
            k.spread,
            k.objective,
            k.deadline,
        )
        for k in shapes
    )
    deployment = DrawnDeployment(
        slowness,
        slots,
        step,
        log_uniform(*FIRST_TOKEN_S),
        rate,
        int(rng.choice(PREFILL_CHUNK_TOKENS)),
        per_event,
        float(max(0.3, 2.5 * per_event * step * max(slowness))),
        kinds,
        tuple(
            _draw_burst(rng) for _ in range(int(rng.integers(*BURSTS, endpoint=True)))
        ),
        float(rng.choice([0.0, RUN_LENGTH_S / 2])),
    )
    if customers > 1:
        deployment = _with_customers(deployment, rng, customers)
    if not host_changes:
        return deployment
    changes = HostChanges(
        float(rng.uniform(*SLOW_HOST_SHARE)),
        log_uniform(*SLOW_HOST_FACTOR),
        log_uniform(*HOST_CHANGE_INTERVAL_S),
    )
    return replace(deployment, host_changes=changes)


def _with_customers(deployment: DrawnDeployment, rng, count: int) -> DrawnDeployment:
    sizes = rng.lognormal(0.0, CUSTOMER_SPREAD, count)
    shares = tuple(float(size) for size in sizes / sizes.sum())
    start = rng.uniform(2.0, RUN_LENGTH_S - FLOOD_S[1])
    flood = CustomerFlood(
        int(rng.choice(count, p=shares)),
        start,
        start + rng.uniform(*FLOOD_S),
        rng.uniform(*FLOOD_FACTOR),
    )
    return replace(deployment, customers=shares, flood=flood)


def _draw_kind(rng, log_uniform, rank: int) -> RequestKind:
    objective = log_uniform(*OBJECTIVE_S)
    return RequestKind(
        rank,
        log_uniform(1.0, 4.0),
        log_uniform(*PROMPT_TOKENS),
        log_uniform(*OUTPUT_TOKENS),
        rng.uniform(*SPREAD),
        objective,
        max(4 * objective, log_uniform(*DEADLINE_S)),
    )


def _draw_burst(rng) -> Burst:
    start = rng.uniform(2.0, RUN_LENGTH_S - 6.0)
    return Burst(start, start + rng.uniform(*BURST_S), rng.uniform(*BURST_FACTOR))
