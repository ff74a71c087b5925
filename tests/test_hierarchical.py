"""A region too large for a full mesh: relays, and instances that follow them."""

import asyncio
import contextlib
import dataclasses
import sys

import pytest
from platform_standin import TargetStandIn, configuration
from result import Ok
from test_forwarding import BOUND_S, Site

from hibiscusstep.forwarding.bounds import InstanceSettings
from hibiscusstep.forwarding.instance import ForwardingInstance
from hibiscusstep.mailbox import Tick
from hibiscusstep.membership.hierarchical import STARTUP_S, HierarchicalMembership
from hibiscusstep.peer import Beat, Heartbeat, Received
from hibiscusstep.peerlink import LinkLost
from hibiscusstep.platform.environment import load_environment
from hibiscusstep.store import InstanceDirectory, InstanceRecord

MESH_SIZE = 2
INSTANCES = 6


class HierarchicalSite(Site):
    """Site whose region has two relays."""

    def make_instance(self, path):
        around = load_environment(path)
        settings = dataclasses.replace(around.settings, max_mesh_size=MESH_SIZE)
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
async def site(tmp_path, monkeypatch):
    site = HierarchicalSite(tmp_path, monkeypatch)
    await site.start(TargetStandIn("t1"), TargetStandIn("t2"))
    await asyncio.gather(*(site.add_instance() for _ in range(INSTANCES - 1)))
    yield site
    await site.stop()


class TestHierarchicalRegion:
    async def test_few_instances_are_relays_and_all_are_counted(self, site):
        await site.until(lambda: site.settled() and len(site.followers) == 4)
        assert len(site.instances) - len(site.followers) == MESH_SIZE

    async def test_followers_leave_the_store_to_their_relay(self, site):
        await site.until(lambda: site.settled() and len(site.followers) == 4)
        await asyncio.sleep(1.0)
        site.store.calls.clear()
        await asyncio.sleep(3.5)
        watches = [call for call in site.store.calls if "Watch" in call]
        assert 0 < len(watches) <= 2 * 2 * MESH_SIZE

    async def test_updates_reach_all_instances(self, site):
        await site.until(lambda: site.settled() and len(site.followers) == 4)
        new = TargetStandIn("t3")
        await site.add_target(new)
        site.store.put("config", "main", configuration(version=9))
        await site.until(lambda: all(new.name in i.targets for i in site.instances))
        await site.until(lambda: all(i.version == 9 for i in site.instances))
        site.store.remove("servers", new.name)
        await site.until(lambda: not any(new.name in i.targets for i in site.instances))

    async def test_followers_switch_to_another_relay(self, site):
        await site.until(lambda: site.settled() and len(site.followers) == 4)
        gone = site.instances.index(site.relays[0])
        await site.end_instance(gone)
        live = [i for n, i in enumerate(site.instances) if n != gone]
        await site.until(lambda: all(i.view.size == 5 for i in live))

    async def test_a_follower_is_served_by_a_dispatcher_elsewhere(self, site):
        await site.until(lambda: site.settled() and len(site.followers) == 4)
        number = site.instances.index(site.followers[0])
        status, _fields, _body = await site.call("/safe/x", instance=number)
        assert status == 200


OWN_ADDRESS, FOLLOWER_ADDRESS = "127.0.0.1:1", "127.0.0.1:3"
RELAY_ADDRESS = "127.0.0.1:2"


class _Links:
    def __init__(self):
        self.sent = []

    def tell(self, send):
        self.sent.append((send.address, type(send.message)))


class _Directory(InstanceDirectory):
    """List of two relays and an instance of lower capacity that follows one of them."""

    async def instances(self):
        addresses = (OWN_ADDRESS, RELAY_ADDRESS, FOLLOWER_ADDRESS)
        return Ok(
            [
                InstanceRecord(f"n{n}", "z", address, capacity=100 - n)
                for n, address in enumerate(addresses)
            ]
        )


def _heartbeat(number, address, relay, **fields):
    return Heartbeat(
        f"n{number}", f"inc{number}", "z", "r", address, "", 1, True, False, [], False,
        relay=relay, **fields,
    )  # fmt: skip


