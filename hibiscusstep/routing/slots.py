"""hibiscusstep.routing.slots: dispatches to targets with a fixed number of slots.

Targets of this kind admit work in order of arrival and know no priorities, so work
waits here: never more is granted to a target than it has slots.
"""

import math

from hibiscusstep.rollout.controller import Rollout
from hibiscusstep.routing import messages as m
from hibiscusstep.routing.base import PoolDispatcher
from hibiscusstep.routing.own_targets import OwnTargets
from hibiscusstep.routing.patience import (
    MAX_RETRY_AFTER_S,
    last_useful_start,
    retry_after,
)
from hibiscusstep.routing.plan import Plan, PlannedPool
from hibiscusstep.routing.rank_floor import RankFloor
from hibiscusstep.routing.run_watch import LostRuns, RunWatch
from hibiscusstep.routing.slot_choice import SlotChoice
from hibiscusstep.routing.slot_queue import Returns, SlotQueue
from hibiscusstep.routing.slot_target import Run, SlotTarget
from hibiscusstep.routing.suspect_runs import without_suspects
from hibiscusstep.routing.switches import ALL_ON, Switches
from hibiscusstep.routing.version_split import VersionSplit

__all__ = ["SlotDispatcher"]

# So many of the waiting requests are weighed for the free targets at a time.
WEIGHED = 8
# At the most, where some of them may go to few targets only.
MOST_WEIGHED = 64
# A grant is on its way to its instance for less than this.
GRANT_TRANSIT_S = 0.7
# How fast all targets work together changes slowly against this.
RATE_VALID_S = 0.05


# What makes a wait longer, or shows that one was too long.
_MAY_EXPIRE = (m.Ask, m.Tick, m.Recovered, m.Configure)
# After these a target may be good for a request that waits; all that is only a matter
# of time is looked at with each tick.
_MAY_FREE = (
    m.Finished,
    m.Held,
    m.InstanceGone,
    m.Tick,
    m.Recovered,
    m.Configure,
    m.Withdraw,
)


