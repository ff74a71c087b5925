"""A plain service that is asked for more than it can do, for long.

Three targets with six slots each are asked for 1.6 times what they do, for 20 s; late
answers are worth half. First come, first served, all that is served waits to the edge
of its patience. If that is a time in which only the mean run ends, one answer in four
is late, and took the slot of one that would be in time.
"""

import heapq
import itertools
import random
from collections import Counter

import pytest

from hibiscusstep.routing import messages as m
from hibiscusstep.routing.plan import Plan, PlannedPool, PlannedTarget
from hibiscusstep.routing.slots import SlotDispatcher
from hibiscusstep.routing.switches import ALL_ON, Switches

SPEEDS = (0.8, 1.0, 1.6)
SLOTS = 6
MEAN_S, SPREAD = 0.072, 0.5
OBJECTIVE_S, DEADLINE_S = 0.358, 1.58
LENGTH_S = 20.0
OVERLOAD = 1.6
LATE_WORTH = 0.5
TICK_S = 0.05


class SaturatedService:
    """Callers, who come back once when refused, and targets around a dispatcher."""

    def __init__(self, seed, switches=ALL_ON):
        targets = {f"t{n}": PlannedTarget(SLOTS) for n in range(len(SPEEDS))}
        plan = Plan({"p": PlannedPool(False, targets=targets)})
        self.dispatcher = SlotDispatcher("p", plan, switches=switches)
        self.dispatcher.handle(m.Recovered(), 0.0)
        self.draw = random.Random(seed)
        self.events, self.ticket = [], itertools.count()
        self.counts = Counter()
        self.began, self.tries = {}, {}

    def at(self, moment, action, *args):
        heapq.heappush(self.events, (moment, next(self.ticket), action, args))

    def play(self):
        rate = OVERLOAD * sum(SLOTS / (MEAN_S * speed) for speed in SPEEDS)
        moment = 0.0
        while (moment := moment + self.draw.expovariate(rate)) < LENGTH_S:
            self.at(moment, self.come, next(self.ticket), moment)
        for tick in range(int(LENGTH_S / TICK_S)):
            self.at(tick * TICK_S, self.feed, m.Tick())
        while self.events:
            self.now, _ticket, action, args = heapq.heappop(self.events)
            action(*args)
        return self

    def come(self, number, began):
        self.tries[number] = self.tries.get(number, 0) + 1
        ask = f"{number}.{self.tries[number]}"
        self.began[ask] = number, began
        now = self.now
        self.feed(
            m.Ask(
                m.Work(
                    ask, ask, "i", "c", "0", 0, 0, 1, now + OBJECTIVE_S / 4, now,
                    due=now + OBJECTIVE_S, ends=began + DEADLINE_S,
                )
            )
        )  # fmt: skip

    def feed(self, message):
        for taken in self.dispatcher.handle(message, self.now):
            number, began = self.began[taken.work.ask]
            if isinstance(taken, m.Grant):
                seconds = self.draw.lognormvariate(-(SPREAD**2) / 2, SPREAD) * MEAN_S
                seconds *= SPEEDS[int(taken.target[1:])]
                self.at(self.now + seconds, self.end, taken.work.ask)
            elif isinstance(taken, m.Refuse):
                left = (began + DEADLINE_S - self.now) / 3
                if self.tries[number] > 1 or left <= 0:
                    self.counts["refused"] += 1
                else:
                    back = self.now + min(taken.retry_after, left)
                    self.at(back, self.come, number, began)

    def end(self, ask):
        _number, began = self.began[ask]
        late = self.now > began + OBJECTIVE_S
        self.counts["late" if late else "in time"] += 1
        self.feed(m.Finished(ask, m.Outcome.DONE))

    @property
    def worth(self):
        earned = self.counts["in time"] + LATE_WORTH * self.counts["late"]
        return earned / self.counts.total()


class TestSaturatedPlainService:
    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_fewer_answers_are_late_and_more_in_time(self, seed):
        mean_only = Switches.without("service_times")
        before = SaturatedService(seed, mean_only).play()
        after = SaturatedService(seed).play()
        assert after.counts["late"] < before.counts["late"]
        assert after.counts["in time"] > before.counts["in time"]
        assert after.worth > before.worth