def _count_calls(coroutine):
    """Run a coroutine that never suspends; return its number of function calls."""
    count = 0

    def count_call(_frame, event, _argument):
        nonlocal count
        count += event == "call"

    sys.setprofile(count_call)
    try:
        with contextlib.suppress(StopIteration):
            coroutine.send(None)
    finally:
        sys.setprofile(None)
    return count


@pytest.fixture
async def relay():
    settings = InstanceSettings(
        "n0", "z", "r", "", "", OWN_ADDRESS, "", (), 0.25, 1.2, 100, MESH_SIZE
    )
    links = _Links()
    relay = HierarchicalMembership(
        settings, "inc0", links, _Directory(), lambda _view: None, 100, MESH_SIZE
    )
    relay.sent = links.sent
    await relay.start()
    await asyncio.sleep(0.01)
    await relay.handle(Tick())
    await _receive(relay, _heartbeat(1, RELAY_ADDRESS, True))
    beat = _heartbeat(2, FOLLOWER_ADDRESS, False, parent=OWN_ADDRESS)
    await _receive(relay, beat)
    assert relay.is_relay
    yield relay
    await relay.stop()


def _receive(instance, beat):
    return instance.handle(Received(beat.peer_address, beat))


class TestHeardAt:
    """Guards against messages of others that are taken for received in a pause."""

    async def test_a_relay_hears_relays_and_its_followers(self, relay):
        beats = (
            _heartbeat(1, RELAY_ADDRESS, True),
            _heartbeat(2, FOLLOWER_ADDRESS, False, parent=OWN_ADDRESS),
        )
        for beat in beats:
            before = relay.heard_at
            await asyncio.sleep(0.01)
            await _receive(relay, beat)
            assert relay.heard_at > before

    async def test_a_follower_hears_its_parent(self):
        settings = InstanceSettings(
            "n2", "z", "r", "", "", FOLLOWER_ADDRESS, "", (), 0.25, 1.2, 98, MESH_SIZE
        )
        follower = HierarchicalMembership(
            settings, "inc2", _Links(), _Directory(), lambda _view: None, 98, MESH_SIZE
        )
        await follower.start()
        await asyncio.sleep(0.01)
        await follower.handle(Tick())
        assert not follower.is_relay
        parent, other = OWN_ADDRESS, RELAY_ADDRESS
        if follower._view.parent == RELAY_ADDRESS:
            parent, other = other, parent
        before = follower.heard_at
        await asyncio.sleep(0.01)
        await _receive(follower, _heartbeat(0, other, True))
        assert follower.heard_at == before
        await _receive(follower, _heartbeat(1, parent, True))
        assert follower.heard_at > before
        await follower.stop()


class TestRelayCost:
    """Heartbeats took half of a relay's processor time in a region of 89 instances.

    Each heartbeat scanned all region sizes of the last 16 s: 3.6 of 7.0 s of a
    dispatcher's processor time were spent on the maximum of 5,500 numbers. Relays also
    greeted followers with each beat, and each greeting was answered by a heartbeat: 340
    a second at a relay. Relays dispatch the pools; with little processor time their
    decisions were late, so that groups of instances took them for silent and used their
    standby dispatchers, each with a small share of the slots. With a profiler in each
    process, this happened 970 times in ten seconds and 0.26 of the possible value was
    earned; after the fix 0 times and 0.67. This was not shown to cause the low value of
    the region in which it was found.
    """

    async def test_the_cost_of_a_heartbeat_does_not_grow(self, relay):
        def heartbeat():
            beat = _heartbeat(2, FOLLOWER_ADDRESS, False, parent=OWN_ADDRESS)
            return _receive(relay, beat)

        early = [_count_calls(heartbeat()) for _ in range(50)]
        for _ in range(2000):
            await heartbeat()
        late = [_count_calls(heartbeat()) for _ in range(50)]
        assert max(late) <= max(early)

    async def test_it_greets_neither_its_own_nor_other_followers(self, relay):
        for parent, gets_beats in ((OWN_ADDRESS, True), (RELAY_ADDRESS, False)):
            beat = _heartbeat(2, FOLLOWER_ADDRESS, False, parent=parent)
            beat.known = [OWN_ADDRESS, FOLLOWER_ADDRESS]
            await _receive(relay, beat)
            relay.sent.clear()
            for _ in range(8):
                await relay.handle(Tick())
            sent_kinds = {kind for to, kind in relay.sent if to == FOLLOWER_ADDRESS}
            assert Heartbeat not in sent_kinds
            assert (Beat in sent_kinds) == gets_beats

    async def test_an_instance_that_becomes_a_relay_gets_heartbeats(self, relay):
        await _receive(relay, _heartbeat(2, FOLLOWER_ADDRESS, True))
        relay.sent.clear()
        await relay.handle(Tick())
        assert FOLLOWER_ADDRESS in {address for address, _kind in relay.sent}


