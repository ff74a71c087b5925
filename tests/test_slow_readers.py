"""Callers and targets that read slowly or not at all."""

import asyncio
import itertools
import logging
import signal

import pytest
from platform_standin import (
    TargetStandIn,
    answer,
    chunk,
    configuration,
    stream_head,
)
from slow_peers import LimitedInstance, StalledCaller, endless_events, until_steady
from test_forwarding import BOUND_S, Site

from hibiscusstep.forwarding import caller_connection, caller_waits, exchange
from hibiscusstep.forwarding.buffer_budget import MIN_HARD_BYTES, WINDOW_BYTES
from hibiscusstep.grant_messages import RequestEnded
from hibiscusstep.routing.messages import GrantOutcome

# The smallest bounds: the test process itself uses more than this limit.
SMALL_MEMORY_MB = 1
# More than the kernel takes of a response, 4 MB here.
LARGE = 7 << 20
# The most held of a stream whose caller does not read: 248 kB were measured,
# and 444 kB if its target is read on. It is more until the first wait.
MAX_STREAM_BYTES = 6 * WINDOW_BYTES
MAX_STREAM_BYTES_BEFORE = 10 * WINDOW_BYTES


def _document(**limits):
    document = configuration()
    document["Limits"] |= {"MaxBodyBytes": 4 << 20, **limits}
    for route in document["Routes"]:
        route["TimeoutMs"] = 10_000
    return document


def _large(number, fields, body):
    return answer(fields, b"x" * LARGE)


