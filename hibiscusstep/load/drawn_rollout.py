"""hibiscusstep.load.drawn_rollout: pools, orders and versions drawn at random."""

import enum
from dataclasses import dataclass

import numpy as np

from hibiscusstep.routing.engine_model import STEP_S

__all__ = [
    "Badness",
    "Disturbance",
    "DrawnRollout",
    "Route",
    "draw_rollout",
]

SPEEDS = (0.55, 1.0, 2.8)
# A request takes longer by this part for each other one at its target.
CROWDING = 0.05
# When the order is given, in seconds.
ORDER_AT_S = 3.0
# Versions before and after.
OLD, NEW = "v1", "v2"


class Badness(enum.StrEnum):
    """How a version is bad."""

    NONE = "none"
    FAILS = "fails"
    SLOW = "slow"


@dataclass(frozen=True, slots=True)
class Route:
    """A kind of request: its part of all, mean seconds or tokens, spread, errors."""

    name: str
    weight: float
    size: float
    spread: float
    error_share: float


@dataclass(frozen=True, slots=True)
class Disturbance:
    """Something that happens to some targets, beside the version, for some seconds."""

    kind: str
    at: float
    seconds: float
    targets: frozenset[str]


@dataclass(frozen=True, slots=True)
class DrawnRollout:
    """A pool, an order, a version and what happens meanwhile.

    Parameters
    ----------
    engine : bool
        Whether the targets are model engines.
    old, new : tuple of float
        Slowness of the targets of each version.
    slots : int
        Of each target.
    rate : float
        Requests a second.
    routes : tuple of Route
        What is asked.
    duration : float
        Seconds from the order to its deadline.
    badness : Badness
        How the new version is bad.
    part, factor : float
        Part of its answers that are bad, and how many times slower they are.
    begins : float
        Seconds after the order from which on it is bad.
    under_load : bool
        Whether only a target that is nearly full is bad.
    route : str
        The only route that is bad; empty for all.
    cold_s, cold : float
        Seconds for which new targets are slower, and by which factor.
    instances : int
        Among which the requests are spread.
    alone : tuple of float
        Seconds in which a fifth of them dispatch for themselves; empty for none.
    kill_at : float
        When the pool's dispatcher is lost; 0 for never.
    store_down : tuple of float
        Seconds in which the store does not answer; empty for none.
    disturbances : tuple of Disturbance
        What happens to targets.
    """

    engine: bool
    old: tuple[float, ...]
    new: tuple[float, ...]
    slots: int
    rate: float
    routes: tuple[Route, ...]
    duration: float
    badness: Badness
    part: float
    factor: float
    begins: float
    under_load: bool
    route: str
    cold_s: float
    cold: float
    instances: int
    alone: tuple[float, ...]
    kill_at: float
    store_down: tuple[float, ...]
    disturbances: tuple[Disturbance, ...]


def draw_rollout(seed: int) -> DrawnRollout:
    """Return the roll-out of a seed."""
    draw = np.random.default_rng(seed)
    engine = bool(draw.random() < 0.6)
    count = int(round(np.exp(draw.uniform(np.log(2), np.log(70)))))
    old = tuple(float(s) for s in draw.choice(SPEEDS, count))
    new = tuple(
        float(s)
        for s in draw.choice(SPEEDS, max(1, round(count * draw.uniform(0.5, 1.2))))
    )
    slots = int(draw.integers(4, 10, endpoint=True))
    routes = tuple(
        Route(
            f"r{n}",
            float(draw.uniform(0.3, 1.0)),
            float(draw.uniform(40, 350) if engine else draw.uniform(0.03, 0.15)),
            float(draw.uniform(0.3, 1.0)),
            0.14 if n == 1 and draw.random() < 0.5 else float(draw.uniform(0, 0.01)),
        )
        for n in range(int(draw.integers(2, 4, endpoint=True)))
    )
    weights = sum(route.weight for route in routes)
    size = sum(route.weight * route.size for route in routes) / weights
    seconds = size * STEP_S + 0.03 if engine else size
    capacity = sum(slots / (s * seconds * (1 + CROWDING * slots)) for s in old)
    rate = float(np.clip(capacity * draw.uniform(0.3, 0.85), 5.0, 1000.0))
    duration = float(draw.choice([12.0, 20.0, 30.0, 45.0]))
    badness = Badness(draw.choice(["none", "fails", "slow"], p=[0.5, 0.25, 0.25]))
    onset = str(draw.choice(["at once", "later", "under load", "one route"]))
    kill_at = ORDER_AT_S + float(draw.uniform(0.1, 0.9)) * duration
    kill_at = kill_at if draw.random() < 0.3 else 0.0
    names = [f"{v}-{n}" for v, of in ((OLD, old), (NEW, new)) for n in range(len(of))]
    return DrawnRollout(
        engine, old, new, slots, rate, routes, duration, badness,
        float(draw.uniform(0.2, 0.8)), float(draw.uniform(4.0, 8.0)),
        float(draw.uniform(0.2, 0.6) * duration) if onset == "later" else 0.0,
        onset == "under load",
        str(draw.choice([r.name for r in routes])) if onset == "one route" else "",
        float(draw.uniform(0.0, 4.0)), float(draw.uniform(1.0, 2.0)),
        int(draw.integers(1, 64, endpoint=True)),
        _span(draw, duration, 0.3),
        kill_at,
        _span(draw, duration, 0.2),
        tuple(
            _disturbance(draw, names, duration)
            for _ in range(int(draw.integers(0, 3)))
        ),
    )  # fmt: skip


def _span(draw, duration: float, chance: float) -> tuple[float, ...]:
    if draw.random() >= chance:
        return ()
    began = ORDER_AT_S + draw.uniform(0.0, 0.8) * duration
    return float(began), float(began + draw.uniform(1.0, 5.0))


def _disturbance(draw, names: list[str], duration: float) -> Disturbance:
    share = draw.uniform(0.05, 0.2)
    hit = frozenset(name for name in names if draw.random() < share)
    at = ORDER_AT_S + draw.uniform(-1.0, 0.9) * duration
    kind = str(draw.choice(["crash", "grey", "slow"]))
    return Disturbance(kind, float(at), float(draw.uniform(1.0, 6.5)), hit)
