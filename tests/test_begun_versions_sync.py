"""hibiscusstep.forwarding.begun_versions_sync."""

import asyncio
import math

import pytest
from result import Err, Ok

from hibiscusstep.errors import PlatformConflict, PlatformNotFound, PlatformUnavailable
from hibiscusstep.forwarding import begun_versions_sync
from hibiscusstep.forwarding.begun_versions_sync import BegunVersionsSync
from hibiscusstep.forwarding.pool_versions import PoolVersionTable
from hibiscusstep.membership.view import Member, View
from hibiscusstep.store import StoredVersions, StreamStore

POOL = "p"


class _Store(StreamStore):
    """Holds versions in memory; `failures` of the next calls."""

    def __init__(self, *versions):
        self.revision = 1
        self.stored = {POOL: StoredVersions(frozenset(versions), 1, True)}
        if not versions:
            self.stored = {}
        self.failures = []
        self.calls = []

    async def read_versions(self, pool=None):
        self.calls.append("read")
        return self._fail() or Ok(dict(self.stored))

    async def write_versions(self, pool, versions, revision):
        self.calls.append("write")
        if failure := self._fail():
            return failure
        known = self.stored.get(pool)
        if known is None and revision:
            return Err(PlatformNotFound("404"))
        if known is not None and known.revision != revision:
            return Err(PlatformConflict("409"))
        self.put(*versions)
        return Ok(self.stored[pool])

    def put(self, *versions):
        self.revision += 1
        self.stored[POOL] = StoredVersions(frozenset(versions), self.revision, True)

    def _fail(self):
        return Err(self.failures.pop(0)) if self.failures else None

    async def write_segment(self, pool, segment, document):
        raise NotImplementedError

    async def read_segments(self, pool):
        raise NotImplementedError


class _Instance:
    def __init__(self, store):
        self.now = asyncio.get_running_loop().time
        self.table = PoolVersionTable(self.now())
        self.sync = BegunVersionsSync("a", store, self.table, self._apply)
        self.begun = self.table[POOL].begun
        self.read_at = -math.inf

    def _apply(self, stored):
        self.read_at = stored.began
        for pool, item in stored.versions.items():
            self.table[pool].begun.apply_stored(item, self.now())

    async def run(self, *candidates, until):
        async with asyncio.timeout(2):
            while not until():
                self.begun.update(candidates, self.now())
                self.sync.update(View(), self.now())
                await asyncio.sleep(0.005)


@pytest.fixture(autouse=True)
def _no_delay(monkeypatch):
    monkeypatch.setattr(begun_versions_sync, "RETRY_S", 0.01)
    monkeypatch.setattr(begun_versions_sync, "DISPATCHER_FIRST_S", 0.01)


class TestBegunVersionsSync:
    async def test_a_read_that_failed_is_repeated(self):
        store = _Store("v1")
        store.failures = [PlatformUnavailable("away")] * 2
        instance = _Instance(store)
        instance.sync.start()
        # Without a version that may serve there is no write that reads it.
        await instance.run(until=lambda: instance.begun.stored.versions)
        assert instance.begun.stored == store.stored[POOL]
        instance.sync.stop()

    async def test_a_version_is_written_after_a_conflict(self):
        """Guards against a version that never begins streams."""
        store = _Store("v1")
        instance = _Instance(store)
        instance.sync.start()
        await instance.run("v1", until=lambda: instance.begun.stored.versions)
        store.put("v1", "v0")
        await instance.run(
            "v1", "v2", until=lambda: "v2" in instance.begun.stored.versions
        )
        assert store.stored[POOL].versions == {"v0", "v1", "v2"}
        instance.sync.stop()

    async def test_a_confirmation_reads_what_was_stored_before_it(self):
        """Guards against a version that another instance stored unheard."""
        store = _Store("v1")
        instance = _Instance(store)
        instance.sync.start()
        await instance.run("v1", until=lambda: instance.begun.stored.versions)
        store.put("v1", "v2")
        asked_at = instance.now()
        instance.sync.confirm(POOL)
        await instance.run("v1", until=lambda: instance.read_at >= asked_at)
        assert instance.begun.origins(instance.now()) == {"v1", "v2"}
        instance.sync.stop()

    async def test_confirmations_during_a_read_share_the_next_one(self):
        """Guards against a call for each request, and one that began too early."""
        store = _Store("v1")
        instance = _Instance(store)
        instance.sync.confirm(POOL)
        await instance.run("v1", until=lambda: instance.read_at > -math.inf)
        for _ in range(100):
            instance.sync.confirm(POOL)
        asked_at = instance.now()
        reads = store.calls.count("read")
        await instance.run("v1", until=lambda: instance.read_at >= asked_at)
        assert store.calls.count("read") == reads + 1
        instance.sync.stop()

    async def test_a_removed_object_is_created_again(self):
        store = _Store("v1")
        instance = _Instance(store)
        instance.sync.start()
        await instance.run("v1", until=lambda: instance.begun.stored.versions)
        store.stored.clear()
        await instance.run(
            "v1", "v2", until=lambda: "v2" in instance.begun.stored.versions
        )
        assert store.stored[POOL].versions == {"v1", "v2"}
        instance.sync.stop()

    async def test_a_write_that_failed_is_repeated(self):
        store = _Store("v1")
        instance = _Instance(store)
        instance.sync.start()
        await instance.run("v1", until=lambda: instance.begun.stored.versions)
        store.failures = [PlatformUnavailable("away")] * 2
        await instance.run(
            "v1", "v2", until=lambda: "v2" in instance.begun.stored.versions
        )
        assert store.calls.count("write") == 3
        instance.sync.stop()


class TestWriters:
    """Guards against hundreds of calls at once if the store is slow or refuses."""

    def _count(self, view, names):
        count = 0
        for name in names:
            table = PoolVersionTable()
            table[POOL].begun.update({"v1"}, 0.0)
            sync = BegunVersionsSync(name, _Store(), table, lambda _stored: None)
            count += sync._write_delay(POOL, view) is not None
        return count

    def test_few_of_many_instances_write(self):
        names = [f"n{number}" for number in range(195)]
        view = View(
            {n: Member(n, f"{n}-1", "z", "r", n, "o", 1, True, False) for n in names}
        )
        writers = self._count(view, names)
        assert 2 <= writers <= begun_versions_sync.SUBSTITUTES + 1
