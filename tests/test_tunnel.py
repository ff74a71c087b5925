"""Tests of hibiscusstep.forwarding.tunnel: requests through another instance."""

import asyncio
import contextlib

import pytest
from partitioned_network import Cut, PartitionedSite
from platform_standin import (
    answer,
    chunk,
    configuration,
    event,
    free_port,
    stream_head,
)
from slow_peers import StalledCaller
from test_forwarding import BOUND_S

from hibiscusstep.errors import TargetError
from hibiscusstep.forwarding.connections import HEARD_WITHIN_S, USER_TIMEOUT_MS
from hibiscusstep.forwarding.tunnel import open_tunnel
from hibiscusstep.peerlink import PeerLinks

KEY = "a-key-for-tests-only"
LONG_BODY = b"0123456789abcdef" * 65536


@pytest.fixture
async def site(tmp_path, monkeypatch):
    site = PartitionedSite(tmp_path, monkeypatch)
    yield site
    await site.stop()


async def _until(condition):
    async with asyncio.timeout(BOUND_S):
        while not condition():
            await asyncio.sleep(0.01)


class TestResponses:
    """A response through another instance is what it would be without it."""

    async def _begin(self, site, monkeypatch, script, instances=2):
        await site.begin(monkeypatch, instances, targets=1, script=script)
        site.network.cut(Cut.RESET, {0})

    async def test_long_bodies_are_whole_in_both_directions(self, site, monkeypatch):
        bodies = []

        def script(_number, fields, body):
            bodies.append(body)
            return answer(fields, LONG_BODY)

        await self._begin(site, monkeypatch, script)
        sent = LONG_BODY[:60_000]
        status, fields, body = await site.call("/once/", body=sent)
        assert (status, body, bodies) == (200, LONG_BODY, [sent])
        assert fields["X-Response-Seal"] == "s.e.a.l"

    async def test_a_response_may_end_with_its_connection(self, site, monkeypatch):
        def script(_number, fields, _body):
            return [answer(fields, b"", framed=False), 0.05, b"whole", "close"]

        await self._begin(site, monkeypatch, script)
        status, _fields, body = await site.call("/once/")
        assert (status, body) == (200, b"whole")

    @pytest.mark.parametrize("path", ["/once/", "/stream/"])
    async def test_is_not_complete_if_the_relay_is_lost(self, site, monkeypatch, path):
        """Guards against an end of the relay that looks like the end of a response."""

        def script(_number, fields, _body):
            if path == "/once/":
                return [answer(fields, b"", framed=False), b"part", "hang"]
            return [stream_head(fields), chunk(event(0)), "hang"]

        await self._begin(site, monkeypatch, script)
        call = asyncio.create_task(site.call(path))
        await site.targets[0].arrived.wait()
        await asyncio.sleep(0.1)
        await site.end_instance(1)
        status, _fields, body = await call
        assert status >= 500 or body is None
        assert len(site.targets[0].requests) == 1

    async def test_is_not_complete_if_the_target_resets(self, site, monkeypatch):
        def script(_number, fields, _body):
            return [answer(fields, b"", framed=False), b"part", 0.05, "reset"]

        await self._begin(site, monkeypatch, script)
        status, _fields, body = await site.call("/once/")
        assert status >= 500 or body is None

    async def test_the_target_is_told_when_the_caller_leaves(self, site, monkeypatch):
        await self._begin(site, monkeypatch, lambda *_request: ["hang"])
        call = asyncio.create_task(site.call("/stream/"))
        await site.targets[0].arrived.wait()
        call.cancel()
        async with asyncio.timeout(BOUND_S):
            await site.targets[0].closed.wait()

    async def test_the_relay_holds_little_of_a_long_one(self, site, monkeypatch):
        await self._begin(
            site, monkeypatch, lambda _n, fields, _b: answer(fields, 8 * LONG_BODY)
        )
        relay = site.instances[1].buffers
        highest = []
        call = asyncio.create_task(site.call("/once/"))
        while not call.done():
            highest.append(relay.held)
            await asyncio.sleep(0.001)
        status, _fields, body = await call
        assert (status, len(body)) == (200, 8 * len(LONG_BODY))
        assert max(highest) < 1 << 20

    async def test_a_relay_that_ends_finishes_them(self, site, monkeypatch):
        def script(_number, fields, _body):
            return [
                stream_head(fields),
                chunk(event(0)),
                0.6,
                chunk(event(1)),
                chunk(b""),
            ]

        await self._begin(site, monkeypatch, script)
        call = asyncio.create_task(site.call("/stream/"))
        await site.targets[0].arrived.wait()
        await site.instances[1].drain()
        status, _fields, body = await call
        assert (status, body) == (200, event(0) + event(1))


class TestWithoutRelay:
    async def test_all_instances_partitioned_refuse_at_once(self, site, monkeypatch):
        await site.begin(monkeypatch, instances=2, targets=2)
        site.network.cut(Cut.RESET, {0, 1})
        status, fields, _body = await site.call("/once/")
        assert status == 503
        assert float(fields["Retry-After"]) > 0
        assert not site.runs

    async def test_they_try_one_target_each_once_that_is_known(self, site, monkeypatch):
        """Guards against slots that are held for one target after another."""
        await site.begin(monkeypatch, instances=2, targets=4)
        site.network.cut(Cut.HANG, {0, 1})
        await site.call("/once/")
        tried = site.network.tried[0]
        status, fields, _body = await site.call("/once/")
        assert (status, float(fields["Retry-After"]) > 0) == (503, True)
        assert site.network.tried[0] <= tried + 1

    async def test_an_instance_without_peers_connects_directly(self, site, monkeypatch):
        await site.begin(monkeypatch, instances=1, targets=1)
        assert (await site.call("/once/"))[0] == 200