class TestRegionSizeAtStartup:
    """An isolated instance's standby dispatcher shares slots by the region's size."""

    async def test_it_is_the_length_of_the_list_at_first(self):
        settings = InstanceSettings(
            "n0", "z", "r", "", "", OWN_ADDRESS, "", (), 0.25, 1.2, 100, MESH_SIZE
        )
        views = []
        instance = HierarchicalMembership(
            settings, "inc0", _Links(), _Directory(), views.append, 100, MESH_SIZE
        )
        await instance.start()
        try:
            await asyncio.sleep(0.01)
            await instance.handle(Tick())
            view = views[-1].view
            assert (view.size, view.expected_size) == (1, 3)
            loop = asyncio.get_running_loop()
            began = loop.time()
            loop.time = lambda: began + STARTUP_S
            await instance.handle(Tick())
            assert views[-1].view.expected_size == 1
        finally:
            loop.__dict__.pop("time", None)
            await instance.stop()


ADDRESSES = {"n0": OWN_ADDRESS, "n1": RELAY_ADDRESS}


class TestAfterRefusedConnections:
    """Two live instances take each other for dead after refused connections.

    A network partition reset the connections of a data centre. Afterwards, two of its
    instances answered each other's heartbeats endlessly, 100,000 a second, and never
    accepted each other as members again.
    """

    async def _region(self):
        """Return two relays and the queue of messages between them."""
        queue = []

        class Links:
            def __init__(self, sender):
                self.sender = sender

            def tell(self, send):
                queue.append((self.sender, send.address, send.message))

        class Listed(InstanceDirectory):
            async def instances(self):
                return Ok(
                    [
                        InstanceRecord(name, "z", address)
                        for name, address in (
                            ("n0", OWN_ADDRESS),
                            ("n1", RELAY_ADDRESS),
                        )
                    ]
                )

        region = {}
        for name, address in ADDRESSES.items():
            settings = InstanceSettings(
                name, "z", "r", "", "", address, "", (), 0.25, 1.0, 100, MESH_SIZE
            )
            region[address] = HierarchicalMembership(
                settings, f"inc-{name}", Links(address), Listed(), lambda _v: None
            )
        for instance in region.values():
            await instance.start()
        await asyncio.sleep(0.01)
        return region, queue

    async def _deliver(self, region, queue, limit=200):
        """Deliver the queued messages and the replies; return their number."""
        count = 0
        while queue and count < limit:
            sender, address, message = queue.pop(0)
            await region[address].handle(Received(sender, message))
            count += 1
        return count

    async def test_they_rejoin_with_a_few_messages(self):
        region, queue = await self._region()
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            for instance in region.values():
                await instance.handle(Tick())
            await self._deliver(region, queue)
            first, second = region.values()
            assert len(first._view.members) == len(second._view.members) == 2
            for address, other in (
                (OWN_ADDRESS, RELAY_ADDRESS),
                (RELAY_ADDRESS, OWN_ADDRESS),
            ):
                await region[address].handle(LinkLost(other, refused=True))
            assert len(first._view.members) == 1
            for tick in range(1, 9):
                loop.time = lambda tick=tick: began + 0.25 * tick
                for instance in region.values():
                    await instance.handle(Tick())
                assert await self._deliver(region, queue) < 20
            assert len(first._view.members) == len(second._view.members) == 2
        finally:
            loop.__dict__.pop("time", None)
            for instance in region.values():
                await instance.stop()
