"""Orders to change a pool's version, end to end: instances, a store and targets."""

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
# What a bad version may get: a tenth of the requests and fifty.
SHARE, SLACK = 0.1, 50


class RolloutSite(Site):
    """A region whose pool has targets of two versions; callers keep asking."""

    def __init__(self, *args):
        super().__init__(*args)
        self.ran = Counter()
        self.asked = 0
        self.statuses = Counter()
        self.fails = lambda number: False
        self._callers = []

    def target(self, name, version):
        return TargetStandIn(name, self._script(version), version=version)

    def _script(self, version):
        def run(number, fields, _body):
            self.ran[version] += 1
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
            self.asked += 1
            number = self.instances.index(self.running[self.asked % len(self.running)])
            with contextlib.suppress(OSError, TimeoutError, Exception):
                status, _, _ = await self.call("/once/", instance=number)
                self.statuses[status] += 1
            await asyncio.sleep(0.002)

    async def until_status(self, *states):
        async with asyncio.timeout(BOUND_S):
            while self.store.status(POOL).get("State") not in states:
                await asyncio.sleep(0.01)
        return self.store.status(POOL)

    async def until_old_ran(self, more=100):
        """Wait until the old version has run so many requests more."""
        old = self.ran["v1"]
        await self.until(lambda: self.ran["v1"] >= old + more)

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


class TestVersionThatNoOrderNames:
    async def test_gets_nothing(self, site, caplog):
        caplog.set_level(logging.INFO)
        await site.start_pool(instances=1)
        for _ in range(30):
            assert (await site.call("/once/"))[0] == 200
        assert site.ran == {"v1": 30}
        assert any(r.message == "version-barred" for r in caplog.records)

    async def test_gets_nothing_from_an_instance_that_starts_later(self, site):
        await site.start_pool(instances=1, old=1, new=3)
        await site.add_instance()
        for _ in range(30):
            await site.call("/once/", instance=1)
        assert site.ran["v2"] == 0


class TestGoodVersion:
    async def test_is_completed_in_time_and_gets_all(self, site):
        await site.start_pool()
        site.begin_calls()
        site.store.order(POOL, "v2", 4.0)
        status = await site.until_status("running", "completed")
        assert status == {"State": "running", "To": "v2"}
        assert await site.until_status("completed") == {
            "State": "completed",
            "To": "v2",
        }
        await site.until(lambda: all(_serves(i) == {"v2"} for i in site.running))
        old, new = site.ran["v1"], site.ran["v2"]
        await site.until(lambda: site.ran["v2"] >= new + 50)
        # What was granted before is on its way still.
        assert site.ran["v1"] <= old + CALLERS

    async def test_goes_on_when_its_dispatcher_ends(self, site):
        await site.start_pool()
        site.begin_calls()
        site.store.order(POOL, "v2", 8.0)
        await site.until(lambda: site.ran["v2"] >= 10)
        dispatcher = site.instances[0].view.dispatcher_of(POOL)
        await site.end_instance(int(dispatcher[1:]))
        assert (await site.until_status("completed"))["To"] == "v2"

    async def test_is_in_force_already(self, site):
        await site.start_pool(instances=1, new=0)
        site.store.order(POOL, "v1", 5.0)
        assert await site.until_status("completed") == {
            "State": "completed",
            "To": "v1",
        }
        assert (await site.call("/once/"))[0] == 200


class TestSight:
    async def test_an_operator_sees_the_order(self, site):
        await site.start_pool(instances=1)
        site.begin_calls()
        site.store.order(POOL, "v2", 30.0)
        await site.until(lambda: site.ran["v2"] >= 5)
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
        site.store.order(POOL, "v2", 3.0)
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
        site.store.order(POOL, "v2", 6.0)
        assert (await site.until_status("rolled_back"))["To"] == "v2"
        got = site.ran["v2"]
        assert got <= SHARE * (got + site.ran["v1"]) + SLACK
        await site.until_old_ran()
        assert site.ran["v2"] <= got + 1

    async def test_is_left_alone_while_the_store_is_away(self, site):
        site.fails = lambda number: number % 2 == 0
        await site.start_pool()
        site.begin_calls()
        site.store.order(POOL, "v2", 10.0)
        await site.until_status("running")
        site.store.down = True
        dispatcher = next(
            i for i in site.instances if i.view.dispatcher_of(POOL) == i._settings.name
        )
        await site.until(lambda: dispatcher._rollouts.book[POOL].is_rejected)
        got = site.ran["v2"]
        await site.until_old_ran()
        assert site.ran["v2"] <= got + SLOTS
        site.store.down = False
        await site.until_status("rolled_back")

    async def test_gets_nothing_after_a_restart_of_all(self, site):
        site.fails = lambda number: number % 2 == 0
        await site.start_pool()
        site.begin_calls()
        site.store.order(POOL, "v2", 10.0)
        await site.until_status("rolled_back")
        got = site.ran["v2"]
        for number in range(2):
            await site.add_instance()
            await site.end_instance(number)
        await site.until_old_ran()
        assert site.ran["v2"] <= got + 1

    async def test_may_be_ordered_again(self, site):
        site.fails = lambda number: number % 2 == 0
        await site.start_pool()
        site.begin_calls()
        site.store.order(POOL, "v2", 6.0)
        await site.until_status("rolled_back")
        site.fails = lambda number: False
        site.store.order(POOL, "v2", 5.0)
        await site.until_status("completed")


