"""hibiscusstep.membership.worker: sends heartbeats and publishes the view."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from hibiscusstep.mailbox import Tick, Worker
from hibiscusstep.membership.tracker import Tracker
from hibiscusstep.membership.view import Member, View
from hibiscusstep.peer import Beat, Heartbeat, Received
from hibiscusstep.peerlink import LinkLost, Send
from hibiscusstep.store import InstanceRecord, Roster

if TYPE_CHECKING:
    from hibiscusstep.configuration.settings import Settings

__all__ = ["Membership", "OwnState", "ViewChanged", "heartbeat_of"]

_LOG = logging.getLogger(__name__)
LIST_INTERVAL_S = 30.0
LIST_RETRY_S = 2.0
FULL_EVERY = 60
FORGET_CONTACT_S = 60.0


@dataclass(frozen=True, slots=True)
class OwnState:
    """What one's own heartbeats tell from now on; None leaves a value as it is."""

    version: int | None = None
    ready: bool | None = None
    leaving: bool | None = None


@dataclass(frozen=True, slots=True)
class ViewChanged:
    """The live instances or what they tell of themselves changed."""

    view: View


class Membership(Worker):
    """Heartbeats to every member of the region.

    Parameters
    ----------
    settings : Settings
        Own name, data_centre, addresses, intervals.
    incarnation : str
        Own incarnation.
    links : Worker
        Sends to peers.
    platform : Roster
        Its lagging list seeds the membership.
    publish : callable of ViewChanged
        Gets each new view.
    """

    def __init__(
        self,
        settings: Settings,
        incarnation: str,
        links: Worker,
        platform: Roster,
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
        )
        self._tracker = Tracker(settings.name, settings.suspect_after)
        self._listed: set[str] = set()
        self._mentioned: dict[str, float] = {}
        self._platform_live: set[str] | None = None
        self._listing: asyncio.Task | None = None
        self._beats = 0
        self._view = View()

    async def start(self) -> None:
        """Begin to read the platform's list."""
        self._listing = asyncio.create_task(self._read_list())

    async def stop(self) -> None:
        """End reading the list."""
        self._listing.cancel()

    async def handle(self, message) -> None:
        """Take a tick, a heartbeat, a refused connection, or one's own state."""
        now = asyncio.get_running_loop().time()
        match message:
            case Tick():
                self._take_tick(now)
            case Received(message=Heartbeat() as beat):
                self._hear(beat, now)
            case Received(sender=sender, message=Beat() as beat):
                if not self._take_beat(beat, now):
                    self._tell_all_to(sender, with_known=False, greet=True)
                # What changes the view is told by whole heartbeats.
                return
            case OwnState():
                self._change_own(message)
            case LinkLost(address=address, refused=True):
                self._tracker.refused(address, now)
        self._publish_if_changed()

    def _take_tick(self, now: float) -> None:
        self._tracker.expire(now)
        self._send_beats()

    def _take_beat(self, beat: Beat, now: float) -> bool:
        """Take a sign of life; say whether its sender is known."""
        return self._tracker.beat(beat.incarnation, beat.version, now)

    def _change_own(self, state: OwnState) -> None:
        changes = {
            name: value
            for name in ("version", "ready", "leaving")
            if (value := getattr(state, name)) is not None
        }
        self._own = replace(self._own, **changes)
        self._send_all()

    def _hear(self, beat: Heartbeat, now: float) -> None:
        if beat.region != self._settings.region:
            return
        member = self._tracker.heard(beat, now)
        # One that is not taken for a member would answer without end.
        new = member and beat.instance not in self._view.members
        self._mentioned.update(dict.fromkeys(beat.known, now))
        self._mentioned[beat.peer_address] = now
        if new or beat.greet:
            self._tell_all_to(beat.peer_address, with_known=new, greet=False)

    def _send_beats(self) -> None:
        """Send a sign of life to all, in full to those not known and now and then."""
        self._beats += 1
        members = {m.peer_address for m in self._view.members.values()}
        beat = Beat(self._own.incarnation, self._own.version)
        for number, address in enumerate(sorted(self._contacts())):
            if address == self._settings.peer_address:
                continue
            if address not in members:
                self._tell_all_to(address, with_known=False, greet=True)
            elif (self._beats + number) % FULL_EVERY == 0:
                self._tell_all_to(address, with_known=True, greet=False)
            else:
                self._links.tell(Send(address, beat))

    def _send_all(self) -> None:
        for address in self._contacts() - {self._settings.peer_address}:
            self._tell_all_to(address, with_known=False, greet=False)

    def _contacts(self) -> set[str]:
        horizon = asyncio.get_running_loop().time() - FORGET_CONTACT_S
        self._mentioned = {a: t for a, t in self._mentioned.items() if t > horizon}
        return self._listed | set(self._settings.seeds) | self._mentioned.keys()

    def _tell_all_to(self, address: str, with_known: bool, greet: bool) -> None:
        known = [m.peer_address for m in self._view.members.values()]
        beat = heartbeat_of(self._own, self._view.parent)
        beat.known = known if with_known else []
        beat.greet = greet
        self._links.tell(Send(address, beat))

    def _publish_if_changed(self) -> None:
        view = self._make_view()
        if view == self._view:
            return
        gone = self._view.members.keys() - view.members.keys()
        come = view.members.keys() - self._view.members.keys()
        if gone or come:
            _LOG.info(
                "members changed", extra={"come": sorted(come), "gone": sorted(gone)}
            )
        self._view = view
        self._publish(ViewChanged(view))

    def _make_view(self) -> View:
        return self._tracker.view(self._own, self._platform_live)

    async def _read_list(self) -> None:
        while True:
            listed = await self._platform.instances()
            if listed.is_ok():
                self._take_records([r for r in listed.unwrap() if not r.leaving])
            else:
                self._platform_live = None
            await asyncio.sleep(self._list_interval(listed.is_ok()))

    def _take_records(self, records: list[InstanceRecord]) -> None:
        self._platform_live = {record.name for record in records}
        self._listed = {record.peer_address for record in records}

    def _list_interval(self, succeeded: bool) -> float:
        return LIST_INTERVAL_S if succeeded else LIST_RETRY_S


def heartbeat_of(member: Member, parent: str = "") -> Heartbeat:
    """Return the message by which a member makes itself known."""
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
    )