class SlotDispatcher(PoolDispatcher):
    """The highest rank first, within it first come, first served.

    A rank that was granted much less often than all lately goes first until it is not.

    Within a rank, who came back after a refusal and is late already goes behind those
    that can still be served in time. A request that cannot be granted by its deadline
    is refused as soon as that is expected.

    Parameters
    ----------
    pool_name : str
        The pool.
    plan : Plan
        The targets.
    switches : Switches
        Which mechanisms are on.
    alone : str
        Name of the instance that dispatches for itself; empty if it does for all.
    """

    def __init__(
        self,
        pool_name: str,
        plan: Plan,
        alone: str = "",
        switches: Switches = ALL_ON,
        **_options,
    ) -> None:
        super().__init__(pool_name)
        spreads = alone and switches.spread_alone
        self._own_targets = OwnTargets(alone) if spreads else None
        self._own: list[SlotTarget] = []
        self._own_at = -math.inf
        self._own_name = alone
        self._switches = switches
        self._queue = SlotQueue()
        self._returns = Returns()
        self._floor = RankFloor(spares_short=switches.short_ranks)
        self._choice = SlotChoice(switches)
        self._watch = RunWatch()
        self._lost = LostRuns()
        # Slowness of targets by others, also of those that are not known here yet.
        self._kept: dict[str, float] = {}
        self._rate = 0.0
        self._rate_at = -math.inf
        self._split = VersionSplit(self._choice, bool(alone))
        # Looked up for each message: a dispatching decorator costs 7 us each time.
        self._takers = {
            m.Ask: self._ask,
            m.Withdraw: self._withdraw,
            m.FirstToken: self._first_token,
            m.Finished: self._finished,
            m.Held: self._held,
            m.Learnt: self._take_learnt,
            m.LoadReport: self._load_report,
            m.Adopt: self._adopt,
            m.Recovered: self._recover,
            m.InstanceGone: self._instance_gone,
            m.Configure: self._reconfigure,
            m.Tick: self._tick,
            m.Doubt: self._nothing,
        }
        self._configure(plan, 0.0)

    @property
    def waiting(self) -> dict[str, int]:
        """How many wait, by rank."""
        return self._queue.by_tier

    @property
    def learnt(self) -> m.Learnt | None:
        """The slowness of targets and the engines' figures; None if nothing is."""
        slowness = {name: t.slowness for name, t in self._targets.items() if t.learnt}
        if not slowness:
            return None
        return self._choice.learnt(slowness)

    @property
    def overdue(self) -> int:
        """Slots held for requests beyond their expected end."""
        return self._watch.overdue

    @property
    def is_alone(self) -> bool:
        """Whether it dispatches for one instance only."""
        return self._own_name != ""

    @property
    def rollout(self) -> Rollout | None:
        """The order to another version that is being carried out."""
        return self._split.rollout

    def instances_waiting(self) -> set[str]:
        """Return the instances that want to hear that they are not forgotten."""
        return {work.instance for work in self._queue}

    def is_waiting(self, ask: str) -> bool:
        """Whether an ask is still undecided."""
        return ask in self._queue

    def summary(self, now: float) -> dict:
        """Return the state in short: of each target, what runs and what was learnt."""
        targets = {name: target.summary(now) for name, target in self._targets.items()}
        shares = self._floor.shares(now)
        granted = {str(rank): round(shares[rank], 2) for rank in sorted(shares)}
        return {
            "waiting": self.waiting,
            "granted": granted,
            "overdue": self.overdue,
            "targets": targets,
        }

    def _decide(self, message, now: float) -> None:
        if isinstance(message, m.Ask):
            self._schedule_one(message.work.ask, now)
        elif isinstance(message, _MAY_FREE):
            self._schedule(now)
        if isinstance(message, _MAY_EXPIRE):
            self._reckon_rate(now)
            self._expire(now)

    def _take(self, message, now: float) -> None:
        take = self._takers.get(type(message))
        if take is None:
            raise TypeError(f"no dispatcher message: {message!r}")
        take(message, now)

    def _ask(self, message: m.Ask, now: float) -> None:
        work = message.work
        if work.ask in self._queue:
            return
        self.counts.asked += 1
        if not self._returns.knows(work):
            self._floor.asked(work.rank, now, self._choice.cost(work))
        if self._switches.late_last:
            work = self._returns.recognize(work, now)
        # Seconds until it is served where nothing else is to do.
        reach = self._choice.fastest * self._choice.reach(work)
        late = self._switches.late_last and 0 < work.due < now + reach
        least = self._choice.cautious_reach(work)
        deadline = last_useful_start(work, least, late, self._switches)
        self._queue.add(work, self._choice.cost(work), deadline, late)

    def _withdraw(self, message: m.Withdraw, now: float) -> None:
        self._drop(message.ask, now)

    def _first_token(self, message: m.FirstToken, now: float) -> None:
        target = self._targets.get(self._placed.get(message.ask, ""))
        run = target.begin(message.ask) if target else None
        if run is not None:
            self._choice.begun(target, run, message.seconds)
            self._split.changed(target, now)

    def _finished(self, message: m.Finished, now: float) -> None:
        self._watch.forget(message.ask)
        self._lost.forget(message.ask)
        target = self._targets.get(self._placed.pop(message.ask, ""))
        run = target.remove(message.ask) if target else None
        if run is None:
            return
        self._split.ended(target, run, message, now)
        match message.outcome:
            case m.Outcome.DONE:
                self._choice.learn(target, run, message, now)
            case m.Outcome.FAILED | m.Outcome.BROKEN:
                target.failed(now)
            case m.Outcome.UNREACHABLE:
                target.unreachable(now)
            case m.Outcome.REJECTED:
                target.rejected(now)
            case m.Outcome.LEAVING:
                target.leaving = True
        if message.outcome is not m.Outcome.DONE:
            self._own_at = -math.inf
        self._split.changed(target, now)

    def _held(self, message: m.Held, now: float) -> None:
        self._watch.confirm(message.asks, now)
        for lost in self._lost.take(message.asks):
            if lost.target in self._targets:
                self._run(self._targets[lost.target], lost.work, now)
        for ask in self._watch.asks_of(message.instance) - message.asks:
            run = self._targets[self._placed[ask]].running[ask]
            if run.granted < now - GRANT_TRANSIT_S:
                self._drop(ask, now)

    def _take_learnt(self, message: m.Learnt, now: float) -> None:
        if not message.old:
            self._kept = {}
        elif self.learnt:
            return
        self._kept |= message.slowness
        for target in self._targets.values():
            self._believe(target)
            self._split.changed(target, now)
        self._choice.believe(message)

    def _believe(self, target: SlotTarget) -> None:
        """Take over what others learnt of a target."""
        slowness = self._kept.get(target.name)
        if slowness is not None:
            target.slowness = slowness
            target.learnt = max(1, target.learnt)

    def _load_report(self, message: m.LoadReport, now: float) -> None:
        target = self._targets.get(message.target)
        if target:
            known = len(target.running)
            target.foreign = max(0, message.running + message.waiting - known)
            target.foreign_at = now

    def _adopt(self, message: m.Adopt, now: float) -> None:
        self._drop(message.work.ask, now)
        target = self._targets.get(message.target)
        if target:
            self._run(target, message.work, now)
            target.running[message.work.ask].adopted = True

    def _recover(self, message: m.Recovered, now: float) -> None:
        self._recovered = True

    def _instance_gone(self, message: m.InstanceGone, now: float) -> None:
        gone = [work.ask for work in self._queue if work.instance == message.instance]
        for ask in (*gone, *self._watch.asks_of(message.instance)):
            self._drop(ask, now)

    def _reconfigure(self, message: m.Configure, now: float) -> None:
        self._configure(message.configuration, now)

    def _tick(self, message: m.Tick, now: float) -> None:
        """Ask for what should have ended, and free what was asked for in vain."""
        if self._recovered and (concluded := self._split.tick(self._targets, now)):
            self._decisions.append(concluded)
        if not self._switches.ask_overdue:
            return
        suspects = self._watch.check(now)
        self._decisions += [m.Inquire(name) for name in sorted(suspects.instances)]
        for ask in suspects.lost:
            target = self._targets[self._placed[ask]]
            lost = m.Lost(target.running[ask].work, target.name)
            self._drop(ask, now)
            self.counts.lost += 1
            self._lost.add(lost, now)
            self._decisions.append(lost)

    def _nothing(self, message: m.Doubt, now: float) -> None:
        """Take note of nothing: refusals here do not depend on what others serve."""

    def _configure(self, plan: Plan, now: float) -> None:
        pool = plan.pools.get(self._pool_name, PlannedPool(True))
        self._choice.configure(pool)
        self._split.configure(pool)
        self._rate_at = -math.inf
        self._own_at = -math.inf
        for name, planned in pool.targets.items():
            target = self._targets.get(name)
            if target is None:
                target = SlotTarget(name, planned.slots)
                target.data_centre = planned.data_centre
                target.version = planned.version
                self._targets[name] = target
                self._believe(target)
            target.slots = planned.slots
            target.leaving |= planned.leaving
            self._split.place(target, now)
        for name in self._targets.keys() - pool.targets.keys():
            gone = self._targets.pop(name)
            self._split.remove(gone)
            for ask in gone.running:
                self._placed.pop(ask, None)
                self._watch.forget(ask)

    def _schedule(self, now: float) -> None:
        """Grant what can be granted, in order; some may wait for a better target."""
        if not self._queue:
            return
        while self._has_room(now) and self._try_owed(now):
            pass
        passed_over, weighed = 0, WEIGHED
        while passed_over < min(weighed, len(self._queue)) and self._has_room(now):
            work = self._queue[passed_over]
            if not self._try(work, now):
                passed_over += 1
                if work.suspect or work.resting:
                    # What may not go where there is room holds up nobody behind it.
                    weighed = min(MOST_WEIGHED, weighed + 1)

    def _try_owed(self, now: float) -> bool:
        """Grant a request of a rank that is owed one; whether one was granted."""
        if not self._switches.rank_floor:
            return False
        first = (self._queue.first_of(rank) for rank in self._floor.owed(now))
        return any(work and self._try(work, now) for work in first)

    def _schedule_one(self, ask: str, now: float) -> None:
        """Grant a new request if it can be: the others have been weighed already."""
        work = self._queue.get(ask)
        if work is not None and self._has_room(now):
            self._try(work, now)

    def _has_room(self, now: float) -> bool:
        """Whether a slot may be free, and its part of all slots is not taken."""
        most = math.ceil(self.share * self._split.slots(now))
        return len(self._placed) < most and self._split.has_room(now)

    def _try(self, work: m.Work, now: float) -> bool:
        """Grant a request if one of the free targets is good for it."""
        if canary := self._split.choose(work, now):
            self._grant(work, canary, [canary], now)
            return True
        free, worth_waiting = self._candidates(work, now)
        free = without_suspects(work, free, self._targets.values())
        if work.resting:
            free = [target for target in free if target.name not in work.resting]
        if not free:
            return False
        target = self._choice.choose(work, free, worth_waiting, now)
        if target is None or not self._split.may_serve(work, target, now):
            return False
        self._grant(work, target, free, now)
        return True

    def _candidates(
        self, work: m.Work, now: float
    ) -> tuple[list[SlotTarget], list[SlotTarget]]:
        """Return free targets for a request, and those that it may rather wait for."""
        if self._own_targets is None:
            order = self._split.serving
            return order.free(work.data_centre, now), order.fastest(now)
        if now >= self._own_at + RATE_VALID_S:
            self._own_at = now
            self._own = self._own_targets.choose(
                self._split.serving.usable(now), self.share
            )
        return [target for target in self._own if target.free(now) > 0], self._own

    def _grant(self, work: m.Work, target: SlotTarget, free, now: float) -> None:
        self._queue.remove(work.ask)
        self.counts.granted += 1
        self._split.granted(target)
        self._floor.granted(work.rank, now)
        weighed = self._choice.weighed(work, free, now)
        self._run(target, work, now)
        wait = round(now - work.received, 4)
        self._decisions.append(m.Grant(work, target.name, wait, weighed))

    def _run(self, target: SlotTarget, work: m.Work, now: float) -> None:
        choice = self._choice
        run = Run(work, now, choice.cost(work), choice.prefill(work))
        run.expected_first = target.prefill_left(now) + choice.reach(work)
        target.add(work.ask, run)
        self._split.changed(target, now)
        self._placed[work.ask] = target.name
        ends = now + choice.longest(target, work, now)
        self._watch.watch(work.ask, work.instance, ends)

    def _expire(self, now: float) -> None:
        """Refuse what is overdue, and what is expected to be.

        Of those that wait only the last of each class are looked at: whoever was not
        the last when it came has been pushed back by higher ranks only, and then the
        last first.
        """
        for work in self._queue.overdue(now):
            self._refuse(work, self._wait(work))
        for place in self._queue.classes():
            while work := self._queue.last_of(place):
                wait = self._wait(work)
                if now + wait < self._queue.deadline(work.ask):
                    break
                self._refuse(work, wait)

    def _wait(self, work: m.Work) -> float:
        """Return the guessed seconds until the targets come to a waiting request."""
        ahead = self._queue.ahead(work.ask)
        wait = ahead / self._rate if self._rate else MAX_RETRY_AFTER_S
        least = self._floor.rate(work.rank) if self._switches.rank_floor else 0.0
        if least:
            wait = min(wait, (self._queue.place_in_rank(work.ask) + 1) / least)
        return wait

    def _reckon_rate(self, now: float) -> None:
        """Reckon again how fast the targets work, at most once a moment."""
        if now >= self._rate_at + RATE_VALID_S:
            self._rate_at = now
            usable = self._split.serving.usable(now)
            self._rate = sum(t.slots / t.slowness for t in usable)
            self._choice.fastest = min((t.slowness for t in usable), default=1.0)
            slots = sum(t.slots for t in usable)
            self._choice.usual = slots / self._rate if self._rate else 1.0

    def _refuse(self, work: m.Work, wait: float) -> None:
        self._queue.remove(work.ask)
        self._returns.refused(work)
        self.counts.refused += 1
        self._decisions.append(m.Refuse(work, m.Reason.LOAD, retry_after(wait)))

    def _drop(self, ask: str, now: float) -> None:
        self._queue.remove(ask)
        self._watch.forget(ask)
        target = self._targets.get(self._placed.pop(ask, ""))
        if target:
            target.remove(ask)
            self._split.changed(target, now)
