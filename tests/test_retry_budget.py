import asyncio

from cluster import Cluster, wait_until
from hypothesis import given
from hypothesis import strategies as st

from hibiscusstep.events import EventKind
from hibiscusstep.routing.retry_budget import RetryBudget


class TestRetryBudget:
    @given(st.lists(st.booleans(), max_size=300), st.floats(0, 1))
    def test_retries_are_limited_to_a_share_of_first_attempts(self, steps, share):
        budget = RetryBudget(share, reserve=5.0)
        first_attempts = retries = 0
        for is_first in steps:
            if is_first:
                budget.record_request()
                first_attempts += 1
            else:
                retries += budget.try_acquire()
            assert retries <= share * first_attempts + 5.0 + 1e-6

    async def test_reports_a_failure_without_budget(self, tmp_path):
        settings = {"retry_share": 0.0}
        async with Cluster(
            tmp_path, services=0, engines=2, settings=settings
        ) as cluster:
            task = asyncio.create_task(cluster.chat("e0", "why?", tokens=60))
            await wait_until(lambda: cluster.events(EventKind.FIRST_TOKEN))
            target = cluster.events(EventKind.DISPATCHED)[0].target
            await cluster.control(target, dead=True)
            assert (await task).outcome == "failed"
            cluster.check()

    async def test_a_leaving_target_uses_no_budget(self, tmp_path):
        settings = {"retry_share": 0.0}
        async with Cluster(tmp_path, instances=1, settings=settings) as cluster:
            await cluster.control("service-0", leaving=True)
            replies = [await cluster.call("e0", "/read") for _ in range(3)]
            assert {reply.outcome for reply in replies} == {"whole"}
