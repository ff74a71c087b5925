"""hibiscusstep.forwarding.tunneling_connector: connects directly or through a peer."""

import asyncio
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from weakref import WeakSet

from hibiscusstep.errors import TargetError
from hibiscusstep.forwarding.connections import (
    CONNECT_TIMEOUT_S,
    Connection,
    Connector,
    connect_directly,
)
from hibiscusstep.forwarding.target_paths import TargetPaths
from hibiscusstep.forwarding.tunnel import open_tunnel
from hibiscusstep.membership.view import Member
from hibiscusstep.peerlink import PeerLinks

__all__ = ["TunnelingConnector"]

# The next instance is asked if one has not answered within this time.
NEXT_PEER_AFTER_S = 0.08
# A timer that fires later than this shows that this process was held up, not the
# connection.
MAX_TIMER_DELAY_S = 0.02
# An instance may have lost its links a moment ago without knowing it, so one that does
# not reach a target is no sufficient evidence while others can be asked.
MAX_CONFIRMATIONS = 2
_PARTITION_ERROR = TimeoutError.__name__


@dataclass(slots=True, eq=False)
class _Race:
    """Attempts to connect to one target; the first that succeeds wins.

    `next_peer_at` is when the next peer is asked, `confirmations` how many peers
    did not reach the target, `error` the last of these failures, and `path_error` the
    last failure that may be one of the path from here. `is_refused` tells whether the
    direct connection was refused. `awaited_peer` is the address of the peer that was
    asked last and has not failed.
    """

    name: str
    address: str
    peers: list[Member]
    next_peer_at: float
    deadline: float
    direct: asyncio.Task | None = None
    pending: set[asyncio.Task] = field(default_factory=set)
    confirmations: int = 0
    error: TargetError | None = None
    path_error: TargetError | None = None
    is_refused: bool = False
    awaited_peer: str = ""


