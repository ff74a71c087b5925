"""hibiscusstep.dispatching: runs the dispatchers of the pools an instance has."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import asdict, dataclass, field

import orjson

from hibiscusstep.configuration.models import Configuration
from hibiscusstep.configuration.stored import InForce
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
    PoolRefuse,
    PoolRegister,
    PoolStop,
    PoolWithdraw,
    Received,
    StatusAsk,
    StatusReply,
    WorkInfo,
)
from hibiscusstep.peerlink import Send
from hibiscusstep.routing import messages as m
from hibiscusstep.routing.dispatcher import Dispatcher
from hibiscusstep.target import get_target_by_kind

__all__ = ["Dispatching"]

_LOG = logging.getLogger(__name__)
TICK_S = 0.05
REPORT_INTERVAL_S = 1.0


@dataclass(slots=True, eq=False)
class _Duty:
    """One pool that falls to this instance."""

    dispatcher: Dispatcher
    registered: set[str] = field(default_factory=set)
    addresses: dict[str, str] = field(default_factory=dict)
    poller: asyncio.Task | None = None


@dataclass(frozen=True, slots=True)
class _Reported:
    """A target of a pool reported its load."""

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
    ) -> None:
        super().__init__("dispatching", tick_interval=TICK_S)
        self._own_name = name
        self._address = address
        self._links = links
        self._local = local
        self._sessions = sessions
        self._tier_guard = tier_guard
        self._view = View()
        self._configuration: Configuration | None = None
        self._duties: dict[str, _Duty] = {}

    async def stop(self) -> None:
        """End the reading of load reports."""
        for duty in self._duties.values():
            duty.poller.cancel()
        self._duties = {}

    async def handle(self, message) -> None:
        """Take a message of a desk, a load report, a view or a configuration."""
        match message:
            case Received(sender=sender, message=StatusAsk(number=number, pool=pool)):
                reply = StatusReply(number, orjson.dumps(self.status(pool)).decode())
                self._reply(sender, reply)
            case Question(body=StatusAsk(pool=pool)):
                message.reply(self.status(pool))
            case Received(sender=sender, message=body):
                self._from_desk(sender, body)
            case _Reported(pool=pool, report=report):
                if pool in self._duties:
                    self._feed(self._duties[pool], report)
            case ViewChanged(view=view):
                self._change_view(view)
            case InForce(configuration=configuration):
                self._configuration = configuration
                self._change_configuration()
            case Tick():
                for duty in self._duties.values():
                    self._feed(duty, m.Tick())

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
            "targets": {
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
                for target in duty.dispatcher.targets.values()
            },
        }

    def _from_desk(self, sender: str, body) -> None:
        pool = body.pool
        duty = self._duties.get(pool)
        if duty is None:
            if isinstance(body, PoolAsk | PoolRegister):
                self._reply(sender, NotDispatcher(pool))
            return
        now = asyncio.get_running_loop().time()
        match body:
            case PoolAsk(work=info):
                duty.addresses[info.instance] = sender
                self._feed(duty, m.Ask(_work(info, now)))
            case PoolWithdraw(ask=ask):
                self._feed(duty, m.Withdraw(ask))
            case PoolFirstToken(ask=ask, seconds=seconds):
                self._feed(duty, m.FirstToken(ask, seconds))
            case PoolFinished():
                finished = m.Finished(
                    body.ask,
                    m.Outcome(body.outcome),
                    body.tokens,
                    body.decode_seconds,
                    body.computed,
                )
                self._feed(duty, finished)
            case PoolRegister():
                self._register(duty, sender, body, now)

    def _register(
        self, duty: _Duty, sender: str, body: PoolRegister, now: float
    ) -> None:
        duty.addresses[body.instance] = sender
        self._feed(duty, m.InstanceGone(body.instance))
        for info, target in zip(body.running, body.targets, strict=True):
            self._feed(duty, m.Adopt(_work(info, now), target))
        for info in body.waiting:
            self._feed(duty, m.Ask(_work(info, now)))
        duty.registered.add(body.incarnation)
        self._maybe_recovered(body.pool, duty)

    def _maybe_recovered(self, pool: str, duty: _Duty) -> None:
        """Let a dispatcher decide once every live instance has registered."""
        if duty.dispatcher.recovered:
            return
        expected = {m.incarnation for m in self._view.members.values() if m.ready}
        if expected <= duty.registered:
            decision("dispatcher-recovered", pool=pool, instances=len(expected))
            self._feed(duty, m.Recovered())

    def _change_view(self, view: View) -> None:
        gone = self._view.members.keys() - view.members.keys()
        self._view = view
        self._take_duties()
        for pool, duty in self._duties.items():
            for name in gone:
                self._feed(duty, m.InstanceGone(name))
            self._feed(duty, m.Doubt(view.doubtful))
            self._maybe_recovered(pool, duty)

    def _change_configuration(self) -> None:
        for duty in self._duties.values():
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
            self._duties.pop(pool).poller.cancel()
            decision("dispatcher-left", pool=pool)
        for pool in mine - self._duties.keys():
            dispatcher = Dispatcher(
                pool, self._configuration, tier_guard=self._tier_guard
            )
            duty = _Duty(dispatcher)
            duty.poller = asyncio.create_task(self._poll(pool))
            self._duties[pool] = duty
            decision("dispatcher-taken", pool=pool)

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

    def _feed(self, duty: _Duty, message) -> None:
        now = asyncio.get_running_loop().time()
        for taken in duty.dispatcher.handle(message, now):
            self._carry_out(duty, taken, now)

    def _carry_out(self, duty: _Duty, taken: m.Decision, now: float) -> None:
        work = taken.work
        address = duty.addresses.get(work.instance)
        if address is None:
            return
        pool = duty.dispatcher.pool_name
        fields = {
            "request": work.request,
            "customer": work.customer,
            "tier": work.tier,
            "pool": pool,
            "wait": round(now - work.received, 4),
        }
        match taken:
            case m.Grant(target=target, candidates=candidates):
                decision("grant", **fields, target=target, candidates=candidates)
                waited = now - work.received
                self._reply(address, PoolGrant(pool, work.ask, target, waited))
            case m.Refuse(reason=reason, retry_after=retry_after):
                decision("refuse", **fields, reason=reason, retry_after=retry_after)
                self._reply(address, PoolRefuse(pool, work.ask, reason, retry_after))
            case m.Stop(target=target):
                decision("stop", **fields, target=target)
                self._reply(address, PoolStop(pool, work.ask))

    def _reply(self, address: str, message) -> None:
        if address == self._address:
            self._local(Received(address, message))
        else:
            self._links.tell(Send(address, message))


def _work(info: WorkInfo, now: float) -> m.Work:
    return m.Work(
        info.ask,
        info.request,
        info.instance,
        info.customer,
        info.tier,
        info.rank,
        info.prompt_tokens,
        info.output_tokens,
        now + info.deadline_in,
        now - info.waited,
        info.stoppable,
        tuple(info.prefixes),
        tuple(info.avoid),
    )
