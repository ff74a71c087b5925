"""Guards against state lost when the store is restored from an older copy.

The copy is some seconds old and its revisions are lower. Later writes are lost; the
operator and the targets write theirs again. All answers carry an era, which a restore
raises by one.
"""

import asyncio
import logging
from dataclasses import replace

import pytest
from platform_standin import TargetStandIn, configuration
from test_catalog import BOUND_S, WatchedCatalog, _entry, watched  # noqa: F401
from test_crashing_requests import CRASHING, CrashingSite

from hibiscusstep.forwarding.catalog import SetFollowing, TargetUpdate
from hibiscusstep.platform.eras import join_revision
from hibiscusstep.store import Change


async def _raise_revisions(watched):  # noqa: F811
    """Raise the revisions of the store and of t1 well above the returned copy's."""
    snapshot = watched.store.copy()
    for slots in range(3, 9):
        watched.store.put("servers", "t1", _entry(Slots=slots))
    await watched.until(lambda: watched.targets["t1"].slots == 8)
    return snapshot


class TestTargetsAfterRestore:
    async def test_a_target_that_leaves_later_is_leaving(self, watched):  # noqa: F811
        snapshot = await _raise_revisions(watched)
        watched.store.restore(snapshot)
        watched.store.put("servers", "t1", _entry("draining"))
        await watched.until(lambda: watched.targets["t1"].leaving)

    async def test_a_target_removed_later_is_removed(self, watched):  # noqa: F811
        snapshot = await _raise_revisions(watched)
        watched.store.restore(snapshot)
        watched.store.remove("servers", "t1")
        await watched.until(lambda: "t1" not in watched.targets)

    async def test_a_rewritten_entry_is_applied(self, watched):  # noqa: F811
        snapshot = await _raise_revisions(watched)
        watched.store.restore(snapshot)
        watched.store.put("servers", "t1", _entry(Slots=5))
        await watched.until(lambda: watched.targets["t1"].slots == 5)

    async def test_reused_revisions_hide_no_target(self, watched):  # noqa: F811
        snapshot = await _raise_revisions(watched)
        before = watched.store.revision
        watched.store.down = True
        watched.store.restore(snapshot)
        watched.store.put("servers", "fresh", _entry())
        while watched.store.revision <= before:
            watched.store.put("servers", "t2", _entry(Slots=watched.store.revision))
        watched.store.down = False
        await watched.until(lambda: "fresh" in watched.targets)

    async def test_a_target_that_the_copy_lacks_is_kept_until_rewritten(
        self,
        watched,  # noqa: F811
    ):
        snapshot = watched.store.copy()
        watched.store.put("servers", "new", _entry())
        await watched.until(lambda: "new" in watched.targets)
        seen = []
        watched.catalog._on_targets = lambda targets, _changes: seen.append(targets)
        watched.store.restore(snapshot)
        watched.store.put("servers", "t3", _entry(Slots=7))
        await watched.until(lambda: seen)
        watched.store.put("servers", "new", _entry(Slots=6))
        await watched.until(lambda: seen[-1]["new"].slots == 6)
        assert all("new" in targets for targets in seen)

    async def test_a_target_that_the_copy_lacks_is_removed_eventually(self, watched):  # noqa: F811
        snapshot = watched.store.copy()
        watched.store.put("servers", "new", _entry())
        await watched.until(lambda: "new" in watched.targets)
        watched.store.restore(snapshot)
        await watched.until(lambda: "new" not in watched.targets)

    async def test_a_leaving_target_stays_leaving(
        self,
        watched,  # noqa: F811
    ):
        snapshot = watched.store.copy()
        watched.store.put("servers", "t1", _entry("draining"))
        await watched.until(lambda: watched.targets["t1"].leaving)
        watched.store.restore(snapshot)
        watched.store.put("servers", "t2", _entry(Slots=7))
        await watched.until(lambda: watched.targets["t2"].slots == 7)
        assert watched.targets["t1"].leaving

    async def test_a_peers_state_of_the_previous_era_is_ignored(
        self,
        watched,  # noqa: F811
    ):
        snapshot = await _raise_revisions(watched)
        old = watched.targets["t1"]
        watched.store.restore(snapshot)
        watched.store.put("servers", "t1", _entry(Slots=5))
        await watched.until(lambda: watched.targets["t1"].slots == 5)
        watched.catalog.tell(TargetUpdate((Change("t1", old, old.revision),)))
        watched.store.put("servers", "t9", _entry())
        await watched.until(lambda: "t9" in watched.targets)
        assert watched.targets["t1"].slots == 5


