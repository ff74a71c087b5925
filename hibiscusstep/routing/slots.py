"""hibiscusstep.routing.slots: dispatches to targets with a fixed number of slots.

Targets of this kind admit work in order of arrival and know no priorities, so work
waits here: never more is granted to a target than it has slots.
"""

import math
from collections import OrderedDict
from functools import singledispatchmethod

import xxhash

from hibiscusstep.routing import messages as m
from hibiscusstep.routing.base import PoolDispatcher
from hibiscusstep.routing.plan import Plan, PlannedPool
from hibiscusstep.routing.rank_floor import RankFloor
from hibiscusstep.routing.run_watch import RunWatch
from hibiscusstep.routing.slot_choice import SlotChoice
from hibiscusstep.routing.slot_queue import Returns, SlotQueue
from hibiscusstep.routing.slot_target import Run, SlotTarget
from hibiscusstep.routing.switches import ALL_ON, Switches

__all__ = ["SlotDispatcher"]

# So many of the waiting requests are weighed for the free targets at a time.
WEIGHED = 8
# Overload comes in bursts of some seconds; whoever comes back sooner is refused again.
MIN_RETRY_AFTER_S = 2.0
MAX_RETRY_AFTER_S = 5.0
# With fewer than this share of the targets fit, failures say more of the network, or
# of the one who reports them, than of the targets: all are used.
PANIC_SHARE = 0.5
# A request that can still be served in time waits until so many times the seconds of
# its first token are left: a target is seldom idle.
REACH_MARGIN = 1.5
# One that is late already waits for this share of the time that its caller has left,
# and no longer than callers bear without a first event: they leave after 2 s or more.
LATE_SHARE = 0.5
MAX_LATE_WAIT_S = 1.5
# A grant is on its way to its instance for less than this.
GRANT_TRANSIT_S = 0.7
# An instance that was cut off for less than this may still tell that it holds what was
# taken for lost.
LOST_VALID_S = 6.0
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
    tie_key : str
        Decides which of several targets that seem alike comes first. Instances that
        dispatch for themselves with nothing learnt would all take the same ones.
    """

    def __init__(
        self,
        pool_name: str,
        plan: Plan,
        tie_key: str = "",
        switches: Switches = ALL_ON,
        **_options,
    ) -> None:
        super().__init__(pool_name)
        self._tie_key = tie_key
        self._switches = switches
        self._queue = SlotQueue()
        self._returns = Returns()
        self._floor = RankFloor()
        self._choice = SlotChoice(switches)
        self._watch = RunWatch()
        # What was taken for lost: when, and where it ran.
        self._lost: OrderedDict[str, tuple[float, m.Lost]] = OrderedDict()
        # Slowness of targets by others, also of those that are not known here yet.
        self._kept: dict[str, float] = {}
        self._rate = 0.0
        self._rate_at = -math.inf
        self._configure(plan)

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

    @singledispatchmethod
    def _take(self, message, now: float) -> None:
        raise TypeError(f"no dispatcher message: {message!r}")

    @_take.register
    def _ask(self, message: m.Ask, now: float) -> None:
        work = message.work
        if work.ask in self._queue:
            return
        self.counts.asked += 1
        if not self._returns.knows(work):
            self._floor.asked(work.rank, now)
        if self._switches.late_last:
            work = self._returns.recognize(work, now)
        # Seconds until it is served where nothing else is to do.
        reach = self._choice.fastest * self._choice.reach(work)
        late = self._switches.late_last and 0 < work.due < now + reach
        deadline = self._last_useful_start(work, reach, late)
        self._queue.add(work, self._choice.cost(work), deadline, late)

    def _last_useful_start(self, work: m.Work, reach: float, late: bool) -> float:
        """Return until when a request waits.

        One that is refused comes back too late to be served in time: it waits as long
        as that is still possible. One that is late has time, and mostly its last try.
        """
        if not work.due:
            return work.deadline
        if late:
            wait = min(MAX_LATE_WAIT_S, LATE_SHARE * _time_left(work))
            return max(work.deadline, work.received + wait)
        if not self._switches.useful_wait:
            return work.deadline
        return max(work.received, work.due - REACH_MARGIN * reach)

    @_take.register
    def _withdraw(self, message: m.Withdraw, now: float) -> None:
        self._drop(message.ask)

    @_take.register
    def _first_token(self, message: m.FirstToken, now: float) -> None:
        target = self._targets.get(self._placed.get(message.ask, ""))
        run = target.begin(message.ask) if target else None
        if run is not None:
            self._choice.begun(target, run, message.seconds)

    @_take.register
    def _finished(self, message: m.Finished, now: float) -> None:
        self._watch.forget(message.ask)
        self._lost.pop(message.ask, None)
        target = self._targets.get(self._placed.pop(message.ask, ""))
        run = target.remove(message.ask) if target else None
        if run is None:
            return
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

    @_take.register
    def _held(self, message: m.Held, now: float) -> None:
        self._watch.confirm(message.asks, now)
        for ask in message.asks & self._lost.keys():
            _at, lost = self._lost.pop(ask)
            if lost.target in self._targets:
                self._run(self._targets[lost.target], lost.work, now)
        for ask in self._watch.asks_of(message.instance) - message.asks:
            run = self._targets[self._placed[ask]].running[ask]
            if run.granted < now - GRANT_TRANSIT_S:
                self._drop(ask)

    @_take.register
    def _take_learnt(self, message: m.Learnt, now: float) -> None:
        if not message.old:
            self._kept = {}
        elif self.learnt:
            return
        self._kept |= message.slowness
        for target in self._targets.values():
            self._believe(target)
        self._choice.believe(message)

    def _believe(self, target: SlotTarget) -> None:
        """Take over what others learnt of a target."""
        slowness = self._kept.get(target.name)
        if slowness is not None:
            target.slowness = slowness
            target.learnt = max(1, target.learnt)

    @_take.register
    def _load_report(self, message: m.LoadReport, now: float) -> None:
        target = self._targets.get(message.target)
        if target:
            known = len(target.running)
            target.foreign = max(0, message.running + message.waiting - known)
            target.foreign_at = now

    @_take.register
    def _adopt(self, message: m.Adopt, now: float) -> None:
        self._drop(message.work.ask)
        target = self._targets.get(message.target)
        if target:
            self._run(target, message.work, now)

    @_take.register
    def _recover(self, message: m.Recovered, now: float) -> None:
        self._recovered = True

    @_take.register
    def _instance_gone(self, message: m.InstanceGone, now: float) -> None:
        gone = [work.ask for work in self._queue if work.instance == message.instance]
        for ask in (*gone, *self._watch.asks_of(message.instance)):
            self._drop(ask)

    @_take.register
    def _reconfigure(self, message: m.Configure, now: float) -> None:
        self._configure(message.configuration)

    @_take.register
    def _tick(self, message: m.Tick, now: float) -> None:
        """Ask for what should have ended, and free what was asked for in vain."""
        if not self._switches.ask_overdue:
            return
        suspects = self._watch.check(now)
        self._decisions += [m.Inquire(name) for name in sorted(suspects.instances)]
        for ask in suspects.lost:
            target = self._targets[self._placed[ask]]
            lost = m.Lost(target.running[ask].work, target.name)
            self._drop(ask)
            self.counts.lost += 1
            self._lost[ask] = now, lost
            self._decisions.append(lost)
        while self._lost and next(iter(self._lost.values()))[0] < now - LOST_VALID_S:
            self._lost.popitem(last=False)

    @_take.register
    def _nothing(self, message: m.Doubt, now: float) -> None:
        """Take note of nothing: refusals here do not depend on what others serve."""

    def _configure(self, plan: Plan) -> None:
        pool = plan.pools.get(self._pool_name, PlannedPool(True))
        self._choice.configure(pool)
        self._rate_at = -math.inf
        names = (
            sorted(pool.targets, key=self._tie_order) if self._tie_key else pool.targets
        )
        for name in names:
            planned = pool.targets[name]
            target = self._targets.get(name)
            if target is None:
                target = SlotTarget(name, planned.slots)
                target.data_centre = planned.data_centre
                self._targets[name] = target
                self._believe(target)
            target.slots = planned.slots
            target.leaving |= planned.leaving
        for name in self._targets.keys() - pool.targets.keys():
            for ask in self._targets.pop(name).running:
                self._placed.pop(ask, None)
                self._watch.forget(ask)

    def _tie_order(self, name: str) -> int:
        return xxhash.xxh64_intdigest(f"{self._tie_key}\0{name}".encode())

    def _usable(self, now: float) -> list[SlotTarget]:
        staying = [t for t in self._targets.values() if not t.leaving]
        fit = [t for t in staying if t.usable(now)]
        return fit if len(fit) >= PANIC_SHARE * len(staying) else staying

    def _schedule(self, now: float) -> None:
        """Grant what can be granted, in order; some may wait for a better target."""
        if not self._queue:
            return
        usable = self._usable(now)
        free = self._free(usable, now)
        while free and self._try_owed(free, usable, now):
            pass
        passed_over = 0
        while free and passed_over < min(WEIGHED, len(self._queue)):
            if not self._try(self._queue[passed_over], free, usable, now):
                passed_over += 1

    def _try_owed(self, free, usable, now: float) -> bool:
        """Grant a request of a rank that is owed one; whether one was granted."""
        if not self._switches.rank_floor:
            return False
        first = (self._queue.first_of(rank) for rank in self._floor.owed(now))
        return any(work and self._try(work, free, usable, now) for work in first)

    def _schedule_one(self, ask: str, now: float) -> None:
        """Grant a new request if it can be: the others have been weighed already."""
        work = self._queue.get(ask)
        if work is None:
            return
        usable = self._usable(now)
        free = self._free(usable, now)
        if free:
            self._try(work, free, usable, now)

    def _free(self, usable: list[SlotTarget], now: float) -> list[SlotTarget]:
        """Return the targets with a free slot; none where all that may be are taken."""
        if self._is_full(usable):
            return []
        return [target for target in usable if target.free(now) > 0]

    def _is_full(self, usable: list[SlotTarget]) -> bool:
        """Whether its part of all slots is taken."""
        slots = sum(target.slots for target in usable)
        return len(self._placed) >= math.ceil(self.share * slots)

    def _try(self, work: m.Work, free, usable, now: float) -> bool:
        """Grant a request if one of the free targets is good for it."""
        target = self._choice.choose(work, free, usable, now)
        if target is None:
            return False
        self._queue.remove(work.ask)
        self._grant(work, target, free, now)
        if target.free(now) <= 0:
            free.remove(target)
        if self._is_full(usable):
            free.clear()
        return True

    def _grant(self, work: m.Work, target: SlotTarget, free, now: float) -> None:
        self.counts.granted += 1
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
            usable = self._usable(now)
            self._rate = sum(t.slots / t.slowness for t in usable)
            self._choice.fastest = min((t.slowness for t in usable), default=1.0)

    def _refuse(self, work: m.Work, wait: float) -> None:
        self._queue.remove(work.ask)
        self._returns.refused(work)
        self.counts.refused += 1
        after = round(min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait)), 2)
        self._decisions.append(m.Refuse(work, m.Reason.LOAD, after))

    def _drop(self, ask: str) -> None:
        self._queue.remove(ask)
        self._watch.forget(ask)
        target = self._targets.get(self._placed.pop(ask, ""))
        if target:
            target.remove(ask)


def _time_left(work: m.Work) -> float:
    """Return the seconds that a request's caller had left when it was received."""
    return max(0.0, work.ends - work.received) if work.ends else 0.0
