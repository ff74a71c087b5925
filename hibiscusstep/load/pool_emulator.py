"""hibiscusstep.load.pool_emulator: a pool in virtual time around a real dispatcher.

Targets batch, callers have objectives, leave and come back, bursts exceed all slots,
all instances restart: one process, no sockets, exact for a seed. The time that
decisions take is not counted.
"""

import heapq
import itertools
from collections import defaultdict
from dataclasses import dataclass, field

import numpy as np

from hibiscusstep.load.deployment import (
    LENGTH_S,
    DrawnDeployment,
    InstanceLoss,
    RequestKind,
)
from hibiscusstep.routing import messages as m
from hibiscusstep.routing.dispatch_plan import DispatchPlan, PlannedPool, PlannedTarget
from hibiscusstep.routing.slot_dispatcher import SlotDispatcher
from hibiscusstep.routing.switches import ALL_ENABLED, Switches
from hibiscusstep.standins.batching import Batch, EngineSpeed, Job

__all__ = ["Outcomes", "PoolEmulator"]

POOL = "pool"
TICK_S = 0.05
# From an instance to its dispatcher or a target, one way.
HOP_S = 0.001
# Spread of the logarithm of callers' hints about the length of answers.
HINT_SPREAD = 0.5
# Callers leave when no event comes for so long, or for so many objectives.
LEAVE_AFTER_S = 2.0
LEAVE_OBJECTIVES = 4.0
# What an answer is worth that is not in time; times that a refused caller comes back.
LATE_VALUE = 0.1
RETURNS = 1
PATIENCE = 0.25
WINDOW_S = 2.0
# The worst windows of a run count as much as the whole of it.
WORST_WINDOWS = 2
# An instance that dispatches for itself takes so many times its even share of slots.
ALONE_SHARES = 2.0
# A large region takes an instance for dead that was silent for so long.
SILENT_INSTANCE_S = 4.5
# Decode tokens a second of a stream alone lose this share with each further one.
BATCH_COST = 0.006


@dataclass(slots=True)
class _Request:
    """A caller's request over all its attempts."""

    number: int
    kind: RequestKind
    prompt: int
    output: int
    hint: int
    began: float
    instance: str
    returns: int = 0
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
class Outcomes:
    """What the callers of a run got.

    Parameters
    ----------
    owed, earned : dict of float to float
        Value by window (seconds of its start): 1 for a request in time, less if late.
    counts : dict of str to int
        Requests by how they ended.
    asked, served : dict of int to int
        Requests by rank, and those that were answered, in time or late.
    """

    owed: dict[float, float] = field(default_factory=lambda: defaultdict(float))
    earned: dict[float, float] = field(default_factory=lambda: defaultdict(float))
    counts: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    asked: dict[int, int] = field(default_factory=lambda: defaultdict(int))
    served: dict[int, int] = field(default_factory=lambda: defaultdict(int))

    def share_served(self, rank: int) -> float:
        """Return the part of a rank's requests that were answered."""
        return self.served[rank] / max(1, self.asked[rank])

    @property
    def all_served(self) -> float:
        """The part of all requests that were answered."""
        return sum(self.served.values()) / max(1, sum(self.asked.values()))

    @property
    def whole(self) -> float:
        """Value earned of what is owed."""
        return sum(self.earned.values()) / max(1e-9, sum(self.owed.values()))

    @property
    def worst(self) -> float:
        """The same over the worst windows."""
        shares = sorted(
            self.earned[at] / owed for at, owed in self.owed.items() if owed
        )
        return sum(shares[:WORST_WINDOWS]) / max(1, len(shares[:WORST_WINDOWS]))

    @property
    def goodput(self) -> float:
        """Mean of the whole and the worst windows."""
        return (self.whole + self.worst) / 2


