"""hibiscusstep.forwarding.catalog with the platform's client and a store stand-in."""

import asyncio
import contextlib
import time
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from platform_standin import StoreStandIn, configuration

from hibiscusstep.forwarding import catalog as module
from hibiscusstep.forwarding.catalog import Catalog, TableUpdate, TargetUpdate
from hibiscusstep.forwarding.model import DiscoveredTarget
from hibiscusstep.platform.client import (
    ObjectClient,
    ObjectEstimateStore,
    ObjectFeed,
    ObjectInstanceDirectory,
)
from hibiscusstep.platform.documents import (
    TargetDecoder,
    decode_table,
    decode_table_spec,
)
from hibiscusstep.store import Change, InstanceRecord

BOUND_S = 10


def _entry(state="ready", address="127.0.0.1:1", **changes):
    return {
        "Service": "p",
        "Address": address,
        "Zone": "z",
        "Version": "v1",
        "Slots": 2,
        "State": state,
        "ColdLeftMs": 0,
        "Sequence": 1,
        **changes,
    }


BAD_ENTRIES = [
    None,
    "text",
    ["a", "list"],
    {},
    *(
        {name: value for name, value in _entry().items() if name != left_out}
        for left_out in _entry()
    ),
    _entry(Service=7),
    _entry(Service=""),
    _entry(Service={"Service": "p"}),
    _entry(Service="p" * 1000),
    _entry(address="somewhere:80"),
    _entry(address="127.0.0.1"),
    _entry(address="127.0.0.1:99999"),
    _entry(Zone=None),
    _entry(Slots=True),
    _entry(Slots="2"),
    _entry(Slots=2.5),
    _entry(Slots=-1),
    _entry(Slots=0),
    _entry(Slots=10**12),
    _entry(Slots=[2]),
    _entry(state="odd"),
    _entry(state=["ready"]),
    _entry(ColdLeftMs=-1),
    _entry(ColdLeftMs=float("nan")),
    _entry(Sequence=False),
    _entry(Version=None),
    _entry(Version=""),
    _entry(Version="v" * 1000),
    _entry(Version=7),
    _entry(Version=["v1"]),
    _entry(Version="v\ud800"),
    _entry(Service="p\udfff"),
    _entry(Zone="\ud83d"),
    _entry(born=None),
    _entry(born=1.5),
    _entry(born=True),
    _entry(born="1000"),
    _entry(born=-5),
    _entry(born=2**63),
]


class WatchedCatalog:
    """A catalog with the tables and targets that it published."""

    def __init__(self, store):
        self.store = store
        self.client = ObjectClient(store.address)
        self.tables, self.targets, self.ended = [], {}, []
        self.changed = asyncio.Event()
        self.feed = ObjectFeed(self.client, "servers", TargetDecoder())
        self.catalog = Catalog(
            ObjectFeed(self.client, "config", decode_table),
            self.feed,
            self._on_table,
            self._on_targets,
            self.ended.append,
            lambda _targets: None,
        )
        self.catalog.tell(module.SetFollowing(True))

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
    monkeypatch.setattr(module, "EXPIRY_GRACE_S", 0.6)
    store = StoreStandIn()
    await store.start()
    store.put("config", "main", configuration(3))
    for n in range(5):
        store.put("servers", f"t{n}", _entry())
    watched = WatchedCatalog(store)
    task = asyncio.create_task(watched.catalog.run())
    await watched.until(lambda: watched.tables and len(watched.targets) == 5)
    yield watched
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await watched.client.close()
    await store.stop()


class TestTables:
    async def test_a_newer_version_is_published_and_an_older_one_is_not(self, watched):
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

    async def test_a_peers_version_is_applied_during_a_store_outage(self, watched):
        watched.store.down = True
        watched.catalog.tell(TableUpdate(decode_table_spec(configuration(11))))
        await watched.until(lambda: watched.tables[-1] == 11)

    async def test_lost_history_is_listed_again(self, watched):
        watched.store.forget_history()
        watched.store.put("config", "main", configuration(12))
        await watched.until(lambda: watched.tables[-1] == 12)