class TestEvidence:
    """What an instance sees of its own links is no fact about targets or requests."""

    async def test_a_partition_accuses_no_request_of_crashes(self, site, monkeypatch):
        """Guards against taking refused connections of a partition for crashes."""
        await site.begin(monkeypatch, work_s=0.5)
        calls = [
            asyncio.create_task(site.call("/resume/", instance=1, body=b"same"))
            for _ in range(2)
        ]
        await _until(lambda: len(site.runs) == 2)
        site.network.cut(Cut.REFUSE, {1})
        results = await asyncio.gather(*calls)
        assert [status for status, *_ in results] == [200] * 2
        for instance in site.instances:
            assert not instance.quarantine.suspected_count

    async def test_one_of_all_instances_accuses_none(self, site, monkeypatch):
        """Guards against refusals that no peer can confirm and nothing contradicts."""
        await site.begin(monkeypatch, work_s=0.5)
        calls = [
            asyncio.create_task(site.call("/resume/", instance=n, body=b"same"))
            for n in range(4)
        ]
        await _until(lambda: len(site.runs) == 4)
        site.network.cut(Cut.REFUSE, {0, 1, 2, 3})
        await asyncio.gather(*calls)
        await asyncio.sleep(2 * HEARD_WITHIN_S)
        for instance in site.instances:
            assert not instance.quarantine.suspected_count

    async def test_it_is_served_directly_after_the_partition(self, site, monkeypatch):
        await site.begin(monkeypatch, instances=2)
        site.network.cut(Cut.RESET, {1})
        for _ in range(4):
            await site.call("/once/", instance=1)
        await _until(lambda: not _accepts_tunnels(site, 1))
        site.network.heal()
        async with asyncio.timeout(BOUND_S):
            while not _accepts_tunnels(site, 1):
                await site.call("/once/", instance=1)


def _accepts_tunnels(site, number):
    """Return whether the first instance may ask another one for tunnels."""
    return site.instances[0].view.members[f"n{number}"].accepts_tunnels


class TestAuthentication:
    async def test_other_keys_and_older_builds_open_nothing(self, site, monkeypatch):
        await site.begin(monkeypatch, instances=1, targets=1)
        target, relay = site.targets[0], site.instances[0].peer_address
        opened = target.connections
        stranger = PeerLinks(f"127.0.0.1:{free_port()}", "another-key", lambda _m: None)
        async with asyncio.timeout(BOUND_S):
            with pytest.raises(TargetError) as raised:
                await open_tunnel(stranger, relay, target.name, target.address)
        assert raised.value.in_path
        assert target.connections == opened

    async def test_only_known_targets_are_connected_to(self, site, monkeypatch):
        await site.begin(monkeypatch, instances=1, targets=1)
        relay = site.instances[0].peer_address
        peer = PeerLinks(f"127.0.0.1:{free_port()}", KEY, lambda _message: None)
        with pytest.raises(TargetError, match="declined"):
            await open_tunnel(peer, relay, "t0", site.store.address)

    async def test_a_peer_that_serves_no_tunnels_closes(self):
        """As a build before does, which does not know the message."""
        links = PeerLinks(f"127.0.0.1:{free_port()}", KEY, lambda _message: None)
        await links.start()
        with contextlib.suppress(asyncio.CancelledError):
            with pytest.raises(TargetError) as raised:
                await open_tunnel(links, links._address, "t0", "127.0.0.1:1")
        await links.stop()
        assert raised.value.in_path


async def _read_chunked(reader):
    """Return the bytes of a chunked response, less if the connection ends before."""
    received = b""
    while not received.endswith(b"\r\n0\r\n\r\n"):
        data = await reader.read(1 << 16)
        if not data:
            break
        received += data
    return received


class TestSlowCallers:
    EVENTS = 1500

    async def test_a_pause_does_not_end_their_streams(self, site, monkeypatch):
        """Guards against a user time-out of the relay, which counts a full window."""
        line = b"id: %d\ndata: " + b"x" * 8000 + b"\n\n"

        def script(_number, fields, _body):
            events = [chunk(line % number) for number in range(self.EVENTS)]
            return [stream_head(fields), *events, chunk(b"")]

        document = configuration()
        for route in document["Routes"]:
            route["TimeoutMs"] = 60_000
        await site.begin(
            monkeypatch, instances=2, targets=1, script=script, document=document
        )
        site.network.cut(Cut.RESET, {0})
        caller = StalledCaller(site.instances[0].url.removeprefix("http://"))
        await caller.send("/stream/", name="slow")
        await site.targets[0].arrived.wait()
        await asyncio.sleep(USER_TIMEOUT_MS / 1000 + 2.0)
        caller.writer.transport.resume_reading()
        async with asyncio.timeout(4 * BOUND_S):
            received = await _read_chunked(caller.reader)
        assert received.count(b"id: ") == self.EVENTS
        assert len(site.targets[0].requests) == 1
