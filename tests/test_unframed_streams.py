"""Guards against streams that were cut and reach their callers as complete.

A target's stream may have neither a length nor chunks and end with its connection. When
the target ended in the midst of an event, the rest of that event was written to the
caller and the response was ended in order.
"""

import logging

import pytest
from partitioned_network import Cut, PartitionedSite
from platform_standin import (
    TargetStandIn,
    answer,
    chunk,
    configuration,
    event,
    stream_head,
)
from slow_peers import LimitedInstance, StalledCaller
from test_crashing_requests import CRASHING, MAX_CRASHES, CrashingSite
from test_forwarding import Site

EVENTS = 4
WHOLE = b"".join(event(number) for number in range(EVENTS))
LAST_SIZE = len(event(EVENTS - 1))
# Positions in the whole stream at which it is cut, all of them inside an event.
CUTS = {
    "no event": 0,
    "in the first event": 4,
    "in the id": 2 - LAST_SIZE,
    "in the data": -10,
    "after the data": -2,
    "before the blank line": -1,
}
by_cut = pytest.mark.parametrize("cut", CUTS.values(), ids=CUTS)


def unframed_head(fields, content_type="Content-Type: text/event-stream\r\n"):
    return (
        f"HTTP/1.1 200 OK\r\n{content_type}Connection: close\r\n"
        f"X-Request-Id: {fields['x-request-id']}\r\nX-Response-Seal: s.e.a.l\r\n\r\n"
    ).encode()


def rest_of(stream, fields, separator=b"\n\n"):
    """Return what follows the event that a request names, all if it names none."""
    events = stream.split(separator)
    after = fields.get("last-event-id")
    return separator.join(events[int(after) + 1 if after else 0 :])


def breaking(*ends, stream=WHOLE):
    """Return a script that cuts one answer after the other, over all targets.

    An end is a position in what the answer would hold. Later answers are whole.
    """
    positions = iter(ends)

    def script(_number, fields, _body):
        rest = rest_of(stream, fields)
        part = rest[: next(positions, None)]
        return [unframed_head(fields), 0.02, part, 0.02, "close"]

    return script


def targets(script, count=3):
    return (TargetStandIn(f"t{number}", script) for number in range(count))


def is_complete(status, body):
    return status < 500 and body is not None


@pytest.fixture
async def site(tmp_path, monkeypatch):
    site = Site(tmp_path, monkeypatch)
    yield site
    await site.stop()


@pytest.fixture
async def partitioned_site(tmp_path, monkeypatch):
    site = PartitionedSite(tmp_path, monkeypatch)
    yield site
    await site.stop()


@pytest.fixture
async def crashing_site(tmp_path, monkeypatch):
    site = CrashingSite(tmp_path, monkeypatch)
    yield site
    await site.stop()


class TestCutStream:
    @by_cut
    async def test_is_not_complete(self, site, cut):
        await site.start(*targets(breaking(cut)))
        status, _fields, body = await site.call("/stream/")
        assert not is_complete(status, body)
        assert sum(len(target.requests) for target in site.targets) == 1

    @by_cut
    async def test_goes_on_at_another_target_if_it_may_resume(self, site, cut):
        await site.start(*targets(breaking(cut)))
        status, _fields, body = await site.call("/resume/")
        assert (status, body) == (200, WHOLE)

    async def test_goes_on_if_it_is_cut_twice(self, site):
        document = configuration()
        for route in document["Routes"]:
            route["MaxAttempts"] = 3
        script = breaking(LAST_SIZE + 5, LAST_SIZE + 5)
        await site.start(*targets(script), document=document)
        status, _fields, body = await site.call("/resume/")
        assert (status, body) == (200, WHOLE)

    async def test_is_not_complete_after_the_last_attempt(self, site):
        await site.start(*targets(breaking(LAST_SIZE + 5, LAST_SIZE + 5)))
        status, _fields, body = await site.call("/resume/")
        assert (status, body) == (200, None)

    @pytest.mark.parametrize("line_end", ["\r\n", "\r"])
    async def test_is_not_complete_with_other_line_ends(self, site, line_end):
        stream = WHOLE.replace(b"\n", line_end.encode())
        await site.start(*targets(breaking(-len(line_end), stream=stream)))
        status, _fields, body = await site.call("/stream/")
        assert not is_complete(status, body)

    async def test_is_not_complete_in_a_long_event(self, site):
        stream = event(0) + b"id: 1\ndata: " + b"x" * 300_000 + b"\n\n"
        await site.start(*targets(breaking(-2, stream=stream)))
        status, _fields, body = await site.call("/stream/")
        assert not is_complete(status, body)

    async def test_is_not_complete_if_it_names_no_type(self, site):
        def script(_number, fields, _body):
            return [unframed_head(fields, ""), WHOLE[:-10], 0.02, "close"]

        await site.start(*targets(script))
        status, _fields, body = await site.call("/stream/")
        assert not is_complete(status, body)

    async def test_is_not_complete_through_another_instance(
        self, partitioned_site, monkeypatch
    ):
        script = breaking(-10)
        await partitioned_site.begin(monkeypatch, 2, targets=1, script=script)
        partitioned_site.network.cut(Cut.RESET, {0})
        status, _fields, body = await partitioned_site.call("/stream/")
        assert not is_complete(status, body)

    @pytest.mark.parametrize("framing", ["length", "chunks"])
    async def test_is_not_complete_if_its_framing_is(self, site, framing):
        part = WHOLE[:-10]

        def script(_number, fields, _body):
            if framing == "chunks":
                return [stream_head(fields), chunk(part), chunk(b"")]
            return answer(fields, part, extra="Content-Type: text/event-stream")

        await site.start(*targets(script))
        status, _fields, body = await site.call("/stream/")
        assert not is_complete(status, body)

    @pytest.mark.parametrize("framing", ["length", "chunks"])
    async def test_is_not_complete_if_its_framing_is_not(self, site, framing):
        def script(_number, fields, _body):
            if framing == "chunks":
                return [stream_head(fields), chunk(event(0)), 0.02, "close"]
            extra = "Content-Type: text/event-stream"
            return [answer(fields, WHOLE, extra=extra)[:-LAST_SIZE], 0.02, "close"]

        await site.start(*targets(script))
        status, _fields, body = await site.call("/stream/")
        assert not is_complete(status, body)

    async def test_counts_as_a_crash_of_its_request(self, crashing_site):
        """Guards against a cut stream that clears its request of earlier crashes."""

        def run(_number, fields, body):
            if body != CRASHING:
                return [unframed_head(fields), WHOLE, "close"]
            crashing_site.crashes += 1
            return [unframed_head(fields), WHOLE[:4], 0.02, "crash"]

        crashing_site.run = run
        await crashing_site.start_pool()
        for number in range(12):
            await crashing_site.wait_for_target(number % 2)
            await crashing_site.call("/stream/", instance=number % 2, body=CRASHING)
        assert crashing_site.crashes <= MAX_CRASHES


