"""hibiscusstep.forwarding.spread: tells other instances what this one has learnt."""

import asyncio
import random
from collections.abc import Callable

from hibiscusstep.forwarding.model import DiscoveredTarget, RoutingTable
from hibiscusstep.forwarding.news import to_state
from hibiscusstep.mailbox import Worker
from hibiscusstep.membership.view import Member, View
from hibiscusstep.peer import ConfigurationAsk, ConfigurationReply, TargetStates
from hibiscusstep.peerlink import Send
from hibiscusstep.store import Change

__all__ = ["Spread"]

# A relay gets most configurations from the store as soon as its peers do.
ASK_AFTER_S = 0.15
# A configuration that was asked for and has not come is asked for again.
TABLE_RETRY_S = 1.0


class Spread:
    """Hands targets and configurations on, and asks for what others have newer.

    Changes of targets go to the neighbours at once. A configuration goes only to those
    that ask for it: its version is in the heartbeats.

    Parameters
    ----------
    incarnation, address, data_centre : str
        Own incarnation, peer address and place.
    links : Worker
        Sends to peers.
    targets : dict of str to DiscoveredTarget
        All known targets by name, as they change.
    revision : callable
        Returns the store's revision at which they are known; 0 if they are not.
    """

    def __init__(
        self,
        incarnation: str,
        address: str,
        data_centre: str,
        links: Worker,
        targets: dict[str, DiscoveredTarget],
        revision: Callable[[], int],
    ) -> None:
        self._incarnation = incarnation
        self._address = address
        self._data_centre = data_centre
        self._links = links
        self._targets = targets
        self._revision = revision
        self._view = View()
        self._asked = 0
        self._ask_again = 0.0
        self.table: RoutingTable | None = None

    def take_view(self, view: View) -> None:
        """Tell those who are new what they may lack, ask for what is newer."""
        known = {member.incarnation for member in _may_lack_targets(self._view)}
        self._view = view
        for member in _may_lack_targets(view):
            if member.incarnation not in {self._incarnation, *known}:
                self._tell_all_targets(member.peer_address)
        delay = 0.0 if view.parent else ASK_AFTER_S
        asyncio.get_running_loop().call_later(delay, self.ask_for_newer_table)

    def tell_changes(self, changes: list[Change]) -> None:
        """Tell the neighbours at once of targets that came, changed or left."""
        states = [to_state(change) for change in changes]
        if states:
            for address in self._view.neighbours(self._address):
                self._links.tell(Send(address, TargetStates(states)))

    def tell_followers_all_targets(self) -> None:
        """Tell all targets again: a broken connection may have lost a change."""
        for follower in self._view.followers.values():
            self._tell_all_targets(follower.peer_address)

    def _tell_all_targets(self, address: str) -> None:
        revision = self._revision()
        if revision:
            known = self._targets.values()
            states = [to_state(Change(item.id, item, revision)) for item in known]
            self._links.tell(Send(address, TargetStates(states, revision)))

    def hand_table_to(self, address: str) -> None:
        """Answer an instance that asked for the configuration."""
        if self.table is not None:
            reply = ConfigurationReply("", self.table.version, self.table.value)
            self._links.tell(Send(address, reply))

    def ask_for_newer_table(self) -> None:
        """Ask for the configuration where a newer version is in force."""
        newest = self._newest_elsewhere()
        if newest is None:
            return
        now = asyncio.get_running_loop().time()
        if newest.version == self._asked and now < self._ask_again:
            return
        self._asked = newest.version
        self._ask_again = now + TABLE_RETRY_S
        self._links.tell(Send(newest.peer_address, ConfigurationAsk("")))

    def _newest_elsewhere(self) -> Member | None:
        """Return who has the newest configuration; the parent, or else a near one."""
        own = self.table.version if self.table else 0
        newer = [m for m in self._view.members.values() if m.version > own]
        if not newer:
            return None
        newest = max(member.version for member in newer)
        having = [member for member in newer if member.version == newest]
        parents = [m for m in having if m.peer_address == self._view.parent]
        near = [member for member in having if member.data_centre == self._data_centre]
        return random.choice(parents or near or having)


def _may_lack_targets(view: View) -> list[Member]:
    """Return the instances that may have no targets from the store."""
    starting = [member for member in view.members.values() if not member.ready]
    return [*view.followers.values(), *starting]
