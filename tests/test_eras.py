"""hibiscusstep.platform.eras: revisions in one order over restores."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscusstep.platform.eras import EraTracker, join_revision, split_revision

_REVISIONS = st.tuples(st.integers(0, 1 << 20), st.integers(0, (1 << 40) - 1))


@pytest.fixture
def eras():
    tracker = EraTracker()
    tracker.told = []
    tracker.tell(lambda before, since: tracker.told.append((before, since)))
    return tracker


class TestOneOrder:
    @given(_REVISIONS, _REVISIONS)
    def test_era_first_then_revision(self, one, other):
        assert (join_revision(*one) < join_revision(*other)) == (one < other)

    @given(_REVISIONS)
    def test_both_come_back(self, pair):
        assert split_revision(join_revision(*pair)) == pair
        assert join_revision(*pair) < 1 << 63

    def test_a_store_without_eras_keeps_its_revisions(self):
        assert join_revision(0, 7) == 7


class TestEraTracker:
    def test_the_first_is_no_restore(self, eras):
        assert eras.read("4") == 4
        assert eras.told == []

    def test_each_rise_is_told_once(self, eras):
        assert [eras.read(field) for field in ("1", "2", "2", "5")] == [1, 2, 2, 5]
        assert eras.told == [(1, 2), (2, 5)]

    @pytest.mark.parametrize("field", [None, "", "-1", "x", "1.0", "\u0663", "9" * 40])
    def test_what_is_no_era_means_the_known_one(self, eras, field):
        eras.read("3")
        assert eras.read(field) == 3
        assert eras.told == []

    def test_a_late_answer_tells_the_era_before(self, eras):
        eras.read("2")
        eras.read("3")
        assert eras.read("2") == 2
        assert eras.read("3") == 3

    def test_an_era_that_goes_back_for_good_is_not_believed(self, eras):
        eras.read("3")
        assert [eras.read("1") for _ in range(5)][-3:] == [3, 3, 3]
        assert eras.told == []

    def test_complaints_are_few(self, eras, caplog):
        eras.read("3")
        for _ in range(100):
            eras.read("x")
        assert len(caplog.records) == 1
