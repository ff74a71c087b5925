"""A request with a key on a route that is not idempotent is dispatched once at most."""

import asyncio

import pytest
from cluster import Cluster, wait_until

from hibiscusstep.events import EventKind


@pytest.fixture
def folder(tmp_path):
    return tmp_path


async def charge_through_all_instances(cluster, key, times=3):
    return await asyncio.gather(
        *(
            cluster.call(name, key=key)
            for _ in range(times)
            for name in list(cluster.urls)
        )
    )


class TestRepeatedKey:
    async def test_at_once_through_all_instances(self, folder):
        async with Cluster(folder, duration=0.1) as cluster:
            replies = await charge_through_all_instances(cluster, "bib-1")
            assert {reply.outcome for reply in replies} == {"whole"}
            assert len({reply.body for reply in replies}) == 1
            assert len(cluster.events(EventKind.SERVED)) == 1
            cluster.check()

    async def test_checker_reports_repeats_without_claims(self, folder):
        settings = {"claims_enabled": False}
        async with Cluster(folder, settings=settings) as cluster:
            await charge_through_all_instances(cluster, "bib-1")
            promises = {finding.guarantee for finding in cluster.findings()}
            assert "at most once" in promises

    async def test_after_the_holder_was_killed(self, folder):
        async with Cluster(folder, duration=5.0) as cluster:
            first = asyncio.create_task(cluster.call("e0", key="bib-2"))
            await wait_until(lambda: cluster.events(EventKind.SERVED))
            await cluster.kill("e0")
            await cluster.wait_settled()
            reply = await cluster.call("e1", key="bib-2")
            assert reply.outcome == "outcome unknown"
            assert (await first).outcome == "broken"
            assert len(cluster.events(EventKind.SERVED)) == 1
            cluster.check()

    async def test_after_the_first_caller_disconnected(self, folder):
        async with Cluster(folder, duration=0.4) as cluster:
            first = asyncio.create_task(cluster.call("e0", key="bib-3"))
            await wait_until(lambda: cluster.events(EventKind.SERVED))
            first.cancel()
            reply = await cluster.call("e1", key="bib-3")
            assert reply.outcome == "whole"
            assert reply.headers["Idempotency-Replayed"] == "true"
            assert len(cluster.events(EventKind.SERVED)) == 1
            cluster.check()

    async def test_a_broken_target_gives_outcome_unknown_without_repeat(self, folder):
        async with Cluster(folder, duration=5.0, services=1) as cluster:
            first = asyncio.create_task(cluster.call("e0", key="bib-4"))
            await wait_until(lambda: cluster.events(EventKind.SERVED))
            for runner in cluster._runners:
                await runner.cleanup()
            assert (await first).outcome == "outcome unknown"
            assert (await cluster.call("e1", key="bib-4")).outcome == "outcome unknown"
            cluster.check()


class TestPlatformFaults:
    async def test_while_down_requests_are_refused_and_later_run(self, folder):
        async with Cluster(folder, timeout=0.3) as cluster:
            cluster.platform.faults.down = True
            reply = await cluster.call("e0", key="bib-5")
            assert reply.outcome == "not run" and "Retry-After" in reply.headers
            assert (await cluster.call("e0", "/read")).outcome == "whole"
            cluster.platform.faults.down = False

            async def retry():
                return (await cluster.call("e1", key="bib-5")).outcome

            async with asyncio.timeout(20):
                while await retry() != "whole":
                    await asyncio.sleep(0.05)
            assert len(cluster.events(EventKind.SERVED)) == 2
            cluster.check()

    @pytest.mark.parametrize("lost", [1, 2, 5])
    async def test_claims_with_lost_answers_are_read_back(self, folder, lost):
        async with Cluster(folder, timeout=3.0) as cluster:
            cluster.platform.faults.lose_answers = lost
            replies = await charge_through_all_instances(cluster, "bib-6", times=1)
            assert {reply.outcome for reply in replies} == {"whole"}
            assert len(cluster.events(EventKind.SERVED)) == 1
            cluster.check()

    async def test_slow_beyond_the_timeout_is_refused_and_later_runs_once(self, folder):
        async with Cluster(folder, timeout=0.2) as cluster:
            cluster.platform.faults.delay = 0.5
            reply = await cluster.call("e0", key="bib-7")
            assert reply.outcome == "not run"
            cluster.platform.faults.delay = 0.0
            async with asyncio.timeout(20):
                while (await cluster.call("e1", key="bib-7")).outcome != "whole":
                    await asyncio.sleep(0.05)
            assert len(cluster.events(EventKind.SERVED)) == 1
            cluster.check()


class TestPartition:
    async def test_the_two_sides_do_not_both_dispatch(self, folder):
        async with Cluster(folder, instances=4, duration=0.1, timeout=2.0) as cluster:
            cluster.cut_links(["e0", "e1"], ["e2", "e3"])
            await wait_until(
                lambda: all(len(e.view.members) == 2 for e in cluster._live())
            )
            await wait_until(
                lambda: all(
                    cluster.instances[e.view.dispatcher_of("service")]
                    ._dispatcher_host.status("service")
                    .get("recovered")
                    for e in cluster._live()
                )
            )
            replies = [
                await charge_through_all_instances(cluster, f"bib-{number}", times=1)
                for number in range(6)
            ]
            outcomes = {reply.outcome for group in replies for reply in group}
            assert "whole" in outcomes and outcomes <= {"whole", "outcome unknown"}
            assert len(cluster.events(EventKind.SERVED)) == 6
            cluster.check()
