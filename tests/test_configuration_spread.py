"""An accepted configuration is in force everywhere within seconds, for good."""

import asyncio

from cluster import Cluster, configuration, until

from hibiscusstep.configuration.stored import Stored
from hibiscusstep.events import EventKind


def versions(cluster):
    return {entry.in_force.version for entry in cluster._live()}


class TestSpread:
    async def test_reaches_all_with_few_watches(self, tmp_path):
        async with Cluster(tmp_path, instances=6) as cluster:
            before = cluster.platform.calls["watch"]
            version = await cluster.apply(configuration(cluster.targets, deadline=7))
            await until(lambda: versions(cluster) == {version})
            waiting = sum(
                entry._keeper._watch is not None and not entry._keeper._watch.done()
                for entry in cluster._live()
            )
            assert waiting == 2
            assert cluster.platform.calls["watch"] - before <= 8
            cluster.check()

    async def test_a_restart_in_an_outage_takes_the_peers_version(self, tmp_path):
        async with Cluster(tmp_path) as cluster:
            version = await cluster.apply(configuration(cluster.targets, deadline=7))
            await until(lambda: versions(cluster) == {version})
            cluster.platform.faults.down = True
            await cluster.kill("e0")
            await cluster.start("e0")
            assert not cluster.entries["e0"].ready
            await until(lambda: versions(cluster) == {version})
            assert (await cluster.call("e0", "/read")).outcome == "whole"
            cluster.check()

    async def test_one_cut_off_hears_it_later_and_never_goes_back(self, tmp_path):
        async with Cluster(tmp_path, instances=4) as cluster:
            cluster.cut(["e0"], ["e1", "e2", "e3"])
            newest = 0
            for deadline in (6, 7, 8):
                files = configuration(cluster.targets, deadline=deadline)
                newest = await cluster.apply(files)
            cluster.heal()
            await until(lambda: versions(cluster) == {newest})
            cluster.check()

    async def test_an_unreadable_one_is_refused_and_the_old_stays(self, tmp_path):
        async with Cluster(tmp_path) as cluster:
            before = versions(cluster)
            await cluster.apply({"bad.json": '{"tiers": 7}'})
            keepers = [entry._keeper for entry in cluster._live()]
            await until(lambda: sum(bool(k._rejected) for k in keepers) == 2)
            assert versions(cluster) == before
            assert (await cluster.call("e0", "/read")).outcome == "whole"

    async def test_without_any_an_instance_is_not_ready(self, tmp_path):
        async with Cluster(tmp_path, instances=1) as cluster:
            cluster.platform.faults.down = True
            await cluster.kill("e0")
            await cluster.start("e0")
            reply = await cluster.call("e0", "/read")
            assert reply.status == 503 and reply.outcome == "not run"
            cluster.platform.faults.down = False
            await until(lambda: cluster.entries["e0"].ready)

    async def test_it_is_recorded(self, tmp_path):
        async with Cluster(tmp_path) as cluster:
            events = cluster.events(EventKind.CONFIGURATION_IN_FORCE)
            assert len({event.instance for event in events}) == 3


class TestStored:
    def test_drained_targets_are_marked(self):
        files = configuration({"service-0": "127.0.0.1:1", "service-1": "127.0.0.1:2"})
        loaded = Stored(files=files, drained=["service-1"]).load()
        marks = {n: t.drained for n, t in loaded.pools["service"].targets.items()}
        assert marks == {"service-0": False, "service-1": True}


class TestShards:
    async def test_a_change_that_would_forget_keys_is_refused(self, tmp_path):
        async with Cluster(tmp_path) as cluster:
            before = versions(cluster)
            await cluster.apply(configuration(cluster.targets, shards=3))
            keepers = [entry._keeper for entry in cluster._live()]
            await until(lambda: sum(bool(k._rejected) for k in keepers) == 2)
            assert versions(cluster) == before


class TestRace:
    async def test_versions_only_go_up_under_many_writers(self, tmp_path):
        async with Cluster(tmp_path) as cluster:

            async def write(deadline):
                files = configuration(cluster.targets, deadline=deadline)
                while True:
                    try:
                        return await cluster.apply(files)
                    except Exception:
                        await asyncio.sleep(0.01)

            written = await asyncio.gather(*(write(n) for n in range(2, 8)))
            await until(lambda: versions(cluster) == {max(written)})
            cluster.check()
