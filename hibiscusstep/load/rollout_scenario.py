"""hibiscusstep.load.rollout_scenario: randomly drawn scenarios of rollout orders."""

import enum
from dataclasses import dataclass

import numpy as np

from hibiscusstep.routing.engine_model import ENGINE_STEP_S

__all__ = [
    "Defect",
    "Disturbance",
    "RolloutScenario",
    "EmulatedRoute",
    "draw_scenario",
]

SLOWNESS_CHOICES = (0.55, 1.0, 2.8)
# Share by which each other request at a target slows a request down.
SLOWDOWN_PER_REQUEST = 0.05
# Emulated time at which the order is given.
ORDER_AT_S = 3.0
OLD_VERSION, NEW_VERSION = "v1", "v2"


class Defect(enum.StrEnum):
    """Defect of the new version."""

    NONE = "none"
    FAILS = "fails"
    SLOW = "slow"


@dataclass(frozen=True, slots=True)
class EmulatedRoute:
    """A kind of request.

    Parameters
    ----------
    name : str
        Name of the route.
    weight : float
        Relative frequency.
    size : float
        Mean answer tokens of an engine, or mean seconds of a plain service.
    spread : float
        Standard deviation of the logarithm of the size.
    error_share : float
        Share of requests that fail in any version.
    """

    name: str
    weight: float
    size: float
    spread: float
    error_share: float


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A temporary fault of some targets, independent of their version.

    Parameters
    ----------
    kind : str
        ``crash``, ``grey`` (a share of the requests fails) or ``slow``.
    at, seconds : float
        Start, in emulated time, and duration.
    targets : frozenset of str
        Names of the affected targets.
    """

    kind: str
    at: float
    seconds: float
    targets: frozenset[str]


@dataclass(frozen=True, slots=True)
class RolloutScenario:
    """A pool, a rollout order, its new version and the faults during it.

    Parameters
    ----------
    engine : bool
        Whether the targets are model engines.
    old, new : tuple of float
        Slowness of the targets of each version.
    slots : int
        Slots of each target.
    rate : float
        Requests per second.
    routes : tuple of EmulatedRoute
        Kinds of requests.
    duration : float
        Seconds from the order to its deadline.
    defect : Defect
        Defect of the new version.
    defect_share, slow_factor : float
        Share of its answers that are bad, and the factor by which they are slower.
    defect_after_s : float
        Seconds after the order at which the defect begins.
    under_load : bool
        Whether only targets that are nearly full are bad.
    defect_route : str
        The only bad route; empty for all.
    warm_up_s, warm_up_factor : float
        Seconds for which new targets are slower, and the factor.
    instances : int
        Number of instances that send the requests.
    partition : tuple of float
        Start and end of a partition in which a fifth of the instances use their
        standby dispatchers; empty for none.
    kill_at : float
        Time at which the pool's dispatcher is lost; 0 for never.
    store_down : tuple of float
        Start and end of an outage of the store; empty for none.
    disturbances : tuple of Disturbance
        Faults of targets.
    """

    engine: bool
    old: tuple[float, ...]
    new: tuple[float, ...]
    slots: int
    rate: float
    routes: tuple[EmulatedRoute, ...]
    duration: float
    defect: Defect
    defect_share: float
    slow_factor: float
    defect_after_s: float
    under_load: bool
    defect_route: str
    warm_up_s: float
    warm_up_factor: float
    instances: int
    partition: tuple[float, ...]
    kill_at: float
    store_down: tuple[float, ...]
    disturbances: tuple[Disturbance, ...]


def draw_scenario(seed: int) -> RolloutScenario:
    """Return the scenario of a seed."""
    rng = np.random.default_rng(seed)
    engine = bool(rng.random() < 0.6)
    count = int(round(np.exp(rng.uniform(np.log(2), np.log(70)))))
    old = tuple(float(s) for s in rng.choice(SLOWNESS_CHOICES, count))
    new = tuple(
        float(s)
        for s in rng.choice(
            SLOWNESS_CHOICES, max(1, round(count * rng.uniform(0.5, 1.2)))
        )
    )
    slots = int(rng.integers(4, 10, endpoint=True))
    routes = tuple(
        EmulatedRoute(
            f"r{n}",
            float(rng.uniform(0.3, 1.0)),
            float(rng.uniform(40, 350) if engine else rng.uniform(0.03, 0.15)),
            float(rng.uniform(0.3, 1.0)),
            0.14 if n == 1 and rng.random() < 0.5 else float(rng.uniform(0, 0.01)),
        )
        for n in range(int(rng.integers(2, 4, endpoint=True)))
    )
    weights = sum(route.weight for route in routes)
    size = sum(route.weight * route.size for route in routes) / weights
    seconds = size * ENGINE_STEP_S + 0.03 if engine else size
    capacity = sum(
        slots / (s * seconds * (1 + SLOWDOWN_PER_REQUEST * slots)) for s in old
    )
    rate = float(np.clip(capacity * rng.uniform(0.3, 0.85), 5.0, 1000.0))
    duration = float(rng.choice([12.0, 20.0, 30.0, 45.0]))
    defect = Defect(rng.choice(["none", "fails", "slow"], p=[0.5, 0.25, 0.25]))
    onset = str(rng.choice(["at once", "later", "under load", "one route"]))
    kill_at = ORDER_AT_S + float(rng.uniform(0.1, 0.9)) * duration
    kill_at = kill_at if rng.random() < 0.3 else 0.0
    names = [
        f"{v}-{n}"
        for v, of in ((OLD_VERSION, old), (NEW_VERSION, new))
        for n in range(len(of))
    ]
    return RolloutScenario(
        engine, old, new, slots, rate, routes, duration, defect,
        float(rng.uniform(0.2, 0.8)), float(rng.uniform(4.0, 8.0)),
        float(rng.uniform(0.2, 0.6) * duration) if onset == "later" else 0.0,
        onset == "under load",
        str(rng.choice([r.name for r in routes])) if onset == "one route" else "",
        float(rng.uniform(0.0, 4.0)), float(rng.uniform(1.0, 2.0)),
        int(rng.integers(1, 64, endpoint=True)),
        _draw_interval(rng, duration, 0.3),
        kill_at,
        _draw_interval(rng, duration, 0.2),
        tuple(
            _draw_disturbance(rng, names, duration)
            for _ in range(int(rng.integers(0, 3)))
        ),
    )  # fmt: skip


def _draw_interval(rng, duration: float, chance: float) -> tuple[float, ...]:
    if rng.random() >= chance:
        return ()
    began = ORDER_AT_S + rng.uniform(0.0, 0.8) * duration
    return float(began), float(began + rng.uniform(1.0, 5.0))


def _draw_disturbance(rng, names: list[str], duration: float) -> Disturbance:
    share = rng.uniform(0.05, 0.2)
    affected = frozenset(name for name in names if rng.random() < share)
    at = ORDER_AT_S + rng.uniform(-1.0, 0.9) * duration
    kind = str(rng.choice(["crash", "grey", "slow"]))
    return Disturbance(kind, float(at), float(rng.uniform(1.0, 6.5)), affected)
