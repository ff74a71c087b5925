"""hibiscusstep.membership.relays: who relays, and whom the others follow."""

from hypothesis import given
from hypothesis import strategies as st

from hibiscusstep.membership.relays import Attachment, choose_relays
from hibiscusstep.store import InstanceRecord


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
