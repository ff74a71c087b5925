"""hibiscusstep.routing.slot_dispatcher: dispatcher for targets with fixed slots.

These targets serve requests in order of arrival and know no priorities. Requests
therefore queue at the dispatcher, which never grants a target more requests than it has
slots.
"""

import itertools
import math
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import replace

from hibiscusstep.rollout.controller import Rollout
from hibiscusstep.routing import messages as m
from hibiscusstep.routing.dispatch_plan import (
    DispatchPlan,
    PlannedPool,
    PlannedTarget,
)
from hibiscusstep.routing.fair_queue import FairSlotQueue
from hibiscusstep.routing.fair_shares import FairShares
from hibiscusstep.routing.grant_monitor import GrantMonitor, LostRequests
from hibiscusstep.routing.host_pace import PoolPace
from hibiscusstep.routing.pool_capacity import PoolCapacity
from hibiscusstep.routing.pool_dispatcher import PoolDispatcher
from hibiscusstep.routing.rank_floor import RankFloor
from hibiscusstep.routing.rate_limiter import initial_tokens
from hibiscusstep.routing.release_estimate import memory_fits_at
from hibiscusstep.routing.return_plan import (
    Arrival,
    Attempt,
    PlaceCounts,
    ReturnPlan,
)
from hibiscusstep.routing.slot_queue import QueueClass, RefusedRequests, SlotQueue
from hibiscusstep.routing.slot_target import Run, SlotTarget
from hibiscusstep.routing.suspect_isolation import exclude_suspect_targets
from hibiscusstep.routing.switches import ALL_ENABLED, Switches
from hibiscusstep.routing.target_index import MAX_FASTEST
from hibiscusstep.routing.target_memory import MemoryBound, MemoryNeed
from hibiscusstep.routing.target_selector import TargetSelector
from hibiscusstep.routing.target_subset import TargetSubset
from hibiscusstep.routing.version_partition import VersionPartition
from hibiscusstep.routing.wait_estimator import WaitEstimator
from hibiscusstep.routing.wait_limits import (
    MAX_RETRY_AFTER_S,
    early_deadline,
    retry_after,
    wait_deadline,
)

__all__ = ["SlotDispatcher"]

# Maximum number of queued requests that are examined in one scheduling pass.
MAX_EXAMINED = 8
# The same limit if some of the requests may run only on certain targets.
MAX_EXAMINED_RESTRICTED = 64
# Maximum time in which a grant reaches its instance. A younger grant may be missing
# from the instance's report of the grants that it holds.
MAX_GRANT_TRANSIT_S = 0.7
# The capacity of the pool changes slowly compared with this interval.
CAPACITY_UPDATE_INTERVAL_S = 0.05
# Maximum number of customers whose backlogs are logged.
MAX_LOGGED_BACKLOGS = 5
# An instance that was taken for gone registers its requests again within this time.
REGISTRATION_S = 5.0
# No request is refused while this share of the slots is free and a target suits it.
FREE_SHARE_WITHOUT_REFUSALS = 0.5
# Retry-After of a refused request that continues a stream.
CONTINUATION_RETRY_AFTER_S = 0.5
# Time that a request waits until it is confirmed that a single version began streams:
# longer than between two heartbeats, if the store does not answer.
CONFIRMATION_WAIT_S = 0.6
# Maximum Retry-After while no version may serve; it takes 2 s to find one.
NO_VERSION_RETRY_AFTER_S = 2.0
# A host counts as slow above this multiple of the usual time.
SLOW_HOST_FACTOR = 1.5


# Messages that may lengthen the wait of queued requests or let their deadlines pass.
_EXPIRY_TRIGGERS = (m.RequestGrant, m.TimePassed, m.Recovered, m.Configure)
# Messages after which a target may become available for a queued request. Changes that
# depend only on time are handled with each tick.
_GRANT_TRIGGERS = (
    m.Finished,
    m.HeldGrants,
    m.InstanceGone,
    m.TimePassed,
    m.Recovered,
    m.Configure,
    m.Withdraw,
)

# Outcomes that show that an instance reached the target.
_ANSWERS = (
    m.GrantOutcome.DONE,
    m.GrantOutcome.FAILED,
    m.GrantOutcome.REJECTED,
    m.GrantOutcome.LEAVING,
)
# Attempts that are granted a free slot or refused at once.
_UNPLACED = (Attempt.EARLY, Attempt.RETURNED)


