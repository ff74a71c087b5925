"""Guards against callers that fail because their instance reaches no target.

Instances were partitioned from all targets for 12 s while callers, the store and the
other instances reached them. They served 3 of 93 first attempts, the others 124 of 138:
a request had no way but the direct one, and what the partitioned instances could not
reach was taken to be unreachable for all.
"""

import asyncio

import pytest
from partitioned_network import CONTACT_S, Cut, PartitionedSite, count_served

ALL_CUTS = pytest.mark.parametrize("cut", Cut, ids=lambda cut: cut.name.lower())


@pytest.fixture
async def site(tmp_path, monkeypatch):
    site = PartitionedSite(tmp_path, monkeypatch)
    yield site
    await site.stop()


async def play(site, cut, partitioned, path="/once/", per_s=40.0):
    """Return served and all requests at partitioned instances, then at others."""
    await site.load(1.0, per_s, path)
    site.network.cut(cut, partitioned)
    await site.load(CONTACT_S, per_s, path)
    results = await site.load(3.0, per_s, path)
    others = set(range(len(site.instances))) - partitioned
    return *count_served(results, partitioned), *count_served(results, others)


def assert_served(served, sent, others_served, others):
    """Check that partitioned instances serve their callers nearly as the others do."""
    failed, allowed = sent - served, 10 + (sent + others) / 50
    assert failed <= allowed or served * others >= 2 / 3 * others_served * sent
    assert others_served == others


class TestPartitionFromAllTargets:
    """A rule of the platform holds from `CONTACT_S` after a partition began."""

    @ALL_CUTS
    @pytest.mark.parametrize("partitioned", [{1}, {0, 1, 2}], ids=["one", "most"])
    async def test_callers_of_partitioned_instances_are_served(
        self, site, monkeypatch, cut, partitioned
    ):
        await site.begin(monkeypatch)
        assert_served(*await play(site, cut, partitioned))
        assert max(site.runs.values()) == 1

    @pytest.mark.parametrize("cut", [Cut.HANG, Cut.RESET], ids=["hang", "reset"])
    async def test_streams_of_partitioned_instances_are_served(
        self, site, monkeypatch, cut
    ):
        await site.begin(monkeypatch)
        assert_served(*await play(site, cut, {0, 1, 2}, "/stream/"))

    @ALL_CUTS
    async def test_all_are_served_after_its_end(self, site, monkeypatch, cut):
        await site.begin(monkeypatch)
        site.network.cut(cut, {0, 1, 2})
        await site.load(1.0)
        site.network.heal()
        await asyncio.sleep(1.0)
        results = await site.load(1.0)
        assert all(status == 200 for _number, status in results)


class TestChangingPartition:
    """Partitions that move on or come and go faster than they are noticed."""

    @pytest.mark.parametrize(
        "cuts, pause_s",
        [([{0}, {1}, {2}, {0, 1}], 0.8), ([{0, 1}, set()] * 8, 0.1)],
        ids=["moves", "flaps"],
    )
    @pytest.mark.parametrize("cut", [Cut.RESET, Cut.REFUSE, Cut.HANG])
    async def test_no_request_runs_twice(self, site, monkeypatch, cut, cuts, pause_s):
        await site.begin(monkeypatch)
        load = asyncio.create_task(site.load(len(cuts) * pause_s + 0.5))
        for partitioned in cuts:
            site.network.heal()
            site.network.cut(cut, partitioned)
            await asyncio.sleep(pause_s)
        site.network.heal()
        await load
        assert max(site.runs.values()) == 1
        await asyncio.sleep(1.0)
        results = await site.load(1.0)
        assert all(status == 200 for _number, status in results)


class TestDataCentre:
    """All instances of a large data centre are partitioned, two elsewhere are not.

    Guards against asking only instances of the own data centre: at first they do not
    know that they are partitioned too, and confirm that a target is unreachable.
    """

    @pytest.mark.timeout(120)
    @pytest.mark.parametrize("cut", [Cut.HANG, Cut.RESET, Cut.REFUSE])
    async def test_its_callers_are_served(self, site, monkeypatch, cut):
        await site.begin(monkeypatch, 14, data_centres=["a"] * 12 + ["b"] * 2)
        assert_served(*await play(site, cut, set(range(12)), per_s=80.0))
        assert max(site.runs.values()) == 1


class TestTargetThatEnds:
    """Guards against taking one target that is down for all of them.

    An instance that reaches targets through others only refused its callers as soon as
    one target was down, since its own direct connections fail everywhere.
    """

    @pytest.mark.parametrize("cut", [Cut.HANG, Cut.RESET])
    async def test_others_serve_its_requests(self, site, monkeypatch, cut):
        await site.begin(monkeypatch, instances=3)
        site.network.cut(cut, {0})
        await site.load(2.0)
        site.targets[0].crash()
        results = await site.load(1.0, per_s=60.0)
        assert all(status == 200 for _number, status in results)


class TestHeldSlots:
    """Guards against slots that are held by requests that hang on lost paths.

    Their targets have ended them long before, but instances that reached the targets
    were refused for load meanwhile, for up to four seconds.
    """

    AFTER_S = 1.0

    @pytest.mark.parametrize(
        "path, fields", [("/once/", {}), ("/stream/", {"events": "3"})]
    )
    async def test_are_free_for_others_soon(self, site, monkeypatch, path, fields):
        await site.begin(monkeypatch, instances=2, targets=2, work_s=0.2)
        await site.load(2.0, path=path)
        runs = site.runs.total()
        fields = {**fields, "X-Request-Deadline-Ms": "20000"}
        hanging = [asyncio.create_task(site.call(path, **fields)) for _ in range(8)]
        async with asyncio.timeout(CONTACT_S):
            while site.runs.total() < runs + len(hanging):
                await asyncio.sleep(0.01)
        site.network.cut(Cut.HANG, {0})
        await asyncio.sleep(self.AFTER_S)
        try:
            statuses = await asyncio.gather(
                *(site.call_in_time(1, path) for _ in range(len(hanging)))
            )
        finally:
            for call in hanging:
                call.cancel()
            await asyncio.gather(*hanging, return_exceptions=True)
        assert statuses == [200] * len(hanging)
