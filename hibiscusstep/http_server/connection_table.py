"""hibiscusstep.http_server.connection_table: which connections of a port are closed.

Decides by what each connection is doing and since when. It does no I/O and reads no
clock, so its rules can be tested alone.
"""

import enum
from collections import OrderedDict
from collections.abc import Hashable, Iterator

from hibiscusstep.http_server.limits import (
    HEADER_MARGIN_S,
    IDLE_MARGIN_S,
    IngressLimits,
)

__all__ = ["ConnectionTable", "Phase"]


class Phase(enum.IntEnum):
    """What a connection is doing, in the order in which connections make room.

    Of `NEW` and `HEAD` the oldest goes first, whichever it is in. One that is `AT_WORK`
    is never closed for another.
    """

    REFUSED = 0
    CLOSING = 1
    NEW = 2
    HEAD = 3
    IDLE = 4
    BODY = 5
    AT_WORK = 6


class ConnectionTable:
    """The connections of a port by phase, the oldest of each first.

    Parameters
    ----------
    linger : float
        Seconds for which a refused caller may read its response.
    work_timeout : float or None
        Seconds for which a request may be at work; None if requests end by themselves.
    """

    def __init__(self, linger: float, work_timeout: float | None = None) -> None:
        self._linger = linger
        self._work_timeout = float("inf") if work_timeout is None else work_timeout
        self._phases: dict[Hashable, Phase] = {}
        self._since: tuple[OrderedDict[Hashable, float], ...] = tuple(
            OrderedDict() for _ in Phase
        )

    def __len__(self) -> int:
        """Return the number of connections."""
        return len(self._phases)

    def set_phase(self, connection: Hashable, phase: Phase, now: float) -> None:
        """Record that a connection is in a phase; its time starts if that is new."""
        before = self._phases.get(connection)
        if before is phase:
            return
        if before is not None:
            del self._since[before][connection]
        self._phases[connection] = phase
        self._since[phase][connection] = now

    def remove(self, connection: Hashable) -> None:
        """Forget a connection."""
        phase = self._phases.pop(connection, None)
        if phase is not None:
            del self._since[phase][connection]

    def oldest(self, phase: Phase) -> Hashable | None:
        """Return the connection that is in a phase for longest, or None."""
        return next(iter(self._since[phase]), None)

    def choose_victim(self) -> Hashable | None:
        """Return the connection to close for a new one; None if all are at work."""
        without_head = [
            next(iter(self._since[phase].items()))
            for phase in (Phase.NEW, Phase.HEAD)
            if self._since[phase]
        ]
        return (
            self.oldest(Phase.REFUSED)
            or self.oldest(Phase.CLOSING)
            or min(without_head, key=lambda item: item[1], default=(None,))[0]
            or self.oldest(Phase.IDLE)
            or self.oldest(Phase.BODY)
        )

    def expired(
        self, now: float, limits: IngressLimits
    ) -> Iterator[tuple[Hashable, Phase]]:
        """Return the connections that have been in a phase for too long."""
        idle = limits.idle_timeout + IDLE_MARGIN_S
        allowed = {
            Phase.REFUSED: self._linger,
            Phase.CLOSING: idle,
            Phase.NEW: idle,
            Phase.HEAD: limits.header_timeout + HEADER_MARGIN_S,
            Phase.IDLE: idle,
            Phase.BODY: self._work_timeout,
            Phase.AT_WORK: self._work_timeout,
        }
        for phase, seconds in allowed.items():
            for connection, since in self._since[phase].items():
                if now - since < seconds:
                    break
                yield connection, phase
