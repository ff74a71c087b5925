"""hibiscusstep.forwarding.reach: how many instances share a quota, seen and unseen."""

from hibiscusstep.membership.tracker import UNREACHABLE_LIFETIME_S
from hibiscusstep.membership.view import View

__all__ = ["Reach"]

# What an instance was told, at its start, of how many others may live out of its reach
# counts for so long: like others' own doubt where a living instance told it, for two
# windows where it only stands on the store's list, which also names some that are gone.
DOUBT_TOLD_S = UNREACHABLE_LIFETIME_S
DOUBT_LISTED_S = 16.0
# By then an instance has met the others that live and can be reached.
MEET_S = 1.0


class Reach:
    """Tells the instances in reach from those that may live out of it.

    One that started behind a cut has never seen those on its other side: without the
    word of others, two of six used 1.3 to 1.5 times a customer's limit.

    Parameters
    ----------
    now : float
        The start of this instance, on the loop's clock.
    """

    def __init__(self, now: float) -> None:
        self._began = now
        self._view = View()
        # How many may live, as heard at the start, until when it counts, and whether
        # an instance told it.
        self._may_live = 0
        self._doubt_until = 0.0
        self._told = False

    @property
    def alive(self) -> int:
        """Instances that live, this one among them."""
        return max(1, self._view.size)

    @property
    def is_mesh(self) -> bool:
        """Whether all live instances hear each other, without relays between them."""
        return self._view.is_mesh

    @property
    def likely_size(self) -> int:
        """Instances that share what is left; alone at a start, those on the list."""
        size = self._view.size
        return max(1, size if size > 1 else self._view.expected_size)

    def silent(self, now: float) -> int:
        """Return how many instances may live out of reach and use their part."""
        if now - self._began < MEET_S or now >= self._doubt_until:
            return self._view.unreachable
        return max(self._view.unreachable, self._may_live - self._view.size)

    def take_view(self, view: View, now: float) -> None:
        """Take a new view, and with it the number of instances on the list."""
        self._view = view
        if not self._told and view.listed_at_startup > self._may_live:
            self._may_live = view.listed_at_startup
            self._doubt_until = now + DOUBT_LISTED_S

    def take_told(self, instances: int, now: float) -> None:
        """Take the word of an older instance for how many live or may."""
        self._told = True
        self._may_live = instances
        self._doubt_until = now + DOUBT_TOLD_S
