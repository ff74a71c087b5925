"""Tests of hibiscusstep.routing.rank_floor: each rank gets a minimum of service."""

from hypothesis import given
from hypothesis import strategies as st

from hibiscusstep.routing.rank_floor import (
    DECAY_TIME_S,
    MIN_RELATIVE_GRANT_SHARE,
    RankFloor,
)


def _floor(now=1.0, **ranks):
    """Return a floor with the numbers of requests and grants of each rank."""
    floor = RankFloor()
    for name, (asked, granted) in ranks.items():
        for _ in range(asked):
            floor.record_request(int(name[1:]), now)
        for _ in range(granted):
            floor.record_grant(int(name[1:]), now)
    return floor


class TestUnderserved:
    def test_rank_with_a_share_far_below_the_overall_share(self):
        assert _floor(r0=(40, 40), r1=(40, 20), r2=(40, 4)).underserved(1.0) == [2]

    def test_none_when_all_shares_are_similar(self):
        assert _floor(r0=(40, 30), r1=(40, 20), r2=(40, 15)).underserved(1.0) == []

    def test_includes_middle_ranks_with_the_lowest_share_first(self):
        assert _floor(r0=(90, 90), r1=(40, 6), r2=(40, 2)).underserved(1.0) == [2, 1]

    def test_ignores_ranks_with_few_requests(self):
        assert _floor(r0=(40, 40), r2=(5, 0)).underserved(1.0) == []

    def test_old_requests_do_not_count(self):
        floor = _floor(r0=(40, 40), r2=(40, 0))
        later = 1.0 + 8 * DECAY_TIME_S
        assert floor.underserved(later) == []
        for _ in range(20):
            floor.record_request(2, later)
            floor.record_grant(2, later)
        assert floor.underserved(later) == []

    @given(st.lists(st.tuples(st.integers(8, 99), st.floats(0, 1)), min_size=1))
    def test_granting_to_underserved_ranks_terminates(self, ranks):
        """A rank is underserved until it reaches its share, within its requests."""
        floor = _floor(
            **{f"r{n}": (a, int(a * share)) for n, (a, share) in enumerate(ranks)}
        )
        asked = sum(a for a, _share in ranks)
        for _ in range(asked + 1):
            below = floor.underserved(1.0)
            if not below:
                break
            floor.record_grant(below[0], 1.0)
        assert not floor.underserved(1.0)


class TestMinGrantRate:
    def test_is_the_minimum_share_of_the_request_rate(self):
        floor = _floor(r0=(40, 40), r2=(40, 0))
        assert (
            floor.min_grant_rate(2)
            == MIN_RELATIVE_GRANT_SHARE * 0.5 * 40 / DECAY_TIME_S
        )

    def test_is_zero_for_an_unknown_rank(self):
        assert _floor(r0=(40, 40)).min_grant_rate(3) == 0.0
