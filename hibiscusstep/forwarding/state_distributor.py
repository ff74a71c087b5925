"""hibiscusstep.forwarding.state_distributor: sends targets and tables to peers."""

import asyncio
import random
from collections.abc import Callable

from hibiscusstep.forwarding.model import DiscoveredTarget, RoutingTable
from hibiscusstep.forwarding.target_messages import to_target_state
from hibiscusstep.mailbox import Worker
from hibiscusstep.membership.view import Member, View
from hibiscusstep.peer import ConfigurationAsk, ConfigurationReply, TargetStates
from hibiscusstep.peerlink import Send
from hibiscusstep.store import Change

__all__ = ["StateDistributor"]

# Relays usually read a configuration from the store as early as their peers, so they
# wait before they request it.
REQUEST_DELAY_S = 0.15
# Interval at which an unanswered request for a configuration is repeated.
REQUEST_RETRY_S = 1.0
# Time in which lost messages about a new announcement are most likely.
RECENT_S = 10.0


class StateDistributor:
    """Sends targets and configurations to peers and requests newer configurations.

    Changes of targets are sent to the neighbours immediately. What targets announced
    in responses is not in the store, so it is also sent to members that appear, and
    repeatedly to a random neighbour in case a message was lost. A configuration is sent
    on request only; heartbeats carry its version.

    Parameters
    ----------
    incarnation, address, data_centre : str
        Incarnation, peer address and data centre of this instance.
    links : Worker
        Sends messages to peers.
    targets : dict of str to DiscoveredTarget
        All known targets by name; updated in place.
    revision : callable
        Returns the store revision of the targets; 0 if they are not known.
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
        self._requested_version = 0
        self._request_again_at = 0.0
        # When targets announced something new in responses, by name.
        self._announced_at: dict[str, float] = {}
        self.table: RoutingTable | None = None

    def apply_view(self, view: View) -> None:
        """Send targets to new members that may lack them; request a newer table."""
        before, self._view = self._view, view
        lacking = {member.incarnation for member in _may_lack_targets(before)}
        for member in _may_lack_targets(view):
            if member.incarnation not in {self._incarnation, *lacking}:
                self._send_all_targets(member.peer_address)
        # A member that was cut off may have missed announcements.
        present = {member.incarnation for member in before.members.values()}
        for member in view.members.values():
            if member.ready and member.incarnation not in {self._incarnation, *present}:
                self._send_announced(member.peer_address, self._announced_targets())
        delay = 0.0 if view.parent else REQUEST_DELAY_S
        asyncio.get_running_loop().call_later(delay, self.request_newer_table)

    def send_changes(self, changes: list[Change]) -> None:
        """Send changes of targets to the neighbours."""
        states = [to_target_state(change) for change in changes]
        if states:
            for address in self._view.neighbours(self._address):
                self._links.tell(Send(address, TargetStates(states)))

    def send_announced(self, targets: list[DiscoveredTarget]) -> None:
        """Send what targets newly announced in responses to the neighbours."""
        now = asyncio.get_running_loop().time()
        self._announced_at |= {target.name: now for target in targets}
        message = _announcement_of(targets)
        for address in self._view.neighbours(self._address):
            self._links.tell(Send(address, message))

    def resend_announced(self, *, only_recent: bool) -> None:
        """Send what targets announced to a random neighbour, in case it was lost.

        Lost messages are made up for within a few calls, at a cost that does not depend
        on the number of instances.

        Parameters
        ----------
        only_recent : bool
            Whether to leave out what was announced more than `RECENT_S` ago.
        """
        now = asyncio.get_running_loop().time()
        self._announced_at = {
            name: at for name, at in self._announced_at.items() if at > now - RECENT_S
        }
        targets = [
            target
            for target in self._announced_targets()
            if not only_recent or target.name in self._announced_at
        ]
        neighbours = self._view.neighbours(self._address)
        if targets and neighbours:
            self._send_announced(random.choice(neighbours), targets)

    def _announced_targets(self) -> list[DiscoveredTarget]:
        return [target for target in self._targets.values() if target.has_announced]

    def _send_announced(self, address: str, targets: list[DiscoveredTarget]) -> None:
        if targets:
            self._links.tell(Send(address, _announcement_of(targets)))

    def send_all_targets_to_followers(self) -> None:
        """Send all targets again: a broken connection may have lost a change."""
        for follower in self._view.followers.values():
            self._send_all_targets(follower.peer_address)

    def _send_all_targets(self, address: str) -> None:
        revision = self._revision()
        if revision:
            known = self._targets.values()
            states = [
                to_target_state(Change(item.id, item, revision)) for item in known
            ]
            self._links.tell(Send(address, TargetStates(states, revision)))

    def send_table(self, address: str) -> None:
        """Send the configuration to an instance that requested it."""
        if self.table is not None:
            reply = ConfigurationReply("", self.table.version, self.table.document)
            self._links.tell(Send(address, reply))

    def request_newer_table(self) -> None:
        """Request the configuration if another instance has a newer version."""
        newest = self._choose_source()
        if newest is None:
            return
        now = asyncio.get_running_loop().time()
        if newest.version == self._requested_version and now < self._request_again_at:
            return
        self._requested_version = newest.version
        self._request_again_at = now + REQUEST_RETRY_S
        self._links.tell(Send(newest.peer_address, ConfigurationAsk("")))

    def _choose_source(self) -> Member | None:
        """Return a member with the newest version: parent, then same data centre."""
        own = self.table.version if self.table else 0
        newer = [m for m in self._view.members.values() if m.version > own]
        if not newer:
            return None
        newest = max(member.version for member in newer)
        holders = [member for member in newer if member.version == newest]
        parents = [m for m in holders if m.peer_address == self._view.parent]
        local = [
            member for member in holders if member.data_centre == self._data_centre
        ]
        return random.choice(parents or local or holders)


def _announcement_of(targets: list[DiscoveredTarget]) -> TargetStates:
    """Return a message with what targets announced in responses."""
    states = [to_target_state(Change(item.id, item, item.revision)) for item in targets]
    return TargetStates(states, announced=True)


def _may_lack_targets(view: View) -> list[Member]:
    """Return the members that may not have read the targets from the store."""
    starting = [member for member in view.members.values() if not member.ready]
    return [*view.followers.values(), *starting]
