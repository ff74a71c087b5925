"""hibiscusstep.forwarding.catalog over the client of the platform and a stand-in."""

import asyncio
import contextlib

import pytest
from platform_standin import StoreStandIn, configuration

from hibiscusstep.forwarding import catalog as module
from hibiscusstep.forwarding.catalog import Catalog, TableNews, TargetNews
from hibiscusstep.platform.client import ObjectClient, ObjectFeed, ObjectRoster
from hibiscusstep.platform.documents import decode_table, decode_target, table_of
from hibiscusstep.store import Change, InstanceRecord

BOUND_S = 10


def _entry(state="ready", address="127.0.0.1:1"):
    return {"Service": "p", "Address": address, "Zone": "z", "Slots": 2, "State": state}


class Watched:
    """A catalog and what it published."""

    def __init__(self, store):
        self.store = store
        self.client = ObjectClient(store.address)
        self.tables, self.targets = [], {}
        self.changed = asyncio.Event()
        self.catalog = Catalog(
            ObjectFeed(self.client, "config", decode_table),
            ObjectFeed(self.client, "servers", decode_target),
            self._on_table,
            self._on_targets,
        )
        self.catalog.tell(module.Follow(True))

    def _on_table(self, table):
        self.tables.append(table.version)
        self.changed.set()

    def _on_targets(self, targets, changes):
        self.targets = targets
        self.changed.set()

    async def until(self, condition):
        async with asyncio.timeout(BOUND_S):
            while not condition():
                self.changed.clear()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), 0.05)


@pytest.fixture
async def watched(monkeypatch):
    monkeypatch.setattr(module, "RETRY_S", 0.02)
    monkeypatch.setattr(module, "WATCH_S", 0.3)
    monkeypatch.setattr(module, "LAPSE_GRACE_S", 0.6)
    store = StoreStandIn()
    await store.start()
    store.put("config", "main", configuration(3))
    for n in range(5):
        store.put("servers", f"t{n}", _entry())
    watched = Watched(store)
    task = asyncio.create_task(watched.catalog.run())
    await watched.until(lambda: watched.tables and len(watched.targets) == 5)
    yield watched
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await watched.client.close()
    await store.stop()


class TestTables:
    async def test_a_new_version_comes_and_an_old_one_does_not(self, watched):
        watched.store.put("config", "main", configuration(7))
        await watched.until(lambda: watched.tables[-1] == 7)
        watched.store.put("config", "main", configuration(5))
        watched.store.put("config", "main", configuration(9))
        await watched.until(lambda: watched.tables[-1] == 9)
        assert watched.tables == [3, 7, 9]

    async def test_a_malformed_version_changes_nothing(self, watched):
        watched.store.put("config", "main", {"Version": 8, "Routes": [{"Name": 1}]})
        watched.store.put("config", "main", configuration(9))
        await watched.until(lambda: watched.tables[-1] == 9)
        assert watched.tables == [3, 9]

    async def test_a_peers_version_is_taken_while_the_store_is_away(self, watched):
        watched.store.down = True
        watched.catalog.tell(TableNews(table_of(configuration(11))))
        await watched.until(lambda: watched.tables[-1] == 11)

    async def test_lost_history_is_listed_again(self, watched):
        watched.store.forget_history()
        watched.store.put("config", "main", configuration(12))
        await watched.until(lambda: watched.tables[-1] == 12)


class TestTargets:
    async def test_draining_and_removal_are_seen(self, watched):
        watched.store.put("servers", "t1", _entry("draining"))
        await watched.until(lambda: watched.targets["t1"].leaving)
        watched.store.remove("servers", "t1")
        await watched.until(lambda: "t1" not in watched.targets)

    async def test_a_target_that_leaves_never_comes_back(self, watched):
        watched.store.put("servers", "t1", _entry("draining"))
        await watched.until(lambda: watched.targets["t1"].leaving)
        watched.store.put("servers", "t1", _entry("ready"))
        watched.store.put("servers", "t9", _entry())
        await watched.until(lambda: "t9" in watched.targets)
        assert watched.targets["t1"].leaving

    async def test_a_removal_in_lost_history_is_seen(self, watched):
        watched.store.lapse("servers", "t2")
        watched.store.forget_history()
        await watched.until(lambda: "t2" not in watched.targets)

    async def test_what_lapsed_in_an_outage_stays_until_it_is_back(self, watched):
        store = watched.store
        store.down = True
        calls = len(store.calls)
        await watched.until(lambda: len(store.calls) >= calls + 4)
        item = store.lapse("servers", "t2")
        store.lapse("servers", "t3")
        store.forget_history()
        calls = len(store.calls)
        store.down = False
        await watched.until(lambda: len(store.calls) > calls + 4)
        assert {"t2", "t3"} <= watched.targets.keys()
        store.put("servers", "t2", item["Spec"])
        await watched.until(lambda: "t3" not in watched.targets)
        assert "t2" in watched.targets

    async def test_a_peers_word_of_a_leaving_target(self, watched):
        watched.store.down = True
        known = watched.targets["t4"]
        gone = Change("t4", None, known.revision + 100)
        watched.catalog.tell(TargetNews((gone,)))
        await watched.until(lambda: "t4" not in watched.targets)

    async def test_a_peers_old_word_changes_nothing(self, watched):
        old = watched.targets["t4"]
        watched.store.put("servers", "t4", {**_entry(), "Slots": 7})
        await watched.until(lambda: watched.targets["t4"].slots == 7)
        watched.catalog.tell(TargetNews((Change("t4", old, old.revision),)))
        watched.store.put("servers", "t8", _entry())
        await watched.until(lambda: "t8" in watched.targets)
        assert watched.targets["t4"].slots == 7


class TestRoster:
    async def test_instances_register_and_are_listed(self, watched):
        roster = ObjectRoster(watched.client)
        for address in ("127.0.0.1:7", "127.0.0.1:8"):
            record = InstanceRecord("n1", "z", address)
            assert (await roster.register(record)).is_ok()
        assert (await roster.instances()).unwrap() == [record]

    async def test_a_store_that_is_down_is_an_error(self, watched):
        watched.store.down = True
        roster = ObjectRoster(watched.client)
        assert (await roster.instances()).is_err()
        record = InstanceRecord("n1", "z", "127.0.0.1:7")
        assert (await roster.register(record)).is_err()