class TestCalls:
    """Every watching instance makes calls, so the number of calls is kept low."""

    async def test_changes_in_quick_succession_take_one_call(
        self, watched, monkeypatch
    ):
        monkeypatch.setattr(module, "BATCH_DELAY_S", 2.0)
        store = watched.store
        store.put("servers", "t0", _entry("draining"))
        await watched.until(lambda: watched.targets["t0"].leaving)
        store.calls.clear()
        for n in range(20):
            store.put("servers", f"new{n}", _entry())
            await asyncio.sleep(0.005)
        await watched.until(lambda: "new19" in watched.targets)
        watches = [call for call in store.calls if "servers?Watch" in call]
        assert len(watches) <= 2, "one call returns all changes, the next one waits"

    async def test_a_restarted_instance_writes_its_record_in_one_call(self, watched):
        record = InstanceRecord("n1", "zone-a", "127.0.0.1:7")
        assert (await ObjectInstanceDirectory(watched.client).register(record)).is_ok()
        watched.store.calls.clear()
        again = ObjectInstanceDirectory(watched.client, is_first_start=False)
        assert (await again.register(record)).is_ok()
        calls = [call for call in watched.store.calls if "instances" in call]
        assert len(calls) == 1

    async def test_an_added_instance_writes_its_record(self, watched):
        record = InstanceRecord("n2", "zone-a", "127.0.0.1:8")
        later = ObjectInstanceDirectory(watched.client, is_first_start=False)
        assert (await later.register(record)).is_ok()
        assert ("hibiscusstep-instances", "n2") in watched.store.objects


class TestTargets:
    async def test_draining_and_removal_are_seen(self, watched):
        watched.store.put("servers", "t1", _entry("draining"))
        await watched.until(lambda: watched.targets["t1"].leaving)
        watched.store.remove("servers", "t1")
        await watched.until(lambda: "t1" not in watched.targets)

    async def test_a_leaving_target_stays_leaving(self, watched):
        watched.store.put("servers", "t1", _entry("draining"))
        await watched.until(lambda: watched.targets["t1"].leaving)
        watched.store.put("servers", "t1", _entry("ready"))
        watched.store.put("servers", "t9", _entry())
        await watched.until(lambda: "t9" in watched.targets)
        assert watched.targets["t1"].leaving

    async def test_a_removal_in_lost_history_is_seen(self, watched):
        watched.store.remove_without_event("servers", "t2")
        watched.store.forget_history()
        await watched.until(lambda: "t2" not in watched.targets)

    async def test_entries_expired_in_an_outage_are_kept_for_a_while(self, watched):
        store = watched.store
        store.down = True
        calls = len(store.calls)
        await watched.until(lambda: len(store.calls) >= calls + 4)
        item = store.remove_without_event("servers", "t2")
        store.remove_without_event("servers", "t3")
        store.forget_history()
        calls = len(store.calls)
        store.down = False
        await watched.until(lambda: len(store.calls) > calls + 4)
        assert {"t2", "t3"} <= watched.targets.keys()
        store.put("servers", "t2", item["Spec"])
        await watched.until(lambda: "t3" not in watched.targets)
        assert "t2" in watched.targets

    async def test_a_change_between_the_pages_of_a_list_is_seen(self, watched):
        """Guards against an entry that changes after its page was read.

        The list was followed from its last page's revision on.
        """
        store = watched.store

        def drain_after_the_first_page(query):
            if query.get("After"):
                store.on_list = None
                store.put("servers", "t1", _entry("draining"))

        store.on_list = drain_after_the_first_page
        store.remove_without_event("servers", "t4")
        store.forget_history()
        await watched.until(lambda: store.on_list is None)
        await watched.until(lambda: watched.targets["t1"].leaving)

    async def test_a_peers_removal_is_applied(self, watched):
        watched.store.down = True
        known = watched.targets["t4"]
        gone = Change("t4", None, known.revision + 100)
        watched.catalog.tell(TargetUpdate((gone,)))
        await watched.until(lambda: "t4" not in watched.targets)

    async def test_a_peers_outdated_state_is_ignored(self, watched):
        old = watched.targets["t4"]
        watched.store.put("servers", "t4", {**_entry(), "Slots": 7})
        await watched.until(lambda: watched.targets["t4"].slots == 7)
        watched.catalog.tell(TargetUpdate((Change("t4", old, old.revision),)))
        watched.store.put("servers", "t8", _entry())
        await watched.until(lambda: "t8" in watched.targets)
        assert watched.targets["t4"].slots == 7

    async def test_removal_and_recreation_in_one_answer(self, watched):
        watched.store.remove("servers", "t1")
        watched.store.put("servers", "t1", _entry(address="127.0.0.1:2"))
        watched.store.put("servers", "t9", _entry())
        await watched.until(lambda: "t9" in watched.targets)
        assert watched.targets["t1"].address == "127.0.0.1:2"

    async def test_a_list_that_adds_nothing_to_a_peers_changes_is_told(self, watched):
        """Guards against targets that count as incomplete after they were read."""
        revisions = []
        catalog = Catalog(
            ObjectFeed(watched.client, "config", decode_table),
            ObjectFeed(watched.client, "servers", TargetDecoder()),
            lambda table: None,
            lambda targets, changes: revisions.append(catalog.revision),
            lambda name: None,
            lambda targets: None,
        )
        changes = [Change(t.id, t, t.revision) for t in watched.targets.values()]
        catalog.tell(TargetUpdate(tuple(changes)))
        task = asyncio.create_task(catalog.run())
        await watched.until(lambda: revisions)
        assert revisions == [0]
        catalog.tell(module.SetFollowing(True))
        await watched.until(lambda: any(revisions))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def test_a_peers_change_does_not_raise_the_revision(self, watched):
        """A list sent with that revision would remove the targets that it lacks."""
        before = watched.catalog.revision
        newer = replace(watched.targets["t4"], revision=before + 100, slots=9)
        watched.catalog.tell(TargetUpdate((Change("t4", newer, before + 100),)))
        await watched.until(lambda: watched.targets["t4"].slots == 9)
        assert watched.catalog.revision == before


