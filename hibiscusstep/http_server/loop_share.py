"""hibiscusstep.http_server.loop_share: bounds what a port parses in one step.

A body in chunks of one byte takes far more time than its size tells, and a crowd that
sends such bodies would leave no time for others. In each step of the event loop the
connections of a port parse up to a bound; the others take turns in the next steps.
Heads go before bodies.
"""

import asyncio
from abc import ABC, abstractmethod
from collections import deque

__all__ = ["LoopShare", "Parsing", "parsing_cost"]

# Costs are about the nanoseconds that parsing takes.
STEP_COST = 2_000_000
CALL_COST = 2_000
LINE_COST = 700


def parsing_cost(data: bytes, has_lines: bool) -> int:
    """Return the cost of parsing bytes; lines are those of a head or of chunks."""
    lines = data.count(b"\n") if has_lines else 0
    return CALL_COST + len(data) + LINE_COST * lines


class Parsing(ABC):
    """A connection that parses what it has received."""

    __slots__ = ()

    @abstractmethod
    def go_on(self) -> None:
        """Parse on: it is this connection's turn."""


class LoopShare:
    """The part of each step of the event loop that a port may parse in."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._left = STEP_COST
        self._is_scheduled = False
        self._heads: deque[Parsing] = deque()
        self._bodies: deque[Parsing] = deque()

    def allows(self, is_head: bool) -> bool:
        """Whether a head, or a piece of a body, may be parsed in this step."""
        return self._left > (-STEP_COST if is_head else 0)

    def spend(self, cost: int) -> None:
        """Count what is parsed."""
        self._left -= cost
        self._schedule()

    def wait(self, connection: Parsing, is_head: bool) -> None:
        """Let a connection go on in a later step."""
        (self._heads if is_head else self._bodies).append(connection)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._start_step)

    def _start_step(self) -> None:
        self._is_scheduled = False
        self._left = STEP_COST
        for waiting, is_head in ((self._heads, True), (self._bodies, False)):
            for _ in range(len(waiting)):
                if not self.allows(is_head):
                    break
                waiting.popleft().go_on()
        if self._heads or self._bodies:
            self._schedule()
