"""A region too large for a mesh: relays, and instances that follow them."""

import asyncio
import dataclasses

import pytest
from platform_standin import TargetStandIn, configuration
from test_forwarding import BOUND_S, Site

from hibiscusstep.forwarding.instance import ForwardingInstance
from hibiscusstep.platform.surroundings import load_surroundings

MESH_SIZE = 2
INSTANCES = 6


class GroupedSite(Site):
    """Instances of which two are relays."""

    def make_instance(self, path):
        around = load_surroundings(path)
        settings = dataclasses.replace(around.settings, mesh_size=MESH_SIZE)
        return ForwardingInstance(dataclasses.replace(around, settings=settings))

    @property
    def relays(self):
        return [i for i in self.instances if i.view.followers]

    @property
    def followers(self):
        return [i for i in self.instances if i.view.parent]

    async def until(self, condition):
        async with asyncio.timeout(BOUND_S):
            while not condition():
                await asyncio.sleep(0.02)

    def settled(self):
        sizes = {i.view.size for i in self.instances}
        return sizes == {len(self.instances)} and all(i.ready for i in self.instances)


@pytest.fixture
async def grouped(tmp_path, monkeypatch):
    site = GroupedSite(tmp_path, monkeypatch)
    await site.start(TargetStandIn("t1"), TargetStandIn("t2"))
    await asyncio.gather(*(site.add_instance() for _ in range(INSTANCES - 1)))
    yield site
    await site.stop()


class TestGroups:
    async def test_few_relay_and_all_are_counted(self, grouped):
        await grouped.until(lambda: grouped.settled() and len(grouped.followers) == 4)
        assert len(grouped.instances) - len(grouped.followers) == MESH_SIZE

    async def test_followers_leave_the_store_to_their_relay(self, grouped):
        await grouped.until(lambda: grouped.settled() and len(grouped.followers) == 4)
        await asyncio.sleep(1.0)
        grouped.store.calls.clear()
        await asyncio.sleep(3.5)
        watches = [call for call in grouped.store.calls if "Watch" in call]
        assert 0 < len(watches) <= 2 * 2 * MESH_SIZE

    async def test_news_reach_all(self, grouped):
        await grouped.until(lambda: grouped.settled() and len(grouped.followers) == 4)
        new = TargetStandIn("t3")
        await grouped.add_target(new)
        grouped.store.put("config", "main", configuration(version=9))
        await grouped.until(
            lambda: all(new.name in i.targets for i in grouped.instances)
        )
        await grouped.until(lambda: all(i.version == 9 for i in grouped.instances))
        grouped.store.remove("servers", new.name)
        await grouped.until(
            lambda: not any(new.name in i.targets for i in grouped.instances)
        )

    async def test_followers_go_to_another_relay(self, grouped):
        await grouped.until(lambda: grouped.settled() and len(grouped.followers) == 4)
        gone = grouped.instances.index(grouped.relays[0])
        await grouped.end_instance(gone)
        live = [i for n, i in enumerate(grouped.instances) if n != gone]
        await grouped.until(lambda: all(i.view.size == 5 for i in live))

    async def test_a_follower_is_served_by_a_dispatcher_elsewhere(self, grouped):
        await grouped.until(lambda: grouped.settled() and len(grouped.followers) == 4)
        number = grouped.instances.index(grouped.followers[0])
        status, _fields, _body = await grouped.call("/safe/x", instance=number)
        assert status == 200
