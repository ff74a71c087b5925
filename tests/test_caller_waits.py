"""Tests of hibiscusstep.forwarding.caller_waits."""

from hibiscusstep.forwarding.caller_waits import CallerWaits


class TestRate:
    """A wait of 1 ms withheld the rate of an ordinary stream."""

    def test_short_waits_do_not_distort_it(self):
        waits = CallerWaits()
        waits.add(0.09, 1.0)
        assert not waits.distort_rate(0.2)

    def test_waits_of_a_small_share_do_not_distort_it(self):
        waits = CallerWaits()
        waits.add(0.9, 1.0)
        assert not waits.distort_rate(10.0)

    def test_waits_of_a_large_share_distort_it(self):
        waits = CallerWaits()
        waits.add(0.6, 1.0)
        waits.add(0.6, 2.0)
        assert waits.distort_rate(10.0)


class TestBreaks:
    """After 1 s of waiting in total, no later break counted as the target's failure."""

    def test_one_after_a_long_wait_is_excused(self):
        waits = CallerWaits()
        waits.add(1.5, 10.0)
        assert waits.excuse_break(20.0)

    def test_one_after_a_short_wait_is_not(self):
        waits = CallerWaits()
        waits.add(0.5, 10.0)
        assert not waits.excuse_break(10.0)

    def test_one_while_what_the_kernel_held_is_read_is_excused(self):
        waits = CallerWaits()
        waits.add(1.5, 10.0)
        waits.record_read()
        assert waits.excuse_break(10.5)

    def test_one_after_the_caller_has_caught_up_is_not(self):
        waits = CallerWaits()
        waits.add(1.5, 10.0)
        waits.record_read()
        assert not waits.excuse_break(11.5)

    def test_waits_before_the_caller_had_caught_up_do_not_count(self):
        waits = CallerWaits()
        waits.add(1.5, 10.0)
        waits.record_read()
        waits.add(0.1, 20.0)
        assert not waits.excuse_break(20.0)

    def test_waits_that_follow_each_other_add_up(self):
        waits = CallerWaits()
        for end in (10.0, 10.7, 11.4):
            waits.add(0.5, end)
            waits.record_read()
        assert waits.excuse_break(11.5)
