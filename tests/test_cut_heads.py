"""Guards against answers that were cut in their head and are taken for whole.

A target, a store or a peer that ends while it writes closes its connection, or it is
reset. The head, or what frames the body, is then incomplete.
"""

import asyncio
from collections import Counter

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
from test_forwarding import Site

KEY = "a-key-for-tests-only"
BODY = b"0123456789ab"
EVENTS = b"".join(map(event, range(3)))
TRAILER = b"0\r\nX-Trailer: value\r\n\r\n"
INTERIM = {
    "": b"",
    "100": b"HTTP/1.1 100 Continue\r\n\r\n",
    "103": b"HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n",
}
FIELDS = {"x-request-id": "whole"}
PATHS = ("/safe/", "/once/", "/keyed/", "/stream/", "/resume/")
REPEATABLE = ("/safe/", "/resume/")
ENDS = {"close": ["close"], "reset": [0.02, "reset"]}
LATE_END = [2.0, "close"]


def with_length(fields, body=BODY):
    kind = "text/event-stream" if body == EVENTS else "text/plain"
    return answer(fields, body, extra=f"Content-Type: {kind}")


def with_chunks(fields, body=BODY):
    # Two chunks, the second with a size of two digits.
    parts = chunk(body[:5]) + chunk(body[5:] + b"\n" * 16) + TRAILER
    return stream_head(fields).replace(b"event-stream", b"plain") + parts


def with_events(fields, body=EVENTS):
    first, second = body.split(b"\n\n", 1)
    return stream_head(fields) + chunk(first + b"\n\n") + chunk(second) + TRAILER


def before(mark, offset=0):
    """Return a cut at the position of a mark, moved by an offset."""
    return lambda whole: whole[: whole.index(mark) + offset]


def with_field(field, next_name=b"X-Nex"):
    """Return a cut after a field in place of the one that frames the body."""

    def cut(whole):
        head = whole.partition(b"\r\n\r\n")[0].split(b"\r\n")
        framing = (b"Content-Length", b"Transfer-Encoding")
        others = [line for line in head if not line.startswith(framing)]
        return b"\r\n".join([*others, field, next_name])

    return cut


def without_seal(whole):
    lines = whole.splitlines(keepends=True)
    return b"".join(line for line in lines if not line.startswith(b"X-Response-Seal"))


CUTS = {
    "nothing": lambda _whole: b"",
    "in the version": before(b"1.1 200"),
    "in the status": before(b"200", 2),
    "after the status": before(b"200", 3),
    "after the status line": before(b"\r\n", 2),
    "in a name": before(b"X-Response-Seal", 6),
    "after a name": before(b"X-Response-Seal", 16),
    "in a value": before(b"X-Response-Seal", 19),
    "without framing": with_field(b"X-Other: 1", b""),
    "in a shorter length": with_field(b"Content-Length: 1", b""),
    "after a shorter length": with_field(b"Content-Length: 1"),
    "after a length of 0": with_field(b"Content-Length: 0"),
    "in the coding": with_field(b"Transfer-Encoding: chu", b""),
    "after the coding": with_field(b"Transfer-Encoding: chunked"),
    "without seal": without_seal,
    "without blank line": before(b"\r\n\r\n", 2),
    "in the blank line": before(b"\r\n\r\n", 3),
    "after the head": before(b"\r\n\r\n", 4),
    "in the body": before(b"\r\n\r\n", 8),
    "in a chunk's size": before(b"\r\n\r\n", 5),
    "before the trailer": lambda whole: whole[:-22],
    "in the trailer": lambda whole: whole[:-10],
    "in the last line": lambda whole: whole[:-3],
    "before the last byte": lambda whole: whole[:-1],
}
SHAPES = {"length": with_length, "chunks": with_chunks}
STREAM_SHAPES = {"length": with_length, "chunks": with_events}


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


def document():
    """Return a configuration with a keyed route; a late answer is in time."""
    document = configuration()
    once = next(route for route in document["Routes"] if route["Name"] == "once")
    keyed = {**once, "Name": "keyed", "PathPrefix": "/keyed/", "Kind": "keyed"}
    document["Routes"].append(keyed)
    for route in document["Routes"]:
        route |= {"TargetLatencyMs": 5000, "TimeoutMs": 12000}
    return document


class CutAnswers:
    """Script of targets that cut their answers.

    Attributes
    ----------
    cuts : dict of str to list of callable
        How the answers to a request are cut, one after the other.
    runs : Counter
        Number of runs by request.
    """

    def __init__(self, shape="length", end=("close",), interim=b""):
        self._shape, self._end, self._interim = shape, end, interim
        self.cuts = {}
        self.runs = Counter()

    def __call__(self, _number, fields, _body):
        """Return the next answer to a request, whole if no cut is left."""
        request = fields["x-request-id"]
        self.runs[request] += 1
        whole = self._whole(request, fields)
        if not self.cuts.get(request):
            return [whole]
        return [self._interim, self.cuts[request].pop()(whole), *self._end]

    def _whole(self, request, fields):
        if "stream" not in request:
            return SHAPES[self._shape](fields)
        after = int(fields.get("last-event-id", -1))
        rest = EVENTS[len(event(0)) * (after + 1) :]
        return STREAM_SHAPES[self._shape](fields, rest)


