"""hibiscusstep.membership.hierarchical: membership of a region with relays."""

import asyncio
from dataclasses import replace

from hibiscusstep.log import decision
from hibiscusstep.mailbox import Tick
from hibiscusstep.membership.mesh import (
    FULL_HEARTBEAT_TICKS,
    LIST_INTERVAL_S,
    LIST_RETRY_S,
    MeshMembership,
    heartbeat_of,
)
from hibiscusstep.membership.relays import MAX_MESH_SIZE, ParentSelector
from hibiscusstep.membership.sliding_maximum import SlidingMaximum
from hibiscusstep.membership.tracker import HeartbeatTracker
from hibiscusstep.membership.view import View
from hibiscusstep.peer import Beat, Heartbeat, Received, Relays
from hibiscusstep.peerlink import LinkLost, Send
from hibiscusstep.store import InstanceRecord

__all__ = ["HierarchicalMembership"]

# Instances that start together find each other's records only in the second or third
# reading of the list.
EARLY_LIST_INTERVALS_S = (0.7, 1.5, 3.0)
# A follower without a message from its parent for this time lets its members time out.
ISOLATED_AFTER_S = 3.0
# An instance that became a relay by being followed remains one for this time after its
# last follower left.
RELAY_WITHOUT_FOLLOWERS_S = 10.0
# Interval at which followers are sent the list of relays again.
RELAYS_MESSAGE_TICKS = 40
# A parent that is silent for this time may be lost; half of the timeout of peers.
PARENT_SILENT_AFTER_S = 0.6
# Reading the list takes some milliseconds; after this time, the seeds are contacted.
FIRST_LIST_TIMEOUT_S = 0.3
# A starting instance discovers the others gradually. For this time, it takes the size
# of the region from the platform's list: counting only the known instances, each of 195
# took all slots for a second after a restart of all.
STARTUP_S = 3.0
# Instances that were last seen within this time may be on the other side of a network
# partition; twice a quota's usual window.
SIZE_WINDOW_S = 16.0


