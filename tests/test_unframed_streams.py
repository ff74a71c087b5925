"""Tests of streams that end with their connection, without a length or chunks."""

import itertools
import logging

import pytest
from platform_standin import TargetStandIn, answer, event
from test_forwarding import Site

EVENTS = 4
WHOLE = b"".join(event(number) for number in range(EVENTS))


def unframed_head(fields, content_type="text/event-stream"):
    return (
        f"HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\nConnection: close\r\n"
        f"X-Request-Id: {fields['x-request-id']}\r\nX-Response-Seal: s.e.a.l\r\n\r\n"
    ).encode()


def stream_after(fields, stream=WHOLE, events=EVENTS, separator=b"\n\n"):
    """Return what follows the event that the request names, if it names one."""
    after = fields.get("last-event-id")
    if after is None:
        return stream
    return separator.join(stream.split(separator, events)[int(after) + 1 :])


def broken(position, how="close", stream=WHOLE, times=1):
    """Return a script that breaks off `times` answers, counted over all targets.

    Each is broken off at this position of what it would have held.
    """
    numbers = itertools.count()

    def script(_number, fields, _body):
        rest = stream_after(fields, stream)
        if next(numbers) < times:
            return [unframed_head(fields), 0.02, rest[:position], 0.02, how]
        return [unframed_head(fields), rest, 0.02, "close"]

    return script


@pytest.fixture
async def site(tmp_path, monkeypatch):
    site = Site(tmp_path, monkeypatch)
    yield site
    await site.stop()


class TestLog:
    async def test_an_attempt_tells_how_its_stream_ended(self, site, caplog):
        """Lines of a whole stream and of one that was cut must differ."""
        caplog.set_level(logging.INFO, "hibiscusstep.decision")
        cut = broken(-10)

        def script(number, fields, body):
            return answer(fields) if number == 2 else cut(number, fields, body)

        await site.start(TargetStandIn("t1", script))
        for path, request in (
            ("/stream/", "cut"),
            ("/stream/", "whole"),
            ("/once/", "length"),
        ):
            await site.call(path, request=request)
        lines = {r.request: r for r in caplog.records if r.message == "attempt"}
        ends = {name: (r.framing, r.incomplete) for name, r in lines.items()}
        assert ends == {
            "cut": ("connection", len(event(EVENTS - 1)) - 10),
            "whole": ("connection", 0),
            "length": ("length", 0),
        }
