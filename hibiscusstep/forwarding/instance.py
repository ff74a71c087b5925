"""hibiscusstep.forwarding.instance: an entry instance that forwards requests."""

import asyncio
import itertools
import logging
import random
import secrets
from collections import Counter
from functools import partial

from aiohttp import web

from hibiscusstep.clock import SuspensionDetector
from hibiscusstep.configuration.in_force import ConfigurationInForce
from hibiscusstep.descriptors import ConnectionLimits
from hibiscusstep.dispatch_client import DispatchClient
from hibiscusstep.dispatcher_host import DispatcherHost
from hibiscusstep.errors import ConfigurationError
from hibiscusstep.forwarding.announcement import AnnouncementReader
from hibiscusstep.forwarding.begun_versions import UNKNOWN_VERSION
from hibiscusstep.forwarding.bounds import Bounds
from hibiscusstep.forwarding.buffer_budget import (
    WINDOW_BYTES,
    BufferBounds,
    BufferBudget,
    resident_bytes,
)
from hibiscusstep.forwarding.caller_frontend import CallerFrontend
from hibiscusstep.forwarding.catalog import (
    Catalog,
    SetFollowing,
    TableUpdate,
    TargetsAnnounced,
)
from hibiscusstep.forwarding.connections import ConnectionPool
from hibiscusstep.forwarding.environment import InstanceEnvironment
from hibiscusstep.forwarding.incoming_request import ForwardingContext
from hibiscusstep.forwarding.metrics import ForwardingMetrics
from hibiscusstep.forwarding.model import DiscoveredTarget, RoutingTable
from hibiscusstep.forwarding.planning import PlannedVersions, Planner
from hibiscusstep.forwarding.pool_versions import NO_VERSIONS
from hibiscusstep.forwarding.quarantine import Quarantine
from hibiscusstep.forwarding.quarantine_routes import add_quarantine_routes
from hibiscusstep.forwarding.quota import CustomersChanged, QuotaLimiter
from hibiscusstep.forwarding.rollout_routes import add_rollout_routes
from hibiscusstep.forwarding.rollouts import (
    ConfirmVersions,
    RolloutCoordinator,
    TargetsChanged,
)
from hibiscusstep.forwarding.saved_streams import SavedStreamsWorker
from hibiscusstep.forwarding.saved_usage import SavedUsageWorker
from hibiscusstep.forwarding.state_distributor import StateDistributor
from hibiscusstep.forwarding.target_backoff import TargetBackoff
from hibiscusstep.forwarding.target_estimates import SavedEstimatesWorker
from hibiscusstep.forwarding.target_messages import from_target_states
from hibiscusstep.forwarding.target_paths import TargetPaths
from hibiscusstep.forwarding.tunnel import TunnelServer
from hibiscusstep.forwarding.tunneling_connector import TunnelingConnector
from hibiscusstep.forwarding.windowed_retry_budget import WindowedRetryBudget
from hibiscusstep.http_server.acceptor import Acceptor
from hibiscusstep.http_server.limits import OPERATOR_LIMITS, OPERATOR_TIMEOUT_S
from hibiscusstep.http_server.server import serve
from hibiscusstep.http_server.server_context import ServerContext
from hibiscusstep.log import count_dropped_lines, decision, flush_periodically
from hibiscusstep.mailbox import Worker
from hibiscusstep.membership.hierarchical import HierarchicalMembership
from hibiscusstep.membership.mesh import OwnStateChange, ViewChanged
from hibiscusstep.membership.view import View
from hibiscusstep.peer import (
    Beat,
    ConfigurationAsk,
    ConfigurationReply,
    Heartbeat,
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
    Relays,
    RolloutRecords,
    RolloutWrite,
    SuspectStates,
    TargetStates,
    Usage,
    UsageAsk,
    UsageHistory,
)
from hibiscusstep.peerlink import LinkLost, PeerLinks
from hibiscusstep.routing.dispatch_plan import DispatchPlan
from hibiscusstep.routing.slot_dispatcher import SlotDispatcher
from hibiscusstep.store import Change, StoreRestored
from hibiscusstep.supervisor import Child, RestartPolicy, Supervisor

__all__ = ["ForwardingInstance"]

