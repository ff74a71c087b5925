"""hibiscusstep.membership.grouped: membership of a region too large for a mesh."""

import asyncio
from dataclasses import replace

from hibiscusstep.log import decision
from hibiscusstep.mailbox import Tick
from hibiscusstep.membership.recent_most import RecentMost
from hibiscusstep.membership.relays import MESH_SIZE, Attachment
from hibiscusstep.membership.tracker import Tracker
from hibiscusstep.membership.view import View
from hibiscusstep.membership.worker import (
    FULL_EVERY,
    LIST_INTERVAL_S,
    LIST_RETRY_S,
    Membership,
    heartbeat_of,
)
from hibiscusstep.peer import Beat, Heartbeat, Received, Relays
from hibiscusstep.peerlink import LinkLost, Send
from hibiscusstep.store import InstanceRecord

__all__ = ["GroupedMembership"]

# Instances that start together find each other's records only by the second or third
# look at the list.
EARLY_LISTS_S = (0.7, 1.5, 3.0)
# An instance that heard no relay for so long knows nothing of the others any more.
ISOLATED_S = 3.0
# One that has become a relay by being followed stays one for so long without followers.
STAY_RELAY_S = 10.0
# All relays are told to the followers again after so many heartbeats.
RELAYS_EVERY = 40
# A parent that is silent for so long may be lost; half of what a peer is given.
ATTACHED_S = 0.6
# The list takes some milliseconds; without it by then, the seeds are asked.
LOOK_PATIENCE_S = 0.3
# An instance that has just started hears of the others only bit by bit. For so long it
# takes the platform's list for their number: with its own size for that of the region,
# each of 195 took all slots for its own for a second after a restart of all.
NEW_S = 3.0
# Instances that were seen within this time and are not now may be in another part of
# a cut; twice a quota's usual window.
REMEMBER_SIZE_S = 16.0


