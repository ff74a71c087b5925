"""hibiscusstep.forwarding.begun_versions_sync."""

import asyncio
import math

import pytest
from result import Err, Ok

from hibiscusstep.errors import PlatformConflict, PlatformNotFound, PlatformUnavailable
from hibiscusstep.forwarding import begun_versions, begun_versions_sync
from hibiscusstep.forwarding.begun_versions_sync import (
    BegunVersionsSync,
    VersionsStored,
)
from hibiscusstep.forwarding.pool_versions import PoolVersionTable
from hibiscusstep.forwarding.rollouts import RolloutCoordinator
from hibiscusstep.membership.view import Member, View
from hibiscusstep.routing.stream_versions import VersionsConfirmed
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


class _SlowStore(_Store):
    """Answers a call once `answers` is set."""

    def __init__(self, *versions):
        super().__init__(*versions)
        self.called = asyncio.Event()
        self.answers = asyncio.Event()

    async def read_versions(self, pool=None):
        found = await super().read_versions(pool)
        await self._wait()
        return found

    async def write_versions(self, pool, versions, revision):
        written = await super().write_versions(pool, versions, revision)
        await self._wait()
        return written

    async def _wait(self):
        self.called.set()
        await self.answers.wait()


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

    @pytest.mark.parametrize("call", ["start", "confirm", "write"])
    async def test_a_call_shows_what_was_stored_before_it_began(self, call):
        """Guards against a version that another instance stored during a slow call."""
        store = _SlowStore("v1")
        instance = _Instance(store)
        if call == "start":
            instance.sync.start()
        elif call == "confirm":
            instance.sync.confirm(POOL)
        else:
            instance.begun.apply_stored(store.stored[POOL], instance.now())
            instance.begun.update(["v1", "v2"], instance.now())
            instance.sync.update(View(), instance.now())
        async with asyncio.timeout(2):
            await store.called.wait()
        asked_at = instance.now()
        await asyncio.sleep(0.01)
        store.answers.set()
        await instance.run("v1", until=lambda: instance.read_at > -math.inf)
        assert instance.read_at <= asked_at
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


class TestConfirmation:
    """Guards against a version that is confirmed to be the only one by mistake."""

    def _coordinator(self, *, is_first_start=False):
        """Return a coordinator, and the list of its plans and confirmations."""
        events = []
        coordinator = RolloutCoordinator(
            "a", "a:1", None, None, _Store(),
            lambda: events.append("plan"), events.append, 0.0,
            is_first_start=is_first_start, orders_rollouts=False,
        )  # fmt: skip
        return coordinator, events

    async def _events_after(self, *, is_first_start=False, **fields):
        """Return the plans and confirmations that follow from a read of versions."""
        coordinator, events = self._coordinator(is_first_start=is_first_start)
        await coordinator.handle(VersionsStored(began=5.0, **fields))
        await coordinator.stop()
        return events

    async def test_follows_the_plan_with_what_was_read(self):
        stored = StoredVersions(frozenset({"v1", "v2"}), 2, is_complete=True)
        events = await self._events_after(versions={POOL: stored})
        assert events == ["plan", VersionsConfirmed(5.0, frozenset({POOL}))]

    async def test_is_not_made_by_an_incomplete_record(self):
        """A store restored from an older copy may lack a version."""
        stored = StoredVersions(frozenset({"v1"}), 2, is_complete=False)
        *_, confirmed = await self._events_after(versions={POOL: stored})
        assert confirmed == VersionsConfirmed(5.0, frozenset())

    async def test_is_not_made_if_a_stored_version_has_expired_here(self, monkeypatch):
        """Guards against a version that serves elsewhere and has no target here."""
        monkeypatch.setattr(begun_versions, "STREAM_LIFETIME_S", 0.0)
        coordinator, events = self._coordinator()
        stored = StoredVersions(frozenset({"v1", "v2"}), 2, is_complete=True)
        for _ in range(2):
            begun = coordinator.version_table[POOL].begun
            begun.update({"v1"}, asyncio.get_running_loop().time())
            await coordinator.handle(VersionsStored({POOL: stored}, began=5.0))
        await coordinator.stop()
        assert coordinator.stream_origins(POOL) == {"v1"}
        assert events[-1] == VersionsConfirmed(5.0, frozenset())

    @pytest.mark.parametrize("is_first_start", [False, True])
    async def test_of_pools_without_a_record_is_made_at_the_first_start(
        self, is_first_start
    ):
        *_, confirmed = await self._events_after(
            versions={}, are_all=True, is_first_start=is_first_start
        )
        pools = None if is_first_start else frozenset()
        assert confirmed == VersionsConfirmed(5.0, pools)
