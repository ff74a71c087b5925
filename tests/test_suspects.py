"""hibiscusstep.forwarding.suspects: which requests crash their targets."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscusstep.forwarding.suspects import (
    CLEARED_LIFETIME_S,
    CRASH_LIFETIME_S,
    EARLY_WEIGHT,
    LATE_WEIGHT,
    MAX_RECENT,
    MAX_SUSPECTS,
    WITH_EVENT_WEIGHT,
    SuspectTable,
    crash_weight,
)

REQUEST = 7
CRASH_INTERVAL_S = 1.0


def _crash(table, times, weight=EARLY_WEIGHT, request=REQUEST, first=0):
    """Crash targets one after the other while they run a request; return the time."""
    now = 0.0
    for number in range(first, first + times):
        now = number * CRASH_INTERVAL_S
        table.record_crash(request, f"t{number}", weight, now - 0.1, now)
    return now


class TestEvidence:
    @pytest.mark.parametrize(("crashes", "held"), [(0, False), (2, False), (3, True)])
    def test_three_successive_crashes_quarantine(self, crashes, held):
        table = SuspectTable()
        _crash(table, crashes)
        assert table.is_quarantined(REQUEST) is held

    def test_crashes_after_the_first_event_count_half(self):
        table = SuspectTable()
        _crash(table, 5, LATE_WEIGHT)
        assert not table.is_quarantined(REQUEST)
        _crash(table, 1, LATE_WEIGHT, first=5)
        assert table.is_quarantined(REQUEST)

    @pytest.mark.parametrize("at_once", [1, 2, 3, 4])
    def test_few_more_crashes_with_the_first_event_quarantine(self, at_once):
        """Guards against eight crashes, three of them at once, before a quarantine."""
        table = SuspectTable()
        for number in range(at_once):
            table.record_crash(REQUEST, f"first{number}", WITH_EVENT_WEIGHT, -2.0, -1.0)
        _crash(table, max(0, 3 - at_once) + 2, WITH_EVENT_WEIGHT)
        assert table.is_quarantined(REQUEST)

    def test_a_power_loss_is_no_evidence(self):
        table = SuspectTable()
        for number in range(9):
            table.record_crash(REQUEST, f"t{number}", WITH_EVENT_WEIGHT, 0.0, 1.0)
        assert not table.is_quarantined(REQUEST)

    @pytest.mark.parametrize(
        ("seconds", "weight"),
        [(None, EARLY_WEIGHT), (0.04, WITH_EVENT_WEIGHT), (0.2, LATE_WEIGHT)],
    )
    def test_later_crashes_count_less(self, seconds, weight):
        assert crash_weight(seconds) == weight

    def test_overlapping_runs_count_once(self):
        table = SuspectTable()
        for number in range(9):
            table.record_crash(
                REQUEST, f"t{number}", EARLY_WEIGHT, 0.0, 1 + number / 1000
            )
        assert not table.is_quarantined(REQUEST)

    def test_another_crash_never_lowers_the_weight(self):
        table = SuspectTable()
        _crash(table, 3)
        table.record_crash(REQUEST, "slow", LATE_WEIGHT, -5.0, -0.05)
        assert table.is_quarantined(REQUEST)

    def test_a_target_counts_once(self):
        table = SuspectTable()
        for now in range(9):
            table.record_crash(REQUEST, "t", EARLY_WEIGHT, now - 0.1, now)
        assert not table.is_quarantined(REQUEST)

    def test_no_retry_after_two_crashes(self):
        table = SuspectTable()
        _crash(table, 1)
        assert table.may_retry(REQUEST)
        _crash(table, 1, first=1)
        assert not table.may_retry(REQUEST)

    def test_crashes_expire(self):
        table = SuspectTable()
        now = _crash(table, 3)
        assert table.expires_in(REQUEST, now) == CRASH_LIFETIME_S
        table.forget_old(now + CRASH_LIFETIME_S)
        assert not table.is_quarantined(REQUEST)


class TestAnswer:
    def test_clears_a_request(self):
        table = SuspectTable()
        now = _crash(table, 2)
        table.clear_request(REQUEST, now)
        _crash(table, 1, first=2)
        assert not table.is_quarantined(REQUEST)
        assert table.may_retry(REQUEST)

    def test_clears_it_at_peers_and_old_states_do_not_restore_it(self):
        here, there = SuspectTable(), SuspectTable()
        now = _crash(here, 2)
        old = here.all_states(now)
        assert there.merge(old[0], now)
        there.merge(here.clear_request(REQUEST, now), now)
        for state in old:
            there.merge(state, now)
        assert not there.is_suspected(REQUEST)

    def test_a_cleared_request_is_forgotten(self):
        table = SuspectTable()
        now = _crash(table, 2)
        table.clear_request(REQUEST, now)
        table.forget_old(now + CLEARED_LIFETIME_S)
        assert not len(table)


class TestMergeOrder:
    @given(st.data())
    def test_instances_converge(self, data):
        """Merge states of three instances in any order, once or twice each."""
        tables = [SuspectTable() for _ in range(3)]
        sent = []
        for number in range(data.draw(st.integers(1, 8))):
            table = data.draw(st.sampled_from(tables))
            if data.draw(st.booleans()):
                at = number * CRASH_INTERVAL_S
                sent.append(
                    table.record_crash(REQUEST, f"t{number}", 1.0, at - 0.1, at)
                )
            else:
                sent.append(table.clear_request(REQUEST, number))
        now = 10.0
        exported = [state for table in tables for state in table.all_states(now)]
        for table in tables:
            for state in data.draw(st.permutations(exported)):
                for _ in range(data.draw(st.integers(1, 2))):
                    table.merge(state, now)
        for one, other in itertools.pairwise(tables):
            assert one.is_quarantined(REQUEST) == other.is_quarantined(REQUEST)
            assert one.is_suspected(REQUEST) == other.is_suspected(REQUEST)


class TestBounds:
    def test_a_flood_does_not_evict_a_quarantined_request(self):
        table = SuspectTable()
        _crash(table, 3)
        for number in range(2 * MAX_SUSPECTS):
            table.record_crash(1000 + number, "t", EARLY_WEIGHT, 5.0, 5.1)
        assert len(table) == MAX_SUSPECTS
        assert table.is_quarantined(REQUEST)

    def test_one_request_takes_bounded_memory(self):
        table = SuspectTable()
        _crash(table, 200)
        table.clear_request(REQUEST, 200.0)
        _crash(table, 200, first=200)
        (state,) = table.all_states(400.0)
        assert len(state.targets) + len(state.cleared) < 50

    def test_periodic_states_are_bounded(self):
        table = SuspectTable()
        now = _crash(table, 3)
        for number in range(500):
            table.record_crash(1000 + number, "t", EARLY_WEIGHT, now, now)
        sent = table.recent_states(now)
        assert len(sent) <= 1 + MAX_RECENT
        assert sent[0].fingerprint == REQUEST
        assert [state.fingerprint for state in table.recent_states(now + 60)] == [
            REQUEST
        ]
