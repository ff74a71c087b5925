"""hibiscusstep.forwarding.fingerprint: identifies requests and parts."""

import pytest

from hibiscusstep.forwarding.fingerprint import fingerprint, part_fingerprint

PARTS = {
    "method": "POST",
    "host": "h.example",
    "target": "/a/b?x=1",
    "customer": "c",
    "body": b"body",
}


class TestFingerprint:
    def test_is_equal_for_equal_requests(self):
        again = {**PARTS, "host": "H.Example"}
        assert fingerprint(**PARTS) == fingerprint(**again)

    @pytest.mark.parametrize(
        ("name", "other"),
        [
            ("method", "PUT"),
            ("host", "i.example"),
            ("target", "/a/b?x=2"),
            ("customer", "d"),
            ("body", b"bodies"),
        ],
    )
    def test_depends_on_each_part(self, name, other):
        assert fingerprint(**PARTS) != fingerprint(**{**PARTS, name: other})

    def test_adjacent_parts_are_separated(self):
        one = {**PARTS, "target": "/a", "customer": "bc"}
        other = {**PARTS, "target": "/ab", "customer": "c"}
        assert fingerprint(**one) != fingerprint(**other)

    def test_fits_a_signed_64_bit_integer(self):
        numbers = [fingerprint(**{**PARTS, "body": b"%d" % n}) for n in range(100)]
        assert all(0 < number < 1 << 63 for number in numbers)


class TestPartFingerprint:
    def test_is_that_of_the_part_for_one_model_in_one_pool(self):
        one = part_fingerprint("pool", "model", "part")
        assert one == part_fingerprint("pool", "model", "part")
        others = {
            part_fingerprint("other", "model", "part"),
            part_fingerprint("pool", "other", "part"),
            part_fingerprint("pool", "model", "other"),
            part_fingerprint("pool", "modelpart", ""),
        }
        assert len(others | {one}) == 5
        assert all(0 < number < 1 << 63 for number in others)
