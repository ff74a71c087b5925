"""hibiscusstep.mailbox: a task that owns its state and is spoken to by messages."""

import asyncio
import contextlib
from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import Any

from hibiscusstep.errors import HibiscusstepError

__all__ = ["MailboxFull", "Question", "Tick", "Worker"]

DEFAULT_CAPACITY = 20_000


class MailboxFull(HibiscusstepError):
    """The worker has too many messages waiting; the message was not taken."""


@dataclass(slots=True, eq=False)
class Question:
    """A message that wants an answer.

    Parameters
    ----------
    body : object
        The typed message.
    answer : asyncio.Future
        Where the worker puts the answer.
    """

    body: Any
    answer: asyncio.Future = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )

    def reply(self, value: Any) -> None:
        """Give the answer, unless the asker has left."""
        if not self.answer.done():
            self.answer.set_result(value)


@dataclass(frozen=True, slots=True)
class Tick:
    """The worker's tick interval has passed."""


class Worker(ABC):
    """A task with a bounded mailbox. Only the task touches the worker's state.

    Parameters
    ----------
    name : str
        Name in the supervisor tree.
    capacity : int
        Messages that may wait.
    tick_interval : float
        Seconds between `Tick` messages; 0 is none.
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
        """Leave a message.

        Raises
        ------
        MailboxFull
            If too many wait.
        """
        try:
            self._mailbox.put_nowait(message)
        except asyncio.QueueFull:
            raise MailboxFull("mailbox full", step="tell", peer=self._name) from None

    async def ask(self, body: Any) -> Any:
        """Leave a message and wait for its answer."""
        question = Question(body)
        self.tell(question)
        return await question.answer

    async def start(self) -> None:  # noqa: B027
        """Set the state up; called at each (re)start before the first message."""

    async def stop(self) -> None:  # noqa: B027
        """Give back what the worker holds; called when it ends for any reason."""

    @abstractmethod
    async def handle(self, message: Any) -> None:
        """Take one message."""

    @property
    def tick_interval(self) -> float:
        """Seconds until the next `Tick`; a worker with less to do may take longer."""
        return self._tick_interval

    async def run(self) -> None:
        """Take messages until cancelled."""
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
        # Where too many messages wait, the worker is awake anyway.
        with contextlib.suppress(MailboxFull):
            self.tell(Tick())
        self._next_tick = None
        self._tick_in(self.tick_interval)

    def _tick_in(self, seconds: float) -> None:
        """Let the next tick come after so many seconds, or sooner if it is due."""
        loop = asyncio.get_running_loop()
        due = loop.time() + seconds
        if self._next_tick:
            if self._next_tick.when() <= due:
                return
            self._next_tick.cancel()
        self._next_tick = loop.call_at(due, self._tick)