class HierarchicalMembership(MeshMembership):
    """Membership with heartbeats among relays, and between a relay and its followers.

    A small region is a full mesh, as with `MeshMembership`: every instance is a relay.
    An instance contacts others after its first attempt to read the platform's list, or
    after `FIRST_LIST_TIMEOUT_S`.

    Parameters
    ----------
    settings, incarnation, links, platform, publish
        As for `MeshMembership`.
    capacity : int
        Capacity of this instance, as in `InstanceRecord`.
    mesh_size : int
        Up to this number of instances, all are relays.
    """

    def __init__(
        self,
        settings,
        incarnation,
        links,
        platform,
        publish,
        capacity: int = 1,
        mesh_size: int = MAX_MESH_SIZE,
    ) -> None:
        super().__init__(settings, incarnation, links, platform, publish)
        self._own = replace(self._own, capacity=capacity)
        self._follower_tracker = HeartbeatTracker(settings.name, settings.suspect_after)
        record = InstanceRecord(
            settings.name,
            settings.data_centre,
            settings.peer_address,
            capacity=capacity,
        )
        self._parent_selector = ParentSelector(
            record, settings.seeds, settings.suspect_after, mesh_size
        )
        self._region_size = 1
        self._lists_read = 0
        self._list_attempted = False
        self._started_at = asyncio.get_running_loop().time()
        self._relay_until = 0.0
        self._parent_message_at = 0.0
        self._recent_sizes = SlidingMaximum(SIZE_WINDOW_S)

    @property
    def is_relay(self) -> bool:
        """Whether this instance is a relay rather than a follower."""
        return self._own.relay

    @property
    def heard_at(self) -> float:
        """Time by which each neighbour was heard again; a follower hears its parent."""
        if not self._own.relay:
            return self._parent_message_at
        return min(self._tracker.heard_at, self._follower_tracker.heard_at)

    async def handle(self, message) -> None:
        """Handle `MeshMembership` messages and lists of relays from the parent."""
        now = asyncio.get_running_loop().time()
        match message:
            case Received(sender=sender, message=Relays() as relay_list):
                if sender == self._parent_selector.parent:
                    self._handle_relays(relay_list, now)
            case LinkLost(address=address, refused=True):
                self._follower_tracker.remove_refused(address, now)
                self._parent_selector.avoid(address, now)
                await super().handle(message)
            case Received(sender=sender):
                if sender == self._parent_selector.parent:
                    self._parent_selector.record_message(now)
                    self._parent_message_at = now
                await super().handle(message)
            case _:
                await super().handle(message)

    def _handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        if heartbeat.region != self._settings.region:
            return
        if heartbeat.leaving:
            self._parent_selector.avoid(heartbeat.peer_address, now)
        if heartbeat.relay:
            self._follower_tracker.remove(heartbeat.instance)
            super()._handle_heartbeat(heartbeat, now)
        else:
            self._tracker.remove(heartbeat.instance)
            self._handle_follower_heartbeat(heartbeat, now)

    def _handle_follower_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        self._mentioned_at.update(dict.fromkeys(heartbeat.known, now))
        # A follower that is greeted with each heartbeat answers each time with a full
        # heartbeat, which doubled the messages of a relay. A follower that becomes a
        # relay announces itself.
        self._mentioned_at.pop(heartbeat.peer_address, None)
        if heartbeat.parent != self._settings.peer_address:
            self._follower_tracker.remove(heartbeat.instance)
            return
        known = heartbeat.instance in self._follower_tracker.members
        new = self._follower_tracker.record_heartbeat(heartbeat, now) and not known
        self._relay_until = now + RELAY_WITHOUT_FOLLOWERS_S
        self._update_role(now)
        if new or heartbeat.greet:
            self._send_heartbeat(heartbeat.peer_address, with_known=False, greet=False)
            self._send_relays(heartbeat.peer_address)

    def _handle_beat(self, beat: Beat, now: float) -> bool:
        known = self._follower_tracker.record_beat(beat.incarnation, beat.version, now)
        return known or self._tracker.record_beat(beat.incarnation, beat.version, now)

    def _handle_relays(self, relay_list: Relays, now: float) -> None:
        """Replace the known relays by the parent's list."""
        self._parent_selector.record_message(now)
        self._region_size = relay_list.instances
        for heartbeat in relay_list.relays:
            self._tracker.record_report(heartbeat, now)
        relay_names = {heartbeat.instance for heartbeat in relay_list.relays}
        for name in self._tracker.members.keys() - relay_names:
            self._tracker.remove(name)
        self._publish_if_changed()

    def _update_role(self, now: float) -> None:
        """Become a relay or a follower by the list of instances and own followers."""
        if not self._list_attempted:
            return
        if not self._lists_read:
            # No list is available; the members known by heartbeats replace it.
            self._parent_selector.update_instances(
                self._member_records(), self._view.size
            )
        relay = self._parent_selector.is_relay or now < self._relay_until
        if self._follower_tracker.members:
            self._relay_until = now + RELAY_WITHOUT_FOLLOWERS_S
        if relay == self._own.relay:
            return
        decision(
            "relay-role", relay=relay, followers=len(self._follower_tracker.members)
        )
        self._own = replace(self._own, relay=relay)
        if relay:
            self._parent_selector.parent = ""
        else:
            # The parent is allowed the usual time for its first message.
            self._parent_message_at = now
        self._send_heartbeats()

    def _member_records(self) -> list[InstanceRecord]:
        return [
            InstanceRecord(m.name, m.data_centre, m.peer_address, capacity=m.capacity)
            for m in self._tracker.members.values()
        ]

    def _handle_tick(self, now: float) -> None:
        self._follower_tracker.remove_unreachable(now)
        self._update_role(now)
        count = len(self._follower_tracker.members)
        if count != self._own.followers:
            self._own = replace(self._own, followers=count)
            # The other relays need the number of followers for the region's size.
            super()._send_heartbeats()
        if self._own.relay:
            self._tracker.remove_unreachable(now)
            self._send_beats()
            self._send_beats_to_followers()
        else:
            self._contact_parent(now)

    def _send_beats_to_followers(self) -> None:
        beat = Beat(self._own.incarnation, self._own.version)
        for follower in self._follower_tracker.members.values():
            self._links.tell(Send(follower.peer_address, beat))
            if self._tick_count % RELAYS_MESSAGE_TICKS == 0:
                self._send_relays(follower.peer_address)

    def _contact_parent(self, now: float) -> None:
        """Send a heartbeat to the parent, or select another one."""
        self._tick_count += 1
        before = self._parent_selector.parent
        parent = self._parent_selector.select_parent(now, self._tracker.members)
        if now - self._parent_message_at < ISOLATED_AFTER_S:
            self._tracker.restart_timeouts(now)
        self._tracker.remove_unreachable(now)
        if not parent:
            return
        if parent != before:
            decision("relay-followed", address=parent, before=before)
        if parent != self._view.parent:
            self._publish_if_changed()
        if parent != before or self._tick_count % FULL_HEARTBEAT_TICKS == 0:
            self._send_heartbeat(parent, with_known=False, greet=parent != before)
        else:
            beat = Beat(self._own.incarnation, self._own.version)
            self._links.tell(Send(parent, beat))

    def _send_relays(self, address: str) -> None:
        relays = [m for m in self._view.members.values() if m.relay]
        relay_list = Relays(
            [heartbeat_of(member) for member in relays], self._view.size
        )
        self._links.tell(Send(address, relay_list))

    def _contact_addresses(self) -> set[str]:
        if not self._list_attempted:
            elapsed = asyncio.get_running_loop().time() - self._started_at
            return (
                super()._contact_addresses()
                if elapsed > FIRST_LIST_TIMEOUT_S
                else set()
            )
        if not self._own.relay:
            return {self._parent_selector.parent} - {""}
        self._listed_addresses = self._parent_selector.relay_addresses
        contacts = super()._contact_addresses()
        if self._lists_read:
            contacts -= (
                set(self._settings.seeds)
                - self._listed_addresses
                - self._mentioned_at.keys()
            )
        return contacts

    def _send_heartbeats(self) -> None:
        super()._send_heartbeats()
        for follower in self._follower_tracker.members.values():
            self._send_heartbeat(follower.peer_address, with_known=False, greet=False)

    def _make_view(self) -> View:
        followers = self._follower_tracker.members
        relays = self._tracker.members
        parent = "" if self._own.relay else self._parent_selector.parent
        view = self._tracker.view(self._own, self._listed_names)
        if self._own.relay:
            others = sum(member.followers for member in relays.values())
        else:
            others = max(0, self._region_size - len(view.members)) if relays else 0
        view = replace(
            view,
            followers=followers,
            parent=parent,
            other_instances=others,
            receives_updates=self._own.relay or self._parent_responds(),
            role_known=self._list_attempted,
            listed_count_at_startup=self._listed_at_startup(),
        )
        is_hierarchical = bool(followers) or others > 0 or not self._own.relay
        return (
            replace(view, unreachable=self._count_missing(view.size))
            if is_hierarchical
            else view
        )

    def _listed_at_startup(self) -> int:
        age = asyncio.get_running_loop().time() - self._started_at
        return len(self._listed_names or ()) if age < STARTUP_S else 0

    def _parent_responds(self) -> bool:
        now = asyncio.get_running_loop().time()
        return now - self._parent_message_at < PARENT_SILENT_AFTER_S

    def _count_missing(self, size: int) -> int:
        """Return the number of instances that were seen recently and are not now."""
        maximum = self._recent_sizes.add(size, asyncio.get_running_loop().time())
        # An instance that changes its role may be counted twice for a short time.
        listed = len(self._listed_names or ()) or maximum
        return max(0, min(maximum, listed) - size)

    def _publish_if_changed(self) -> None:
        before = self._view
        super()._publish_if_changed()
        if self._own.relay and before.members != self._view.members:
            for follower in self._follower_tracker.members.values():
                self._send_relays(follower.peer_address)

    def _update_list(self, records: list[InstanceRecord]) -> None:
        super()._update_list(records)
        self._lists_read += 1
        self._parent_selector.update_instances(records)
        if not self._own.relay:
            self._parent_selector.drop_substitute_parent(self._tracker.members)

    def _list_interval(self, succeeded: bool) -> float:
        self._list_attempted = True
        # Update the role without waiting for the next tick.
        self.tell(Tick())
        if not succeeded:
            return LIST_RETRY_S
        if self._lists_read <= len(EARLY_LIST_INTERVALS_S):
            return EARLY_LIST_INTERVALS_S[self._lists_read - 1]
        return LIST_INTERVAL_S