class TestOrderThatCannotBeCarriedOut:
    async def test_to_a_version_without_targets(self, site):
        await site.start_pool(instances=1, new=0)
        site.store.order(POOL, "v9", 1.0)
        assert (await site.until_status("rolled_back"))["To"] == "v9"
        assert (await site.call("/once/"))[0] == 200

    async def test_withdrawn_midway(self, site):
        await site.start_pool()
        site.begin_calls()
        site.store.order(POOL, "v2", 20.0)
        await site.until(lambda: site.ran["v2"] >= 5)
        site.store.remove("rollouts", POOL)
        await site.until(
            lambda: not any(i._rollouts.book.running for i in site.running)
        )
        got = site.ran["v2"]
        await site.until_old_ran()
        assert site.ran["v2"] <= got + SLOTS

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
    async def test_is_left_out_with_a_reason(self, site, spec, caplog):
        await site.start_pool(instances=1)
        site.store.put("rollouts", POOL, spec)
        await site.until(
            lambda: any(
                r.message == "object left out" and r.kind == "rollouts"
                for r in caplog.records
            )
        )
        assert (await site.call("/once/"))[0] == 200
        assert site.ran["v2"] == 0
        assert site.store.status(POOL) == {}

    async def test_of_an_unknown_pool(self, site):
        await site.start_pool(instances=1)
        site.store.order("no-such-pool", "v2", 5.0)
        site.store.order(POOL, "v1", 5.0)
        await site.until_status("completed")


class TestRestoredStore:
    async def test_the_status_is_written_again(self, site):
        await site.start_pool()
        site.begin_calls()
        kept = site.store.copy()
        site.store.order(POOL, "v2", 4.0)
        await site.until_status("completed")
        site.store.restore(kept)
        site.store.order(POOL, "v2", 4.0)
        await site.until_status("completed")
        assert all(_serves(i) == {"v2"} for i in site.running)


def _serves(instance):
    return instance._rollouts.book.serving(POOL)


class TestTakeOver:
    async def test_who_dispatches_next_knows_what_was_used(self, site):
        await site.start_pool(instances=3)
        site.begin_calls()
        site.store.order(POOL, "v2", 30.0)
        await site.until(lambda: site.ran["v2"] >= 12)
        others = [i for i in site.instances if i.view.dispatcher_of(POOL) != _name(i)]
        await site.until(lambda: all(_planned(i).progress.exposed >= 8 for i in others))
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

    async def test_so_does_who_starts_after_all_have_ended(self, site):
        await site.start_pool()
        site.begin_calls()
        site.store.order(POOL, "v2", 60.0)
        await site.until(lambda: site.ran["v2"] >= 12)
        kind = "hibiscusstep-rollouts"
        await site.until(lambda: _kept(site, kind).get("exposed", 0) >= 8)
        for number in range(2):
            await site.end_instance(number)
        await site.add_instance(wait=False)
        book = site.instances[2]._rollouts.book
        await site.until(lambda: book[POOL].order is not None)
        await site.until(lambda: book[POOL].progress.is_known)
        assert book[POOL].progress.exposed >= 8
        assert book.serving(POOL) == {"v1"}

    async def test_a_change_of_targets_is_planned_once(self, site, monkeypatch):
        await site.start_pool(instances=1, new=0)
        plans = []
        planner = site.instances[0]._planner
        make = planner.make
        monkeypatch.setattr(
            planner, "make", lambda *args: plans.append(1) or make(*args)
        )
        site.store.put("servers", "old1", site.targets[1].entry(POOL, slots=7))
        await site.until(lambda: site.instances[0].targets["old1"].slots == 7)
        for _ in range(20):
            await site.call("/once/")
        assert len(plans) == 1


class TestOrderThatARestoredStoreLacksAMoment:
    async def test_a_version_that_was_rolled_back_stays_so(self, site):
        site.fails = lambda number: number % 2 == 0
        await site.start_pool()
        site.begin_calls()
        kept = site.store.copy()
        site.store.order(POOL, "v2", 10.0)
        await site.until_status("rolled_back")
        got = site.ran["v2"]
        site.store.restore(kept)
        # The watch ends with the era; the list that follows has no order.
        eras = [i._rollouts for i in site.running]
        await site.until(lambda: any(keeper._trusted_at for keeper in eras))
        site.store.order(POOL, "v2", 10.0)
        await site.until_status("rolled_back")
        assert site.ran["v2"] <= got + 1


def _name(instance):
    return instance._settings.name


def _planned(instance):
    return instance._versions_of(POOL, set()).rollout


def _kept(site, kind):
    return site.store.objects.get((kind, POOL), {}).get("Spec", {})
