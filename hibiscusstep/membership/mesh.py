"""hibiscusstep.membership.mesh: heartbeats of a full mesh and the resulting view."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from hibiscusstep.mailbox import Tick, Worker
from hibiscusstep.membership.tracker import HeartbeatTracker
from hibiscusstep.membership.view import Member, View
from hibiscusstep.peer import Beat, Heartbeat, Received
from hibiscusstep.peerlink import LinkLost, Send
from hibiscusstep.store import InstanceDirectory, InstanceRecord

if TYPE_CHECKING:
    from hibiscusstep.configuration.settings import Settings

__all__ = ["MeshMembership", "OwnStateChange", "ViewChanged", "heartbeat_of"]

_LOG = logging.getLogger(__name__)
LIST_INTERVAL_S = 30.0
LIST_RETRY_S = 2.0
FULL_HEARTBEAT_TICKS = 60
CONTACT_LIFETIME_S = 60.0


@dataclass(frozen=True, slots=True)
class OwnStateChange:
    """A change of the state sent in own heartbeats; None leaves a value unchanged."""

    version: int | None = None
    ready: bool | None = None
    leaving: bool | None = None
    accepts_tunnels: bool | None = None


@dataclass(frozen=True, slots=True)
class ViewChanged:
    """The live instances or their state changed."""

    view: View


class MeshMembership(Worker):
    """Membership of a region in which every instance sends heartbeats to all others.

    Parameters
    ----------
    settings : Settings
        Name, data centre, addresses and intervals of this instance.
    incarnation : str
        Incarnation of this instance.
    links : Worker
        Sends messages to peers.
    platform : InstanceDirectory
        Source of the instance list, which lags behind and seeds the membership.
    publish : callable of ViewChanged
        Called with each new view.
    """

    def __init__(
        self,
        settings: Settings,
        incarnation: str,
        links: Worker,
        platform: InstanceDirectory,
        publish: Callable[[ViewChanged], None],
    ) -> None:
        super().__init__("membership", tick_interval=settings.heartbeat_interval)
        self._settings = settings
        self._links = links
        self._platform = platform
        self._publish = publish
        self._own = Member(
            settings.name,
            incarnation,
            settings.data_centre,
            settings.region,
            settings.peer_address,
            settings.operator_address,
            0,
            False,
            False,
            receives_streams=True,
        )
        self._tracker = HeartbeatTracker(settings.name, settings.suspect_after)
        self._listed_addresses: set[str] = set()
        # Peer addresses named in heartbeats, with the time of the last one.
        self._mentioned_at: dict[str, float] = {}
        self._listed_names: set[str] | None = None
        self._list_reader: asyncio.Task | None = None
        self._tick_count = 0
        self._view = View()

    @property
    def heard_at(self) -> float:
        """Time by which each neighbour was heard again, on the event loop's clock.

        Infinite if there are none. What they sent before is known, but for messages
        that were lost with a connection.
        """
        return self._tracker.heard_at

    async def start(self) -> None:
        """Start the task that reads the platform's list."""
        self._list_reader = asyncio.create_task(self._poll_list())

    async def stop(self) -> None:
        """Cancel the task that reads the platform's list."""
        self._list_reader.cancel()

    async def handle(self, message) -> None:
        """Handle a tick, a heartbeat, a refused connection or a change of own state."""
        now = asyncio.get_running_loop().time()
        match message:
            case Tick():
                self._handle_tick(now)
            case Received(message=Heartbeat() as heartbeat):
                self._handle_heartbeat(heartbeat, now)
            case Received(sender=sender, message=Beat() as beat):
                if not self._handle_beat(beat, now):
                    self._send_heartbeat(sender, with_known=False, greet=True)
                # Changes of the view arrive in full heartbeats.
                return
            case OwnStateChange():
                self._update_own_state(message)
            case LinkLost(address=address, refused=True):
                self._tracker.remove_refused(address, now)
        self._publish_if_changed()

    def _handle_tick(self, now: float) -> None:
        self._tracker.remove_unreachable(now)
        self._send_beats()

    def _handle_beat(self, beat: Beat, now: float) -> bool:
        """Record a short heartbeat; return False if a full one must be requested."""
        return self._tracker.record_beat(beat.incarnation, beat.version, now)

    def _update_own_state(self, state: OwnStateChange) -> None:
        changes = {
            name: value
            for name in ("version", "ready", "leaving", "accepts_tunnels")
            if (value := getattr(state, name)) is not None
        }
        self._own = replace(self._own, **changes)
        self._send_heartbeats()

    def _handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        if heartbeat.region != self._settings.region:
            return
        member = self._tracker.record_heartbeat(heartbeat, now)
        # A sender that is not accepted as a member would answer each reply without end.
        new = member and heartbeat.instance not in self._view.members
        self._mentioned_at.update(dict.fromkeys(heartbeat.known, now))
        self._mentioned_at[heartbeat.peer_address] = now
        if new or heartbeat.greet:
            self._send_heartbeat(heartbeat.peer_address, with_known=new, greet=False)

    def _send_beats(self) -> None:
        """Send heartbeats to all contacts, full ones to non-members and at intervals.

        Those to non-members ask for a full heartbeat in return (`greet`).
        """
        self._tick_count += 1
        members = {m.peer_address for m in self._view.members.values()}
        beat = Beat(self._own.incarnation, self._own.version)
        for number, address in enumerate(sorted(self._contact_addresses())):
            if address == self._settings.peer_address:
                continue
            if address not in members:
                self._send_heartbeat(address, with_known=False, greet=True)
            elif (self._tick_count + number) % FULL_HEARTBEAT_TICKS == 0:
                self._send_heartbeat(address, with_known=True, greet=False)
            else:
                self._links.tell(Send(address, beat))

    def _send_heartbeats(self) -> None:
        for address in self._contact_addresses() - {self._settings.peer_address}:
            self._send_heartbeat(address, with_known=False, greet=False)

    def _contact_addresses(self) -> set[str]:
        oldest = asyncio.get_running_loop().time() - CONTACT_LIFETIME_S
        self._mentioned_at = {a: t for a, t in self._mentioned_at.items() if t > oldest}
        return (
            self._listed_addresses
            | set(self._settings.seeds)
            | self._mentioned_at.keys()
        )

    def _send_heartbeat(self, address: str, with_known: bool, greet: bool) -> None:
        known = [m.peer_address for m in self._view.members.values()]
        heartbeat = heartbeat_of(self._own, self._view.parent)
        heartbeat.known = known if with_known else []
        heartbeat.greet = greet
        self._links.tell(Send(address, heartbeat))

    def _publish_if_changed(self) -> None:
        view = self._make_view()
        if view == self._view:
            return
        left = self._view.members.keys() - view.members.keys()
        joined = view.members.keys() - self._view.members.keys()
        if left or joined:
            _LOG.info(
                "members changed", extra={"come": sorted(joined), "gone": sorted(left)}
            )
        self._view = view
        self._publish(ViewChanged(view))

    def _make_view(self) -> View:
        return self._tracker.view(self._own, self._listed_names)

    async def _poll_list(self) -> None:
        while True:
            listed = await self._platform.instances()
            if listed.is_ok():
                self._update_list([r for r in listed.unwrap() if not r.leaving])
            else:
                self._listed_names = None
            await asyncio.sleep(self._list_interval(listed.is_ok()))

    def _update_list(self, records: list[InstanceRecord]) -> None:
        self._listed_names = {record.name for record in records}
        self._listed_addresses = {record.peer_address for record in records}

    def _list_interval(self, succeeded: bool) -> float:
        return LIST_INTERVAL_S if succeeded else LIST_RETRY_S


def heartbeat_of(member: Member, parent: str = "") -> Heartbeat:
    """Return the full heartbeat of a member."""
    return Heartbeat(
        member.name,
        member.incarnation,
        member.data_centre,
        member.region,
        member.peer_address,
        member.operator_address,
        member.version,
        member.ready,
        member.leaving,
        [],
        False,
        member.relay,
        member.capacity,
        member.followers,
        parent,
        member.accepts_tunnels,
        member.receives_streams,
    )