class GroupedMembership(Membership):
    """Heartbeats among relays, and between a relay and its followers.

    A small region is a mesh, as with `Membership`: all its instances are relays. An
    instance speaks to others once it has looked, in vain or not, who there is.

    Parameters
    ----------
    settings, incarnation, links, platform, publish
        As for `Membership`.
    capacity : int
        Of this instance, as in `InstanceRecord`.
    mesh_size : int
        Up to so many instances, all are relays.
    """

    def __init__(
        self,
        settings,
        incarnation,
        links,
        platform,
        publish,
        capacity: int = 1,
        mesh_size: int = MESH_SIZE,
    ) -> None:
        super().__init__(settings, incarnation, links, platform, publish)
        self._own = replace(self._own, capacity=capacity)
        self._followers = Tracker(settings.name, settings.suspect_after)
        record = InstanceRecord(
            settings.name,
            settings.data_centre,
            settings.peer_address,
            capacity=capacity,
        )
        self._attachment = Attachment(
            record, settings.seeds, settings.suspect_after, mesh_size
        )
        self._instances = 1
        self._lists = 0
        self._looked = False
        self._began = asyncio.get_running_loop().time()
        self._relay_until = 0.0
        self._heard_parent_at = 0.0
        self._sizes = RecentMost(REMEMBER_SIZE_S)

    @property
    def is_relay(self) -> bool:
        """Whether it speaks to all relays rather than to one."""
        return self._own.relay

    async def handle(self, message) -> None:
        """Take what `Membership` takes, and a relay's news of the relays."""
        now = asyncio.get_running_loop().time()
        match message:
            case Received(sender=sender, message=Relays() as news):
                if sender == self._attachment.parent:
                    self._take_relays(news, now)
            case LinkLost(address=address, refused=True):
                self._followers.refused(address, now)
                self._attachment.refused(address, now)
                await super().handle(message)
            case Received(sender=sender):
                if sender == self._attachment.parent:
                    self._attachment.heard(now)
                    self._heard_parent_at = now
                await super().handle(message)
            case _:
                await super().handle(message)

    def _hear(self, beat: Heartbeat, now: float) -> None:
        if beat.region != self._settings.region:
            return
        if beat.leaving:
            self._attachment.refused(beat.peer_address, now)
        if beat.relay:
            self._followers.left(beat.instance)
            super()._hear(beat, now)
        else:
            self._tracker.left(beat.instance)
            self._hear_follower(beat, now)

    def _hear_follower(self, beat: Heartbeat, now: float) -> None:
        self._mentioned.update(dict.fromkeys(beat.known, now))
        # Greeted with each beat, it would answer each time with a whole heartbeat: that
        # doubled the messages of a relay. It speaks up when it becomes a relay.
        self._mentioned.pop(beat.peer_address, None)
        if beat.parent != self._settings.peer_address:
            self._followers.left(beat.instance)
            return
        known = beat.instance in self._followers.members
        new = self._followers.heard(beat, now) and not known
        self._relay_until = now + STAY_RELAY_S
        self._update_role(now)
        if new or beat.greet:
            self._tell_all_to(beat.peer_address, with_known=False, greet=False)
            self._tell_relays(beat.peer_address)

    def _take_beat(self, beat: Beat, now: float) -> bool:
        known = self._followers.beat(beat.incarnation, beat.version, now)
        return known or self._tracker.beat(beat.incarnation, beat.version, now)

    def _take_relays(self, news: Relays, now: float) -> None:
        """Take the parent's word for which relays live."""
        self._attachment.heard(now)
        self._instances = news.instances
        for beat in news.relays:
            self._tracker.heard(beat, now)
        named = {beat.instance for beat in news.relays}
        for name in self._tracker.members.keys() - named:
            self._tracker.left(name)
        self._publish_if_changed()

    def _update_role(self, now: float) -> None:
        """Become a relay or a follower as the list of instances and others want it."""
        if not self._looked:
            return
        if not self._lists:
            # No list is to be had; the heartbeats that were heard make one.
            self._attachment.learn(self._heard_records(), self._view.size)
        relay = self._attachment.is_relay or now < self._relay_until
        if self._followers.members:
            self._relay_until = now + STAY_RELAY_S
        if relay == self._own.relay:
            return
        decision("relay-role", relay=relay, followers=len(self._followers.members))
        self._own = replace(self._own, relay=relay)
        if relay:
            self._attachment.parent = ""
        else:
            # It is given as long as any relay to answer.
            self._heard_parent_at = now
        self._send_all()

    def _heard_records(self) -> list[InstanceRecord]:
        return [
            InstanceRecord(m.name, m.data_centre, m.peer_address, capacity=m.capacity)
            for m in self._tracker.members.values()
        ]

    def _take_tick(self, now: float) -> None:
        self._followers.expire(now)
        self._update_role(now)
        count = len(self._followers.members)
        if count != self._own.followers:
            self._own = replace(self._own, followers=count)
            # The other relays count all instances by it.
            super()._send_all()
        if self._own.relay:
            self._tracker.expire(now)
            self._send_beats()
            self._beat_followers()
        else:
            self._follow(now)

    def _beat_followers(self) -> None:
        beat = Beat(self._own.incarnation, self._own.version)
        for follower in self._followers.members.values():
            self._links.tell(Send(follower.peer_address, beat))
            if self._beats % RELAYS_EVERY == 0:
                self._tell_relays(follower.peer_address)

    def _follow(self, now: float) -> None:
        """Send a sign of life to the parent, or choose another one."""
        self._beats += 1
        before = self._attachment.parent
        parent = self._attachment.follow(now, self._tracker.members)
        if now - self._heard_parent_at < ISOLATED_S:
            self._tracker.refresh(now)
        self._tracker.expire(now)
        if not parent:
            return
        if parent != before:
            decision("relay-followed", address=parent, before=before)
        if parent != self._view.parent:
            self._publish_if_changed()
        if parent != before or self._beats % FULL_EVERY == 0:
            self._tell_all_to(parent, with_known=False, greet=parent != before)
        else:
            beat = Beat(self._own.incarnation, self._own.version)
            self._links.tell(Send(parent, beat))

    def _tell_relays(self, address: str) -> None:
        relays = [m for m in self._view.members.values() if m.relay]
        news = Relays([heartbeat_of(member) for member in relays], self._view.size)
        self._links.tell(Send(address, news))

    def _contacts(self) -> set[str]:
        if not self._looked:
            waited = asyncio.get_running_loop().time() - self._began
            return super()._contacts() if waited > LOOK_PATIENCE_S else set()
        if not self._own.relay:
            return {self._attachment.parent} - {""}
        self._listed = self._attachment.relay_addresses
        contacts = super()._contacts()
        if self._lists:
            contacts -= (
                set(self._settings.seeds) - self._listed - self._mentioned.keys()
            )
        return contacts

    def _send_all(self) -> None:
        super()._send_all()
        for follower in self._followers.members.values():
            self._tell_all_to(follower.peer_address, with_known=False, greet=False)

    def _make_view(self) -> View:
        followers = self._followers.members
        relays = self._tracker.members
        parent = "" if self._own.relay else self._attachment.parent
        view = self._tracker.view(self._own, self._platform_live)
        if self._own.relay:
            others = sum(member.followers for member in relays.values())
        else:
            others = max(0, self._instances - len(view.members)) if relays else 0
        view = replace(
            view,
            followers=followers,
            parent=parent,
            others=others,
            attached=self._own.relay or self._hears_parent(),
            settled=self._looked,
            listed=self._listed_if_new(),
        )
        grouped = bool(followers) or others > 0 or not self._own.relay
        return replace(view, silent=self._missing(view.size)) if grouped else view

    def _listed_if_new(self) -> int:
        age = asyncio.get_running_loop().time() - self._began
        return len(self._platform_live or ()) if age < NEW_S else 0

    def _hears_parent(self) -> bool:
        now = asyncio.get_running_loop().time()
        return now - self._heard_parent_at < ATTACHED_S

    def _missing(self, size: int) -> int:
        """Return how many instances were seen lately and are not now."""
        most = self._sizes.see(size, asyncio.get_running_loop().time())
        # An instance that changes its role may be counted twice for a moment.
        listed = len(self._platform_live or ()) or most
        return max(0, min(most, listed) - size)

    def _publish_if_changed(self) -> None:
        before = self._view
        super()._publish_if_changed()
        if self._own.relay and before.members != self._view.members:
            for follower in self._followers.members.values():
                self._tell_relays(follower.peer_address)

    def _take_records(self, records: list[InstanceRecord]) -> None:
        super()._take_records(records)
        self._lists += 1
        self._attachment.learn(records)
        if not self._own.relay:
            self._attachment.prefer(self._tracker.members)

    def _list_interval(self, succeeded: bool) -> float:
        self._looked = True
        # The role is taken at once.
        self.tell(Tick())
        if not succeeded:
            return LIST_RETRY_S
        if self._lists <= len(EARLY_LISTS_S):
            return EARLY_LISTS_S[self._lists - 1]
        return LIST_INTERVAL_S