class TestRestartedTarget:
    """A restarted target keeps only its ID; its requests and caches are lost."""

    async def _put(self, watched, born, name, **changes):
        watched.store.put("servers", "t1", _entry(born=born, **changes))
        await watched.until(lambda: name in watched.targets)

    async def test_it_is_another_target(self, watched):
        await self._put(watched, 1000, "t1@1000", state="draining")
        await self._put(watched, 2000, "t1@2000")
        assert "t1@1000" not in watched.targets
        assert not watched.targets["t1@2000"].leaving
        assert watched.ended == ["t1", "t1@1000"]

    async def test_the_same_incarnation_continues(self, watched):
        await self._put(watched, 1000, "t1@1000")
        watched.store.put("servers", "t1", _entry(born=1000, Slots=7))
        await watched.until(lambda: watched.targets["t1@1000"].slots == 7)
        watched.store.put("servers", "t1", _entry(Slots=8))
        await watched.until(lambda: watched.targets["t1@1000"].slots == 8)
        assert watched.ended == ["t1"]

    async def test_an_older_incarnation_is_ignored(self, watched):
        await self._put(watched, 2000, "t1@2000")
        watched.store.put("servers", "t1", _entry(born=1000, address="127.0.0.1:9"))
        watched.store.put("servers", "t9", _entry())
        await watched.until(lambda: "t9" in watched.targets)
        assert watched.targets["t1@2000"].address == "127.0.0.1:1"

    async def test_an_older_incarnation_is_ignored_after_the_newer_ones_removal(
        self, watched
    ):
        await self._put(watched, 2000, "t1@2000")
        watched.store.remove("servers", "t1")
        await watched.until(lambda: "t1@2000" not in watched.targets)
        watched.store.put("servers", "t1", _entry(born=1000))
        watched.store.put("servers", "t9", _entry())
        await watched.until(lambda: "t9" in watched.targets)
        assert not any(name.startswith("t1") for name in watched.targets)

    async def test_a_restart_after_a_removal_ends_the_old_incarnation(self, watched):
        await self._put(watched, 1000, "t1@1000")
        watched.store.remove("servers", "t1")
        await watched.until(lambda: "t1@1000" not in watched.targets)
        await self._put(watched, 2000, "t1@2000")
        assert watched.ended == ["t1", "t1@1000"]

    async def test_a_peers_late_state_of_an_older_incarnation(self, watched):
        await self._put(watched, 1000, "t1@1000")
        old = watched.targets["t1@1000"]
        await self._put(watched, 2000, "t1@2000")
        late = replace(old, revision=old.revision + 100)
        watched.catalog.tell(TargetUpdate((Change("t1", late, late.revision),)))
        watched.store.put("servers", "t9", _entry())
        await watched.until(lambda: "t9" in watched.targets)
        assert "t1@2000" in watched.targets
        assert "t1@1000" not in watched.targets

    def test_a_removal_received_before_the_entry(self):
        published = {"now": {}}
        catalog = Catalog(
            None,
            None,
            None,
            lambda all_, _: published.update(now=all_),
            lambda _name: None,
            lambda _targets: None,
        )
        changes = [Change("t", None, 3), Change("t", _target(1, 2), 2)]
        asyncio.run(_handle_all(catalog, changes))
        assert published["now"] == {}
        asyncio.run(_handle_all(catalog, [Change("t", _target(1, 4), 4)]))
        assert list(published["now"]) == ["t@1"]

    @given(st.data())
    def test_late_repeated_and_reordered_entries(self, data):
        """The final state is that of the newest entry."""
        steps = data.draw(
            st.lists(st.sampled_from(["start", "gone", "beat"]), max_size=8)
        )
        history, born = [Change("t", _target(1, 1), 1)], 1
        for revision, step in enumerate(steps, 2):
            born += step == "start"
            item = None if step == "gone" else _target(born, revision)
            history.append(Change("t", item, revision))
        with_repeats = history + data.draw(
            st.lists(st.sampled_from(history), max_size=8)
        )
        published = {"now": {}}
        catalog = Catalog(
            None,
            None,
            None,
            lambda all_, _: published.update(now=all_),
            lambda _name: None,
            lambda _targets: None,
        )
        asyncio.run(_handle_all(catalog, data.draw(st.permutations(with_repeats))))
        newest = history[-1].item
        assert published["now"] == ({newest.name: newest} if newest else {})