class WideTarget(TargetStandIn):
    """Target with a slot for each request of a test."""

    def entry(self, pool, state="ready", slots=64):
        return super().entry(pool, state, slots)


async def call_one(site, script, path, name, cuts):
    """Return status, body and runs of a request whose answers are cut."""
    kind = "stream" if path in ("/stream/", "/resume/") else "plain"
    request = f"{kind}{path}{name}".replace(" ", "-")
    # The last is the next that is used.
    script.cuts[request] = cuts
    fields = {"Idempotency-Key": request, "body": request.encode()}
    status, _fields, body = await site.call(path, request=request, **fields)
    return status, body, script.runs[request]


async def call_all(site, script, path, attempts=1, first=None):
    """Return status, body and runs of a request for each cut, by the cut's name."""
    calls = (
        call_one(
            site, script, path, name, [cut] * attempts + ([first] if first else [])
        )
        for name, cut in CUTS.items()
    )
    return dict(zip(CUTS, await asyncio.gather(*calls), strict=True))


def find_wrong(path, results):
    """Return the results that are complete, say "not run", or are of too many runs."""
    most = 2 if path in REPEATABLE else 1
    return {
        name: (status, body, runs)
        for name, (status, body, runs) in results.items()
        if not (status == 502 or (status == 200 and body is None))
        or not 1 <= runs <= most
    }


class TestTargets:
    """Guards against answers that end within their head and reach callers as whole."""

    @pytest.mark.parametrize("end", ENDS.values(), ids=ENDS)
    @pytest.mark.parametrize("shape", SHAPES)
    async def test_no_caller_receives_a_whole_answer(self, site, shape, end):
        script = CutAnswers(shape, end)
        targets = (WideTarget(f"t{number}", script) for number in range(3))
        await site.start(*targets, document=document())
        for path in PATHS:
            results = await call_all(site, script, path, attempts=2)
            assert find_wrong(path, results) == {}

    @pytest.mark.parametrize("path", ["/safe/", "/once/", "/resume/"])
    async def test_a_late_close_is_no_exception(self, site, path):
        script = CutAnswers(end=LATE_END)
        targets = (WideTarget(f"t{number}", script) for number in range(3))
        await site.start(*targets, document=document())
        results = await call_all(site, script, path, attempts=2)
        assert find_wrong(path, results) == {}

    @pytest.mark.parametrize("interim", INTERIM.values(), ids=INTERIM)
    @pytest.mark.parametrize("path", REPEATABLE)
    async def test_the_answer_of_another_is_whole(self, site, path, interim):
        script = CutAnswers(interim=interim)
        targets = (WideTarget(f"t{number}", script) for number in range(3))
        await site.start(*targets, document=document())
        results = await call_all(site, script, path, attempts=1)
        whole = EVENTS if path == "/resume/" else BODY
        assert set(results.values()) == {(200, whole, 2)}

    @pytest.mark.parametrize("shape", SHAPES)
    async def test_a_resumed_stream_is_not_complete(self, site, shape):
        """The caller has an event when the head of the next answer is cut."""
        script = CutAnswers(shape)
        targets = (WideTarget(f"t{number}", script) for number in range(3))
        await site.start(*targets, document=document())
        first = before(b"id: 1")
        results = await call_all(site, script, "/resume/", first=first)
        assert set(results.values()) == {(200, None, 2)}

    @pytest.mark.parametrize("path", ["/once/", "/stream/"])
    @pytest.mark.parametrize("shape", SHAPES)
    async def test_a_used_connection_is_no_exception(self, site, path, shape):
        script = CutAnswers(shape)
        target = TargetStandIn("t0", script)
        await site.start(target, document=document())
        for name in CUTS:
            status, _fields, body = await site.call(
                path, request=f"{path[1:]}warm-{name}".replace(" ", "-")
            )
            assert is_complete(status, body)
            connections = target.connections
            found = await call_one(site, script, path, name, [CUTS[name]])
            assert find_wrong(path, {name: found}) == {}
            assert target.connections == connections

    @pytest.mark.parametrize("shape", SHAPES)
    async def test_another_instance_is_no_exception(
        self, partitioned_site, monkeypatch, shape
    ):
        script = CutAnswers(shape)
        await partitioned_site.begin(
            monkeypatch, 2, targets=2, script=script, document=document()
        )
        partitioned_site.network.cut(Cut.RESET, {0})
        for path in PATHS:
            results = await call_all(partitioned_site, script, path, attempts=2)
            assert find_wrong(path, results) == {}
