"""hibiscusstep.platform.eras: total order of revisions across restores."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscusstep.platform.eras import EraTracker, join_revision, split_revision

_REVISIONS = st.tuples(st.integers(0, 1 << 20), st.integers(0, (1 << 40) - 1))


@pytest.fixture
def eras():
    tracker = EraTracker()
    tracker.restores = []
    tracker.set_on_restored(
        lambda before, since: tracker.restores.append((before, since))
    )
    return tracker


class TestRevisionOrder:
    @given(_REVISIONS, _REVISIONS)
    def test_era_first_then_revision(self, one, other):
        assert (join_revision(*one) < join_revision(*other)) == (one < other)

    @given(_REVISIONS)
    def test_split_reverses_join(self, pair):
        assert split_revision(join_revision(*pair)) == pair
        assert join_revision(*pair) < 1 << 63

    def test_a_store_without_eras_keeps_its_revisions(self):
        assert join_revision(0, 7) == 7


class TestEraTracker:
    def test_the_first_era_is_no_restore(self, eras):
        assert eras.read("4") == 4
        assert eras.restores == []

    def test_each_increase_is_reported_once(self, eras):
        assert [eras.read(field) for field in ("1", "2", "2", "5")] == [1, 2, 2, 5]
        assert eras.restores == [(1, 2), (2, 5)]

    @pytest.mark.parametrize("field", [None, "", "-1", "x", "1.0", "\u0663", "9" * 40])
    def test_a_malformed_era_means_the_known_one(self, eras, field):
        eras.read("3")
        assert eras.read(field) == 3
        assert eras.restores == []

    def test_a_late_answer_has_the_previous_era(self, eras):
        eras.read("2")
        eras.read("3")
        assert eras.read("2") == 2
        assert eras.read("3") == 3

    def test_a_lasting_decrease_of_the_era_is_ignored(self, eras):
        eras.read("3")
        assert [eras.read("1") for _ in range(5)][-3:] == [3, 3, 3]
        assert eras.restores == []

    def test_an_invalid_era_is_logged_once(self, eras, caplog):
        eras.read("3")
        for _ in range(100):
            eras.read("x")
        assert len(caplog.records) == 1
