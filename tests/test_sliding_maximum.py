"""hibiscusstep.membership.sliding_maximum: maximum over a sliding time window."""

from hypothesis import given
from hypothesis import strategies as st

from hibiscusstep.membership.sliding_maximum import SlidingMaximum

WINDOW_S = 16.0


class TestSlidingMaximum:
    @given(st.lists(st.tuples(st.floats(0.0, 9.0), st.integers(0, 99)), min_size=1))
    def test_it_equals_the_maximum_of_the_window(self, steps):
        maximum, now, seen = SlidingMaximum(WINDOW_S), 0.0, []
        for elapsed, number in steps:
            now += elapsed
            seen.append((now, number))
            in_window = [n for at, n in seen if at >= now - WINDOW_S]
            assert maximum.add(number, now) == max(in_window)

    def test_a_repeated_number_is_stored_once(self):
        maximum = SlidingMaximum(WINDOW_S)
        for step in range(5000):
            maximum.add(68, step / 400)
        assert len(maximum) == 1
