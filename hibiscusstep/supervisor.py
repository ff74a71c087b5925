"""hibiscusstep.supervisor: the tree of tasks, restarted or brought down together."""

import asyncio
import enum
import logging
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from hibiscusstep.errors import HibiscusstepError

__all__ = ["Child", "Restart", "Supervisor", "TooManyRestarts"]

_LOG = logging.getLogger(__name__)
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 5.0


class Restart(enum.Enum):
    """What the end of a child means."""

    PERMANENT = "restart it whenever it ends"
    TRANSIENT = "restart it when it crashes; a normal end is an end"
    ESSENTIAL = "a crash takes the supervisor down"


class TooManyRestarts(HibiscusstepError):
    """A child crashed more often than the supervisor puts up with."""


@dataclass(frozen=True, slots=True)
class Child:
    """One task of a supervisor.

    Parameters
    ----------
    name : str
        Name in logs.
    run : callable returning an awaitable
        Starts the task anew.
    restart : Restart
        What its end means.
    """

    name: str
    run: Callable[[], Awaitable[None]]
    restart: Restart = Restart.PERMANENT


class Supervisor:
    """Runs children in order, restarts them with backoff, stops them in reverse.

    Parameters
    ----------
    name : str
        Name in logs.
    children : sequence of Child
        Started in this order.
    max_restarts : int
        Crashes of one child within `window_s` seconds that are put up with.
    window_s : float
        See `max_restarts`, in seconds.
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
        """How many times a child was restarted."""
        return self._restarts

    async def run(self) -> None:
        """Run all children until one brings the supervisor down or it is cancelled.

        Raises
        ------
        TooManyRestarts
            If a child crashed too often, or an essential one once.
        """
        tasks = [
            asyncio.create_task(self._keep(child), name=child.name)
            for child in self._children
        ]
        try:
            # Not gather: it would cancel all at once, and again below, in mid-cleanup.
            done, _running = await asyncio.wait(
                tasks, return_when=asyncio.FIRST_EXCEPTION
            )
            for task in done:
                task.result()
        finally:
            for task in reversed(tasks):
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)

    async def _keep(self, child: Child) -> None:
        crashes: deque[float] = deque()
        loop = asyncio.get_running_loop()
        while True:
            cause = await self._run_once(child)
            if cause is None and child.restart is not Restart.PERMANENT:
                return
            crashes.append(loop.time())
            while crashes and crashes[0] < loop.time() - self._window_s:
                crashes.popleft()
            self._judge(child, cause, len(crashes))
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

    def _judge(self, child: Child, cause: Exception | None, crashes: int) -> None:
        fatal = child.restart is Restart.ESSENTIAL and cause is not None
        if fatal or crashes > self._max_restarts:
            raise TooManyRestarts(
                f"{child.name} ended {crashes} times, last: {cause!r}",
                step="supervise",
                peer=self._name,
            )
