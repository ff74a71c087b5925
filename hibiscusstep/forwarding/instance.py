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
from hibiscusstep.dispatch_client import DispatchClient
from hibiscusstep.dispatcher_host import DispatcherHost
from hibiscusstep.errors import ConfigurationError
from hibiscusstep.forwarding.beliefs import BeliefKeeper
from hibiscusstep.forwarding.border import ForwardingBorder
from hibiscusstep.forwarding.bounds import Bounds
from hibiscusstep.forwarding.catalog import Catalog, Follow, SaidLeaving, TableNews
from hibiscusstep.forwarding.connections import ConnectionPool
from hibiscusstep.forwarding.incoming import Means
from hibiscusstep.forwarding.kept_use import KeptUseWorker
from hibiscusstep.forwarding.metrics import ForwardingMetrics
from hibiscusstep.forwarding.model import DiscoveredTarget, RoutingTable
from hibiscusstep.forwarding.news import to_news
from hibiscusstep.forwarding.planning import PlannedVersions, Planner
from hibiscusstep.forwarding.quarantine import Quarantine
from hibiscusstep.forwarding.quarantine_routes import add_quarantine_routes
from hibiscusstep.forwarding.quota import CustomersChanged, QuotaKeeper
from hibiscusstep.forwarding.rests import TargetRests
from hibiscusstep.forwarding.retries import WindowedRetryBudget
from hibiscusstep.forwarding.rollout_routes import add_rollout_routes
from hibiscusstep.forwarding.rollouts import RolloutKeeper, TargetsChanged
from hibiscusstep.forwarding.serving import serve
from hibiscusstep.forwarding.spread import Spread
from hibiscusstep.forwarding.surroundings import Surroundings
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
from hibiscusstep.routing.slots import SlotDispatcher
from hibiscusstep.store import Change, StoreRestored
from hibiscusstep.supervisor import Child, RestartPolicy, Supervisor

__all__ = ["ForwardingInstance"]

_LOG = logging.getLogger(__name__)
# A dispatcher that is silent for so long is taken for paused or cut off.
STANDBY_AFTER_S = 0.12
SWEEP_INTERVAL_S = 0.5
REGISTER_RETRY_S = 1.0
REGISTER_SPREAD_S = 2.0
METRICS_RETRY_S = 5.0
# Between the longest idle time of callers and ours, so that ours is never the shorter.
IDLE_MARGIN_S = 5.0
# Between the first refusal and the end of an idle instance: what was on its way is
# answered, and whoever comes later is told by the closed port.
CLOSING_S = 0.1
# An instance that has just started takes no pool to dispatch until it has its links to
# the others; before, all of them would wait for its grants.
SETTLE_S = 1.0
# A follower that its relay has not made ready by then looks into the store itself.
FOLLOWER_PATIENCE_S = 3.0
# All targets are told to the followers again after so many sweeps: a message that a
# broken connection lost matters for five seconds at the most.
TELL_TARGETS_EVERY = 10
# A stopping instance listens until callers and the balancer have noticed, and keeps
# this long before the end of its grace free.
LISTEN_ON_S = 4.0
# What an order's state tells as gauges, where its pool is dispatched.
_ROLLOUT_GAUGES = ("requests", "exposed", "may_get", "answers", "bad", "evidence")
STOP_MARGIN_S = 0.6