class StalledSite(Site):
    """Deployment with callers that do not read."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.callers = []

    @property
    def buffers(self):
        return self.instances[0].buffers

    async def stall(self, path, **options):
        """Send a request whose caller does not read."""
        caller = StalledCaller(self.instances[0].url.removeprefix("http://"))
        self.callers.append(caller)
        await caller.send(path, **options)
        return caller

    async def until(self, condition):
        async with asyncio.timeout(BOUND_S):
            while not condition():
                await asyncio.sleep(0.01)

    async def stop(self):
        for caller in self.callers:
            caller.reset()
        for target in self.targets:
            target.reset()
        await super().stop()


@pytest.fixture
async def site(tmp_path, monkeypatch):
    site = StalledSite(tmp_path, monkeypatch)
    yield site
    await site.stop()


def _told(site, monkeypatch):
    """Return a list that receives what the dispatcher is told."""
    client, told = site.instances[0]._dispatch_client, []
    tell = client.tell
    monkeypatch.setattr(client, "tell", lambda m: (told.append(m), tell(m))[1])
    return told


def _cut_off(caplog):
    return [line for line in caplog.records if line.message == "cut-off"]


class TestStreams:
    EVENTS, SIZE = 200, 100_000

    async def _start(self, site):
        script = endless_events(self.SIZE, self.EVENTS)
        await site.start(TargetStandIn("t1", script), document=_document())

    async def test_a_caller_that_does_not_read_holds_a_bounded_number_of_bytes(
        self, site
    ):
        """Without a bound, the instance would hold the 20 MB of this stream."""
        await self._start(site)
        await site.stall("/stream/")
        await site.until(lambda: site.buffers.held)
        await until_steady(lambda: site.buffers.held)
        assert site.buffers.held <= MAX_STREAM_BYTES
        assert site.buffers.highest <= MAX_STREAM_BYTES_BEFORE

    async def test_a_caller_that_pauses_gets_every_event(self, site):
        """A target that is not read must be read on when its caller goes on."""
        await self._start(site)
        caller = await site.stall("/stream/")
        await until_steady(lambda: site.buffers.held, times=5)
        data, was_reset = await caller.read_all(b"\r\n0\r\n\r\n")
        assert not was_reset
        assert data.count(b"\nid: ") == self.EVENTS
        await site.until(lambda: not site.buffers.held)

    async def test_a_reset_releases_the_bytes(self, site):
        await self._start(site)
        caller = await site.stall("/stream/")
        await site.until(lambda: site.buffers.held > WINDOW_BYTES)
        caller.reset()
        await site.until(lambda: not site.buffers.held)
        assert site.instances[0].frontend.open_requests == 0

    async def test_an_event_without_an_end_does_not_fill_the_memory(self, site):
        def script(number, fields, body):
            yield stream_head(fields)
            for _ in range(300):
                yield chunk(b"x" * 100_000)
            yield "hang"

        await site.start(TargetStandIn("t1", script), document=_document())
        caller = await site.stall("/stream/")
        _data, _was_reset = await caller.read_all()
        await site.until(lambda: not site.buffers.held)
        assert site.buffers.highest < 20 << 20


class TestWhatIsLearntOfTargets:
    """A few callers that did not read made all targets look slow or failing."""

    async def _finished(self, site, monkeypatch, script, *, reset=False):
        """Let a caller pause; return what the dispatcher was told of the stream."""
        await site.start(TargetStandIn("t1", script), document=_document())
        told = _told(site, monkeypatch)
        caller = await site.stall("/stream/")
        await until_steady(lambda: site.buffers.held, times=5)
        if reset:
            site.targets[0].reset()
        reading = asyncio.create_task(caller.read_all(b"\r\n0\r\n\r\n"))
        await site.until(lambda: any(isinstance(m, RequestEnded) for m in told))
        caller.reset()
        await reading
        return next(m for m in told if isinstance(m, RequestEnded))

    async def test_the_rate_of_a_stream_that_was_read_counts(self, site, monkeypatch):
        script = endless_events(100, 20)
        ended = await self._finished(site, monkeypatch, script)
        assert (ended.outcome, ended.tokens) == (GrantOutcome.DONE, 20)

    async def test_that_of_a_stream_that_waited_does_not(self, site, monkeypatch):
        script = endless_events(100_000, 200)
        ended = await self._finished(site, monkeypatch, script)
        assert (ended.outcome, ended.tokens) == (GrantOutcome.DONE, 0)

    async def test_that_of_a_stream_with_short_waits_does(self, site, monkeypatch):
        """One wait of 1 ms withheld the rate of an ordinary stream."""
        started, calls = asyncio.get_running_loop().time(), itertools.count()
        monkeypatch.setattr(
            exchange.Exchange, "_now", lambda _: started + next(calls) * 1e-6
        )
        script = endless_events(100_000, 200)
        ended = await self._finished(site, monkeypatch, script)
        assert (ended.outcome, ended.tokens) == (GrantOutcome.DONE, 200)

    async def test_a_target_that_cuts_off_an_unread_stream_has_not_failed(
        self, site, monkeypatch
    ):
        monkeypatch.setattr(caller_waits, "UNREAD_STREAM_S", 0.1)
        script = endless_events(100_000, 200)
        ended = await self._finished(site, monkeypatch, script, reset=True)
        assert ended.outcome is GrantOutcome.CANCELLED

    async def test_one_that_breaks_off_after_the_caller_has_caught_up_has(
        self, site, monkeypatch
    ):
        """After one wait of 1 s, every later break was excused."""
        monkeypatch.setattr(caller_waits, "UNREAD_STREAM_S", 0.1)
        monkeypatch.setattr(caller_waits, "CATCH_UP_S", 0.0)

        def script(number, fields, body):
            *parts, _end = endless_events(100_000, 200)(number, fields, body)
            return [*parts, chunk(b"data: last\n\n"), "hang"]

        target = TargetStandIn("t1", script)
        await site.start(target, document=_document())
        told = _told(site, monkeypatch)
        caller = await site.stall("/stream/")
        await until_steady(lambda: site.buffers.held, times=5)
        await caller.read_all(b"last\n\n\r\n")
        (writer,) = target._writers
        writer.write(chunk(b"data: later\n\n"))
        await caller.read_all(b"later\n\n\r\n")
        target.reset()
        await site.until(lambda: any(isinstance(m, RequestEnded) for m in told))
        (ended,) = [m for m in told if isinstance(m, RequestEnded)]
        assert ended.outcome is GrantOutcome.BROKEN


class TestPlainResponses:
    """The handler ended before the response was written: nothing bounded its time."""

    @pytest.fixture(autouse=True)
    def _short_stall(self, monkeypatch):
        monkeypatch.setattr(caller_connection, "STALL_S", 0.2)

    async def test_a_caller_that_never_reads_is_cut_off_at_its_deadline(
        self, site, caplog
    ):
        caplog.set_level(logging.INFO, "hibiscusstep.decision")
        await site.start(TargetStandIn("t1", _large), document=_document())
        caller = await site.stall("/once/", name="never", deadline_ms=700)
        await site.until(lambda: _cut_off(caplog))
        (line,) = _cut_off(caplog)
        assert (line.request, line.why) == ("never", "not read by its deadline")
        assert line.held > 1 << 20 and not line.repeatable
        await site.until(lambda: not site.buffers.held)
        assert site.instances[0].frontend.open_requests == 0
        data, was_reset = await caller.read_all()
        assert was_reset and len(data) < LARGE

    async def test_a_caller_that_reads_slowly_gets_it_after_its_deadline(self, site):
        """A response that is ready is delivered even if it is late."""
        await site.start(TargetStandIn("t1", _large), document=_document())
        caller = await site.stall("/once/", deadline_ms=700)
        await site.until(lambda: site.buffers.held > 1 << 20)
        data = await caller.read_slowly(LARGE, seconds=2.0)
        assert data.endswith(b"x" * LARGE)
        await site.until(lambda: not site.buffers.held)

    async def test_what_the_caller_has_taken_is_released(self, site):
        """A response that stays whole until its end is held twice."""
        await site.start(TargetStandIn("t1", _large), document=_document())
        await site.stall("/once/")
        await site.until(lambda: site.buffers.highest >= LARGE)
        await site.until(lambda: site.buffers.held < LARGE - (1 << 20))
        assert site.buffers.held_by_kind["transport"] <= 3 * WINDOW_BYTES

    async def test_a_reset_releases_the_bytes(self, site):
        await site.start(TargetStandIn("t1", _large), document=_document())
        caller = await site.stall("/once/")
        await site.until(lambda: site.buffers.held >= 1 << 20)
        caller.reset()
        await site.until(lambda: not site.buffers.held)

    async def test_a_large_failure_is_released_when_another_target_succeeds(self, site):
        def fail(number, fields, body):
            return answer(fields, b"f" * (1 << 20), status=500)

        await site.start(
            TargetStandIn("t1", fail), TargetStandIn("t2"), document=_document()
        )
        for _ in range(6):
            assert (await site.call("/safe/"))[0] == 200
        await site.until(lambda: not site.buffers.held)

    async def test_large_responses_arrive_unchanged(self, site):
        await site.start(TargetStandIn("t1", _large), document=_document())
        status, fields, body = await site.call("/safe/")
        assert (status, body) == (200, b"x" * LARGE)
        assert fields["Content-Length"] == str(LARGE)
        assert fields["X-Response-Seal"] == "s.e.a.l"


class TestCutOff:
    """Without it the process is killed with all of its requests."""

    async def _start(self, site):
        site.settings = {"memory_mb": SMALL_MEMORY_MB}
        await site.start(TargetStandIn("t1", _large), document=_document())
        assert site.buffers.bounds.hard == MIN_HARD_BYTES

    async def test_repeatable_requests_end_before_those_that_are_not(
        self, site, caplog
    ):
        caplog.set_level(logging.INFO, "hibiscusstep.decision")
        await self._start(site)
        once = await site.stall("/once/", name="once")
        await site.until(lambda: 1 << 20 < site.buffers.held < LARGE - (2 << 20))
        safe = await site.stall("/safe/", name="safe")
        await site.until(lambda: _cut_off(caplog))
        (line,) = _cut_off(caplog)
        assert (line.request, line.why, line.repeatable) == ("safe", "memory", True)
        assert line.held_by_all > MIN_HARD_BYTES
        data, was_reset = await safe.read_all()
        assert was_reset and len(data) < LARGE
        data, was_reset = await once.read_all(b"x" * LARGE)
        assert not was_reset
        assert site.buffers.highest < MIN_HARD_BYTES + (1 << 20)

    async def test_a_cut_off_exchange_releases_its_slot(self, site, caplog):
        """A target whose slots stay taken would get no more requests."""
        caplog.set_level(logging.INFO, "hibiscusstep.decision")
        site.settings = {"memory_mb": SMALL_MEMORY_MB}

        def script(number, fields, body):
            count = 200 if number < 4 else 10
            return endless_events(100_000, count)(number, fields, body)

        target = TargetStandIn("t1", script)
        await site.start(target, document=_document())
        for _ in range(4):
            await site.stall("/resume/")
        await site.until(
            lambda: sum(a.held > WINDOW_BYTES for a in site.buffers._accounts) == 4
        )
        for account in list(site.buffers._accounts):
            account.connection.cut_off(account, "memory")
        status, _fields, body = await site.call("/resume/")
        assert status == 200 and body.count(b"\n\n") == 10
        given_up = [r for r in caplog.records if r.message == "given-up"]
        assert {line.why for line in given_up} == {"cut off: memory"}

    async def test_a_caller_of_http_1_0_does_not_see_a_complete_response(
        self, site, caplog
    ):
        """Its response ends where the connection does, unless that is reset."""
        caplog.set_level(logging.INFO, "hibiscusstep.decision")
        script = endless_events(100_000, 200)
        await site.start(TargetStandIn("t1", script), document=_document())
        caller = await site.stall("/stream/", version="1.0")
        await site.until(lambda: site.buffers.held > WINDOW_BYTES)
        (account,) = site.buffers._accounts
        account.connection.cut_off(account, "memory")
        _data, was_reset = await caller.read_all()
        assert was_reset

    async def test_is_counted(self, site):
        await site.start(TargetStandIn("t1", _large), document=_document())
        await site.stall("/once/")
        await site.until(lambda: site.buffers.held > 1 << 20)
        (account,) = site.buffers._accounts
        account.connection.cut_off(account, "memory")
        url = f"http://{site.instances[0].metrics_address}/metrics"
        async with asyncio.timeout(BOUND_S), site.session.get(url) as response:
            text = await response.text()
        name = "hibiscusstep_forward_cut_off_total"
        assert f'{name}{{reason="memory",repeatable="no"}} 1' in text
        for kind in ("request", "response", "transport"):
            assert f'hibiscusstep_forward_held_bytes{{kind="{kind}"}} 0' in text
        assert "hibiscusstep_forward_held_bytes_limit 0" in text


class TestRefusals:
    """A request that is refused for memory has not run."""

    async def _fill(self, site):
        site.settings = {"memory_mb": SMALL_MEMORY_MB}

        def script(number, fields, body):
            return _large(number, fields, body) if number == 0 else answer(fields)

        await site.start(TargetStandIn("t1", script), document=_document())
        caller = await site.stall("/once/")
        await site.until(lambda: not site.buffers.admits(4 << 20))
        # While the response arrives, the bytes held pass the bound for a moment.
        await until_steady(lambda: site.buffers.held, times=5)
        return caller

    async def test_a_new_request_gets_503_and_a_time_to_retry(self, site, caplog):
        caplog.set_level(logging.INFO, "hibiscusstep.decision")
        caller = await self._fill(site)
        status, fields, _body = await site.call("/safe/", body=b"b" * (4 << 20))
        assert status == 503
        assert float(fields["Retry-After"]) > 0
        assert len(site.targets[0].requests) == 1
        (line,) = [r for r in caplog.records if r.message == "rejected"]
        assert (line.status, line.why) == (503, "memory")
        caller.reset()
        await site.until(lambda: not site.buffers.held)
        assert (await site.call("/safe/", body=b"b" * (4 << 20)))[0] == 200

    async def test_its_connection_stays_usable(self, site):
        await self._fill(site)
        assert (await site.call("/safe/", body=b"b" * (4 << 20)))[0] == 503
        assert (await site.call("/safe/"))[0] == 200
        assert len(site.session.connector._conns) == 1

    async def test_bodies_that_arrive_together_stay_below_the_bound(self, site):
        site.settings = {"memory_mb": SMALL_MEMORY_MB}
        await site.start(TargetStandIn("t1"), document=_document())
        for number in range(6):
            await site.stall(
                "/once/", body=b"b" * (2 << 20), chunked=True, name=f"b{number}"
            )
        await until_steady(lambda: site.buffers.held, times=5)
        assert site.buffers.highest <= site.buffers.bounds.admit
        assert site.buffers.held_by_kind["request"] >= 2 << 20
        assert not site.targets[0].requests


class TestRequestBodies:
    async def test_a_chunked_one_is_counted_while_it_arrives(self, site):
        await site.start(TargetStandIn("t1"), document=_document())
        caller = await site.stall("/once/", body=b"b" * 100_000, chunked=True)
        await site.until(lambda: site.buffers.held == 100_000)
        assert site.buffers.held_by_kind["request"] == 100_000
        caller.writer.write(chunk(b""))
        await site.until(lambda: site.targets[0].requests)
        assert site.targets[0].requests[0][2] == b"b" * 100_000
        await site.until(lambda: not site.buffers.held)

    async def test_one_that_does_not_arrive_by_the_deadline_is_released(self, site):
        """It was waited for without a bound."""
        await site.start(TargetStandIn("t1"), document=_document())
        caller = await site.stall(
            "/once/", body=b"b" * 100_000, chunked=True, deadline_ms=300
        )
        data, _was_reset = await caller.read_all(b"\r\n\r\n")
        assert data.startswith(b"HTTP/1.1 504 ")
        await site.until(lambda: not site.buffers.held)
        assert not site.targets[0].requests

    async def test_a_chunked_one_is_refused_once_it_is_too_long(self, site):
        """It was collected up to 64 MiB before the limit of 4 MiB was checked."""
        await site.start(TargetStandIn("t1"), document=_document())
        caller = await site.stall("/once/", body=b"b" * (5 << 20), chunked=True)
        data, _was_reset = await caller.read_all(b"\r\n\r\n")
        assert data.startswith(b"HTTP/1.1 413 ")
        assert site.buffers.highest <= 4 << 20

    @pytest.mark.parametrize("end", ["close", "half-close", "reset"])
    @pytest.mark.parametrize("chunked", [True, False])
    async def test_one_that_ends_with_its_connection_is_not_sent(
        self, site, chunked, end
    ):
        """Guards against the end of a connection that is taken for a body's end."""
        await site.start(TargetStandIn("t1"), document=_document())
        caller = await site.stall("/once/", body=b"b" * 1000, chunked=chunked)
        if not chunked:
            # A request behind a complete one, of which 100 bytes never come.
            await site.until(lambda: site.targets[0].requests)
            head = b"POST /once/ HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: cut\r\n"
            head += b"Authorization: Bearer key-one\r\nContent-Length: 1100\r\n\r\n"
            caller.writer.write(head + b"b" * 1000)
        await site.until(lambda: site.buffers.held_by_kind["request"] == 1000)
        match end:
            case "close":
                caller.writer.close()
            case "half-close":
                caller.writer.write_eof()
            case "reset":
                caller.reset()
        await site.until(lambda: not site.buffers.held)
        assert len(site.targets[0].requests) == (0 if chunked else 1)


