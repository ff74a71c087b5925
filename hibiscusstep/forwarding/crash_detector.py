"""hibiscusstep.forwarding.crash_detector: detects crashes of targets."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from hibiscusstep.forwarding.connections import ConnectionPool
from hibiscusstep.forwarding.model import DiscoveredTarget
from hibiscusstep.log import decision

__all__ = ["CrashDetector", "InterruptedAttempt"]

_LOG = logging.getLogger(__name__)
# Connections that break within this time of the first one belong to the same crash.
CRASH_MEMORY_S = 10.0


@dataclass(frozen=True, slots=True)
class InterruptedAttempt:
    """An attempt whose connection ended before its response was complete.

    Parameters
    ----------
    attempt_id : str
        ID of the attempt, for the log.
    fingerprint : int
        Fingerprint that all attempts of the request share.
    started_at : float
        When the request was sent to the target, on the event loop's clock.
    weight : float
        How much a crash counts against the request; see `suspects.crash_weight`.
    ended_at : float
        When the connection ended, on the event loop's clock.
    parts : tuple of int
        Fingerprints of the parts of the prompt on which the target may have crashed.
    """

    attempt_id: str
    fingerprint: int
    started_at: float
    weight: float
    ended_at: float = 0.0
    parts: tuple[int, ...] = ()


@dataclass(slots=True)
class _TargetCheck:
    """A target with interrupted attempts, and whether it is known to have crashed."""

    first_interruption_at: float = 0.0
    crashed: bool = False
    interrupted: list[InterruptedAttempt] = field(default_factory=list)


class CrashDetector:
    """Detects a target's crash by a refused connection.

    After a connection ends early, a new one is opened: the host of a dead process
    refuses it. After a reset, a network time-out or a partition the new connection
    succeeds or times out instead. A successful one is reused for the next request, so
    the check adds no connection while the target is alive.

    Parameters
    ----------
    connections : ConnectionPool
        Opens the connections.
    on_crash : callable of str, list of InterruptedAttempt
        Receives the target's name and its interrupted attempts; called again for later
        ones.
    """

    def __init__(
        self,
        connections: ConnectionPool,
        on_crash: Callable[[str, list[InterruptedAttempt]], None],
    ) -> None:
        self._connections = connections
        self._on_crash = on_crash
        self._checks: dict[str, _TargetCheck] = {}
        self._tasks: set[asyncio.Task] = set()

    def record_interruption(
        self, target: DiscoveredTarget, attempt: InterruptedAttempt
    ) -> None:
        """Record that a connection to a target ended before a complete response.

        A target that is known to leave is ignored: it ends its remaining connections.
        """
        if target.leaving:
            return
        check = self._checks.get(target.name)
        if check and check.crashed:
            self._on_crash(target.name, [attempt])
            return
        if check is None:
            now = asyncio.get_running_loop().time()
            check = self._checks[target.name] = _TargetCheck(now)
            task = asyncio.create_task(self._check_target(target, check))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        check.interrupted.append(attempt)

    async def _check_target(
        self, target: DiscoveredTarget, check: _TargetCheck
    ) -> None:
        refused = await self._connections.probe_refused(target.name, target.address)
        if not refused:
            del self._checks[target.name]
            return
        check.crashed = True
        decision(
            "target-crashed",
            target=target.name,
            address=target.address,
            requests=[attempt.attempt_id for attempt in check.interrupted],
        )
        self._on_crash(target.name, check.interrupted)
        check.interrupted = []

    def forget_old(self, now: float) -> None:
        """Forget crashes that are older than `CRASH_MEMORY_S`."""
        self._checks = {
            name: check
            for name, check in self._checks.items()
            if not check.crashed or now - check.first_interruption_at < CRASH_MEMORY_S
        }

    def close(self) -> None:
        """Cancel running checks."""
        for task in self._tasks:
            task.cancel()
