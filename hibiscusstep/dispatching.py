"""hibiscusstep.dispatching: runs the dispatchers of the pools an instance has."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

import orjson

from hibiscusstep.configuration.in_force import InForce
from hibiscusstep.duty import TICK_S, Duty, learnt_of, work_of
from hibiscusstep.log import decision
from hibiscusstep.mailbox import Question, Tick, Worker
from hibiscusstep.membership.view import View
from hibiscusstep.membership.worker import ViewChanged
from hibiscusstep.peer import (
    NotDispatcher,
    PoolAsk,
    PoolFinished,
    PoolFirstToken,
    PoolGrant,
    PoolHeld,
    PoolInquire,
    PoolLearnt,
    PoolQueued,
    PoolRefuse,
    PoolRegister,
    PoolStop,
    PoolWithdraw,
    Received,
    StatusAsk,
    StatusReply,
)
from hibiscusstep.peerlink import Send
from hibiscusstep.rollout.rollout_update import RolloutUpdate
from hibiscusstep.routing import messages as m
from hibiscusstep.target import get_target_by_kind

if TYPE_CHECKING:
    from hibiscusstep.configuration.models import Configuration

__all__ = ["Dispatching", "TargetLoad"]

_LOG = logging.getLogger(__name__)
IDLE_TICK_S = 0.5
# What a dispatcher believes is logged this often.
STATE_INTERVAL_S = 2.0
# How far an order to change the version came is told and logged this often.
ROLLOUT_INTERVAL_S = 0.5
# A new dispatcher decides after this time even if not every instance has registered:
# one that is paused must not hold up the others.
RECOVERY_TIMEOUT_S = 0.3
REPORT_INTERVAL_S = 1.0
# A sign of life to an instance costs some 40 us: at most so many a second are sent to
# those whose requests wait, however many they are, which is 4 % of a core. At each
# tick to each of 195 instances they were 3,900, a fifth of what a dispatcher has.
SIGNS_PER_S = 1000.0
# An instance that dispatches for itself takes so many times its even share of the
# slots: its load is uneven, and the others may all do the same.
ALONE_SHARES = 2.0
# Where the instances are too many to hear each other, one that has not told what it
# holds for so long (three times missed) is gone, and so are its requests.
SILENT_INSTANCE_S = 4.5


@dataclass(frozen=True, slots=True)
class _Reported:
    """A target of a pool reported its load."""

    pool: str
    report: m.LoadReport


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """A target told its load with an answer to this instance."""

    pool: str
    report: m.LoadReport


class Dispatching(Worker):
    """Feeds pure dispatchers with messages and carries their decisions out.

    Parameters
    ----------
    name, address : str
        Own name and peer address.
    links : Worker
        Sends to peers.
    local : callable of Received
        Takes what is meant for this instance's desk.
    sessions : TargetSessions
        For the targets' load reports.
    tier_guard : bool
        Off only to show what it prevents.
    kind : type
        Makes the dispatcher of a pool.
    reads_reports : bool
        Whether the targets' load reports are read.
    serves_itself : bool
        Whether it dispatches its own instance's requests of any pool when asked.
    kept : callable of PoolLearnt or None
        Keeps what the dispatchers here learn beyond the processes.
    on_rollout : callable of RolloutUpdate or None
        Is told how far orders to change a pool's version came.
    """

    def __init__(
        self,
        name: str,
        address: str,
        links: Worker,
        local: Callable[[Received], None],
        sessions,
        *,
        tier_guard: bool = True,
        kind: type,
        reads_reports: bool = True,
        serves_itself: bool = False,
        kept: Callable[[PoolLearnt], None] | None = None,
        on_rollout: Callable[[RolloutUpdate], None] | None = None,
    ) -> None:
        super().__init__("dispatching", tick_interval=TICK_S)
        self._kind = kind
        self._reads_reports = reads_reports
        self._serves_itself = serves_itself
        self._own_duties: dict[str, Duty] = {}
        self._kept = kept
        self._on_rollout = on_rollout
        self._learnt: dict[str, m.LearnedEstimates] = {}
        self._own_name = name
        self._address = address
        self._links = links
        self._local = local
        self._sessions = sessions
        self._tier_guard = tier_guard
        self._view = View()
        self._configuration: Configuration | None = None
        self._duties: dict[str, Duty] = {}

    @property
    def tick_interval(self) -> float:
        """Seconds until the next look at what waits here."""
        duties = (*self._duties.values(), *self._own_duties.values())
        busy = self._duties or any(duty.dispatcher.waiting for duty in duties)
        return TICK_S if busy else IDLE_TICK_S

    async def stop(self) -> None:
        """End the reading of load reports."""
        for duty in self._duties.values():
            self._end_poller(duty)
        self._duties = {}

    def _end_poller(self, duty: Duty) -> None:
        if duty.poller:
            duty.poller.cancel()

    async def handle(self, message) -> None:
        """Take a message of a desk, a load report, a view or a configuration."""
        match message:
            case Received(sender=sender, message=StatusAsk(number=number, pool=pool)):
                reply = StatusReply(number, orjson.dumps(self.status(pool)).decode())
                self._reply(sender, reply)
            case Question(body=StatusAsk(pool=pool)):
                message.reply(self.status(pool))
            case Received(message=PoolLearnt() as news):
                self._take_learnt(news)
            case PoolLearnt() as news:
                self._take_kept(news)
            case Received(sender=sender, message=body):
                self._from_desk(sender, body)
            case _Reported(pool=pool, report=report):
                if pool in self._duties:
                    self._feed(self._duties[pool], report)
            case TargetLoad(pool=pool, report=report):
                if pool in self._own_duties:
                    self._feed(self._own_duties[pool], report)
            case ViewChanged(view=view):
                self._change_view(view)
            case InForce(configuration=configuration):
                self._configuration = configuration
                self._change_configuration()
            case Tick():
                self._take_tick()

    @property
    def overdue(self) -> dict[str, int]:
        """Slots held here beyond the expected end of their requests, by pool."""
        return {
            pool: duty.dispatcher.overdue_slots for pool, duty in self._duties.items()
        }

    @property
    def rollouts(self) -> dict[str, dict]:
        """Orders to change a version that are carried out here, in short, by pool."""
        return {
            pool: {"version": rollout.planned.version, **rollout.summary}
            for pool, duty in self._duties.items()
            if (rollout := duty.dispatcher.rollout)
        }

    def status(self, pool: str) -> dict:
        """Return a pool's targets and queues, empty if it falls to another."""
        duty = self._duties.get(pool)
        if duty is None:
            return {}
        return {
            "dispatcher": self._own_name,
            "recovered": duty.dispatcher.recovered,
            "waiting": duty.dispatcher.waiting,
            "counts": asdict(duty.dispatcher.counts),
            "targets": duty.dispatcher.status(),
        }

    def _take_tick(self) -> None:
        now = asyncio.get_running_loop().time()
        for duty in (*self._duties.values(), *self._own_duties.values()):
            overdue = self._serves_itself and now > duty.since + RECOVERY_TIMEOUT_S
            if overdue and not duty.dispatcher.recovered:
                self._recover(duty)
            self._drop_silent(duty, now)
            self._feed(duty, m.Tick())
            self._say_alive(duty, now)
            self._tell_rollout(duty, now)
            if duty.told + STATE_INTERVAL_S <= now and duty in self._duties.values():
                duty.told = now
                self._log_state(duty, now)
                self._tell_learnt(duty)

    def _drop_silent(self, duty: Duty, now: float) -> None:
        """Drop what instances held that this one does not hear in its view."""
        if self._view.is_mesh:
            return
        silent = [n for n, at in duty.heard.items() if now - at > SILENT_INSTANCE_S]
        for name in silent:
            del duty.heard[name]
            self._feed(duty, m.InstanceGone(name))

    def _tell_learnt(self, duty: Duty) -> None:
        """Tell the others what was learnt: any of them may have to dispatch next."""
        learnt = duty.dispatcher.learned_estimates
        if not learnt:
            return
        pool = duty.dispatcher.pool_name
        news = PoolLearnt(
            pool,
            list(learnt.slowness),
            list(learnt.slowness.values()),
            learnt.base_seconds,
            learnt.seconds_per_prompt_token,
            learnt.prefill_chunk_s,
        )
        if self._kept:
            self._kept(news)
        for address in self._view.neighbours(self._address):
            self._links.tell(Send(address, news))

    def _tell_rollout(
        self, duty: Duty, now: float, concluded: m.ConcludeRollout | None = None
    ) -> None:
        """Tell how far the order of a pool came, now and then and at its end."""
        rollout = duty.dispatcher.rollout
        if rollout is None or not self._on_rollout:
            return
        if concluded is None and now < duty.rollout_told + ROLLOUT_INTERVAL_S:
            return
        duty.rollout_told = now
        pool, number = duty.dispatcher.pool_name, rollout.planned.number
        fields = {"pool": pool, "version": rollout.planned.version, **rollout.summary}
        if concluded:
            fields |= {"state": concluded.state, "reason": concluded.reason}
        decision("rollout-verdict" if concluded else "rollout-progress", **fields)
        verdict = (concluded.state, concluded.reason) if concluded else ()
        self._on_rollout(RolloutUpdate(pool, number, rollout.progress, *verdict))

    def _take_learnt(self, news: PoolLearnt) -> None:
        """Remember another's learning for the time when it falls to this instance."""
        for follower in self._view.followers.values():
            self._links.tell(Send(follower.peer_address, news))
        self._learnt[news.pool] = learnt_of(news)
        if news.pool in self._own_duties:
            self._feed(self._own_duties[news.pool], self._learnt[news.pool])

    def _take_kept(self, news: PoolLearnt) -> None:
        """Take what was kept of an earlier time where nothing newer is known."""
        kept = learnt_of(news, old=True)
        self._learnt.setdefault(news.pool, kept)
        for duties in (self._duties, self._own_duties):
            if news.pool in duties:
                self._feed(duties[news.pool], kept)

    def _log_state(self, duty: Duty, now: float) -> None:
        """Log what the dispatcher believes of its targets."""
        summary = duty.dispatcher.summary(now)
        if summary:
            decision("pool-state", pool=duty.dispatcher.pool_name, **summary)

    def _say_alive(self, duty: Duty, now: float) -> None:
        """Tell the instances whose requests wait that they are not forgotten."""
        if now + TICK_S / 2 < duty.signed + duty.sign_interval:
            return
        instances = duty.dispatcher.instances_waiting()
        duty.signed = now
        duty.sign_interval = max(TICK_S, len(instances) / SIGNS_PER_S)
        sign = PoolQueued(duty.dispatcher.pool_name, duty.sign_interval)
        for instance in instances:
            address = duty.addresses.get(instance)
            if address:
                self._reply(address, sign)

    def _own_duty(self, pool: str) -> Duty | None:
        """Return the dispatcher that serves this instance alone, made when needed."""
        if not self._serves_itself or self._configuration is None:
            return None
        if pool not in self._own_duties:
            duty = Duty(
                self._kind(
                    pool, self._configuration, standalone_instance=self._own_name
                )
            )
            self._own_duties[pool] = duty
            if pool in self._learnt:
                self._feed(duty, self._learnt[pool])
            self._feed(duty, m.Recovered())
        self._tick_in(TICK_S)
        duty = self._own_duties[pool]
        duty.dispatcher.capacity_share = min(
            1.0, ALONE_SHARES / max(1, self._view.likely_size)
        )
        return duty

    def _from_desk(self, sender: str, body) -> None:
        pool = body.pool
        duty = self._duties.get(pool)
        if duty is None and sender == self._address:
            duty = self._own_duty(pool)
        if duty is None:
            if isinstance(body, PoolAsk | PoolRegister):
                self._reply(sender, NotDispatcher(pool))
            return
        now = asyncio.get_running_loop().time()
        match body:
            case PoolAsk(work=info):
                duty.addresses[info.instance] = sender
                duty.heard[info.instance] = now
                self._feed(duty, m.RequestGrant(work_of(info, now)))
                if self._serves_itself and duty.dispatcher.is_undecided(info.ask):
                    self._reply(sender, PoolQueued(pool, duty.sign_interval))
            case PoolWithdraw(ask=ask):
                self._feed(duty, m.Withdraw(ask))
            case PoolFirstToken(ask=ask, seconds=seconds):
                self._feed(duty, m.FirstToken(ask, seconds))
            case PoolFinished():
                finished = m.Finished(
                    body.ask,
                    m.GrantOutcome(body.outcome),
                    body.tokens,
                    body.decode_seconds,
                    body.computed,
                    body.longest_pause,
                )
                self._feed(duty, finished)
            case PoolHeld(instance=instance, asks=asks):
                duty.heard[instance] = now
                self._feed(duty, m.HeldGrants(instance, frozenset(asks)))
            case PoolRegister():
                self._register(duty, sender, body, now)

    def _register(
        self, duty: Duty, sender: str, body: PoolRegister, now: float
    ) -> None:
        duty.addresses[body.instance] = sender
        duty.heard[body.instance] = now
        self._feed(duty, m.InstanceGone(body.instance))
        for info, target in zip(body.running, body.targets, strict=True):
            self._feed(duty, m.AdoptRunning(work_of(info, now), target))
        for info in body.waiting:
            self._feed(duty, m.RequestGrant(work_of(info, now)))
        duty.registered.add(body.incarnation)
        self._maybe_recovered(body.pool, duty)

    def _maybe_recovered(self, pool: str, duty: Duty) -> None:
        """Let a dispatcher decide once every live instance has registered."""
        if duty.dispatcher.recovered:
            return
        view = self._view
        known = (*view.members.values(), *view.followers.values())
        expected = {member.incarnation for member in known if member.ready}
        if not view.others and expected <= duty.registered:
            self._recover(duty)

    def _recover(self, duty: Duty) -> None:
        pool = duty.dispatcher.pool_name
        decision("dispatcher-recovered", pool=pool, instances=len(duty.registered))
        self._feed(duty, m.Recovered())

    def _change_view(self, view: View) -> None:
        before, self._view = self._view.members, view
        gone = before.keys() - view.members.keys()
        self._take_duties()
        for pool, duty in self._duties.items():
            # In a large region a relay that left the view may follow another one.
            for name in gone if view.is_mesh else ():
                self._feed(duty, m.InstanceGone(name))
                duty.dropped.add(before[name].incarnation)
            self._ask_back(pool, duty)
            self._feed(duty, m.SuspectPartition(view.doubtful))
            self._maybe_recovered(pool, duty)

    def _ask_back(self, pool: str, duty: Duty) -> None:
        """Ask instances to register again that were taken for dead and live.

        They do not know that what they hold was dropped: their waiting requests would
        be refused at their deadlines.
        """
        for member in self._view.members.values():
            if member.incarnation in duty.dropped:
                duty.dropped.discard(member.incarnation)
                self._reply(member.peer_address, NotDispatcher(pool))

    def _change_configuration(self) -> None:
        for duty in (*self._duties.values(), *self._own_duties.values()):
            self._feed(duty, m.Configure(self._configuration))
        self._take_duties()

    def _take_duties(self) -> None:
        if self._configuration is None:
            return
        mine = {
            pool
            for pool in self._configuration.pools
            if self._view.dispatcher(pool) == self._own_name
        }
        for pool in self._duties.keys() - mine:
            self._end_poller(self._duties.pop(pool))
            decision("dispatcher-left", pool=pool)
        for pool in mine - self._duties.keys():
            dispatcher = self._kind(
                pool, self._configuration, tier_guard=self._tier_guard
            )
            duty = Duty(dispatcher, since=asyncio.get_running_loop().time())
            if self._reads_reports:
                duty.poller = asyncio.create_task(self._poll(pool))
            self._duties[pool] = duty
            if pool in self._learnt:
                self._feed(duty, self._learnt[pool])
            decision("dispatcher-taken", pool=pool)
        if mine:
            self._tick_in(TICK_S)

    async def _poll(self, pool: str) -> None:
        while True:
            settings = self._configuration.pools.get(pool)
            if settings is None:
                return
            kind = get_target_by_kind(settings.kind)
            reports = await asyncio.gather(
                *(
                    kind(name, target.address, self._sessions).report()
                    for name, target in settings.targets.items()
                )
            )
            for report in reports:
                self.tell(_Reported(pool, report))
            await asyncio.sleep(REPORT_INTERVAL_S)

    def _feed(self, duty: Duty, message) -> None:
        now = asyncio.get_running_loop().time()
        for taken in duty.dispatcher.handle(message, now):
            self._carry_out(duty, taken, now)

    def _carry_out(self, duty: Duty, taken: m.Decision, now: float) -> None:
        pool = duty.dispatcher.pool_name
        if isinstance(taken, m.QueryGrants):
            self._inquire(duty, taken.instance)
            return
        if isinstance(taken, m.ConcludeRollout):
            self._tell_rollout(duty, now, taken)
            return
        work = taken.work
        address = duty.addresses.get(work.instance)
        if address is None:
            return
        fields = {
            "request": work.request,
            "customer": work.customer,
            "tier": work.tier,
            "pool": pool,
            "wait": round(now - work.received_at, 4),
            "due_in": round(work.first_token_due - now, 3),
        }
        match taken:
            case m.Grant(target=target, candidates=candidates):
                decision("grant", **fields, target=target, candidates=candidates)
                waited = now - work.received_at
                self._reply(address, PoolGrant(pool, work.ask, target, waited))
            case m.Refuse(reason=reason, retry_after=retry_after):
                decision("refuse", **fields, reason=reason, retry_after=retry_after)
                self._reply(address, PoolRefuse(pool, work.ask, reason, retry_after))
            case m.Stop(target=target):
                decision("stop", **fields, target=target)
                self._reply(address, PoolStop(pool, work.ask))
            case m.GrantLost(target=target):
                instance = work.instance
                decision("end-not-told", **fields, target=target, instance=instance)

    def _inquire(self, duty: Duty, instance: str) -> None:
        address = duty.addresses.get(instance)
        if address:
            self._reply(address, PoolInquire(duty.dispatcher.pool_name))

    def _reply(self, address: str, message) -> None:
        if address == self._address:
            self._local(Received(address, message))
        else:
            self._links.tell(Send(address, message))
