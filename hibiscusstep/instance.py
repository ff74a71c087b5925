"""hibiscusstep.instance: one instance: its tasks, their wiring and its shutdown."""

import asyncio
import logging
import secrets
from pathlib import Path

import orjson

from hibiscusstep.answer_store import AnswerStore
from hibiscusstep.caller_server import CallerServer
from hibiscusstep.claims.client import ClaimClient
from hibiscusstep.claims.writer import ClaimWriter
from hibiscusstep.configuration.in_force import ConfigurationInForce
from hibiscusstep.configuration.settings import Settings
from hibiscusstep.configuration.updater import ConfigurationUpdater
from hibiscusstep.delivery import DeliveryServices
from hibiscusstep.descriptors import ConnectionLimits
from hibiscusstep.dispatch_client import DispatchClient
from hibiscusstep.dispatcher_host import DispatcherHost
from hibiscusstep.events import EventKind, NullRecorder, Recorder
from hibiscusstep.explain import Explainer
from hibiscusstep.http_server.limits import (
    OPERATOR_LIMITS,
    OPERATOR_TIMEOUT_S,
    IngressLimits,
)
from hibiscusstep.http_server.server import serve
from hibiscusstep.http_server.server_context import ServerContext
from hibiscusstep.idempotency import KeyGuard
from hibiscusstep.mailbox import Worker
from hibiscusstep.membership.mesh import MeshMembership, OwnStateChange, ViewChanged
from hibiscusstep.membership.view import View
from hibiscusstep.metrics import Metrics
from hibiscusstep.operator_api import OperatorApi
from hibiscusstep.peer import (
    AnswerAsk,
    AnswerReply,
    Beat,
    ClaimAsk,
    ClaimRelease,
    ClaimReply,
    ConfigurationAsk,
    ConfigurationReply,
    Heartbeat,
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
)
from hibiscusstep.peerlink import LinkLost, PeerLinks, Send
from hibiscusstep.routing.policy_dispatcher import PolicyDispatcher
from hibiscusstep.routing.retry_budget import RetryBudget
from hibiscusstep.store import Platform, get_platform_by_name
from hibiscusstep.supervisor import Child, RestartPolicy, Supervisor
from hibiscusstep.targets.http import TargetSessions

__all__ = ["Instance"]

_LOG = logging.getLogger(__name__)
READINESS_PAUSE_S = 0.3
POOL_STATUS_TIMEOUT_S = 1.0


