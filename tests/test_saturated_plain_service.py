"""A plain service under sustained overload.

Three targets with six slots each receive 1.6 times their capacity for 20 s; a late
answer counts half. First come, first served, every served request waits until close to
its deadline. If that deadline leaves time only for a mean run, one answer in four is
late and took the slot of a request that could be served in time.
"""

import heapq
import itertools
import random
from collections import Counter

import pytest

from hibiscusstep.routing import messages as m
from hibiscusstep.routing.dispatch_plan import DispatchPlan, PlannedPool, PlannedTarget
from hibiscusstep.routing.slot_dispatcher import SlotDispatcher
from hibiscusstep.routing.switches import ALL_ENABLED, Switches

SPEEDS = (0.8, 1.0, 1.6)
SLOTS = 6
MEAN_SERVICE_S, SERVICE_SPREAD = 0.072, 0.5
OBJECTIVE_S, DEADLINE_S = 0.358, 1.58
DURATION_S = 20.0
LOAD_FACTOR = 1.6
LATE_VALUE = 0.5
TICK_S = 0.05


class SaturatedService:
    """Targets and a dispatcher with callers that retry once after a refusal."""

    def __init__(self, seed, switches=ALL_ENABLED):
        targets = {f"t{n}": PlannedTarget(SLOTS) for n in range(len(SPEEDS))}
        plan = DispatchPlan({"p": PlannedPool(False, targets=targets)})
        self.dispatcher = SlotDispatcher("p", plan, switches=switches)
        self.dispatcher.handle(m.Recovered(), 0.0)
        self.generator = random.Random(seed)
        self.events, self.sequence = [], itertools.count()
        self.counts = Counter()
        self.received, self.attempts = {}, {}

    def at(self, moment, action, *args):
        heapq.heappush(self.events, (moment, next(self.sequence), action, args))

    def run(self):
        rate = LOAD_FACTOR * sum(SLOTS / (MEAN_SERVICE_S * speed) for speed in SPEEDS)
        moment = 0.0
        while (moment := moment + self.generator.expovariate(rate)) < DURATION_S:
            self.at(moment, self.arrive, next(self.sequence), moment)
        for tick in range(int(DURATION_S / TICK_S)):
            self.at(tick * TICK_S, self.handle_message, m.TimePassed())
        while self.events:
            self.now, _sequence, action, args = heapq.heappop(self.events)
            action(*args)
        return self

    def arrive(self, number, received):
        self.attempts[number] = self.attempts.get(number, 0) + 1
        ask = f"{number}.{self.attempts[number]}"
        self.received[ask] = number, received
        now = self.now
        self.handle_message(
            m.RequestGrant(
                m.Work(
                    ask, ask, "i", "c", "0", 0, 0, 1, now + OBJECTIVE_S / 4, now,
                    first_token_due=now + OBJECTIVE_S, answer_due=received + DEADLINE_S,
                )
            )
        )  # fmt: skip

    def handle_message(self, message):
        for decision in self.dispatcher.handle(message, self.now):
            number, received = self.received[decision.work.ask]
            if isinstance(decision, m.Grant):
                seconds = (
                    self.generator.lognormvariate(
                        -(SERVICE_SPREAD**2) / 2, SERVICE_SPREAD
                    )
                    * MEAN_SERVICE_S
                )
                seconds *= SPEEDS[int(decision.target[1:])]
                self.at(self.now + seconds, self.finish, decision.work.ask)
            elif isinstance(decision, m.Refuse):
                left = (received + DEADLINE_S - self.now) / 3
                if self.attempts[number] > 1 or left <= 0:
                    self.counts["refused"] += 1
                else:
                    retry_at = self.now + min(decision.retry_after, left)
                    self.at(retry_at, self.arrive, number, received)

    def finish(self, ask):
        _number, received = self.received[ask]
        late = self.now > received + OBJECTIVE_S
        self.counts["late" if late else "in time"] += 1
        self.handle_message(m.Finished(ask, m.GrantOutcome.DONE))

    @property
    def mean_value(self):
        value = self.counts["in time"] + LATE_VALUE * self.counts["late"]
        return value / self.counts.total()


class TestSaturatedPlainService:
    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_fewer_answers_are_late_and_more_in_time(self, seed):
        mean_only = Switches.disabling("service_times")
        before = SaturatedService(seed, mean_only).run()
        after = SaturatedService(seed).run()
        assert after.counts["late"] < before.counts["late"]
        assert after.counts["in time"] > before.counts["in time"]
        assert after.mean_value > before.mean_value
