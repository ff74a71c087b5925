"""hibiscusstep.membership.tracker: failure detection by heartbeats, without I/O."""

import math
from dataclasses import dataclass, replace

from hibiscusstep.membership.view import Member, View
from hibiscusstep.peer import Heartbeat

__all__ = ["HeartbeatTracker"]

UNREACHABLE_LIFETIME_S = 60.0


@dataclass(slots=True)
class _TrackedMember:
    """A member, the start of its timeout, and the time of its last message."""

    member: Member
    at: float
    heard_at: float


class HeartbeatTracker:
    """Failure detector: the live members by the time of their last heartbeat.

    Parameters
    ----------
    name : str
        Name of this instance; heartbeats with this name are ignored.
    suspect_after : float
        Seconds without a heartbeat after which a member is removed.
    """

    def __init__(self, name: str, suspect_after: float) -> None:
        self._name = name
        self._suspect_after = suspect_after
        self._tracked: dict[str, _TrackedMember] = {}
        # Time of removal of members without heartbeats, which may be alive.
        self._unreachable_since: dict[str, float] = {}
        self._name_by_incarnation: dict[str, str] = {}
        # Time until which messages of an incarnation are ignored, as it is dead.
        self._ignored_until: dict[str, float] = {}
        # Incarnations after which another one of the same instance was heard.
        self._superseded: set[str] = set()
        self._last_check_at: float | None = None

    def record_heartbeat(self, beat: Heartbeat, now: float) -> bool:
        """Record a heartbeat; return whether its sender is a member now.

        Heartbeats of earlier incarnations and late ones of dead instances are ignored.
        """
        tracked = self._tracked.get(beat.instance)
        if self._is_superseded(beat.incarnation, tracked, now):
            return False
        if not self.record_report(beat, now):
            return False
        self._superseded.discard(beat.incarnation)
        if tracked and tracked.member.incarnation != beat.incarnation:
            self._superseded.add(tracked.member.incarnation)
        return True

    def record_report(self, beat: Heartbeat, now: float) -> bool:
        """Record a heartbeat that a relay reports; return whether it is a member now.

        A report may be older than what was heard directly, so it does not show that
        another incarnation has ended.
        """
        if beat.instance == self._name or self._is_ignored(beat.incarnation, now):
            return False
        self._tracked[beat.instance] = _TrackedMember(
            Member.from_heartbeat(beat), now, now
        )
        self._name_by_incarnation[beat.incarnation] = beat.instance
        self._unreachable_since.pop(beat.instance, None)
        return True

    def _is_superseded(
        self, incarnation: str, tracked: _TrackedMember | None, now: float
    ) -> bool:
        """Return whether another incarnation was heard later, and is not silent.

        If that one is silent, its last message may have been late and the earlier one
        is alive.
        """
        if tracked is None or tracked.member.incarnation == incarnation:
            return False
        is_silent = now - tracked.at > self._suspect_after / 2
        return incarnation in self._superseded and not is_silent

    def _is_ignored(self, incarnation: str, now: float) -> bool:
        return now < self._ignored_until.get(incarnation, -math.inf)

    def record_beat(self, incarnation: str, version: int, now: float) -> bool:
        """Record a short heartbeat; return False if a full one must be requested.

        None is requested from senders that are members or are considered dead.
        """
        tracked = self._tracked.get(self._name_by_incarnation.get(incarnation, ""))
        if tracked is None or tracked.member.incarnation != incarnation:
            return self._is_ignored(incarnation, now) or self._is_superseded(
                incarnation, tracked, now
            )
        tracked.at = tracked.heard_at = now
        if version > tracked.member.version:
            tracked.member = replace(tracked.member, version=version)
        return True

    def remove(self, name: str) -> None:
        """Remove a member that ended or is no longer tracked here."""
        tracked = self._tracked.pop(name, None)
        if tracked:
            self._name_by_incarnation.pop(tracked.member.incarnation, None)
        self._unreachable_since.pop(name, None)

    def remove_refused(self, address: str, now: float) -> None:
        """Remove the member at a peer address that refused a connection as dead.

        A network partition may refuse connections too. Messages sent before the refusal
        arrive within `suspect_after`; later ones show that the member is alive.
        """
        for name, tracked in list(self._tracked.items()):
            if tracked.member.peer_address == address:
                until = now + self._suspect_after
                self._ignored_until[tracked.member.incarnation] = until
                self.remove(name)

    def restart_timeouts(self, now: float) -> None:
        """Restart the timeouts of all members: the relay that reports them is alive."""
        for tracked in self._tracked.values():
            tracked.at = now

    def remove_unreachable(self, now: float) -> None:
        """Remove the members without a heartbeat within `suspect_after`.

        A gap between two checks above half of that time means that this process was
        paused. Heartbeats may have been missed then, so all timeouts restart.
        """
        paused = (
            self._last_check_at is not None
            and now - self._last_check_at > self._suspect_after / 2
        )
        self._last_check_at = now
        if paused:
            self.restart_timeouts(now)
            return
        for name, tracked in list(self._tracked.items()):
            if now - tracked.at > self._suspect_after:
                self.remove(name)
                self._unreachable_since[name] = now
        for name, since in list(self._unreachable_since.items()):
            if now - since > UNREACHABLE_LIFETIME_S:
                del self._unreachable_since[name]

    @property
    def heard_at(self) -> float:
        """Time by which each member was heard again; infinite if there are none."""
        return min((t.heard_at for t in self._tracked.values()), default=math.inf)

    @property
    def members(self) -> dict[str, Member]:
        """The live members by name, without this instance."""
        return {name: tracked.member for name, tracked in self._tracked.items()}

    def view(self, own: Member, listed_names: set[str] | None = None) -> View:
        """Return the view of the live members and this instance.

        Parameters
        ----------
        own : Member
            This instance.
        listed_names : set of str or None
            Names on the platform's list, None if it is unavailable; an unreachable
            member that is not listed is dead and is not counted.
        """
        unreachable = set(self._unreachable_since) & (
            listed_names if listed_names is not None else set(self._unreachable_since)
        )
        return View({**self.members, own.name: own}, unreachable=len(unreachable))
