"""hibiscusstep.load.rollout_emulator: emulation of rollout orders in virtual time.

The production dispatcher carries out an order with emulated targets, callers, defects
of the new version and disturbances. It uses no sockets and is deterministic for a seed.
"""

import heapq
import itertools
from collections import Counter, defaultdict

import numpy as np

from hibiscusstep.forwarding.model import DiscoveredTarget
from hibiscusstep.forwarding.pool_versions import PoolVersionTable
from hibiscusstep.load.emulated_target import (
    CALLER_TIMEOUT_S,
    PROMPT_TOKENS,
    TOKENS_PER_EVENT,
    EmulatedRun,
    EmulatedTarget,
)
from hibiscusstep.load.rollout_result import TOLERATED_BAD_ANSWERS, RolloutResult
from hibiscusstep.load.rollout_scenario import (
    NEW_VERSION,
    OLD_VERSION,
    ORDER_AT_S,
    Defect,
    Disturbance,
    EmulatedRoute,
    RolloutScenario,
)
from hibiscusstep.rollout.budget import ExposureLimits
from hibiscusstep.rollout.order import RolloutOrder, RolloutState
from hibiscusstep.routing import messages as m
from hibiscusstep.routing.dispatch_plan import DispatchPlan, PlannedPool, PlannedTarget
from hibiscusstep.routing.slot_dispatcher import SlotDispatcher

__all__ = ["RolloutEmulator"]

POOL = "pool"
TICK_S = 0.05
NETWORK_DELAY_S = 0.001
RUN_AFTER_DEADLINE_S = 3.0
# Time until another dispatcher takes over from a lost one.
TAKEOVER_DELAY_S = 1.2
PROGRESS_INTERVAL_S = 1.0
STORE_CALL_S = 0.004


