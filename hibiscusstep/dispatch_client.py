"""hibiscusstep.dispatch_client: requests grants from the dispatchers of pools.

A grant assigns one slot of a target to a request. One instance runs the dispatcher that
all instances use for a pool. While that one is unreachable, each instance uses its own
standby dispatcher, which grants a limited share of the slots.
"""

import asyncio
import itertools
from dataclasses import dataclass, field, replace

from hibiscusstep.configuration.in_force import ConfigurationInForce
from hibiscusstep.grant_messages import (
    FirstTokenReceived,
    Granted,
    GrantRequest,
    Refused,
    RequestEnded,
)
from hibiscusstep.hosted_dispatcher import to_stream_groups
from hibiscusstep.log import decision
from hibiscusstep.mailbox import Call, Tick, Worker
from hibiscusstep.membership.mesh import ViewChanged
from hibiscusstep.membership.view import Member, View
from hibiscusstep.peer import (
    NotDispatcher,
    PlaceInfo,
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
from hibiscusstep.routing.return_plan import EARLY_TOLERANCE_S, LATE_TOLERANCE_S
from hibiscusstep.routing.stream_versions import StreamVersions

__all__ = ["DispatchClient"]

TICK_S = 0.2
# Length of a period with the standby dispatcher. It doubles from period to period until
# the pool's dispatcher, on another instance, responds.
MIN_STANDBY_S = 0.5
MAX_STANDBY_S = 4.0
# The longest time for which a lost `PoolFinished` message keeps a slot occupied.
HELD_REPORT_INTERVAL_S = 1.5
# Seconds after its deadline until a request without a decision is refused here.
DECISION_GRACE_S = 0.5
# Seconds between the `PoolQueued` messages of a dispatcher with few waiting instances.
# A dispatcher with many sends them less often and states the interval.
MIN_KEEPALIVE_INTERVAL_S = 0.05
UNAVAILABLE_RETRY_S = 2.0
# A grant that took longer to arrive is returned unused: the dispatcher may consider it
# lost before the request ends. Must be less than `grant_monitor.ANSWER_TIMEOUT_S`, the
# time within which an instance must report that it holds a request.
STALE_GRANT_S = 0.45
# Places that an instance keeps for a pool: many times its part of the places that a
# dispatcher books within the longest delay.
MAX_KEPT_PLACES = 512


@dataclass(slots=True, eq=False)
class _TrackedRequest:
    call: Call
    grant_request: GrantRequest
    received_at: float
    target: str = ""
    version: str | None = None
    asked_at: float = 0.0


@dataclass(frozen=True, slots=True)
class _KeptPlace:
    """A place for a returning request, with its start and end on the loop's clock."""

    info: PlaceInfo
    starts_at: float

    @property
    def ends_at(self) -> float:
        return self.starts_at + LATE_TOLERANCE_S


@dataclass(slots=True)
class _PoolState:
    """The waiting and running requests of one pool, by ask, and the dispatcher in use.

    `last_heard_at` is the time of the dispatcher's last message and `max_silence_s` the
    seconds of silence allowed after it. The standby dispatcher is used until
    `standby_until`; the next such period lasts `standby_s` seconds. `is_standby` is
    whether it was in use at the last update: the pool's dispatcher must then be sent
    the running requests, even if it is on this instance. `held_reported` is whether the
    last `PoolHeld` listed any running request. `places` are the places of callers that
    were refused here, and those used by callers that were granted a target here, by
    identity. `streams` are the versions of the recent streams of its callers; one that
    is complete here may not have reached its caller.
    """

    dispatcher: Member | None = None
    is_standby: bool = False
    last_heard_at: float = 0.0
    max_silence_s: float = 0.0
    standby_until: float = 0.0
    standby_s: float = MIN_STANDBY_S
    waiting: dict[str, _TrackedRequest] = field(default_factory=dict)
    running: dict[str, _TrackedRequest] = field(default_factory=dict)
    held_reported: bool = False
    places: dict[int, _KeptPlace] = field(default_factory=dict)
    streams: StreamVersions = field(default_factory=StreamVersions)

    def keep_place(self, place: _KeptPlace, now: float) -> None:
        """Keep a place until it is over; a new dispatcher needs it."""
        if len(self.places) >= MAX_KEPT_PLACES:
            self.drop_past_places(now)
        if len(self.places) >= MAX_KEPT_PLACES:
            del self.places[next(iter(self.places))]
        self.places[place.info.identity] = place

    def drop_past_places(self, now: float) -> None:
        """Drop the places that are over."""
        self.places = {i: p for i, p in self.places.items() if p.ends_at > now}


class DispatchClient(Worker):
    """Requests grants from the dispatcher of each pool, again when it changes.

    Parameters
    ----------
    name, incarnation, address : str
        Own name, incarnation and peer address.
    links : Worker
        Sends messages to peers.
    deliver_local : callable of Received
        Delivers messages to the dispatchers of this instance.
    standby_after : float
        Seconds of a dispatcher's silence after which this instance uses its standby
        dispatcher; 0 disables this.
    """

    def __init__(
        self,
        name,
        incarnation,
        address,
        links,
        deliver_local,
        standby_after: float = 0.0,
    ) -> None:
        super().__init__("desk", tick_interval=TICK_S)
        self._busy_tick_s = min(TICK_S, standby_after / 3) if standby_after else TICK_S
        self._standby_after = standby_after
        self._own_name = name
        self._incarnation = incarnation
        self._address = address
        self._links = links
        self._deliver_local = deliver_local
        self._view = View()
        self._dispatcher_names: dict[str, str | None] = {}
        self._pool_states: dict[str, _PoolState] = {}
        self._ask_numbers = itertools.count()
        self._held_reported_at = 0.0

    async def handle(self, message) -> None:
        """Handle a message from this instance, a dispatcher or the membership."""
        match message:
            case Call(body=GrantRequest()):
                self._request_grant(message)
            case FirstTokenReceived() as received:
                self._send_first_token(received)
            case RequestEnded():
                self._send_finished(message)
            case Received(sender=sender, message=PoolGrant() as grant):
                self._record_dispatcher_message(grant.pool, sender)
                self._handle_grant(grant)
            case Received(sender=sender, message=PoolRefuse() as refusal):
                self._record_dispatcher_message(refusal.pool, sender)
                self._handle_refusal(refusal)
            case Received(sender=sender, message=PoolQueued() as keepalive):
                self._record_dispatcher_message(
                    keepalive.pool, sender, keepalive.again_in
                )
            case Received(sender=sender, message=PoolInquire(pool=pool)):
                self._record_dispatcher_message(pool, sender)
                self._send_to(sender, self._answer_inquiry(pool))
            case Received(message=PoolStop(pool=pool, ask=ask)):
                tracked = self._pool_state(pool).running.get(ask)
                if tracked:
                    tracked.grant_request.on_stop()
            case Received(sender=sender, message=NotDispatcher(pool=pool)):
                self._handle_not_dispatcher(pool, sender)
            case LinkLost(address=address):
                self._handle_link_lost(address)
            case ViewChanged(view=view):
                self._view = view
                self._dispatcher_names.clear()
                self._update_dispatchers()
            case ConfigurationInForce(configuration=configuration):
                for pool in configuration.pools:
                    self._pool_state(pool)
                self._update_dispatchers()
            case Tick():
                self._refuse_overdue()
                self._start_standby()
                self._report_held()
                self._update_dispatchers()

    @property
    def _has_waiting(self) -> bool:
        return any(state.waiting for state in self._pool_states.values())

    @property
    def tick_interval(self) -> float:
        """Seconds between ticks, fewer while requests wait."""
        return self._busy_tick_s if self._has_waiting else TICK_S

    def _pool_state(self, pool: str) -> _PoolState:
        if pool not in self._pool_states:
            self._pool_states[pool] = _PoolState(max_silence_s=self._standby_after)
        return self._pool_states[pool]

    def _request_grant(self, call: Call) -> None:
        grant_request = call.body
        now = asyncio.get_running_loop().time()
        if not self._has_waiting:
            self._schedule_tick(self._busy_tick_s)
        self._send_ask(
            grant_request.pool, _TrackedRequest(call, grant_request, now, asked_at=now)
        )

    def _send_ask(self, pool: str, tracked: _TrackedRequest) -> None:
        ask = f"{self._incarnation}.{next(self._ask_numbers)}"
        self._pool_state(pool).waiting[ask] = tracked
        self._send(pool, PoolAsk(pool, self._work_info(ask, tracked)))

    def _work_info(self, ask: str, tracked: _TrackedRequest) -> WorkInfo:
        now = asyncio.get_running_loop().time()
        return replace(
            tracked.grant_request.work,
            ask=ask,
            deadline_in=tracked.grant_request.deadline - now,
            waited=now - tracked.received_at,
            due_in=tracked.grant_request.first_token_due - now,
            ends_in=tracked.grant_request.answer_due - now
            if tracked.grant_request.answer_due
            else 0.0,
        )

    def _answer_inquiry(self, pool: str) -> PoolHeld:
        running = self._pool_state(pool).running
        hanging = [
            ask for ask, held in running.items() if held.grant_request.on_inquiry()
        ]
        return PoolHeld(pool, self._own_name, list(running), hanging)

    def _send_first_token(self, received: FirstTokenReceived) -> None:
        """Report a first token and the version of the stream that began with it."""
        state = self._pool_state(received.pool)
        tracked = state.running.get(received.ask)
        message = PoolFirstToken(
            received.pool, received.ask, received.seconds, received.pace
        )
        if tracked and tracked.version is not None:
            message.stream = tracked.grant_request.work.stream
            message.version = tracked.version
            now = asyncio.get_running_loop().time()
            state.streams.record(message.stream, message.version, now)
        self._send(received.pool, message)

    def _send_finished(self, ended: RequestEnded) -> None:
        if self._pool_state(ended.pool).running.pop(ended.ask, None):
            self._send(
                ended.pool,
                PoolFinished(
                    ended.pool,
                    ended.ask,
                    ended.outcome,
                    ended.tokens,
                    ended.decode_seconds,
                    ended.computed_prompt_tokens,
                    ended.longest_pause,
                    ended.pace,
                    ended.pace_age,
                    ended.in_path,
                ),
            )

    def _handle_grant(self, grant: PoolGrant) -> None:
        state = self._pool_state(grant.pool)
        tracked = state.waiting.pop(grant.ask, None)
        if tracked is None or tracked.call.answer.done():
            self._send(grant.pool, PoolWithdraw(grant.pool, grant.ask))
            return
        elapsed = asyncio.get_running_loop().time() - tracked.received_at
        if elapsed - grant.waited > STALE_GRANT_S:
            self._send(grant.pool, PoolWithdraw(grant.pool, grant.ask))
            self._send_ask(grant.pool, tracked)
            return
        if grant.used_place:
            self._keep_used_place(state, tracked)
        tracked.target, tracked.version = grant.target, grant.version
        state.running[grant.ask] = tracked
        tracked.call.reply(Granted(grant.ask, grant.target, grant.version))

    def _handle_refusal(self, refusal: PoolRefuse) -> None:
        state = self._pool_state(refusal.pool)
        tracked = state.waiting.pop(refusal.ask, None)
        if tracked:
            self._keep_booked_place(state, tracked, refusal)
            reason = RefusalReason(refusal.reason)
            tracked.call.reply(Refused(reason, refusal.retry_after))

    def _keep_booked_place(
        self, state: _PoolState, tracked: _TrackedRequest, refusal: PoolRefuse
    ) -> None:
        """Keep the place that a refusal named, for a new dispatcher."""
        work = tracked.grant_request.work
        if not refusal.place_s or not work.identity:
            return
        now = asyncio.get_running_loop().time()
        info = PlaceInfo(
            work.identity, work.customer, work.rank, refusal.place_seconds, 0.0
        )
        state.keep_place(_KeptPlace(info, now + refusal.place_s), now)

    def _keep_used_place(self, state: _PoolState, tracked: _TrackedRequest) -> None:
        """Keep that a place was used, until it is over at the latest.

        Another instance may have sent the refusal, so that its time is not known here.
        """
        work = tracked.grant_request.work
        now = asyncio.get_running_loop().time()
        known = state.places.get(work.identity)
        latest_start = tracked.received_at + EARLY_TOLERANCE_S
        starts_at = known.starts_at if known else latest_start
        info = PlaceInfo(work.identity, work.customer, work.rank, 0.0, 0.0, used=True)
        state.keep_place(_KeptPlace(info, starts_at), now)

    def _places(self, state: _PoolState, now: float) -> list[PlaceInfo]:
        """Return the places that are not over, for a new dispatcher."""
        state.drop_past_places(now)
        return [
            replace(place.info, starts_in=place.starts_at - now)
            for place in state.places.values()
        ]

    def _refuse_overdue(self) -> None:
        now = asyncio.get_running_loop().time()
        for pool, state in self._pool_states.items():
            for ask, tracked in list(state.waiting.items()):
                is_cancelled = tracked.call.answer.done()
                if is_cancelled or self._is_overdue(state, tracked.grant_request, now):
                    del state.waiting[ask]
                    self._send(pool, PoolWithdraw(pool, ask))
                    tracked.call.reply(
                        Refused(RefusalReason.UNAVAILABLE, UNAVAILABLE_RETRY_S)
                    )

    def _is_overdue(
        self, state: _PoolState, grant_request: GrantRequest, now: float
    ) -> bool:
        """Whether a request has waited too long for a dispatcher's decision.

        A dispatcher that is alive may keep a request waiting beyond its deadline if a
        retry would have no better chance.
        """
        if grant_request.never_shed and state.dispatcher:
            return False
        recently_heard = (
            self._standby_after and now - state.last_heard_at < state.max_silence_s
        )
        latest = (
            max(grant_request.deadline, grant_request.answer_due)
            if recently_heard
            else grant_request.deadline
        )
        return latest + DECISION_GRACE_S < now

    def _record_dispatcher_message(
        self, pool: str, sender: str, again_in: float = 0.0
    ) -> None:
        """Record that the dispatcher of a pool is alive.

        Parameters
        ----------
        pool, sender : str
            The pool, and the peer address of the message's sender.
        again_in : float
            Seconds until the next keepalive, as stated in this one; 0 if not stated.
        """
        state = self._pool_state(pool)
        if state.dispatcher and state.dispatcher.peer_address == sender:
            state.last_heard_at = asyncio.get_running_loop().time()
            extra = again_in - MIN_KEEPALIVE_INTERVAL_S
            state.max_silence_s = self._standby_after + max(0.0, extra)
            if sender != self._address:
                state.standby_s = MIN_STANDBY_S

    def _start_standby(self) -> None:
        """Use the standby dispatcher in pools whose dispatcher is silent too long."""
        if not self._standby_after:
            return
        now = asyncio.get_running_loop().time()
        for pool, state in self._pool_states.items():
            oldest = min(
                (tracked.asked_at for tracked in state.waiting.values()), default=now
            )
            silence = now - max(state.last_heard_at, oldest)
            if silence > state.max_silence_s and now >= state.standby_until:
                state.standby_until = now + state.standby_s
                state.standby_s = min(MAX_STANDBY_S, state.standby_s * 2)
                name = state.dispatcher.name if state.dispatcher else ""
                decision(
                    "dispatcher-silent",
                    pool=pool,
                    dispatcher=name,
                    silent_s=round(silence, 3),
                    alone_s=round(state.standby_until - now, 1),
                )

    def _report_held(self) -> None:
        """Report the running requests periodically.

        The dispatcher frees the slots of all others, whose `PoolFinished` was lost.
        """
        now = asyncio.get_running_loop().time()
        if (
            not self._standby_after
            or now < self._held_reported_at + HELD_REPORT_INTERVAL_S
        ):
            return
        self._held_reported_at = now
        for pool, state in self._pool_states.items():
            if state.running or state.held_reported:
                self._send(pool, PoolHeld(pool, self._own_name, list(state.running)))
            state.held_reported = bool(state.running)

    def _dispatcher_name(self, pool: str) -> str | None:
        if pool not in self._dispatcher_names:
            self._dispatcher_names[pool] = self._view.dispatcher_of(pool)
        return self._dispatcher_names[pool]

    def _is_standby(self, pool: str, state: _PoolState) -> bool:
        """Whether to use uses standby dispatch for a pool.

        It is used if the pool's dispatcher is silent or if there is none: after a
        restart of all instances, none is ready to dispatch for about a second. Waiting
        until the silence was detected delayed each of the first requests by 0.12 to
        0.16 s.
        """
        if asyncio.get_running_loop().time() < state.standby_until:
            return True
        return bool(self._standby_after) and self._dispatcher_name(pool) is None

    def _update_dispatchers(self) -> None:
        """Determine the dispatcher of each pool and register with each new one."""
        for pool, state in self._pool_states.items():
            is_standby = self._is_standby(pool, state)
            dispatcher_name = (
                self._own_name if is_standby else self._dispatcher_name(pool)
            )
            member = (
                self._view.members.get(dispatcher_name) if dispatcher_name else None
            )
            previous = state.dispatcher
            unchanged = (
                previous is not None
                and member is not None
                and previous.incarnation == member.incarnation
                and state.is_standby == is_standby
            )
            state.dispatcher = member
            state.is_standby = is_standby
            if member and not unchanged:
                self._register(pool, state)

    def _register(self, pool: str, state: _PoolState) -> None:
        reissued = {
            f"{self._incarnation}.{next(self._ask_numbers)}": tracked
            for tracked in state.waiting.values()
        }
        now = asyncio.get_running_loop().time()
        state.last_heard_at = now
        state.max_silence_s = self._standby_after
        for tracked in reissued.values():
            tracked.asked_at = now
        state.waiting = reissued
        message = PoolRegister(
            pool,
            self._own_name,
            self._incarnation,
            [self._work_info(ask, tracked) for ask, tracked in reissued.items()],
            [self._work_info(ask, tracked) for ask, tracked in state.running.items()],
            [tracked.target for tracked in state.running.values()],
            self._places(state, now),
            to_stream_groups(state.streams.by_version()),
        )
        self._send(pool, message)

    def _handle_not_dispatcher(self, pool: str, sender: str) -> None:
        state = self._pool_state(pool)
        if state.dispatcher and state.dispatcher.peer_address == sender:
            state.dispatcher = None

    def _handle_link_lost(self, address: str) -> None:
        for state in self._pool_states.values():
            if state.dispatcher and state.dispatcher.peer_address == address:
                state.dispatcher = None

    def _send(self, pool: str, message) -> None:
        dispatcher = self._pool_state(pool).dispatcher
        if dispatcher is not None:
            self._send_to(dispatcher.peer_address, message)

    def _send_to(self, address: str, message) -> None:
        if address == self._address:
            self._deliver_local(Received(self._address, message))
        else:
            self._links.tell(Send(address, message))
