"""hibiscusstep.forwarding.suspects: which requests crash their targets."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscusstep.forwarding.suspects import (
    EARLY_WEIGHT,
    KEEP_CLEARED_S,
    KEEP_S,
    LATE_WEIGHT,
    MAX_RECENT,
    MAX_SUSPECTS,
    SuspectTable,
)

REQUEST = 7
_PAUSE_S = 1.0


def _crash(table, times, weight=EARLY_WEIGHT, request=REQUEST, first=0):
    """Let targets crash under a request, one after the other; return the time."""
    now = 0.0
    for number in range(first, first + times):
        now = number * _PAUSE_S
        table.crashed(request, f"t{number}", weight, now - 0.1, now)
    return now


class TestEvidence:
    @pytest.mark.parametrize(("crashes", "held"), [(0, False), (2, False), (3, True)])
    def test_three_crashes_one_after_the_other(self, crashes, held):
        table = SuspectTable()
        _crash(table, crashes)
        assert table.is_quarantined(REQUEST) is held

    def test_crashes_behind_many_events_count_half(self):
        table = SuspectTable()
        _crash(table, 5, LATE_WEIGHT)
        assert not table.is_quarantined(REQUEST)
        _crash(table, 1, LATE_WEIGHT, first=5)
        assert table.is_quarantined(REQUEST)

    def test_what_ran_beside_each_other_counts_once(self):
        table = SuspectTable()
        for number in range(9):
            table.crashed(REQUEST, f"t{number}", EARLY_WEIGHT, 0.0, 1 + number / 1000)
        assert not table.is_quarantined(REQUEST)

    def test_one_more_crash_never_weighs_less(self):
        table = SuspectTable()
        _crash(table, 3)
        table.crashed(REQUEST, "slow", LATE_WEIGHT, -5.0, -0.05)
        assert table.is_quarantined(REQUEST)

    def test_a_target_crashes_once(self):
        table = SuspectTable()
        for now in range(9):
            table.crashed(REQUEST, "t", EARLY_WEIGHT, now - 0.1, now)
        assert not table.is_quarantined(REQUEST)

    def test_after_two_it_is_not_repeated_by_an_instance(self):
        table = SuspectTable()
        _crash(table, 1)
        assert table.may_be_repeated(REQUEST)
        _crash(table, 1, first=1)
        assert not table.may_be_repeated(REQUEST)

    def test_ends_after_its_time(self):
        table = SuspectTable()
        now = _crash(table, 3)
        assert table.expires_in(REQUEST, now) == KEEP_S
        table.forget_old(now + KEEP_S)
        assert not table.is_quarantined(REQUEST)


class TestAnswer:
    def test_clears_a_request(self):
        table = SuspectTable()
        now = _crash(table, 2)
        table.answered(REQUEST, now)
        _crash(table, 1, first=2)
        assert not table.is_quarantined(REQUEST)
        assert table.may_be_repeated(REQUEST)

    def test_clears_it_elsewhere_and_old_news_do_not_bring_it_back(self):
        here, there = SuspectTable(), SuspectTable()
        now = _crash(here, 2)
        old = here.states(now)
        assert there.take(old[0], now)
        there.take(here.answered(REQUEST, now), now)
        for state in old:
            there.take(state, now)
        assert not there.is_suspected(REQUEST)

    def test_is_forgotten_after_a_while(self):
        table = SuspectTable()
        now = _crash(table, 2)
        table.answered(REQUEST, now)
        table.forget_old(now + KEEP_CLEARED_S)
        assert not len(table)


class TestToldInAnyOrder:
    @given(st.data())
    def test_all_agree(self, data):
        """Crashes and answers at three instances, told in any order, any number."""
        tables = [SuspectTable() for _ in range(3)]
        told = []
        for number in range(data.draw(st.integers(1, 8))):
            table = data.draw(st.sampled_from(tables))
            if data.draw(st.booleans()):
                at = number * _PAUSE_S
                told.append(table.crashed(REQUEST, f"t{number}", 1.0, at - 0.1, at))
            else:
                told.append(table.answered(REQUEST, number))
        now = 10.0
        news = [state for table in tables for state in table.states(now)]
        for table in tables:
            for state in data.draw(st.permutations(news)):
                for _ in range(data.draw(st.integers(1, 2))):
                    table.take(state, now)
        for one, other in itertools.pairwise(tables):
            assert one.is_quarantined(REQUEST) == other.is_quarantined(REQUEST)
            assert one.is_suspected(REQUEST) == other.is_suspected(REQUEST)


class TestBounds:
    def test_a_flood_does_not_push_out_what_is_quarantined(self):
        table = SuspectTable()
        _crash(table, 3)
        for number in range(2 * MAX_SUSPECTS):
            table.crashed(1000 + number, "t", EARLY_WEIGHT, 5.0, 5.1)
        assert len(table) == MAX_SUSPECTS
        assert table.is_quarantined(REQUEST)

    def test_one_request_takes_bounded_memory(self):
        table = SuspectTable()
        _crash(table, 200)
        table.answered(REQUEST, 200.0)
        _crash(table, 200, first=200)
        (state,) = table.states(400.0)
        assert len(state.targets) + len(state.cleared) < 50

    def test_what_is_told_again_stays_small(self):
        table = SuspectTable()
        now = _crash(table, 3)
        for number in range(500):
            table.crashed(1000 + number, "t", EARLY_WEIGHT, now, now)
        told = table.recent(now)
        assert len(told) <= 1 + MAX_RECENT
        assert told[0].fingerprint == REQUEST
        assert [state.fingerprint for state in table.recent(now + 60)] == [REQUEST]
