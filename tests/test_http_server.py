"""The HTTP server for callers that need not keep the limits, without sockets."""

import asyncio

import pytest
from aiohttp import web
from hypothesis import given
from hypothesis import strategies as st

from hibiscusstep.descriptors import ConnectionLimits
from hibiscusstep.http_server.connection import Connection
from hibiscusstep.http_server.connection_table import ConnectionTable, Phase
from hibiscusstep.http_server.limits import (
    HEADER_MARGIN_S,
    IDLE_MARGIN_S,
    IngressLimits,
)
from hibiscusstep.http_server.loop_share import (
    STEP_COST,
    LoopShare,
    Parsing,
    parsing_cost,
)
from hibiscusstep.http_server.server_context import ServerContext

LIMITS = IngressLimits(max_header_bytes=400)
BOUND_S = 10
# Bodies, sent with a length or in chunks of some bytes.
BODIES = st.tuples(st.binary(max_size=60), st.sampled_from([0, 1, 7]))


class Transport(asyncio.Transport):
    """Transport that records what is written and passes bytes on unless paused."""

    def __init__(self):
        super().__init__()
        self.written = bytearray()
        self.is_paused = False
        self.is_closed = False

    def write(self, data):
        self.written += data

    def writelines(self, parts):
        self.written += b"".join(parts)

    def write_eof(self):
        pass

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False

    def is_closing(self):
        return self.is_closed

    def close(self):
        self.is_closed = True

    abort = close


class Site:
    """One connection to an application that returns the body of each request.

    Parameters
    ----------
    context : ServerContext or None
        That of another connection to share; None makes one.
    **options : object
        Arguments of the context.
    """

    def __init__(self, context=None, **options):
        self.context = context
        self._options = options

    def another(self):
        """Return another connection to the port."""
        return Site(self.context)

    async def __aenter__(self):
        self.received = []
        self.refusals = []
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._handle)
        self._runner = web.AppRunner(app, handler_cancellation=True)
        await self._runner.setup()
        self.context = self.context or ServerContext(
            "p",
            lambda: LIMITS,
            lambda *args: self.refusals.append(args),
            **self._options,
        )
        loop = asyncio.get_running_loop()
        self.connection = Connection(self._runner.server, self.context, loop=loop)
        self.transport = Transport()
        self.connection.connection_made(self.transport)
        return self

    async def __aexit__(self, *_exc):
        self.connection.connection_lost(None)
        await self._runner.cleanup()

    async def _handle(self, request):
        body = b"" if request.path == "/unread" else await request.read()
        self.received.append((request.path, body))
        return web.Response(body=body)

    async def feed(self, *pieces):
        """Deliver pieces as a transport does, until all are read or it is closed."""
        async with asyncio.timeout(BOUND_S):
            for piece in pieces:
                while self.transport.is_paused and not self.transport.is_closed:
                    await asyncio.sleep(0)
                if not self.transport.is_closed:
                    self.connection.data_received(piece)

    async def received_all(self, count):
        async with asyncio.timeout(BOUND_S):
            while len(self.received) < count:
                await asyncio.sleep(0)


def request(number, body, chunk_bytes):
    head = f"POST /{number} HTTP/1.1\r\nHost: h\r\n".encode()
    if not chunk_bytes:
        return head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    pieces = (body[n : n + chunk_bytes] for n in range(0, len(body), chunk_bytes))
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in pieces)
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


def split(data, cuts):
    ends = sorted({cut % (len(data) + 1) for cut in cuts} | {0, len(data)})
    return [data[a:b] for a, b in zip(ends, ends[1:], strict=False)]


class TestConnectionTable:
    """Which connections have been in a phase for too long."""

    TIMEOUTS = IngressLimits(header_timeout=2.0, idle_timeout=10.0)

    @pytest.mark.parametrize(
        ("phase", "seconds"),
        [
            (Phase.REFUSED, 1.0),
            (Phase.CLOSING, 10.0 + IDLE_MARGIN_S),
            (Phase.NEW, 10.0 + IDLE_MARGIN_S),
            (Phase.IDLE, 10.0 + IDLE_MARGIN_S),
            (Phase.HEAD, 2.0 + HEADER_MARGIN_S),
            (Phase.BODY, 60.0),
            (Phase.AT_WORK, 60.0),
        ],
    )
    def test_time_of_a_phase(self, phase, seconds):
        table = ConnectionTable(1.0, 60.0)
        table.set_phase("a", phase, 100.0)
        table.set_phase("a", phase, 100.0 + seconds - 0.1)
        table.set_phase("b", phase, 101.0)
        limits = self.TIMEOUTS
        assert not list(table.expired(100.0 + seconds - 0.01, limits))
        assert list(table.expired(100.0 + seconds, limits)) == [("a", phase)]

    def test_work_is_not_bounded_by_default(self):
        table = ConnectionTable(1.0)
        table.set_phase("a", Phase.AT_WORK, 0.0)
        assert not list(table.expired(1e9, self.TIMEOUTS))

    def test_a_phase_starts_anew_after_another(self):
        table = ConnectionTable(1.0)
        for number, phase in enumerate((Phase.IDLE, Phase.AT_WORK, Phase.IDLE)):
            table.set_phase("a", phase, 100.0 * number)
        assert not list(table.expired(210.0, self.TIMEOUTS))
        table.remove("a")
        table.remove("a")
        assert not list(table.expired(1e9, self.TIMEOUTS))


