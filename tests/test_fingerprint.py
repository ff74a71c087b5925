"""hibiscusstep.forwarding.fingerprint: which requests are the same."""

import pytest

from hibiscusstep.forwarding.fingerprint import fingerprint

PARTS = {
    "method": "POST",
    "host": "h.example",
    "target": "/a/b?x=1",
    "customer": "c",
    "body": b"body",
}


class TestFingerprint:
    def test_is_the_same_for_the_same_request(self):
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
    def test_each_part_makes_another_request(self, name, other):
        assert fingerprint(**PARTS) != fingerprint(**{**PARTS, name: other})

    def test_parts_do_not_run_into_each_other(self):
        one = {**PARTS, "target": "/a", "customer": "bc"}
        other = {**PARTS, "target": "/ab", "customer": "c"}
        assert fingerprint(**one) != fingerprint(**other)

    def test_fits_what_messages_carry(self):
        numbers = [fingerprint(**{**PARTS, "body": b"%d" % n}) for n in range(100)]
        assert all(0 < number < 1 << 63 for number in numbers)
