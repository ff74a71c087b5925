"""hibiscusstep.dispatcher_host: runs the dispatchers of an instance.

These are the dispatchers that all instances use, for the pools assigned to this one,
and standby dispatchers, which grant slots to this instance's own requests only, while a
pool's dispatcher is unreachable.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections import defaultdict
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

import orjson

from hibiscusstep.clock import PauseDetector
from hibiscusstep.configuration.in_force import ConfigurationInForce
from hibiscusstep.hosted_dispatcher import (
    TICK_S,
    HostedDispatcher,
    to_estimates,
    to_place,
    to_stream_groups,
    to_work,
)
from hibiscusstep.log import decision
from hibiscusstep.mailbox import Call, Tick, Worker
from hibiscusstep.membership.continuity import Continuity
from hibiscusstep.membership.mesh import ViewChanged
from hibiscusstep.membership.view import View
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
    PoolStreams,
    PoolWithdraw,
    Received,
    StatusAsk,
    StatusReply,
    StreamGroup,
)
from hibiscusstep.peerlink import Send
from hibiscusstep.rollout.rollout_update import RolloutUpdate
from hibiscusstep.routing import messages as m
from hibiscusstep.routing.return_plan import Attempt, PlaceCounts
from hibiscusstep.routing.stream_versions import (
    SaveStreams,
    StreamVersions,
    VersionsConfirmed,
)
from hibiscusstep.store import StoreRestored
from hibiscusstep.target import get_client_class

if TYPE_CHECKING:
    from hibiscusstep.configuration.models import Configuration

__all__ = ["DispatcherHost", "TargetLoad"]

_LOG = logging.getLogger(__name__)
IDLE_TICK_S = 0.5
STATE_LOG_INTERVAL_S = 2.0
ROLLOUT_REPORT_INTERVAL_S = 0.5
# Seconds between the messages about new streams to the possible successors.
STREAMS_INTERVAL_S = 0.25
# Instances that receive these messages: one of them takes over unless all end at once.
SUCCESSORS = 2
# If the store has not confirmed by then which versions began streams, the messages of
# the other instances count.
CONFIRM_TIMEOUT_S = 0.1
# Time that a message to this instance may take.
MESSAGE_DELAY_S = 0.1
# A new dispatcher decides after this time even if not every instance has registered:
# a paused instance must not delay the others.
RECOVERY_TIMEOUT_S = 0.3
LOAD_REPORT_INTERVAL_S = 1.0
# Limit on keepalives to all instances with waiting requests together. One costs about
# 40 us, so this is 4 % of a core. Keepalives to 195 instances at each tick were 3,900
# a second, a fifth of a dispatcher's capacity.
KEEPALIVES_PER_S = 1000.0
# A standby dispatcher grants at most this multiple of an even share of the slots: its
# instance's load may be above average, and all others may use standby dispatchers too.
STANDBY_SHARES = 2.0
# The same for the targets' rate limits: less than an even share, since the pool's
# dispatcher may still grant the whole limit to the other instances.
STANDBY_LIMIT_SHARES = 0.5
# After a longer pause, the others have dispatched the pools of this instance. No other
# state is lost by a false alarm than their requests, which they register again.
PAUSED_AFTER_S = 1.5
# In a region without a full mesh, an instance whose `PoolHeld` message is absent for
# this long (three were missed) is considered dead and its requests are dropped.
INSTANCE_TIMEOUT_S = 4.5


@dataclass(frozen=True, slots=True)
class _PolledLoad:
    """A load report read from a target of a pool."""

    pool: str
    report: m.LoadReport


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """A load report that a target sent with an answer to this instance."""

    pool: str
    report: m.LoadReport


class DispatcherHost(Worker):
    """Passes messages to dispatchers, which do no I/O, and executes their decisions.

    Parameters
    ----------
    name, address : str
        Own name and peer address.
    links : Worker
        Sends messages to peers.
    deliver_local : callable of Received
        Delivers messages to this instance's dispatch client.
    sessions : TargetSessions
        Used to read the targets' load reports.
    tier_guard : bool
        Whether lower tiers are shed before higher ones; off only to show the failure
        that this prevents.
    dispatcher_class : type
        Creates the dispatcher of a pool.
    polls_load : bool
        Whether to read the targets' load reports.
    has_standby : bool
        Whether to create standby dispatchers on demand.
    keep_estimates : callable of PoolLearnt or None
        Stores the estimates of the dispatchers here, so that they survive restarts.
    on_rollout : callable of RolloutUpdate or None
        Called with the progress and the end of rollouts of new versions.
    keep_streams : callable of SaveStreams or None
        Receives the streams that are to be known after a restart of all instances.
    confirm_versions : callable of str or None
        Called with a pool to read which versions began its streams; the answer is
        `VersionsConfirmed`.
    heard_at : callable or None
        Returns the time by which each neighbour was heard again.
    """

    def __init__(
        self,
        name: str,
        address: str,
        links: Worker,
        deliver_local: Callable[[Received], None],
        sessions,
        *,
        tier_guard: bool = True,
        dispatcher_class: type,
        polls_load: bool = True,
        has_standby: bool = False,
        keep_estimates: Callable[[PoolLearnt], None] | None = None,
        on_rollout: Callable[[RolloutUpdate], None] | None = None,
        keep_streams: Callable[[SaveStreams], None] | None = None,
        confirm_versions: Callable[[str], None] | None = None,
        heard_at: Callable[[], float] = lambda: -math.inf,
    ) -> None:
        super().__init__("dispatching", tick_interval=TICK_S)
        self._make_dispatcher = dispatcher_class
        self._polls_load = polls_load
        self._has_standby = has_standby
        self._standby_hosted: dict[str, HostedDispatcher] = {}
        self._keep_estimates = keep_estimates
        self._on_rollout = on_rollout
        self._keep_streams = keep_streams
        self._confirm_versions = confirm_versions
        self._heard_at = heard_at
        self._continuity = Continuity()
        # When the last read of the versions began, by pool and of all pools.
        self._versions_read_at: dict[str, float] = {}
        self._all_versions_read_at = -math.inf
        # End of the last pause; reads that began before it confirm nothing.
        self._paused_until = -math.inf
        self._estimates: dict[str, m.LearnedEstimates] = {}
        self._own_name = name
        self._address = address
        self._links = links
        self._deliver_local = deliver_local
        self._sessions = sessions
        self._tier_guard = tier_guard
        self._view = View()
        self._configuration: Configuration | None = None
        self._hosted: dict[str, HostedDispatcher] = {}
        self._stream_versions: dict[str, StreamVersions] = defaultdict(StreamVersions)
        self._pause_detector = PauseDetector(PAUSED_AFTER_S)

    @property
    def tick_interval(self) -> float:
        """Seconds between ticks, fewer while a dispatcher has work."""
        all_hosted = (*self._hosted.values(), *self._standby_hosted.values())
        busy = self._hosted or any(hosted.dispatcher.waiting for hosted in all_hosted)
        return TICK_S if busy else IDLE_TICK_S

    async def stop(self) -> None:
        """Stop reading load reports."""
        for hosted in self._hosted.values():
            self._stop_poller(hosted)
        self._hosted = {}

    def _stop_poller(self, hosted: HostedDispatcher) -> None:
        if hosted.poller:
            hosted.poller.cancel()

    async def handle(self, message) -> None:
        """Handle a message of a request, a load report, a view or a configuration."""
        if self._continuity.record_activity(now := _now()):
            self._discard_confirmations(now)
        if (pause_s := self._pause_detector.check()) and self._has_standby:
            self._await_registrations(pause_s)
        match message:
            case Received(sender=sender, message=StatusAsk(number=number, pool=pool)):
                reply = StatusReply(number, orjson.dumps(self.status(pool)).decode())
                self._send(sender, reply)
            case Call(body=StatusAsk(pool=pool)):
                message.reply(self.status(pool))
            case Received(message=PoolLearnt() as estimates_message):
                self._handle_estimates(estimates_message)
            case PoolLearnt() as estimates_message:
                self._handle_restored(estimates_message)
            case PoolStreams(pool=pool, streams=streams):
                self._restore_streams(pool, streams)
            case Received(message=PoolStreams(pool=pool, streams=streams)):
                self._record_streams(pool, streams, m.StreamOrigin.DISPATCHER)
            case VersionsConfirmed() as confirmed:
                self._handle_confirmed(confirmed)
            case StoreRestored():
                for hosted in self._hosted.values():
                    hosted.saves_streams = False
            case Received(sender=sender, message=body):
                self._handle_pool_message(sender, body)
            case _PolledLoad(pool=pool, report=report):
                if pool in self._hosted:
                    self._feed(self._hosted[pool], report)
            case TargetLoad(pool=pool, report=report):
                if pool in self._standby_hosted:
                    self._feed(self._standby_hosted[pool], report)
            case ViewChanged(view=view):
                self._handle_view(view)
            case ConfigurationInForce(configuration=configuration):
                self._configuration = configuration
                self._handle_configuration()
            case Tick():
                self._handle_tick()

    @property
    def overdue_slots(self) -> dict[str, int]:
        """Slots held beyond the expected end of their requests, by pool."""
        return {
            pool: hosted.dispatcher.overdue_slots
            for pool, hosted in self._hosted.items()
        }

    @property
    def place_counts(self) -> dict[str, PlaceCounts]:
        """Numbers of places for returning requests, by pool that plans returns."""
        return {
            pool: counts
            for pool, hosted in self._hosted.items()
            if (counts := hosted.dispatcher.place_counts) is not None
        }

    @property
    def slow_hosts(self) -> dict[str, int]:
        """Targets whose hosts take well above the usual time, by pool."""
        return {
            pool: hosted.dispatcher.slow_host_count
            for pool, hosted in self._hosted.items()
        }

    @property
    def memory_shares(self) -> dict[str, float]:
        """Highest share of a target's memory that is granted, by pool with a bound."""
        shares = (
            (pool, hosted.dispatcher.memory_share)
            for pool, hosted in self._hosted.items()
        )
        return {pool: share for pool, share in shares if share is not None}

    @property
    def memory_waits(self) -> dict[str, int]:
        """Requests that waited for memory, by pool with a bound."""
        return {
            pool: self._hosted[pool].dispatcher.counts.waited_for_memory
            for pool in self.memory_shares
        }

    @property
    def rollout_summaries(self) -> dict[str, dict]:
        """Summaries of the rollouts that run here, by pool."""
        return {
            pool: {"version": rollout.planned.version, **rollout.summary}
            for pool, hosted in self._hosted.items()
            if (rollout := hosted.dispatcher.rollout)
        }

    def status(self, pool: str) -> dict:
        """Return a pool's targets and queues; empty if it is not dispatched here."""
        hosted = self._hosted.get(pool)
        if hosted is None:
            return {}
        return {
            "dispatcher": self._own_name,
            "recovered": hosted.dispatcher.recovered,
            "waiting": hosted.dispatcher.waiting,
            "counts": asdict(hosted.dispatcher.counts),
            "targets": hosted.dispatcher.status(),
        }

    def _handle_tick(self) -> None:
        now = asyncio.get_running_loop().time()
        for hosted in (*self._hosted.values(), *self._standby_hosted.values()):
            may_decide = (
                self._has_standby and now > hosted.created_at + RECOVERY_TIMEOUT_S
            )
            if may_decide and not hosted.dispatcher.recovered:
                self._recover(hosted)
            self._drop_unreachable_instances(hosted, now)
            self._feed(hosted, m.TimePassed())
            self._send_keepalives(hosted, now)
            self._confirm_by_messages(hosted, now)
            if not hosted.dispatcher.is_standby:
                self._save_streams(hosted, now)
                self._send_streams(hosted, now)
            self._report_rollout(hosted, now)
            if (
                hosted.state_logged_at + STATE_LOG_INTERVAL_S <= now
                and hosted in self._hosted.values()
            ):
                hosted.state_logged_at = now
                self._log_state(hosted, now)
                self._send_estimates(hosted)

    def _drop_unreachable_instances(self, hosted: HostedDispatcher, now: float) -> None:
        """Drop the requests of unreachable instances where there is no full mesh."""
        if self._view.is_mesh:
            return
        unreachable = [
            n for n, at in hosted.last_heard_at.items() if now - at > INSTANCE_TIMEOUT_S
        ]
        for name in unreachable:
            del hosted.last_heard_at[name]
            self._feed(hosted, m.InstanceGone(name))

    def _send_estimates(self, hosted: HostedDispatcher) -> None:
        """Send a dispatcher's estimates to the neighbours: any may take over."""
        estimates = hosted.dispatcher.learned_estimates
        if not estimates:
            return
        pool = hosted.dispatcher.pool_name
        estimates_message = PoolLearnt(
            pool,
            list(estimates.slowness),
            list(estimates.slowness.values()),
            estimates.base_seconds,
            estimates.seconds_per_prompt_token,
            estimates.prefill_chunk_s,
        )
        if self._keep_estimates:
            self._keep_estimates(estimates_message)
        for address in self._view.neighbours(self._address):
            self._links.tell(Send(address, estimates_message))

    def _report_rollout(
        self,
        hosted: HostedDispatcher,
        now: float,
        concluded: m.ConcludeRollout | None = None,
    ) -> None:
        """Report and log a rollout's progress, periodically and at its end."""
        rollout = hosted.dispatcher.rollout
        if rollout is None or not self._on_rollout:
            return
        if (
            concluded is None
            and now < hosted.rollout_reported_at + ROLLOUT_REPORT_INTERVAL_S
        ):
            return
        hosted.rollout_reported_at = now
        pool, number = hosted.dispatcher.pool_name, rollout.planned.number
        fields = {"pool": pool, "version": rollout.planned.version, **rollout.summary}
        if concluded:
            fields |= {"state": concluded.state, "reason": concluded.reason}
        decision("rollout-verdict" if concluded else "rollout-progress", **fields)
        verdict = (concluded.state, concluded.reason) if concluded else ()
        self._on_rollout(RolloutUpdate(pool, number, rollout.progress, *verdict))

    def _handle_estimates(self, estimates_message: PoolLearnt) -> None:
        """Store another dispatcher's estimates, in case this instance takes over."""
        for follower in self._view.followers.values():
            self._links.tell(Send(follower.peer_address, estimates_message))
        self._estimates[estimates_message.pool] = to_estimates(estimates_message)
        if estimates_message.pool in self._standby_hosted:
            self._feed(
                self._standby_hosted[estimates_message.pool],
                self._estimates[estimates_message.pool],
            )

    def _handle_restored(self, estimates_message: PoolLearnt) -> None:
        """Use stored estimates from before a restart where none newer are known."""
        restored = to_estimates(estimates_message, old=True)
        self._estimates.setdefault(estimates_message.pool, restored)
        for all_hosted in (self._hosted, self._standby_hosted):
            if estimates_message.pool in all_hosted:
                self._feed(all_hosted[estimates_message.pool], restored)

    def _log_state(self, hosted: HostedDispatcher, now: float) -> None:
        """Log the dispatcher's estimates of its targets."""
        summary = hosted.dispatcher.summary(now)
        if summary:
            decision("pool-state", pool=hosted.dispatcher.pool_name, **summary)

    def _send_keepalives(self, hosted: HostedDispatcher, now: float) -> None:
        """Send keepalives to the instances with waiting requests."""
        if now + TICK_S / 2 < hosted.keepalives_sent_at + hosted.keepalive_interval_s:
            return
        instances = hosted.dispatcher.instances_waiting()
        hosted.keepalives_sent_at = now
        hosted.keepalive_interval_s = max(TICK_S, len(instances) / KEEPALIVES_PER_S)
        keepalive = PoolQueued(hosted.dispatcher.pool_name, hosted.keepalive_interval_s)
        for instance in instances:
            address = hosted.addresses.get(instance)
            if address:
                self._send(address, keepalive)

    def _send_streams(self, hosted: HostedDispatcher, now: float) -> None:
        """Send the streams that callers may resume to those that may take over.

        They cannot be learned from this instance after its end, and those of its own
        callers from no other one.
        """
        if now < hosted.streams_sent_at + STREAMS_INTERVAL_S:
            return
        hosted.streams_sent_at = now
        new, hosted.new_streams = hosted.new_streams, {}
        if not hosted.dispatcher.may_mix_versions(now):
            hosted.streams_sent_to = frozenset()
            return
        pool = hosted.dispatcher.pool_name
        new_streams = _by_version(new)
        # An older build closes the link at a message that it does not know.
        successors = [
            member
            for member in self._view.successors(pool, self._own_name, SUCCESSORS)
            if member.receives_streams
        ]
        for member in successors:
            is_known = member.incarnation in hosted.streams_sent_to
            streams = (
                new_streams if is_known else self._stream_versions[pool].by_version()
            )
            if streams:
                message = PoolStreams(pool, to_stream_groups(streams))
                self._links.tell(Send(member.peer_address, message))
        hosted.streams_sent_to = frozenset(member.incarnation for member in successors)

    def _save_streams(self, hosted: HostedDispatcher, now: float) -> None:
        """Have new streams stored; at first all, and read those of before a restart."""
        new, hosted.unsaved_streams = hosted.unsaved_streams, {}
        if self._keep_streams is None or not hosted.dispatcher.may_mix_versions(now):
            hosted.saves_streams = False
            return
        pool = hosted.dispatcher.pool_name
        is_first = not hosted.saves_streams
        hosted.saves_streams = True
        known = self._stream_versions[pool]
        streams = known.by_version() if is_first else _by_version(new)
        if streams or is_first:
            self._keep_streams(SaveStreams(pool, streams, is_first))

    def _record_streams(
        self, pool: str, groups: list[StreamGroup], origin: m.StreamOrigin
    ) -> None:
        now = asyncio.get_running_loop().time()
        for group in groups:
            for stream in group.streams:
                self._stream_versions[pool].record(stream, group.version, now, origin)

    def _record_begun(self, pool: str, groups: list[StreamGroup]) -> None:
        """Record streams that began through an instance, to be sent and stored."""
        self._record_streams(pool, groups, m.StreamOrigin.INSTANCE)
        if pool not in self._hosted:
            return
        hosted = self._hosted[pool]
        for group in groups:
            streams = dict.fromkeys(filter(None, group.streams), group.version)
            hosted.new_streams |= streams
            hosted.unsaved_streams |= streams

    def _restore_streams(self, pool: str, groups: list[StreamGroup]) -> None:
        """Record streams of the store; those that are known began again since."""
        now = asyncio.get_running_loop().time()
        versions = self._stream_versions[pool]
        for group in groups:
            for stream in group.streams:
                if versions.find(stream, now) is None:
                    origin = m.StreamOrigin.STORE
                    versions.record(stream, group.version, now, origin)

    def _handle_confirmed(self, confirmed: VersionsConfirmed) -> None:
        """Let requests go on that resume streams of the only version known."""
        if confirmed.pools is None:
            self._all_versions_read_at = confirmed.at
        else:
            self._versions_read_at |= dict.fromkeys(confirmed.pools, confirmed.at)
        if confirmed.at <= self._paused_until:
            return
        for hosted in (*self._hosted.values(), *self._standby_hosted.values()):
            pool = hosted.dispatcher.pool_name
            if confirmed.pools is None or pool in confirmed.pools:
                hosted.unconfirmed_since = None
                self._feed(hosted, m.OriginsConfirmed(confirmed.at))

    def _discard_confirmations(self, now: float) -> None:
        """Discard what was confirmed before a pause of this instance.

        The clock stands still while the machine is suspended: a request that waited
        elsewhere meanwhile would seem to have been received before the last read.
        """
        self._paused_until = now
        for hosted in (*self._hosted.values(), *self._standby_hosted.values()):
            hosted.dispatcher.discard_confirmation()

    def _request_confirmation(self, hosted: HostedDispatcher, now: float) -> None:
        if hosted.unconfirmed_since is None:
            hosted.unconfirmed_since = now
        if self._confirm_versions:
            self._confirm_versions(hosted.dispatcher.pool_name)

    def _confirm_by_messages(self, hosted: HostedDispatcher, now: float) -> None:
        """Confirm the versions without the store, if no message can have been missed.

        Each neighbour tells a version before it lets it begin streams, and is heard
        again with its next heartbeat. Without this, a slow store would end the streams
        of an instance that hears all others.
        """
        since = hosted.unconfirmed_since
        if since is None or now < since + CONFIRM_TIMEOUT_S:
            return
        pool = hosted.dispatcher.pool_name
        read_at = self._versions_read_at.get(pool, -math.inf)
        read_at = max(read_at, self._all_versions_read_at)
        is_current = self._continuity.is_current(read_at, now)
        if hosted.confirms_by_messages is not is_current:
            hosted.confirms_by_messages = is_current
            age = round(now - read_at, 2) if read_at > -math.inf else None
            decision("versions-unconfirmed", pool=pool, current=is_current, age=age)
        if is_current:
            heard_at = min(self._heard_at(), now)
            self._feed(hosted, m.OriginsConfirmed(heard_at - MESSAGE_DELAY_S))

    def _standby_dispatcher(self, pool: str) -> HostedDispatcher | None:
        """Return the pool's standby dispatcher, created on demand; None if disabled."""
        if not self._has_standby or self._configuration is None:
            return None
        if pool not in self._standby_hosted:
            hosted = HostedDispatcher(
                self._make_dispatcher(
                    pool, self._configuration, standby_instance=self._own_name
                )
            )
            hosted.dispatcher.stream_versions = self._stream_versions[pool]
            self._standby_hosted[pool] = hosted
            if pool in self._estimates:
                self._feed(hosted, self._estimates[pool])
            self._feed(hosted, m.Recovered())
        self._schedule_tick(TICK_S)
        hosted = self._standby_hosted[pool]
        instances = max(1, self._view.expected_size)
        hosted.dispatcher.capacity_share = min(1.0, STANDBY_SHARES / instances)
        now = asyncio.get_running_loop().time()
        hosted.dispatcher.set_limit_share(STANDBY_LIMIT_SHARES / instances, now)
        return hosted

    def _handle_pool_message(self, sender: str, body) -> None:
        pool = body.pool
        if isinstance(body, PoolFirstToken) and body.version is not None:
            self._record_begun(pool, [StreamGroup(body.version, [body.stream])])
        hosted = self._hosted.get(pool)
        if hosted is None and sender == self._address:
            hosted = self._standby_dispatcher(pool)
        if hosted is None:
            if isinstance(body, PoolAsk | PoolRegister):
                self._send(sender, NotDispatcher(pool))
            return
        now = asyncio.get_running_loop().time()
        match body:
            case PoolAsk(work=info) if info.instance in hosted.unregistered:
                # It asked before the pause, or will register as it was asked to.
                return
            case PoolHeld(instance=instance) if instance in hosted.unregistered:
                self._send(sender, NotDispatcher(pool))
            case PoolAsk(work=info):
                hosted.addresses[info.instance] = sender
                hosted.last_heard_at[info.instance] = now
                self._feed(hosted, m.RequestGrant(to_work(info, now)))
                if self._has_standby and hosted.dispatcher.is_undecided(info.ask):
                    self._send(sender, PoolQueued(pool, hosted.keepalive_interval_s))
            case PoolWithdraw(ask=ask):
                self._feed(hosted, m.Withdraw(ask))
            case PoolFirstToken(ask=ask, seconds=seconds, pace=pace):
                self._feed(hosted, m.FirstToken(ask, seconds, pace))
            case PoolFinished():
                finished = m.Finished(
                    body.ask,
                    m.GrantOutcome(body.outcome),
                    body.tokens,
                    body.decode_seconds,
                    body.computed,
                    body.longest_pause,
                    body.pace,
                    body.pace_age,
                    body.in_path,
                )
                self._feed(hosted, finished)
            case PoolHeld(instance=instance, asks=asks, hanging=hanging):
                hosted.last_heard_at[instance] = now
                held = m.HeldGrants(instance, frozenset(asks), frozenset(hanging))
                self._feed(hosted, held)
            case PoolRegister():
                self._register(hosted, sender, body, now)

    def _register(
        self, hosted: HostedDispatcher, sender: str, body: PoolRegister, now: float
    ) -> None:
        hosted.addresses[body.instance] = sender
        hosted.last_heard_at[body.instance] = now
        hosted.unregistered.discard(body.instance)
        self._feed(hosted, m.InstanceGone(body.instance))
        if body.places:
            places = tuple(to_place(info, now) for info in body.places)
            self._feed(hosted, m.ImportPlaces(places))
        self._record_begun(body.pool, body.streams)
        for info, target in zip(body.running, body.targets, strict=True):
            self._feed(hosted, m.AdoptRunning(to_work(info, now), target))
        if hosted is self._standby_hosted.get(body.pool):
            self._feed(hosted, m.Recovered())
        for info in body.waiting:
            self._feed(hosted, m.RequestGrant(to_work(info, now)))
        hosted.registered_incarnations.add(body.incarnation)
        self._recover_if_all_registered(body.pool, hosted)

    def _recover_if_all_registered(self, pool: str, hosted: HostedDispatcher) -> None:
        """Allow a dispatcher to decide once every live instance has registered."""
        if hosted.dispatcher.recovered:
            return
        view = self._view
        live = (*view.members.values(), *view.followers.values())
        expected = {member.incarnation for member in live if member.ready}
        if not view.other_instances and expected <= hosted.registered_incarnations:
            self._recover(hosted)

    def _recover(self, hosted: HostedDispatcher) -> None:
        pool = hosted.dispatcher.pool_name
        decision(
            "dispatcher-recovered",
            pool=pool,
            instances=len(hosted.registered_incarnations),
        )
        self._feed(hosted, m.Recovered())

    def _handle_view(self, view: View) -> None:
        previous, self._view = self._view.members, view
        removed = previous.keys() - view.members.keys()
        self._update_hosted()
        now = asyncio.get_running_loop().time()
        self._continuity.apply_view(view, now)
        for pool, hosted in self._hosted.items():
            hosted.dispatcher.set_limit_share(_limit_share(view), now)
            # In a large region a relay missing from the view may have become a follower
            # of another relay, and keeps its requests.
            for name in removed if view.is_mesh else ():
                self._feed(hosted, m.InstanceGone(name))
                hosted.last_heard_at.pop(name, None)
                hosted.dropped_incarnations.add(previous[name].incarnation)
            self._request_registration(pool, hosted)
            self._feed(hosted, m.SuspectPartition(view.has_unreachable))
            self._recover_if_all_registered(pool, hosted)

    def _await_registrations(self, pause_s: float) -> None:
        """Drop all requests after a pause of this instance, as a new dispatcher.

        Others dispatched its pools: requests that it knows of have ended, and it does
        not know of those that others granted.
        """
        now = asyncio.get_running_loop().time()
        for pool, hosted in self._hosted.items():
            decision("dispatcher-paused", pool=pool, seconds=round(pause_s, 3))
            hosted.dispatcher.suspend_decisions()
            hosted.created_at = now
            hosted.registered_incarnations.clear()
            hosted.unregistered = set(hosted.last_heard_at)
            for name in hosted.unregistered:
                hosted.last_heard_at[name] = now
                self._feed(hosted, m.InstanceGone(name))
                if address := hosted.addresses.get(name):
                    self._send(address, NotDispatcher(pool))

    def _request_registration(self, pool: str, hosted: HostedDispatcher) -> None:
        """Ask live instances that were considered dead to register again.

        They do not know that their requests were dropped: those that wait would be
        refused at their deadlines.
        """
        for member in self._view.members.values():
            if member.incarnation in hosted.dropped_incarnations:
                hosted.dropped_incarnations.discard(member.incarnation)
                self._send(member.peer_address, NotDispatcher(pool))

    def _handle_configuration(self) -> None:
        for hosted in (*self._hosted.values(), *self._standby_hosted.values()):
            self._feed(hosted, m.Configure(self._configuration))
        self._update_hosted()

    def _update_hosted(self) -> None:
        if self._configuration is None:
            return
        own_pools = {
            pool
            for pool in self._configuration.pools
            if self._view.dispatcher_of(pool) == self._own_name
        }
        for pool in self._hosted.keys() - own_pools:
            self._stop_poller(self._hosted.pop(pool))
            decision("dispatcher-left", pool=pool)
        for pool in own_pools - self._hosted.keys():
            dispatcher = self._make_dispatcher(
                pool, self._configuration, tier_guard=self._tier_guard
            )
            hosted = HostedDispatcher(
                dispatcher, created_at=asyncio.get_running_loop().time()
            )
            if self._polls_load:
                hosted.poller = asyncio.create_task(self._poll_load_reports(pool))
            dispatcher.stream_versions = self._stream_versions[pool]
            dispatcher.set_limit_share(_limit_share(self._view), hosted.created_at)
            self._hosted[pool] = hosted
            if pool in self._estimates:
                self._feed(hosted, self._estimates[pool])
            decision("dispatcher-taken", pool=pool)
        if own_pools:
            self._schedule_tick(TICK_S)

    async def _poll_load_reports(self, pool: str) -> None:
        while True:
            settings = self._configuration.pools.get(pool)
            if settings is None:
                return
            client_class = get_client_class(settings.kind)
            reports = await asyncio.gather(
                *(
                    client_class(name, target.address, self._sessions).report()
                    for name, target in settings.targets.items()
                )
            )
            for report in reports:
                self.tell(_PolledLoad(pool, report))
            await asyncio.sleep(LOAD_REPORT_INTERVAL_S)

    def _feed(self, hosted: HostedDispatcher, message) -> None:
        now = asyncio.get_running_loop().time()
        for action in hosted.dispatcher.handle(message, now):
            self._execute(hosted, action, now)

    def _execute(
        self, hosted: HostedDispatcher, action: m.Decision, now: float
    ) -> None:
        pool = hosted.dispatcher.pool_name
        if isinstance(action, m.QueryGrants):
            self._send_inquiry(hosted, action.instance)
            return
        if isinstance(action, m.ConfirmOrigins):
            self._request_confirmation(hosted, now)
            return
        if isinstance(action, m.ConcludeRollout):
            self._report_rollout(hosted, now, action)
            return
        work = action.work
        address = hosted.addresses.get(work.instance)
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
        match action:
            case m.Grant(target=target, candidates=candidates):
                fields |= _limited_field(action) | _share_field(action)
                fields |= _attempt_field(action)
                fields |= _memory_field(action)
                fields |= _stream_field(action)
                decision("grant", **fields, target=target, candidates=candidates)
                waited = now - work.received_at
                grant = PoolGrant(
                    pool, work.ask, target, waited, action.used_place, action.version
                )
                self._send(address, grant)
            case m.Refuse(reason=reason, retry_after=retry_after):
                fields |= _limited_field(action) | _share_field(action)
                fields |= _attempt_field(action)
                decision("refuse", **fields, reason=reason, retry_after=retry_after)
                place = action.place_s, action.place_seconds
                refusal = PoolRefuse(pool, work.ask, reason, retry_after, *place)
                self._send(address, refusal)
            case m.Stop(target=target):
                decision("stop", **fields, target=target)
                self._send(address, PoolStop(pool, work.ask))
            case m.GrantLost(target=target):
                instance = work.instance
                decision("end-not-told", **fields, target=target, instance=instance)

    def _send_inquiry(self, hosted: HostedDispatcher, instance: str) -> None:
        address = hosted.addresses.get(instance)
        if address:
            self._send(address, PoolInquire(hosted.dispatcher.pool_name))

    def _send(self, address: str, message) -> None:
        if address == self._address:
            self._deliver_local(Received(address, message))
        else:
            self._links.tell(Send(address, message))


