"""hibiscusstep.load.pool_emulator: emulates a pool in virtual time.

The dispatcher is the real one; targets, callers and the network are emulated in one
process without sockets. Covers batching, latency objectives, callers that disconnect
and retry, bursts that exceed all slots, hosts of changing pace, and restarts of all
instances. A run is deterministic for a seed. The time that the dispatcher takes to
decide is not included.
"""

import heapq
import itertools
from collections import defaultdict
from dataclasses import dataclass, field

import numpy as np

from hibiscusstep.load.drawn_deployment import (
    RUN_LENGTH_S,
    DrawnDeployment,
    InstanceLoss,
    RequestKind,
)
from hibiscusstep.routing import messages as m
from hibiscusstep.routing.dispatch_plan import DispatchPlan, PlannedPool, PlannedTarget
from hibiscusstep.routing.slot_dispatcher import SlotDispatcher
from hibiscusstep.routing.switches import ALL_ENABLED, Switches
from hibiscusstep.standins.batching import Batch, EngineSpeed, Job

__all__ = ["EmulationResult", "PoolEmulator"]

POOL = "pool"
TICK_S = 0.05
# One-way delay from an instance to its dispatcher or to a target.
HOP_S = 0.001
# Standard deviation of the logarithm of the callers' output length hints.
HINT_SPREAD = 0.5
# Callers disconnect if no event arrives within the greater of this time and this
# multiple of their objective.
MIN_PATIENCE_S = 2.0
PATIENCE_OBJECTIVES = 4.0
# Value of a late answer; one in time counts 1.
LATE_VALUE = 0.1
# Retries of a refused request.
MAX_RETRIES = 1
# Retries of a caller that ignores Retry-After, and its delay: a new connection.
MAX_RETRIES_AT_ONCE, AT_ONCE_S = 3, 0.02
# Multiples of it, modulo 1, are spread evenly over the requests.
GOLDEN_RATIO = (5**0.5 - 1) / 2
# Share of the objective that a request may wait in the queue.
QUEUE_WAIT_SHARE = 0.25
WINDOW_S = 2.0
# The worst windows have the same weight in the goodput as the whole run.
WORST_WINDOWS = 2
# A standby dispatcher grants at most this multiple of an even share of the slots, and
# of the targets' rate limits.
STANDBY_SHARES, STANDBY_LIMIT_SHARES = 2.0, 0.5
# Time after which a large region's dispatcher considers a silent instance dead.
INSTANCE_TIMEOUT_S = 4.5
# Share of a decode step that each further stream in the batch adds.
BATCH_COST = 0.006


@dataclass(slots=True)
class _Request:
    """A caller's request with all its attempts."""

    number: int
    kind: RequestKind
    prompt: int
    output: int
    hint: int
    began: float
    instance: str
    customer: str
    retries: int = 0
    retries_at_once: bool = False
    ask: str = ""
    job: Job | None = None
    target: str = ""
    asked: float = 0.0
    granted: float = 0.0
    first: float = 0.0
    last: float = 0.0
    events: int = 0
    longest_pause: float = 0.0
    value: float = 0.0
    ended: bool = False


