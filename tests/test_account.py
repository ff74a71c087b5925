"""hibiscusstep.load.account: what log lines tell of lost and late requests."""

import json

import pytest
from click.testing import CliRunner

from hibiscusstep.cmdline.load import main
from hibiscusstep.load.account import Fate, take_account


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
