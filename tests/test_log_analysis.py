"""Tests of hibiscusstep.load.log_analysis."""

import json

import pytest
from click.testing import CliRunner

from hibiscusstep.cmdline.load import main
from hibiscusstep.load.log_analysis import (
    AttemptResult,
    LogAnalysis,
    _LogProcessor,
    analyze_log,
    read_records,
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


def _results(*lines):
    counts = analyze_log(lines).kinds.values()
    return {fate: n for kind in counts for fate, n in kind.items()}


class TestAttemptResults:
    @pytest.mark.parametrize(
        ("fields", "fate"),
        [
            ({}, AttemptResult.IN_TIME),
            ({"first_event": 0.5}, AttemptResult.LATE_FIRST),
            ({"longest_pause": 0.4}, AttemptResult.LONG_PAUSE),
            ({"first_event": 0.0, "seconds": 0.3}, AttemptResult.IN_TIME),
            ({"first_event": 0.0, "seconds": 0.5}, AttemptResult.LATE_FIRST),
            ({"outcome": "failed"}, AttemptResult.FAILED),
        ],
    )
    def test_of_an_attempt(self, fields, fate):
        assert _results(_attempt(**fields)) == {fate: 1}

    @pytest.mark.parametrize(
        ("status", "fate"),
        [
            (503, AttemptResult.REFUSED),
            (504, AttemptResult.DEADLINE),
            (502, AttemptResult.INCOMPLETE),
            (499, AttemptResult.DISCONNECTED),
            (429, AttemptResult.OVER_QUOTA),
        ],
    )
    def test_of_a_request_that_was_given_up(self, status, fate):
        line = _line(1, "given-up", request="r", route="c", rank=0, status=status)
        assert _results(line) == {fate: 1}

    def test_a_broken_attempt_is_counted_by_the_given_up_line(self):
        end = _line(6, "given-up", request="r1", route="c", rank=0, status=502)
        assert _results(_attempt(outcome="broken"), end) == {
            AttemptResult.INCOMPLETE: 1
        }

    def test_a_late_retry_is_late_even_if_served_quickly(self):
        grant = _line(4, "grant", request="r1", due_in=-1.5)
        assert _results(grant, _attempt()) == {AttemptResult.LATE_RETRY: 1}


class TestLargeRegion:
    """Counts by place, and requests of lost instances, as in logs of large regions."""

    LINES = (
        _line(1, "start", instance="n1", data_centre="east"),
        _line(1, "start", instance="n2", data_centre="west"),
        _line(2, "relay-role", instance="n1", relay=True),
        _line(3, "dispatcher-taken", instance="n2", pool="p"),
    )

    def test_counts_by_data_centre_and_role(self):
        ends = (_attempt(5, instance="n1"), _attempt(6, instance="n2", request="r2"))
        places = analyze_log([*self.LINES, *ends]).results_by_location
        assert places == {
            ("east", "relay"): {AttemptResult.IN_TIME: 1},
            ("west", "dispatcher"): {AttemptResult.IN_TIME: 1},
        }

    def test_a_restarted_instance_is_a_follower(self):
        again = _line(4, "start", instance="n2", data_centre="west")
        places = analyze_log(
            [*self.LINES, again, _attempt(5, instance="n2")]
        ).results_by_location
        assert list(places) == [("west", "follower")]

    def test_counts_grants_of_requests_that_never_end(self):
        grants = [_line(t, "grant", request=f"r{t}", due_in=1.0) for t in (1, 4, 5)]
        ends = [_attempt(6, request="r4")]
        assert analyze_log([*grants, *ends]).never_ended == {0.0: 1, 4.0: 1}

    def test_lines_are_sorted_by_time(self):
        grant = _line(4, "grant", request="r1", due_in=-1.5)
        assert _results(_attempt(6), grant, _line(30, "start")) == {
            AttemptResult.LATE_RETRY: 1
        }

    def test_memory_does_not_grow_with_the_log(self):
        lines = (_attempt(n * 0.01 % 60, request=f"r{n}") for n in range(6000))
        reader = _LogProcessor(LogAnalysis(2.0))
        held = [len(reader._granted) for r in read_records(lines) if not reader.read(r)]
        assert max(held) == 0


class TestLogAnalysis:
    def test_counts_by_the_window_in_which_a_request_began(self):
        analysis = analyze_log([_attempt(1), _attempt(8, seconds=5.0)])
        assert {start: sum(c.values()) for start, c in analysis.windows.items()} == {
            0.0: 1,
            2.0: 1,
        }

    def test_reports_the_pace_and_pauses_of_targets(self):
        slow = _attempt(target="slow", seconds=2.0, longest_pause=0.5)
        seen = analyze_log([_attempt(), slow]).targets
        assert seen["slow"].pace == pytest.approx(0.18)
        assert (seen["slow"].pauses, seen["t1"].pauses) == (1, 0)

    def test_skips_lines_without_a_record(self):
        lines = ["", "no record", "{broken", _line(1, "start"), '{"message": "x"}']
        assert not analyze_log(lines).kinds

    def test_the_command_prints_tables_and_plots(self, tmp_path):
        log, plot = tmp_path / "log", tmp_path / "plot.png"
        log.write_text("\n".join([_attempt(1), _attempt(3, first_event=0.9)]))
        result = CliRunner().invoke(main, ["account", str(log), "--plot", str(plot)])
        assert result.exit_code == 0, result.output
        assert "chat, 1 | 1 | 1 | 0" in result.output
        assert plot.stat().st_size > 1000


class TestCustomerUsage:
    def _use(self, *lines):
        return analyze_log([_line(0, "start"), *lines]).usage.heaviest()

    def _sent_attempt(self, second, counted, **fields):
        return _attempt(second, customer="c", counted=counted, **fields)

    def test_the_heaviest_window_goes_by_the_time_of_sending(self):
        lines = [self._sent_attempt(second, 10) for second in (2, 11, 12, 18)]
        most = self._use(*lines)["c"]
        assert (most.start, most.tokens) == (10.0, 30)

    def test_a_repeat_counts_once(self):
        lines = [self._sent_attempt(2, 10), self._sent_attempt(3, 10, number=2)]
        assert self._use(*lines)["c"].tokens == 10

    def test_the_limit_is_the_largest_logged(self):
        known = {"customer": "c", "window": 4.0}
        limit_lines = [_line(1, "customer-use", limit=n, **known) for n in (70, 90, 80)]
        most = self._use(
            *limit_lines, self._sent_attempt(2, 10), self._sent_attempt(7, 10)
        )["c"]
        assert (most.limit, most.tokens) == (90, 10)

    def test_the_table_has_a_row_for_a_customer(self):
        lines = list(analyze_log([self._sent_attempt(2, 10)]).lines())
        assert lines[-1] == "c | 10 | 0 | -"
