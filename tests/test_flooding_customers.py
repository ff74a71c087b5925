"""Tests of fair shares with customers that send far above their usual rate.

The dispatcher runs alone in a loop of events, without network and processor time: 20
targets of 6 slots, 16 customers that together ask for 0.9 of the capacity, three of
which send five times as much for 15 s. Without fair shares the 13 others had 0.73 of
their requests served, although they ask for 0.73 of the capacity only.
"""

import heapq
import itertools
import random
from collections import defaultdict
from dataclasses import dataclass

import pytest

from hibiscusstep.routing import messages as m
from hibiscusstep.routing.dispatch_plan import DispatchPlan, PlannedPool, PlannedTarget
from hibiscusstep.routing.slot_dispatcher import SlotDispatcher
from hibiscusstep.routing.switches import ALL_ENABLED, Switches

TARGETS, SLOTS = 20, 6
SERVICE_S = (0.6, 1.4)
CUSTOMERS = [f"c{n}" for n in range(16)]
FLOODING, OTHERS = CUSTOMERS[:3], CUSTOMERS[3:]
# Requests per second of a customer at its usual rate.
USUAL_RATE = 0.9 * TARGETS * SLOTS / len(CUSTOMERS)
FLOOD_FACTOR = 5.0
FLOOD_FROM_S, FLOOD_UNTIL_S, END_S = 5.0, 20.0, 30.0
TICK_S = 0.05
FIRST_TOKEN_S, OBJECTIVE_S, ANSWER_S = 0.1, 0.8, 12.0
SECOND_WAIT_S = 1.0
SEEDS = (1, 2, 3)


@dataclass(slots=True)
class _Request:
    customer: str
    began: float
    identity: int
    attempt: int = 0
    granted: float | None = None

    @property
    def is_in_time(self):
        if self.granted is None:
            return False
        return self.granted + FIRST_TOKEN_S <= self.began + OBJECTIVE_S


class _FloodRun:
    """A run of the dispatcher with Poisson arrivals; callers return once."""

    def __init__(self, seed, switches=ALL_ENABLED, flood_factor=FLOOD_FACTOR):
        self._random = random.Random(seed)
        self._flood_factor = flood_factor
        targets = {f"t{n}": PlannedTarget(SLOTS) for n in range(TARGETS)}
        pool = PlannedPool(True, targets=targets, fair_shares=True)
        self._dispatcher = SlotDispatcher(
            "p", DispatchPlan({"p": pool}), switches=switches
        )
        self._events = []
        self._numbers = itertools.count()
        self._open = {}
        self.requests = []
        self.retry_after = []
        self._send(m.Recovered(), 0.0)
        for customer in CUSTOMERS:
            self._arrive_after(customer, 0.0)
        self._at(TICK_S, self._tick)
        while self._events:
            now, _number, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)

    def _at(self, moment, action, *arguments):
        heapq.heappush(self._events, (moment, next(self._numbers), action, arguments))

    def _rate(self, customer, now):
        is_flooding = customer in FLOODING and FLOOD_FROM_S <= now < FLOOD_UNTIL_S
        return USUAL_RATE * (self._flood_factor if is_flooding else 1.0)

    def _arrive_after(self, customer, now):
        moment = now + self._random.expovariate(self._rate(customer, now))
        if now < FLOOD_FROM_S <= moment and customer in FLOODING:
            # The rate changes meanwhile; an exponential interval has no memory.
            rate = self._rate(customer, FLOOD_FROM_S)
            moment = FLOOD_FROM_S + self._random.expovariate(rate)
        if moment < END_S:
            self._at(moment, self._arrive, customer)

    def _arrive(self, now, customer):
        self._arrive_after(customer, now)
        request = _Request(customer, now, self._random.getrandbits(60) + 1)
        self.requests.append(request)
        self._ask(now, request)

    def _ask(self, now, request):
        request.attempt += 1
        ask = f"{len(self.requests)}.{request.identity}.{request.attempt}"
        self._open[ask] = request
        wait = OBJECTIVE_S if request.attempt == 1 else SECOND_WAIT_S
        work = m.Work(
            ask, ask, "i", request.customer, "0", 0, 500, 100, now + wait, now,
            first_token_due=request.began + OBJECTIVE_S,
            answer_due=request.began + ANSWER_S,
            identity=request.identity,
        )  # fmt: skip
        self._send(m.RequestGrant(work), now)

    def _send(self, message, now):
        for decision in self._dispatcher.handle(message, now):
            if isinstance(decision, m.Grant):
                self._start(now, decision.work.ask)
            elif isinstance(decision, m.Refuse):
                self._refuse(now, decision)

    def _start(self, now, ask):
        self._open.pop(ask).granted = now
        seconds = self._random.uniform(*SERVICE_S)
        first = m.FirstToken(ask, FIRST_TOKEN_S)
        self._at(now + FIRST_TOKEN_S, lambda at: self._send(first, at))
        done = m.Finished(ask, m.GrantOutcome.DONE, 100, seconds - FIRST_TOKEN_S)
        self._at(now + seconds, lambda at: self._send(done, at))

    def _refuse(self, now, refusal):
        request = self._open.pop(refusal.work.ask)
        self.retry_after.append(refusal.retry_after)
        if request.attempt == 1:
            left = request.began + ANSWER_S - now
            self._at(now + min(refusal.retry_after, left / 3), self._ask, request)

    def _tick(self, now):
        self._send(m.TimePassed(), now)
        if now < END_S or self._open:
            self._at(now + TICK_S, self._tick)

    def shares(self, customers):
        """Return the shares of requests served and in time, begun in the flood."""
        counted = [
            request
            for request in self.requests
            if request.customer in customers
            and FLOOD_FROM_S <= request.began < FLOOD_UNTIL_S
        ]
        served = sum(request.granted is not None for request in counted)
        in_time = sum(request.is_in_time for request in counted)
        return served / len(counted), in_time / len(counted)
