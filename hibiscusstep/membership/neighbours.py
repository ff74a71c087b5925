"""hibiscusstep.membership.neighbours: whom an instance tells its news."""

from collections.abc import Iterable

from hibiscusstep.mailbox import Worker
from hibiscusstep.membership.view import View
from hibiscusstep.peerlink import Send

__all__ = ["Neighbours"]


class Neighbours:
    """The instances that one speaks to, and which of them are new.

    Parameters
    ----------
    own : str
        Own peer address.
    links : Worker
        Sends to peers.
    """

    def __init__(self, own: str, links: Worker) -> None:
        self._own = own
        self._links = links
        # Incarnations by address: one that starts again knows nothing.
        self._incarnations: dict[str, str] = {}
        self._followers: frozenset[str] = frozenset()

    @property
    def addresses(self) -> list[str]:
        """Their peer addresses."""
        return list(self._incarnations)

    def take_view(self, view: View) -> list[str]:
        """Take a new view; return the peer addresses of those who are new."""
        before = self._incarnations
        known = (*view.members.values(), *view.followers.values())
        incarnations = {member.peer_address: member.incarnation for member in known}
        self._incarnations = {
            address: incarnations.get(address, "")
            for address in view.neighbours(self._own)
        }
        self._followers = frozenset(f.peer_address for f in view.followers.values())
        return [a for a, who in self._incarnations.items() if before.get(a) != who]

    def beyond(self, sender: str) -> list[str]:
        """Return the peer addresses of those that a sender does not tell itself."""
        is_follower = sender in self._followers
        heard_by = self._incarnations if is_follower else self._followers
        return [address for address in heard_by if address != sender]

    def tell(self, message: object, addresses: Iterable[str]) -> None:
        """Send a message to some of them."""
        for address in addresses:
            self._links.tell(Send(address, message))