class SlotDispatcher(PoolDispatcher):
    """Dispatcher that serves requests by rank, then in order of arrival within a rank.

    A rank whose recent share of granted requests is far below the overall share is
    served first until it has caught up.

    Within a rank, a request that can no longer be served in time, such as a retry after
    a refusal, is placed behind those that can. A request is refused as soon as it is
    expected not to be granted by its deadline. Where the pool's plan says so, refusals
    name planned times for the callers' returns.

    Where the pool's plan says so, the customers share a rank by weight: requests in
    time are ordered by customer instead of by arrival.

    Parameters
    ----------
    pool_name : str
        The pool.
    plan : DispatchPlan
        The targets of the pool.
    standby_instance : str
        Name of the instance if this is its standby dispatcher, used while the pool's
        dispatcher is unreachable; empty for the pool's dispatcher.
    switches : Switches
        The enabled mechanisms.
    """

    def __init__(
        self,
        pool_name: str,
        plan: DispatchPlan,
        standby_instance: str = "",
        switches: Switches = ALL_ENABLED,
        **_options,
    ) -> None:
        super().__init__(pool_name)
        uses_subset = standby_instance and switches.spread_alone
        self._target_subset = TargetSubset(standby_instance) if uses_subset else None
        self._subset_targets: list[SlotTarget] = []
        self._subset_updated_at = -math.inf
        self._standby_instance = standby_instance
        self._switches = switches
        self._queue = SlotQueue()
        # Requests that continue a stream, which only targets of its version may run.
        # They are not in the queue: they neither delay the requests in it nor count as
        # work for all targets.
        self._continuations: dict[str, m.Work] = {}
        self._stream_origins: frozenset[str] = frozenset()
        self._origins_confirmed_at = -math.inf
        # None where customers do not share the ranks.
        self._shares: FairShares | None = None
        self._refused_requests = RefusedRequests()
        # None where returns are not planned.
        self._return_plan: ReturnPlan | None = None
        self._recovered_at = -math.inf
        # Running requests of instances that left, by when they were removed.
        self._removed_running: dict[str, float] = {}
        # Attempts of the queued requests that are not first ones.
        self._attempts: dict[str, Attempt] = {}
        self._rank_floor = RankFloor(protect_short=switches.short_ranks)
        self._selector = TargetSelector(switches)
        self._memory = MemoryBound()
        # Underserved ranks at a moment, for requests that wait for memory.
        self._memory_ranks: list[int] = []
        self._memory_ranks_at = -math.inf
        self._grant_monitor = GrantMonitor()
        self._lost_requests = LostRequests()
        self._pool_pace = PoolPace()
        self._rejection_limited: dict[str, SlotTarget] = {}
        # Slowness by target, learned by other dispatchers. It includes targets that are
        # not in the plan yet.
        self._imported_slowness: dict[str, float] = {}
        self._capacity = PoolCapacity()
        self._capacity_updated_at = -math.inf
        self._wait_estimator = WaitEstimator(
            self._queue,
            self._capacity,
            self._rank_floor if switches.rank_floor else None,
        )
        self._partition = VersionPartition(self._selector, bool(standby_instance))
        # A dict lookup: a dispatching decorator costs 7 us per message.
        self._handlers = {
            m.RequestGrant: self._enqueue,
            m.Withdraw: self._withdraw,
            m.FirstToken: self._first_token,
            m.Finished: self._finished,
            m.HeldGrants: self._reconcile_held,
            m.LearnedEstimates: self._import_estimates,
            m.LoadReport: self._load_report,
            m.AdoptRunning: self._adopt,
            m.ImportPlaces: self._import_places,
            m.OriginsConfirmed: self._confirm_origins,
            m.Recovered: self._recover,
            m.InstanceGone: self._instance_gone,
            m.Configure: self._reconfigure,
            m.TimePassed: self._tick,
            m.SuspectPartition: self._ignore,
        }
        self._configure(plan, 0.0)

    @property
    def waiting(self) -> dict[str, int]:
        """Number of waiting requests by tier."""
        waiting = Counter(self._queue.count_by_tier)
        waiting.update(work.tier for work in self._continuations.values())
        return dict(waiting)

    @property
    def learned_estimates(self) -> m.LearnedEstimates | None:
        """Slowness of the targets and engine estimates; None before any observation."""
        slowness = {
            name: t.own_slowness for name, t in self._targets.items() if t.observations
        }
        if not slowness:
            return None
        return self._selector.estimates(slowness)

    @property
    def overdue_slots(self) -> int:
        """Number of slots held by requests beyond their expected end."""
        return self._grant_monitor.overdue

    @property
    def slow_host_count(self) -> int:
        """Number of targets whose hosts take well above the usual time."""
        return sum(t.host_factor > SLOW_HOST_FACTOR for t in self._targets.values())

    @property
    def memory_share(self) -> float | None:
        """Highest share of a target's memory that is granted; None without a bound."""
        if not self._memory.tokens:
            return None
        return self._memory.highest_share(self._targets.values())

    @property
    def is_standby(self) -> bool:
        """Whether this is the standby dispatcher of a single instance."""
        return self._standby_instance != ""

    @property
    def rollout(self) -> Rollout | None:
        """The rollout in progress; None if there is none."""
        return self._partition.rollout

    @property
    def place_counts(self) -> PlaceCounts | None:
        """Numbers of places for returning requests; None if returns are not planned."""
        return self._return_plan.counts if self._return_plan else None

    def may_mix_versions(self, now: float) -> bool:
        """Whether streams of several software versions may be resumed."""
        return len(self._stream_origins) > 1

    def discard_confirmation(self) -> None:
        """Discard which versions were confirmed to have begun streams."""
        self._origins_confirmed_at = -math.inf

    def set_limit_share(self, share: float, now: float) -> None:
        """Set the share of the targets' rate limits that this dispatcher may grant."""
        if share == self._limit_share:
            return
        super().set_limit_share(share, now)
        for target in self._targets.values():
            if target.limiter:
                target.set_rate_limit(target.limiter.limit, share, now)
                self._partition.update(target, now)
        for target in self._rejection_limited.values():
            target.room.share = share

    def instances_waiting(self) -> set[str]:
        """Return the instances with queued requests."""
        return {work.instance for work in self._waiting_requests()}

    def is_undecided(self, ask: str) -> bool:
        """Return whether a request waits."""
        return ask in self._queue or ask in self._continuations

    def _waiting_requests(self) -> Iterator[m.Work]:
        return itertools.chain(self._queue, self._continuations.values())

    def summary(self, now: float) -> dict:
        """Return a short summary of the queue and of each target's state."""
        targets = {name: target.summary(now) for name, target in self._targets.items()}
        shares = self._rank_floor.grant_shares(now)
        granted = {str(rank): round(shares[rank], 2) for rank in sorted(shares)}
        summary = {
            "waiting": self.waiting,
            "granted": granted,
            "overdue": self.overdue_slots,
            "targets": targets,
        }
        if self._shares:
            summary["backlogs"] = self._shares.longest_backlogs(MAX_LOGGED_BACKLOGS)
        return summary

    def _make_decisions(self, message, now: float) -> None:
        if self._continuations:
            self._serve_continuations(now)
        if isinstance(message, m.RequestGrant) and not self._capacity.limited_count:
            self._schedule_new(message.work.ask, now)
        elif isinstance(message, m.RequestGrant):
            # A rate limit may permit a request since the last tick; those that wait
            # for it come first.
            self._schedule(now)
        elif isinstance(message, _GRANT_TRIGGERS):
            self._schedule(now)
        if self._return_plan:
            self._refuse_unplaced(now)
            self._expire_due(now)
        if isinstance(message, _EXPIRY_TRIGGERS):
            self._update_capacity(now)
            asking = message.work if isinstance(message, m.RequestGrant) else None
            self._expire(now, asking)

    def _update_state(self, message, now: float) -> None:
        handler = self._handlers.get(type(message))
        if handler is None:
            raise TypeError(f"unknown dispatcher message: {message!r}")
        handler(message, now)

    def _enqueue(self, message: m.RequestGrant, now: float) -> None:
        work = message.work
        if self.is_undecided(work.ask):
            return
        self.counts.asked += 1
        if self._memory.exceeded_by(work):
            self._refuse_impossible(work)
            return
        if self._is_continuation(work, now):
            self._continuations[work.ask] = work
            return
        if self._return_plan:
            self._enqueue_planned(work, now)
            return
        if not self._refused_requests.was_refused(work):
            self._rank_floor.record_request(
                work.rank, now, self._selector.service_seconds(work)
            )
        if self._switches.late_last:
            work = self._refused_requests.with_original_due(work, now)
        # Seconds until the request would be served at an idle target.
        idle_seconds = self._selector.min_slowness * self._selector.first_token_seconds(
            work
        )
        late = (
            self._switches.late_last and 0 < work.first_token_due < now + idle_seconds
        )
        bound = self._selector.serve_time_bound(work)
        deadline = wait_deadline(work, bound, late, self._switches)
        seconds = self._selector.service_seconds(work)
        self._capacity.record_request(seconds)
        queue_class = QueueClass.LATE if late else QueueClass.ON_TIME
        if self._shares and queue_class is not QueueClass.LATE:
            self._shares.record_request(work.rank, work.customer, seconds, now)
        self._queue.add(work, seconds, deadline, queue_class)

    def _enqueue_planned(self, work: m.Work, now: float) -> None:
        """Queue a request by its attempt, once the places of all instances are known.

        Until then a new dispatcher makes no decisions.
        """
        seconds = self._selector.service_seconds(work)
        if not self._recovered:
            self._queue.add(work, seconds, work.deadline, QueueClass.ON_TIME)
            return
        self._capacity.record_request(seconds)
        self._update_capacity(now)
        arrival = self._return_plan.admit(work, now)
        work, attempt = arrival.work, arrival.attempt
        late = self._is_late(work, now)
        queue_class = QueueClass.LATE if late else QueueClass.ON_TIME
        if attempt is Attempt.FIRST:
            self._rank_floor.record_request(work.rank, now, seconds)
            self._return_plan.record_demand(seconds, now)
            if self._shares:
                self._shares.record_request(work.rank, work.customer, seconds, now)
        else:
            self._attempts[work.ask] = attempt
            in_place = attempt is Attempt.IN_PLACE
            queue_class = QueueClass.RETURNING if in_place else QueueClass.LATE
        within_share = (
            attempt is Attempt.FIRST
            and self._shares is not None
            and self._shares.asks_within_share(work.rank, work.customer)
        )
        deadline = early_deadline(
            work,
            self._selector.serve_time_bound(work),
            late,
            self._capacity.slot_interval,
            within_share=within_share,
        )
        self._queue.add(work, seconds, deadline, queue_class)

    def _is_late(self, work: m.Work, now: float) -> bool:
        """Whether a request would be late even on an idle target."""
        idle_seconds = self._selector.min_slowness * self._selector.first_token_seconds(
            work
        )
        return (
            self._switches.late_last and 0 < work.first_token_due < now + idle_seconds
        )

    def _import_places(self, message: m.ImportPlaces, now: float) -> None:
        if self._return_plan:
            self._return_plan.import_places(message.places, now)

    def _withdraw(self, message: m.Withdraw, now: float) -> None:
        target = self._targets.get(self._target_by_ask.get(message.ask, ""))
        if target:
            target.uncount_grant(target.running[message.ask])
        self._remove_request(message.ask, now)

    def _first_token(self, message: m.FirstToken, now: float) -> None:
        target = self._targets.get(self._target_by_ask.get(message.ask, ""))
        run = target.mark_first_token(message.ask) if target else None
        if run is not None:
            target.record_answer(run.work.instance, now)
            if target.room:
                target.room.record_accepted(run.level, run.granted, now)
                target.update_slots(now)
            self._record_pace(target, message.pace, 0.0, now)
            self._selector.record_first_token(target, run, message.seconds, now)
            self._partition.update(target, now)

    def _finished(self, message: m.Finished, now: float) -> None:
        self._grant_monitor.forget(message.ask)
        self._lost_requests.forget(message.ask)
        target = self._targets.get(self._target_by_ask.pop(message.ask, ""))
        run = target.remove(message.ask) if target else None
        if run is None:
            return
        self._record_pace(target, message.pace, message.pace_age, now)
        self._partition.record_end(target, run, message, now)
        if message.outcome in _ANSWERS:
            target.record_answer(run.work.instance, now)
        if target.room:
            self._record_room(target, run, message.outcome, now)
        match message.outcome:
            case m.GrantOutcome.DONE:
                self._selector.record_answer(target, run, message, now)
            case m.GrantOutcome.FAILED | m.GrantOutcome.BROKEN:
                target.record_failure(now)
            case m.GrantOutcome.UNREACHABLE:
                # Otherwise the path from that instance is lost, not the target.
                if not target.has_answered_others(run.work.instance, run.granted):
                    target.record_unreachable(now)
                target.uncount_grant(run)
            case m.GrantOutcome.UNUSED:
                target.uncount_grant(run)
            case m.GrantOutcome.REJECTED:
                target.record_rejection(now)
            case m.GrantOutcome.LEAVING:
                target.leaving = True
        if message.outcome is not m.GrantOutcome.DONE:
            self._subset_updated_at = -math.inf
        self._partition.update(target, now)

    def _record_room(
        self, target: SlotTarget, run: Run, outcome: m.GrantOutcome, now: float
    ) -> None:
        """Record whether a target with a rejection limit had room for a request."""
        if outcome is m.GrantOutcome.REJECTED:
            target.room.record_rejected(len(target.running), now)
        elif outcome in _ANSWERS:
            target.room.record_accepted(run.level, run.granted, now)
        target.update_slots(now)

    def _record_pace(
        self, target: SlotTarget, pace: float, age: float, now: float
    ) -> None:
        """Record what a target told of its host; the index is updated after it."""
        if pace and self._switches.host_pace:
            self._pool_pace.record(target, pace, age, now)

    def _reconcile_held(self, message: m.HeldGrants, now: float) -> None:
        self._grant_monitor.confirm_held(message.asks, now)
        for lost in self._lost_requests.take(message.asks - message.hanging):
            if lost.target in self._targets:
                self._start(self._targets[lost.target], lost.work, now)
        for ask in (
            self._grant_monitor.grants_of_instance(message.instance) - message.asks
        ):
            run = self._targets[self._target_by_ask[ask]].running[ask]
            if run.granted < now - MAX_GRANT_TRANSIT_S:
                self._remove_request(ask, now)
        for ask in message.hanging:
            if self._grant_monitor.is_overdue(ask):
                self._release_lost(ask, now)

    def _import_estimates(self, message: m.LearnedEstimates, now: float) -> None:
        if not message.is_fallback:
            self._imported_slowness = {}
        elif self.learned_estimates:
            return
        self._imported_slowness |= message.slowness
        for target in self._targets.values():
            self._apply_imported_slowness(target)
            self._partition.update(target, now)
        self._selector.import_estimates(message)

    def _apply_imported_slowness(self, target: SlotTarget) -> None:
        """Set the slowness of a target to the value that another dispatcher learned."""
        slowness = self._imported_slowness.get(target.name)
        if slowness is not None:
            target.own_slowness = slowness
            target.observations = max(1, target.observations)

    def _load_report(self, message: m.LoadReport, now: float) -> None:
        target = self._targets.get(message.target)
        if target is None:
            return
        if message.running >= 0:
            known = len(target.running)
            target.external_requests = max(0, message.running + message.waiting - known)
            target.external_reported_at = now
        if message.pace:
            self._record_pace(target, message.pace, 0.0, now)
            self._partition.update(target, now)

    def _adopt(self, message: m.AdoptRunning, now: float) -> None:
        work = message.work
        removed_at = self._removed_running.pop(work.ask, None)
        is_known = work.ask in self._target_by_ask or removed_at is not None
        self._remove_request(work.ask, now)
        target = self._targets.get(message.target)
        if target:
            self._start(target, work, now)
            run = target.running[work.ask]
            run.adopted = True
            if self._shares and not is_known:
                self._shares.record_grant(
                    work.rank, work.customer, run.service_seconds, now, is_adopted=True
                )

    def _recover(self, message: m.Recovered, now: float) -> None:
        """Allow decisions, and again when a standby dispatcher is used again."""
        self._recovered_at = now
        if self._return_plan and not self._recovered:
            self._recovered = True
            self._return_plan.begin(now)
            for work in list(self._queue):
                self._queue.remove(work.ask)
                self._enqueue_planned(work, now)
        self._recovered = True
        for target in self._targets.values():
            if target.limiter:
                target.restart_rate_limit(now, self._initial_tokens(target))
            if target.room:
                target.room.restart(len(target.running), now)
                target.update_slots(now)
            if target.limiter or target.room:
                self._partition.update(target, now)

    def _initial_tokens(self, target: SlotTarget) -> float:
        """Return the tokens with which a target's rate limiter starts."""
        if not self.is_standby:
            return 0.0
        return initial_tokens(self._standby_instance, target.name)

    def _instance_gone(self, message: m.InstanceGone, now: float) -> None:
        gone = [
            work.ask
            for work in self._waiting_requests()
            if work.instance == message.instance
        ]
        running = self._grant_monitor.grants_of_instance(message.instance)
        self._remember_removed(running, now)
        for ask in (*gone, *running):
            self._remove_request(ask, now)

    def _remember_removed(self, asks: Iterable[str], now: float) -> None:
        """Remember running requests that their instance may register again.

        Their customers were charged for them already.
        """
        while self._removed_running:
            ask, removed_at = next(iter(self._removed_running.items()))
            if removed_at > now - REGISTRATION_S:
                break
            del self._removed_running[ask]
        if self._shares:
            self._removed_running |= dict.fromkeys(asks, now)

    def _reconfigure(self, message: m.Configure, now: float) -> None:
        self._configure(message.configuration, now)

    def _tick(self, message: m.TimePassed, now: float) -> None:
        """Advance the rollout, inquire about overdue grants and release lost ones."""
        for target in self._pool_pace.update(now):
            self._partition.update(target, now)
        for target in self._rejection_limited.values():
            if target.update_slots(now):
                self._partition.update(target, now)
        if self._recovered and (conclusion := self._partition.tick(self._targets, now)):
            self._decisions.append(conclusion)
        if not self._switches.ask_overdue:
            return
        result = self._grant_monitor.check(now)
        self._decisions += [m.QueryGrants(name) for name in sorted(result.instances)]
        for ask in result.lost:
            self._release_lost(ask, now)

    def _release_lost(self, ask: str, now: float) -> None:
        """Release the slot of an overdue request whose end is not reported."""
        target = self._targets[self._target_by_ask[ask]]
        lost = m.GrantLost(target.running[ask].work, target.name)
        self._remove_request(ask, now)
        self.counts.lost += 1
        self._lost_requests.add(lost, now)
        self._decisions.append(lost)

    def _ignore(self, message: m.SuspectPartition, now: float) -> None:
        """Ignore the message; refusals do not depend on other dispatchers."""

    def _configure(self, plan: DispatchPlan, now: float) -> None:
        pool = plan.pools.get(self._pool_name, PlannedPool(True))
        self._selector.configure(pool)
        self._partition.configure(pool)
        self._configure_shares(pool)
        self._configure_returns(pool)
        self._configure_memory(pool)
        self._stream_origins = pool.stream_origins
        self._capacity_updated_at = -math.inf
        self._subset_updated_at = -math.inf
        for name, planned in pool.targets.items():
            target = self._targets.get(name)
            if target is None:
                target = SlotTarget(name, planned.slots)
                target.data_centre = planned.data_centre
                self._targets[name] = target
                self._apply_imported_slowness(target)
            target.version = planned.version
            self._set_rejection_limit(target, planned, now)
            target.memory_tokens = self._memory.tokens
            target.leaving |= planned.leaving
            if planned.rate_limit != target.rate_limit:
                tokens = self._initial_tokens(target)
                target.set_rate_limit(
                    planned.rate_limit, self._limit_share, now, tokens
                )
            self._partition.assign(target, now)
        for name in self._targets.keys() - pool.targets.keys():
            gone = self._targets.pop(name)
            self._partition.remove(gone)
            self._pool_pace.forget(gone)
            self._rejection_limited.pop(name, None)
            for ask in gone.running:
                self._target_by_ask.pop(ask, None)
                self._grant_monitor.forget(ask)
        for work in [w for w in self._queue if self._is_continuation(w, now)]:
            self._queue.remove(work.ask)
            self._attempts.pop(work.ask, None)
            self._memory.forget(work.ask)
            self._continuations[work.ask] = work

    def _set_rejection_limit(
        self, target: SlotTarget, planned: PlannedTarget, now: float
    ) -> None:
        limit = planned.rejection_limit
        target.set_rejection_limit(planned.slots, limit, self._limit_share, now)
        if target.room:
            self._rejection_limited[target.name] = target
        else:
            self._rejection_limited.pop(target.name, None)

    def _configure_shares(self, pool: PlannedPool) -> None:
        """Set the customers' weights; change the order if fair shares begin or end."""
        is_shared = pool.fair_shares and self._switches.fair_shares
        if is_shared and self._shares:
            self._shares.configure(pool.customer_weights)
            return
        if is_shared == bool(self._shares):
            return
        self._shares = FairShares(pool.customer_weights) if is_shared else None
        queue = FairSlotQueue(self._shares) if self._shares else SlotQueue()
        for queued in self._queue.requests():
            _rank, queue_class, *_, work = queued.sort_key
            queue.add(work, queued.cost, queued.deadline, queue_class)
        self._queue = self._wait_estimator.queue = queue

    def _configure_returns(self, pool: PlannedPool) -> None:
        """Begin or end the plan of returns; a standby dispatcher has none."""
        is_planned = pool.planned_returns and self._switches.planned_returns
        if not is_planned or self.is_standby:
            self._return_plan = None
            self._attempts.clear()
        elif self._return_plan is None:
            self._return_plan = ReturnPlan(self._is_above_share, self._customer_weight)
        else:
            self._return_plan.update_weights()

    def _is_above_share(self, rank: int, customer: str) -> bool:
        """Whether a customer exceeds its share of a rank that customers share."""
        return self._shares is not None and self._shares.is_above_share(rank, customer)

    def _customer_weight(self, customer: str) -> float:
        """Return a customer's weight; all are equal where they share no ranks."""
        return self._shares.weight(customer) if self._shares else 1.0

    def _configure_memory(self, pool: PlannedPool) -> None:
        self._memory.configure(pool.memory_tokens if self._switches.memory_bound else 0)
        for work in [w for w in self._queue if self._memory.exceeded_by(w)]:
            self._refuse_impossible(work)

    def _serve_continuations(self, now: float) -> None:
        """Grant the requests that continue streams, or refuse them.

        A stream whose version has no target left cannot be completed, so its caller is
        told at once. A standby dispatcher lets it wait, since the pool's dispatcher may
        know its version, or may grant it a target of a version in its rollout.
        """
        is_confirmation_needed = False
        for work in list(self._continuations.values()):
            version = self._bound_version(work, now)
            may_refuse = not self.is_standby or now >= work.deadline
            if version is None:
                if self._waits_for_confirmation(work, now):
                    is_confirmation_needed = True
                elif may_refuse:
                    unknown = m.RefusalReason.VERSION_UNKNOWN
                    self._refuse_continuation(work, unknown)
            elif not self._may_continue(version):
                if may_refuse:
                    self._refuse_continuation(work, m.RefusalReason.VERSION_GONE)
            elif target := self._choose_for_continuation(work, version, now):
                self._grant(work, target, [target], now)
            elif now >= work.deadline:
                self._refuse_continuation(work, m.RefusalReason.LOAD)
        if is_confirmation_needed:
            self._decisions.append(m.ConfirmOrigins())

    def _confirm_origins(self, message: m.OriginsConfirmed, now: float) -> None:
        self._origins_confirmed_at = max(self._origins_confirmed_at, message.at)

    def _waits_for_confirmation(self, work: m.Work, now: float) -> bool:
        """Return whether it may become known that one version began a stream."""
        if len(self._stream_origins) != 1:
            return False
        return now < max(work.deadline, work.received_at + CONFIRMATION_WAIT_S)

    def _is_continuation(self, work: m.Work, now: float) -> bool:
        """Return whether a request continues a stream, apart from the queue.

        A retry within a response may wait in the queue if all targets are of its
        version. One that its caller sends does not: in overload the queue would refuse
        it for new streams, and what its stream has brought would be lost.
        """
        if work.bound_version is None and not work.resumes:
            return False
        version = self._bound_version(work, now)
        if version is None:
            return bool(self._stream_origins)
        return bool(work.resumes) or not self._partition.serves_only(version)

    def _bound_version(self, work: m.Work, now: float) -> str | None:
        """Return the version that began a request's stream; None if not known.

        The only version that is known to have begun streams began it if no other one
        did before the request was received: another instance may have let a further
        version serve of which this one has not heard.
        """
        if work.bound_version is not None:
            return work.bound_version
        version = self.stream_versions.find(work.resumes, now)
        is_confirmed = self._origins_confirmed_at >= work.received_at
        if version is None and work.resumes and is_confirmed:
            if len(self._stream_origins) == 1:
                (version,) = self._stream_origins
        return version

    def _stream_origin(self, work: m.Work, now: float) -> m.StreamOrigin | None:
        """Return how the version that began a request's stream is known."""
        if work.bound_version is not None:
            return m.StreamOrigin.RESPONSE
        if not work.resumes:
            return None
        known = self.stream_versions.origin_of(work.resumes, now)
        return known or m.StreamOrigin.ONLY_VERSION

    def _may_continue(self, version: str) -> bool:
        """Return whether a target may continue the streams of a version."""
        return self._partition.is_open(version) and any(
            target.version == version and not target.leaving
            for target in self._targets.values()
        )

    def _choose_for_continuation(
        self, work: m.Work, version: str, now: float
    ) -> SlotTarget | None:
        """Return a free target of the version that began a stream; None if none is."""
        competes = self._partition.receives_requests(version)
        if competes and self._queue and self._queue[0].rank < work.rank:
            return None
        limit = math.ceil(self.capacity_share * self._partition.slots(now))
        if self.is_standby and len(self._target_by_ask) >= limit:
            return None
        free = [
            target
            for target in self._targets.values()
            if target.version == version
            and target.usable(now)
            and now >= target.next_start_at
            and target.available_slots(now) > 0
            and self._partition.may_expose(target)
        ]
        free = self._permitted(work, free)
        need = self._memory_need(work, now)
        free = free if need is None else need.select(free)
        if not free:
            return None
        # It does not wait for a target that is less busy.
        overdue = replace(work, first_token_due=0.0, deadline=now)
        return self._selector.choose(overdue, free, [], now)

    def _schedule(self, now: float) -> None:
        """Grant queued requests in order; some may wait for a better target."""
        if not self._queue:
            return
        while self._has_free_slot(now) and self._try_underserved(now):
            pass
        skipped, limit = 0, MAX_EXAMINED
        while skipped < min(limit, len(self._queue)) and self._has_free_slot(now):
            work = self._queue[skipped]
            if not self._try_grant(work, now):
                skipped += 1
                waits_for_memory = self._memory.is_waiting(work.ask)
                if work.suspect or work.avoided_by_backoff or waits_for_memory:
                    # A request that may not run on the available targets does not block
                    # those behind it.
                    limit = min(MAX_EXAMINED_RESTRICTED, limit + 1)
        if self._memory.has_waiting:
            self._grant_reserved(now)

    def _try_underserved(self, now: float) -> bool:
        """Grant a request of an underserved rank; return whether one was granted."""
        if not self._switches.rank_floor:
            return False
        first = (
            self._queue.first_of_rank(rank)
            for rank in self._rank_floor.underserved(now)
        )
        return any(work and self._try_grant(work, now) for work in first)

    def _schedule_new(self, ask: str, now: float) -> None:
        """Grant a new request if possible; the others were examined before."""
        work = self._queue.get(ask)
        if work is not None and self._has_free_slot(now):
            self._try_grant(work, now)

    def _has_free_slot(self, now: float) -> bool:
        """Return whether a slot may be free within this dispatcher's share."""
        limit = math.ceil(self.capacity_share * self._partition.slots(now))
        return len(self._target_by_ask) < limit and self._partition.has_free_slot(now)

    def _try_grant(self, work: m.Work, now: float, *, force: bool = False) -> bool:
        """Grant a request if an available target suits it; return whether it was.

        With `force` it does not wait for a better target.
        """
        if not self._may_try(work):
            return False
        need = self._memory_need(work, now)
        if self._is_memory_full(need, now):
            self._wait_for_memory(work, need, now)
            return False
        if canary := self._partition.choose_canary(work, need, now):
            self._grant(work, canary, [canary], now)
            return True
        available, worth_waiting = self._candidates(work, now)
        free = self._permitted(work, self._fitting(available, need, now))
        target = self._selector.choose(work, free, worth_waiting, now) if free else None
        if target is None and free and force:
            # As for a request that does not wait any longer: the best free target.
            overdue = replace(work, first_token_due=0.0, deadline=now)
            target = self._selector.choose(overdue, free, worth_waiting, now)
        if target is None or not self._partition.may_serve(work, target, now):
            if need is not None and not all(map(need.has_room, available)):
                self._wait_for_memory(work, need, now)
            return False
        self._grant(work, target, free, now)
        return True

    def _may_try(self, work: m.Work) -> bool:
        """Return whether a request may be granted before those that wait.

        One without a place may not go before others of its rank or higher ranks, one
        that returned before its place not before any.
        """
        match self._attempts.get(work.ask):
            case Attempt.EARLY:
                return len(self._queue) == 1
            case Attempt.RETURNED:
                return self._queue[0].ask == work.ask
            case _:
                return True

    def _permitted(self, work: m.Work, targets: list[SlotTarget]) -> list[SlotTarget]:
        """Return the targets that a request does not have to avoid."""
        targets = exclude_suspect_targets(work, targets, self._targets.values())
        if not work.avoided_by_backoff:
            return targets
        return [t for t in targets if t.name not in work.avoided_by_backoff]

    def _memory_need(self, work: m.Work, now: float) -> MemoryNeed | None:
        """Return what a request needs of a target's memory; None without a bound.

        A dispatcher beyond a partition of the network may grant the rest of the memory.
        """
        if not self._memory.tokens:
            return None
        share = self.capacity_share
        if not self.is_standby:
            share = min(share, self._limit_share)
        return self._memory.need(work, share, self._ranks_before_memory(now))

    def _is_memory_full(self, need: MemoryNeed | None, now: float) -> bool:
        """Return whether no target with a free slot can have room for a request."""
        if need is None or self._target_subset is not None:
            return False
        return not self._partition.may_fit(need, now)

    def _ranks_before_memory(self, now: float) -> list[int]:
        """Return the underserved ranks if a request waits for memory."""
        if not (self._memory.has_waiting and self._switches.rank_floor):
            return []
        if now != self._memory_ranks_at:
            self._memory_ranks_at = now
            self._memory_ranks = self._rank_floor.underserved(now)
        return self._memory_ranks

    def _fitting(
        self, free: list[SlotTarget], need: MemoryNeed | None, now: float
    ) -> list[SlotTarget]:
        """Return the available targets with enough memory for a request."""
        if self._target_subset is None:
            return self._partition.serving.fitting(free, need, now)
        return free if need is None else need.select(free)

    def _wait_for_memory(self, work: m.Work, need: MemoryNeed, now: float) -> None:
        """Record that a request waits for memory; reserve a target if it is due."""
        if self._memory.record_wait(work):
            self.counts.waited_for_memory += 1
        considered = (
            min(len(self._targets), MAX_FASTEST)
            if self._target_subset is None
            else len(self._subset_targets)
        )
        if not self._memory.may_reserve(work.ask, considered):
            return
        reserved = self._memory.reserved_targets
        targets = [
            target
            for target in self._permitted(work, self._candidates(work, now)[1])
            if target.name not in reserved
            and self._partition.may_serve(work, target, now)
        ]
        targets = [t for t in targets if t.name not in work.avoid] or targets
        if targets:
            seconds = self._selector.service_seconds(work)
            target = min(
                targets,
                key=lambda t: (
                    max(t.next_start_at, memory_fits_at(t, need.max_used, now))
                    + t.slowness * seconds
                ),
            )
            self._memory.reserve(work.ask, target.name)

    def _grant_reserved(self, now: float) -> None:
        """Grant the requests that fit their reserved targets.

        This comes after the requests in order, since those of higher ranks may use a
        reserved target.
        """
        for work, name in self._memory.reservations:
            target = self._targets.get(name)
            if target is None or not self._may_reserve(work, target, now):
                self._memory.release(name)
            elif (
                self._has_free_slot(now)
                and target.available_slots(now) > 0
                and self._memory_need(work, now).fits(target)
            ):
                self._grant(work, target, [target], now)

    def _may_reserve(self, work: m.Work, target: SlotTarget, now: float) -> bool:
        """Return whether a request may run on its reserved target."""
        if self._target_subset is not None and target not in self._subset_targets:
            return False
        return (
            self._partition.serves(target, now)
            and self._permitted(work, [target]) != []
            and self._partition.may_serve(work, target, now)
        )

    def _candidates(
        self, work: m.Work, now: float
    ) -> tuple[list[SlotTarget], list[SlotTarget]]:
        """Return the available targets for a request, and those worth waiting for."""
        if self._target_subset is None:
            index = self._partition.serving
            return index.candidates(work.data_centre, now), index.fastest(now)
        if now >= self._subset_updated_at + CAPACITY_UPDATE_INTERVAL_S:
            self._subset_updated_at = now
            self._subset_targets = self._target_subset.choose(
                self._partition.serving.usable(now), self.capacity_share
            )
        may_start = [t for t in self._subset_targets if now >= t.next_start_at]
        return [t for t in may_start if t.available_slots(now) > 0], may_start

    def _grant(self, work: m.Work, target: SlotTarget, free, now: float) -> None:
        self._queue.remove(work.ask)
        self._continuations.pop(work.ask, None)
        self._memory.forget(work.ask)
        if self._memory.has_waiting:
            self._memory.record_grant(work, self._ranks_before_memory(now))
        self.counts.granted += 1
        self._partition.record_grant(target)
        self._rank_floor.record_grant(work.rank, now)
        costs = self._selector.candidate_costs(work, free, now)
        target.count_grant(now)
        self._start(target, work, now)
        if self._shares:
            seconds = target.running[work.ask].service_seconds
            self._shares.record_grant(work.rank, work.customer, seconds, now)
        wait = round(now - work.received_at, 4)
        limited = self._capacity.limited_count
        share = self._granted_share(work)
        grant = m.Grant(
            work,
            target.name,
            wait,
            costs,
            limited,
            share,
            memory_tokens=self._memory.logged_tokens(target),
            version=target.version,
            stream_origin=self._stream_origin(work, now),
        )
        if self._return_plan:
            attempt = self._attempts.pop(work.ask, Attempt.FIRST)
            used = self._return_plan.record_grant(
                work,
                self._selector.service_seconds(work),
                now,
                self._capacity.service_rate,
                # Grants at the recovery were waiting for it, not for slots.
                is_busy=bool(self._queue) and now > self._recovered_at,
            )
            grant = replace(grant, attempt=attempt, used_place=used)
        self._decisions.append(grant)

    def _start(self, target: SlotTarget, work: m.Work, now: float) -> None:
        selector = self._selector
        run = Run(
            work, now, selector.service_seconds(work), selector.prefill_seconds(work)
        )
        run.expected_first_token = target.remaining_prefill(
            now
        ) + selector.first_token_seconds(work)
        target.add(work.ask, run)
        self._partition.update(target, now)
        self._target_by_ask[work.ask] = target.name
        expected_end = now + selector.duration_bound(target, work, now)
        self._grant_monitor.register(work.ask, work.instance, expected_end)

    def _granted_share(self, work: m.Work) -> float | None:
        """Return the share of a request's customer, for the log; None if not shared."""
        if self._shares is None:
            return None
        return round(self._shares.granted_share(work.rank, work.customer), 3)

    def _expire(self, now: float, asking: m.Work | None) -> None:
        """Refuse requests that are past their deadline or expected to miss it.

        Only the last request of each priority class is checked for the expected wait.
        Each request was the last of its class when it arrived; since then only higher
        ranks can have delayed it, and the last one is the first to miss its deadline.
        With fair shares it is the last request of each customer: of the one that asks,
        and with the ticks of all of them in turn.
        """
        self._expire_due(now)
        for tail in self._queue.tails(asking):
            while work := self._queue.last_of_tail(tail):
                wait = self._wait_estimator.seconds(work, now)
                if now + wait < self._queue.deadline(work.ask):
                    break
                if not self._grant_while_half_free(work, now):
                    self._refuse(work, wait, now)

    def _expire_due(self, now: float) -> None:
        """Refuse requests that are past their deadline."""
        for work in self._queue.expired(now):
            if not self._grant_while_half_free(work, now):
                self._refuse(work, self._wait_estimator.seconds(work, now), now)

    def _refuse_unplaced(self, now: float) -> None:
        """Refuse requests that returned without a place and could not be granted.

        They are not held a second time.
        """
        unplaced = [a for a, kind in self._attempts.items() if kind in _UNPLACED]
        for ask in unplaced:
            work = self._queue.get(ask)
            if work is None:
                del self._attempts[ask]
            elif not (
                self._has_free_slot(now) and self._try_grant(work, now, force=True)
            ):
                self._refuse(work, 0.0, now)

    def _grant_while_half_free(self, work: m.Work, now: float) -> bool:
        """Grant a request rather than refuse it while half of the slots are free."""
        if not self._return_plan or not self._has_free_slot(now):
            return False
        limit = FREE_SHARE_WITHOUT_REFUSALS * self._partition.slots(now)
        return len(self._target_by_ask) <= limit and self._try_grant(
            work, now, force=True
        )

    def _update_capacity(self, now: float) -> None:
        """Update the pool's service rate and slowness, at most once per interval."""
        if now >= self._capacity_updated_at + CAPACITY_UPDATE_INTERVAL_S:
            self._capacity_updated_at = now
            self._capacity.update(self._partition.serving.usable(now))
            self._selector.min_slowness = self._capacity.min_slowness
            self._selector.mean_slowness = self._capacity.mean_slowness

    def _refuse(self, work: m.Work, wait: float, now: float) -> None:
        self._queue.remove(work.ask)
        self._memory.forget(work.ask)
        self.counts.refused += 1
        if self._return_plan:
            self._refuse_planned(work, now)
            return
        self._refused_requests.record(work)
        # A standby dispatcher is used for a short time only.
        start_delay = 0.0 if self.is_standby else self._capacity.start_delay(now)
        seconds = retry_after(wait, start_delay)
        limited = self._capacity.limited_count
        share = self._granted_share(work)
        reason = self._refusal_reason(now)
        if reason is m.RefusalReason.NO_VERSION:
            seconds = min(seconds, NO_VERSION_RETRY_AFTER_S)
        self._decisions.append(m.Refuse(work, reason, seconds, limited, share))

    def _refusal_reason(self, now: float) -> m.RefusalReason:
        """Return why a request is refused that no target can serve in time."""
        if self._partition.bars_all(self._targets.values(), now):
            return m.RefusalReason.NO_VERSION
        return m.RefusalReason.LOAD

    def _refuse_planned(self, work: m.Work, now: float) -> None:
        """Refuse a request with a planned time for its caller's return."""
        attempt = self._attempts.pop(work.ask, Attempt.FIRST)
        named = self._return_plan.refuse(
            Arrival(work, attempt),
            self._selector.service_seconds(work),
            now,
            self._capacity.service_rate,
            start_delay=self._capacity.start_delay(now),
            only_spare=self._is_late(work, work.received_at),
        )
        self._decisions.append(
            m.Refuse(
                work,
                self._refusal_reason(now),
                named.retry_after,
                self._capacity.limited_count,
                self._granted_share(work),
                attempt,
                named.place_s,
                named.place_seconds,
            )
        )

    def _refuse_continuation(self, work: m.Work, reason: m.RefusalReason) -> None:
        """Refuse a request that continues a stream."""
        del self._continuations[work.ask]
        self.counts.refused += 1
        self._decisions.append(m.Refuse(work, reason, CONTINUATION_RETRY_AFTER_S))

    def _refuse_impossible(self, work: m.Work) -> None:
        """Refuse a request that fits no target; a retry would be refused as well."""
        self._queue.remove(work.ask)
        self._memory.forget(work.ask)
        self._attempts.pop(work.ask, None)
        self.counts.refused += 1
        self._decisions.append(
            m.Refuse(work, m.RefusalReason.IMPOSSIBLE, MAX_RETRY_AFTER_S)
        )

    def _remove_request(self, ask: str, now: float) -> None:
        self._queue.remove(ask)
        self._continuations.pop(ask, None)
        self._attempts.pop(ask, None)
        self._memory.forget(ask)
        self._grant_monitor.forget(ask)
        target = self._targets.get(self._target_by_ask.pop(ask, ""))
        if target:
            target.remove(ask)
            self._partition.update(target, now)