_LOG = logging.getLogger(__name__)
# A pool's dispatcher that is silent this long is taken to be paused or disconnected.
DISPATCHER_TIMEOUT_S = 0.12
SWEEP_INTERVAL_S = 0.5
REGISTER_RETRY_S = 1.0
REGISTER_JITTER_S = 2.0
METRICS_RETRY_S = 5.0
# Time for which an idle, stopping instance still answers requests that were in transit;
# later callers find its port closed.
FINAL_REQUESTS_S = 0.1
# A new instance dispatches no pool until it has connected to the others; before that,
# all of them would wait for its grants.
ELIGIBLE_AFTER_S = 1.0
# The first plan waits this long for the versions that may serve.
FIRST_PLAN_TIMEOUT_S = 1.1
# A follower that has not become ready through its relay by then reads the store itself.
RELAY_TIMEOUT_S = 3.0
# After this many sweeps all targets are sent to the followers again, so that a message
# lost with a broken connection has an effect for at most five seconds.
SWEEPS_PER_TARGET_RESEND = 10
# A stopping instance keeps listening for this long, or for half of its grace period if
# that is shorter, so that callers and the balancer can notice.
MAX_DRAIN_LISTEN_S = 4.0
# Fields of a rollout's state that its dispatcher exports as gauges.
_ROLLOUT_GAUGES = ("requests", "exposed", "may_get", "answers", "bad", "evidence")
# Part of the grace period that is reserved for the shutdown itself.
STOP_MARGIN_S = 0.6


