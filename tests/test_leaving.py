"""Leaving targets get no new requests; a shutdown interrupts no request."""

import asyncio

import pytest
from cluster import Cluster, configuration, wait_until

from hibiscusstep.events import EventKind


async def keep_calling(cluster, stop, replies, **options):
    """Call through all instances until `stop` is set."""
    while not stop.is_set():
        for name in list(cluster.instances):
            replies.append(await cluster.call(name, "/read", **options))


class TestLeavingTarget:
    @pytest.mark.parametrize("how", ["operator's mark", "target's notice"])
    async def test_gets_no_new_requests(self, tmp_path, how):
        async with Cluster(tmp_path) as cluster:
            stop, replies = asyncio.Event(), []
            caller = asyncio.create_task(keep_calling(cluster, stop, replies))
            await wait_until(lambda: len(replies) > 20)
            cluster.record_event(EventKind.TARGET_LEAVING, target="service-0")
            if how == "operator's mark":
                files = configuration(cluster.targets)
                await cluster.apply(files, drained=["service-0"])
            else:
                await cluster.control("service-0", leaving=True)
            # The bound within which a leaving target must be avoided.
            await asyncio.sleep(3.2)
            seen = len(replies)
            await wait_until(lambda: len(replies) > seen + 30)
            stop.set()
            await caller
            assert {reply.outcome for reply in replies} == {"whole"}
            cluster.check()

    async def test_rejected_requests_are_retried_even_if_not_idempotent(self, tmp_path):
        async with Cluster(tmp_path, instances=1, duration=0.1) as cluster:
            await cluster.control("service-0", leaving=True)
            replies = await asyncio.gather(
                *(cluster.call("e0", key=f"k{n}") for n in range(9))
            )
            assert {reply.outcome for reply in replies} == {"whole"}
            cluster.check()


class TestShutdown:
    async def test_interrupts_no_request(self, tmp_path):
        async with Cluster(tmp_path, duration=0.5, deadline=20.0) as cluster:
            tasks = [
                asyncio.create_task(cluster.call(name, key=f"{name}-{n}"))
                for n in range(8)
                for name in cluster.urls
            ]
            await wait_until(lambda: len(cluster.events(EventKind.RECEIVED)) == 24)
            await cluster.drain("e1")
            assert {r.outcome for r in await asyncio.gather(*tasks)} == {"whole"}
            cluster.check()

    async def test_without_platform_and_peers(self, tmp_path):
        async with Cluster(tmp_path, duration=0.5, deadline=20.0) as cluster:
            tasks = [
                asyncio.create_task(cluster.call("e1", "/read")) for _ in range(12)
            ]
            await wait_until(lambda: len(cluster.events(EventKind.RECEIVED)) == 12)
            cluster.platform.faults.down = True
            cluster.cut_links(["e1"], ["e0", "e2"])
            await cluster.drain("e1")
            assert {r.outcome for r in await asyncio.gather(*tasks)} == {"whole"}
            cluster.check()

    async def test_new_requests_are_refused_as_not_run(self, tmp_path):
        async with Cluster(tmp_path, duration=1.0) as cluster:
            running = asyncio.create_task(cluster.call("e1"))
            await wait_until(lambda: cluster.events(EventKind.SERVED))
            instance = cluster.instances["e1"]
            draining = asyncio.create_task(instance.drain())
            await wait_until(lambda: instance._caller_server._draining)
            assert not instance.ready
            late = await cluster.call("e1")
            assert late.status == 503 and late.outcome == "not run"
            assert (await running).outcome == "whole"
            await draining
            cluster.check()
