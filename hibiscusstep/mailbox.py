"""hibiscusstep.mailbox: tasks that own their state and communicate by messages."""

import asyncio
import contextlib
from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import Any

from hibiscusstep.errors import HibiscusstepError

__all__ = ["Call", "MailboxFull", "Tick", "Worker"]

DEFAULT_CAPACITY = 20_000


class MailboxFull(HibiscusstepError):
    """The mailbox is at capacity; the message was not queued."""


@dataclass(slots=True, eq=False)
class Call:
    """A message that expects a reply.

    Parameters
    ----------
    body : object
        The typed request.
    answer : asyncio.Future
        Future that receives the reply.
    """

    body: Any
    answer: asyncio.Future = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )

    def reply(self, value: Any) -> None:
        """Set the reply, unless the caller was cancelled."""
        if not self.answer.done():
            self.answer.set_result(value)


@dataclass(frozen=True, slots=True)
class Tick:
    """Sent to a worker when its tick interval has passed."""


class Worker(ABC):
    """A task with a bounded mailbox; only this task accesses the worker's state.

    Parameters
    ----------
    name : str
        Name in the supervisor tree.
    capacity : int
        Maximum number of queued messages.
    tick_interval : float
        Seconds between `Tick` messages; 0 disables them.
    """

    def __init__(
        self,
        name: str,
        capacity: int = DEFAULT_CAPACITY,
        *,
        tick_interval: float = 0.0,
    ) -> None:
        self._name = name
        self._tick_interval = tick_interval
        self._next_tick: asyncio.TimerHandle | None = None
        self._mailbox: asyncio.Queue = asyncio.Queue(capacity)

    @property
    def name(self) -> str:
        """Name in the supervisor tree."""
        return self._name

    def tell(self, message: Any) -> None:
        """Queue a message without waiting.

        Raises
        ------
        MailboxFull
            If the mailbox is at capacity.
        """
        try:
            self._mailbox.put_nowait(message)
        except asyncio.QueueFull:
            raise MailboxFull("mailbox full", step="tell", peer=self._name) from None

    async def ask(self, body: Any) -> Any:
        """Queue a request and wait for its reply."""
        call = Call(body)
        self.tell(call)
        return await call.answer

    async def start(self) -> None:  # noqa: B027
        """Set up the state; called at each (re)start before the first message."""

    async def stop(self) -> None:  # noqa: B027
        """Release resources; called when the worker ends for any reason."""

    @abstractmethod
    async def handle(self, message: Any) -> None:
        """Process one message."""

    @property
    def tick_interval(self) -> float:
        """Seconds until the next `Tick`; idle workers may override it with more."""
        return self._tick_interval

    async def run(self) -> None:
        """Process messages until cancelled."""
        await self.start()
        if self._tick_interval:
            self._tick()
        try:
            while True:
                await self.handle(await self._mailbox.get())
        finally:
            if self._next_tick:
                self._next_tick.cancel()
            await self.stop()

    def _tick(self) -> None:
        # With a full mailbox the worker runs anyway, so the tick can be skipped.
        with contextlib.suppress(MailboxFull):
            self.tell(Tick())
        self._next_tick = None
        self._schedule_tick(self.tick_interval)

    def _schedule_tick(self, seconds: float) -> None:
        """Schedule the next tick in `seconds`, unless an earlier one is scheduled."""
        loop = asyncio.get_running_loop()
        due = loop.time() + seconds
        if self._next_tick:
            if self._next_tick.when() <= due:
                return
            self._next_tick.cancel()
        self._next_tick = loop.call_at(due, self._tick)
