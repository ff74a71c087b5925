"""hibiscusstep.load.deployment: pools and loads drawn at random, for the emulator."""

from dataclasses import dataclass

import numpy as np

__all__ = [
    "Burst",
    "DrawnDeployment",
    "InstanceLoss",
    "RequestKind",
    "draw_deployment",
]

# Ranges from which a deployment is drawn, uniformly or, for ratios, by their logarithm.
TARGETS = (4, 12)
SLOTS = (4, 12)
SLOWEST = (1.0, 6.0)
STEP_S = (0.0015, 0.008)
PREFILL_RATE = (15_000.0, 120_000.0)
FIRST_TOKEN_S = (0.005, 0.05)
PART_TOKENS = (512, 1024, 2048, 4096)
TOKENS_PER_EVENT = (4, 9)
KINDS = (2, 4)
PROMPT_TOKENS = (200.0, 8000.0)
OUTPUT_TOKENS = (15.0, 450.0)
OBJECTIVE_S = (0.3, 1.5)
DEADLINE_S = (3.0, 16.0)
SPREAD = (0.4, 1.4)
# Share of the targets' time that the load takes, without bursts.
UTILIZATION = (0.4, 0.8)
BURSTS = (1, 2)
BURST_FACTOR = (1.5, 3.5)
BURST_S = (2.0, 5.0)
LENGTH_S = 24.0


@dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request.

    Parameters
    ----------
    rank : int
        0 the highest.
    rate : float
        Requests a second without bursts.
    prompt, output : float
        Mean tokens.
    spread : float
        Of the logarithm of both.
    objective, deadline : float
        Seconds to a first token in time, and to the end of the answer.
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
    """A stretch of time, in seconds, with so many times the usual requests."""

    start: float
    end: float
    factor: float


@dataclass(frozen=True, slots=True)
class InstanceLoss:
    """A part of all instances that loses its power at a moment, and stays away."""

    at: float
    share: float


@dataclass(frozen=True, slots=True)
class DrawnDeployment:
    """A pool, its callers and its troubles.

    Parameters
    ----------
    slowness : tuple of float
        Of each target.
    slots : int
        Of each target.
    step, first_token : float
        Seconds of a token, and before the first one, at slowness 1.
    prefill_rate : float
        Prompt tokens a second.
    part : int
        Prompt tokens of a step.
    tokens_per_event : int
        Of a stream.
    max_pause : float
        Seconds between two events of a stream in time.
    kinds : tuple of RequestKind
        What is asked.
    bursts : tuple of Burst
        When more is asked.
    restart : float
        When all instances are restarted; 0 for never.
    loss : InstanceLoss or None
        Which instances are lost, and when.
    instances : int
        Among which the requests are spread.
    alone : float
        Seconds after a restart in which each instance dispatches for itself.
    """

    slowness: tuple[float, ...]
    slots: int
    step: float
    first_token: float
    prefill_rate: float
    part: int
    tokens_per_event: int
    max_pause: float
    kinds: tuple[RequestKind, ...]
    bursts: tuple[Burst, ...]
    restart: float
    loss: InstanceLoss | None = None
    instances: int = 20
    alone: float = 0.0

    def rate(self, kind: RequestKind, now: float) -> float:
        """Return the requests a second of a kind at a moment."""
        factors = [b.factor for b in self.bursts if b.start <= now < b.end]
        return kind.rate * max(factors, default=1.0)


def draw_deployment(seed: int) -> DrawnDeployment:
    """Return the deployment of a seed."""
    draw = np.random.default_rng(seed)

    def ratio(least: float, most: float) -> float:
        return float(np.exp(draw.uniform(np.log(least), np.log(most))))

    count = int(draw.integers(*TARGETS, endpoint=True))
    slowest = draw.uniform(*SLOWEST)
    slowness = tuple(float(s) for s in np.exp(draw.uniform(0, np.log(slowest), count)))
    slots = int(draw.integers(*SLOTS, endpoint=True))
    step, rate = ratio(*STEP_S), ratio(*PREFILL_RATE)
    per_event = int(draw.integers(*TOKENS_PER_EVENT, endpoint=True))
    shapes = [
        _draw_kind(draw, ratio, rank)
        for rank in range(int(draw.integers(*KINDS, endpoint=True)))
    ]
    # What one request of each kind takes of an engine's time, its slots full.
    taken = sum(k.rate * (k.prompt / rate + k.output * step / slots) for k in shapes)
    scale = draw.uniform(*UTILIZATION) * sum(1 / s for s in slowness) / taken
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
    return DrawnDeployment(
        slowness,
        slots,
        step,
        ratio(*FIRST_TOKEN_S),
        rate,
        int(draw.choice(PART_TOKENS)),
        per_event,
        float(max(0.3, 2.5 * per_event * step * max(slowness))),
        kinds,
        tuple(
            _draw_burst(draw) for _ in range(int(draw.integers(*BURSTS, endpoint=True)))
        ),
        float(draw.choice([0.0, LENGTH_S / 2])),
    )


def _draw_kind(draw, ratio, rank: int) -> RequestKind:
    objective = ratio(*OBJECTIVE_S)
    return RequestKind(
        rank,
        ratio(1.0, 4.0),
        ratio(*PROMPT_TOKENS),
        ratio(*OUTPUT_TOKENS),
        draw.uniform(*SPREAD),
        objective,
        max(4 * objective, ratio(*DEADLINE_S)),
    )


def _draw_burst(draw) -> Burst:
    start = draw.uniform(2.0, LENGTH_S - 6.0)
    return Burst(start, start + draw.uniform(*BURST_S), draw.uniform(*BURST_FACTOR))
