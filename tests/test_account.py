"""hibiscusstep.load.account: what log lines tell of lost and late requests."""

import json

import pytest
from click.testing import CliRunner

from hibiscusstep.cmdline.load import main
from hibiscusstep.load.account import (
    Account,
    Fate,
    _Reader,
    read_records,
    take_account,
)


def _line(second, message, **fields):
    at = f"2026-01-01 10:00:{second:06.3f}".replace(".", ",")
    return "1.0 entry-1 " + json.dumps({"asctime": at, "message": message, **fields})


def _attempt(second=5, **fields):
    known = {
        "request": "r1", "route": "chat", "rank": 1, "target": "t1", "number": 1,
        "outcome": "done", "seconds": 1.0, "waited": 0.0, "first_event": 0.2,
        "longest_pause": 0.1, "due_in": 0.4, "max_pause": 0.3, "events": 11,
    }  # fmt: skip
    return _line(second, "attempt", **{**known, **fields})


def _fates(*lines):
    counts = take_account(lines).kinds.values()
    return {fate: n for kind in counts for fate, n in kind.items()}


class TestFates:
    @pytest.mark.parametrize(
        ("fields", "fate"),
        [
            ({}, Fate.IN_TIME),
            ({"first_event": 0.5}, Fate.LATE_FIRST),
            ({"longest_pause": 0.4}, Fate.LONG_PAUSE),
            ({"first_event": 0.0, "seconds": 0.3}, Fate.IN_TIME),
            ({"first_event": 0.0, "seconds": 0.5}, Fate.LATE_FIRST),
            ({"outcome": "failed"}, Fate.FAILED),
        ],
    )
    def test_of_an_attempt(self, fields, fate):
        assert _fates(_attempt(**fields)) == {fate: 1}

    @pytest.mark.parametrize(
        ("status", "fate"),
        [
            (503, Fate.REFUSED),
            (504, Fate.CUT),
            (502, Fate.LOST),
            (499, Fate.LEFT),
            (429, Fate.QUOTA),
        ],
    )
    def test_of_a_request_that_was_given_up(self, status, fate):
        line = _line(1, "given-up", request="r", route="c", rank=0, status=status)
        assert _fates(line) == {fate: 1}

    def test_an_attempt_that_broke_is_told_by_its_end(self):
        end = _line(6, "given-up", request="r1", route="c", rank=0, status=502)
        assert _fates(_attempt(outcome="broken"), end) == {Fate.LOST: 1}

    def test_who_came_back_is_late_however_soon_it_is_served(self):
        grant = _line(4, "grant", request="r1", due_in=-1.5)
        assert _fates(grant, _attempt()) == {Fate.CAME_BACK: 1}


class TestLargeRegion:
    """A log of hundreds of instances: by place, and with those that were lost."""

    LINES = (
        _line(1, "start", instance="n1", data_centre="east"),
        _line(1, "start", instance="n2", data_centre="west"),
        _line(2, "relay-role", instance="n1", relay=True),
        _line(3, "dispatcher-taken", instance="n2", pool="p"),
    )

    def test_counts_by_data_centre_and_role(self):
        ends = (_attempt(5, instance="n1"), _attempt(6, instance="n2", request="r2"))
        places = take_account([*self.LINES, *ends]).places
        assert places == {
            ("east", "relay"): {Fate.IN_TIME: 1},
            ("west", "dispatcher"): {Fate.IN_TIME: 1},
        }

    def test_one_that_starts_again_is_a_follower(self):
        again = _line(4, "start", instance="n2", data_centre="west")
        places = take_account([*self.LINES, again, _attempt(5, instance="n2")]).places
        assert list(places) == [("west", "follower")]

    def test_tells_the_grants_of_requests_that_never_end(self):
        grants = [_line(t, "grant", request=f"r{t}", due_in=1.0) for t in (1, 4, 5)]
        ends = [_attempt(6, request="r4")]
        assert take_account([*grants, *ends]).unended == {0.0: 1, 4.0: 1}

    def test_lines_out_of_order_by_some_seconds_are_read_in_order(self):
        grant = _line(4, "grant", request="r1", due_in=-1.5)
        assert _fates(_attempt(6), grant, _line(30, "start")) == {Fate.CAME_BACK: 1}

    def test_what_is_kept_does_not_grow_with_the_log(self):
        lines = (_attempt(n * 0.01 % 60, request=f"r{n}") for n in range(6000))
        reader = _Reader(Account(2.0))
        held = [len(reader._granted) for r in read_records(lines) if not reader.read(r)]
        assert max(held) == 0


class TestAccount:
    def test_counts_by_the_window_in_which_a_request_began(self):
        account = take_account([_attempt(1), _attempt(8, seconds=5.0)])
        assert {start: sum(c.values()) for start, c in account.windows.items()} == {
            0.0: 1,
            2.0: 1,
        }

    def test_tells_the_pace_and_pauses_of_targets(self):
        slow = _attempt(target="slow", seconds=2.0, longest_pause=0.5)
        seen = take_account([_attempt(), slow]).targets
        assert seen["slow"].pace == pytest.approx(0.18)
        assert (seen["slow"].pauses, seen["t1"].pauses) == (1, 0)

    def test_passes_over_what_is_no_record(self):
        lines = ["", "no record", "{broken", _line(1, "start"), '{"message": "x"}']
        assert not take_account(lines).kinds

    def test_the_command_prints_tables_and_draws(self, tmp_path):
        log, plot = tmp_path / "log", tmp_path / "plot.png"
        log.write_text("\n".join([_attempt(1), _attempt(3, first_event=0.9)]))
        result = CliRunner().invoke(main, ["account", str(log), "--plot", str(plot)])
        assert result.exit_code == 0, result.output
        assert "chat, 1 | 1 | 1 | 0" in result.output
        assert plot.stat().st_size > 1000


class TestCustomerUse:
    def _use(self, *lines):
        return take_account([_line(0, "start"), *lines]).use.heaviest()

    def _sent(self, second, counted, **fields):
        return _attempt(second, customer="c", counted=counted, **fields)

    def test_the_heaviest_window_is_found_by_when_attempts_were_sent(self):
        lines = [self._sent(second, 10) for second in (2, 11, 12, 18)]
        most = self._use(*lines)["c"]
        assert (most.start, most.tokens) == (10.0, 30)

    def test_a_repeat_counts_once(self):
        lines = [self._sent(2, 10), self._sent(3, 10, number=2)]
        assert self._use(*lines)["c"].tokens == 10

    def test_the_limit_is_the_largest_that_was_told(self):
        known = {"customer": "c", "window": 4.0}
        told = [_line(1, "customer-use", limit=n, **known) for n in (70, 90, 80)]
        most = self._use(*told, self._sent(2, 10), self._sent(7, 10))["c"]
        assert (most.limit, most.tokens) == (90, 10)

    def test_it_stands_in_the_table(self):
        lines = list(take_account([self._sent(2, 10)]).lines())
        assert lines[-1] == "c | 10 | 0 | -"
