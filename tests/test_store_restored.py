"""The store comes back from a copy some seconds old, with lower revisions than before.

What was written since the copy is gone. The operator and the targets write theirs
again; an era that all answers tell rises by one.
"""

import asyncio
import logging
from dataclasses import replace

import pytest
from platform_standin import TargetStandIn, configuration
from test_catalog import BOUND_S, Watched, _entry, watched  # noqa: F401
from test_crashing_requests import CRASHING, CrashingSite

from hibiscusstep.forwarding.catalog import Follow, TargetNews
from hibiscusstep.platform.eras import join_revision
from hibiscusstep.store import Change


async def _grow(watched):  # noqa: F811
    """Let the store's revision and t1's own rise well above a copy's."""
    kept = watched.store.copy()
    for slots in range(3, 9):
        watched.store.put("servers", "t1", _entry(Slots=slots))
    await watched.until(lambda: watched.targets["t1"].slots == 8)
    return kept


class TestTargetsOfARestoredStore:
    async def test_one_that_leaves_since_is_seen_leaving(self, watched):  # noqa: F811
        kept = await _grow(watched)
        watched.store.restore(kept)
        watched.store.put("servers", "t1", _entry("draining"))
        await watched.until(lambda: watched.targets["t1"].leaving)

    async def test_one_that_goes_since_is_gone(self, watched):  # noqa: F811
        kept = await _grow(watched)
        watched.store.restore(kept)
        watched.store.remove("servers", "t1")
        await watched.until(lambda: "t1" not in watched.targets)

    async def test_what_is_written_again_is_taken(self, watched):  # noqa: F811
        kept = await _grow(watched)
        watched.store.restore(kept)
        watched.store.put("servers", "t1", _entry(Slots=5))
        await watched.until(lambda: watched.targets["t1"].slots == 5)

    async def test_revisions_given_out_again_hide_nothing(self, watched):  # noqa: F811
        kept = await _grow(watched)
        before = watched.store.revision
        watched.store.down = True
        watched.store.restore(kept)
        watched.store.put("servers", "fresh", _entry())
        while watched.store.revision <= before:
            watched.store.put("servers", "t2", _entry(Slots=watched.store.revision))
        watched.store.down = False
        await watched.until(lambda: "fresh" in watched.targets)

    async def test_one_that_the_copy_lacks_and_is_written_again_stays(
        self,
        watched,  # noqa: F811
    ):
        kept = watched.store.copy()
        watched.store.put("servers", "new", _entry())
        await watched.until(lambda: "new" in watched.targets)
        seen = []
        watched.catalog._on_targets = lambda targets, _changes: seen.append(targets)
        watched.store.restore(kept)
        watched.store.put("servers", "t3", _entry(Slots=7))
        await watched.until(lambda: seen)
        watched.store.put("servers", "new", _entry(Slots=6))
        await watched.until(lambda: seen[-1]["new"].slots == 6)
        assert all("new" in targets for targets in seen)

    async def test_one_that_the_copy_lacks_is_gone_in_the_end(self, watched):  # noqa: F811
        kept = watched.store.copy()
        watched.store.put("servers", "new", _entry())
        await watched.until(lambda: "new" in watched.targets)
        watched.store.restore(kept)
        await watched.until(lambda: "new" not in watched.targets)

    async def test_one_that_left_does_not_come_back_with_the_copy(
        self,
        watched,  # noqa: F811
    ):
        kept = watched.store.copy()
        watched.store.put("servers", "t1", _entry("draining"))
        await watched.until(lambda: watched.targets["t1"].leaving)
        watched.store.restore(kept)
        watched.store.put("servers", "t2", _entry(Slots=7))
        await watched.until(lambda: watched.targets["t2"].slots == 7)
        assert watched.targets["t1"].leaving

    async def test_a_peer_of_before_does_not_bring_the_old_state_back(
        self,
        watched,  # noqa: F811
    ):
        kept = await _grow(watched)
        old = watched.targets["t1"]
        watched.store.restore(kept)
        watched.store.put("servers", "t1", _entry(Slots=5))
        await watched.until(lambda: watched.targets["t1"].slots == 5)
        watched.catalog.tell(TargetNews((Change("t1", old, old.revision),)))
        watched.store.put("servers", "t9", _entry())
        await watched.until(lambda: "t9" in watched.targets)
        assert watched.targets["t1"].slots == 5


