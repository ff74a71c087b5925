"""hibiscusstep.membership.relays: who relays, and whom the others follow."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from hibiscusstep.forwarding.bounds import InstanceSettings
from hibiscusstep.mailbox import Tick
from hibiscusstep.membership.grouped import GroupedMembership
from hibiscusstep.membership.relays import Attachment, choose_relays
from hibiscusstep.peer import Heartbeat, Received
from hibiscusstep.store import InstanceRecord
from hibiscusstep.stores.memory import MemoryPlatform


def record(number, data_centre="a", capacity=1):
    name = f"i{number}"
    return InstanceRecord(name, data_centre, f"{name}:1", capacity=capacity)


RECORDS = [record(n, "ab"[n % 2], 5 if n < 4 else 1) for n in range(20)]


class TestChoice:
    def test_a_small_region_is_a_mesh(self):
        assert choose_relays(RECORDS[:5], 5, 5) == {f"i{n}" for n in range(5)}

    def test_the_strongest_of_each_data_centre_relay(self):
        assert choose_relays(RECORDS, 20, 5) == {"i0", "i1", "i2", "i3"}

    def test_a_list_known_in_part_is_no_small_region(self):
        assert choose_relays(RECORDS[:5], 20, 5) == {"i0", "i1", "i2", "i3"}

    @given(st.permutations(RECORDS))
    def test_all_choose_alike(self, records):
        assert choose_relays(records, 20, 5) == choose_relays(RECORDS, 20, 5)


class TestAttachment:
    def _attachment(self, records=RECORDS):
        attachment = Attachment(record(19, "b"), ("seed:1",), 1.0, 5)
        attachment.learn(records)
        return attachment

    def test_a_relay_of_its_data_centre_is_followed(self):
        attachment = self._attachment()
        assert not attachment.is_relay
        assert attachment.follow(0.0, []) in {"i1:1", "i3:1"}

    def test_one_that_lives_goes_first(self):
        assert self._attachment().follow(0.0, ["i3"]) == "i3:1"
        assert self._attachment().follow(0.0, ["i1"]) == "i1:1"

    def test_a_silent_one_is_left(self):
        attachment = self._attachment()
        first = attachment.follow(0.0, [])
        attachment.heard(0.9)
        assert attachment.follow(1.8, []) == first
        second = attachment.follow(2.0, [])
        assert second != first and second in {"i1:1", "i3:1"}

    def test_without_relays_whoever_is_there_becomes_one(self):
        attachment = self._attachment()
        for address in ("i1:1", "i3:1"):
            attachment.refused(address, 0.0)
        followed = attachment.follow(0.0, [])
        assert followed in {f"i{n}:1" for n in range(5, 19, 2)}

    def test_all_are_tried_again_when_all_were_in_vain(self):
        attachment = self._attachment(RECORDS[:3])
        for address in ("i0:1", "i1:1", "i2:1"):
            attachment.refused(address, 0.0)
        assert attachment.follow(0.0, []) in {"i0:1", "i1:1", "i2:1"}

    def test_seeds_are_followed_while_no_list_is_known(self):
        assert Attachment(record(1), ("seed:1",), 1.0, 5).follow(0.0, []) == "seed:1"
        assert Attachment(record(1), (), 1.0, 5).follow(0.0, []) == ""

    def test_a_relay_by_its_place_is_preferred(self):
        attachment = self._attachment()
        for address in ("i1:1", "i3:1"):
            attachment.refused(address, 0.0)
        attachment.follow(0.0, [])
        attachment.prefer([])
        assert attachment.parent, "none lives"
        attachment.prefer(["i3"])
        assert attachment.follow(30.0, ["i3"]) == "i3:1"


class _Links:
    def __init__(self):
        self.sent = []

    def tell(self, send):
        self.sent.append(send)


class TestGroupedMembership:
    async def test_the_other_relays_hear_of_a_new_follower_at_once(self):
        settings = InstanceSettings(
            "i0", "a", "r", "c:1", "o:1", "i0:1", "key", (), 0.25, 1.0, max_mesh_size=5
        )
        links, platform = _Links(), MemoryPlatform()
        platform.records = RECORDS
        worker = GroupedMembership(
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
        told = [s.message for s in links.sent if s.address == "i1:1"]
        assert [m.followers for m in told if isinstance(m, Heartbeat)] == [1]
        await worker.stop()
