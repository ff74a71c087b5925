"""hibiscusstep.load.rollout_emulator: orders to change a version, in virtual time.

The product's dispatcher carries an order out over drawn targets, callers, kinds of bad
versions and disturbances; no sockets, exact for a seed.
"""

import heapq
import itertools
from collections import Counter, defaultdict

import numpy as np

from hibiscusstep.forwarding.model import DiscoveredTarget
from hibiscusstep.forwarding.rollout_book import PoolVersionTable
from hibiscusstep.load.drawn_rollout import (
    NEW,
    OLD,
    ORDER_AT_S,
    Badness,
    Disturbance,
    DrawnRollout,
    Route,
)
from hibiscusstep.load.emulated_target import (
    PATIENCE_S,
    PROMPT_TOKENS,
    TOKENS_PER_EVENT,
    EmulatedRun,
    EmulatedTarget,
)
from hibiscusstep.load.rollout_result import BAD_ANSWERS, RolloutResult
from hibiscusstep.rollout.budget import ExposureLimits
from hibiscusstep.rollout.order import RolloutOrder, RolloutState
from hibiscusstep.routing import messages as m
from hibiscusstep.routing.plan import Plan, PlannedPool, PlannedTarget
from hibiscusstep.routing.slots import SlotDispatcher

__all__ = ["RolloutEmulator"]

POOL = "pool"
TICK_S = 0.05
HOP_S = 0.001
AFTER_S = 3.0
# A dispatcher that takes over after another one's end.
TAKE_OVER_S = 1.2
PROGRESS_S = 1.0
CALL_S = 0.004


