"""hibiscusstep.forwarding.crashes: tells a target's crash from a lost connection."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from hibiscusstep.forwarding.connections import ConnectionPool
from hibiscusstep.forwarding.model import DiscoveredTarget
from hibiscusstep.log import decision

__all__ = ["BrokenRun", "CrashDetector"]

_LOG = logging.getLogger(__name__)
# What broke at a target belongs to the crash that was found there, for so long after.
REMEMBER_CRASH_S = 10.0


@dataclass(frozen=True, slots=True)
class BrokenRun:
    """A request whose connection ended before its answer did.

    Parameters
    ----------
    request : str
        The attempt's id, for the log.
    fingerprint : int
        What all attempts at the request share.
    began : float
        When it was sent there, on the loop's clock.
    early : bool
        Whether no event of its answer had come.
    """

    request: str
    fingerprint: int
    began: float
    early: bool


@dataclass(slots=True)
class _Case:
    """A target on which something broke: what, and whether it is known to be dead."""

    found_at: float = 0.0
    crashed: bool = False
    broken: list[BrokenRun] = field(default_factory=list)


class CrashDetector:
    """Connects once more where a connection ended: a dead process refuses.

    A reset, a time-out of the network and a cut end connections as well; then a new
    connection is made, or none is refused. One that was made is kept for the next
    request, so that asking costs nothing where the target lives.

    Parameters
    ----------
    connections : ConnectionPool
        Makes the connection.
    on_crash : callable of str, list of BrokenRun
        Gets the target's name and what broke there; again if more did.
    """

    def __init__(
        self,
        connections: ConnectionPool,
        on_crash: Callable[[str, list[BrokenRun]], None],
    ) -> None:
        self._connections = connections
        self._on_crash = on_crash
        self._cases: dict[str, _Case] = {}
        self._tasks: set[asyncio.Task] = set()

    def broke(self, target: DiscoveredTarget, run: BrokenRun) -> None:
        """Take note that a connection to a target ended under a request.

        Where a target is known to leave, what is left there ends with it.
        """
        if target.leaving:
            return
        case = self._cases.get(target.name)
        if case and case.crashed:
            self._on_crash(target.name, [run])
            return
        if case is None:
            now = asyncio.get_running_loop().time()
            case = self._cases[target.name] = _Case(now)
            task = asyncio.create_task(self._look_into(target, case))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        case.broken.append(run)

    async def _look_into(self, target: DiscoveredTarget, case: _Case) -> None:
        refused = await self._connections.is_refused(target.name, target.address)
        if not refused:
            del self._cases[target.name]
            return
        case.crashed = True
        decision(
            "target-crashed",
            target=target.name,
            address=target.address,
            requests=[run.request for run in case.broken],
        )
        self._on_crash(target.name, case.broken)
        case.broken = []

    def forget_old(self, now: float) -> None:
        """Forget the crashes of targets that nothing can break on any more."""
        self._cases = {
            name: case
            for name, case in self._cases.items()
            if not case.crashed or now - case.found_at < REMEMBER_CRASH_S
        }

    def close(self) -> None:
        """End what is being looked into."""
        for task in self._tasks:
            task.cancel()