class TestSplitting:
    """However bytes are split, the same requests arrive whole and in order."""

    @given(st.lists(BODIES, min_size=1, max_size=4), st.lists(st.integers(0, 2000)))
    def test_requests_arrive_whole(self, bodies, cuts):
        async def play():
            async with Site() as site:
                data = b"".join(request(n, *body) for n, body in enumerate(bodies))
                await site.feed(*split(data, cuts))
                await site.received_all(len(bodies))
                assert site.received == [
                    (f"/{n}", body) for n, (body, _) in enumerate(bodies)
                ]
                assert not site.refusals

        asyncio.run(play())

    @given(st.integers(-40, 40), st.lists(st.integers(0, 2000)))
    def test_heads_are_bounded(self, excess, cuts):
        async def play():
            async with Site() as site:
                head = b"GET /0 HTTP/1.1\r\nHost: h\r\nX-A: \r\n\r\n"
                size = LIMITS.max_header_bytes + excess
                head = head.replace(b"X-A: ", b"X-A: " + b"a" * (size - len(head)))
                await site.feed(*split(head, cuts))
                if excess > 0:
                    assert site.transport.written.startswith(b"HTTP/1.1 431 ")
                    assert not site.received
                else:
                    await site.received_all(1)
                    assert not site.refusals

        asyncio.run(play())


class TestRefusals:
    """Bytes that are no request end the connection, and are not kept."""

    @pytest.mark.parametrize(
        ("data", "status"),
        [
            (b"\x16\x03\x01\x02\x00\x01\x00", 400),
            (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 400),
            (b"\r\n" * 9, 400),
            (b"GET /" + b"a" * 400, 431),
            (b"GET /0 HTTP/1.1\r\nHost: h\r\n" + b"X:\r\n" * 100, 431),
            (b"GET /0 HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n", 400),
        ],
    )
    async def test_is_answered_once(self, data, status):
        async with Site() as site:
            await site.feed(data, *[b"a" * 1000] * 10)
            assert site.transport.written.startswith(b"HTTP/1.1 %d " % status)
            assert site.transport.written.count(b"HTTP/1.1") == 1
            assert len(site.refusals) == 1
            assert not site.connection._held

    @pytest.mark.parametrize(
        "tail",
        [
            b"1;" + b"e" * 500,
            b"0" * 500,
            b"1\r\na\r\n0\r\n" + b"X-T: v\r\n" * 80,
            b"x\r\n",
        ],
    )
    async def test_framing_of_a_body_is_bounded(self, tail):
        async with Site() as site:
            head = b"POST /0 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            await site.feed(head, tail[:6], tail[6:])
            async with asyncio.timeout(BOUND_S):
                while not site.transport.written:
                    await asyncio.sleep(0)
            assert site.transport.written.startswith(b"HTTP/1.1 400 ")
            assert len(site.refusals) == 1
            assert not site.received

    async def test_a_late_head_is_told_so(self):
        async with Site() as site:
            await site.feed(b"GET /0 HT")
            site.connection.expire(Phase.HEAD)
            assert site.transport.written.startswith(b"HTTP/1.1 408 ")

    async def test_bytes_behind_a_request_wait(self):
        async with Site() as site:
            first = request(0, b"", 0)
            site.connection.data_received(first + b"junk" * 5)
            assert site.transport.is_paused
            await site.received_all(1)
            async with asyncio.timeout(BOUND_S):
                while b" 400 " not in site.transport.written:
                    await asyncio.sleep(0)
            assert site.transport.written.startswith(b"HTTP/1.1 200 ")


