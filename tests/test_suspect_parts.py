"""Tests of hibiscusstep.forwarding.suspect_parts."""

import pytest

from hibiscusstep.forwarding.suspect_parts import (
    MIN_TRIAL_INTERVAL_S,
    SAME_EVENT_S,
    SETTLE_S,
    PartTable,
    PartVerdict,
)
from hibiscusstep.forwarding.suspects import CRASH_LIFETIME_S, RETRY_LIMIT_WEIGHT

BAD, COMMON, OTHER = 1, 2, 3
INTERVAL_S = 1.0


def crash(table, parts, times, first=0, interval=INTERVAL_S):
    """Crash targets one after the other under requests; return the last time."""
    at = 0.0
    for number in range(first, first + times):
        at = number * interval
        for part in parts:
            table.record_part_crash(part, f"t{number}", at - 0.1, at, at)
    return at


def settled_after(at):
    return at + SETTLE_S


class TestQuarantine:
    @pytest.mark.parametrize(("times", "held"), [(2, False), (3, True)])
    def test_three_crashes_quarantine_once_they_have_settled(self, times, held):
        table = PartTable()
        last = crash(table, [BAD], times)
        assert table.judge([BAD], last) == PartVerdict()
        assert bool(table.judge([BAD], settled_after(last)).refused) is held
        assert bool(table.settled(settled_after(last))) is held

    def test_it_does_not_wait_for_the_end_of_the_crashes(self):
        table = PartTable()
        last = crash(table, [BAD], 30, interval=SAME_EVENT_S)
        assert table.judge([BAD], last).refused == BAD

    def test_crashes_of_one_event_count_once(self):
        """A power loss ends many targets that answer requests with a common part."""
        table = PartTable()
        last = crash(table, [COMMON], 12, interval=SAME_EVENT_S / 20)
        assert not table.settled(settled_after(last))

    def test_it_ends_with_the_lifetime_of_the_crashes(self):
        table = PartTable()
        last = crash(table, [BAD], 3)
        table.forget_old(last + CRASH_LIFETIME_S)
        assert not len(table)

    def test_no_retry_after_two_crashes(self):
        table = PartTable()
        crash(table, [BAD], int(RETRY_LIMIT_WEIGHT))
        assert not table.may_retry(BAD)


class TestAnswer:
    def test_one_that_began_later_clears_a_part(self):
        table = PartTable()
        last = crash(table, [COMMON, BAD], 3)
        table.clear_request(COMMON, last + 0.5, began=last + 0.1)
        now = settled_after(last)
        assert table.judge([COMMON], now) == PartVerdict()
        assert table.judge([COMMON, BAD], now).refused == BAD

    def test_one_that_began_before_shows_nothing(self):
        """The part may have begun to crash targets meanwhile."""
        table = PartTable()
        last = crash(table, [BAD], 3)
        assert table.clear_request(BAD, last + 0.5, began=-1.0) is None
        assert table.judge([BAD], settled_after(last)).refused == BAD

    def test_one_between_two_crashes_clears_the_first(self):
        table = PartTable()
        last = crash(table, [COMMON], 3)
        table.clear_request(COMMON, last, began=0.5)
        assert not table.settled(settled_after(last))


class TestPartsThatCameTogether:
    def test_a_request_with_all_of_them_is_refused(self):
        table = PartTable()
        last = crash(table, [OTHER, BAD], 3)
        assert table.judge([OTHER, BAD, COMMON], settled_after(last)).refused

    @pytest.mark.parametrize("part", [OTHER, BAD])
    def test_a_request_with_one_of_them_is_a_trial(self, part):
        table = PartTable()
        last = crash(table, [OTHER, BAD], 3)
        verdict = table.judge([part], settled_after(last))
        assert verdict == PartVerdict(trial=part)

    def test_further_crashes_tell_which_one_it_is(self):
        table = PartTable()
        crash(table, [OTHER, BAD], 3)
        last = crash(table, [BAD], 3, first=3)
        now = settled_after(last)
        assert table.judge([BAD], now).refused == BAD
        assert table.judge([OTHER], now).trial == OTHER

    def test_a_sound_one_is_tried_also_after_crashes_of_its_own(self):
        """A target may have crashed by itself beside a request with a popular part."""
        table = PartTable()
        crash(table, [COMMON], 1)
        last = crash(table, [COMMON, BAD], 3, first=1)
        now = settled_after(last)
        assert table.judge([COMMON], now).trial == COMMON
        assert table.judge([COMMON, BAD], now).refused


class TestTrial:
    def test_is_due_after_a_minute_and_then_after_as_long_as_it_has_crashed(self):
        table = PartTable()
        last = crash(table, [BAD], 3)
        assert table.next_trial_at(BAD) == last + MIN_TRIAL_INTERVAL_S
        trial_at = last + 100.0
        table.record_part_crash(BAD, "trial", trial_at - 0.1, trial_at, trial_at)
        assert table.next_trial_at(BAD) == trial_at + 102.0
