"""A region in virtual time whose targets crash, by requests or by themselves."""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass

from hibiscusstep.forwarding.suspects import EARLY_WEIGHT, LATE_WEIGHT, SuspectTable

INSTANCES, TARGETS, SLOTS = 8, 6, 7
# Sound requests a second, seconds that one takes in the mean and to its first event.
RATE, WORK_S, FIRST_S = 30.0, 0.8, 0.1
# Of the sound ones these many come again and again, alike.
HOT_SHARE, HOT_KINDS = 0.3, 5
# Requests that crash targets, how often each comes a second, and seconds until it does.
CRASHING, CRASHING_RATE, CRASH_AFTER_S = 2, 2.0, 0.06
DOWN_S = 3.0
# Seconds until a crash is known where it was seen, and from one instance to another.
SEEN_S, TOLD_S = 0.003, 0.02
# An instance that starts is told after so many seconds.
START_S = 0.3
ATTEMPTS = 2
CONTACT_S = 3.0
DAY_S = 60.0


@dataclass
class _Run:
    instance: int
    request: int
    left: int
    began: float
    first: float
    target: str


class CrashRegion:
    """Instances with a table each; targets that crash and start under new names.

    Parameters
    ----------
    seed : int
        Of all that is drawn.
    kill_each : float
        Seconds between losses of an instance; 0 for none.
    crash_each : float
        Seconds between crashes of targets by themselves; 0 for none.
    at_once : int
        Targets that crash by themselves at the same moment.

    Attributes
    ----------
    refused : Counter
        Refused as quarantined, by request.
    late : Counter
        Arrivals later than `CONTACT_S` after a request's third crash, from instances
        that started longer ago than that.
    crashes : Counter
        Targets that crashed, by the request that did it; 0 for by themselves.
    """

    def __init__(self, seed, kill_each=0.0, crash_each=0.0, at_once=1):
        self._random = random.Random(seed)
        self._kill_each, self._crash_each = kill_each, crash_each
        self._at_once = at_once
        self._events, self._order = [], itertools.count()
        self._names = itertools.count()
        self._tables = [SuspectTable() for _ in range(INSTANCES)]
        self._up = [f"t{next(self._names)}" for _ in range(TARGETS)]
        self._running: dict[str, list[_Run]] = {name: [] for name in self._up}
        self._sound = itertools.count(1000)
        self._third: dict[int, float] = {}
        self._started = [-CONTACT_S] * INSTANCES
        self.asked = 0
        self.refused, self.late, self.crashes = Counter(), Counter(), Counter()

    def _at(self, when, what, *args):
        heapq.heappush(self._events, (when, next(self._order), what, args))

    def play(self):
        self._at(0.0, self._sound_comes)
        for number in range(1, CRASHING + 1):
            self._at(3.0 + number, self._crashing_comes, number)
        if self._kill_each:
            self._at(self._kill_each, self._kill)
        if self._crash_each:
            self._at(self._crash_each, self._crash_some)
        while self._events:
            now, _order, what, args = heapq.heappop(self._events)
            if now > DAY_S:
                return self
            what(now, *args)
        return self

    def _sound_comes(self, now):
        hot = self._random.random() < HOT_SHARE
        request = 100 + self._random.randrange(HOT_KINDS) if hot else next(self._sound)
        self.asked += 1
        self._send(now, self._random.randrange(INSTANCES), request, ATTEMPTS)
        self._at(now + self._random.expovariate(RATE), self._sound_comes)

    def _crashing_comes(self, now, request):
        self._send(now, self._random.randrange(INSTANCES), request, ATTEMPTS)
        pause = self._random.expovariate(CRASHING_RATE)
        self._at(now + pause, self._crashing_comes, request)

    def _send(self, now, instance, request, left):
        table = self._tables[instance]
        if table.is_quarantined(request):
            self.refused[request] += 1
            return
        free = [t for t in self._up if len(self._running[t]) < SLOTS]
        if table.is_suspected(request):
            free = self._without_suspects(free, request)
        if not free:
            return
        target = min(free, key=lambda name: len(self._running[name]))
        run = _Run(instance, request, left, now, now + FIRST_S, target)
        self._running[target].append(run)
        known_since = max(self._third.get(request, DAY_S), self._started[instance])
        if now > known_since + CONTACT_S:
            self.late[request] += 1
        if request <= CRASHING:
            self._at(now + CRASH_AFTER_S, self._crash, target, request)
        else:
            end = now + FIRST_S + self._random.expovariate(1 / WORK_S)
            self._at(end, self._answer, run)

    def _without_suspects(self, free, request):
        suspects = {
            run.target: run.request
            for runs in self._running.values()
            for run in runs
            if self._tables[run.instance].is_suspected(run.request)
        }
        if request in suspects.values():
            return []
        return [target for target in free if target not in suspects]

    def _answer(self, now, run):
        if run not in self._running.get(run.target, ()):
            return
        self._running[run.target].remove(run)
        state = self._tables[run.instance].answered(run.request, now)
        self._spread(now, run.instance, state)

    def _crash_some(self, now):
        for target in self._random.sample(self._up, min(self._at_once, len(self._up))):
            self._crash(now, target, 0)
        self._at(now + self._crash_each, self._crash_some)

    def _crash(self, now, target, request):
        if target not in self._up:
            return
        self._up.remove(target)
        self.crashes[request] += 1
        if self.crashes[request] == 3:
            self._third[request] = now
        for run in self._running.pop(target):
            self._at(now + SEEN_S, self._see, target, run, now)
            table, left = self._tables[run.instance], run.left - 1
            if left and table.may_be_repeated(run.request):
                self._at(now + 0.001, self._send, run.instance, run.request, left)
        self._at(now + DOWN_S, self._start_target)

    def _start_target(self, _now):
        name = f"t{next(self._names)}"
        self._up.append(name)
        self._running[name] = []

    def _see(self, now, target, run, crashed_at):
        weight = EARLY_WEIGHT if crashed_at < run.first else LATE_WEIGHT
        state = self._tables[run.instance].crashed(
            run.request, target, weight, run.began, now
        )
        self._spread(now, run.instance, state)

    def _spread(self, now, instance, state):
        for other in range(INSTANCES) if state else ():
            if other != instance:
                self._at(now + TOLD_S, self._hear, other, state)

    def _hear(self, now, instance, state):
        self._tables[instance].take(state, now)

    def _kill(self, now):
        lost = self._random.randrange(INSTANCES)
        self._tables[lost] = SuspectTable()
        self._started[lost] = now
        told = self._tables[(lost + 1) % INSTANCES].states(now)
        for state in told:
            self._at(now + START_S, self._hear, lost, state)
        self._at(now + self._kill_each, self._kill)
