"""Tests of hibiscusstep.logstream, and of hibiscusstep.timeline with decision lines."""

import logging
import os

import orjson
import pytest
from click.testing import CliRunner
from pythonjsonlogger.json import JsonFormatter

from hibiscusstep import logstream
from hibiscusstep.cmdline.client import main
from hibiscusstep.logstream import BoundedHandler


class Pipe:
    """A handler that writes to a pipe, which is read only by `read`."""

    def __init__(self):
        self.reader, self.writer = os.pipe()
        self.now = 0.0
        self.handler = BoundedHandler(self.writer, lambda: self.now)
        self.handler.setFormatter(JsonFormatter("%(message)s"))

    def log(self, text, routine=False):
        record = logging.LogRecord("n", logging.INFO, "", 0, text, None, None)
        record.routine = routine
        self.handler.emit(record)

    def read(self):
        os.set_blocking(self.reader, False)
        parts = []
        while True:
            try:
                part = os.read(self.reader, 1 << 16)
            except BlockingIOError:
                break
            if not part:
                break
            parts.append(part)
            self.handler.flush()
        return [orjson.loads(line) for line in b"".join(parts).splitlines()]

    def close(self):
        os.close(self.reader)
        os.close(self.writer)


@pytest.fixture
def pipe():
    pipe = Pipe()
    yield pipe
    pipe.close()


class TestBoundedHandler:
    def test_writes_lines_complete_and_in_order(self, pipe):
        for n in range(50):
            pipe.log(f"line {n}")
        assert [x["message"] for x in pipe.read()] == [f"line {n}" for n in range(50)]

    def test_does_not_block_on_a_stopped_reader(self, pipe, monkeypatch):
        monkeypatch.setattr(logstream, "MAX_PENDING_BYTES", 20_000)
        for n in range(5_000):
            pipe.log(f"line {n} " + "x" * 100)
        assert pipe.handler.dropped > 1_000
        numbers = [x["message"].split()[1] for x in pipe.read()]
        assert numbers == sorted(numbers, key=int)
        pipe.log("after")
        last = pipe.read()
        assert last[-2]["message"] == "log lines dropped"
        assert last[-2]["count"] == pipe.handler.dropped
        assert last[-1]["message"] == "after"

    def test_drops_routine_lines_first(self, pipe, monkeypatch):
        monkeypatch.setattr(logstream, "MAX_PENDING_BYTES", 200_000)
        for _n in range(3_000):
            pipe.log("good " + "x" * 100, routine=True)
            pipe.now += 0.01
        dropped = pipe.handler.dropped
        assert dropped
        pipe.log("bad")
        assert pipe.handler.dropped == dropped
        assert pipe.read()[-1]["message"] == "bad"

    def test_limits_routine_lines_per_second(self, pipe, monkeypatch):
        monkeypatch.setattr(logstream, "MAX_ROUTINE_PER_S", 10)
        for _ in range(30):
            pipe.log("good", routine=True)
        assert pipe.handler.dropped == 20
        pipe.now = 1.0
        pipe.log("good", routine=True)
        assert pipe.handler.dropped == 20

    def test_drops_lines_after_the_reader_closed(self, pipe):
        os.close(pipe.reader)
        pipe.reader = os.open(os.devnull, os.O_RDONLY)
        for _ in range(3):
            pipe.log("line")
        assert pipe.handler.dropped == 2


def _log_line(second, instance, message, **fields):
    timestamp = f"2026-01-01 10:00:{second:06.3f}".replace(".", ",")
    line = {"asctime": timestamp, "message": message, "instance": instance, **fields}
    return "12.5 n " + orjson.dumps(line).decode()


class TestExplain:
    LINES = "\n".join(
        [
            _log_line(
                9.0, "a", "attempt", request="r1", target="t1", pool="p", seconds=1.0
            ),
            _log_line(9.5, "b", "target-leaving", target="t1", revision=7),
            _log_line(9.6, "b", "target-leaving", target="t2", revision=8),
            _log_line(9.7, "a", "store-lost", feed="servers"),
            _log_line(9.7, "c", "store-lost", feed="servers"),
            _log_line(8.5, "d", "grant", request="r1", target="t1", pool="p"),
            _log_line(50.0, "b", "target-gone", target="t1"),
            "no line of ours {",
            _log_line(9.2, "a", "given-up", request="r1", status=502, why="cut"),
        ]
    )

    def test_shows_steps_of_several_instances_in_order(self):
        result = CliRunner().invoke(
            main, ["explain", "r1", "--log", "-"], input=self.LINES
        )
        assert result.exit_code == 0, result.output
        steps = [line.split()[1:3] for line in result.output.splitlines()]
        assert steps == [
            ["d", "grant:"],
            ["a", "attempt:"],
            ["a", "given-up:"],
            ["b", "target-leaving:"],
            ["a", "store-lost:"],
        ]

    def test_fails_for_a_request_without_log_lines(self):
        result = CliRunner().invoke(
            main, ["explain", "r9", "--log", "-"], input=self.LINES
        )
        assert result.exit_code == 1
        assert "no line" in result.output

    def test_fails_without_log_or_entry(self, monkeypatch):
        monkeypatch.delenv("HIBISCUSSTEP_ENTRY", raising=False)
        result = CliRunner().invoke(main, ["explain", "r9"])
        assert result.exit_code == 2
