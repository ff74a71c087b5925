"""hibiscusstep.forwarding.begun_versions_sync: stores which versions began streams."""

import asyncio
import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from hibiscusstep.errors import PlatformConflict, PlatformNotFound
from hibiscusstep.forwarding.pool_versions import PoolVersionTable
from hibiscusstep.log import decision
from hibiscusstep.membership.view import View, rendezvous_hash
from hibiscusstep.store import RevisionExpired, StoredVersions, StreamStore

__all__ = ["BegunVersionsSync", "VersionsStored"]

# Interval in seconds between attempts after a failed read or write.
RETRY_S = 0.3
# An instance that does not dispatch the pool lets its dispatcher write first.
DISPATCHER_FIRST_S = 0.1
# Number of instances that write if a pool's dispatcher does not.
SUBSTITUTES = 3
# Mean seconds between the writes of instances that start together and notice the same.
STAGGER_S = 0.002
# Shortest interval between two reads that confirm a pool's versions.
CONFIRM_INTERVAL_S = 0.05


@dataclass(frozen=True, slots=True)
class VersionsStored:
    """Versions by pool that were read from the store or written to it.

    Parameters
    ----------
    versions : dict of str to StoredVersions
        The versions by pool.
    are_all : bool
        Whether the store has none of other pools.
    began : float
        When the read or the write began, on the event loop's clock. What any instance
        had stored by then is known.
    """

    versions: dict[str, StoredVersions]
    are_all: bool = False
    began: float = -math.inf


class BegunVersionsSync:
    """Reads the stored versions once, and writes those that are about to serve.

    The writes are conditional, so that any instance may write: a pool's dispatcher does
    at once, a few others if it does not.

    Parameters
    ----------
    own_name : str
        Name of this instance.
    store : StreamStore
        Holds the versions.
    table : PoolVersionTable
        The versions of all pools.
    on_stored : callable of VersionsStored
        Receives what the store has.
    """

    def __init__(
        self,
        own_name: str,
        store: StreamStore,
        table: PoolVersionTable,
        on_stored: Callable[[VersionsStored], None],
    ) -> None:
        self._own_name = own_name
        self._store = store
        self._table = table
        self._on_stored = on_stored
        self._read_task: asyncio.Task | None = None
        self._write_tasks: dict[str, asyncio.Task] = {}
        self._confirm_tasks: dict[str, asyncio.Task] = {}
        # Pools of which another read is needed after the present one.
        self._unconfirmed: set[str] = set()
        # Pools whose object was found missing; it is created, not replaced.
        self._missing: set[str] = set()

    def start(self) -> None:
        """Start reading."""
        self._read_task = asyncio.create_task(self._read_all())

    def stop(self) -> None:
        """Cancel all tasks."""
        tasks = (*self._write_tasks.values(), *self._confirm_tasks.values())
        for task in (self._read_task, *tasks):
            if task:
                task.cancel()

    def confirm(self, pool: str) -> None:
        """Read a pool's versions again: another instance may have stored further ones.

        One read serves all requests that were received before it.
        """
        self._unconfirmed.add(pool)
        task = self._confirm_tasks.get(pool)
        if task is None or task.done():
            self._confirm_tasks[pool] = asyncio.create_task(self._confirm(pool))

    def update(self, view: View, now: float) -> None:
        """Start the writes that are due.

        A version that no longer serves is removed by the pool's dispatcher only.
        """
        for pool in self._table:
            begun = self._table[pool].begun
            if begun.to_store(now) is None:
                continue
            task = self._write_tasks.get(pool)
            is_idle = task is None or task.done()
            if is_idle and (delay := self._write_delay(pool, view)) is not None:
                self._write_tasks[pool] = asyncio.create_task(self._write(pool, delay))

    def _write_delay(self, pool: str, view: View) -> float | None:
        """Return the seconds that this instance lets others write first.

        None if it does not write: all instances would make hundreds of calls at once.
        """
        dispatcher = view.dispatcher_of(pool) if view.role_known else None
        if dispatcher == self._own_name:
            return 0.0
        if not self._table[pool].begun.is_write_urgent:
            return None
        stagger = random.random() * STAGGER_S * view.expected_size
        if dispatcher is None:
            return stagger
        substitutes = rendezvous_hash(view.eligible, f"begun {pool}", SUBSTITUTES)
        return DISPATCHER_FIRST_S + stagger if self._own_name in substitutes else None

    async def _confirm(self, pool: str) -> None:
        while pool in self._unconfirmed:
            self._unconfirmed.discard(pool)
            began = _now()
            reply = await self._store.read_versions(pool)
            if reply.is_err():
                error = str(reply.unwrap_err())
                decision("stream-versions-not-read", pool=pool, error=error)
            else:
                self._on_stored(VersionsStored(reply.unwrap(), began=began))
            await asyncio.sleep(CONFIRM_INTERVAL_S)

    async def _read_all(self) -> None:
        while True:
            began = _now()
            reply = await self._store.read_versions()
            if reply.is_ok():
                found = reply.unwrap()
                self._on_stored(VersionsStored(found, are_all=True, began=began))
                return
            decision("stream-versions-not-read", error=str(reply.unwrap_err()))
            await asyncio.sleep(RETRY_S * (0.5 + random.random()))

    async def _write(self, pool: str, delay: float) -> None:
        await asyncio.sleep(delay)
        begun = self._table[pool].begun
        versions = begun.to_store(_now())
        if versions is None:
            return
        revision = 0 if pool in self._missing else begun.stored.revision
        began = _now()
        written = await self._store.write_versions(pool, versions, revision)
        if written.is_ok():
            self._missing.discard(pool)
            self._on_stored(VersionsStored({pool: written.unwrap()}, began=began))
            return
        error = written.unwrap_err()
        decision("stream-versions-not-written", pool=pool, error=str(error))
        if isinstance(error, PlatformConflict | PlatformNotFound | RevisionExpired):
            await self._read(pool)
        else:
            await asyncio.sleep(RETRY_S * (0.5 + random.random()))

    async def _read(self, pool: str) -> None:
        reply = await self._store.read_versions(pool)
        if reply.is_err():
            await asyncio.sleep(RETRY_S)
            return
        found = reply.unwrap()
        if pool in found:
            self._missing.discard(pool)
        else:
            self._missing.add(pool)
        self._on_stored(VersionsStored(found))


def _now() -> float:
    return asyncio.get_running_loop().time()