@dataclass(slots=True)
class EmulationResult:
    """Results of a run as its callers saw them.

    Parameters
    ----------
    possible_value, achieved_value : dict of float to float
        Possible and achieved value by the start of the window in seconds: 1 for an
        answer in time, `LATE_VALUE` for a late one.
    counts : dict of str to int
        Requests by result.
    asked, served : dict of int to int
        All requests by rank, and those answered in time or late.
    arrivals : dict of str to list of float
        Times at which requests arrived at each target.
    asked_by_customer, served_by_customer : dict of str to int
        As `asked` and `served`, by customer.
    refused_callers, served_after_refusal : dict of bool to int
        Callers whose first attempt was refused, and those of them that were answered
        later, by whether they retry at once.
    first_token_seconds : list of float
        Seconds from each request's start to its first token, where there was one.
    """

    possible_value: dict[float, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    achieved_value: dict[float, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    counts: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    asked: dict[int, int] = field(default_factory=lambda: defaultdict(int))
    served: dict[int, int] = field(default_factory=lambda: defaultdict(int))
    arrivals: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    asked_by_customer: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    served_by_customer: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    refused_callers: dict[bool, int] = field(default_factory=lambda: defaultdict(int))
    served_after_refusal: dict[bool, int] = field(
        default_factory=lambda: defaultdict(int)
    )
    first_token_seconds: list[float] = field(default_factory=list)

    def share_served(self, rank: int) -> float:
        """Return the share of a rank's requests that were answered."""
        return self.served[rank] / max(1, self.asked[rank])

    def share_served_after_refusal(self, *, at_once: bool) -> float:
        """Return the share of refused callers that were answered later."""
        refused = max(1, self.refused_callers[at_once])
        return self.served_after_refusal[at_once] / refused

    @property
    def all_served(self) -> float:
        """Share of all requests that were answered."""
        return sum(self.served.values()) / max(1, sum(self.asked.values()))

    @property
    def overall_share(self) -> float:
        """Share of the possible value that was achieved, over the run."""
        return sum(self.achieved_value.values()) / max(
            1e-9, sum(self.possible_value.values())
        )

    @property
    def worst_share(self) -> float:
        """Share of the possible value that was achieved in the worst windows."""
        shares = sorted(
            self.achieved_value[at] / possible
            for at, possible in self.possible_value.items()
            if possible
        )
        return sum(shares[:WORST_WINDOWS]) / max(1, len(shares[:WORST_WINDOWS]))

    @property
    def goodput(self) -> float:
        """Mean of the shares over the run and over the worst windows."""
        return (self.overall_share + self.worst_share) / 2


class PoolEmulator:
    """Emulator of one deployment.

    Parameters
    ----------
    deployment : DrawnDeployment
        Deployment to emulate.
    seed : int
        Seed of the callers' random draws.
    switches : Switches
        Enabled mechanisms of the dispatcher.
    """

    def __init__(
        self, deployment: DrawnDeployment, seed: int, switches: Switches = ALL_ENABLED
    ) -> None:
        self._deployment = deployment
        self._switches = switches
        self._rng = np.random.default_rng(seed)
        # Not the callers' generator, so that their requests are the same without it.
        self._host_rng = np.random.default_rng((seed, 1))
        self._events: list = []
        self._sequence = itertools.count()
        self._numbers = itertools.count()
        self._now = 0.0
        self._by_ask: dict[str, _Request] = {}
        self._names = [f"t{n}" for n in range(len(deployment.slowness))]
        self._batches = dict(
            zip(self._names, map(self._batch, deployment.slowness), strict=True)
        )
        # Pace of each target's host; empty if it does not change.
        self._paces: dict[str, float] = {}
        self._active_targets: set[str] = set()
        # Limits that the instances know, by target.
        self._known_limits: dict[str, float | None] = dict.fromkeys(self._names)
        self._result = EmulationResult()
        self._instances = [f"i{n}" for n in range(deployment.instances)]
        # Standby dispatchers by instance.
        self._standby_dispatchers: dict[str, SlotDispatcher] = {}
        self._standby_until = 0.0
        self._saved_estimates: m.LearnedEstimates | None = None
        self._dispatcher = self._new_dispatcher()

    def run(self) -> EmulationResult:
        """Run the emulation to its end."""
        for kind in self._deployment.kinds:
            self._next_arrival(kind)
        self._schedule(TICK_S, self._tick)
        if self._deployment.host_changes:
            for number in range(len(self._names)):
                self._change_pace(number)
        if self._deployment.restart:
            self._schedule(self._deployment.restart, self._restart)
        if self._deployment.loss:
            self._schedule(
                self._deployment.loss.at, self._lose_instances, self._deployment.loss
            )
        while self._events:
            self._now, _number, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return self._result

    def _schedule(self, moment: float, action, *arguments) -> None:
        heapq.heappush(self._events, (moment, next(self._sequence), action, arguments))

    def _batch(self, slowness: float) -> Batch:
        d = self._deployment
        speed = EngineSpeed(
            d.prefill_rate, 1 / d.step, BATCH_COST, d.slots, d.prefill_chunk, slowness
        )
        return Batch(speed, cache_tokens=0)

    def _change_pace(self, number: int) -> None:
        """Draw the pace of a target's host, and the time of the next draw."""
        changes, rng = self._deployment.host_changes, self._host_rng
        pace = changes.factor if rng.random() < changes.slow_share else 1.0
        name = self._names[number]
        self._paces[name] = pace
        self._batches[name].speed.slow = self._deployment.slowness[number] * pace
        if self._now < RUN_LENGTH_S or self._by_ask:
            moment = self._now + rng.exponential(changes.interval)
            self._schedule(moment, self._change_pace, number)

    def _new_dispatcher(self, instance: str = "") -> SlotDispatcher:
        """Return a new dispatcher of the pool, or an instance's standby dispatcher."""
        d = self._deployment
        dispatcher = SlotDispatcher(
            POOL, self._plan(), standby_instance=instance, switches=self._switches
        )
        if instance:
            dispatcher.capacity_share = min(1.0, STANDBY_SHARES / d.instances)
            dispatcher.set_limit_share(STANDBY_LIMIT_SHARES / d.instances, self._now)
        if self._saved_estimates and self._switches.kept_beliefs:
            dispatcher.handle(self._saved_estimates, self._now)
        dispatcher.handle(m.Recovered(), self._now)
        return dispatcher

    def _plan(self) -> DispatchPlan:
        d = self._deployment
        targets = {
            name: PlannedTarget(d.slots, rate_limit=limit)
            for name, limit in self._known_limits.items()
        }
        pool = PlannedPool(
            True,
            d.tokens_per_event,
            d.max_pause,
            targets,
            fair_shares=len(d.customers) > 1,
            customer_weights={f"c{n}": share for n, share in enumerate(d.customers)},
            planned_returns=d.plans_returns,
        )
        return DispatchPlan({POOL: pool})

    def _hear_limit(self, name: str) -> None:
        """Apply the limit that a target names in a response, at all dispatchers."""
        number = self._names.index(name)
        limit = self._deployment.limit_named_by(number, self._now)
        if limit != self._known_limits[name]:
            self._known_limits[name] = limit
            self._schedule(self._now + HOP_S, self._configure)

    def _configure(self) -> None:
        for dispatcher in (self._dispatcher, *self._standby_dispatchers.values()):
            self._execute(dispatcher.handle(m.Configure(self._plan()), self._now))

    def _dispatcher_of(self, instance: str) -> SlotDispatcher:
        if not instance or self._now >= self._standby_until:
            return self._dispatcher
        if instance not in self._standby_dispatchers:
            self._standby_dispatchers[instance] = self._new_dispatcher(instance)
        return self._standby_dispatchers[instance]

    def _send_to_dispatcher(self, message, instance: str = "") -> None:
        """Pass a message to the pool's dispatcher, or to a standby dispatcher."""
        self._execute(self._dispatcher_of(instance).handle(message, self._now))

    def _execute(self, decisions: list[m.Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, m.QueryGrants):
                self._schedule(
                    self._now + 2 * HOP_S, self._report_held, decision.instance
                )
                continue
            request = self._by_ask.get(decision.work.ask)
            if request is None:
                continue
            if isinstance(decision, m.Grant):
                self._schedule(
                    self._now + HOP_S, self._start_attempt, request, decision
                )
            elif isinstance(decision, m.Refuse):
                self._schedule(self._now + HOP_S, self._refuse, request, decision)

    def _report_held(self, instance: str) -> None:
        """Report the requests that an instance holds, if it still runs."""
        if instance in self._instances:
            held = {a for a, r in self._by_ask.items() if r.instance == instance}
            self._send_to_dispatcher(m.HeldGrants(instance, frozenset(held)), instance)

    def _tick(self) -> None:
        for dispatcher in (self._dispatcher, *self._standby_dispatchers.values()):
            self._execute(dispatcher.handle(m.TimePassed(), self._now))
        if self._now < RUN_LENGTH_S or self._by_ask:
            self._schedule(self._now + TICK_S, self._tick)

    def _next_arrival(self, kind: RequestKind) -> None:
        rate = self._deployment.rate(kind, self._now)
        moment = self._now + self._rng.exponential(1 / rate)
        if moment < RUN_LENGTH_S:
            self._schedule(moment, self._arrive, kind)

    def _arrive(self, kind: RequestKind) -> None:
        self._next_arrival(kind)
        prompt = self._draw_tokens(kind.prompt, kind.spread)
        output = self._draw_tokens(kind.output, kind.spread)
        hint = max(1, round(output * self._rng.lognormal(0.0, HINT_SPREAD)))
        number = next(self._numbers)
        instance = self._instances[number % len(self._instances)]
        customer = self._draw_customer()
        request = _Request(
            number, kind, prompt, output, hint, self._now, instance, customer
        )
        request.retries_at_once = (
            number * GOLDEN_RATIO % 1 < self._deployment.at_once_share
        )
        self._result.asked_by_customer[customer] += 1
        self._result.possible_value[self._window_start(request)] += 1.0
        self._result.asked[kind.rank] += 1
        self._schedule(
            self._now + kind.deadline, self._end_request, request, "deadline", 0.0
        )
        self._submit(request)

    def _draw_customer(self) -> str:
        """Return the customer of a request that arrives now.

        There is no draw for a single customer, so that its runs are as those without.
        """
        rates = self._deployment.customer_rates(self._now)
        if len(rates) == 1:
            return "c0"
        return f"c{self._rng.choice(len(rates), p=np.array(rates) / sum(rates))}"

    def _draw_tokens(self, mean: float, spread: float) -> int:
        drawn = self._rng.lognormal(np.log(mean) - spread**2 / 2, spread)
        return int(min(8 * mean, max(1, round(drawn))))

    def _window_start(self, request: _Request) -> float:
        return request.began // WINDOW_S * WINDOW_S

    def _submit(self, request: _Request) -> None:
        if request.ended:
            return
        kind, now = request.kind, self._now
        request.ask = f"{request.number}.{request.retries}"
        self._by_ask[request.ask] = request
        request.asked = now
        patience = max(MIN_PATIENCE_S, PATIENCE_OBJECTIVES * kind.objective)
        self._schedule(now + patience, self._give_up, request, request.ask)
        self._send_to_dispatcher(m.RequestGrant(self._work(request)), request.instance)

    def _work(self, request: _Request) -> m.Work:
        kind, asked = request.kind, request.asked
        return m.Work(
            request.ask, request.ask, request.instance, request.customer,
            str(kind.rank), kind.rank,
            request.prompt, request.hint, asked + QUEUE_WAIT_SHARE * kind.objective,
            asked,
            first_token_due=asked + kind.objective,
            answer_due=request.began + kind.deadline,
            identity=request.number + 1,
        )  # fmt: skip

    def _give_up(self, request: _Request, ask: str) -> None:
        if request.ask == ask and not request.events:
            self._end_request(request, "left", 0.0)

    def _start_attempt(self, request: _Request, grant: m.Grant) -> None:
        if request.ended or request.ask != grant.work.ask:
            return
        request.target, request.granted = grant.target, self._now
        request.job = Job(request.ask, "", request.output, 0, request.prompt)
        first = self._deployment.first_token
        slowness = self._batches[grant.target].speed.slow
        self._schedule(self._now + HOP_S + first * slowness, self._admit, request)

    def _admit(self, request: _Request) -> None:
        if request.ended:
            return
        self._result.arrivals[request.target].append(self._now)
        self._batches[request.target].add(request.job)
        if request.target not in self._active_targets:
            self._active_targets.add(request.target)
            self._step_batch(request.target)

    def _step_batch(self, name: str) -> None:
        batch = self._batches[name]
        if batch.idle:
            self._active_targets.discard(name)
            return
        seconds, advanced = batch.step()
        moment = self._now + max(1e-4, seconds)
        for job in advanced:
            event_complete = job.produced % self._deployment.tokens_per_event == 0
            if job.produced == 1 or event_complete or job.finished:
                self._schedule(moment + HOP_S, self._receive_event, job)
        self._schedule(moment, self._step_batch, name)

    def _receive_event(self, job: Job) -> None:
        request = self._by_ask.get(job.request)
        if request is None or request.job is not job or request.ended:
            return
        if request.events:
            pause = self._now - request.last
            request.longest_pause = max(request.longest_pause, pause)
        else:
            request.first = self._now
            self._result.first_token_seconds.append(self._now - request.began)
            seconds = self._now - request.granted
            pace = self._paces.get(request.target, 0.0)
            self._send_to_dispatcher(
                m.FirstToken(request.ask, seconds, pace), request.instance
            )
            self._report_load(request)
            self._hear_limit(request.target)
        request.events += 1
        request.last = self._now
        if job.finished:
            self._finish(request)

    def _report_load(self, request: _Request) -> None:
        """Report a target's load, received with an answer, to a standby dispatcher."""
        if self._now < self._standby_until:
            batch = self._batches[request.target]
            report = m.LoadReport(
                request.target,
                batch.running,
                batch.waiting,
                False,
                pace=self._paces.get(request.target, 0.0),
            )
            self._send_to_dispatcher(report, request.instance)

    def _finish(self, request: _Request) -> None:
        kind = request.kind
        from_return = self._deployment.due_from_return
        began = request.asked if from_return else request.began
        in_time = request.first <= began + kind.objective
        in_time &= request.longest_pause <= self._deployment.max_pause
        value = 1.0 if in_time else LATE_VALUE
        self._end_request(request, "in time" if in_time else "late", value)

    def _end_request(self, request: _Request, how: str, value: float) -> None:
        if request.ended:
            return
        request.ended = True
        self._result.counts[how] += 1
        self._result.achieved_value[self._window_start(request)] += value
        self._result.served[request.kind.rank] += value > 0
        self._result.served_by_customer[request.customer] += value > 0
        if request.retries:
            at_once = request.retries_at_once
            self._result.served_after_refusal[at_once] += value > 0
        self._release(
            request, m.GrantOutcome.DONE if value else m.GrantOutcome.CANCELLED
        )

    def _release(self, request: _Request, outcome: m.GrantOutcome) -> None:
        """Notify the dispatcher that a request left its queue or its target."""
        self._by_ask.pop(request.ask, None)
        if request.job is None:
            self._send_to_dispatcher(m.Withdraw(request.ask), request.instance)
            return
        request.job.cancelled = outcome is not m.GrantOutcome.DONE
        request.job = None
        finished = m.Finished(
            request.ask,
            outcome,
            request.events,
            request.last - request.first,
            longest_pause=request.longest_pause,
        )
        self._send_to_dispatcher(finished, request.instance)

    def _refuse(self, request: _Request, refusal: m.Refuse) -> None:
        self._by_ask.pop(refusal.work.ask, None)
        if request.ended or request.ask != refusal.work.ask:
            return
        left = request.began + request.kind.deadline - self._now
        at_once = request.retries_at_once
        wait = AT_ONCE_S if at_once else min(refusal.retry_after, left / 3)
        self._result.refused_callers[at_once] += not request.retries
        max_retries = MAX_RETRIES_AT_ONCE if at_once else MAX_RETRIES
        if request.retries >= max_retries or left <= 0:
            self._end_request(request, "refused", 0.0)
            return
        request.retries += 1
        # No attempt is open until the retry, so the patience timeout must not match.
        request.ask = ""
        self._schedule(self._now + wait, self._submit, request)

    def _restart(self) -> None:
        """Restart all instances at once; their open requests are lost."""
        self._saved_estimates = self._saved_estimates_of(self._dispatcher)
        lost = list(self._by_ask.values())
        self._by_ask = {}
        for request in lost:
            if request.job:
                request.job.cancelled = True
                request.job = None
            if not request.ended:
                request.ended = True
                self._result.counts["lost"] += 1
        self._dispatcher = self._new_dispatcher()
        self._standby_until = self._now + self._deployment.standby_seconds
        self._schedule(self._standby_until, self._resume_pool_dispatcher)

    def _resume_pool_dispatcher(self) -> None:
        """Switch back to the pool's dispatcher and send it all open requests."""
        self._standby_dispatchers = {}
        for request in self._by_ask.values():
            if request.job:
                self._send_to_dispatcher(
                    m.AdoptRunning(self._work(request), request.target)
                )
        for request in list(self._by_ask.values()):
            if not request.job:
                self._send_to_dispatcher(m.RequestGrant(self._work(request)))

    def _lose_instances(self, loss: InstanceLoss) -> None:
        """Stop some instances without notice; their targets keep working."""
        count = round(loss.share * len(self._instances))
        gone, self._instances = self._instances[:count], self._instances[count:]
        for name in gone:
            self._schedule(
                self._now + INSTANCE_TIMEOUT_S,
                self._send_to_dispatcher,
                m.InstanceGone(name),
            )
        for request in list(self._by_ask.values()):
            if request.instance in gone:
                del self._by_ask[request.ask]
                request.ended = True
                self._result.counts["lost"] += 1

    def _saved_estimates_of(
        self, dispatcher: SlotDispatcher
    ) -> m.LearnedEstimates | None:
        learned = dispatcher.learned_estimates
        if learned is None:
            return None
        return m.LearnedEstimates(
            learned.slowness,
            learned.base_seconds,
            learned.seconds_per_prompt_token,
            learned.prefill_chunk_s,
            is_fallback=True,
        )
