"""hibiscusstep.desk: an instance's requests on their way to a grant."""

import asyncio
import itertools
from dataclasses import dataclass, field, replace

from hibiscusstep.configuration.in_force import InForce
from hibiscusstep.grants import Ended, Granted, GrantRequest, Refused, Started
from hibiscusstep.log import decision
from hibiscusstep.mailbox import Question, Tick, Worker
from hibiscusstep.membership.view import Member, View
from hibiscusstep.membership.worker import ViewChanged
from hibiscusstep.peer import (
    NotDispatcher,
    PoolAsk,
    PoolFinished,
    PoolFirstToken,
    PoolGrant,
    PoolHeld,
    PoolInquire,
    PoolQueued,
    PoolRefuse,
    PoolRegister,
    PoolStop,
    PoolWithdraw,
    Received,
    WorkInfo,
)
from hibiscusstep.peerlink import LinkLost, Send
from hibiscusstep.routing.messages import RefusalReason

__all__ = ["Desk"]

TICK_S = 0.2
FIRST_STANDBY_S = 0.5
MAX_STANDBY_S = 4.0
# A message about the end of a request that got lost costs a slot for so long.
TELL_HELD_S = 1.5
DISPATCHER_GRACE_S = 0.5
# A dispatcher with few instances to tell shows that it lives so often; one with many
# tells how much longer it takes.
USUAL_SIGN_S = 0.05
UNAVAILABLE_RETRY_S = 2.0
# A grant that was on its way for longer is not used: its slot may have been taken for
# lost by the time the request would end. Less than what an instance is given to say
# that it holds a request (`grant_monitor.ANSWER_TIMEOUT_S`).
STALE_GRANT_S = 0.45


@dataclass(slots=True, eq=False)
class _Held:
    question: Question
    wanted: GrantRequest
    received: float
    target: str = ""
    asked: float = 0.0


@dataclass(slots=True)
class _Line:
    """What the instance holds for one pool, and who dispatches it.

    `heard` is when the dispatcher was last heard, `patience` for how many seconds it
    may be silent from then on; until `alone_until` the instance dispatches for itself,
    for `alone_s` seconds the next time. `alone` is whether it last did: who dispatches
    for all next must hear of what runs, be it the same instance. `told_held` is whether
    the dispatcher was last told of any running request.
    """

    dispatcher: Member | None = None
    alone: bool = False
    heard: float = 0.0
    patience: float = 0.0
    alone_until: float = 0.0
    alone_s: float = FIRST_STANDBY_S
    waiting: dict[str, _Held] = field(default_factory=dict)
    running: dict[str, _Held] = field(default_factory=dict)
    told_held: bool = False