class ForwardingInstance:
    """One instance: its tasks, how they are joined, its end.

    Parameters
    ----------
    surroundings : Surroundings
        What the adapter brings.
    """

    def __init__(self, surroundings: Surroundings) -> None:
        self._around = surroundings
        self._settings = surroundings.settings
        self._incarnation = secrets.token_hex(6)
        self._view = View(role_known=False)
        self._table: RoutingTable | None = None
        self._targets: dict[str, DiscoveredTarget] = {}
        self._planner = Planner()
        self._targets_known = False
        self._leaving = False
        self._follows_store = True
        self._began = asyncio.get_running_loop().time()
        self._unregistered = asyncio.Event()
        self._suspended_s = 0.0
        self.started = asyncio.Event()

    @property
    def incarnation(self) -> str:
        """Id of this start of the instance."""
        return self._incarnation

    @property
    def ready(self) -> bool:
        """Whether callers may be sent here."""
        return self._table is not None and self._targets_known and not self._leaving

    @property
    def view(self) -> View:
        """The live instances as seen here."""
        return self._view

    @property
    def version(self) -> int:
        """Version of the configuration in force here."""
        return self._table.version if self._table else 0

    @property
    def targets(self) -> dict[str, DiscoveredTarget]:
        """The known targets by name."""
        return self._targets

    @property
    def peer_address(self) -> str:
        """Where the other instances connect."""
        return self._settings.peer_address

    @property
    def metrics_address(self) -> str:
        """Where the metrics are served."""
        return self._settings.operator_address

    @property
    def border(self) -> ForwardingBorder:
        """The border towards callers."""
        return self._border

    @property
    def quarantine(self) -> Quarantine:
        """The requests that are sent to no target."""
        return self._quarantine

    @property
    def bounds(self) -> Bounds:
        """The bounds in force here."""
        return self._quotas.bounds

    def take_table(self, table: RoutingTable) -> None:
        """Take a routing table that was learnt elsewhere than from the store."""
        self._catalog.tell(TableNews(table))

    def stop_following(self) -> None:
        """Hear of changes from peers only."""
        self._follows_store = False
        self._catalog.tell(Follow(False))

    async def run(self) -> None:
        """Run until cancelled or until an essential task fails."""
        self._make_workers()
        self._around.on_store_restored(self._on_store_restored)
        children = [
            *(Child(worker.name, worker.run) for worker in self._workers),
            Child("sweeper", self._sweep),
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
            await self._around.close()

    async def drain(self, spent: float = 0.0) -> None:
        """Send callers elsewhere, serve them on, return before the grace is over.

        Parameters
        ----------
        spent : float
            Seconds of the grace that have passed.
        """
        grace = self._around.bounds.stop_grace - spent
        now = asyncio.get_running_loop().time()
        decision("stop", open=self._border.open_requests, grace=grace)
        self._leaving = True
        self._membership.tell(OwnStateChange(leaving=True))
        self._border.leave(now, now + grace - STOP_MARGIN_S)
        await asyncio.sleep(min(LISTEN_ON_S, grace / 2))
        try:
            async with asyncio.timeout_at(now + grace - STOP_MARGIN_S):
                await self._finish_callers()
        except TimeoutError:
            decision("stop-cuts", open=self._border.open_requests)

    async def _finish_callers(self) -> None:
        """Serve until idle, then refuse what still comes, and wait for its answers."""
        await self._border.wait_idle()
        self._border.close()
        await self._caller_site.stop()
        await asyncio.sleep(CLOSING_S)
        await self._border.wait_idle()

    def reload(self) -> None:
        """Read the settings again; bounds apply at once, addresses at a start."""
        try:
            bounds = self._around.read_bounds()
        except ConfigurationError as error:
            _LOG.error("settings not reloaded", extra={"error": str(error)})
            return
        self._quotas.bounds = bounds
        self._retries.bounds = bounds
        decision("reload", bounds=str(bounds))

    def cut(self, why: str) -> None:
        """Take note of a second signal; answers that can end still end."""
        _LOG.warning("second signal", extra={"why": why})

    def _make_workers(self) -> None:
        settings, name = self._settings, self._settings.name
        address, incarnation = settings.peer_address, self._incarnation
        bounds = self._around.bounds
        self._links = PeerLinks(address, settings.peer_key, self._route)
        self._membership = HierarchicalMembership(
            settings,
            incarnation,
            self._links,
            self._around.roster,
            self._on_view,
            settings.capacity,
            settings.mesh_size,
        )
        self._catalog = Catalog(
            self._around.tables,
            self._around.targets,
            self._on_table,
            self._on_targets,
            lambda name: self._connections.end_all(name),
        )
        self._spread = Spread(
            incarnation,
            address,
            settings.data_centre,
            self._links,
            self._targets,
            lambda: self._catalog.revision if self._targets_known else 0,
        )
        self._keeper = BeliefKeeper(
            self._around.beliefs, lambda news: self._dispatcher_host.tell(news)
        )
        self._rollouts = RolloutKeeper(
            name, address, self._links, self._around.rollouts, self._publish_plan
        )
        self._dispatcher_host = DispatcherHost(
            name,
            address,
            self._links,
            self._route,
            None,
            dispatcher_class=partial(SlotDispatcher, switches=settings.switches),
            polls_load=False,
            has_standby=True,
            keep_estimates=self._keeper.tell
            if settings.switches.kept_beliefs
            else None,
            on_rollout=self._rollouts.tell,
        )
        self._dispatch_client = DispatchClient(
            name, incarnation, address, self._links, self._route, STANDBY_AFTER_S
        )
        self._kept_use = KeptUseWorker(
            self._around.use, bounds.quota_window, lambda use: self._quotas.tell(use)
        )
        self._quotas = QuotaKeeper(
            incarnation, address, self._links, bounds, self._kept_use
        )
        self._metrics = ForwardingMetrics()
        self._connections = ConnectionPool()
        self._quarantine = Quarantine(
            address, self._links, self._connections, self._around.suspects
        )
        self._retries = WindowedRetryBudget(bounds, self._began)
        self._means = Means(
            name,
            settings.data_centre,
            self._around.dialect,
            self._dispatch_client,
            self._dispatcher_host,
            self._connections,
            self._retries,
            self._targets,
            self._metrics,
            self._quarantine,
            TargetRests(),
            lambda target: self._catalog.tell(SaidLeaving(target)),
        )
        self._border = ForwardingBorder(self._means, self._quotas)
        self._workers: list[Worker] = [
            self._links,
            self._membership,
            self._catalog,
            self._dispatcher_host,
            self._dispatch_client,
            self._quotas,
            self._kept_use,
            self._quarantine,
            self._rollouts,
            *([self._keeper] if settings.switches.kept_beliefs else []),
        ]
        self._receivers = self._make_routes()

    def _make_routes(self) -> dict[type, Worker]:
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

    def _route(self, message: Received | LinkLost) -> None:
        """Bring a message from a peer, or between two local tasks, to its task."""
        if isinstance(message, LinkLost):
            self._dispatch_client.tell(message)
            self._membership.tell(message)
            return
        match message.message:
            case ConfigurationAsk():
                self._spread.hand_table_to(message.sender)
            case ConfigurationReply(value=value):
                self._take_handed_on(value)
            case TargetStates() as states:
                self._catalog.tell(to_news(states))
            case body if type(body) in self._receivers:
                self._receivers[type(body)].tell(message)
            case body:
                _LOG.warning("message ignored", extra={"kind": type(body).__name__})

    def _on_view(self, changed: ViewChanged) -> None:
        self._view = changed.view
        self._retries.instances = changed.view.expected_size
        for worker in (
            self._dispatcher_host,
            self._dispatch_client,
            self._quotas,
            self._quarantine,
            self._rollouts,
        ):
            worker.tell(changed)
        self._choose_sources()
        self._spread.take_view(changed.view)

    def _choose_sources(self) -> None:
        """Follow the store, unless a relay does it for this instance."""
        if not self._follows_store or not self._view.role_known:
            return
        served = self._view.parent and self._view.receives_updates
        waits_in_vain = not self.ready and self._age() > FOLLOWER_PATIENCE_S
        self._catalog.tell(Follow(not served or waits_in_vain))

    def _age(self) -> float:
        return asyncio.get_running_loop().time() - self._began

    def _on_table(self, table: RoutingTable) -> None:
        self._table = table
        self._spread.table = table
        self._border.take(table)
        self._quotas.tell(CustomersChanged(table.customers))
        self._publish_plan()

    def _on_targets(
        self, targets: dict[str, DiscoveredTarget], changes: list[Change]
    ) -> None:
        unused = [
            name
            for name in self._targets
            if name not in targets or targets[name].leaving
        ]
        self._targets.clear()
        self._targets.update(targets)
        self._targets_known = True
        for name in unused:
            self._connections.forget(name)
        if self._catalog.revision:
            self._rollouts.tell(TargetsChanged(tuple(targets.values())))
        self._publish_plan()
        self._spread.tell_changes(changes)

    def _publish_plan(self) -> None:
        """Tell the dispatchers which targets there are."""
        if self._table is None:
            return
        plan = self._planner.make(self._table, self._targets, self._versions_of)
        in_force = ConfigurationInForce(self._table.version, b"", plan)
        self._dispatcher_host.tell(in_force)
        self._dispatch_client.tell(in_force)
        self._membership.tell(OwnStateChange(version=self._table.version))

    def _versions_of(self, pool: str, seen: set[str]) -> PlannedVersions:
        book, keeper = self._rollouts.book, self._rollouts
        planned = book.planned(pool, self.bounds.exposure, keeper.lead)
        return PlannedVersions(book.serving(pool, seen), planned)

    def _take_handed_on(self, value: bytes) -> None:
        try:
            self._catalog.tell(TableNews(self._around.read_table(value)))
        except ConfigurationError as error:
            _LOG.error("configuration of a peer refused", extra={"error": str(error)})

    async def _register(self) -> None:
        """Put this instance on the roster, again where a restore may have lost it."""
        while True:
            self._unregistered.clear()
            while (await self._around.register()).is_err():
                await asyncio.sleep(REGISTER_RETRY_S)
            await self._unregistered.wait()
            # Hundreds of instances hear of a restore in the same moment.
            await asyncio.sleep(random.random() * REGISTER_SPREAD_S)

    def _on_store_restored(self, before: int, era: int) -> None:
        """Have written again what this instance keeps in the store."""
        decision("store-restored", before=before, era=era)
        self._metrics.gauge("store_era", era)
        self._unregistered.set()
        for worker in (self._quotas, self._quarantine):
            worker.tell(StoreRestored())

    async def _sweep(self) -> None:
        eligible = False
        suspensions = SuspensionDetector()
        for sweeps in itertools.count(1):
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self._connections.sweep()
            self._note_suspension(suspensions.check())
            self._choose_sources()
            self._spread.ask_for_newer_table()
            if sweeps % TELL_TARGETS_EVERY == 0:
                self._spread.tell_followers_all_targets()
            if self._age() >= SETTLE_S and not eligible and self.ready:
                eligible = True
                self._membership.tell(OwnStateChange(ready=True))

    def _note_suspension(self, seconds: float) -> None:
        if seconds:
            self._suspended_s += seconds
            decision("machine-suspended", seconds=round(seconds, 3))
            self._metrics.gauge("suspended_seconds", self._suspended_s)

    async def _serve_readiness(self) -> None:
        app = web.Application()
        app.router.add_get(self._around.ready_path, self._say_ready)
        await serve(app, self._around.ready_address)

    async def _say_ready(self, request: web.Request) -> web.Response:
        return web.Response(status=200 if self.ready else 503)

    def _note_started(self, site: web.SockSite) -> None:
        self._caller_site = site
        self.started.set()

    async def _serve_metrics(self) -> None:
        app = web.Application()
        app.router.add_get("/metrics", self._render_metrics)
        add_quarantine_routes(app, self._quarantine)
        add_rollout_routes(
            app, self._rollouts, lambda: self._dispatcher_host.rollout_summaries
        )
        while True:
            try:
                await serve(app, self._settings.operator_address)
            except OSError as error:
                # Callers are served without metrics too.
                _LOG.error("no metrics", extra={"error": str(error)})
                await asyncio.sleep(METRICS_RETRY_S)

    async def _render_metrics(self, _request: web.Request) -> web.Response:
        self._refresh_gauges()
        content, headers = self._metrics.render()
        return web.Response(body=content, headers=headers)

    def _refresh_gauges(self) -> None:
        metrics = self._metrics
        metrics.gauge("configuration_version", self.version)
        metrics.gauge("members", self._view.size)
        metrics.gauge("followers", len(self._view.followers))
        metrics.gauge("silent_members", self._view.unreachable)
        metrics.gauge("connections_opened", self._connections.opened)
        metrics.gauge("log_lines_dropped", count_dropped_lines())
        metrics.gauge("requests_suspected", self._quarantine.suspected)
        metrics.gauge("requests_quarantined", self._quarantine.quarantined)
        for pool, count in self._dispatcher_host.overdue_slots.items():
            metrics.gauge("slots_overdue", count, pool=pool)
        for pool, state in self._dispatcher_host.rollout_summaries.items():
            for name in _ROLLOUT_GAUGES:
                labels = {"pool": pool, "version": state["version"]}
                metrics.gauge(f"rollout_{name}", state[name], **labels)
        left_out = self._around.targets.ignored_count + self._planner.ignored_count
        metrics.gauge("target_entries_left_out", left_out)
        metrics.gauge("table_age_seconds", self._catalog.age())
        states = Counter(
            (target.pool, "leaving" if target.leaving else "ready")
            for target in self._targets.values()
        )
        now = asyncio.get_running_loop().time()
        for (pool, state), count in states.items():
            metrics.gauge("targets", count, pool=pool, state=state)
            left = self._retries.left(pool, now)
            metrics.gauge("repeats_left", left, pool=pool)

    async def _serve_callers(self) -> None:
        limits = self._border.limits
        await serve(
            self._border.app(),
            self._around.caller_socket or self._settings.caller_address,
            self._note_started,
            keepalive_timeout=limits.idle_timeout + IDLE_MARGIN_S,
            max_line_size=limits.max_header_bytes,
            max_field_size=limits.max_header_bytes,
            auto_decompress=False,
        )
