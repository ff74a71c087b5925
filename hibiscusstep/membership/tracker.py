"""hibiscusstep.membership.tracker: pure bookkeeping of heartbeats."""

import math
from dataclasses import dataclass, replace

from hibiscusstep.membership.view import Member, View
from hibiscusstep.peer import Heartbeat

__all__ = ["Tracker"]

FORGET_DOUBT_S = 60.0


@dataclass(slots=True)
class _Heard:
    member: Member
    at: float


class Tracker:
    """Knows who was heard when.

    Parameters
    ----------
    name : str
        Own name; heartbeats of it from others are void.
    suspect_after : float
        Seconds of silence after which a member is gone.
    """

    def __init__(self, name: str, suspect_after: float) -> None:
        self._name = name
        self._suspect_after = suspect_after
        self._heard: dict[str, _Heard] = {}
        self._gone: dict[str, float] = {}
        self._name_of: dict[str, str] = {}
        # Until when words of an incarnation are taken for those of the dead.
        self._dead_until: dict[str, float] = {}
        self._last_check: float | None = None

    def heard(self, beat: Heartbeat, now: float) -> bool:
        """Take a heartbeat; say whether its sender is a member now.

        One of an earlier incarnation is dropped, as are late words of the dead.
        """
        if beat.instance == self._name or self._is_dead(beat.incarnation, now):
            return False
        known = self._heard.get(beat.instance)
        if known and known.member.incarnation != beat.incarnation:
            self._dead_until[known.member.incarnation] = math.inf
        self._heard[beat.instance] = _Heard(Member.of(beat), now)
        self._name_of[beat.incarnation] = beat.instance
        self._gone.pop(beat.instance, None)
        return True

    def _is_dead(self, incarnation: str, now: float) -> bool:
        return now < self._dead_until.get(incarnation, -math.inf)

    def beat(self, incarnation: str, version: int, now: float) -> bool:
        """Take a sign of life; say whether its sender is known."""
        heard = self._heard.get(self._name_of.get(incarnation, ""))
        if heard is None or heard.member.incarnation != incarnation:
            return self._is_dead(incarnation, now)
        heard.at = now
        if version > heard.member.version:
            heard.member = replace(heard.member, version=version)
        return True

    def left(self, name: str) -> None:
        """Take note that a member has ended in good order."""
        heard = self._heard.pop(name, None)
        if heard:
            self._name_of.pop(heard.member.incarnation, None)
        self._gone.pop(name, None)

    def refused(self, address: str, now: float) -> None:
        """Take note that nothing listens at a member's peer address: it is dead.

        Some cuts refuse connections too. What it said before is over within the time
        of suspicion; what comes later says that it lives.
        """
        for name, heard in list(self._heard.items()):
            if heard.member.peer_address == address:
                until = now + self._suspect_after
                self._dead_until[heard.member.incarnation] = until
                self.left(name)

    def refresh(self, now: float) -> None:
        """Take all that are known as heard: who speaks for them lives."""
        for heard in self._heard.values():
            heard.at = now

    def expire(self, now: float) -> None:
        """Drop members that were silent too long.

        A gap between two checks longer than the bound means that this process was
        paused; then nobody was heard through no fault of theirs, and all start anew.
        """
        paused = (
            self._last_check is not None
            and now - self._last_check > self._suspect_after / 2
        )
        self._last_check = now
        if paused:
            self.refresh(now)
            return
        for name, heard in list(self._heard.items()):
            if now - heard.at > self._suspect_after:
                self.left(name)
                self._gone[name] = now
        for name, since in list(self._gone.items()):
            if now - since > FORGET_DOUBT_S:
                del self._gone[name]

    @property
    def members(self) -> dict[str, Member]:
        """The live members by name, without oneself."""
        return {name: heard.member for name, heard in self._heard.items()}

    def view(self, own: Member, platform_live: set[str] | None = None) -> View:
        """Return the live members with oneself.

        Parameters
        ----------
        own : Member
            Oneself.
        platform_live : set of str or None
            Names on the platform's list, None if it is out of reach; a silent
            member that is not on it is dead and no cause for doubt.
        """
        doubted = set(self._gone) & (
            platform_live if platform_live is not None else set(self._gone)
        )
        return View({**self.members, own.name: own}, silent=len(doubted))
