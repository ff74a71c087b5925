"""hibiscusstep.forwarding.bounds: limits and settings of a forwarding instance."""

from dataclasses import dataclass, field

from hibiscusstep.membership.relays import MAX_MESH_SIZE
from hibiscusstep.rollout.budget import ExposureLimits
from hibiscusstep.routing.switches import ALL_ENABLED, Switches

__all__ = ["Bounds", "InstanceSettings"]


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits for all instances together, and timing parameters.

    Parameters
    ----------
    stop_grace : float
        Seconds from the stop signal until the process is killed.
    retry_share, retry_reserve, retry_window : float
        Retries allowed within a window (seconds): a share of the requests and a
        constant number on top.
    quota_window, quota_overage, quota_slack : float
        A customer's tokens in a window (seconds) may exceed its quota by a share (the
        overage) and a constant number of tokens (the slack).
    silence_limit : float
        Seconds within which a connection to the store that went silent is replaced.
    exposure : ExposureLimits
        Limits on the requests sent to a version that is not yet proven.
    orders_rollouts : bool
        Whether operators order rollouts: without an order, a further version of a
        pool's targets receives nothing.
    """

    stop_grace: float = 8.0
    retry_share: float = 0.2
    retry_reserve: float = 50.0
    retry_window: float = 10.0
    quota_window: float = 8.0
    quota_overage: float = 0.1
    quota_slack: float = 0.0
    silence_limit: float = 4.0
    exposure: ExposureLimits = field(default_factory=ExposureLimits)
    orders_rollouts: bool = False


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Settings of one forwarding instance, fixed at its start.

    Parameters
    ----------
    name, data_centre, region : str
        Name of the instance, its location, and the region whose instances cooperate.
    caller_address, operator_address, peer_address : str
        IP address and port for callers, for metrics, and for the other instances.
    peer_key : str
        Secret shared by all instances.
    seeds : tuple of str
        Peer addresses known at the start.
    heartbeat_interval, suspect_after : float
        Seconds between heartbeats, and seconds of silence until a peer is taken to be
        gone.
    memory_mb : float
        Memory in MB above which the process is killed; 0 if there is no limit.
    max_fds : int
        Descriptors of the process; 0 for those that the system allows.
    capacity : int
        Capacity for work, in hundredths of a core or as limited by the link.
    region_count : int
        Number of regions of the system; their instances do not know each other.
    is_first_start : bool
        Whether the whole system starts for the first time.
    max_mesh_size : int
        Up to this number, all instances of a region are connected to each other. In a
        larger region some are relays, and each other instance follows one of them.
    switches : Switches
        The enabled dispatcher mechanisms.
    log_style, log_level : str
        Form of the log ("auto", "human" or "json") and the lowest level written.
    """

    name: str
    data_centre: str
    region: str
    caller_address: str
    operator_address: str
    peer_address: str
    peer_key: str = field(repr=False)
    seeds: tuple[str, ...]
    heartbeat_interval: float
    suspect_after: float
    memory_mb: float = 0.0
    max_fds: int = 0
    capacity: int = 1
    region_count: int = 1
    is_first_start: bool = False
    max_mesh_size: int = MAX_MESH_SIZE
    switches: Switches = ALL_ENABLED
    log_style: str = "json"
    log_level: str = "INFO"