class TunnelingConnector(Connector):
    """Connects directly; through another instance if that fails or takes too long.

    A target whose direct path is lost is reached through another instance at once, and
    directly again as soon as an attempt beside it succeeds.

    Parameters
    ----------
    links : PeerLinks
        Authenticates this instance at its peers.
    paths : TargetPaths
        What is known of the paths from here.
    keep : callable of str, Connection
        Receives a direct connection that no request needs, with its target's name.
    on_path_lost : callable of str
        Called with a target that other instances reach, while direct connections hang.
    """

    def __init__(
        self,
        links: PeerLinks,
        paths: TargetPaths,
        keep: Callable[[str, Connection], None],
        on_path_lost: Callable[[str], None],
    ) -> None:
        super().__init__()
        self._links = links
        self._paths = paths
        self._keep = keep
        self._on_path_lost = on_path_lost
        self._background: set[asyncio.Task] = set()
        self._checks: dict[str, asyncio.Task] = {}
        self._tunnels: dict[str, WeakSet[Connection]] = defaultdict(WeakSet)

    async def connect(self, name: str, address: str) -> Connection:
        """Return a connection, direct or through another instance.

        Raises
        ------
        TargetError
            If there is none. Its `in_path` is set if no other instance failed to reach
            the target too and this one seems to have lost its links.
        """
        now = _now()
        peers = self._paths.peers(now, self._used_peers())
        is_lost = bool(peers) and self._paths.is_lost(name)
        wait = 0.0 if is_lost else self._paths.slow_connect_s(name)
        race = _Race(name, address, peers, now + wait, now + CONNECT_TIMEOUT_S)
        if not is_lost or self._paths.take_retry(name, now):
            race.direct = self._start(race, self._connect_directly(name, address))
        try:
            while True:
                connection = await self._next_result(race)
                if connection is not None:
                    return connection
                if not race.pending and not race.peers:
                    raise self._failure(race)
        finally:
            self._settle(race)

    async def is_path_lost(self, name: str, address: str) -> bool:
        """Return whether other instances reach a target and this one does not."""
        if not self._paths.has_peer:
            return False
        if self._paths.is_lost(name):
            return True
        check = self._checks.get(name)
        if check is None:
            check = asyncio.create_task(self._check_path(name, address))
            self._checks[name] = check
            check.add_done_callback(lambda _task: self._checks.pop(name, None))
        return await asyncio.shield(check)

    async def _check_path(self, name: str, address: str) -> bool:
        try:
            connection = await self.connect(name, address)
        except TargetError:
            return False
        is_lost = bool(connection.via)
        self._keep(name, connection)
        return is_lost

    def _start(self, race: _Race, connecting) -> asyncio.Task:
        task = asyncio.create_task(connecting)
        race.pending.add(task)
        return task

    async def _next_result(self, race: _Race) -> Connection | None:
        """Wait for an attempt or for the time of the next one; return a connection."""
        now = _now()
        if race.peers and (now >= race.next_peer_at or not race.pending):
            if race.awaited_peer:
                self._paths.penalize_peer(race.awaited_peer, now)
            peer = race.awaited_peer = race.peers.pop(0).peer_address
            race.next_peer_at = now + NEXT_PEER_AFTER_S
            self._start(race, self._connect_through(peer, race))
        wake_at = race.next_peer_at if race.peers else race.deadline
        wake_at = min(wake_at, race.deadline)
        done, race.pending = await asyncio.wait(
            race.pending,
            timeout=max(0.0, wake_at - now),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not done:
            self._handle_time(race, wake_at)
        for task in done:
            if task.exception() is None:
                # Another one that succeeds at the same moment is not needed.
                race.pending |= done - {task}
                return task.result()
            self._record_error(race, task)
        return None

    def _handle_time(self, race: _Race, wake_at: float) -> None:
        now = _now()
        if now >= race.deadline:
            self._settle(race)
            race.peers.clear()
            race.pending.clear()
        elif now > wake_at + MAX_TIMER_DELAY_S:
            race.next_peer_at = now + self._paths.slow_connect_s(race.name)

    def _record_error(self, race: _Race, task: asyncio.Task) -> None:
        error = task.exception()
        if not isinstance(error, TargetError):
            raise error
        if task is race.direct:
            race.is_refused = error.refused
        if task is race.direct or error.in_path:
            race.path_error = error
        else:
            race.error = error
            race.confirmations += 1
            if race.confirmations >= MAX_CONFIRMATIONS:
                race.peers.clear()
        if task is not race.direct:
            race.awaited_peer = ""
        if not race.awaited_peer:
            race.next_peer_at = _now()

    def _failure(self, race: _Race) -> TargetError:
        """Return the error of a race that nobody won.

        Where no peer told whether it reaches the target, other failures of this
        instance tell whether its own links are lost.
        """
        now = _now()
        self._paths.record_unreachable(race.name, now)
        if race.error is not None:
            return race.error
        error = race.path_error
        return TargetError(
            error.detail if error else "timed out",
            step="connect",
            peer=race.name,
            sent=False,
            refused=race.is_refused,
            in_path=self._paths.has_peer and self._paths.fails_elsewhere(race.name),
        )

    def _settle(self, race: _Race) -> None:
        """End the attempts that lost; a direct one goes on, to learn its result."""
        for task in race.pending:
            if task is race.direct:
                self._background.add(task)
            else:
                task.cancel()
            task.add_done_callback(lambda task: self._keep_late(race.name, task))

    def _keep_late(self, name: str, task: asyncio.Task) -> None:
        self._background.discard(task)
        if not task.cancelled() and task.exception() is None:
            self._keep(name, task.result())

    async def _connect_directly(self, name: str, address: str) -> Connection:
        started = _now()
        self.opened += 1
        try:
            connection = await connect_directly(name, address)
        except TargetError as error:
            self._paths.record_failure(name, error.detail, _now(), started)
            if error.detail == _PARTITION_ERROR and self._paths.is_lost(name):
                self._on_path_lost(name)
            raise
        self._paths.record_success(name, _now() - started, _now())
        return connection

    async def _connect_through(self, peer: str, race: _Race) -> Connection:
        self.opened += 1
        try:
            connection = await open_tunnel(self._links, peer, race.name, race.address)
        except TargetError as error:
            if not error.refused:
                self._paths.penalize_peer(peer, _now())
            raise
        self._paths.record_reached_by_peer(race.name, peer, _now())
        self._tunnels[peer].add(connection)
        return connection

    def _used_peers(self) -> dict[str, int]:
        return {
            peer: sum(connection.usable for connection in tunnels)
            for peer, tunnels in self._tunnels.items()
        }


def _now() -> float:
    return asyncio.get_running_loop().time()
