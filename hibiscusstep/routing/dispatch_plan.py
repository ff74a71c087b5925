"""hibiscusstep.routing.dispatch_plan: pools and targets of slot dispatchers."""

from dataclasses import dataclass, field

from hibiscusstep.rollout.controller import PlannedRollout

__all__ = ["DispatchPlan", "PlannedPool", "PlannedTarget"]


@dataclass(frozen=True, slots=True)
class PlannedTarget:
    """A target that may be granted requests.

    Parameters
    ----------
    slots : int
        Number of requests that it serves at a time.
    leaving : bool
        Whether it accepts no new requests.
    data_centre, version : str
        Location, and version of its software.
    rate_limit : float or None
        Requests per second that it accepts from all dispatchers together; None if
        there is no limit.
    rejection_limit : float or None
        Requests per second of all dispatchers that it bears to reject; None if any.
    """

    slots: int
    leaving: bool = False
    data_centre: str = ""
    version: str = ""
    rate_limit: float | None = None
    rejection_limit: float | None = None


@dataclass(frozen=True, slots=True)
class PlannedPool:
    """A pool and its targets.

    Parameters
    ----------
    is_engine : bool
        Whether its targets are model engines.
    tokens_per_event : int
        Number of tokens in an event of its streams.
    max_pause : float
        Maximum seconds between two events of a stream that is in time.
    targets : dict of str to PlannedTarget
        Its targets by name.
    current_versions : frozenset of str
        Current versions, whose targets receive requests; empty if all targets do.
    rollout : PlannedRollout or None
        A rollout that moves its traffic to another version.
    rejected_version : str or None
        The version whose rollout was rolled back; None if there is none.
    stream_origins : frozenset of str
        Versions that may have begun the streams that callers resume now; empty if
        streams of this pool do not depend on the version.
    fair_shares : bool
        Whether its customers share each rank by weight.
    planned_returns : bool
        Whether its refusals name times at which there is room.
    customer_weights : dict of str to float
        Weights of the customers, relative to each other. A missing one has the mean of
        them, or 1 if there are none.
    memory_tokens : int
        Tokens that the memory of each target holds; 0 if not known.
    """

    is_engine: bool
    tokens_per_event: int = 1
    max_pause: float = 1.0
    targets: dict[str, PlannedTarget] = field(default_factory=dict)
    current_versions: frozenset[str] = frozenset()
    rollout: PlannedRollout | None = None
    rejected_version: str | None = None
    stream_origins: frozenset[str] = frozenset()
    fair_shares: bool = False
    planned_returns: bool = False
    customer_weights: dict[str, float] = field(default_factory=dict)
    memory_tokens: int = 0


@dataclass(frozen=True, slots=True)
class DispatchPlan:
    """Pools to dispatch, by name."""

    pools: dict[str, PlannedPool] = field(default_factory=dict)
