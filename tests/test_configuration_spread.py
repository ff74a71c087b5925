"""An accepted configuration is in force on all instances in seconds and stays so."""

import asyncio

from cluster import Cluster, configuration, wait_until

from hibiscusstep.configuration.stored import StoredConfiguration
from hibiscusstep.events import EventKind


def versions_in_force(cluster):
    return {instance.in_force.version for instance in cluster._live()}


class TestDistribution:
    async def test_it_reaches_all_instances_with_few_watches(self, tmp_path):
        async with Cluster(tmp_path, instances=6) as cluster:
            before = cluster.platform.calls["watch"]
            version = await cluster.apply(configuration(cluster.targets, deadline=7))
            await wait_until(lambda: versions_in_force(cluster) == {version})
            waiting = sum(
                instance._configuration_updater._watch is not None
                and not instance._configuration_updater._watch.done()
                for instance in cluster._live()
            )
            assert waiting == 2
            assert cluster.platform.calls["watch"] - before <= 8
            cluster.check()

    async def test_a_restart_in_an_outage_gets_the_version_of_a_peer(self, tmp_path):
        async with Cluster(tmp_path) as cluster:
            version = await cluster.apply(configuration(cluster.targets, deadline=7))
            await wait_until(lambda: versions_in_force(cluster) == {version})
            cluster.platform.faults.down = True
            await cluster.kill("e0")
            await cluster.start("e0")
            assert not cluster.instances["e0"].ready
            await wait_until(lambda: versions_in_force(cluster) == {version})
            assert (await cluster.call("e0", "/read")).outcome == "whole"
            cluster.check()

    async def test_a_partitioned_instance_gets_it_later_and_never_goes_back(
        self, tmp_path
    ):
        async with Cluster(tmp_path, instances=4) as cluster:
            cluster.cut_links(["e0"], ["e1", "e2", "e3"])
            newest = 0
            for deadline in (6, 7, 8):
                files = configuration(cluster.targets, deadline=deadline)
                newest = await cluster.apply(files)
            cluster.restore_links()
            await wait_until(lambda: versions_in_force(cluster) == {newest})
            cluster.check()

    async def test_an_invalid_one_is_rejected_and_the_old_stays_in_force(
        self, tmp_path
    ):
        async with Cluster(tmp_path) as cluster:
            before = versions_in_force(cluster)
            await cluster.apply({"bad.json": '{"tiers": 7}'})
            keepers = [instance._configuration_updater for instance in cluster._live()]
            await wait_until(lambda: sum(bool(k._rejected) for k in keepers) == 2)
            assert versions_in_force(cluster) == before
            assert (await cluster.call("e0", "/read")).outcome == "whole"

    async def test_without_a_configuration_an_instance_is_not_ready(self, tmp_path):
        async with Cluster(tmp_path, instances=1) as cluster:
            cluster.platform.faults.down = True
            await cluster.kill("e0")
            await cluster.start("e0")
            reply = await cluster.call("e0", "/read")
            assert reply.status == 503 and reply.outcome == "not run"
            cluster.platform.faults.down = False
            await wait_until(lambda: cluster.instances["e0"].ready)

    async def test_the_change_is_recorded(self, tmp_path):
        async with Cluster(tmp_path) as cluster:
            events = cluster.events(EventKind.CONFIGURATION_IN_FORCE)
            assert len({event.instance for event in events}) == 3


class TestStored:
    def test_drained_targets_are_marked(self):
        files = configuration({"service-0": "127.0.0.1:1", "service-1": "127.0.0.1:2"})
        loaded = StoredConfiguration(files=files, drained=["service-1"]).load()
        marks = {n: t.drained for n, t in loaded.pools["service"].targets.items()}
        assert marks == {"service-0": False, "service-1": True}


class TestClaimShards:
    async def test_a_change_of_the_number_of_claim_shards_is_rejected(self, tmp_path):
        async with Cluster(tmp_path) as cluster:
            before = versions_in_force(cluster)
            await cluster.apply(configuration(cluster.targets, shards=3))
            keepers = [instance._configuration_updater for instance in cluster._live()]
            await wait_until(lambda: sum(bool(k._rejected) for k in keepers) == 2)
            assert versions_in_force(cluster) == before


class TestConcurrentChanges:
    async def test_versions_never_decrease_with_concurrent_writers(self, tmp_path):
        async with Cluster(tmp_path) as cluster:

            async def write(deadline):
                files = configuration(cluster.targets, deadline=deadline)
                while True:
                    try:
                        return await cluster.apply(files)
                    except Exception:
                        await asyncio.sleep(0.01)

            written = await asyncio.gather(*(write(n) for n in range(2, 8)))
            await wait_until(lambda: versions_in_force(cluster) == {max(written)})
            cluster.check()
