"""Tests of hibiscusstep.forwarding.suspect_parts."""

import pytest

from hibiscusstep.forwarding.suspect_parts import (
    MIN_TRIAL_INTERVAL_S,
    SAME_EVENT_S,
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


class TestQuarantine:
    @pytest.mark.parametrize(("times", "held"), [(4, False), (5, True)])
    def test_five_crashes_quarantine(self, times, held):
        table = PartTable()
        crash(table, [BAD], times)
        assert bool(table.judge([BAD]).refused) is held
        assert bool(table.quarantined) is held

    def test_crashes_of_one_event_count_once(self):
        """A power loss ends many targets that answer requests with a common part."""
        table = PartTable()
        crash(table, [COMMON], 12, interval=SAME_EVENT_S / 20)
        assert not table.quarantined

    def test_it_ends_with_the_lifetime_of_the_crashes(self):
        table = PartTable()
        last = crash(table, [BAD], 5)
        table.forget_old(last + CRASH_LIFETIME_S)
        assert not len(table)

    def test_no_retry_after_two_crashes(self):
        table = PartTable()
        crash(table, [BAD], int(RETRY_LIMIT_WEIGHT))
        assert not table.may_retry(BAD)


class TestAnswer:
    def test_one_that_began_later_clears_a_part(self):
        table = PartTable()
        last = crash(table, [COMMON, BAD], 5)
        table.clear_request(COMMON, last + 0.5, began=last + 0.1)
        assert table.judge([COMMON]) == PartVerdict()
        assert table.judge([COMMON, BAD]).refused == BAD

    def test_one_that_began_before_shows_nothing(self):
        """The part may have begun to crash targets meanwhile."""
        table = PartTable()
        last = crash(table, [BAD], 5)
        assert table.clear_request(BAD, last + 0.5, began=-1.0) is None
        assert table.judge([BAD]).refused == BAD

    def test_one_between_two_crashes_clears_the_first(self):
        table = PartTable()
        last = crash(table, [COMMON], 5)
        table.clear_request(COMMON, last, began=0.5)
        assert not table.quarantined


class TestPartsThatCameTogether:
    def test_a_request_with_all_of_them_is_refused(self):
        table = PartTable()
        crash(table, [OTHER, BAD], 5)
        assert table.judge([OTHER, BAD, COMMON]).refused

    @pytest.mark.parametrize("part", [OTHER, BAD])
    def test_a_request_with_one_of_them_is_a_trial(self, part):
        table = PartTable()
        crash(table, [OTHER, BAD], 5)
        assert table.judge([part]) == PartVerdict(trial=part)

    def test_further_crashes_tell_which_one_it_is(self):
        table = PartTable()
        crash(table, [OTHER, BAD], 5)
        crash(table, [BAD], 5, first=5)
        assert table.judge([BAD]).refused == BAD
        assert table.judge([OTHER]).trial == OTHER

    def test_a_sound_one_is_tried_also_after_crashes_of_its_own(self):
        """A target may have crashed by itself beside a request with a popular part."""
        table = PartTable()
        crash(table, [COMMON], 1)
        crash(table, [COMMON, BAD], 5, first=1)
        assert table.judge([COMMON]).trial == COMMON
        assert table.judge([COMMON, BAD]).refused


class TestTrial:
    def test_is_due_after_a_while_and_then_after_as_long_as_it_has_crashed(self):
        table = PartTable()
        last = crash(table, [BAD], 5)
        assert table.next_trial_at(BAD) == last + MIN_TRIAL_INTERVAL_S
        trial_at = last + 100.0
        table.record_part_crash(BAD, "trial", trial_at - 0.1, trial_at, trial_at)
        assert table.next_trial_at(BAD) == trial_at + 104.0