class _DeafTarget(TargetStandIn):
    """Target that accepts connections and reads nothing."""

    async def _serve(self, reader, writer):
        writer.transport.pause_reading()
        self._writers.add(writer)
        self.arrived.set()


class TestTargetsThatDoNotRead:
    async def test_the_request_is_counted_and_its_time_is_bounded(self, site):
        await site.start(_DeafTarget("t1"), document=_document())
        body = b"b" * (4 << 20)
        call = asyncio.create_task(
            site.call("/once/", body=body, **{"X-Request-Deadline-Ms": "1000"})
        )
        await site.until(lambda: site.buffers.held > len(body))
        assert site.buffers.held_by_kind["transport"] > 0
        assert (await call)[0] in (502, 504)
        await site.until(lambda: not site.buffers.held)


class TestTargetsThatHaveTakenTheirRequest:
    async def test_it_is_not_counted_as_unsent(self, site):
        """Its bytes stayed counted until the response: later requests got 503."""
        await site.start(TargetStandIn("t1", lambda *_: ["hang"]), document=_document())
        call = asyncio.create_task(site.call("/once/", body=b"b" * (4 << 20)))
        await site.until(lambda: site.targets[0].requests)
        await site.until(lambda: not site.buffers.held_by_kind["transport"])
        assert site.buffers.held_by_kind["request"] == 4 << 20
        call.cancel()


