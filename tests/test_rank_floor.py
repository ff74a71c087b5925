"""hibiscusstep.routing.rank_floor: no rank is left without service for long."""

from hypothesis import given
from hypothesis import strategies as st

from hibiscusstep.routing.rank_floor import (
    DECAY_TIME_S,
    MIN_RELATIVE_GRANT_SHARE,
    RankFloor,
)


def _floor(now=1.0, **ranks):
    """Return a floor; each rank by the numbers of its asked and granted requests."""
    floor = RankFloor()
    for name, (asked, granted) in ranks.items():
        for _ in range(asked):
            floor.record_request(int(name[1:]), now)
        for _ in range(granted):
            floor.record_grant(int(name[1:]), now)
    return floor


class TestOwed:
    def test_a_rank_that_was_granted_much_less_often_than_all(self):
        assert _floor(r0=(40, 40), r1=(40, 20), r2=(40, 4)).underserved(1.0) == [2]

    def test_none_where_all_are_granted_alike(self):
        assert _floor(r0=(40, 30), r1=(40, 20), r2=(40, 15)).underserved(1.0) == []

    def test_also_a_rank_in_the_middle_and_the_most_neglected_first(self):
        assert _floor(r0=(90, 90), r1=(40, 6), r2=(40, 2)).underserved(1.0) == [2, 1]

    def test_nothing_is_said_of_a_few_requests(self):
        assert _floor(r0=(40, 40), r2=(5, 0)).underserved(1.0) == []

    def test_what_was_long_ago_does_not_count(self):
        floor = _floor(r0=(40, 40), r2=(40, 0))
        later = 1.0 + 8 * DECAY_TIME_S
        assert floor.underserved(later) == []
        for _ in range(20):
            floor.record_request(2, later)
            floor.record_grant(2, later)
        assert floor.underserved(later) == []

    @given(st.lists(st.tuples(st.integers(8, 99), st.floats(0, 1)), min_size=1))
    def test_granting_what_is_owed_ends(self, ranks):
        """A rank is owed until its share is there, never more than it asked."""
        floor = _floor(
            **{f"r{n}": (a, int(a * share)) for n, (a, share) in enumerate(ranks)}
        )
        asked = sum(a for a, _share in ranks)
        for _ in range(asked + 1):
            ranks_below = floor.underserved(1.0)
            if not ranks_below:
                break
            floor.record_grant(ranks_below[0], 1.0)
        assert not floor.underserved(1.0)


class TestRate:
    def test_it_is_the_least_share_of_what_is_asked_a_second(self):
        floor = _floor(r0=(40, 40), r2=(40, 0))
        assert (
            floor.min_grant_rate(2)
            == MIN_RELATIVE_GRANT_SHARE * 0.5 * 40 / DECAY_TIME_S
        )

    def test_an_unknown_rank_has_none(self):
        assert _floor(r0=(40, 40)).min_grant_rate(3) == 0.0
