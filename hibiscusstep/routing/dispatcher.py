"""hibiscusstep.routing.dispatcher: the decisions of one pool, as a state machine."""

from collections import Counter
from functools import singledispatchmethod
from statistics import median

from hibiscusstep.configuration.models import Configuration, Customer, Pool
from hibiscusstep.policy import Policy, get_policy_by_name
from hibiscusstep.routing import messages as m
from hibiscusstep.routing.base import PoolDispatcher
from hibiscusstep.routing.estimate import TargetState
from hibiscusstep.routing.forecast import MIN_RETRY_AFTER_S, Forecast
from hibiscusstep.routing.queue import TierQueue, Waiting
from hibiscusstep.routing.shedding import Shedder

__all__ = ["Dispatcher"]

MIN_COST_S = 0.001
EARLY_REFUSAL_FACTOR = 1.0
URGENT_S = 0.3
_ANYONE = Customer(key_hashes=["0" * 64], tier="any")


class Dispatcher(PoolDispatcher):
    """Orders by tiers and fair shares, by a policy that learns the targets' speeds.

    Parameters
    ----------
    pool_name : str
        The pool.
    configuration : Configuration
        What is in force.
    tier_guard : bool
        Off only to show what it prevents.
    seed : int
        Of the policies that draw.
    """

    def __init__(
        self,
        pool_name: str,
        configuration: Configuration,
        *,
        tier_guard: bool = True,
        seed: int = 0,
    ) -> None:
        super().__init__(pool_name)
        self._tier_guard = tier_guard
        self._seed = seed
        self._tier_of: dict[str, str] = {}
        self._queues: dict[str, TierQueue] = {}
        self._running_of: Counter = Counter()
        self._doubtful = False
        self._policy: Policy | None = None
        self._configure(configuration)

    @property
    def waiting(self) -> dict[str, int]:
        """How many wait, by tier, the highest first."""
        return {tier: len(queue) for tier, queue in self._queues.items()}

    def status(self) -> dict[str, dict]:
        """Return what is known of each target, for operators."""
        return {
            target.name: {
                "running": len(target.running),
                "max_running": target.max_running,
                "reported": target.reported,
                "prefill_rate": round(target.prefill_rate, 1),
                "decode_rate": round(target.decode_rate, 2),
                "drained": target.drained,
                "leaving": target.leaving,
                "reachable": target.reachable,
                "failures": target.failures,
            }
            for target in self._targets.values()
        }

    def _decide(self, message, now: float) -> None:
        self._schedule(now)
        self._shed(now)

    def next_due(self) -> float:
        """Return when the next waiting request would have to be given up."""
        return min((q.next_due() for q in self._queues.values()), default=float("inf"))

    @singledispatchmethod
    def _take(self, message, now: float) -> None:
        raise TypeError(f"no dispatcher message: {message!r}")

    @_take.register
    def _ask(self, message: m.Ask, now: float) -> None:
        work = message.work
        if work.ask in self._tier_of:
            return
        if work.tier not in self._queues:
            self._refuse_unknown_tier(work)
            return
        self.counts.asked += 1
        if self._over_limit(work):
            self._refuse_work(work, m.Reason.CUSTOMER_LIMIT, now)
            return
        self._tier_of[work.ask] = work.tier
        item = self._item(work)
        self._queues[work.tier].add(item)
        if self._recovered:
            self._judge_on_arrival(item, now)

    @_take.register
    def _withdraw(self, message: m.Withdraw, now: float) -> None:
        self._drop(message.ask)

    @_take.register
    def _first_token(self, message: m.FirstToken, now: float) -> None:
        target = self._targets.get(self._placed.get(message.ask, ""))
        if target:
            target.first_token(message.ask, message.seconds, now)

    @_take.register
    def _finished(self, message: m.Finished, now: float) -> None:
        target = self._release(message.ask)
        if target is None:
            return
        if message.outcome in (m.Outcome.DONE, m.Outcome.FAILED):
            target.done(
                message.ask, message.tokens, message.decode_seconds, message.computed
            )
        elif message.outcome in (m.Outcome.UNREACHABLE, m.Outcome.BROKEN):
            target.failed(message.ask, now)
        else:
            target.forget(message.ask)
            target.leaving |= message.outcome is m.Outcome.LEAVING

    @_take.register
    def _load_report(self, message: m.LoadReport, now: float) -> None:
        target = self._targets.get(message.target)
        if target:
            target.reported = message.running + message.waiting
            target.leaving = message.leaving
            target.reachable = message.reachable

    @_take.register
    def _adopt(self, message: m.Adopt, now: float) -> None:
        work = message.work
        target = self._targets.get(message.target)
        self._drop(work.ask)
        if target:
            target.grant(work, now)
            target.running[work.ask].first = now
            self._placed[work.ask] = message.target
            self._running_of[work.customer] += 1

    @_take.register
    def _recover(self, message: m.Recovered, now: float) -> None:
        self._recovered = True

    @_take.register
    def _doubt(self, message: m.Doubt, now: float) -> None:
        self._doubtful = message.doubtful

    @_take.register
    def _instance_gone(self, message: m.InstanceGone, now: float) -> None:
        held = [
            item.work
            for queue in self._queues.values()
            for item in queue
            if item.work.instance == message.instance
        ]
        held += [
            run.work
            for target in self._targets.values()
            for run in target.running.values()
            if run.work.instance == message.instance
        ]
        for work in held:
            self._drop(work.ask)

    @_take.register
    def _reconfigure(self, message: m.Configure, now: float) -> None:
        self._configure(message.configuration)

    @_take.register
    def _tick(self, message: m.Tick, now: float) -> None:
        pass

    def _configure(self, configuration: Configuration) -> None:
        self._configuration = configuration
        pool = configuration.pools.get(self._pool_name)
        if pool is None:
            for target in self._targets.values():
                target.drained = True
            return
        self._choose_policy(pool)
        self._update_targets(pool)
        self._update_queues()
        self._weights = {n: c.weight for n, c in configuration.customers.items()}
        self._shedder = Shedder(configuration, self._queues, self._targets)
        self._forecast = Forecast(
            configuration, self._queues, self._targets, self._shedder
        )

    def _choose_policy(self, pool: Pool) -> None:
        kind = get_policy_by_name(pool.policy)
        if type(self._policy) is kind:
            return
        self._policy = kind(self._seed)
        waiting = [item for queue in self._queues.values() for item in queue]
        self._queues = {}
        self._update_queues()
        for item in waiting:
            if item.work.tier in self._queues:
                self._queues[item.work.tier].add(item)
            else:
                self._drop_unknown_tier(item)

    def _update_targets(self, pool: Pool) -> None:
        for name, target in pool.targets.items():
            state = self._targets.get(name)
            if state is None:
                state = TargetState(
                    name, target.max_running, target.prefill_rate, target.decode_rate
                )
                self._targets[name] = state
            state.max_running = target.max_running
            state.drained = target.drained
        for name in self._targets.keys() - pool.targets.keys():
            self._targets[name].drained = True

    def _update_queues(self) -> None:
        tiers = self._configuration.tiers
        ordered = sorted(tiers, key=lambda name: tiers[name].rank)
        for tier in self._queues.keys() - tiers.keys():
            for item in self._queues[tier]:
                self._drop_unknown_tier(item)
        queues = {
            name: self._queues.get(name) or TierQueue(self._policy.fair, URGENT_S)
            for name in ordered
        }
        self._queues.clear()
        self._queues.update(queues)

    def _over_limit(self, work: m.Work) -> bool:
        customer = self._configuration.customers.get(work.customer, _ANYONE)
        waiting = sum(q.waiting_of(work.customer) for q in self._queues.values())
        return waiting >= customer.max_waiting

    def _item(self, work: m.Work) -> Waiting:
        targets = list(self._targets.values())
        prefill = [
            (work.prompt_tokens - t.cached_tokens(work)) / t.prefill_rate
            for t in targets
        ]
        decode = [work.output_tokens / t.decode_rate for t in targets]
        cost = max(MIN_COST_S, median(prefill or [0.0]) + median(decode or [0.0]))
        latest = work.deadline - median(prefill or [0.0])
        return Waiting(work, cost, latest, self._policy.long(work, targets))

    def _usable(self, now: float) -> list[TargetState]:
        return [target for target in self._targets.values() if target.usable(now)]

    def _schedule(self, now: float) -> None:
        live = self._usable(now)
        while live and any(self._queues.values()):
            room = [t for t in live if t.free > 0] if self._policy.bounded else live
            if not room or not self._grant_next(room, live, now):
                return

    def _grant_next(self, room, live, now: float) -> bool:
        if not self._policy.tiered:
            return self._grant_first_come(room, live, now)
        passed_over = False
        for queue in self._queues.values():
            for item in queue.candidates(now, self._may_run):
                if passed_over and not item.work.stoppable and self._tier_guard:
                    continue
                if self._try_grant(item, queue, room, live, now):
                    return True
            passed_over = passed_over or len(queue) > 0
        return False

    def _grant_first_come(self, room, live, now: float) -> bool:
        heads = [
            (item.work.received, item, queue)
            for queue in self._queues.values()
            for item in queue.candidates(now, self._may_run)
        ]
        heads.sort(key=lambda head: head[0])
        return any(
            self._try_grant(item, queue, room, live, now) for _at, item, queue in heads
        )

    def _try_grant(self, item: Waiting, queue, room, live, now: float) -> bool:
        work = item.work
        if not self._may_run(work.customer):
            return False
        others = [target for target in live if target.name not in work.avoid]
        allowed = [target for target in others if target in room] if others else room
        if not allowed:
            return False
        urgent = item.latest_start - now < URGENT_S
        target = self._policy.choose(work, allowed, live, urgent)
        if target is None:
            return False
        self._grant(item, queue, target, allowed, now)
        return True

    def _may_run(self, customer: str) -> bool:
        limit = self._configuration.customers.get(customer, _ANYONE).max_running
        return self._running_of[customer] < limit

    def _grant(self, item: Waiting, queue, target, allowed, now: float) -> None:
        work = item.work
        weighed = {t.name: round(t.seconds_to_end(work), 3) for t in allowed[:8]}
        queue.remove(work.ask)
        queue.charge(item, self._weights.get(work.customer, 1.0))
        self._tier_of.pop(work.ask, None)
        target.grant(work, now)
        self._placed[work.ask] = target.name
        self._running_of[work.customer] += 1
        self.counts.granted += 1
        wait = round(now - work.received, 4)
        self._decisions.append(m.Grant(work, target.name, wait, weighed))

    def _judge_on_arrival(self, item: Waiting, now: float) -> None:
        """Mark work that cannot meet its deadline as due at once."""
        if item.latest_start <= item.work.received:
            self._refuse_item(item, m.Reason.IMPOSSIBLE, now)
        elif all(t.drained or t.leaving for t in self._targets.values()):
            self._refuse_item(item, m.Reason.NO_TARGET, now)
        elif self._policy.refuses_early and not self._doubtful:
            slack = (item.latest_start - now) * EARLY_REFUSAL_FACTOR
            if self._forecast.wait(item, self._usable(now), now) > slack:
                self._give_up(item, now, m.Reason.LOAD)

    def _shed(self, now: float) -> None:
        for queue in self._queues.values():
            if self._policy.tiered and self._tier_guard:
                self._make_way(queue, now)
            for item in queue.overdue(now):
                if not self._give_up(item, now, m.Reason.DEADLINE):
                    break
        self._bound_waiting(now)

    def _make_way(self, queue: TierQueue, now: float) -> None:
        """Stop lower running work for requests that would otherwise be late."""
        if queue.next_due() - now >= URGENT_S:
            return
        urgent = queue.due_before(now + URGENT_S)
        live = self._usable(now)
        rank = urgent[0].work.rank
        if any(target.free > 0 for target in live):
            return
        needed = len(urgent) - self._shedder.stopping(rank)
        for target, run in self._shedder.victims(rank, now)[: max(0, needed)]:
            self._stop(target, run)

    def _stop(self, target: TargetState, run) -> None:
        run.stopping = True
        self.counts.stopped += 1
        self._decisions.append(m.Stop(run.work, target.name))

    def _give_up(self, item: Waiting, now: float, reason: m.Reason) -> bool:
        """Refuse a request unless lower work has to go first; say whether it went."""
        if not self._configuration.shedding_rule(item.work.tier).may_be_shed:
            return False
        if not self._usable(now) or self._doubtful:
            known = m.Reason.UNAVAILABLE if self._doubtful else m.Reason.NO_TARGET
            self._refuse_item(item, known, now)
            return True
        if self._policy.tiered and self._tier_guard:
            for lower in self._shedder.waiting_below(item.work.rank):
                self._refuse_item(lower, m.Reason.HIGHER_TIER, now)
            for target, run in self._shedder.victims(item.work.rank, now):
                self._stop(target, run)
            if self._shedder.stopping(item.work.rank):
                return False
        room = (t for t in self._usable(now) if t.free > 0 and not t.held_up)
        self.counts.refused_with_room += any(room)
        self._refuse_item(item, reason, now)
        return True

    def _bound_waiting(self, now: float) -> None:
        pool = self._configuration.pools.get(self._pool_name)
        excess = sum(map(len, self._queues.values())) - (
            pool.max_waiting if pool else 0
        )
        for queue in reversed(self._queues.values()):
            for item in list(queue)[::-1]:
                if excess <= 0:
                    return
                if not self._give_up(item, now, m.Reason.LOAD):
                    return
                excess -= 1

    def _refuse_item(self, item: Waiting, reason: m.Reason, now: float) -> None:
        queue = self._queues[item.work.tier]
        if queue.remove(item.work.ask):
            self._tier_of.pop(item.work.ask, None)
            self._refuse_work(item.work, reason, now)

    def _refuse_work(self, work: m.Work, reason: m.Reason, now: float) -> None:
        self.counts.refused += 1
        after = self._forecast.retry_after(work, self._usable(now), now)
        self._decisions.append(m.Refuse(work, reason, after))

    def _drop_unknown_tier(self, item: Waiting) -> None:
        self._tier_of.pop(item.work.ask, None)
        self._refuse_unknown_tier(item.work)

    def _refuse_unknown_tier(self, work: m.Work) -> None:
        """Refuse work of a tier that is gone, or in force elsewhere first."""
        self.counts.refused += 1
        refusal = m.Refuse(work, m.Reason.UNAVAILABLE, MIN_RETRY_AFTER_S)
        self._decisions.append(refusal)

    def _drop(self, ask: str) -> None:
        tier = self._tier_of.pop(ask, None)
        if tier in self._queues:
            self._queues[tier].remove(ask)
        target = self._release(ask)
        if target:
            target.forget(ask)

    def _release(self, ask: str) -> TargetState | None:
        target = self._targets.get(self._placed.pop(ask, ""))
        if target and ask in target.running:
            self._running_of[target.running[ask].work.customer] -= 1
        return target