class PoolEmulator:
    """Plays one deployment.

    Parameters
    ----------
    deployment : DrawnDeployment
        What is played.
    seed : int
        Of the callers.
    switches : Switches
        Mechanisms of the dispatcher that are on.
    """

    def __init__(
        self, deployment: DrawnDeployment, seed: int, switches: Switches = ALL_ENABLED
    ) -> None:
        self._deployment = deployment
        self._switches = switches
        self._draw = np.random.default_rng(seed)
        self._events: list = []
        self._order = itertools.count()
        self._numbers = itertools.count()
        self._now = 0.0
        self._by_ask: dict[str, _Request] = {}
        self._names = [f"t{n}" for n in range(len(deployment.slowness))]
        self._batches = dict(
            zip(self._names, map(self._batch, deployment.slowness), strict=True)
        )
        self._stepping: set[str] = set()
        self._outcomes = Outcomes()
        self._instances = [f"i{n}" for n in range(deployment.instances)]
        # Those of instances that dispatch for themselves.
        self._own: dict[str, SlotDispatcher] = {}
        self._alone_until = 0.0
        self._kept: m.LearnedEstimates | None = None
        self._dispatcher = self._new_dispatcher()

    def run(self) -> Outcomes:
        """Play it to its end."""
        for kind in self._deployment.kinds:
            self._next_arrival(kind)
        self._at(TICK_S, self._tick)
        if self._deployment.restart:
            self._at(self._deployment.restart, self._restart)
        if self._deployment.loss:
            self._at(self._deployment.loss.at, self._lose, self._deployment.loss)
        while self._events:
            self._now, _number, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return self._outcomes

    def _at(self, moment: float, action, *arguments) -> None:
        heapq.heappush(self._events, (moment, next(self._order), action, arguments))

    def _batch(self, slowness: float) -> Batch:
        d = self._deployment
        speed = EngineSpeed(
            d.prefill_rate, 1 / d.step, BATCH_COST, d.slots, d.part, slowness
        )
        return Batch(speed, cache_tokens=0)

    def _new_dispatcher(self, instance: str = "") -> SlotDispatcher:
        """Return the dispatcher of all, or that of an instance for itself."""
        d = self._deployment
        targets = {name: PlannedTarget(d.slots) for name in self._names}
        pool = PlannedPool(True, d.tokens_per_event, d.max_pause, targets)
        plan = DispatchPlan({POOL: pool})
        dispatcher = SlotDispatcher(
            POOL, plan, standalone_instance=instance, switches=self._switches
        )
        if instance:
            dispatcher.capacity_share = min(1.0, ALONE_SHARES / d.instances)
        if self._kept and self._switches.kept_beliefs:
            dispatcher.handle(self._kept, self._now)
        dispatcher.handle(m.Recovered(), self._now)
        return dispatcher

    def _dispatcher_of(self, instance: str) -> SlotDispatcher:
        if not instance or self._now >= self._alone_until:
            return self._dispatcher
        if instance not in self._own:
            self._own[instance] = self._new_dispatcher(instance)
        return self._own[instance]

    def _tell(self, message, instance: str = "") -> None:
        """Tell the dispatcher of all, or that of an instance that is alone."""
        self._carry_out(self._dispatcher_of(instance).handle(message, self._now))

    def _carry_out(self, decisions: list[m.Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, m.QueryGrants):
                self._at(self._now + 2 * HOP_S, self._answer, decision.instance)
                continue
            request = self._by_ask.get(decision.work.ask)
            if request is None:
                continue
            if isinstance(decision, m.Grant):
                self._at(self._now + HOP_S, self._send, request, decision)
            elif isinstance(decision, m.Refuse):
                self._at(self._now + HOP_S, self._refuse, request, decision)

    def _answer(self, instance: str) -> None:
        """Tell the dispatcher what an instance holds, if it lives."""
        if instance in self._instances:
            held = {a for a, r in self._by_ask.items() if r.instance == instance}
            self._tell(m.HeldGrants(instance, frozenset(held)), instance)

    def _tick(self) -> None:
        for dispatcher in (self._dispatcher, *self._own.values()):
            self._carry_out(dispatcher.handle(m.Tick(), self._now))
        if self._now < LENGTH_S or self._by_ask:
            self._at(self._now + TICK_S, self._tick)

    def _next_arrival(self, kind: RequestKind) -> None:
        rate = self._deployment.rate(kind, self._now)
        moment = self._now + self._draw.exponential(1 / rate)
        if moment < LENGTH_S:
            self._at(moment, self._arrive, kind)

    def _arrive(self, kind: RequestKind) -> None:
        self._next_arrival(kind)
        prompt = self._tokens(kind.prompt, kind.spread)
        output = self._tokens(kind.output, kind.spread)
        hint = max(1, round(output * self._draw.lognormal(0.0, HINT_SPREAD)))
        number = next(self._numbers)
        instance = self._instances[number % len(self._instances)]
        request = _Request(number, kind, prompt, output, hint, self._now, instance)
        self._outcomes.owed[self._window(request)] += 1.0
        self._outcomes.asked[kind.rank] += 1
        self._at(self._now + kind.deadline, self._end, request, "deadline", 0.0)
        self._ask(request)

    def _tokens(self, mean: float, spread: float) -> int:
        drawn = self._draw.lognormal(np.log(mean) - spread**2 / 2, spread)
        return int(min(8 * mean, max(1, round(drawn))))

    def _window(self, request: _Request) -> float:
        return request.began // WINDOW_S * WINDOW_S

    def _ask(self, request: _Request) -> None:
        if request.ended:
            return
        kind, now = request.kind, self._now
        request.ask = f"{request.number}.{request.returns}"
        self._by_ask[request.ask] = request
        request.asked = now
        patience = max(LEAVE_AFTER_S, LEAVE_OBJECTIVES * kind.objective)
        self._at(now + patience, self._leave, request, request.ask)
        self._tell(m.RequestGrant(self._work(request)), request.instance)

    def _work(self, request: _Request) -> m.Work:
        kind, asked = request.kind, request.asked
        return m.Work(
            request.ask, request.ask, request.instance, "c", str(kind.rank), kind.rank,
            request.prompt, request.hint, asked + PATIENCE * kind.objective, asked,
            first_token_due=asked + kind.objective,
            answer_due=request.began + kind.deadline,
            identity=request.number + 1,
        )  # fmt: skip

    def _leave(self, request: _Request, ask: str) -> None:
        if request.ask == ask and not request.events:
            self._end(request, "left", 0.0)

    def _send(self, request: _Request, grant: m.Grant) -> None:
        if request.ended or request.ask != grant.work.ask:
            return
        request.target, request.granted = grant.target, self._now
        request.job = Job(request.ask, "", request.output, 0, request.prompt)
        first = self._deployment.first_token
        slowness = self._batches[grant.target].speed.slow
        self._at(self._now + HOP_S + first * slowness, self._admit, request)

    def _admit(self, request: _Request) -> None:
        if request.ended:
            return
        self._batches[request.target].add(request.job)
        if request.target not in self._stepping:
            self._stepping.add(request.target)
            self._step(request.target)

    def _step(self, name: str) -> None:
        batch = self._batches[name]
        if batch.idle:
            self._stepping.discard(name)
            return
        seconds, advanced = batch.step()
        moment = self._now + max(1e-4, seconds)
        for job in advanced:
            whole = job.produced % self._deployment.tokens_per_event == 0
            if job.produced == 1 or whole or job.finished:
                self._at(moment + HOP_S, self._event, job)
        self._at(moment, self._step, name)

    def _event(self, job: Job) -> None:
        request = self._by_ask.get(job.request)
        if request is None or request.job is not job or request.ended:
            return
        if request.events:
            pause = self._now - request.last
            request.longest_pause = max(request.longest_pause, pause)
        else:
            request.first = self._now
            seconds = self._now - request.granted
            self._tell(m.FirstToken(request.ask, seconds), request.instance)
            self._report(request)
        request.events += 1
        request.last = self._now
        if job.finished:
            self._finish(request)

    def _report(self, request: _Request) -> None:
        """Tell an instance that is alone the load that came with an answer."""
        if self._now < self._alone_until:
            batch = self._batches[request.target]
            report = m.LoadReport(request.target, batch.running, batch.waiting, False)
            self._tell(report, request.instance)

    def _finish(self, request: _Request) -> None:
        kind = request.kind
        in_time = request.first <= request.began + kind.objective
        in_time &= request.longest_pause <= self._deployment.max_pause
        value = 1.0 if in_time else LATE_VALUE
        self._end(request, "in time" if in_time else "late", value)

    def _end(self, request: _Request, how: str, value: float) -> None:
        if request.ended:
            return
        request.ended = True
        self._outcomes.counts[how] += 1
        self._outcomes.earned[self._window(request)] += value
        self._outcomes.served[request.kind.rank] += value > 0
        self._release(
            request, m.GrantOutcome.DONE if value else m.GrantOutcome.CANCELLED
        )

    def _release(self, request: _Request, outcome: m.GrantOutcome) -> None:
        """Tell the dispatcher that a request is gone from it, or from its target."""
        self._by_ask.pop(request.ask, None)
        if request.job is None:
            self._tell(m.Withdraw(request.ask), request.instance)
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
        self._tell(finished, request.instance)

    def _refuse(self, request: _Request, refusal: m.Refuse) -> None:
        self._by_ask.pop(refusal.work.ask, None)
        if request.ended or request.ask != refusal.work.ask:
            return
        left = request.began + request.kind.deadline - self._now
        wait = min(refusal.retry_after, left / 3)
        if request.returns >= RETURNS or left <= 0:
            self._end(request, "refused", 0.0)
            return
        request.returns += 1
        # Until it comes back, nothing of it waits that its caller might leave.
        request.ask = ""
        self._at(self._now + wait, self._ask, request)

    def _restart(self) -> None:
        """Lose all instances at once, with all that they held."""
        self._kept = self._kept_by(self._dispatcher)
        lost = list(self._by_ask.values())
        self._by_ask = {}
        for request in lost:
            if request.job:
                request.job.cancelled = True
                request.job = None
            if not request.ended:
                request.ended = True
                self._outcomes.counts["lost"] += 1
        self._dispatcher = self._new_dispatcher()
        self._alone_until = self._now + self._deployment.alone
        self._at(self._alone_until, self._join)

    def _join(self) -> None:
        """Let one dispatcher decide for all again: it hears what runs and waits."""
        self._own = {}
        for request in self._by_ask.values():
            if request.job:
                self._tell(m.AdoptRunning(self._work(request), request.target))
        for request in list(self._by_ask.values()):
            if not request.job:
                self._tell(m.RequestGrant(self._work(request)))

    def _lose(self, loss: InstanceLoss) -> None:
        """Lose some instances without a word; their targets work on."""
        count = round(loss.share * len(self._instances))
        gone, self._instances = self._instances[:count], self._instances[count:]
        for name in gone:
            self._at(self._now + SILENT_INSTANCE_S, self._tell, m.InstanceGone(name))
        for request in list(self._by_ask.values()):
            if request.instance in gone:
                del self._by_ask[request.ask]
                request.ended = True
                self._outcomes.counts["lost"] += 1

    def _kept_by(self, dispatcher: SlotDispatcher) -> m.LearnedEstimates | None:
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