class TestInstanceThatHearsOfTheNewEraFromPeersOnly:
    """It is cut off from the store; what it heard from there is of the era before."""

    async def _cut_off(self, watched):  # noqa: F811
        await _grow(watched)
        old = watched.targets["t1"]
        watched.catalog.tell(Follow(False))
        return old

    async def _hear(self, watched, target):  # noqa: F811
        news = TargetNews((Change("t1", target, target.revision),))
        watched.catalog.tell(news)

    async def test_it_takes_what_they_tell(self, watched):  # noqa: F811
        old = await self._cut_off(watched)
        written_again = replace(old, slots=5, revision=join_revision(2, 4))
        await self._hear(watched, written_again)
        await watched.until(lambda: watched.targets["t1"].slots == 5)

    async def test_late_news_of_the_era_before_change_nothing(self, watched):  # noqa: F811
        old = await self._cut_off(watched)
        leaving = replace(old, leaving=True, revision=join_revision(2, 4))
        await self._hear(watched, leaving)
        await watched.until(lambda: watched.targets["t1"].leaving)
        await self._hear(watched, replace(old, slots=9, revision=old.revision + 7))
        await self._hear(
            watched, replace(leaving, slots=6, revision=leaving.revision + 1)
        )
        await watched.until(lambda: watched.targets["t1"].slots == 6)
        assert watched.targets["t1"].leaving


class TestConfigurationOfARestoredStore:
    async def test_an_older_one_is_not_put_in_force(self, watched):  # noqa: F811
        kept = watched.store.copy()
        watched.store.put("config", "main", configuration(7))
        await watched.until(lambda: watched.tables[-1] == 7)
        watched.store.restore(kept)
        watched.store.put("config", "main", configuration(7))
        watched.store.put("config", "main", configuration(9))
        await watched.until(lambda: watched.tables[-1] == 9)
        assert watched.tables == [3, 7, 9]


class TestEraThatCannotBeRead:
    @pytest.mark.parametrize("era", [None, "", "no number", "-3", "0", "1.5"])
    async def test_loses_nothing(self, watched, era):  # noqa: F811
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


class TestWhatTheSystemWrote:
    """Its own objects are gone with the copy; whoever knows them writes them again."""

    async def _until_stored(self, site, kind, name):
        async with asyncio.timeout(BOUND_S):
            while (kind, name) not in site.store.objects:
                await asyncio.sleep(0.01)

    async def test_the_record_of_an_instance(self, site):
        await site.store.start()
        site.store.put("config", "main", configuration())
        kept = site.store.copy()
        target = TargetStandIn("t0")
        await site.add_target(target)
        await site.add_instance()
        await self._until_stored(site, "hibiscusstep-instances", "n0")
        site.store.restore(kept)
        await self._until_stored(site, "hibiscusstep-instances", "n0")

    async def test_what_is_quarantined(self, site):
        await site.start_pool(instances=1)
        kept = site.store.copy()
        for _ in range(4):
            await site.has_target_up(0)
            await site.call("/once/", body=CRASHING)
        await self._until_stored(site, "hibiscusstep-suspects", "requests")
        site.store.restore(kept)
        await self._until_stored(site, "hibiscusstep-suspects", "requests")

    async def test_a_line_tells_of_it(self, site, caplog):
        caplog.set_level(logging.INFO, "hibiscusstep.decision")
        await site.start_pool(instances=1)
        kept = site.store.copy()
        site.store.restore(kept)
        async with asyncio.timeout(BOUND_S):
            while not any(r.message == "store-restored" for r in caplog.records):
                await asyncio.sleep(0.01)
        (line,) = [r for r in caplog.records if r.message == "store-restored"]
        assert (line.before, line.era) == (1, 2)