class TestWholeStream:
    @pytest.mark.parametrize("path", ["/stream/", "/resume/"])
    @pytest.mark.parametrize("end", [b"", b"\n", b": the end\n", b"\r\n: x\r\n\n"])
    async def test_may_end_with_its_connection(self, site, path, end):
        """Blank lines and comments after the last event belong to no event."""
        stream = WHOLE + end

        def script(_number, fields, _body):
            return [unframed_head(fields), stream, 0.02, "close"]

        await site.start(*targets(script))
        status, _fields, body = await site.call(path)
        assert (status, body) == (200, stream)

    @pytest.mark.parametrize("line_end", [b"\r\n", b"\r"])
    async def test_may_have_other_line_ends(self, site, line_end):
        stream = WHOLE.replace(b"\n", line_end)
        await site.start(*targets(breaking(stream=stream)))
        status, _fields, body = await site.call("/stream/")
        assert (status, body) == (200, stream)

    async def test_may_be_resumed_after_its_last_event(self, site):
        await site.start(*targets(breaking()))
        fields = {"Last-Event-Id": str(EVENTS - 1)}
        status, _fields, body = await site.call("/resume/", **fields)
        assert (status, body) == (200, b"")

    async def test_may_be_of_another_type(self, site):
        """Only a stream of events has events in which it may end."""

        def script(_number, fields, _body):
            head = unframed_head(fields, "Content-Type: application/json\r\n")
            return [head, b'{"whole": true}', 0.02, "close"]

        await site.start(*targets(script))
        status, _fields, body = await site.call("/stream/")
        assert (status, body) == (200, b'{"whole": true}')


class TestCallersOfHttp10:
    """Their streams end with their connection, so that only a reset tells a cut."""

    async def _read(self, site):
        """Return what a caller receives, and whether its connection is reset."""
        caller = StalledCaller(site.instances[0].url.removeprefix("http://"))
        await caller.send("/stream/", version="1.0", deadline_ms=500)
        return await caller.read_all()

    @pytest.mark.parametrize("end", ["close", "reset", "hang"])
    async def test_tell_a_cut_from_an_end(self, site, end):
        def script(_number, fields, _body):
            return [stream_head(fields), chunk(event(0)), 0.05, end]

        await site.start(*targets(script))
        _received, is_reset = await self._read(site)
        assert is_reset

    async def test_tell_the_kill_of_an_instance_from_an_end(self, tmp_path):
        def script(number, fields, _body):
            if "old" not in fields["x-request-id"]:
                return answer(fields)
            return [stream_head(fields), chunk(event(0)), "hang"]

        async with LimitedInstance(tmp_path, 0, script) as limited:
            caller = StalledCaller(limited.instance.caller_address)
            await caller.send("/stream/", name="old", version="1.0")
            received, _is_reset = await caller.read_all(end=event(0))
            assert received.endswith(event(0))
            limited.instance.process.kill()
            assert (await caller.read_all())[1]

    async def test_receive_whole_streams(self, site):
        long_event = b"data: " + b"x" * 3_000_000 + b"\n\n"

        def script(_number, fields, _body):
            return [stream_head(fields), chunk(event(0)), chunk(long_event), chunk(b"")]

        await site.start(*targets(script))
        received, is_reset = await self._read(site)
        assert received.endswith(event(0) + long_event)
        assert not is_reset


class TestLog:
    async def test_an_attempt_tells_how_its_stream_ended(self, site, caplog):
        """Guards against lines that are the same for a whole stream and a cut one."""
        caplog.set_level(logging.INFO, "hibiscusstep.decision")
        cut = breaking(-10)

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
            "cut": ("connection", LAST_SIZE - 10),
            "whole": ("connection", 0),
            "length": ("length", 0),
        }
