"""hibiscusstep.routing.policy_dispatcher: the dispatcher of pools with a policy."""

from collections import Counter
from functools import singledispatchmethod
from statistics import median

from hibiscusstep.configuration.models import Configuration, Customer, Pool
from hibiscusstep.policy import Policy, get_policy_by_name
from hibiscusstep.routing import messages as m
from hibiscusstep.routing.forecast import MIN_RETRY_AFTER_S, Forecast
from hibiscusstep.routing.pool_dispatcher import PoolDispatcher
from hibiscusstep.routing.queue import QueuedRequest, TierQueue
from hibiscusstep.routing.shedding import Shedder
from hibiscusstep.routing.target_estimate import TargetEstimate

__all__ = ["PolicyDispatcher"]

# Minimum estimated seconds of service of a request.
MIN_COST_S = 0.001
# A request is refused on arrival if its expected wait exceeds this multiple of the time
# to its latest start.
EARLY_REFUSAL_FACTOR = 1.0
# Time before its latest start from which a request is urgent: it goes first among its
# customer's requests, and requests of lower tiers may be stopped for it.
URGENT_S = 0.3
_DEFAULT_CUSTOMER = Customer(key_hashes=["0" * 64], tier="any")


class PolicyDispatcher(PoolDispatcher):
    """A dispatcher with tiers, fair sharing and a configurable placement policy.

    The policies use the learned speeds of the targets (`TargetEstimate`).

    Parameters
    ----------
    pool_name : str
        Name of the pool.
    configuration : Configuration
        The configuration in force.
    tier_guard : bool
        Whether lower tiers are shed before higher ones; tests switch it off to show
        the failure that it prevents.
    seed : int
        Seed of the policies that choose at random.
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
        self._tier_by_ask: dict[str, str] = {}
        self._queues: dict[str, TierQueue] = {}
        self._running_by_customer: Counter = Counter()
        self._partition_suspected = False
        self._policy: Policy | None = None
        self._configure(configuration)

    @property
    def waiting(self) -> dict[str, int]:
        """Number of waiting requests by tier, the highest tier first."""
        return {tier: len(queue) for tier, queue in self._queues.items()}

    def status(self) -> dict[str, dict]:
        """Return the state of each target by name, for operators."""
        return {
            target.name: {
                "running": len(target.running),
                "max_running": target.max_running,
                "reported": target.reported_load,
                "prefill_rate": round(target.prefill_rate, 1),
                "decode_rate": round(target.decode_rate, 2),
                "drained": target.drained,
                "leaving": target.leaving,
                "reachable": target.reachable,
                "failures": target.failures,
            }
            for target in self._targets.values()
        }

    def _make_decisions(self, message, now: float) -> None:
        self._schedule(now)
        self._shed(now)

    def next_latest_start(self) -> float:
        """Return the first `latest_start` of the waiting requests; infinity if none."""
        return min(
            (q.next_latest_start() for q in self._queues.values()), default=float("inf")
        )

    @singledispatchmethod
    def _update_state(self, message, now: float) -> None:
        raise TypeError(f"unknown dispatcher message: {message!r}")

    @_update_state.register
    def _ask(self, message: m.RequestGrant, now: float) -> None:
        work = message.work
        if work.ask in self._tier_by_ask:
            return
        if work.tier not in self._queues:
            self._refuse_unknown_tier(work)
            return
        self.counts.asked += 1
        if self._exceeds_max_waiting(work):
            self._refuse_work(work, m.RefusalReason.CUSTOMER_LIMIT, now)
            return
        self._tier_by_ask[work.ask] = work.tier
        queued = self._make_queued(work)
        self._queues[work.tier].add(queued)
        if self._recovered:
            self._check_on_arrival(queued, now)

    @_update_state.register
    def _withdraw(self, message: m.Withdraw, now: float) -> None:
        self._drop(message.ask)

    @_update_state.register
    def _first_token(self, message: m.FirstToken, now: float) -> None:
        target = self._targets.get(self._target_by_ask.get(message.ask, ""))
        if target:
            target.first_token(message.ask, message.seconds, now)

    @_update_state.register
    def _finished(self, message: m.Finished, now: float) -> None:
        target = self._release(message.ask)
        if target is None:
            return
        if message.outcome in (m.GrantOutcome.DONE, m.GrantOutcome.FAILED):
            target.done(
                message.ask, message.tokens, message.decode_seconds, message.computed
            )
        elif message.outcome in (m.GrantOutcome.UNREACHABLE, m.GrantOutcome.BROKEN):
            target.failed(message.ask, now)
        else:
            target.discard(message.ask)
            target.leaving |= message.outcome is m.GrantOutcome.LEAVING

    @_update_state.register
    def _load_report(self, message: m.LoadReport, now: float) -> None:
        target = self._targets.get(message.target)
        if target:
            target.reported_load = message.running + message.waiting
            target.leaving = message.leaving
            target.reachable = message.reachable

    @_update_state.register
    def _adopt(self, message: m.AdoptRunning, now: float) -> None:
        work = message.work
        target = self._targets.get(message.target)
        self._drop(work.ask)
        if target:
            target.grant(work, now)
            target.running[work.ask].first_token_at = now
            self._target_by_ask[work.ask] = message.target
            self._running_by_customer[work.customer] += 1

    @_update_state.register
    def _recover(self, message: m.Recovered, now: float) -> None:
        self._recovered = True

    @_update_state.register
    def _suspect_partition(self, message: m.SuspectPartition, now: float) -> None:
        self._partition_suspected = message.is_suspected

    @_update_state.register
    def _instance_gone(self, message: m.InstanceGone, now: float) -> None:
        dropped = [
            queued.work
            for queue in self._queues.values()
            for queued in queue
            if queued.work.instance == message.instance
        ]
        dropped += [
            run.work
            for target in self._targets.values()
            for run in target.running.values()
            if run.work.instance == message.instance
        ]
        for work in dropped:
            self._drop(work.ask)

    @_update_state.register
    def _reconfigure(self, message: m.Configure, now: float) -> None:
        self._configure(message.configuration)

    @_update_state.register
    def _tick(self, message: m.TimePassed, now: float) -> None:
        pass

    def _configure(self, configuration: Configuration) -> None:
        self._configuration = configuration
        pool = configuration.pools.get(self._pool_name)
        if pool is None:
            for target in self._targets.values():
                target.drained = True
            return
        self._update_policy(pool)
        self._update_targets(pool)
        self._update_queues()
        self._weights = {n: c.weight for n, c in configuration.customers.items()}
        self._shedder = Shedder(configuration, self._queues, self._targets)
        self._forecast = Forecast(
            configuration, self._queues, self._targets, self._shedder
        )

    def _update_policy(self, pool: Pool) -> None:
        kind = get_policy_by_name(pool.policy)
        if type(self._policy) is kind:
            return
        self._policy = kind(self._seed)
        waiting = [queued for queue in self._queues.values() for queued in queue]
        self._queues = {}
        self._update_queues()
        for queued in waiting:
            if queued.work.tier in self._queues:
                self._queues[queued.work.tier].add(queued)
            else:
                self._drop_unknown_tier(queued)

    def _update_targets(self, pool: Pool) -> None:
        for name, target in pool.targets.items():
            state = self._targets.get(name)
            if state is None:
                state = TargetEstimate(
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
            for queued in self._queues[tier]:
                self._drop_unknown_tier(queued)
        queues = {
            name: self._queues.get(name) or TierQueue(self._policy.fair, URGENT_S)
            for name in ordered
        }
        self._queues.clear()
        self._queues.update(queues)

    def _exceeds_max_waiting(self, work: m.Work) -> bool:
        customer = self._configuration.customers.get(work.customer, _DEFAULT_CUSTOMER)
        waiting = sum(q.waiting_count(work.customer) for q in self._queues.values())
        return waiting >= customer.max_waiting

    def _make_queued(self, work: m.Work) -> QueuedRequest:
        targets = list(self._targets.values())
        prefill = [
            (work.prompt_tokens - t.cached_tokens(work)) / t.prefill_rate
            for t in targets
        ]
        decode = [work.output_tokens / t.decode_rate for t in targets]
        cost = max(MIN_COST_S, median(prefill or [0.0]) + median(decode or [0.0]))
        latest = work.deadline - median(prefill or [0.0])
        return QueuedRequest(work, cost, latest, self._policy.is_long(work, targets))

    def _usable_targets(self, now: float) -> list[TargetEstimate]:
        return [target for target in self._targets.values() if target.usable(now)]

    def _schedule(self, now: float) -> None:
        usable_targets = self._usable_targets(now)
        while usable_targets and any(self._queues.values()):
            available = (
                [t for t in usable_targets if t.free > 0]
                if self._policy.bounded
                else usable_targets
            )
            if not available or not self._grant_next(available, usable_targets, now):
                return

    def _grant_next(self, available, usable_targets, now: float) -> bool:
        if not self._policy.tiered:
            return self._grant_first_come(available, usable_targets, now)
        higher_tier_waits = False
        for queue in self._queues.values():
            for queued in queue.candidates(now, self._below_max_running):
                if higher_tier_waits and not queued.work.stoppable and self._tier_guard:
                    continue
                if self._try_grant(queued, queue, available, usable_targets, now):
                    return True
            higher_tier_waits = higher_tier_waits or len(queue) > 0
        return False

    def _grant_first_come(self, available, usable_targets, now: float) -> bool:
        heads = [
            (queued.work.received_at, queued, queue)
            for queue in self._queues.values()
            for queued in queue.candidates(now, self._below_max_running)
        ]
        heads.sort(key=lambda head: head[0])
        return any(
            self._try_grant(queued, queue, available, usable_targets, now)
            for _at, queued, queue in heads
        )

    def _try_grant(
        self, queued: QueuedRequest, queue, available, usable_targets, now: float
    ) -> bool:
        work = queued.work
        if not self._below_max_running(work.customer):
            return False
        not_avoided = [
            target for target in usable_targets if target.name not in work.avoid
        ]
        allowed = (
            [target for target in not_avoided if target in available]
            if not_avoided
            else available
        )
        if not allowed:
            return False
        urgent = queued.latest_start - now < URGENT_S
        target = self._policy.choose(work, allowed, usable_targets, urgent)
        if target is None:
            return False
        self._grant(queued, queue, target, allowed, now)
        return True

    def _below_max_running(self, customer: str) -> bool:
        limit = self._configuration.customers.get(
            customer, _DEFAULT_CUSTOMER
        ).max_running
        return self._running_by_customer[customer] < limit

    def _grant(self, queued: QueuedRequest, queue, target, allowed, now: float) -> None:
        work = queued.work
        candidates_s = {t.name: round(t.seconds_to_end(work), 3) for t in allowed[:8]}
        queue.remove(work.ask)
        queue.charge(queued, self._weights.get(work.customer, 1.0))
        self._tier_by_ask.pop(work.ask, None)
        target.grant(work, now)
        self._target_by_ask[work.ask] = target.name
        self._running_by_customer[work.customer] += 1
        self.counts.granted += 1
        wait = round(now - work.received_at, 4)
        self._decisions.append(m.Grant(work, target.name, wait, candidates_s))

    def _check_on_arrival(self, queued: QueuedRequest, now: float) -> None:
        """Refuse a new request at once if it cannot meet its deadline."""
        if queued.latest_start <= queued.work.received_at:
            self._refuse_waiting(queued, m.RefusalReason.IMPOSSIBLE, now)
        elif all(t.drained or t.leaving for t in self._targets.values()):
            self._refuse_waiting(queued, m.RefusalReason.NO_TARGET, now)
        elif self._policy.refuses_early and not self._partition_suspected:
            slack = (queued.latest_start - now) * EARLY_REFUSAL_FACTOR
            if (
                self._forecast.expected_wait(queued, self._usable_targets(now), now)
                > slack
            ):
                self._refuse_after_lower_tiers(queued, now, m.RefusalReason.LOAD)

    def _shed(self, now: float) -> None:
        for queue in self._queues.values():
            if self._policy.tiered and self._tier_guard:
                self._stop_for_urgent(queue, now)
            for queued in queue.overdue(now):
                if not self._refuse_after_lower_tiers(
                    queued, now, m.RefusalReason.DEADLINE
                ):
                    break
        self._enforce_max_waiting(now)

    def _stop_for_urgent(self, queue: TierQueue, now: float) -> None:
        """Stop running requests of lower tiers for requests that would be late."""
        if queue.next_latest_start() - now >= URGENT_S:
            return
        urgent = queue.due_before(now + URGENT_S)
        usable_targets = self._usable_targets(now)
        rank = urgent[0].work.rank
        if any(target.free > 0 for target in usable_targets):
            return
        to_stop = len(urgent) - self._shedder.stopping(rank)
        for target, run in self._shedder.victims(rank, now)[: max(0, to_stop)]:
            self._stop(target, run)

    def _stop(self, target: TargetEstimate, run) -> None:
        run.stopping = True
        self.counts.stopped += 1
        self._decisions.append(m.Stop(run.work, target.name))

    def _refuse_after_lower_tiers(
        self, queued: QueuedRequest, now: float, reason: m.RefusalReason
    ) -> bool:
        """Refuse a request once no lower tier can yield; return whether it was refused.

        Waiting requests of lower tiers are refused and running ones stopped first. A
        request of a tier that may not be shed is not refused.
        """
        if not self._configuration.shedding_rule(queued.work.tier).may_be_shed:
            return False
        if not self._usable_targets(now) or self._partition_suspected:
            no_capacity_reason = (
                m.RefusalReason.UNAVAILABLE
                if self._partition_suspected
                else m.RefusalReason.NO_TARGET
            )
            self._refuse_waiting(queued, no_capacity_reason, now)
            return True
        if self._policy.tiered and self._tier_guard:
            for lower in self._shedder.waiting_below(queued.work.rank):
                self._refuse_waiting(lower, m.RefusalReason.HIGHER_TIER, now)
            for target, run in self._shedder.victims(queued.work.rank, now):
                self._stop(target, run)
            if self._shedder.stopping(queued.work.rank):
                return False
        available = (
            t for t in self._usable_targets(now) if t.free > 0 and not t.prefill_blocked
        )
        self.counts.refused_with_room += any(available)
        self._refuse_waiting(queued, reason, now)
        return True

    def _enforce_max_waiting(self, now: float) -> None:
        pool = self._configuration.pools.get(self._pool_name)
        excess = sum(map(len, self._queues.values())) - (
            pool.max_waiting if pool else 0
        )
        for queue in reversed(self._queues.values()):
            for queued in list(queue)[::-1]:
                if excess <= 0:
                    return
                if not self._refuse_after_lower_tiers(
                    queued, now, m.RefusalReason.LOAD
                ):
                    return
                excess -= 1

    def _refuse_waiting(
        self, queued: QueuedRequest, reason: m.RefusalReason, now: float
    ) -> None:
        queue = self._queues[queued.work.tier]
        if queue.remove(queued.work.ask):
            self._tier_by_ask.pop(queued.work.ask, None)
            self._refuse_work(queued.work, reason, now)

    def _refuse_work(self, work: m.Work, reason: m.RefusalReason, now: float) -> None:
        self.counts.refused += 1
        after = self._forecast.retry_after(work, self._usable_targets(now), now)
        self._decisions.append(m.Refuse(work, reason, after))

    def _drop_unknown_tier(self, queued: QueuedRequest) -> None:
        self._tier_by_ask.pop(queued.work.ask, None)
        self._refuse_unknown_tier(queued.work)

    def _refuse_unknown_tier(self, work: m.Work) -> None:
        """Refuse a request whose tier was removed or is not yet configured here."""
        self.counts.refused += 1
        refusal = m.Refuse(work, m.RefusalReason.UNAVAILABLE, MIN_RETRY_AFTER_S)
        self._decisions.append(refusal)

    def _drop(self, ask: str) -> None:
        tier = self._tier_by_ask.pop(ask, None)
        if tier in self._queues:
            self._queues[tier].remove(ask)
        target = self._release(ask)
        if target:
            target.discard(ask)

    def _release(self, ask: str) -> TargetEstimate | None:
        target = self._targets.get(self._target_by_ask.pop(ask, ""))
        if target and ask in target.running:
            self._running_by_customer[target.running[ask].work.customer] -= 1
        return target
