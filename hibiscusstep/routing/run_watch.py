"""hibiscusstep.routing.run_watch: granted requests, and when each should have ended."""

import heapq
import itertools
from collections import OrderedDict, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from hibiscusstep.routing.messages import Lost

__all__ = ["LostRuns", "RunWatch", "Suspects"]

# An instance that lives answers within some milliseconds, on a busy half of a core in
# 0.2 s.
ANSWER_S = 0.5
# What an instance says that it still holds is asked for again after this: with the time
# for an answer, one that is lost then holds a slot for a second more at the most.
ASK_AGAIN_S = 0.5
# Checked every 0.05 s; after a gap of so much this process was paused itself, and the
# answers to what it asked may wait to be read.
PAUSED_S = 0.25
# An instance that was cut off for less than this may still tell that it holds what was
# taken for lost.
LOST_VALID_S = 6.0


@dataclass(slots=True)
class _Watched:
    """A granted request: its instance, and when it is looked at next."""

    instance: str
    at: float
    overdue: bool = False
    asked: bool = False


@dataclass(slots=True)
class Suspects:
    """What a check found.

    Parameters
    ----------
    instances : set of str
        To be asked what they still hold.
    lost : list of str
        Asks of requests that their instances were asked for in vain.
    """

    instances: set[str] = field(default_factory=set)
    lost: list[str] = field(default_factory=list)


class RunWatch:
    """Tells which granted requests are overdue, and which of those are lost.

    An instance that loses its power tells no end, and in a large region nobody else
    tells its death for seconds. Who holds a request past the time at which nearly all
    have ended is asked; who does not answer holds it no more, as far as its target is
    concerned, since the target has ended it by then. With 33 of 195 instances lost, a
    quarter of a pool's slots was held for requests that would never end, for 4.5 s.
    """

    def __init__(self) -> None:
        self._watched: dict[str, _Watched] = {}
        self._of: dict[str, set[str]] = defaultdict(set)
        self._next: list[tuple[float, int, str]] = []
        self._tickets = itertools.count()
        self._checked = 0.0

    @property
    def overdue(self) -> int:
        """How many are held past the time at which they should have ended."""
        return sum(watched.overdue for watched in self._watched.values())

    def asks_of(self, instance: str) -> set[str]:
        """Return the asks of the granted requests of an instance."""
        return set(self._of.get(instance, ()))

    def watch(self, ask: str, instance: str, ends: float) -> None:
        """Take note of a grant, and when the request should have ended."""
        self.forget(ask)
        self._watched[ask] = _Watched(instance, ends)
        self._of[instance].add(ask)
        self._look_at(ask, ends)

    def forget(self, ask: str) -> None:
        """Take note that a request has ended."""
        watched = self._watched.pop(ask, None)
        if watched is None:
            return
        held = self._of[watched.instance]
        held.discard(ask)
        if not held:
            del self._of[watched.instance]

    def confirm(self, asks: Iterable[str], now: float) -> None:
        """Take an instance's word for what it still holds."""
        for ask in asks:
            watched = self._watched.get(ask)
            if watched and watched.asked:
                watched.asked = False
                self._look_at(ask, now + ASK_AGAIN_S)

    def check(self, now: float) -> Suspects:
        """Return whom to ask, and what is lost; the caller forgets that."""
        paused = now - self._checked > PAUSED_S
        self._checked = now
        if paused:
            self._wait_again(now)
        suspects = Suspects()
        while self._next and self._next[0][0] <= now:
            at, _ticket, ask = heapq.heappop(self._next)
            watched = self._watched.get(ask)
            if watched is None or watched.at != at:
                continue
            if watched.asked:
                suspects.lost.append(ask)
                continue
            watched.overdue = watched.asked = True
            suspects.instances.add(watched.instance)
            self._look_at(ask, now + ANSWER_S)
        return suspects

    def _wait_again(self, now: float) -> None:
        """Give all that were asked their time once more."""
        for ask, watched in self._watched.items():
            if watched.asked:
                self._look_at(ask, now + ANSWER_S)

    def _look_at(self, ask: str, at: float) -> None:
        self._watched[ask].at = at
        heapq.heappush(self._next, (at, next(self._tickets), ask))


class LostRuns:
    """What was taken for lost lately, should its instance say that it holds it."""

    def __init__(self) -> None:
        self._lost: OrderedDict[str, tuple[float, Lost]] = OrderedDict()

    def add(self, lost: Lost, now: float) -> None:
        """Remember a request that was taken for lost, and forget the old ones."""
        self._lost[lost.work.ask] = now, lost
        while next(iter(self._lost.values()))[0] < now - LOST_VALID_S:
            self._lost.popitem(last=False)

    def forget(self, ask: str) -> None:
        """Take note that a request has ended."""
        self._lost.pop(ask, None)

    def take(self, asks: Iterable[str]) -> list[Lost]:
        """Return those of some asks that were taken for lost, and forget them."""
        return [self._lost.pop(ask)[1] for ask in asks if ask in self._lost]
