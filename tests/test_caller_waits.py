"""Tests of hibiscusstep.forwarding.caller_waits."""

from hibiscusstep.forwarding.caller_waits import CallerWaits


class TestRate:
    """A wait of 1 ms withheld the rate of an ordinary stream."""

    def test_short_waits_do_not_distort_it(self):
        waits = CallerWaits()
        waits.add(0.09)
        assert not waits.distort_rate(0.2)

    def test_waits_of_a_small_share_do_not_distort_it(self):
        waits = CallerWaits()
        waits.add(0.9)
        assert not waits.distort_rate(10.0)

    def test_waits_of_a_large_share_distort_it(self):
        waits = CallerWaits()
        waits.add(0.6)
        waits.add(0.6)
        assert waits.distort_rate(10.0)