class Desk(Worker):
    """Asks the dispatcher of each pool, and asks again when it changes.

    Parameters
    ----------
    name, incarnation, address : str
        Own name, incarnation and peer address.
    links : Worker
        Sends to peers.
    local : callable of Received
        Takes what is meant for the dispatchers of this instance.
    standby_after : float
        Seconds of a dispatcher's silence after which this instance dispatches its
        own requests; 0 if it never does.
    """

    def __init__(
        self, name, incarnation, address, links, local, standby_after: float = 0.0
    ) -> None:
        super().__init__("desk", tick_interval=TICK_S)
        self._hurry = min(TICK_S, standby_after / 3) if standby_after else TICK_S
        self._standby_after = standby_after
        self._own_name = name
        self._incarnation = incarnation
        self._address = address
        self._links = links
        self._local = local
        self._view = View()
        self._chosen: dict[str, str | None] = {}
        self._lines: dict[str, _Line] = {}
        self._numbers = itertools.count()
        self._told_held = 0.0

    async def handle(self, message) -> None:
        """Take a message of this instance, of a dispatcher, or of the membership."""
        match message:
            case Question(body=GrantRequest()):
                self._ask(message)
            case Started(pool=pool, ask=ask, seconds=seconds):
                self._send(pool, PoolFirstToken(pool, ask, seconds))
            case Ended():
                self._end(message)
            case Received(sender=sender, message=PoolGrant() as grant):
                self._hear(grant.pool, sender)
                self._grant(grant)
            case Received(sender=sender, message=PoolRefuse() as refusal):
                self._hear(refusal.pool, sender)
                self._refuse(refusal)
            case Received(sender=sender, message=PoolQueued() as sign):
                self._hear(sign.pool, sender, sign.again_in)
            case Received(sender=sender, message=PoolInquire(pool=pool)):
                self._hear(pool, sender)
                held = list(self._line(pool).running)
                self._send_to(sender, PoolHeld(pool, self._own_name, held))
            case Received(message=PoolStop(pool=pool, ask=ask)):
                held = self._line(pool).running.get(ask)
                if held:
                    held.wanted.on_stop()
            case Received(sender=sender, message=NotDispatcher(pool=pool)):
                self._register_again(pool, sender)
            case LinkLost(address=address):
                self._link_lost(address)
            case ViewChanged(view=view):
                self._view = view
                self._chosen.clear()
                self._follow()
            case InForce(configuration=configuration):
                for pool in configuration.pools:
                    self._line(pool)
                self._follow()
            case Tick():
                self._expire()
                self._stand_by()
                self._tell_held()
                self._follow()

    @property
    def _waits(self) -> bool:
        return any(line.waiting for line in self._lines.values())

    @property
    def tick_interval(self) -> float:
        """Seconds until the next look at what waits."""
        return self._hurry if self._waits else TICK_S

    def _line(self, pool: str) -> _Line:
        if pool not in self._lines:
            self._lines[pool] = _Line(patience=self._standby_after)
        return self._lines[pool]

    def _ask(self, question: Question) -> None:
        wanted = question.body
        now = asyncio.get_running_loop().time()
        if not self._waits:
            self._tick_in(self._hurry)
        self._ask_for(wanted.pool, _Held(question, wanted, now, asked=now))

    def _ask_for(self, pool: str, held: _Held) -> None:
        ask = f"{self._incarnation}.{next(self._numbers)}"
        self._line(pool).waiting[ask] = held
        self._send(pool, PoolAsk(pool, self._info(ask, held)))

    def _info(self, ask: str, held: _Held) -> WorkInfo:
        now = asyncio.get_running_loop().time()
        return replace(
            held.wanted.work,
            ask=ask,
            deadline_in=held.wanted.deadline - now,
            waited=now - held.received,
            due_in=held.wanted.due - now,
            ends_in=held.wanted.ends - now if held.wanted.ends else 0.0,
        )

    def _end(self, ended: Ended) -> None:
        if self._line(ended.pool).running.pop(ended.ask, None):
            self._send(
                ended.pool,
                PoolFinished(
                    ended.pool,
                    ended.ask,
                    ended.outcome,
                    ended.tokens,
                    ended.decode_seconds,
                    ended.computed,
                    ended.longest_pause,
                ),
            )

    def _grant(self, grant: PoolGrant) -> None:
        line = self._line(grant.pool)
        held = line.waiting.pop(grant.ask, None)
        if held is None or held.question.answer.done():
            self._send(grant.pool, PoolWithdraw(grant.pool, grant.ask))
            return
        elapsed = asyncio.get_running_loop().time() - held.received
        if elapsed - grant.waited > STALE_GRANT_S:
            self._send(grant.pool, PoolWithdraw(grant.pool, grant.ask))
            self._ask_for(grant.pool, held)
            return
        held.target = grant.target
        line.running[grant.ask] = held
        held.question.reply(Granted(grant.ask, grant.target))

    def _refuse(self, refusal: PoolRefuse) -> None:
        held = self._line(refusal.pool).waiting.pop(refusal.ask, None)
        if held:
            reason = RefusalReason(refusal.reason)
            held.question.reply(Refused(reason, refusal.retry_after))

    def _expire(self) -> None:
        now = asyncio.get_running_loop().time()
        for pool, line in self._lines.items():
            for ask, held in list(line.waiting.items()):
                gone = held.question.answer.done()
                if gone or self._is_overdue(line, held.wanted, now):
                    del line.waiting[ask]
                    self._send(pool, PoolWithdraw(pool, ask))
                    held.question.reply(
                        Refused(RefusalReason.UNAVAILABLE, UNAVAILABLE_RETRY_S)
                    )

    def _is_overdue(self, line: _Line, wanted: GrantRequest, now: float) -> bool:
        """Whether a request has waited too long for a dispatcher's decision.

        A dispatcher that tells that it is alive may know better, and keep waiting what
        has no chance of a better try.
        """
        if wanted.never_shed and line.dispatcher:
            return False
        heard = self._standby_after and now - line.heard < line.patience
        latest = max(wanted.deadline, wanted.ends) if heard else wanted.deadline
        return latest + DISPATCHER_GRACE_S < now

    def _hear(self, pool: str, sender: str, again_in: float = 0.0) -> None:
        """Take note that the dispatcher of a pool is alive.

        Parameters
        ----------
        pool, sender : str
            The pool, and who sent the sign of life.
        again_in : float
            Seconds until the next one, as it was told.
        """
        line = self._line(pool)
        if line.dispatcher and line.dispatcher.peer_address == sender:
            line.heard = asyncio.get_running_loop().time()
            late = again_in - USUAL_SIGN_S
            line.patience = self._standby_after + max(0.0, late)
            if sender != self._address:
                line.alone_s = FIRST_STANDBY_S

    def _stand_by(self) -> None:
        """Dispatch for oneself where the dispatcher has been silent for too long."""
        if not self._standby_after:
            return
        now = asyncio.get_running_loop().time()
        for pool, line in self._lines.items():
            oldest = min((held.asked for held in line.waiting.values()), default=now)
            silent = now - max(line.heard, oldest)
            if silent > line.patience and now >= line.alone_until:
                line.alone_until = now + line.alone_s
                line.alone_s = min(MAX_STANDBY_S, line.alone_s * 2)
                name = line.dispatcher.name if line.dispatcher else ""
                decision(
                    "dispatcher-silent",
                    pool=pool,
                    dispatcher=name,
                    silent_s=round(silent, 3),
                    alone_s=round(line.alone_until - now, 1),
                )

    def _tell_held(self) -> None:
        """Tell the dispatchers now and then all that runs, lest they count too much."""
        now = asyncio.get_running_loop().time()
        if not self._standby_after or now < self._told_held + TELL_HELD_S:
            return
        self._told_held = now
        for pool, line in self._lines.items():
            if line.running or line.told_held:
                self._send(pool, PoolHeld(pool, self._own_name, list(line.running)))
            line.told_held = bool(line.running)

    def _choose(self, pool: str) -> str | None:
        if pool not in self._chosen:
            self._chosen[pool] = self._view.dispatcher(pool)
        return self._chosen[pool]

    def _stands_alone(self, pool: str, line: _Line) -> bool:
        """Whether this instance dispatches for itself.

        It does where the dispatcher is silent, and where there is none: after a
        restart of all nobody is settled enough to dispatch for a second. Waiting for
        the silence to be noticed cost each of the first requests 0.12 to 0.16 s.
        """
        if asyncio.get_running_loop().time() < line.alone_until:
            return True
        return bool(self._standby_after) and self._choose(pool) is None

    def _follow(self) -> None:
        """Register with each dispatcher that is new."""
        for pool, line in self._lines.items():
            alone = self._stands_alone(pool, line)
            chosen = self._own_name if alone else self._choose(pool)
            member = self._view.members.get(chosen) if chosen else None
            known = line.dispatcher
            same = (
                known is not None
                and member is not None
                and known.incarnation == member.incarnation
                and line.alone == alone
            )
            line.dispatcher = member
            line.alone = alone
            if member and not same:
                self._register(pool, line)

    def _register(self, pool: str, line: _Line) -> None:
        renamed = {
            f"{self._incarnation}.{next(self._numbers)}": held
            for held in line.waiting.values()
        }
        now = asyncio.get_running_loop().time()
        line.heard = now
        line.patience = self._standby_after
        for held in renamed.values():
            held.asked = now
        line.waiting = renamed
        message = PoolRegister(
            pool,
            self._own_name,
            self._incarnation,
            [self._info(ask, held) for ask, held in renamed.items()],
            [self._info(ask, held) for ask, held in line.running.items()],
            [held.target for held in line.running.values()],
        )
        self._send(pool, message)

    def _register_again(self, pool: str, sender: str) -> None:
        line = self._line(pool)
        if line.dispatcher and line.dispatcher.peer_address == sender:
            line.dispatcher = None

    def _link_lost(self, address: str) -> None:
        for line in self._lines.values():
            if line.dispatcher and line.dispatcher.peer_address == address:
                line.dispatcher = None

    def _send(self, pool: str, message) -> None:
        dispatcher = self._line(pool).dispatcher
        if dispatcher is not None:
            self._send_to(dispatcher.peer_address, message)

    def _send_to(self, address: str, message) -> None:
        if address == self._address:
            self._local(Received(self._address, message))
        else:
            self._links.tell(Send(address, message))