def _now() -> float:
    return asyncio.get_running_loop().time()


def _by_version(streams: dict[int, str]) -> dict[str, list[int]]:
    """Return streams by version."""
    groups = defaultdict(list)
    for stream, version in streams.items():
        groups[version].append(stream)
    return groups


def _limit_share(view: View) -> float:
    """Return the share of the rate limits that a dispatcher may grant.

    Beyond a partition of the network, another dispatcher may grant the rest.
    """
    return view.size / max(1, view.size + view.unreachable)


def _limited_field(action: m.Grant | m.Refuse) -> dict[str, int]:
    """Return the log field that says that rate limits affect a decision, if so."""
    count = action.limited_targets
    return {"limited_targets": count} if count else {}


def _share_field(action: m.Grant | m.Refuse) -> dict[str, float]:
    """Return the log field with the customer's share of its rank, if it has one."""
    return {} if action.share is None else {"share": action.share}


def _attempt_field(action: m.Grant | m.Refuse) -> dict[str, str | float]:
    """Return the log fields of a decision where returns are planned.

    A grant of a first attempt, the usual case, has none.
    """
    if isinstance(action, m.Grant):
        named = action.attempt and action.attempt != Attempt.FIRST
        return {"attempt": str(action.attempt)} if named else {}
    if not action.attempt:
        return {}
    fields: dict[str, str | float] = {"attempt": str(action.attempt)}
    if action.place_s:
        fields["place_in"] = round(action.place_s, 2)
    return fields


def _memory_field(action: m.Grant) -> dict[str, int]:
    """Return the log field for a target's memory if more than half is in use."""
    tokens = action.memory_tokens
    return {"memory_tokens": tokens} if tokens else {}


def _stream_field(action: m.Grant) -> dict[str, str]:
    """Return the version if the request continues a stream, and why it is that one."""
    if action.stream_origin is None:
        return {}
    return {"version": action.version or "", "stream_origin": action.stream_origin}
