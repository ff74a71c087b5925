"""Tests of hibiscusstep.peerlink: connections between instances that fail."""

import asyncio
import time

import pytest
from platform_standin import free_port
from soak_proxy import Mode, Proxy

from hibiscusstep import clock, codec
from hibiscusstep.peer import PoolQueued, Received
from hibiscusstep.peerlink import NONCE_BYTES, LinkLost, PeerLinks, Send

TIMEOUT_S = 20
KEY = "a-key-for-tests-only"


class _LinkPair:
    """The links of two instances; the traffic of the sender passes through a proxy."""

    async def __aenter__(self):
        self.received_pools = []
        self.broken_links = 0
        ports = [free_port() for _ in range(2)]
        receiver = PeerLinks(f"127.0.0.1:{ports[0]}", KEY, self._deliver)
        self.sender = PeerLinks(f"127.0.0.1:{ports[1]}", KEY, self._count_lost)
        target = ("127.0.0.1", ports[0])
        self.proxy = Proxy("127.0.0.1", free_port(), lambda: target)
        await self.proxy.start()
        self._tasks = [asyncio.create_task(w.run()) for w in (receiver, self.sender)]
        return self

    async def __aexit__(self, *_exc):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.proxy.stop()

    def _deliver(self, message):
        if isinstance(message, Received):
            self.received_pools.append(message.message.pool)

    def _count_lost(self, message):
        self.broken_links += isinstance(message, LinkLost)

    async def send_until(self, name):
        """Send a message periodically, like heartbeats, until it arrives."""
        async with asyncio.timeout(TIMEOUT_S):
            while name not in self.received_pools:
                self.sender.tell(Send(self.proxy.address, PoolQueued(name)))
                await asyncio.sleep(0.05)


class TestSilentConnection:
    async def test_replaces_a_connection_that_stopped_delivering(self):
        """The proxy discards all bytes without a reset; new connections work."""
        async with _LinkPair() as pair:
            await pair.send_until("before")
            pair.proxy.silence_open_connections()
            await pair.send_until("after")

    @pytest.mark.parametrize("mode", [Mode.CUT_UP, Mode.SILENT])
    async def test_delivers_messages_again_after_a_partition(self, mode):
        async with _LinkPair() as pair:
            await pair.send_until("before")
            pair.proxy.set(mode)
            pair.sender.tell(Send(pair.proxy.address, PoolQueued("lost")))
            await asyncio.sleep(0)
            pair.proxy.set(Mode.PASS)
            await pair.send_until("after")

    async def test_keeps_an_idle_connection(self, monkeypatch):
        """An idle connection without unacknowledged frames is not replaced."""
        monkeypatch.setattr("hibiscusstep.peerlink.SILENT_AFTER_S", 0.4)
        monkeypatch.setattr("hibiscusstep.peerlink.ACKNOWLEDGE_AFTER_S", 0.01)
        async with _LinkPair() as pair:
            await pair.send_until("before")
            link = pair.sender._links[pair.proxy.address]
            async with asyncio.timeout(TIMEOUT_S):
                while link._unacknowledged_since is not None:
                    await asyncio.sleep(0.01)
            await asyncio.sleep(0.6)
            writers = set(pair.proxy._writers)
            await pair.send_until("after")
            assert set(pair.proxy._writers) == writers


class TestMessageToManyPeers:
    """Encoding the same message for each peer took half of a relay's CPU time."""

    async def test_is_encoded_once_and_delivered_to_each(self, monkeypatch):
        encoded = []
        encode = codec.encode
        monkeypatch.setattr(
            codec, "encode", lambda item: encoded.append(item) or encode(item)
        )
        async with _LinkPair() as pair:
            await pair.send_until("before")
            encoded.clear()
            shared = PoolQueued("news")
            for _ in range(3):
                pair.sender.tell(Send(pair.proxy.address, shared))
            pair.sender.tell(Send(pair.proxy.address, PoolQueued("other")))
            async with asyncio.timeout(TIMEOUT_S):
                while "other" not in pair.received_pools:
                    await asyncio.sleep(0.01)
            assert pair.received_pools[-4:] == ["news"] * 3 + ["other"]
            assert len(encoded) == 2


class TestCutFrame:
    """Guards against a frame whose sender ended within it and that is delivered."""

    async def test_no_prefix_of_a_handshake_and_a_message_is_delivered(self):
        delivered = []
        address = f"127.0.0.1:{free_port()}"
        receiver = PeerLinks(address, KEY, delivered.append)
        sender = PeerLinks("127.0.0.1:1", KEY, lambda _message: None)
        await receiver.start()
        size, is_whole = 0, False
        async with asyncio.timeout(TIMEOUT_S):
            while not is_whole:
                assert delivered == []
                reader, writer = await asyncio.open_connection(*address.split(":"))
                nonce = await reader.readexactly(NONCE_BYTES)
                whole = sender.handshake(nonce, PoolQueued("p"))
                is_whole = size == len(whole)
                writer.write(whole[:size])
                writer.write_eof()
                await reader.read()
                writer.close()
                size += 1
        await receiver.stop()
        assert len(delivered) == 1


class TestPausedReceiver:
    """Guards against messages of before a pause that are read after it.

    The dispatcher of a pool granted targets to requests that had ended during its
    pause, since their messages waited in its sockets.
    """

    PAUSE_S = 2.0

    async def _pause(self, pair, monkeypatch):
        """Let the receiver read a message that waited for the length of a pause."""
        paused_s = 0.0
        monkeypatch.setattr(clock, "elapsed", lambda: time.monotonic() + paused_s)
        await pair.send_until("before")
        pair.sender.tell(Send(pair.proxy.address, PoolQueued("waited")))
        paused_s = self.PAUSE_S

    async def test_discards_the_messages_that_waited(self, monkeypatch):
        async with _LinkPair() as pair:
            await self._pause(pair, monkeypatch)
            await pair.send_until("after")
            assert "waited" not in pair.received_pools

    async def test_the_sender_learns_that_its_messages_are_lost(self, monkeypatch):
        async with _LinkPair() as pair:
            await self._pause(pair, monkeypatch)
            async with asyncio.timeout(TIMEOUT_S):
                while not pair.broken_links:
                    await asyncio.sleep(0.01)

    async def test_a_shorter_gap_loses_nothing(self, monkeypatch):
        monkeypatch.setattr(self, "PAUSE_S", 1.0)
        async with _LinkPair() as pair:
            await self._pause(pair, monkeypatch)
            await pair.send_until("after")
            assert "waited" in pair.received_pools
            assert not pair.broken_links
