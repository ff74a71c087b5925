"""A higher tier is never shed while a lower one is still served."""

import asyncio

import pytest
from cluster import Cluster, until

from hibiscusstep.events import EventKind

PAUSE_S = 0.35  # longer than the checker's slack between clocks


async def overload(
    cluster, tiers=("low", "mid", "high"), each=12, tokens=40, **options
):
    """Send more than the pool can serve, through all instances, lowest tier first."""
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


def small(folder, **options):
    options = {"deadline": 1.5, "max_running": 2, **options}
    return Cluster(folder, services=0, engines=2, **options)


class TestOverload:
    async def test_through_all_instances(self, tmp_path):
        async with small(tmp_path) as cluster:
            replies = await asyncio.gather(*await overload(cluster))
            outcomes = [reply.outcome for reply in replies]
            assert "not run" in outcomes and "whole" in outcomes
            assert all(
                "Retry-After" in reply.headers
                for reply in replies
                if reply.outcome == "not run"
            )
            refused = cluster.events(EventKind.REFUSED)
            assert any(event.tier == "high" for event in refused), "not an overload"
            cluster.check()

    async def test_without_the_guard_the_checker_finds_it(self, tmp_path):
        settings = {"tier_guard_enabled": False}
        async with small(tmp_path, settings=settings) as cluster:
            await asyncio.gather(*await overload(cluster))
            assert "tier order" in {f.guarantee for f in cluster.findings()}

    async def test_lower_running_work_is_stopped_for_higher(self, tmp_path):
        async with small(tmp_path) as cluster:
            low = await overload(cluster, ["low"], each=2, tokens=400)
            await until(lambda: len(cluster.events(EventKind.DISPATCHED)) >= 4)
            high = await overload(cluster, ["high"], each=1, tokens=4)
            assert {r.outcome for r in await asyncio.gather(*high)} == {"whole"}
            outcomes = [reply.outcome for reply in await asyncio.gather(*low)]
            assert "failed" in outcomes
            assert cluster.events(EventKind.STOPPED)
            cluster.check()


class TestDispatcherLost:
    async def test_killed_in_an_overload(self, tmp_path):
        async with small(tmp_path, instances=4, deadline=3.0) as cluster:
            tasks = await overload(cluster, each=6, tokens=30)
            await until(lambda: len(cluster.events(EventKind.COMPLETED)) >= 2)
            await cluster.kill(cluster.dispatcher("engine"))
            replies = await asyncio.gather(*tasks)
            assert [r for r in replies if r.outcome == "whole"]
            cluster.check()

    async def test_drained_in_an_overload_cuts_nothing(self, tmp_path):
        async with small(tmp_path, instances=4, deadline=5.0) as cluster:
            tasks = await overload(cluster, each=3, tokens=20)
            await until(lambda: len(cluster.events(EventKind.COMPLETED)) >= 2)
            await cluster.drain(cluster.dispatcher("engine"))
            replies = await asyncio.gather(*tasks)
            assert {reply.outcome for reply in replies} <= {"whole", "not run"}
            cluster.check()

    @pytest.mark.parametrize("heal", [False, True])
    async def test_instances_cut_in_two(self, tmp_path, heal):
        async with small(tmp_path, instances=4, deadline=3.0) as cluster:
            tasks = await overload(cluster, each=3, tokens=30)
            cluster.cut(["e0", "e1"], ["e2", "e3"])
            if heal:
                await until(lambda: len(cluster._live()[0].view.members) == 2)
                cluster.heal()
            replies = await asyncio.gather(*tasks)
            assert "whole" in {reply.outcome for reply in replies}
            cluster.check()