class TestAnnouncedLeaving:
    """One instance reads it in a response and sends it on; the list may lack it."""

    @given(st.data())
    def test_lasts_until_a_restart_in_any_order_of_messages(self, data):
        steps = data.draw(
            st.lists(st.sampled_from(["start", "gone", "beat", "says so"]), max_size=8)
        )
        item = _target(1, 1)
        history, announced = [Change("t", item, 1)], set()
        for revision, step in enumerate(steps, 2):
            if step == "says so":
                announced.add(item.name)
                announcement = replace(item, leaving=True)
                history.append(Change("t", announcement, item.revision))
                continue
            item = _target(item.incarnation + (step == "start"), revision)
            gone = step == "gone"
            history.append(Change("t", None if gone else item, revision))
        listed = [c for c in history if not (c.item and c.item.leaving)]
        published = {"now": {}}
        catalog = Catalog(
            None,
            None,
            None,
            lambda all_, _: published.update(now=all_),
            lambda _name: None,
            lambda _targets: None,
        )
        asyncio.run(_handle_all(catalog, data.draw(st.permutations(history))))
        newest = listed[-1].item
        assert {n: t.leaving for n, t in published["now"].items()} == (
            {newest.name: newest.name in announced} if newest else {}
        )


def _target(born, revision):
    return DiscoveredTarget("t", "p", "127.0.0.1:1", "z", 2, False, revision, born)


async def _handle_all(catalog, changes):
    for change in changes:
        await catalog.handle(TargetUpdate((change,)))


class TestMalformedEntries:
    """An entry that no target wrote is ignored; all others are used."""

    @pytest.mark.parametrize("spec", BAD_ENTRIES)
    async def test_a_bad_entry_is_left_out(self, watched, spec):
        watched.store.put("servers", "t1", spec)
        watched.store.put("servers", "t9", _entry())
        await watched.until(lambda: "t9" in watched.targets)
        assert watched.targets.keys() == {"t0", "t2", "t3", "t4", "t9"}
        watched.store.forget_history()
        watched.store.put("servers", "t8", _entry())
        await watched.until(lambda: "t8" in watched.targets)
        assert "t1" not in watched.targets
        watched.store.put("servers", "t1", _entry())
        await watched.until(lambda: "t1" in watched.targets)

    async def test_bytes_that_are_not_utf8(self, watched):
        """Bytes that are not UTF-8 must not hide the other entries of the answer."""
        watched.store.answer_replacement = (b'"Zone":"spoilt"', b'"Zone":"\xff\xfe"')
        watched.store.put("servers", "t1", _entry(Zone="spoilt"))
        watched.store.put("servers", "t9", _entry())
        await watched.until(lambda: "t9" in watched.targets)
        assert "t1" not in watched.targets
        watched.store.forget_history()
        watched.store.put("servers", "t8", _entry())
        await watched.until(lambda: "t8" in watched.targets)
        assert watched.targets.keys() == {"t0", "t2", "t3", "t4", "t8", "t9"}

    async def test_one_log_line_and_one_count_per_revision(self, watched, caplog):
        watched.store.put("servers", "t1", _entry(state="odd"))
        await watched.until(lambda: "t1" not in watched.targets)
        for name in ("t8", "t9"):
            watched.store.forget_history()
            watched.store.put("servers", name, _entry())
            await watched.until(lambda name=name: name in watched.targets)
        lines = [r for r in caplog.records if r.message == "object left out"]
        assert [line.object for line in lines] == ["t1"]
        assert "State: unknown: 'odd'" in lines[0].error
        assert watched.feed.ignored_count == 1

    @pytest.mark.parametrize("version", ["", None, "v" * 1000, 7, "v\ud800"], ids=repr)
    async def test_the_line_names_a_malformed_version(self, watched, caplog, version):
        watched.store.put("servers", "t1", _entry(Version=version))
        await watched.until(lambda: "t1" not in watched.targets)
        watched.store.forget_history()
        watched.store.put("servers", "t9", _entry())
        await watched.until(lambda: "t9" in watched.targets)
        (line,) = (r for r in caplog.records if r.message == "object left out")
        assert (line.kind, line.object) == ("servers", "t1")
        assert line.error.startswith("Version: not ")


