"""No higher tier is shed while a lower tier is served."""

import asyncio

import pytest
from cluster import Cluster, wait_until

from hibiscusstep.events import EventKind

PAUSE_S = 0.35  # more than the clock difference that the checker tolerates


async def overload(
    cluster, tiers=("low", "mid", "high"), each=12, tokens=40, **options
):
    """Send more requests than the pool can serve, lowest tier first."""
    tasks = []
    for tier in tiers:
        tasks += [
            asyncio.create_task(
                cluster.chat(name, f"{tier} {n}", tokens=tokens, tier=tier, **options)
            )
            for n in range(each)
            for name in list(cluster.urls)
        ]
        await asyncio.sleep(PAUSE_S)
    return tasks


def small_cluster(folder, **options):
    options = {"deadline": 1.5, "max_running": 2, **options}
    return Cluster(folder, services=0, engines=2, **options)


class TestOverload:
    async def test_tier_order_across_instances(self, tmp_path):
        async with small_cluster(tmp_path) as cluster:
            replies = await asyncio.gather(*await overload(cluster))
            outcomes = [reply.outcome for reply in replies]
            assert "not run" in outcomes and "whole" in outcomes
            assert all(
                "Retry-After" in reply.headers
                for reply in replies
                if reply.outcome == "not run"
            )
            refused = cluster.events(EventKind.REFUSED)
            assert any(event.tier == "high" for event in refused), (
                "the pool was not overloaded"
            )
            cluster.check()

    async def test_checker_reports_violation_without_the_guard(self, tmp_path):
        settings = {"tier_guard_enabled": False}
        async with small_cluster(tmp_path, settings=settings) as cluster:
            await asyncio.gather(*await overload(cluster))
            assert "tier order" in {f.guarantee for f in cluster.findings()}

    async def test_running_lower_tier_is_stopped(self, tmp_path):
        async with small_cluster(tmp_path) as cluster:
            low = await overload(cluster, ["low"], each=2, tokens=400)
            await wait_until(lambda: len(cluster.events(EventKind.DISPATCHED)) >= 4)
            high = await overload(cluster, ["high"], each=1, tokens=4)
            assert {r.outcome for r in await asyncio.gather(*high)} == {"whole"}
            outcomes = [reply.outcome for reply in await asyncio.gather(*low)]
            assert "failed" in outcomes
            assert cluster.events(EventKind.STOPPED)
            cluster.check()


class TestDispatcherLoss:
    async def test_kill_during_overload(self, tmp_path):
        async with small_cluster(tmp_path, instances=4, deadline=3.0) as cluster:
            tasks = await overload(cluster, each=6, tokens=30)
            await wait_until(lambda: len(cluster.events(EventKind.COMPLETED)) >= 2)
            await cluster.kill(cluster.dispatcher("engine"))
            replies = await asyncio.gather(*tasks)
            assert [r for r in replies if r.outcome == "whole"]
            cluster.check()

    async def test_drain_during_overload_breaks_no_answer(self, tmp_path):
        async with small_cluster(tmp_path, instances=4, deadline=5.0) as cluster:
            tasks = await overload(cluster, each=3, tokens=20)
            await wait_until(lambda: len(cluster.events(EventKind.COMPLETED)) >= 2)
            await cluster.drain(cluster.dispatcher("engine"))
            replies = await asyncio.gather(*tasks)
            assert {reply.outcome for reply in replies} <= {"whole", "not run"}
            cluster.check()

    @pytest.mark.parametrize("heal", [False, True])
    async def test_network_partition(self, tmp_path, heal):
        async with small_cluster(tmp_path, instances=4, deadline=3.0) as cluster:
            tasks = await overload(cluster, each=3, tokens=30)
            cluster.cut_links(["e0", "e1"], ["e2", "e3"])
            if heal:
                await wait_until(lambda: len(cluster._live()[0].view.members) == 2)
                cluster.restore_links()
            replies = await asyncio.gather(*tasks)
            assert "whole" in {reply.outcome for reply in replies}
            cluster.check()
