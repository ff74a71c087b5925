"""Rollout orders end to end, with instances, a store and targets."""

import asyncio
import contextlib
import logging
from collections import Counter

import pytest
from platform_standin import TargetStandIn, answer
from test_forwarding import BOUND_S, Site

POOL = "pool-a"
SLOTS = 4
CALLERS = 8
# Limit on the requests to a bad version: a tenth of all, and fifty.
SHARE, SLACK = 0.1, 50


class RolloutSite(Site):
    """A region with targets of two versions in its pool, and continuous callers."""

    def __init__(self, *args):
        super().__init__(*args)
        self.requests_run = Counter()
        self.calls = 0
        self.statuses = Counter()
        self.fails = lambda number: False
        self._callers = []
        # Operators order rollouts here, as the settings of such deployments tell.
        self.bounds = {"ExposureShare": SHARE, "ExposureSlack": SLACK}

    def target(self, name, version):
        return TargetStandIn(name, self._script(version), version=version)

    def _script(self, version):
        def run(number, fields, _body):
            self.requests_run[version] += 1
            failed = version == "v2" and self.fails(number)
            return [0.004, answer(fields, status=500 if failed else 200)]

        return run

    async def start_pool(self, instances=2, old=3, new=2):
        await self.start(*(self.target(f"old{n}", "v1") for n in range(old)))
        for _ in range(1, instances):
            await self.add_instance()
        async with asyncio.timeout(BOUND_S):
            while any(i.view.size < instances for i in self.instances):
                await asyncio.sleep(0.01)
        await self.add_new(new)

    async def add_new(self, count):
        for n in range(count):
            await self.add_target(self.target(f"new{n}", "v2"))
        async with asyncio.timeout(BOUND_S):
            while any(len(i.targets) < len(self.targets) for i in self.running):
                await asyncio.sleep(0.01)

    @property
    def running(self):
        pairs = zip(self.instances, self._tasks, strict=True)
        return [instance for instance, task in pairs if not task.done()]

    def begin_calls(self):
        self._callers = [asyncio.create_task(self._call()) for _ in range(CALLERS)]

    async def _call(self):
        while True:
            self.calls += 1
            number = self.instances.index(self.running[self.calls % len(self.running)])
            with contextlib.suppress(OSError, TimeoutError, Exception):
                status, _, _ = await self.call("/once/", instance=number)
                self.statuses[status] += 1
            await asyncio.sleep(0.002)

    async def until_status(self, *states):
        async with asyncio.timeout(BOUND_S):
            while self.store.rollout_status(POOL).get("State") not in states:
                await asyncio.sleep(0.01)
        return self.store.rollout_status(POOL)

    async def until_old_has_run(self, more=100):
        """Wait until the old version has run `more` further requests."""
        old = self.requests_run["v1"]
        await self.until(lambda: self.requests_run["v1"] >= old + more)

    async def until(self, condition):
        async with asyncio.timeout(BOUND_S):
            while not condition():
                await asyncio.sleep(0.01)

    async def stop(self):
        for caller in self._callers:
            caller.cancel()
        await asyncio.gather(*self._callers, return_exceptions=True)
        await super().stop()


@pytest.fixture
async def site(tmp_path, monkeypatch):
    site = RolloutSite(tmp_path, monkeypatch)
    yield site
    await site.stop()


class TestVersionWithoutOrder:
    async def test_receives_nothing(self, site, caplog):
        caplog.set_level(logging.INFO)
        await site.start_pool(instances=1)
        for _ in range(30):
            assert (await site.call("/once/"))[0] == 200
        assert site.requests_run == {"v1": 30}
        assert any(r.message == "version-barred" for r in caplog.records)

    async def test_receives_nothing_from_an_instance_that_starts_later(self, site):
        await site.start_pool(instances=1, old=1, new=3)
        await site.add_instance()
        for _ in range(30):
            await site.call("/once/", instance=1)
        assert site.requests_run["v2"] == 0


class TestGoodVersion:
    async def test_is_completed_in_time_and_receives_all(self, site):
        await site.start_pool()
        site.begin_calls()
        site.store.order_rollout(POOL, "v2", 4.0)
        status = await site.until_status("running", "completed")
        assert status == {"State": "running", "To": "v2"}
        assert await site.until_status("completed") == {
            "State": "completed",
            "To": "v2",
        }
        await site.until(
            lambda: all(_serving_versions(i) == {"v2"} for i in site.running)
        )
        old, new = site.requests_run["v1"], site.requests_run["v2"]
        await site.until(lambda: site.requests_run["v2"] >= new + 50)
        # Requests granted before the completion may still arrive.
        assert site.requests_run["v1"] <= old + CALLERS

    async def test_goes_on_when_its_dispatcher_ends(self, site):
        await site.start_pool()
        site.begin_calls()
        site.store.order_rollout(POOL, "v2", 8.0)
        await site.until(lambda: site.requests_run["v2"] >= 10)
        dispatcher = site.instances[0].view.dispatcher_of(POOL)
        await site.end_instance(int(dispatcher[1:]))
        assert (await site.until_status("completed"))["To"] == "v2"

    async def test_is_already_current(self, site):
        await site.start_pool(instances=1, new=0)
        site.store.order_rollout(POOL, "v1", 5.0)
        assert await site.until_status("completed") == {
            "State": "completed",
            "To": "v1",
        }
        assert (await site.call("/once/"))[0] == 200