class RolloutEmulator:
    """Emulates one order.

    Parameters
    ----------
    scenario : RolloutScenario
        The scenario.
    seed : int
        Seed of the callers and the answers.
    test : str
        Name of the sequential test that compares the versions.
    """

    def __init__(
        self, scenario: RolloutScenario, seed: int, test: str = "cusum"
    ) -> None:
        self._scenario = scenario
        self._rng = np.random.default_rng([seed, 1])
        self._test = test
        self._events: list = []
        self._sequence = itertools.count()
        self._now = 0.0
        self._targets = {
            f"{version}-{n}": EmulatedTarget(
                f"{version}-{n}", version, slowness, scenario, self._rng
            )
            for version, of in (
                (OLD_VERSION, scenario.old),
                (NEW_VERSION, scenario.new),
            )
            for n, slowness in enumerate(of)
        }
        self._version_table = PoolVersionTable()
        # Plan of the partitioned instances during the partition.
        self._stale_plan: DispatchPlan | None = None
        self._revision = 1
        self._completed = False
        self._requests: dict[str, tuple[EmulatedRoute, float, str]] = {}
        # Standby dispatchers of the partitioned instances.
        self._partition_dispatchers: dict[str, SlotDispatcher] = {}
        self._tolerance_reached_at = 0.0
        self._requests_by_second: dict[int, Counter] = defaultdict(Counter)
        self._result = RolloutResult(scenario.defect is not Defect.NONE)
        self._down_until = 0.0
        self._progress_at = 0.0
        self._discover_targets()
        self._dispatcher = self._create_dispatcher()

    @property
    def _deadline(self) -> float:
        return ORDER_AT_S + self._scenario.duration

    def run(self) -> RolloutResult:
        """Run the emulation and return the result."""
        end = self._deadline + RUN_AFTER_DEADLINE_S
        self._schedule(ORDER_AT_S, self._give_order)
        self._schedule(TICK_S, self._tick)
        self._schedule(self._rng.exponential(1 / self._scenario.rate), self._arrive)
        if self._scenario.kill_at:
            self._schedule(self._scenario.kill_at, self._kill_dispatcher)
        if self._scenario.partition:
            start, end_of_partition = self._scenario.partition
            self._schedule(start, self._begin_partition)
            self._schedule(end_of_partition, self._end_partition)
        for disturbance in self._scenario.disturbances:
            if disturbance.kind == "crash":
                self._schedule(max(0.0, disturbance.at), self._crash, disturbance)
        while self._events and self._events[0][0] < end:
            self._now, _number, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return self._finished_result()

    def _finished_result(self) -> RolloutResult:
        result, limits = self._result, ExposureLimits()
        result.allowed = limits.share * result.requests + limits.slack
        for second in sorted(self._requests_by_second):
            counts = self._requests_by_second[second]
            part = counts[NEW_VERSION] / counts.total()
            result.parts.append((second - ORDER_AT_S, round(part, 3)))
        return result

    def _schedule(self, moment: float, action, *arguments) -> None:
        entry = (max(moment, self._now), next(self._sequence), action, arguments)
        heapq.heappush(self._events, entry)

    # Targets, dispatchers and the order.

    def _discover_targets(self) -> None:
        found = [
            DiscoveredTarget(
                t.name, POOL, "a:1", "z", self._scenario.slots, False, 1, 1, t.version
            )
            for t in self._targets.values()
            if t.version == OLD_VERSION or self._now >= ORDER_AT_S - 1.0
        ]
        self._version_table.update_targets(found, self._now)

    def _plan(self) -> DispatchPlan:
        serving = self._version_table.serving_versions(POOL)
        rollout = self._version_table.planned_rollout(POOL, ExposureLimits(), 0.3)
        targets = {
            t.name: PlannedTarget(
                self._scenario.slots,
                data_centre="z",
                version=t.version,
                leaving=self._completed and t.version == OLD_VERSION,
            )
            for t in self._targets.values()
        }
        pool = PlannedPool(
            self._scenario.engine, TOKENS_PER_EVENT, 60.0, targets, serving, rollout
        )
        return DispatchPlan({POOL: pool})

    def _create_dispatcher(self, standby_instance: str = "") -> SlotDispatcher:
        plan = (
            self._stale_plan if standby_instance and self._stale_plan else self._plan()
        )
        dispatcher = SlotDispatcher(POOL, plan, standby_instance=standby_instance)
        if standby_instance:
            dispatcher.capacity_share = min(1.0, 2.0 / self._scenario.instances)
        dispatcher.handle(m.Recovered(), self._now)
        return dispatcher

    def _replan(self) -> None:
        if self._dispatcher:
            self._deliver(self._dispatcher, m.Configure(self._plan()))

    def _give_order(self) -> None:
        self._discover_targets()
        self._revision += 1
        order = RolloutOrder(POOL, NEW_VERSION, self._scenario.duration, self._revision)
        self._version_table.apply_order(order, self._now)
        self._write(RolloutState.RUNNING)

    def _tick(self) -> None:
        for dispatcher in (self._dispatcher, *self._partition_dispatchers.values()):
            if dispatcher:
                self._deliver(dispatcher, m.TimePassed())
        rollout = self._dispatcher.rollout if self._dispatcher else None
        if rollout and self._now >= self._progress_at + PROGRESS_INTERVAL_S:
            self._progress_at = self._now
            number = rollout.planned.number
            self._version_table.set_progress(POOL, number, rollout.progress)
        self._schedule(self._now + TICK_S, self._tick)

    def _kill_dispatcher(self) -> None:
        self._dispatcher = None
        self._schedule(self._now + TAKEOVER_DELAY_S, self._take_over)

    def _take_over(self) -> None:
        self._dispatcher = self._create_dispatcher()
        for target in self._targets.values():
            for work in target.running.values():
                self._deliver(self._dispatcher, m.AdoptRunning(work, target.name))

    def _begin_partition(self) -> None:
        self._stale_plan = self._plan()

    def _end_partition(self) -> None:
        self._stale_plan = None
        self._partition_dispatchers = {}

    def _is_partitioned(self, instance: int) -> bool:
        return (
            self._stale_plan is not None
            and instance % 5 == 0
            and self._scenario.instances > 1
        )

    # Requests.

    def _arrive(self) -> None:
        scenario = self._scenario
        self._schedule(
            self._now + self._rng.exponential(1 / scenario.rate), self._arrive
        )
        weights = np.array([route.weight for route in scenario.routes])
        route = scenario.routes[
            self._rng.choice(len(weights), p=weights / weights.sum())
        ]
        instance = int(self._rng.integers(scenario.instances))
        ask = f"a{next(self._sequence)}"
        size = route.size * self._rng.lognormal(-(route.spread**2) / 2, route.spread)
        now = self._now
        work = m.Work(
            ask, ask, f"i{instance}", "c", "0", 0,
            PROMPT_TOKENS if scenario.engine else 0,
            max(1, round(size)) if scenario.engine else 1, now + 1.5, now,
            first_token_due=now + 1.5, data_centre="z",
            answer_due=now + CALLER_TIMEOUT_S, route=route.name,
        )  # fmt: skip
        self._requests[ask] = route, size, ""
        self._result.asked += 1
        if self._is_partitioned(instance):
            dispatcher = self._partition_dispatchers.get(f"i{instance}")
            if dispatcher is None:
                dispatcher = self._create_dispatcher(f"i{instance}")
                self._partition_dispatchers[f"i{instance}"] = dispatcher
            self._deliver(dispatcher, m.RequestGrant(work))
        elif self._dispatcher:
            self._deliver(self._dispatcher, m.RequestGrant(work))
        else:
            self._result.refused += 1

    def _deliver(self, dispatcher: SlotDispatcher, message) -> None:
        for action in dispatcher.handle(message, self._now):
            if isinstance(action, m.Grant):
                self._schedule(
                    self._now + NETWORK_DELAY_S, self._send, dispatcher, action
                )
            elif isinstance(action, m.Refuse):
                self._result.refused += 1
            elif isinstance(action, m.ConcludeRollout):
                self._conclude(action)
            elif isinstance(action, m.QueryGrants):
                self._schedule(
                    self._now + 2 * NETWORK_DELAY_S,
                    self._send_held,
                    dispatcher,
                    action.instance,
                )

    def _send_held(self, dispatcher: SlotDispatcher, instance: str) -> None:
        """Send a dispatcher the running requests of an instance."""
        held = frozenset(
            ask
            for target in self._targets.values()
            for ask, work in target.running.items()
            if work.instance == instance
        )
        self._deliver(dispatcher, m.HeldGrants(instance, held))

    def _send(self, dispatcher: SlotDispatcher, grant: m.Grant) -> None:
        work, target = grant.work, self._targets[grant.target]
        if self._now < target.down_until or (
            self._completed and target.version == OLD_VERSION
        ):
            self._deliver(dispatcher, m.Finished(work.ask, m.GrantOutcome.UNREACHABLE))
            return
        self._count_arrival(target)
        route, size, _ = self._requests[work.ask]
        run = target.begin(work, route, size, self._now)
        if run.first and run.outcome is not m.GrantOutcome.FAILED:
            self._schedule(
                self._now + run.first,
                self._send_first_token,
                dispatcher,
                work.ask,
                run.first,
            )
        self._schedule(
            self._now + run.seconds, self._finish, dispatcher, target, work.ask, run
        )

    def _send_first_token(
        self, dispatcher: SlotDispatcher, ask: str, seconds: float
    ) -> None:
        self._deliver(dispatcher, m.FirstToken(ask, seconds))

    def _finish(self, dispatcher, target, ask: str, run: EmulatedRun) -> None:
        if target.running.pop(ask, None) is None:
            return
        if run.is_bad:
            self._result.bad_answers += 1
            if self._result.bad_answers == TOLERATED_BAD_ANSWERS:
                self._tolerance_reached_at = self._now
        if dispatcher is not self._dispatcher and not dispatcher.is_standby:
            dispatcher = self._dispatcher
        if dispatcher:
            decoding = max(0.0, run.seconds - run.first)
            finished = m.Finished(ask, run.outcome, run.events, decoding)
            self._deliver(dispatcher, finished)

    def _count_arrival(self, target: EmulatedTarget) -> None:
        result = self._result
        self._requests_by_second[int(self._now)][target.version] += 1
        if ORDER_AT_S <= self._now <= self._deadline:
            result.requests += 1
            result.exposed += target.version == NEW_VERSION
        if target.version == NEW_VERSION and self._tolerance_reached_at:
            result.late_ms = 1000 * (self._now - self._tolerance_reached_at)
        if target.version == NEW_VERSION and self._now < ORDER_AT_S:
            raise AssertionError("the new version received a request before its order")

    # Crashes.

    def _crash(self, disturbance: Disturbance) -> None:
        for name in sorted(disturbance.targets):
            target = self._targets[name]
            target.down_until = self._now + disturbance.seconds
            for ask in list(target.running):
                del target.running[ask]
                if self._dispatcher:
                    self._deliver(
                        self._dispatcher, m.Finished(ask, m.GrantOutcome.BROKEN)
                    )

    # Status of the order.

    def _conclude(self, conclusion: m.ConcludeRollout) -> None:
        self._version_table.conclude(POOL, conclusion.number, conclusion.state)
        self._result.reason = conclusion.reason
        self._replan()
        self._write(conclusion.state)

    def _write(self, state: RolloutState) -> None:
        down = self._scenario.store_down
        answered = self._now + STORE_CALL_S
        if down and down[0] <= answered < down[1]:
            answered = down[1] + 0.3
        self._schedule(answered, self._apply_written, state)

    def _apply_written(self, state: RolloutState) -> None:
        if self._result.state is not None:
            return
        if state is not RolloutState.RUNNING:
            self._result.state = state
            self._result.concluded_after = round(self._now - ORDER_AT_S, 3)
        self._revision += 1
        order = RolloutOrder(
            POOL,
            NEW_VERSION,
            self._scenario.duration,
            self._revision,
            state,
            NEW_VERSION,
        )
        if state is RolloutState.COMPLETED:
            self._completed = True
            self._stop_old()
        self._version_table.apply_order(order, self._now)
        self._replan()

    def _stop_old(self) -> None:
        for target in self._targets.values():
            if target.version == OLD_VERSION:
                self._result.cut += len(target.running)
                for ask in list(target.running):
                    del target.running[ask]
                    if self._dispatcher:
                        self._deliver(
                            self._dispatcher, m.Finished(ask, m.GrantOutcome.BROKEN)
                        )
