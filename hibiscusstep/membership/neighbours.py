"""hibiscusstep.membership.neighbours: the peers that an instance sends updates to."""

from collections.abc import Iterable

from hibiscusstep.mailbox import Worker
from hibiscusstep.membership.view import View
from hibiscusstep.peerlink import Send

__all__ = ["Neighbours"]


class Neighbours:
    """The peers that an instance sends updates to, and which of them are new.

    Parameters
    ----------
    own_address : str
        Peer address of this instance.
    links : Worker
        Sends messages to peers.
    """

    def __init__(self, own_address: str, links: Worker) -> None:
        self._own_address = own_address
        self._links = links
        # Incarnations by address: a restarted instance has no state and counts as new.
        self._incarnations: dict[str, str] = {}
        self._followers: frozenset[str] = frozenset()

    @property
    def addresses(self) -> list[str]:
        """Peer addresses of the neighbours."""
        return list(self._incarnations)

    def apply_view(self, view: View) -> list[str]:
        """Apply a view and return the peer addresses of the new neighbours."""
        before = self._incarnations
        known = (*view.members.values(), *view.followers.values())
        incarnations = {member.peer_address: member.incarnation for member in known}
        self._incarnations = {
            address: incarnations.get(address, "")
            for address in view.neighbours(self._own_address)
        }
        self._followers = frozenset(f.peer_address for f in view.followers.values())
        return [
            a for a, current in self._incarnations.items() if before.get(a) != current
        ]

    def forward_addresses(self, sender: str) -> list[str]:
        """Return the peer addresses that a sender's update must be forwarded to."""
        is_follower = sender in self._followers
        recipients = self._incarnations if is_follower else self._followers
        return [address for address in recipients if address != sender]

    def send(self, message: object, addresses: Iterable[str]) -> None:
        """Send a message to some of the neighbours."""
        for address in addresses:
            self._links.tell(Send(address, message))