class RolloutEmulator:
    """Plays one order.

    Parameters
    ----------
    drawn : DrawnRollout
        What is played.
    seed : int
        Of the callers and the answers.
    test : str
        Name of the sequential test that compares the versions.
    """

    def __init__(self, drawn: DrawnRollout, seed: int, test: str = "cusum") -> None:
        self._drawn = drawn
        self._draw = np.random.default_rng([seed, 1])
        self._test = test
        self._events: list = []
        self._ticket = itertools.count()
        self._now = 0.0
        self._targets = {
            f"{version}-{n}": EmulatedTarget(
                f"{version}-{n}", version, slowness, drawn, self._draw
            )
            for version, of in ((OLD, drawn.old), (NEW, drawn.new))
            for n, slowness in enumerate(of)
        }
        self._book = PoolVersionTable()
        self._stale: Plan | None = None
        self._revision = 1
        self._completed = False
        self._asks: dict[str, tuple[Route, float, str]] = {}
        self._own: dict[str, SlotDispatcher] = {}
        self._fiftieth = 0.0
        self._counts: dict[int, Counter] = defaultdict(Counter)
        self._result = RolloutResult(drawn.badness is not Badness.NONE)
        self._down_until = 0.0
        self._progress_at = 0.0
        self._take_targets()
        self._dispatcher = self._new_dispatcher()

    @property
    def _deadline(self) -> float:
        return ORDER_AT_S + self._drawn.duration

    def run(self) -> RolloutResult:
        """Play it to its end."""
        end = self._deadline + AFTER_S
        self._at(ORDER_AT_S, self._order)
        self._at(TICK_S, self._tick)
        self._at(self._draw.exponential(1 / self._drawn.rate), self._arrive)
        if self._drawn.kill_at:
            self._at(self._drawn.kill_at, self._kill)
        if self._drawn.alone:
            began, ended = self._drawn.alone
            self._at(began, self._cut_off)
            self._at(ended, self._join)
        for disturbance in self._drawn.disturbances:
            if disturbance.kind == "crash":
                self._at(max(0.0, disturbance.at), self._crash, disturbance)
        while self._events and self._events[0][0] < end:
            self._now, _ticket, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return self._ended()

    def _ended(self) -> RolloutResult:
        result, limits = self._result, ExposureLimits()
        result.allowed = limits.share * result.requests + limits.slack
        for second in sorted(self._counts):
            counts = self._counts[second]
            part = counts[NEW] / counts.total()
            result.parts.append((second - ORDER_AT_S, round(part, 3)))
        return result

    def _at(self, moment: float, action, *arguments) -> None:
        entry = (max(moment, self._now), next(self._ticket), action, arguments)
        heapq.heappush(self._events, entry)

    # The region.

    def _take_targets(self) -> None:
        found = [
            DiscoveredTarget(
                t.name, POOL, "a:1", "z", self._drawn.slots, False, 1, 1, t.version
            )
            for t in self._targets.values()
            if t.version == OLD or self._now >= ORDER_AT_S - 1.0
        ]
        self._book.update_targets(found, self._now)

    def _plan(self) -> Plan:
        serving = self._book.serving(POOL)
        rollout = self._book.planned(POOL, ExposureLimits(), 0.3)
        targets = {
            t.name: PlannedTarget(
                self._drawn.slots,
                data_centre="z",
                version=t.version,
                leaving=self._completed and t.version == OLD,
            )
            for t in self._targets.values()
        }
        pool = PlannedPool(
            self._drawn.engine, TOKENS_PER_EVENT, 60.0, targets, serving, rollout
        )
        return Plan({POOL: pool})

    def _new_dispatcher(self, alone: str = "") -> SlotDispatcher:
        plan = self._stale if alone and self._stale else self._plan()
        dispatcher = SlotDispatcher(POOL, plan, alone=alone)
        if alone:
            dispatcher.share = min(1.0, 2.0 / self._drawn.instances)
        dispatcher.handle(m.Recovered(), self._now)
        return dispatcher

    def _replan(self) -> None:
        if self._dispatcher:
            self._feed(self._dispatcher, m.Configure(self._plan()))

    def _order(self) -> None:
        self._take_targets()
        self._revision += 1
        order = RolloutOrder(POOL, NEW, self._drawn.duration, self._revision)
        self._book.apply_order(order, self._now)
        self._write(RolloutState.RUNNING)

    def _tick(self) -> None:
        for dispatcher in (self._dispatcher, *self._own.values()):
            if dispatcher:
                self._feed(dispatcher, m.Tick())
        rollout = self._dispatcher.rollout if self._dispatcher else None
        if rollout and self._now >= self._progress_at + PROGRESS_S:
            self._progress_at = self._now
            number = rollout.planned.number
            self._book.set_progress(POOL, number, rollout.progress)
        self._at(self._now + TICK_S, self._tick)

    def _kill(self) -> None:
        self._dispatcher = None
        self._at(self._now + TAKE_OVER_S, self._take_over)

    def _take_over(self) -> None:
        self._dispatcher = self._new_dispatcher()
        for target in self._targets.values():
            for work in target.running.values():
                self._feed(self._dispatcher, m.Adopt(work, target.name))

    def _cut_off(self) -> None:
        self._stale = self._plan()

    def _join(self) -> None:
        self._stale = None
        self._own = {}

    def _is_cut_off(self, instance: int) -> bool:
        return (
            self._stale is not None and instance % 5 == 0 and self._drawn.instances > 1
        )

    # Requests.

    def _arrive(self) -> None:
        drawn = self._drawn
        self._at(self._now + self._draw.exponential(1 / drawn.rate), self._arrive)
        weights = np.array([route.weight for route in drawn.routes])
        route = drawn.routes[self._draw.choice(len(weights), p=weights / weights.sum())]
        instance = int(self._draw.integers(drawn.instances))
        ask = f"a{next(self._ticket)}"
        size = route.size * self._draw.lognormal(-(route.spread**2) / 2, route.spread)
        now = self._now
        work = m.Work(
            ask, ask, f"i{instance}", "c", "0", 0, PROMPT_TOKENS if drawn.engine else 0,
            max(1, round(size)) if drawn.engine else 1, now + 1.5, now,
            due=now + 1.5, data_centre="z", ends=now + PATIENCE_S, route=route.name,
        )  # fmt: skip
        self._asks[ask] = route, size, ""
        self._result.asked += 1
        if self._is_cut_off(instance):
            dispatcher = self._own.get(f"i{instance}")
            if dispatcher is None:
                dispatcher = self._new_dispatcher(f"i{instance}")
                self._own[f"i{instance}"] = dispatcher
            self._feed(dispatcher, m.Ask(work))
        elif self._dispatcher:
            self._feed(self._dispatcher, m.Ask(work))
        else:
            self._result.refused += 1

    def _feed(self, dispatcher: SlotDispatcher, message) -> None:
        for taken in dispatcher.handle(message, self._now):
            if isinstance(taken, m.Grant):
                self._at(self._now + HOP_S, self._send, dispatcher, taken)
            elif isinstance(taken, m.Refuse):
                self._result.refused += 1
            elif isinstance(taken, m.Conclude):
                self._conclude(taken)
            elif isinstance(taken, m.Inquire):
                self._at(
                    self._now + 2 * HOP_S, self._answer, dispatcher, taken.instance
                )

    def _answer(self, dispatcher: SlotDispatcher, instance: str) -> None:
        """Tell a dispatcher what an instance holds."""
        held = frozenset(
            ask
            for target in self._targets.values()
            for ask, work in target.running.items()
            if work.instance == instance
        )
        self._feed(dispatcher, m.Held(instance, held))

    def _send(self, dispatcher: SlotDispatcher, grant: m.Grant) -> None:
        work, target = grant.work, self._targets[grant.target]
        if self._now < target.down_until or (self._completed and target.version == OLD):
            self._feed(dispatcher, m.Finished(work.ask, m.Outcome.UNREACHABLE))
            return
        self._note_arrival(target)
        route, size, _ = self._asks[work.ask]
        run = target.begin(work, route, size, self._now)
        if run.first and run.outcome is not m.Outcome.FAILED:
            self._at(
                self._now + run.first, self._first, dispatcher, work.ask, run.first
            )
        self._at(
            self._now + run.seconds, self._finish, dispatcher, target, work.ask, run
        )

    def _first(self, dispatcher: SlotDispatcher, ask: str, seconds: float) -> None:
        self._feed(dispatcher, m.FirstToken(ask, seconds))

    def _finish(self, dispatcher, target, ask: str, run: EmulatedRun) -> None:
        if target.running.pop(ask, None) is None:
            return
        if run.is_bad:
            self._result.bad_answers += 1
            if self._result.bad_answers == BAD_ANSWERS:
                self._fiftieth = self._now
        if dispatcher is not self._dispatcher and not dispatcher.is_alone:
            dispatcher = self._dispatcher
        if dispatcher:
            decoding = max(0.0, run.seconds - run.first)
            finished = m.Finished(ask, run.outcome, run.events, decoding)
            self._feed(dispatcher, finished)

    def _note_arrival(self, target: EmulatedTarget) -> None:
        result = self._result
        self._counts[int(self._now)][target.version] += 1
        if ORDER_AT_S <= self._now <= self._deadline:
            result.requests += 1
            result.exposed += target.version == NEW
        if target.version == NEW and self._fiftieth:
            result.late_ms = 1000 * (self._now - self._fiftieth)
        if target.version == NEW and self._now < ORDER_AT_S:
            raise AssertionError("a version got a request before its order")

    # Targets.

    def _crash(self, disturbance: Disturbance) -> None:
        for name in sorted(disturbance.targets):
            target = self._targets[name]
            target.down_until = self._now + disturbance.seconds
            for ask in list(target.running):
                del target.running[ask]
                if self._dispatcher:
                    self._feed(self._dispatcher, m.Finished(ask, m.Outcome.BROKEN))

    # The order's status.

    def _conclude(self, taken: m.Conclude) -> None:
        self._book.conclude(POOL, taken.number, taken.state)
        self._result.reason = taken.reason
        self._replan()
        self._write(taken.state)

    def _write(self, state: RolloutState) -> None:
        down = self._drawn.store_down
        answered = self._now + CALL_S
        if down and down[0] <= answered < down[1]:
            answered = down[1] + 0.3
        self._at(answered, self._take_written, state)

    def _take_written(self, state: RolloutState) -> None:
        if self._result.state is not None:
            return
        if state is not RolloutState.RUNNING:
            self._result.state = state
            self._result.concluded_after = round(self._now - ORDER_AT_S, 3)
        self._revision += 1
        order = RolloutOrder(
            POOL, NEW, self._drawn.duration, self._revision, state, NEW
        )
        if state is RolloutState.COMPLETED:
            self._completed = True
            self._stop_old()
        self._book.apply_order(order, self._now)
        self._replan()

    def _stop_old(self) -> None:
        for target in self._targets.values():
            if target.version == OLD:
                self._result.cut += len(target.running)
                for ask in list(target.running):
                    del target.running[ask]
                    if self._dispatcher:
                        self._feed(self._dispatcher, m.Finished(ask, m.Outcome.BROKEN))
