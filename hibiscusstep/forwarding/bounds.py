"""hibiscusstep.forwarding.bounds: what the place of operation sets."""

from dataclasses import dataclass, field

from hibiscusstep.membership.relays import MAX_MESH_SIZE
from hibiscusstep.rollout.budget import ExposureLimits
from hibiscusstep.routing.switches import ALL_ON, Switches

__all__ = ["Bounds", "InstanceSettings"]


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that hold for all instances together, and times.

    Parameters
    ----------
    stop_grace : float
        Seconds from the signal to stop until the process is killed.
    retry_share, retry_reserve, retry_window : float
        Repeats within a window (seconds): a share of the requests and some beside.
    quota_window, quota_overage, quota_slack : float
        A customer's tokens in a window (seconds) may exceed its quota by a share
        and by some tokens.
    exposure : ExposureLimits
        What a version may get that is not proved.
    """

    stop_grace: float = 8.0
    retry_share: float = 0.2
    retry_reserve: float = 50.0
    retry_window: float = 10.0
    quota_window: float = 8.0
    quota_overage: float = 0.1
    quota_slack: float = 0.0
    exposure: ExposureLimits = field(default_factory=ExposureLimits)


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """What one forwarding instance is told at its start.

    Parameters
    ----------
    name, data_centre, region : str
        The instance, where it runs, and the region whose instances work together.
    caller_address, operator_address, peer_address : str
        IP number and port for callers, for metrics, and for the other instances.
    peer_key : str
        Secret shared by the instances.
    seeds : tuple of str
        Peer addresses known from the start.
    heartbeat_interval, suspect_after : float
        Seconds between heartbeats, and of silence until a peer is gone.
    capacity : int
        As in `hibiscusstep.store.InstanceRecord`.
    mesh_size : int
        Up to so many instances all speak to all; beyond, over relays.
    switches : Switches
        Which mechanisms of the dispatchers are on.
    log_style, log_level : str
        As in the settings of an entry instance.
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
    capacity: int = 1
    mesh_size: int = MAX_MESH_SIZE
    switches: Switches = ALL_ON
    log_style: str = "json"
    log_level: str = "INFO"