class TestRoom:
    """Which connection is closed for a new one."""

    def test_order(self):
        table = ConnectionTable(1.0)
        for number, phase in enumerate(reversed(Phase)):
            table.set_phase(f"{phase.name}-old", phase, float(number))
            table.set_phase(f"{phase.name}-new", phase, 100.0)
        chosen = []
        while (victim := table.choose_victim()) is not None:
            chosen.append(victim)
            table.remove(victim)
        assert chosen == [
            "REFUSED-old",
            "REFUSED-new",
            "CLOSING-old",
            "CLOSING-new",
            "HEAD-old",
            "NEW-old",
            "NEW-new",
            "HEAD-new",
            "IDLE-old",
            "IDLE-new",
            "BODY-old",
            "BODY-new",
        ]
        assert len(table) == 2

    @pytest.mark.parametrize("sent", [b"", b"GET /0 HT", request(0, b"", 0)])
    async def test_a_connection_without_a_request_is_closed(self, sent):
        async with Site() as site:
            await site.feed(sent)
            async with asyncio.timeout(BOUND_S):
                while sent.endswith(b"\r\n\r\n") and not site.transport.written:
                    await asyncio.sleep(0)
            await asyncio.sleep(0)
            site.connection.evict()
            assert site.transport.is_closed

    async def test_half_a_body_is_told_that_nothing_ran(self):
        async with Site() as site:
            await site.feed(request(0, b"whole", 0)[:-1])
            site.connection.evict()
            async with asyncio.timeout(BOUND_S):
                while not site.transport.written:
                    await asyncio.sleep(0)
            assert site.transport.written.startswith(b"HTTP/1.1 503 ")
            assert not site.received


class TestConnectionLimits:
    """The descriptors are shared between the ports."""

    @pytest.mark.parametrize("max_fds", [0, 64, 300, 2870, 4100, 8192, 1 << 30])
    def test_some_are_left(self, max_fds):
        limits = ConnectionLimits.of_descriptors(max_fds)
        ports = limits.callers + 3 * limits.others
        assert limits.callers >= 16
        assert ports <= max(32, (max_fds or 1 << 30) - 200) * 7 // 8


class TestLoopShare:
    """What a port parses in one step of the event loop is bounded."""

    async def test_all_take_turns_in_bounded_steps(self):
        share, turns, steps = LoopShare(), [], [0]

        class Sender(Parsing):
            def __init__(self, name, is_head):
                self.name, self.is_head = name, is_head

            def go_on(self):
                share.spend(STEP_COST)
                turns.append((steps[0], self.name))
                if not self.is_head:
                    share.wait(self, False)

        for name in "abc":
            share.wait(Sender(name, False), False)
        for steps[0] in range(9):
            if steps[0] == 5:
                share.wait(Sender("head", True), True)
            await asyncio.sleep(0)
        assert [name for _step, name in turns] == list("abcab") + ["head"] + list("cab")
        assert [step for step, _name in turns] == list(range(9))

    async def test_a_head_is_parsed_beside_bodies(self):
        share = LoopShare()
        share.spend(STEP_COST)
        assert not share.allows(is_head=False)
        assert share.allows(is_head=True)
        share.spend(STEP_COST)
        assert not share.allows(is_head=True)
        await asyncio.sleep(0)
        assert share.allows(is_head=False)

    def test_chunks_cost_more_than_their_bytes(self):
        chunks, plain = b"1\r\na\r\n" * 1000, bytes(6000)
        assert parsing_cost(chunks, True) > 100 * parsing_cost(plain, False)


class TestUnparsedBytes:
    """What all connections of a port hold before it is parsed is bounded."""

    async def test_the_oldest_part_of_a_head_goes_first(self):
        async with Site(max_held=250) as site, site.another() as other:
            await site.feed(b"GET /" + b"a" * 100)
            await other.feed(b"GET /" + b"a" * 100)
            assert not site.refusals
            await other.feed(b"a" * 50)
            assert site.transport.written.startswith(b"HTTP/1.1 503 ")
            assert not other.transport.written
            assert site.context._held == other.connection.held_bytes

    async def test_bytes_behind_a_request_go_before_heads(self):
        async with Site(max_held=250) as site, site.another() as other:
            await other.feed(b"GET /" + b"a" * 100)
            site.connection.data_received(request(0, b"", 0) + b"j" * 1000)
            assert not other.transport.written
            await site.received_all(1)
            async with asyncio.timeout(BOUND_S):
                while not site.transport.is_closed:
                    await asyncio.sleep(0)
            assert site.transport.written.startswith(b"HTTP/1.1 200 ")
            assert site.transport.written.count(b"HTTP/1.1") == 1

    async def test_a_connection_that_is_closed_expires(self):
        """One whose body was cut and whose response was not taken stayed for good."""
        async with Site() as site:
            await site.feed(request("unread", b"whole", 0)[:-1])
            async with asyncio.timeout(BOUND_S):
                while not site.transport.written:
                    await asyncio.sleep(0)
            await asyncio.sleep(0)
            site.connection.force_close()
            assert site.context.table.oldest(Phase.CLOSING) is site.connection
