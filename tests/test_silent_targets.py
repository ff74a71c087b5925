"""Guards against repeating a request at a target that only pauses for a second or so.

Sound targets may send nothing for a second or so and go on. A request that is sent to
another target meanwhile runs twice at the same time, and the dispatcher takes the first
target for one that fails.
"""

import pytest
from platform_standin import (
    TargetStandIn,
    answer,
    chunk,
    configuration,
    event,
    stream_head,
)
from test_forwarding import Site

# What "a second or so" is taken to mean.
PAUSE_S = 1.4
OBJECTIVE_MS = 300


@pytest.fixture
async def site(tmp_path, monkeypatch):
    site = Site(tmp_path, monkeypatch)
    yield site
    await site.stop()


def _answer(fields, _pause_after):
    return [PAUSE_S, answer(fields)]


def _stream(fields, pause_after):
    events = [chunk(event(number)) for number in range(4)]
    head = stream_head(fields)
    parts = [head, *events[:pause_after], PAUSE_S, *events[pause_after:], chunk(b"")]
    return parts if pause_after else [PAUSE_S, head, *events, chunk(b"")]


class TestPause:
    @pytest.mark.parametrize(
        "path, script, pause_after",
        [("/safe/", _answer, 0), ("/resume/", _stream, 0), ("/resume/", _stream, 2)],
        ids=["answer", "before the first event", "within a stream"],
    )
    async def test_the_request_runs_once(self, site, path, script, pause_after):
        document = configuration()
        for route in document["Routes"]:
            route["TargetLatencyMs"] = OBJECTIVE_MS
        targets = [
            TargetStandIn(name, lambda _n, fields, _body: script(fields, pause_after))
            for name in ("t1", "t2")
        ]
        await site.start(*targets, document=document)
        status, _fields, body = await site.call(path)
        assert (status, bool(body)) == (200, True)
        assert sum(len(target.requests) for target in targets) == 1