class TestOperatorView:
    async def test_the_endpoint_and_metrics_show_the_order(self, site):
        await site.start_pool(instances=1)
        site.begin_calls()
        site.store.order_rollout(POOL, "v2", 30.0)
        await site.until(lambda: site.requests_run["v2"] >= 5)
        address = f"http://{site.instances[0].metrics_address}"
        async with site.session.get(f"{address}/rollouts") as response:
            pools = (await response.json())["pools"]
        (shown,) = [entry for entry in pools if entry["pool"] == POOL]
        assert (shown["serving"], shown["order"]) == (["v1"], "v2")
        assert shown["here"]["phase"] == "canary"
        assert 0 < shown["here"]["exposed"] <= shown["here"]["requests"]
        async with site.session.get(f"{address}/metrics") as response:
            text = await response.text()
        assert 'rollout_exposed{pool="pool-a",version="v2"}' in text
        assert 'version="v2"' in text

    async def test_each_step_is_logged(self, site, caplog):
        caplog.set_level(logging.INFO)
        await site.start_pool(instances=1)
        site.begin_calls()
        site.store.order_rollout(POOL, "v2", 3.0)
        await site.until_status("completed", "rolled_back")
        seen = {record.message for record in caplog.records}
        assert {
            "rollout-ordered",
            "rollout-progress",
            "rollout-verdict",
            "rollout-status-written",
        } <= seen


class TestBadVersion:
    async def test_is_rolled_back_after_few_requests(self, site):
        site.fails = lambda number: number % 2 == 0
        await site.start_pool()
        site.begin_calls()
        site.store.order_rollout(POOL, "v2", 6.0)
        assert (await site.until_status("rolled_back"))["To"] == "v2"
        received = site.requests_run["v2"]
        assert received <= SHARE * (received + site.requests_run["v1"]) + SLACK
        await site.until_old_has_run()
        assert site.requests_run["v2"] <= received + 1

    async def test_receives_nothing_while_the_store_is_unreachable(self, site):
        site.fails = lambda number: number % 2 == 0
        await site.start_pool()
        site.begin_calls()
        site.store.order_rollout(POOL, "v2", 10.0)
        await site.until_status("running")
        site.store.down = True
        dispatcher = next(
            i for i in site.instances if i.view.dispatcher_of(POOL) == i._settings.name
        )
        await site.until(lambda: dispatcher._rollouts.version_table[POOL].is_rejected)
        received = site.requests_run["v2"]
        await site.until_old_has_run()
        assert site.requests_run["v2"] <= received + SLOTS
        site.store.down = False
        await site.until_status("rolled_back")

    async def test_receives_nothing_after_all_instances_restarted(self, site):
        site.fails = lambda number: number % 2 == 0
        await site.start_pool()
        site.begin_calls()
        site.store.order_rollout(POOL, "v2", 10.0)
        await site.until_status("rolled_back")
        received = site.requests_run["v2"]
        for number in range(2):
            await site.add_instance()
            await site.end_instance(number)
        await site.until_old_has_run()
        assert site.requests_run["v2"] <= received + 1

    async def test_may_be_ordered_again(self, site):
        site.fails = lambda number: number % 2 == 0
        await site.start_pool()
        site.begin_calls()
        site.store.order_rollout(POOL, "v2", 6.0)
        await site.until_status("rolled_back")
        site.fails = lambda number: False
        site.store.order_rollout(POOL, "v2", 5.0)
        await site.until_status("completed")


