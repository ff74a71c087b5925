"""hibiscusstep.membership.recent_most: a sliding maximum."""

from hypothesis import given
from hypothesis import strategies as st

from hibiscusstep.membership.recent_most import RecentMost

SECONDS = 16.0


class TestRecentMost:
    @given(st.lists(st.tuples(st.floats(0.0, 9.0), st.integers(0, 99)), min_size=1))
    def test_it_is_the_largest_of_those_that_count(self, steps):
        most, now, seen = RecentMost(SECONDS), 0.0, []
        for passed, number in steps:
            now += passed
            seen.append((now, number))
            counting = [n for at, n in seen if at >= now - SECONDS]
            assert most.see(number, now) == max(counting)

    def test_a_number_that_stays_is_kept_once(self):
        most = RecentMost(SECONDS)
        for step in range(5000):
            most.see(68, step / 400)
        assert len(most) == 1
