"""Guards against a request that crashes every target it is sent to.

In a region of eight instances, a request that had crashed three targets was sent to
five more, and another one to seven. Every other request on those targets was
interrupted. The caller retried every second or two, each time with a new request ID and
at any instance, and each attempt was admitted and sent like a new request: an instance
recorded the crash only for the target, and its knowledge of the request ended with the
attempt. All attempts were their callers' first ones, at five instances; after each, the
target refused connections and restarted under another ID.

The tests reproduce this without any other failure.
"""

import asyncio
import itertools

import orjson
import pytest
from platform_standin import TargetStandIn, chunk, event, stream_head
from test_forwarding import BOUND_S, Site

from hibiscusstep.forwarding.suspects import WITH_EVENT_S, WITH_EVENT_WEIGHT

CRASHING = b"a request that crashes its target"
DOWN_S = 0.2
# Three crashes quarantine the request; three more attempts may be in flight by then.
MAX_CRASHES = 6
ATTEMPTS = 12


class CrashingSite(Site):
    """A region whose targets crash on one request body and restart after `DOWN_S`."""

    def __init__(self, *args):
        super().__init__(*args)
        self.crashes = 0
        self.answers_before_crash = False
        self._restart_tasks = []
        self._names = (f"again{n}" for n in itertools.count())

    async def start_pool(self, targets=4, instances=2):
        await self.start(*(TargetStandIn(f"t{n}", self.run) for n in range(targets)))
        for _ in range(1, instances):
            await self.add_instance()
        async with asyncio.timeout(BOUND_S):
            while any(i.view.size < instances for i in self.instances):
                await asyncio.sleep(0.01)
        for target in self.targets:
            self._restart_tasks.append(
                asyncio.create_task(self._restart_after_crashes(target))
            )

    def run(self, _number, fields, body):
        if body != CRASHING:
            return [stream_head(fields), 0.05, chunk(event(0)), chunk(b"")]
        self.crashes += 1
        begun = [stream_head(fields), chunk(event(0)), 0.01]
        return [*(begun if self.answers_before_crash else ()), "crash"]

    async def _restart_after_crashes(self, target):
        while True:
            await target.crashed.wait()
            await asyncio.sleep(DOWN_S)
            self.store.remove("servers", target.name)
            await target.restart_as(next(self._names))
            self.store.put("servers", target.name, target.entry("pool-a"))

    async def wait_for_target(self, instance):
        """Wait until an instance knows a running target."""
        async with asyncio.timeout(BOUND_S):
            while True:
                up = {t.name for t in self.targets if not t.crashed.is_set()}
                if up & self.instances[instance].targets.keys():
                    return
                await asyncio.sleep(0.01)

    async def stop(self):
        for task in self._restart_tasks:
            task.cancel()
        await asyncio.gather(*self._restart_tasks, return_exceptions=True)
        await super().stop()


@pytest.fixture
async def site(tmp_path, monkeypatch):
    site = CrashingSite(tmp_path, monkeypatch)
    yield site
    await site.stop()