class TestOrderThatCannotBeCarriedOut:
    async def test_to_a_version_without_targets(self, site):
        await site.start_pool(instances=1, new=0)
        site.store.order_rollout(POOL, "v9", 1.0)
        assert (await site.until_status("rolled_back"))["To"] == "v9"
        assert (await site.call("/once/"))[0] == 200

    async def test_withdrawn_while_running(self, site):
        await site.start_pool()
        site.begin_calls()
        site.store.order_rollout(POOL, "v2", 20.0)
        await site.until(lambda: site.requests_run["v2"] >= 5)
        site.store.remove("rollouts", POOL)
        await site.until(
            lambda: (
                not any(i._rollouts.version_table.running_pools for i in site.running)
            )
        )
        received = site.requests_run["v2"]
        await site.until_old_has_run()
        assert site.requests_run["v2"] <= received + SLOTS

    @pytest.mark.parametrize(
        "spec",
        [
            {},
            None,
            {"Service": POOL, "To": "v2"},
            {"Service": POOL, "To": "v2", "DurationS": 0},
            {"Service": POOL, "To": "v2", "DurationS": 10**9},
            {"Service": POOL, "To": "v2", "DurationS": "12"},
            {"Service": POOL, "To": 2, "DurationS": 12},
            {"Service": "another", "To": "v2", "DurationS": 12},
            {"Service": POOL, "To": "", "DurationS": 12},
            ["Service"],
        ],
    )
    async def test_malformed_is_logged_and_ignored(self, site, spec, caplog):
        await site.start_pool(instances=1)
        site.store.put("rollouts", POOL, spec)
        await site.until(
            lambda: any(
                r.message == "object left out" and r.kind == "rollouts"
                for r in caplog.records
            )
        )
        assert (await site.call("/once/"))[0] == 200
        assert site.requests_run["v2"] == 0
        assert site.store.rollout_status(POOL) == {}

    async def test_of_an_unknown_pool(self, site):
        await site.start_pool(instances=1)
        site.store.order_rollout("no-such-pool", "v2", 5.0)
        site.store.order_rollout(POOL, "v1", 5.0)
        await site.until_status("completed")


class TestRestoredStore:
    async def test_the_status_is_written_again_after_a_restore(self, site):
        await site.start_pool()
        site.begin_calls()
        snapshot = site.store.copy()
        site.store.order_rollout(POOL, "v2", 4.0)
        await site.until_status("completed")
        site.store.restore(snapshot)
        site.store.order_rollout(POOL, "v2", 4.0)
        await site.until_status("completed")
        assert all(_serving_versions(i) == {"v2"} for i in site.running)


def _serving_versions(instance):
    return instance._rollouts.version_table.serving_versions(POOL)


class TestTakeover:
    async def test_the_next_dispatcher_knows_the_progress(self, site):
        await site.start_pool(instances=3)
        site.begin_calls()
        site.store.order_rollout(POOL, "v2", 30.0)
        await site.until(lambda: site.requests_run["v2"] >= 12)
        others = [i for i in site.instances if i.view.dispatcher_of(POOL) != _name(i)]
        await site.until(
            lambda: all(_planned_rollout(i).progress.exposed >= 8 for i in others)
        )
        number = int(site.instances[0].view.dispatcher_of(POOL)[1:])
        await site.end_instance(number)
        await site.until(
            lambda: any(i._dispatcher_host.rollout_summaries for i in site.running)
        )
        (state,) = [
            state
            for instance in site.running
            for state in instance._dispatcher_host.rollout_summaries.values()
        ]
        assert state["exposed"] >= 8

    async def test_progress_survives_a_restart_of_all_instances(self, site):
        await site.start_pool()
        site.begin_calls()
        site.store.order_rollout(POOL, "v2", 60.0)
        await site.until(lambda: site.requests_run["v2"] >= 12)
        kind = "hibiscusstep-rollouts"
        await site.until(lambda: _saved_document(site, kind).get("exposed", 0) >= 8)
        for number in range(2):
            await site.end_instance(number)
        await site.add_instance(wait=False)
        version_table = site.instances[2]._rollouts.version_table
        await site.until(lambda: version_table[POOL].order is not None)
        await site.until(lambda: version_table[POOL].progress.is_known)
        assert version_table[POOL].progress.exposed >= 8
        assert version_table.serving_versions(POOL) == {"v1"}

    async def test_a_target_change_makes_one_plan(self, site, monkeypatch):
        await site.start_pool(instances=1, new=0)
        plans = []
        planner = site.instances[0]._planner
        build_plan = planner.build_plan
        monkeypatch.setattr(
            planner, "build_plan", lambda *args: plans.append(1) or build_plan(*args)
        )
        site.store.put("servers", "old1", site.targets[1].entry(POOL, slots=7))
        await site.until(lambda: site.instances[0].targets["old1"].slots == 7)
        for _ in range(20):
            await site.call("/once/")
        assert len(plans) == 1


class TestOrderMissingAfterRestore:
    async def test_a_rolled_back_version_stays_rolled_back(self, site):
        site.fails = lambda number: number % 2 == 0
        await site.start_pool()
        site.begin_calls()
        snapshot = site.store.copy()
        site.store.order_rollout(POOL, "v2", 10.0)
        await site.until_status("rolled_back")
        received = site.requests_run["v2"]
        site.store.restore(snapshot)
        # The watch ends with the store era; the next listing lacks the order.
        keepers = [i._rollouts for i in site.running]
        await site.until(lambda: any(keeper._restore_settled_at for keeper in keepers))
        site.store.order_rollout(POOL, "v2", 10.0)
        await site.until_status("rolled_back")
        assert site.requests_run["v2"] <= received + 1


def _name(instance):
    return instance._settings.name


def _planned_rollout(instance):
    return instance._planned_versions(POOL, set(), set()).rollout


def _saved_document(site, kind):
    return site.store.objects.get((kind, POOL), {}).get("Spec", {})
