"""Beliefs that all instances shared, after all of them have ended and started."""

import asyncio

import pytest
from cluster import wait_until
from platform_standin import TargetStandIn
from result import Err, Ok
from test_crashing_requests import CRASHING, CrashingSite
from test_forwarding import BOUND_S, Site

from hibiscusstep.errors import PlatformUnavailable
from hibiscusstep.forwarding.rollouts import RolloutCoordinator
from hibiscusstep.membership.mesh import ViewChanged
from hibiscusstep.membership.view import Member, View
from hibiscusstep.rollout.controller import RolloutProgress
from hibiscusstep.rollout.order import RolloutOrder, RolloutState
from hibiscusstep.rollout.rollout_update import RolloutUpdate


async def _end_all(site):
    running = [n for n, instance in enumerate(site._tasks) if not instance.done()]
    for number in running:
        await site.end_instance(number)
    return len(running)


@pytest.fixture
async def crashing_site(tmp_path, monkeypatch):
    site = CrashingSite(tmp_path, monkeypatch)
    yield site
    await site.stop()


class TestQuarantine:
    # Guards against crashes until the first instance that starts is ready.
    async def test_is_known_with_the_first_requests(self, crashing_site):
        site = crashing_site
        await site.start_pool()
        while not site.instances[0].quarantine.quarantined_count:
            await site.wait_for_target(0)
            await site.call("/once/", body=CRASHING)
        stored = ("hibiscusstep-suspects", "requests")
        await wait_until(lambda: stored in site.store.objects)
        crashes = site.crashes
        for _ in range(await _end_all(site)):
            await site.add_instance()
        for instance in (2, 3, 2, 3):
            await site.wait_for_target(instance)
            await site.call("/once/", instance=instance, body=CRASHING)
        assert site.crashes == crashes


@pytest.fixture
async def site(tmp_path, monkeypatch):
    site = Site(tmp_path, monkeypatch)
    yield site
    await site.stop()


class TestIncompleteList:
    # Guards against a pool that is moved to the version whose entries are back first.
    async def test_makes_no_version_current(self, site):
        old = [TargetStandIn(f"old{n}", version="v1") for n in range(2)]
        new = TargetStandIn("new0", version="v2")
        await site.start(*old)
        await site.add_instance()
        await site.add_target(new)
        await wait_until(lambda: all(len(i.targets) == 3 for i in site.instances))
        count = await _end_all(site)
        # Entries expire in an outage of the store and are written again after it.
        entries = {
            t.name: site.store.remove_without_event("servers", t.name) for t in old
        }
        for _ in range(count):
            await site.add_instance(wait=False)
        await wait_until(lambda: all(i.ready for i in site.instances[count:]))
        for name, entry in entries.items():
            site.store.put("servers", name, entry["Spec"])
        await wait_until(
            lambda: all(len(i.targets) == 3 for i in site.instances[count:])
        )
        async with asyncio.timeout(BOUND_S):
            while (await site.call("/once/", instance=count))[0] != 200:
                await asyncio.sleep(0.05)
        assert not new.requests


class _RolloutStore:
    """Store that refuses the status of orders and takes their progress."""

    feed = None

    def __init__(self):
        self.progress = {}

    async def write_state(self, order, state):
        return Err(PlatformUnavailable("away", step="write", peer="store"))

    async def write_progress(self, pool, document):
        self.progress[pool] = document
        return Ok(None)


class _Links:
    def tell(self, send):
        pass


class TestVerdict:
    # Guards against a condemned version that is tried anew after a restart of all.
    async def test_is_saved_with_its_evidence(self):
        store = _RolloutStore()
        now = asyncio.get_running_loop().time()
        coordinator = RolloutCoordinator(
            "a", "a", _Links(), store, None, lambda: None, lambda _confirmed: None, now,
            is_first_start=False, orders_rollouts=True,
        )  # fmt: skip
        order = RolloutOrder("p", "v2", 60.0, 5, RolloutState.RUNNING, "v2")
        coordinator.version_table.apply_order(order, now)
        member = Member("a", "a-1", "z", "r", "a", "o", 1, True, False)
        # With the role unknown it dispatches the pool and does not follow the store.
        view = View({"a": member}, role_known=False)
        await coordinator.handle(ViewChanged(view))
        progress = RolloutProgress(200, 40, 30, evidence=1.2)
        verdict = RolloutUpdate("p", 5, progress, RolloutState.ROLLED_BACK)
        await coordinator.handle(verdict)
        for _ in range(5):
            await asyncio.sleep(0)
        await coordinator.stop()
        assert store.progress["p"]["evidence"] == 1.2