class TestStop:
    """An instance waited for no plain response that its caller was still reading."""

    @pytest.mark.timeout(120)
    async def test_ends_in_time_and_delivers_to_callers_who_read(self, tmp_path):
        async with LimitedInstance(tmp_path, 0, _large) as limited:
            address = limited.instance.caller_address
            silent = [StalledCaller(address) for _ in range(12)]
            reading = [StalledCaller(address) for _ in range(6)]
            for number, caller in enumerate([*silent, *reading]):
                await caller.send("/once/", name=f"s{number}")
            async with asyncio.timeout(BOUND_S):
                while limited.log.count('"outcome": "done"') < 18:
                    await asyncio.sleep(0.05)
            limited.instance.signal(signal.SIGTERM)
            bodies = await asyncio.gather(
                *(caller.read_slowly(LARGE, seconds=0.7) for caller in reading)
            )
            assert all(body.endswith(b"x" * LARGE) for body in bodies)
            # The deadline of the silent callers is a minute away.
            assert await limited.instance.wait_exit(BOUND_S) == 0
            for caller in silent:
                data, _was_reset = await caller.read_all()
                assert len(data) < LARGE


class TestMemoryOfAProcess:
    """The process was killed at its limit: 400 such streams took 437 MB."""

    LIMIT_MB = 120

    @pytest.mark.timeout(180)
    @pytest.mark.parametrize(
        ("path", "script"),
        [("/stream/", endless_events(100_000, 80)), ("/safe/", _large)],
    )
    async def test_stays_below_the_limit(self, tmp_path, path, script):
        async with LimitedInstance(tmp_path, self.LIMIT_MB, script) as limited:
            callers = []
            for first in range(0, 200, 20):
                group = [
                    StalledCaller(limited.instance.caller_address) for _ in range(20)
                ]
                callers += group
                await asyncio.gather(
                    *(
                        caller.send(path, name=f"s{first}-{number}")
                        for number, caller in enumerate(group)
                    )
                )
            await until_steady(lambda: limited.resident >> 20, times=20)
            assert limited.highest_resident < self.LIMIT_MB * 10**6
            for caller in callers:
                caller.reset()
            async with asyncio.timeout(BOUND_S):
                while not await limited.serves():
                    await asyncio.sleep(0.05)
