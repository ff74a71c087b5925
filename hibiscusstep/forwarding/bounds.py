"""hibiscusstep.forwarding.bounds: limits that the place of operation sets."""

from dataclasses import dataclass

__all__ = ["Bounds"]


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
    """

    stop_grace: float = 8.0
    retry_share: float = 0.2
    retry_reserve: float = 50.0
    retry_window: float = 10.0
    quota_window: float = 8.0
    quota_overage: float = 0.1
    quota_slack: float = 0.0
