"""Guards against targets whose bytes are no response and come without end.

An instance read such a head until the caller's deadline, and kept what it read. A
rejection was believed only after the end of its body.
"""

import itertools

import pytest
from platform_standin import TargetStandIn, answer, chunk, stream_head
from test_forwarding import Site

from hibiscusstep.forwarding.exchange import MAX_BODY_BYTES

BLOCK = 1 << 14
# What may be held of a response that has no content yet: the bound, and one read.
MAX_HELD_WITHOUT_CONTENT = 1 << 20


def _begin(fields, status="200 OK"):
    return (
        f"HTTP/1.1 {status}\r\nX-Request-Id: {fields['x-request-id']}\r\n"
        "X-Response-Seal: s.e.a.l\r\n"
    ).encode()


def _chunked(fields):
    return _begin(fields) + b"Transfer-Encoding: chunked\r\n\r\n"


# By shape: how it begins, given the fields of the request, and what follows for ever.
WITHOUT_CONTENT = {
    "a field": (lambda f: _begin(f) + b"X-Long: ", b"a" * BLOCK),
    "fields": (_begin, b"X-Other: value\r\n" * 1000),
    "interim responses": (lambda f: b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 500),
    "a chunk's size": (_chunked, b"0" * BLOCK),
    "a chunk's extension": (lambda f: _chunked(f) + b"1;", b"a" * BLOCK),
    "trailer fields": (lambda f: _chunked(f) + b"0\r\n", b"X-Other: value\r\n" * 1000),
    "no HTTP": (lambda f: b"", b"\x00\xff" * BLOCK),
}
WITH_CONTENT = {
    "a body": (lambda f: _begin(f) + b"Connection: close\r\n\r\n", b"a" * BLOCK),
    "chunks": (_chunked, chunk(b"a" * BLOCK)),
    "an event": (lambda f: stream_head(f) + chunk(b"data: "), chunk(b"a" * BLOCK)),
}
SLOW = {
    "fields": (_begin, b"X-Other: value\r\n"),
    "interim responses": (lambda f: b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
}


def endless(shape, pause=0.0):
    """Return a script that goes on until the instance closes the connection."""
    begin, repeated = shape

    def script(_number, fields, _body):
        parts = [repeated, pause] if pause else [repeated]
        return itertools.chain([begin(fields)], itertools.cycle(parts))

    return script


def by_shape(shapes):
    return pytest.mark.parametrize("shape", shapes.values(), ids=shapes)


@pytest.fixture
async def site(tmp_path, monkeypatch):
    site = Site(tmp_path, monkeypatch)
    yield site
    await site.stop()


class TestWithoutContent:
    @by_shape(WITHOUT_CONTENT)
    @pytest.mark.parametrize("path", ["/once/", "/stream/"])
    async def test_fails_after_few_bytes(self, site, shape, path):
        await site.start(TargetStandIn("a", endless(shape)))
        status, _fields, _body = await site.call(path)
        assert status == 502
        assert site.instances[0].buffers.highest <= MAX_HELD_WITHOUT_CONTENT

    @by_shape(WITHOUT_CONTENT)
    async def test_is_sent_to_another_target(self, site, shape):
        scripts = itertools.chain([endless(shape)], itertools.repeat(None))

        def script(number, fields, body):
            failing = next(scripts)
            return failing(number, fields, body) if failing else answer(fields)

        await site.start(TargetStandIn("a", script), TargetStandIn("b", script))
        status, _fields, body = await site.call("/safe/")
        assert (status, body) == (200, b"whole")

    @by_shape(SLOW)
    async def test_fails_before_the_deadline_if_it_comes_slowly(self, site, shape):
        """At the deadline the status would be 504."""
        await site.start(TargetStandIn("a", endless(shape, pause=0.02)))
        status, _fields, _body = await site.call("/once/")
        assert status == 502


class TestWithContent:
    @by_shape(WITH_CONTENT)
    @pytest.mark.parametrize("path", ["/once/", "/stream/"])
    async def test_is_never_complete(self, site, shape, path):
        await site.start(TargetStandIn("a", endless(shape)))
        status, _fields, body = await site.call(path)
        assert status == 502 or body is None
        assert site.instances[0].buffers.highest <= MAX_BODY_BYTES + (1 << 20)


class TestOtherResponses:
    async def test_to_other_requests_fail_the_connection(self, site):
        other = answer({"x-request-id": "another"})
        await site.start(TargetStandIn("a", endless((lambda f: b"", other * 100))))
        status, _fields, _body = await site.call("/once/")
        assert status == 502

    async def test_a_rejection_holds_without_its_body(self, site):
        """Its head says that the request did not run; a caller may repeat it."""
        head = b"X-Not-Executed: 1\r\nConnection: close\r\n\r\n"
        shape = (lambda f: _begin(f, "503 Busy") + head, b"a" * BLOCK)
        await site.start(TargetStandIn("a", endless(shape)))
        status, _fields, _body = await site.call("/once/")
        assert status == 503


class TestComments:
    async def test_do_not_count_as_progress_of_a_stream(self, site):
        """A stream of comments only is retried like a silent one."""
        shape = (stream_head, chunk(b": comment\n\n"))
        scripts = iter([endless(shape, pause=0.02)])

        def script(number, fields, body):
            failing = next(scripts, None)
            if failing:
                return failing(number, fields, body)
            whole = chunk(b"id: 0\ndata: whole\n\n") + chunk(b"")
            return stream_head(fields) + whole

        await site.start(TargetStandIn("a", script), TargetStandIn("b", script))
        status, _fields, body = await site.call("/resume/")
        assert status == 200
        assert body.endswith(b"id: 0\ndata: whole\n\n")

    async def test_pieces_of_a_long_event_do(self, site):
        """An event that takes longer than a silent target may is not cut."""
        pieces = [chunk(b"data: "), *[0.4, chunk(b"a" * 9)] * 9]
        parts = [*pieces, chunk(b"\n\n"), chunk(b"")]
        target = TargetStandIn("a", lambda n, f, b: [stream_head(f), *parts])
        await site.start(target)
        status, _fields, body = await site.call("/resume/")
        assert (status, len(body)) == (200, 6 + 81 + 2)
