"""hibiscusstep.membership.relays: choice of relays and selection of a parent."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from hibiscusstep.forwarding.bounds import InstanceSettings
from hibiscusstep.mailbox import Tick
from hibiscusstep.membership.hierarchical import HierarchicalMembership
from hibiscusstep.membership.relays import ParentSelector, choose_relays
from hibiscusstep.peer import Heartbeat, Received
from hibiscusstep.store import InstanceRecord
from hibiscusstep.stores.memory import MemoryPlatform


def record(number, data_centre="a", capacity=1):
    name = f"i{number}"
    return InstanceRecord(name, data_centre, f"{name}:1", capacity=capacity)


RECORDS = [record(n, "ab"[n % 2], 5 if n < 4 else 1) for n in range(20)]


class TestChooseRelays:
    def test_a_small_region_is_a_full_mesh(self):
        assert choose_relays(RECORDS[:5], 5, 5) == {f"i{n}" for n in range(5)}

    def test_relays_have_the_highest_capacity_of_each_data_centre(self):
        assert choose_relays(RECORDS, 20, 5) == {"i0", "i1", "i2", "i3"}

    def test_an_incomplete_list_is_not_a_small_region(self):
        assert choose_relays(RECORDS[:5], 20, 5) == {"i0", "i1", "i2", "i3"}

    @given(st.permutations(RECORDS))
    def test_the_choice_is_independent_of_the_order(self, records):
        assert choose_relays(records, 20, 5) == choose_relays(RECORDS, 20, 5)


class TestParentSelector:
    def _make_selector(self, records=RECORDS):
        selector = ParentSelector(record(19, "b"), ("seed:1",), 1.0, 5)
        selector.update_instances(records)
        return selector

    def test_a_relay_of_the_own_data_centre_is_selected(self):
        selector = self._make_selector()
        assert not selector.is_relay
        assert selector.select_parent(0.0, []) in {"i1:1", "i3:1"}

    def test_a_live_relay_is_preferred(self):
        assert self._make_selector().select_parent(0.0, ["i3"]) == "i3:1"
        assert self._make_selector().select_parent(0.0, ["i1"]) == "i1:1"

    def test_a_silent_relay_is_replaced(self):
        selector = self._make_selector()
        first = selector.select_parent(0.0, [])
        selector.record_message(0.9)
        assert selector.select_parent(1.8, []) == first
        second = selector.select_parent(2.0, [])
        assert second != first and second in {"i1:1", "i3:1"}

    def test_without_relays_another_instance_is_selected(self):
        selector = self._make_selector()
        for address in ("i1:1", "i3:1"):
            selector.avoid(address, 0.0)
        selected = selector.select_parent(0.0, [])
        assert selected in {f"i{n}:1" for n in range(5, 19, 2)}

    def test_all_are_retried_after_all_were_avoided(self):
        selector = self._make_selector(RECORDS[:3])
        for address in ("i0:1", "i1:1", "i2:1"):
            selector.avoid(address, 0.0)
        assert selector.select_parent(0.0, []) in {"i0:1", "i1:1", "i2:1"}

    def test_seeds_are_used_without_a_list(self):
        assert (
            ParentSelector(record(1), ("seed:1",), 1.0, 5).select_parent(0.0, [])
            == "seed:1"
        )
        assert ParentSelector(record(1), (), 1.0, 5).select_parent(0.0, []) == ""

    def test_a_chosen_relay_replaces_a_substitute(self):
        selector = self._make_selector()
        for address in ("i1:1", "i3:1"):
            selector.avoid(address, 0.0)
        selector.select_parent(0.0, [])
        selector.drop_substitute_parent([])
        assert selector.parent, "no chosen relay is alive"
        selector.drop_substitute_parent(["i3"])
        assert selector.select_parent(30.0, ["i3"]) == "i3:1"


class _Links:
    def __init__(self):
        self.sent = []

    def tell(self, send):
        self.sent.append(send)


class TestHierarchicalMembership:
    async def test_the_other_relays_get_the_number_of_followers_at_once(self):
        settings = InstanceSettings(
            "i0", "a", "r", "c:1", "o:1", "i0:1", "key", (), 0.25, 1.0, max_mesh_size=5
        )
        links, platform = _Links(), MemoryPlatform()
        platform.instance_records = RECORDS
        worker = HierarchicalMembership(
            settings, "inc0", links, platform, lambda _changed: None, 5, 5
        )
        await worker.start()
        for _ in range(3):
            await asyncio.sleep(0)
        relay = Heartbeat(
            "i1", "inc1", "b", "r", "i1:1", "o", 1, True, False, [], False, True, 5
        )
        follower = Heartbeat(
            "i8", "inc8", "a", "r", "i8:1", "o", 1, True, False, [], True, False, 1,
            parent="i0:1",
        )  # fmt: skip
        for message in (Received("i1:1", relay), Received("i8:1", follower)):
            await worker.handle(message)
        links.sent.clear()
        await worker.handle(Tick())
        messages = [s.message for s in links.sent if s.address == "i1:1"]
        assert [m.followers for m in messages if isinstance(m, Heartbeat)] == [1]
        await worker.stop()
