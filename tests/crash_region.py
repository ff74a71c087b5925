"""Simulation in virtual time of a region whose targets crash.

Targets are crashed by requests or crash spontaneously.
"""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass

from hibiscusstep.forwarding.suspects import SuspectTable, crash_weight

INSTANCES, TARGETS, SLOTS = 8, 6, 7
# Harmless requests per second, their mean duration and the time to the first event.
REQUEST_RATE, MEAN_DURATION_S, FIRST_EVENT_S = 30.0, 0.8, 0.1
# Share of the harmless requests that repeat one of a few identical requests.
REPEATED_SHARE, REPEATED_REQUESTS = 0.3, 5
# Number of crashing requests, arrivals of each per second, and seconds until the crash.
CRASHING_REQUESTS, CRASHING_RATE, CRASH_AFTER_S = 2, 2.0, 0.06
RESTART_S = 3.0
# Delays until an instance detects a crash, and of a message between instances.
DETECTION_S, MESSAGE_DELAY_S = 0.003, 0.02
# Delay after which a restarted instance receives the states.
INITIAL_STATES_S = 0.3
ATTEMPTS = 2
# After this time all instances must know of a request's third crash.
SETTLE_S = 3.0
DURATION_S = 60.0


@dataclass
class _Run:
    instance: int
    request: int
    left: int
    began: float
    first: float
    target: str


class CrashRegion:
    """Simulates instances with a table each, and targets that restart under new names.

    Parameters
    ----------
    seed : int
        Seed of the random numbers.
    kill_each : float
        Seconds between restarts of an instance; 0 for none.
    crash_each : float
        Seconds between spontaneous crashes of targets; 0 for none.
    at_once : int
        Targets that crash spontaneously at the same moment.
    with_event : bool
        Whether the crashing requests crash targets with their first event, and arrive
        at three instances at the same moment, but seldom.

    Attributes
    ----------
    refused : Counter
        Arrivals refused by the quarantine, by request.
    late : Counter
        Attempts that were sent more than `SETTLE_S` after the request's third crash, by
        instances that had been running for longer than that.
    crashes : Counter
        Crashed targets by the request that crashed them; 0 for spontaneous crashes.
    """

    def __init__(
        self, seed, kill_each=0.0, crash_each=0.0, at_once=1, with_event=False
    ):
        self._random = random.Random(seed)
        self._kill_each, self._crash_each = kill_each, crash_each
        self._at_once = at_once
        self._crash_after_s = FIRST_EVENT_S + 0.02 if with_event else CRASH_AFTER_S
        self._arrivals = 3 if with_event else 1
        self._crashing_rate = CRASHING_RATE / (6 if with_event else 1)
        self._events, self._sequence = [], itertools.count()
        self._names = itertools.count()
        self._tables = [SuspectTable() for _ in range(INSTANCES)]
        self._running_targets = [f"t{next(self._names)}" for _ in range(TARGETS)]
        self._running: dict[str, list[_Run]] = {
            name: [] for name in self._running_targets
        }
        self._harmless = itertools.count(1000)
        self._third_crash: dict[int, float] = {}
        self._started = [-SETTLE_S] * INSTANCES
        self.asked = 0
        self.refused, self.late, self.crashes = Counter(), Counter(), Counter()

    def _schedule(self, time, action, *args):
        heapq.heappush(self._events, (time, next(self._sequence), action, args))

    def simulate(self):
        self._schedule(0.0, self._harmless_arrives)
        for number in range(1, CRASHING_REQUESTS + 1):
            self._schedule(3.0 + number, self._crashing_arrives, number)
        if self._kill_each:
            self._schedule(self._kill_each, self._restart_instance)
        if self._crash_each:
            self._schedule(self._crash_each, self._crash_spontaneously)
        while self._events:
            now, _sequence, action, args = heapq.heappop(self._events)
            if now > DURATION_S:
                return self
            action(now, *args)
        return self

    def _harmless_arrives(self, now):
        repeated = self._random.random() < REPEATED_SHARE
        request = (
            100 + self._random.randrange(REPEATED_REQUESTS)
            if repeated
            else next(self._harmless)
        )
        self.asked += 1
        self._send(now, self._random.randrange(INSTANCES), request, ATTEMPTS)
        self._schedule(
            now + self._random.expovariate(REQUEST_RATE), self._harmless_arrives
        )

    def _crashing_arrives(self, now, request):
        first = self._random.randrange(INSTANCES)
        for number in range(self._arrivals):
            self._send(now, (first + number) % INSTANCES, request, ATTEMPTS)
        pause = self._random.expovariate(self._crashing_rate)
        self._schedule(now + pause, self._crashing_arrives, request)

    def _send(self, now, instance, request, left):
        table = self._tables[instance]
        if table.is_quarantined(request):
            self.refused[request] += 1
            return
        free = [t for t in self._running_targets if len(self._running[t]) < SLOTS]
        if table.is_suspected(request):
            free = self._exclude_suspects(free, request)
        if not free:
            return
        target = min(free, key=lambda name: len(self._running[name]))
        run = _Run(instance, request, left, now, now + FIRST_EVENT_S, target)
        self._running[target].append(run)
        known_since = max(
            self._third_crash.get(request, DURATION_S), self._started[instance]
        )
        if now > known_since + SETTLE_S:
            self.late[request] += 1
        if request <= CRASHING_REQUESTS:
            self._schedule(now + self._crash_after_s, self._crash, target, request)
        else:
            end = now + FIRST_EVENT_S + self._random.expovariate(1 / MEAN_DURATION_S)
            self._schedule(end, self._answer, run)

    def _exclude_suspects(self, free, request):
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
        state = self._tables[run.instance].clear_request(run.request, now)
        self._broadcast(now, run.instance, state)

    def _crash_spontaneously(self, now):
        for target in self._random.sample(
            self._running_targets, min(self._at_once, len(self._running_targets))
        ):
            self._crash(now, target, 0)
        self._schedule(now + self._crash_each, self._crash_spontaneously)

    def _crash(self, now, target, request):
        if target not in self._running_targets:
            return
        self._running_targets.remove(target)
        self.crashes[request] += 1
        if self.crashes[request] == 3:
            self._third_crash[request] = now
        for run in self._running.pop(target):
            self._schedule(now + DETECTION_S, self._detect, target, run, now)
            table, left = self._tables[run.instance], run.left - 1
            if left and table.may_retry(run.request):
                self._schedule(now + 0.001, self._send, run.instance, run.request, left)
        self._schedule(now + RESTART_S, self._start_target)

    def _start_target(self, _now):
        name = f"t{next(self._names)}"
        self._running_targets.append(name)
        self._running[name] = []

    def _detect(self, now, target, run, crashed_at):
        has_event = crashed_at >= run.first
        weight = crash_weight(crashed_at - run.first if has_event else None)
        state = self._tables[run.instance].record_crash(
            run.request, target, weight, run.began, now
        )
        self._broadcast(now, run.instance, state)

    def _broadcast(self, now, instance, state):
        for other in range(INSTANCES) if state else ():
            if other != instance:
                self._schedule(now + MESSAGE_DELAY_S, self._receive, other, state)

    def _receive(self, now, instance, state):
        self._tables[instance].merge(state, now)

    def _restart_instance(self, now):
        lost = self._random.randrange(INSTANCES)
        self._tables[lost] = SuspectTable()
        self._started[lost] = now
        known = self._tables[(lost + 1) % INSTANCES].all_states(now)
        for state in known:
            self._schedule(now + INITIAL_STATES_S, self._receive, lost, state)
        self._schedule(now + self._kill_each, self._restart_instance)