class TestStartInTheFuture:
    """Guards against a target that is ignored after it has started again.

    Its first start was registered with a time that had not come yet, so that the next
    one seemed to be an older one.
    """

    AHEAD_MS = 3_600_000

    @staticmethod
    def _unix_ms():
        return int(time.time() * 1000)

    def _lines(self, caplog):
        return [r for r in caplog.records if r.message == "start time ignored"]

    async def test_counts_as_not_given(self, watched, caplog):
        born = self._unix_ms() + self.AHEAD_MS
        watched.store.put("servers", "t7", _entry(born=born))
        await watched.until(lambda: {"t7", f"t7@{born}"} & watched.targets.keys())
        assert watched.targets["t7"].incarnation == 0
        for sequence, name in enumerate(("t8", "t9")):
            changed = _entry(born=born, Sequence=sequence, Slots=3 + sequence)
            watched.store.put("servers", "t7", changed)
            watched.store.forget_history()
            watched.store.put("servers", name, _entry())
            await watched.until(lambda name=name: name in watched.targets)
        await watched.until(lambda: watched.targets["t7"].slots == 4)
        (line,) = self._lines(caplog)
        assert (line.object, line.born) == ("t7", born)
        assert watched.ended == []

    async def test_a_later_start_is_another_target(self, watched):
        born = self._unix_ms()
        watched.store.put("servers", "t1", _entry(born=born + self.AHEAD_MS, Slots=7))
        await watched.until(lambda: 7 in (t.slots for t in watched.targets.values()))
        changed = _entry(born=born, address="127.0.0.1:2")
        watched.store.put("servers", "t1", changed)
        watched.store.put("servers", "t9", _entry())
        await watched.until(lambda: "t9" in watched.targets)
        assert watched.targets[f"t1@{born}"].address == "127.0.0.1:2"
        assert watched.ended == ["t1"]

    async def test_one_of_a_clock_slightly_ahead_is_used(self, watched, caplog):
        """Clocks of machines may differ by some seconds, and jump."""
        born = self._unix_ms() + 10_000
        watched.store.put("servers", "t7", _entry(born=born))
        await watched.until(lambda: f"t7@{born}" in watched.targets)
        assert not self._lines(caplog)


class TestRoster:
    async def test_a_malformed_record_hides_no_other(self, watched):
        directory = ObjectInstanceDirectory(watched.client)
        record = InstanceRecord("n1", "z", "127.0.0.1:7")
        assert (await directory.register(record)).is_ok()
        kind = "hibiscusstep-instances"
        for n, spec in enumerate(("text", None, {"DataCentre": 1}, {"Capacity": "x"})):
            watched.store.put(kind, f"odd{n}", spec)
        assert (await directory.instances()).unwrap() == [record]

    async def test_a_malformed_document_hides_no_other(self, watched):
        estimates = ObjectEstimateStore(watched.client)
        assert (await estimates.write("p", {"first": 1.0})).is_ok()
        watched.store.objects["hibiscusstep-beliefs", "q"] = {"Metadata": {}}
        assert (await estimates.read_all()).unwrap() == {"p": {"first": 1.0}}

    async def test_instances_register_and_are_listed(self, watched):
        directory = ObjectInstanceDirectory(watched.client)
        for address in ("127.0.0.1:7", "127.0.0.1:8"):
            record = InstanceRecord("n1", "z", address)
            assert (await directory.register(record)).is_ok()
        assert (await directory.instances()).unwrap() == [record]

    async def test_a_store_that_is_down_is_an_error(self, watched):
        watched.store.down = True
        directory = ObjectInstanceDirectory(watched.client)
        assert (await directory.instances()).is_err()
        record = InstanceRecord("n1", "z", "127.0.0.1:7")
        assert (await directory.register(record)).is_err()
