"""hibiscusstep.membership.continuity."""

import math

import pytest

from hibiscusstep import clock as clock_module
from hibiscusstep.membership.continuity import MAX_AGE_S, PAUSE_S, Continuity
from hibiscusstep.membership.view import View

NEVER = -math.inf


class _Clock:
    """A clock for the tests; `missed` advances it as a pause of the process does."""

    def __init__(self, monkeypatch):
        self.now = 100.0
        monkeypatch.setattr(clock_module, "elapsed", lambda: self.now)
        self.state = Continuity()

    def run(self, seconds, step=0.5):
        """Let time pass with an event at each step."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + step)
            self.state.record_activity(self.now)

    def pause(self, seconds):
        self.now += seconds
        self.state.record_activity(self.now)

    def apply_view(self, **fields):
        self.state.apply_view(View(**fields), self.now)

    def is_current(self, read_at):
        return self.state.is_current(read_at, self.now)


@pytest.fixture
def clock(monkeypatch):
    return _Clock(monkeypatch)


class TestContinuity:
    """Guards against old knowledge that counts after messages have been missed."""

    def test_what_was_read_is_current_while_all_are_heard(self, clock):
        read_at = clock.now
        clock.run(3600.0)
        assert clock.is_current(read_at)

    def test_what_was_never_read_is_not(self, clock):
        assert not clock.is_current(NEVER)

    def test_a_pause_ends_it_until_the_next_read(self, clock):
        read_at = clock.now
        clock.pause(PAUSE_S + 0.1)
        assert not clock.is_current(read_at)
        clock.run(0.1)
        read_at = clock.now
        clock.run(1.0)
        assert clock.is_current(read_at)

    def test_a_read_that_began_before_the_pause_does_not_count(self, clock):
        clock.run(1.0)
        read_at = clock.now
        clock.pause(6.0)
        clock.run(1.0)
        assert not clock.is_current(read_at)

    @pytest.mark.parametrize(
        "fields", [{"unreachable": 1}, {"receives_updates": False}], ids=str
    )
    def test_it_has_an_age_while_not_all_are_heard(self, clock, fields):
        clock.apply_view(**fields)
        read_at = clock.now
        clock.run(MAX_AGE_S)
        assert clock.is_current(read_at)
        clock.run(0.1)
        assert not clock.is_current(read_at)

    @pytest.mark.parametrize(
        "fields", [{"unreachable": 1}, {"receives_updates": False}], ids=str
    )
    def test_it_has_to_be_read_again_once_all_are_heard(self, clock, fields):
        read_at = clock.now
        clock.run(0.1)
        clock.apply_view(**fields)
        clock.run(0.1)
        clock.apply_view()
        assert not clock.is_current(read_at)
        read_at = clock.now + 0.1
        clock.run(5.0)
        assert clock.is_current(read_at)
