"""Guards against requests to a target that announces in its answers that it leaves.

In a region of nine instances, two still sent a target new requests 2.2 s and 6.0 s
after they had forwarded an answer in which it announced that it leaves. The store was
unavailable for 12 s, so the target could not write its state there. The instances did
not read the announcement in answers; a rejection was known to the dispatcher of that
moment only. No instance knew the state before the store was back, and the late requests
had not been waiting.

The tests reproduce this with a list that never shows the state.
"""

import asyncio

import pytest
from platform_standin import TargetStandIn, answer, chunk, event, stream_head
from test_forwarding import BOUND_S, Site

LEAVING = "Server-Leaving: 1"


def _stream(fields):
    head = stream_head(fields).replace(b"\r\n\r\n", f"\r\n{LEAVING}\r\n\r\n".encode())
    return [head, chunk(event(0)), chunk(b"")]


def _announces_leaving(kind):
    """Return a target's script that announces leaving in one kind of answer."""
    kinds = {
        "an answer": lambda fields: answer(fields, extra=LEAVING),
        "a stream": _stream,
        "a failure": lambda fields: answer(fields, status=500, extra=LEAVING),
        "a refusal": lambda fields: answer(
            fields, status=503, sealed=False, not_run=True, extra=LEAVING
        ),
    }
    return lambda _number, fields, _body: kinds[kind](fields)


@pytest.fixture
async def site(tmp_path, monkeypatch):
    site = Site(tmp_path, monkeypatch)
    yield site
    await site.stop()


async def _until(condition):
    async with asyncio.timeout(BOUND_S):
        while not condition():
            await asyncio.sleep(0.01)


async def _start_and_call(site, leaving, path="/once/"):
    """Let a target announce that it leaves, then add another target."""
    await site.start(leaving)
    await site.call(path)
    await site.add_target(TargetStandIn("t1"))
    await _until(lambda: "t1" in site.instances[0].targets)
    assert leaving.requests
    return len(leaving.requests)


class TestAnnouncedLeaving:
    @pytest.mark.parametrize(
        ("kind", "path"),
        [
            ("an answer", "/once/"),
            ("a stream", "/stream/"),
            ("a failure", "/once/"),
            ("a refusal", "/once/"),
        ],
    )
    async def test_gets_no_new_requests(self, site, kind, path):
        leaving = TargetStandIn("t0", _announces_leaving(kind))
        request_count = await _start_and_call(site, leaving, path)
        for _ in range(20):
            await site.call("/once/")
        assert len(leaving.requests) == request_count

    async def test_gets_none_from_other_instances(self, site):
        leaving = TargetStandIn("t0", _announces_leaving("an answer"))
        await site.start(leaving)
        await site.add_instance()
        await _until(lambda: all(i.view.size == 2 for i in site.instances))
        await site.call("/once/")
        request_count = len(leaving.requests)
        await site.add_target(TargetStandIn("t1"))
        await _until(lambda: site.instances[1].targets["t0"].leaving)
        for number in range(20):
            await site.call("/once/", instance=number % 2)
        assert len(leaving.requests) == request_count

    async def test_gets_none_from_an_instance_that_starts_later(self, site):
        leaving = TargetStandIn("t0", _announces_leaving("an answer"))
        request_count = await _start_and_call(site, leaving)
        await site.add_instance()
        await _until(lambda: site.instances[1].targets["t0"].leaving)
        for _ in range(20):
            await site.call("/once/", instance=1)
        assert len(leaving.requests) == request_count

    async def test_stays_leaving_regardless_of_its_entry(self, site):
        leaving = TargetStandIn("t0", _announces_leaving("an answer"))
        request_count = await _start_and_call(site, leaving)
        site.store.put("servers", "t0", leaving.entry("pool-a"))
        site.store.remove("servers", "t0")
        await _until(lambda: "t0" not in site.instances[0].targets)
        site.store.put("servers", "t0", leaving.entry("pool-a"))
        await _until(lambda: "t0" in site.instances[0].targets)
        for _ in range(20):
            await site.call("/once/")
        assert len(leaving.requests) == request_count

    async def test_is_used_after_a_restart(self, site):
        leaving = TargetStandIn("t0", _announces_leaving("an answer"), started_ms=1000)
        await _start_and_call(site, leaving)
        restarted = TargetStandIn("t0", started_ms=2000)
        await site.add_target(restarted)
        await _until(lambda: "t0@2000" in site.instances[0].targets)
        await site.targets[1].stop()
        for _ in range(5):
            await site.call("/once/")
        assert restarted.requests

    async def test_has_no_idle_connections(self, site):
        leaving = TargetStandIn("t0", _announces_leaving("an answer"))
        await _start_and_call(site, leaving)
        await _until(lambda: not leaving.open)


class TestRetryAfterOfTarget:
    """The target rejects a request with the seconds to stay away."""

    SECONDS = 20

    def _reject(self, _number, fields, _body):
        extra = f"Retry-After: {self.SECONDS}"
        return answer(fields, status=503, sealed=False, not_run=True, extra=extra)

    async def test_instance_stays_away(self, site):
        rejecting = TargetStandIn("t0", self._reject)
        request_count = await _start_and_call(site, rejecting)
        # The dispatcher's own back-off from a rejecting target ends in half this time.
        for _ in range(12):
            await asyncio.sleep(0.1)
            assert (await site.call("/once/"))[0] == 200
        assert len(rejecting.requests) == request_count

    async def test_callers_get_retry_after_if_all_targets_reject(self, site):
        targets = [TargetStandIn(f"t{n}", self._reject) for n in range(2)]
        await site.start(*targets)
        statuses = [await site.call("/once/") for _ in range(4)]
        assert [len(target.requests) for target in targets] == [1, 1]
        status, fields, _body = statuses[-1]
        assert status == 503
        assert self.SECONDS / 2 < float(fields["Retry-After"]) <= self.SECONDS

    async def test_other_instances_still_send_requests(self, site):
        rejecting = TargetStandIn("t0", self._reject)
        await site.start(rejecting)
        await site.add_instance()
        await site.call("/once/")
        await _until(lambda: site.instances[1].targets)
        await site.call("/once/", instance=1)
        assert len(rejecting.requests) == 2
