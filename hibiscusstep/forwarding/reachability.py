"""hibiscusstep.forwarding.reachability: number of instances that share a limit."""

from hibiscusstep.membership.tracker import UNREACHABLE_LIFETIME_S
from hibiscusstep.membership.view import View

__all__ = ["Reachability"]

# How long the number of instances reported at the start counts, in seconds. A peer's
# number counts for as long as any instance takes a silent one to be possibly alive; the
# store's counts for two quota windows only, because its list also names instances that
# have ended.
PEER_COUNT_LIFETIME_S = UNREACHABLE_LIFETIME_S
STORE_COUNT_LIFETIME_S = 16.0
# Time in which a new instance discovers all live and reachable peers.
DISCOVERY_S = 1.0


class Reachability:
    """Counts the reachable instances and those that may be alive but unreachable.

    An instance that started inside a network partition has never seen the other side.
    Without the numbers from peers and the store, two of six instances let a customer
    use 1.3 to 1.5 times its limit.

    Parameters
    ----------
    now : float
        Start of this instance, on the event loop's clock.
    """

    def __init__(self, now: float) -> None:
        self._started_at = now
        self._view = View()
        # Number of instances reported at the start, until when it counts, and whether
        # it came from a peer.
        self._reported_count = 0
        self._reported_until = 0.0
        self._reported_by_peer = False

    @property
    def alive_count(self) -> int:
        """Number of live instances, including this one."""
        return max(1, self._view.size)

    @property
    def is_mesh(self) -> bool:
        """Whether all live instances exchange messages directly, without relays."""
        return self._view.is_mesh

    @property
    def likely_size(self) -> int:
        """Number of live instances that share a limit.

        At a start, while no other instance is known, it is the number in the store.
        """
        size = self._view.size
        return max(1, size if size > 1 else self._view.expected_size)

    def unreachable_count(self, now: float) -> int:
        """Return how many unreachable instances may be alive and use their share."""
        if now - self._started_at < DISCOVERY_S or now >= self._reported_until:
            return self._view.unreachable
        return max(self._view.unreachable, self._reported_count - self._view.size)

    def sharing_count(self, now: float) -> int:
        """Return the number of instances that are or may be alive."""
        return self.likely_size + self.unreachable_count(now)

    def apply_view(self, view: View, now: float) -> None:
        """Apply a view and the number of instances in the store's list."""
        self._view = view
        if (
            not self._reported_by_peer
            and view.listed_count_at_startup > self._reported_count
        ):
            self._reported_count = view.listed_count_at_startup
            self._reported_until = now + STORE_COUNT_LIFETIME_S

    def apply_reported_count(self, instances: int, now: float) -> None:
        """Apply an older instance's count of instances that are or may be alive."""
        self._reported_by_peer = True
        self._reported_count = instances
        self._reported_until = now + PEER_COUNT_LIFETIME_S