class TestCrashingRequest:
    async def _send_repeatedly(self, site, instances, times=ATTEMPTS):
        """Send the crashing request to the instances in turn; return the statuses."""
        statuses = []
        for instance in itertools.islice(itertools.cycle(instances), times):
            await site.wait_for_target(instance)
            call = site.call("/once/", instance=instance, body=CRASHING)
            statuses.append((await call)[0])
        return statuses

    async def test_reaches_few_targets_despite_many_retries(self, site):
        await site.start_pool()
        statuses = await self._send_repeatedly(site, [0, 1])
        assert set(statuses) <= {502, 503}
        assert site.crashes <= MAX_CRASHES

    async def test_is_known_to_a_new_instance(self, site):
        await site.start_pool()
        await self._send_repeatedly(site, [0, 1])
        await site.add_instance()
        await self._send_repeatedly(site, [2])
        assert site.crashes <= MAX_CRASHES

    async def test_is_known_after_a_restart_of_all(self, site):
        await site.start_pool()
        await self._send_repeatedly(site, [0, 1])
        async with asyncio.timeout(BOUND_S):
            while ("hibiscusstep-suspects", "requests") not in site.store.objects:
                await asyncio.sleep(0.01)
        for number in range(2):
            await site.end_instance(number)
        await site.add_instance()
        async with asyncio.timeout(BOUND_S):
            while not site.instances[2].quarantine.quarantined_count:
                await asyncio.sleep(0.01)
        await self._send_repeatedly(site, [2])
        assert site.crashes <= MAX_CRASHES

    async def test_its_refusal_gives_reason_and_retry_after(self, site):
        await site.start_pool(instances=1)
        await self._send_repeatedly(site, [0], times=4)
        crashes = site.crashes
        status, fields, body = await site.call("/once/", body=CRASHING)
        problem = orjson.loads(body)
        assert (status, problem["status"], site.crashes) == (503, 503, crashes)
        assert fields["Content-Type"].startswith("application/problem+json")
        assert "quarantined" in problem["title"]
        assert float(fields["Retry-After"]) > 60

    async def test_an_operator_can_list_and_clear_it(self, site):
        await site.start_pool(instances=1)
        await self._send_repeatedly(site, [0], times=4)
        url = f"http://{site.instances[0].metrics_address}/quarantine"
        async with site.session.get(url) as response:
            (entry,) = (await response.json())["requests"]
        assert entry["quarantined"]
        assert len(entry["seconds_since"]) >= 3
        one = f"{url}/{entry['fingerprint']}"
        async with site.session.delete(one) as response:
            assert response.status == 204
        async with site.session.delete(one) as response:
            assert response.status == 404
        async with site.session.delete(f"{url}/nonsense") as response:
            assert response.status == 400
        assert not site.instances[0].quarantine.quarantined_count

    async def test_retries_by_an_instance_count_as_well(self, site):
        await site.start_pool(instances=1)
        for _ in range(3):
            await site.wait_for_target(0)
            await site.call("/safe/", body=CRASHING)
        assert site.crashes <= 3


class TestCrashWithFirstEvent:
    """Guards against a request that was held back after eight crashes, not three.

    Its targets crashed with the first event of its response, three of them at once.
    """

    async def test_reaches_few_targets(self, site):
        site.answers_before_crash = True
        await site.start_pool(targets=6, instances=3)
        calls = [site.call("/stream/", body=CRASHING, instance=n) for n in range(3)]
        await asyncio.gather(*calls)
        for number in range(ATTEMPTS):
            await site.wait_for_target(number % 3)
            await site.call("/stream/", body=CRASHING, instance=number % 3)
        assert site.crashes <= MAX_CRASHES

    async def test_counts_as_such_while_the_path_is_checked(self, site, monkeypatch):
        """Guards against a crash that weighs less the longer the check takes."""
        monkeypatch.setattr(f"{__name__}.DOWN_S", BOUND_S)
        site.answers_before_crash = True
        await site.start_pool(instances=1)
        (instance,) = site.instances

        async def is_path_lost(name, address):
            await asyncio.sleep(2 * WITH_EVENT_S)
            return False

        monkeypatch.setattr(instance._connections, "is_path_lost", is_path_lost)
        await site.call("/stream/", body=CRASHING)
        async with asyncio.timeout(BOUND_S):
            while not instance.quarantine.suspected_count:
                await asyncio.sleep(0.01)
        (suspect,) = instance.quarantine._table.suspected
        assert suspect.weight == WITH_EVENT_WEIGHT


class TestConcurrentRequests:
    async def test_are_served_and_not_quarantined(self, site):
        """Interrupted streams resume on other targets, in each of several rounds."""
        await site.start_pool(instances=1)
        bodies = [b"sound %d" % n for n in range(4)]
        for _ in range(5):
            await site.wait_for_target(0)
            sound = [site.call("/resume/", body=body) for body in bodies]
            statuses = await asyncio.gather(*sound, self._send_crashing(site))
            assert set(statuses[-1:]) <= {502, 503}
        assert site.instances[0].quarantine.quarantined_count == 1
        for body in bodies:
            await site.wait_for_target(0)
            assert (await site.call("/resume/", body=body))[0] == 200

    async def _send_crashing(self, site):
        return (await site.call("/once/", body=CRASHING))[0]

    async def test_resets_are_no_crashes(self, site):
        def reset(_number, fields, _body):
            return [stream_head(fields), chunk(event(0)), "reset"]

        await site.start(*(TargetStandIn(f"t{n}", reset) for n in range(3)))
        for _ in range(6):
            await site.call("/resume/", body=b"sound")
        assert site.instances[0].quarantine.is_empty