class Instance:
    """One instance of the scheduler.

    Parameters
    ----------
    settings : Settings
        The settings of this instance.
    platform : Platform or None
        The platform; None selects the one named in the settings.
    """

    def __init__(self, settings: Settings, platform: Platform | None = None) -> None:
        self._settings = settings
        self._incarnation = secrets.token_hex(6)
        kind = get_platform_by_name(settings.platform_dialect)
        self._platform = platform or kind(settings.platform)
        self._sessions: TargetSessions | None = None
        self._view = View()
        self._in_force = ConfigurationInForce()
        self._draining = False
        self._pending_status: dict[str, asyncio.Future] = {}
        self._recorder = self._make_recorder()
        self._explainer = Explainer()
        self._metrics = Metrics()
        self.started = asyncio.Event()

    @property
    def incarnation(self) -> str:
        """Id of this start of the instance."""
        return self._incarnation

    @property
    def view(self) -> View:
        """The live instances as seen here."""
        return self._view

    @property
    def in_force(self) -> ConfigurationInForce:
        """The configuration in force here."""
        return self._in_force

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send callers to this instance."""
        return self._in_force.version > 0 and not self._draining

    @property
    def links(self) -> PeerLinks:
        """The connections to peers."""
        return self._links

    async def run(self) -> None:
        """Run until cancelled or until an essential task fails."""
        self._sessions = TargetSessions()
        self._make_workers()
        children = [
            *(Child(worker.name, worker.run) for worker in self._workers),
            Child("operators", self._serve_operators, RestartPolicy.ESSENTIAL),
            Child("callers", self._serve_callers, RestartPolicy.ESSENTIAL),
        ]
        self._supervisor = Supervisor(self._settings.name, children)
        try:
            await self._supervisor.run()
        finally:
            await self._sessions.close()
            await self._platform.close()
            self._recorder.close()

    async def drain(self, elapsed: float = 0.0) -> None:
        """Refuse new requests and return when all answers are complete.

        Parameters
        ----------
        elapsed : float
            Seconds since the instance was asked to stop.
        """
        _LOG.info("draining", extra={"open": self._caller_server.open_requests})
        self._recorder.record(EventKind.SHUTDOWN_ASKED)
        self._draining = True
        self._membership.tell(OwnStateChange(leaving=True))
        await asyncio.sleep(READINESS_PAUSE_S)
        self._caller_server.drain()
        try:
            async with asyncio.timeout(self._settings.drain_timeout - elapsed):
                await self._caller_server.wait_idle()
        except TimeoutError:
            self.cut("drain_timeout passed")
        self._recorder.record(EventKind.SHUTDOWN_DONE)

    def cut(self, reason: str) -> None:
        """Cancel all open requests and log their ids."""
        names = self._caller_server.cut()
        _LOG.warning("cut", extra={"why": reason, "requests": names})

    def reload(self) -> None:
        """Log that settings are not reloaded."""
        _LOG.warning("settings not reloaded: they are read at a start only")

    def _make_recorder(self) -> NullRecorder:
        settings = self._settings
        if not settings.history:
            return NullRecorder()
        path = Path(settings.history) / f"{settings.name}.{self._incarnation}.events"
        return Recorder(path, settings.name, self._incarnation)

    def _make_workers(self) -> None:
        settings, name = self._settings, self._settings.name
        address = settings.peer_address
        self._connection_limits = ConnectionLimits.of_descriptors(
            settings.max_descriptors
        )
        self._links = PeerLinks(
            address, settings.peer_key, self._deliver, self._connection_limits.others
        )
        self._membership = MeshMembership(
            settings, self._incarnation, self._links, self._platform, self._on_view
        )
        self._configuration_updater = ConfigurationUpdater(
            name, settings.watchers, self._platform, self._links, self._on_configuration
        )
        self._dispatcher_host = DispatcherHost(
            name,
            address,
            self._links,
            self._deliver,
            self._sessions,
            tier_guard=settings.tier_guard_enabled,
            dispatcher_class=PolicyDispatcher,
        )
        self._dispatch_client = DispatchClient(
            name, self._incarnation, address, self._links, self._deliver
        )
        self._claim_writer = ClaimWriter(
            name, address, self._platform, self._links, self._deliver
        )
        self._claim_client = ClaimClient(
            name, self._incarnation, address, self._links, self._deliver
        )
        self._answers = AnswerStore(
            name, self._incarnation, address, self._links, settings.kept_answer_bytes
        )
        self._workers: list[Worker] = [
            self._links,
            self._membership,
            self._configuration_updater,
            self._dispatcher_host,
            self._dispatch_client,
            self._claim_writer,
            self._claim_client,
            self._answers,
        ]
        self._make_servers()
        self._receivers = self._make_receivers()

    def _make_servers(self) -> None:
        keys = KeyGuard(
            self._claim_client,
            self._answers,
            self._recorder,
            enabled=self._settings.claims_enabled,
        )
        services = DeliveryServices(
            self._settings.name,
            self._dispatch_client,
            keys,
            self._sessions,
            self._recorder,
            self._explainer,
            RetryBudget(self._settings.retry_share),
        )
        settings = self._settings
        self._caller_server = CallerServer(
            services,
            self._metrics,
            settings.body_timeout,
            settings.max_open_requests,
            settings.max_body_bytes_held,
        )
        self._operators = OperatorApi(
            self._settings.operator_key,
            lambda: self.ready,
            self._status,
            self._refresh_gauges,
            self._explainer,
            self._metrics,
        )

    def _make_receivers(self) -> dict[type, Worker]:
        types_by_worker = {
            self._membership: (Heartbeat, Beat),
            self._configuration_updater: (ConfigurationAsk, ConfigurationReply),
            self._dispatcher_host: (
                PoolAsk,
                PoolWithdraw,
                PoolFirstToken,
                PoolFinished,
                PoolRegister,
                StatusAsk,
            ),
            self._dispatch_client: (PoolGrant, PoolRefuse, PoolStop, NotDispatcher),
            self._claim_writer: (ClaimAsk, ClaimRelease),
            self._claim_client: (ClaimReply,),
            self._answers: (AnswerAsk, AnswerReply),
        }
        return {
            kind: worker
            for worker, message_types in types_by_worker.items()
            for kind in message_types
        }

    def _deliver(self, message: Received | LinkLost) -> None:
        """Deliver a message from a peer or a local task to its receiver."""
        if isinstance(message, LinkLost):
            for worker in (self._dispatch_client, self._membership, self._claim_client):
                worker.tell(message)
        elif isinstance(message.message, StatusReply):
            future = self._pending_status.pop(message.message.number, None)
            if future and not future.done():
                future.set_result(orjson.loads(message.message.text))
        else:
            self._receivers[type(message.message)].tell(message)

    def _on_view(self, changed: ViewChanged) -> None:
        self._view = changed.view
        for worker in (
            self._configuration_updater,
            self._dispatcher_host,
            self._dispatch_client,
            self._claim_writer,
            self._claim_client,
            self._answers,
        ):
            worker.tell(changed)

    def _on_configuration(self, in_force: ConfigurationInForce) -> None:
        self._in_force = in_force
        self._recorder.record(
            EventKind.CONFIGURATION_IN_FORCE, version=in_force.version
        )
        self._caller_server.set_configuration(in_force)
        for worker in (
            self._dispatcher_host,
            self._dispatch_client,
            self._claim_writer,
            self._claim_client,
        ):
            worker.tell(in_force)
        self._membership.tell(OwnStateChange(version=in_force.version, ready=True))

    async def _serve_callers(self) -> None:
        settings = self._settings
        limits = IngressLimits(
            max_header_bytes=settings.max_header_bytes,
            header_timeout=settings.header_timeout,
            idle_timeout=settings.idle_timeout,
        )
        context = ServerContext(
            "callers",
            lambda: limits,
            self._count_refused,
            max_connections=self._connection_limits.callers,
        )
        app = self._caller_server.app()
        await self._serve(app, settings.caller_address, context)

    async def _serve_operators(self) -> None:
        context = ServerContext(
            "operators",
            lambda: OPERATOR_LIMITS,
            self._count_refused,
            work_timeout=OPERATOR_TIMEOUT_S,
            max_connections=self._connection_limits.others,
        )
        app = self._operators.app()
        await self._serve(app, self._settings.operator_address, context)

    async def _serve(self, app, address: str, context: ServerContext) -> None:
        await serve(app, address, context, lambda _acceptor: self.started.set())

    def _count_refused(self, port: str, reason: str) -> None:
        self._metrics.connections_refused.inc({"port": port, "reason": reason})

    def _refresh_gauges(self) -> None:
        metrics = self._metrics
        metrics.open_requests.set({}, self._caller_server.open_requests)
        metrics.version.set({}, self._in_force.version)
        metrics.members.set({}, len(self._view.members))
        metrics.restarts.set({}, self._supervisor.restarts)
        writes, claims = self._claim_writer.write_counts
        metrics.claim_writes.set({}, writes)
        metrics.claims_written.set({}, claims)

    async def _status(self) -> dict:
        """Return the members, and the state of each pool from its dispatcher."""
        configuration = self._in_force.configuration
        pools = list(configuration.pools) if configuration else []
        states = await asyncio.gather(*(self._pool_status(pool) for pool in pools))
        return {
            "instance": self._settings.name,
            "version": self._in_force.version,
            "ready": self.ready,
            "doubtful": self._view.has_unreachable,
            "members": [
                {
                    "name": member.name,
                    "data_centre": member.data_centre,
                    "version": member.version,
                    "ready": member.ready,
                    "leaving": member.leaving,
                    "operator_address": member.operator_address,
                }
                for _name, member in sorted(self._view.members.items())
            ],
            "pools": dict(zip(pools, states, strict=True)),
        }

    async def _pool_status(self, pool: str) -> dict:
        name = self._view.dispatcher_of(pool)
        if name is None:
            return {}
        if name == self._settings.name:
            return await self._dispatcher_host.ask(StatusAsk("", pool))
        number = secrets.token_hex(8)
        future = asyncio.get_running_loop().create_future()
        self._pending_status[number] = future
        address = self._view.members[name].peer_address
        self._links.tell(Send(address, StatusAsk(number, pool)))
        try:
            return await asyncio.wait_for(future, POOL_STATUS_TIMEOUT_S)
        except TimeoutError:
            self._pending_status.pop(number, None)
            return {}