class ForwardingInstance:
    """Runs the tasks of one instance, connects them and shuts them down.

    Parameters
    ----------
    environment : InstanceEnvironment
        Platform-specific parts, settings and stores.
    """

    def __init__(self, environment: InstanceEnvironment) -> None:
        self._environment = environment
        self._settings = environment.settings
        self._incarnation = secrets.token_hex(6)
        self._view = View(role_known=False)
        self._table: RoutingTable | None = None
        self._targets: dict[str, DiscoveredTarget] = {}
        self._planner = Planner()
        self._targets_known = False
        self._leaving = False
        self._accepts_tunnels = False
        self._follows_store = True
        self._started_at = asyncio.get_running_loop().time()
        self._has_plan = False
        # Pools with streams, which callers may resume.
        self._stream_pools: frozenset[str] = frozenset()
        self._registration_needed = asyncio.Event()
        self._suspended_s = 0.0
        self.started = asyncio.Event()

    @property
    def incarnation(self) -> str:
        """Unique id of this run of the instance."""
        return self._incarnation

    @property
    def ready(self) -> bool:
        """Whether a balancer may send callers to this instance."""
        return self._has_plan and self._targets_known and not self._leaving

    @property
    def view(self) -> View:
        """The live instances known here."""
        return self._view

    @property
    def version(self) -> int:
        """Version of the configuration in force here."""
        return self._table.version if self._table else 0

    @property
    def targets(self) -> dict[str, DiscoveredTarget]:
        """All known targets by name."""
        return self._targets

    @property
    def peer_address(self) -> str:
        """Address to which other instances connect."""
        return self._settings.peer_address

    @property
    def metrics_address(self) -> str:
        """Address at which the metrics are served."""
        return self._settings.operator_address

    @property
    def frontend(self) -> CallerFrontend:
        """The HTTP server for callers."""
        return self._frontend

    @property
    def buffers(self) -> BufferBudget:
        """The bytes held for callers and targets."""
        return self._buffers

    @property
    def quarantine(self) -> Quarantine:
        """The requests that crashed targets and are not forwarded."""
        return self._quarantine

    @property
    def bounds(self) -> Bounds:
        """Limits and times in force."""
        return self._quotas.bounds

    def apply_table(self, table: RoutingTable) -> None:
        """Apply a routing table from a source other than the store."""
        self._catalog.tell(TableUpdate(table))

    def stop_following_store(self) -> None:
        """Receive changes from peers only."""
        self._follows_store = False
        self._catalog.tell(SetFollowing(False))

    async def run(self) -> None:
        """Run until cancelled or until an essential task fails."""
        self._make_workers()
        self._environment.on_store_restored(self._on_store_restored)
        children = [
            *(Child(worker.name, worker.run) for worker in self._workers),
            Child("sweeper", self._maintain),
            Child("log", flush_periodically),
            Child("registration", self._register, RestartPolicy.TRANSIENT),
            Child("metrics", self._serve_metrics),
            Child("readiness", self._serve_readiness, RestartPolicy.ESSENTIAL),
            Child("callers", self._serve_callers, RestartPolicy.ESSENTIAL),
        ]
        decision(
            "start",
            instance=self._settings.name,
            incarnation=self._incarnation,
            data_centre=self._settings.data_centre,
        )
        self._supervisor = Supervisor(self._settings.name, children)
        try:
            await self._supervisor.run()
        finally:
            self._connections.close()
            await self._environment.close()

    async def drain(self, spent: float = 0.0) -> None:
        """Direct callers to other instances and finish the open requests.

        Returns before the grace period ends.

        Parameters
        ----------
        spent : float
            Seconds of the grace period that have passed.
        """
        grace = self._environment.bounds.stop_grace - spent
        now = asyncio.get_running_loop().time()
        decision("stop", open=self._frontend.open_requests, grace=grace)
        self._leaving = True
        self._membership.tell(OwnStateChange(leaving=True))
        self._frontend.begin_drain(now, now + grace - STOP_MARGIN_S)
        self._tunnels.begin_drain()
        await asyncio.sleep(min(MAX_DRAIN_LISTEN_S, grace / 2))
        try:
            async with asyncio.timeout_at(now + grace - STOP_MARGIN_S):
                await self._finish_requests()
        except TimeoutError:
            decision("stop-cuts", open=self._frontend.open_requests)

    async def _finish_requests(self) -> None:
        """Serve until idle, then refuse new requests and wait for the open ones."""
        await self._frontend.wait_idle()
        await self._tunnels.wait_idle()
        self._frontend.refuse_requests()
        self._caller_acceptor.stop()
        await asyncio.sleep(FINAL_REQUESTS_S)
        await self._frontend.wait_idle()

    def reload(self) -> None:
        """Read the settings again; apply bounds only, addresses need a restart."""
        try:
            bounds = self._environment.read_bounds()
        except ConfigurationError as error:
            _LOG.error("settings not reloaded", extra={"error": str(error)})
            return
        self._quotas.bounds = bounds
        self._retries.bounds = bounds
        self._rollouts.version_table.orders_rollouts = bounds.orders_rollouts
        decision("reload", bounds=str(bounds))

    def cut(self, why: str) -> None:
        """Log a second signal; open requests are still finished."""
        _LOG.warning("second signal", extra={"why": why})

    def _make_workers(self) -> None:
        settings, name = self._settings, self._settings.name
        address, incarnation = settings.peer_address, self._incarnation
        bounds = self._environment.bounds
        self._connection_limits = ConnectionLimits.of_descriptors(settings.max_fds)
        self._links = PeerLinks(
            address,
            settings.peer_key,
            self._deliver_message,
            self._connection_limits.others,
        )
        self._membership = HierarchicalMembership(
            settings,
            incarnation,
            self._links,
            self._environment.instance_directory,
            self._on_view,
            settings.capacity,
            settings.max_mesh_size,
        )
        self._catalog = Catalog(
            self._environment.tables,
            self._environment.targets,
            self._on_table,
            self._on_targets,
            lambda name: self._connections.close_all(name),
            lambda targets: self._distributor.send_announced(targets),
            bounds.silence_limit,
        )
        self._distributor = StateDistributor(
            incarnation,
            address,
            settings.data_centre,
            self._links,
            self._targets,
            lambda: self._catalog.revision if self._targets_known else 0,
        )
        self._saved_estimates = SavedEstimatesWorker(
            self._environment.estimate_store,
            lambda estimates: self._dispatcher_host.tell(estimates),
        )
        self._rollouts = RolloutCoordinator(
            name,
            address,
            self._links,
            self._environment.rollout_store,
            self._environment.stream_store,
            self._publish_plan,
            lambda confirmed: self._dispatcher_host.tell(confirmed),
            self._started_at,
            is_first_start=settings.is_first_start,
            orders_rollouts=bounds.orders_rollouts,
        )
        self._saved_streams = SavedStreamsWorker(
            self._environment.stream_store,
            lambda streams: self._dispatcher_host.tell(streams),
        )
        self._dispatcher_host = DispatcherHost(
            name,
            address,
            self._links,
            self._deliver_message,
            None,
            dispatcher_class=partial(SlotDispatcher, switches=settings.switches),
            polls_load=False,
            has_standby=True,
            keep_estimates=self._saved_estimates.tell
            if settings.switches.kept_beliefs
            else None,
            on_rollout=self._rollouts.tell,
            keep_streams=self._saved_streams.tell,
            confirm_versions=lambda pool: self._rollouts.tell(ConfirmVersions(pool)),
            heard_at=lambda: self._membership.heard_at,
        )
        self._dispatch_client = DispatchClient(
            name,
            incarnation,
            address,
            self._links,
            self._deliver_message,
            DISPATCHER_TIMEOUT_S,
        )
        self._saved_usage = SavedUsageWorker(
            self._environment.usage_store,
            bounds.quota_window,
            lambda usage: self._quotas.tell(usage),
        )
        self._quotas = QuotaLimiter(
            incarnation, address, self._links, bounds, self._saved_usage
        )
        self._metrics = ForwardingMetrics()
        self._paths = TargetPaths(address, settings.data_centre)
        connector = TunnelingConnector(
            self._links,
            self._paths,
            lambda name, connection: self._connections.keep_unused(name, connection),
            self._on_path_lost,
        )
        self._connections = ConnectionPool(connector)
        self._quarantine = Quarantine(
            address, self._links, self._connections, self._environment.suspect_store
        )
        self._retries = WindowedRetryBudget(
            bounds, self._started_at, is_first_start=settings.is_first_start
        )
        memory = BufferBounds.of_memory(settings.memory_mb, resident_bytes())
        self._buffers = BufferBudget(memory, asyncio.get_running_loop().time)
        self._context = ForwardingContext(
            name,
            settings.data_centre,
            self._environment.dialect,
            self._dispatch_client,
            self._dispatcher_host,
            self._connections,
            self._paths,
            self._retries,
            self._targets,
            self._metrics,
            self._quarantine,
            TargetBackoff(),
            AnnouncementReader(
                self._targets,
                lambda target: self._catalog.tell(TargetsAnnounced((target,))),
            ),
            self._buffers,
        )
        self._tunnels = TunnelServer(
            self._targets,
            self._paths,
            self._buffers,
            lambda count: self._metrics.set_gauge("tunnels_served", count),
        )
        self._links.accept_tunnels(self._tunnels.serve)
        self._frontend = CallerFrontend(self._context, self._quotas)
        self._workers: list[Worker] = [
            self._links,
            self._membership,
            self._catalog,
            self._dispatcher_host,
            self._dispatch_client,
            self._quotas,
            self._saved_usage,
            self._quarantine,
            self._rollouts,
            self._saved_streams,
            *([self._saved_estimates] if settings.switches.kept_beliefs else []),
        ]
        self._receivers = self._map_receivers()

    def _map_receivers(self) -> dict[type, Worker]:
        table = {
            self._membership: (Heartbeat, Beat, Relays),
            self._dispatcher_host: (
                PoolAsk,
                PoolWithdraw,
                PoolFirstToken,
                PoolFinished,
                PoolHeld,
                PoolLearnt,
                PoolRegister,
                PoolStreams,
            ),
            self._dispatch_client: (
                PoolGrant,
                PoolInquire,
                PoolQueued,
                PoolRefuse,
                PoolStop,
                NotDispatcher,
            ),
            self._quotas: (Usage, UsageAsk, UsageHistory),
            self._quarantine: (SuspectStates,),
            self._rollouts: (RolloutRecords, RolloutWrite),
        }
        return {kind: worker for worker, kinds in table.items() for kind in kinds}

    def _deliver_message(self, message: Received | LinkLost) -> None:
        """Deliver a message from a peer or a local task to its worker."""
        if isinstance(message, LinkLost):
            self._dispatch_client.tell(message)
            self._membership.tell(message)
            return
        match message.message:
            case ConfigurationAsk():
                self._distributor.send_table(message.sender)
            case ConfigurationReply(value=value):
                self._apply_peer_configuration(value)
            case TargetStates() as states:
                self._catalog.tell(from_target_states(states))
            case body if type(body) in self._receivers:
                self._receivers[type(body)].tell(message)
            case body:
                _LOG.warning("message ignored", extra={"kind": type(body).__name__})

    def _on_view(self, changed: ViewChanged) -> None:
        self._view = changed.view
        now = asyncio.get_running_loop().time()
        self._quotas.reachability.apply_view(changed.view, now)
        self._share_retries(now)
        self._paths.apply_view(changed.view)
        for worker in (
            self._dispatcher_host,
            self._dispatch_client,
            self._quotas,
            self._quarantine,
            self._rollouts,
        ):
            worker.tell(changed)
        self._choose_target_source()
        self._distributor.apply_view(changed.view)

    def _share_retries(self, now: float) -> None:
        """Share the retry budget with all instances that are or may be alive."""
        count = self._quotas.reachability.sharing_count(now)
        self._retries.set_instances(count, now)

    def _choose_target_source(self) -> None:
        """Follow the store, unless a relay does so for this instance."""
        if not self._follows_store or not self._view.role_known:
            return
        has_relay = self._view.parent and self._view.receives_updates
        relay_timed_out = not self.ready and self._uptime() > RELAY_TIMEOUT_S
        self._catalog.tell(SetFollowing(not has_relay or relay_timed_out))

    def _uptime(self) -> float:
        return asyncio.get_running_loop().time() - self._started_at

    def _on_table(self, table: RoutingTable) -> None:
        self._table = table
        self._stream_pools = frozenset(
            share.pool
            for route in table.routes
            if route.streaming
            for share in route.shares
        )
        self._distributor.table = table
        if self._has_plan:
            self._frontend.set_table(table)
        self._quotas.tell(CustomersChanged(table.customers))
        self._warn_of_regional_quotas(table)
        self._publish_plan()

    def _warn_of_regional_quotas(self, table: RoutingTable) -> None:
        """Warn that each region grants the customers their whole quotas."""
        regions = self._settings.region_count
        limited = [rule.name for rule in table.customers if rule.quota.rate > 0]
        multiple = regions if limited else 1
        self._metrics.set_gauge("quota_regions", multiple)
        if multiple > 1:
            extra = {"regions": regions, "customers": len(limited)}
            _LOG.warning("quotas hold for each region by itself", extra=extra)

    def _on_targets(
        self, targets: dict[str, DiscoveredTarget], changes: list[Change]
    ) -> None:
        inactive = [
            name
            for name in self._targets
            if name not in targets or targets[name].leaving
        ]
        self._targets.clear()
        self._targets.update(targets)
        self._targets_known = True
        for name in inactive:
            self._connections.close_idle(name)
        self._paths.keep(targets)
        is_complete = self._catalog.revision > 0
        self._rollouts.tell(TargetsChanged(tuple(targets.values()), is_complete))
        self._publish_plan()
        self._distributor.send_changes(changes)

    def _on_path_lost(self, name: str) -> None:
        """Close the idle connections on which a request would hang."""
        if self._paths.is_partitioned:
            self._connections.close()
        else:
            self._connections.close_idle(name)

    def _publish_plan(self) -> None:
        """Send the current plan to the dispatchers."""
        if self._table is None:
            return
        plan = self._planner.build_plan(
            self._table, self._targets, self._planned_versions
        )
        if not self._has_plan:
            if self._waits_for_versions(plan):
                return
            self._has_plan = True
            self._frontend.set_table(self._table)
        in_force = ConfigurationInForce(self._table.version, b"", plan)
        self._dispatcher_host.tell(in_force)
        self._dispatch_client.tell(in_force)
        self._membership.tell(OwnStateChange(version=self._table.version))

    def _waits_for_versions(self, plan: DispatchPlan) -> bool:
        """Return whether the first plan is to wait until versions of pools are known.

        Requests that come while an instance starts wait for the plan. One in which no
        version may serve would refuse them.
        """
        if self._uptime() >= FIRST_PLAN_TIMEOUT_S:
            return False
        return not self._targets_known or any(
            pool.current_versions == NO_VERSIONS for pool in plan.pools.values()
        )

    def _planned_versions(
        self, pool: str, present_versions: set[str], ready_versions: set[str]
    ) -> PlannedVersions:
        version_table, coordinator = self._rollouts.version_table, self._rollouts
        planned = version_table.planned_rollout(
            pool, self.bounds.exposure, coordinator.completion_lead_s
        )
        serving = version_table.serving_versions(pool, present_versions)
        rejected = version_table.rejected_version(pool)
        if pool not in self._stream_pools:
            return PlannedVersions(serving, planned, rejected)
        now = asyncio.get_running_loop().time()
        ordered = version_table.ordered_version(pool)
        begun = version_table[pool].begun
        may_serve = (serving or ready_versions) | {ordered}
        candidates = frozenset(ready_versions) & may_serve
        begun.update(candidates, now)
        unrecorded = candidates - begun.allowed(candidates, now)
        if unrecorded:
            serving = (serving or present_versions) - unrecorded or NO_VERSIONS
        return PlannedVersions(
            frozenset(serving),
            None if ordered in unrecorded else planned,
            rejected,
            begun.origins(now),
        )

    def _apply_peer_configuration(self, value: bytes) -> None:
        try:
            self._catalog.tell(TableUpdate(self._environment.read_table(value)))
        except ConfigurationError as error:
            _LOG.error(
                "configuration from a peer rejected", extra={"error": str(error)}
            )

    async def _register(self) -> None:
        """Register this instance, again after each restore of the store."""
        while True:
            self._registration_needed.clear()
            while (await self._environment.register()).is_err():
                await asyncio.sleep(REGISTER_RETRY_S)
            await self._registration_needed.wait()
            # Hundreds of instances notice a restore at the same moment.
            await asyncio.sleep(random.random() * REGISTER_JITTER_S)

    def _on_store_restored(self, before: int, era: int) -> None:
        """Write this instance's data to the store again."""
        decision("store-restored", before=before, era=era)
        self._metrics.set_gauge("store_era", era)
        self._registration_needed.set()
        for worker in (
            self._quotas,
            self._quarantine,
            self._rollouts,
            self._dispatcher_host,
        ):
            worker.tell(StoreRestored())

    async def _maintain(self) -> None:
        eligible = False
        suspensions = SuspensionDetector()
        for sweep_number in itertools.count(1):
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self._connections.close_expired()
            self._record_suspension(suspensions.check())
            self._share_retries(asyncio.get_running_loop().time())
            self._choose_target_source()
            if not self._has_plan:
                self._publish_plan()
            self._distributor.request_newer_table()
            resends_all = sweep_number % SWEEPS_PER_TARGET_RESEND == 0
            self._distributor.resend_announced(only_recent=not resends_all)
            if resends_all:
                self._distributor.send_all_targets_to_followers()
            if eligible:
                self._announce_tunnels()
            elif self._uptime() >= ELIGIBLE_AFTER_S and self.ready:
                eligible = self._accepts_tunnels = True
                self._membership.tell(OwnStateChange(ready=True, accepts_tunnels=True))

    def _announce_tunnels(self) -> None:
        """Tell the other instances whether this one may relay their requests."""
        self._paths.expire(asyncio.get_running_loop().time())
        accepts = not self._paths.is_partitioned
        if accepts != self._accepts_tunnels:
            self._accepts_tunnels = accepts
            self._membership.tell(OwnStateChange(accepts_tunnels=accepts))

    def _record_suspension(self, seconds: float) -> None:
        if seconds:
            self._suspended_s += seconds
            decision("machine-suspended", seconds=round(seconds, 3))
            self._metrics.set_gauge("suspended_seconds", self._suspended_s)

    async def _serve_readiness(self) -> None:
        app = web.Application()
        app.router.add_get(self._environment.ready_path, self._handle_readiness)
        context = self._operator_context("ready")
        await serve(app, self._environment.ready_address, context)

    def _count_refused(self, port: str, reason: str) -> None:
        self._metrics.connections_refused.inc({"port": port, "reason": reason})

    def _make_room(self, size: int) -> bool:
        now = asyncio.get_running_loop().time()
        return self._buffers.make_room(size, now)

    def _operator_context(self, port: str) -> ServerContext:
        return ServerContext(
            port,
            lambda: OPERATOR_LIMITS,
            self._count_refused,
            work_timeout=OPERATOR_TIMEOUT_S,
            max_connections=self._connection_limits.others,
        )

    async def _handle_readiness(self, request: web.Request) -> web.Response:
        return web.Response(status=200 if self.ready else 503)

    def _on_callers_served(self, acceptor: Acceptor) -> None:
        self._caller_acceptor = acceptor
        self.started.set()

    async def _serve_metrics(self) -> None:
        app = web.Application()
        app.router.add_get("/metrics", self._handle_metrics)
        add_quarantine_routes(app, self._quarantine)
        add_rollout_routes(
            app, self._rollouts, lambda: self._dispatcher_host.rollout_summaries
        )
        while True:
            try:
                context = self._operator_context("metrics")
                await serve(app, self._settings.operator_address, context)
            except OSError as error:
                # Callers are served without metrics too.
                _LOG.error("metrics server failed", extra={"error": str(error)})
                await asyncio.sleep(METRICS_RETRY_S)

    async def _handle_metrics(self, _request: web.Request) -> web.Response:
        self._refresh_gauges()
        content, headers = self._metrics.render()
        return web.Response(body=content, headers=headers)

    def _refresh_gauges(self) -> None:
        metrics = self._metrics
        metrics.set_gauge("configuration_version", self.version)
        metrics.set_gauge("members", self._view.size)
        metrics.set_gauge("followers", len(self._view.followers))
        metrics.set_gauge("silent_members", self._view.unreachable)
        metrics.set_gauge("connections_opened", self._connections.opened)
        metrics.set_gauge("paths_lost", self._paths.lost_count)
        metrics.set_gauge("partitioned_from_targets", int(self._paths.is_partitioned))
        metrics.set_gauge("log_lines_dropped", count_dropped_lines())
        metrics.set_gauge("requests_suspected", self._quarantine.suspected_count)
        metrics.set_gauge("requests_quarantined", self._quarantine.quarantined_count)
        quarantined_parts = self._quarantine.quarantined_part_count
        metrics.set_gauge("prompt_parts_quarantined", quarantined_parts)
        for kind, size in self._buffers.held_by_kind.items():
            metrics.set_gauge("held_bytes", size, kind=kind)
        hard = self._buffers.bounds.hard
        metrics.set_gauge("held_bytes_limit", hard if hard < float("inf") else 0)
        for pool, count in self._dispatcher_host.overdue_slots.items():
            metrics.set_gauge("slots_overdue", count, pool=pool)
        for pool, places in self._dispatcher_host.place_counts.items():
            metrics.set_gauge("places_booked", places.open, pool=pool)
            for name in ("booked", "used", "expired"):
                count = getattr(places, name)
                metrics.set_gauge(f"places_{name}_total", count, pool=pool)
        for pool, count in self._dispatcher_host.slow_hosts.items():
            metrics.set_gauge("targets_on_slow_hosts", count, pool=pool)
        for pool, share in self._dispatcher_host.memory_shares.items():
            metrics.set_gauge("memory_highest_share", share, pool=pool)
        for pool, count in self._dispatcher_host.memory_waits.items():
            metrics.memory_waits.set({"pool": pool}, count)
        for pool in self._rollouts.version_table:
            is_unserved = self._rollouts.version_table.is_unserved(pool)
            metrics.set_gauge("pool_without_version", int(is_unserved), pool=pool)
        for pool, state in self._dispatcher_host.rollout_summaries.items():
            for name in _ROLLOUT_GAUGES:
                labels = {"pool": pool, "version": state["version"]}
                metrics.set_gauge(f"rollout_{name}", state[name], **labels)
        left_out = (
            self._environment.targets.ignored_count + self._planner.ignored_targets
        )
        metrics.set_gauge("target_entries_left_out", left_out)
        metrics.set_gauge("table_age_seconds", self._catalog.seconds_since_answer())
        states = Counter(
            (target.pool, "leaving" if target.leaving else "ready")
            for target in self._targets.values()
        )
        limited = Counter(
            target.pool
            for target in self._targets.values()
            if target.rate_limit.per_second is not None
        )
        rejection_limited = Counter(
            target.pool
            for target in self._targets.values()
            if target.rejection_limit.per_second is not None
        )
        for pool in self._stream_pools:
            unknown = UNKNOWN_VERSION in self._rollouts.stream_origins(pool)
            metrics.set_gauge("stream_versions_unknown", int(unknown), pool=pool)
        for pool in {target.pool for target in self._targets.values()}:
            metrics.set_gauge("targets_limited", limited[pool], pool=pool)
            count = rejection_limited[pool]
            metrics.set_gauge("targets_rejection_limited", count, pool=pool)
        now = asyncio.get_running_loop().time()
        for (pool, state), count in states.items():
            metrics.set_gauge("targets", count, pool=pool, state=state)
            remaining = self._retries.remaining(pool, now)
            metrics.set_gauge("repeats_left", remaining, pool=pool)

    async def _serve_callers(self) -> None:
        context = ServerContext(
            "callers",
            lambda: self._frontend.limits,
            self._count_refused,
            max_connections=self._connection_limits.callers,
            make_room=self._make_room,
            max_held=self._buffers.bounds.unparsed,
        )
        await serve(
            self._frontend.app(),
            self._environment.caller_socket or self._settings.caller_address,
            context,
            self._on_callers_served,
            auto_decompress=False,
            read_bufsize=WINDOW_BYTES,
        )
