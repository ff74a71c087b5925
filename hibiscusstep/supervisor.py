"""hibiscusstep.supervisor: runs, restarts and stops a tree of tasks."""

import asyncio
import enum
import logging
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from hibiscusstep.errors import HibiscusstepError

__all__ = ["Child", "RestartPolicy", "Supervisor", "TooManyRestarts"]

_LOG = logging.getLogger(__name__)
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 5.0


class RestartPolicy(enum.Enum):
    """When a child is restarted after it ends."""

    PERMANENT = "always restart"
    TRANSIENT = "restart after a crash only"
    ESSENTIAL = "a crash stops the supervisor"


class TooManyRestarts(HibiscusstepError):
    """A child crashed more often than allowed, or an essential child crashed."""


@dataclass(frozen=True, slots=True)
class Child:
    """One task of a supervisor.

    Parameters
    ----------
    name : str
        Name in logs.
    run : callable returning an awaitable
        Body of the task; called for each (re)start.
    restart : RestartPolicy
        Whether the child is restarted after it ends.
    """

    name: str
    run: Callable[[], Awaitable[None]]
    restart: RestartPolicy = RestartPolicy.PERMANENT


class Supervisor:
    """Starts children in order, restarts them with backoff, stops them in reverse.

    Parameters
    ----------
    name : str
        Name in logs.
    children : sequence of Child
        Started in this order.
    max_restarts : int
        Maximum number of restarts of one child within `window_s`.
    window_s : float
        Seconds over which restarts are counted.
    """

    def __init__(
        self, name: str, children, *, max_restarts: int = 8, window_s: float = 30.0
    ) -> None:
        self._name = name
        self._children = list(children)
        self._max_restarts = max_restarts
        self._window_s = window_s
        self._restarts = 0

    @property
    def restarts(self) -> int:
        """Total number of restarts of children."""
        return self._restarts

    async def run(self) -> None:
        """Run all children until the supervisor fails or is cancelled.

        Raises
        ------
        TooManyRestarts
            If a child crashed too often, or an essential child crashed once.
        """
        tasks = [
            asyncio.create_task(self._run_with_restarts(child), name=child.name)
            for child in self._children
        ]
        try:
            # gather() would cancel all children at once, and the loop below would do so
            # again during their cleanup.
            done, _running = await asyncio.wait(
                tasks, return_when=asyncio.FIRST_EXCEPTION
            )
            for task in done:
                task.result()
        finally:
            for task in reversed(tasks):
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)

    async def _run_with_restarts(self, child: Child) -> None:
        crashes: deque[float] = deque()
        loop = asyncio.get_running_loop()
        while True:
            cause = await self._run_once(child)
            if cause is None and child.restart is not RestartPolicy.PERMANENT:
                return
            crashes.append(loop.time())
            while crashes and crashes[0] < loop.time() - self._window_s:
                crashes.popleft()
            self._check_restart_limit(child, cause, len(crashes))
            backoff = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** (len(crashes) - 1))
            await asyncio.sleep(backoff)
            self._restarts += 1

    async def _run_once(self, child: Child) -> Exception | None:
        try:
            await child.run()
        except Exception as cause:
            _LOG.exception("child crashed", extra={"child": child.name})
            return cause
        return None

    def _check_restart_limit(
        self, child: Child, cause: Exception | None, crashes: int
    ) -> None:
        fatal = child.restart is RestartPolicy.ESSENTIAL and cause is not None
        if fatal or crashes > self._max_restarts:
            raise TooManyRestarts(
                f"{child.name} ended {crashes} times, last: {cause!r}",
                step="supervise",
                peer=self._name,
            )