class TestInstanceWithoutStore:
    """The instance cannot reach the store; its own targets are of the previous era."""

    async def _disconnect_from_store(self, watched):  # noqa: F811
        await _raise_revisions(watched)
        old = watched.targets["t1"]
        watched.catalog.tell(SetFollowing(False))
        return old

    async def _receive(self, watched, target):  # noqa: F811
        update = TargetUpdate((Change("t1", target, target.revision),))
        watched.catalog.tell(update)

    async def test_peers_states_are_applied(self, watched):  # noqa: F811
        old = await self._disconnect_from_store(watched)
        rewritten = replace(old, slots=5, revision=join_revision(2, 4))
        await self._receive(watched, rewritten)
        await watched.until(lambda: watched.targets["t1"].slots == 5)

    async def test_late_states_of_the_previous_era_are_ignored(self, watched):  # noqa: F811
        old = await self._disconnect_from_store(watched)
        leaving = replace(old, leaving=True, revision=join_revision(2, 4))
        await self._receive(watched, leaving)
        await watched.until(lambda: watched.targets["t1"].leaving)
        await self._receive(watched, replace(old, slots=9, revision=old.revision + 7))
        await self._receive(
            watched, replace(leaving, slots=6, revision=leaving.revision + 1)
        )
        await watched.until(lambda: watched.targets["t1"].slots == 6)
        assert watched.targets["t1"].leaving


class TestConfigurationAfterRestore:
    async def test_an_older_version_is_not_put_in_force(self, watched):  # noqa: F811
        snapshot = watched.store.copy()
        watched.store.put("config", "main", configuration(7))
        await watched.until(lambda: watched.tables[-1] == 7)
        watched.store.restore(snapshot)
        watched.store.put("config", "main", configuration(7))
        watched.store.put("config", "main", configuration(9))
        await watched.until(lambda: watched.tables[-1] == 9)
        assert watched.tables == [3, 7, 9]


class TestMalformedEra:
    @pytest.mark.parametrize("era", [None, "", "no number", "-3", "0", "1.5"])
    async def test_loses_no_change(self, watched, era):  # noqa: F811
        watched.store.era = era
        watched.store.put("servers", "t1", _entry(Slots=7))
        await watched.until(lambda: watched.targets["t1"].slots == 7)
        watched.store.put("servers", "t1", _entry("draining"))
        await watched.until(lambda: watched.targets["t1"].leaving)


@pytest.fixture
async def site(tmp_path, monkeypatch):
    site = CrashingSite(tmp_path, monkeypatch)
    yield site
    await site.stop()


class TestObjectsOfTheSystem:
    """The copy lacks the system's own objects; the instances write them again."""

    async def _until_stored(self, site, kind, name):
        async with asyncio.timeout(BOUND_S):
            while (kind, name) not in site.store.objects:
                await asyncio.sleep(0.01)

    async def test_the_record_of_an_instance_is_rewritten(self, site):
        await site.store.start()
        site.store.put("config", "main", configuration())
        snapshot = site.store.copy()
        target = TargetStandIn("t0")
        await site.add_target(target)
        await site.add_instance()
        await self._until_stored(site, "hibiscusstep-instances", "n0")
        site.store.restore(snapshot)
        await self._until_stored(site, "hibiscusstep-instances", "n0")

    async def test_the_quarantine_is_rewritten(self, site):
        await site.start_pool(instances=1)
        snapshot = site.store.copy()
        for _ in range(4):
            await site.wait_for_target(0)
            await site.call("/once/", body=CRASHING)
        await self._until_stored(site, "hibiscusstep-suspects", "requests")
        site.store.restore(snapshot)
        await self._until_stored(site, "hibiscusstep-suspects", "requests")

    async def test_a_restore_is_logged(self, site, caplog):
        caplog.set_level(logging.INFO, "hibiscusstep.decision")
        await site.start_pool(instances=1)
        snapshot = site.store.copy()
        site.store.restore(snapshot)
        async with asyncio.timeout(BOUND_S):
            while not any(r.message == "store-restored" for r in caplog.records):
                await asyncio.sleep(0.01)
        (line,) = [r for r in caplog.records if r.message == "store-restored"]
        assert (line.before, line.era) == (1, 2)
