"""hibiscusstep.peerlink: connections between instances that fail in odd ways."""

import asyncio

import pytest
from platform_standin import free_port
from soak_proxy import Mode, Proxy

from hibiscusstep import codec
from hibiscusstep.peer import PoolQueued, Received
from hibiscusstep.peerlink import PeerLinks, Send

BOUND_S = 20
KEY = "a-key-for-tests-only"


class _Pair:
    """Two instances' links; what the first sends passes a proxy."""

    async def __aenter__(self):
        self.got = []
        ports = [free_port() for _ in range(2)]
        receiver = PeerLinks(f"127.0.0.1:{ports[0]}", KEY, self._deliver)
        self.sender = PeerLinks(f"127.0.0.1:{ports[1]}", KEY, lambda _message: None)
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
            self.got.append(message.message.pool)

    async def send_until(self, name):
        """Send a message again and again, as heartbeats go, until it has come."""
        async with asyncio.timeout(BOUND_S):
            while name not in self.got:
                self.sender.tell(Send(self.proxy.address, PoolQueued(name)))
                await asyncio.sleep(0.05)


class TestSilence:
    async def test_a_connection_that_went_silent_for_good_is_made_anew(self):
        """No reset comes, and what is written is swallowed; new connections work."""
        async with _Pair() as pair:
            await pair.send_until("before")
            pair.proxy.silence_open()
            await pair.send_until("after")

    @pytest.mark.parametrize("mode", [Mode.CUT_UP, Mode.SILENT])
    async def test_after_a_cut_messages_come_again(self, mode):
        async with _Pair() as pair:
            await pair.send_until("before")
            pair.proxy.set(mode)
            pair.sender.tell(Send(pair.proxy.address, PoolQueued("lost")))
            await asyncio.sleep(0)
            pair.proxy.set(Mode.PASS)
            await pair.send_until("after")

    async def test_a_quiet_connection_is_kept(self, monkeypatch):
        """What was acknowledged long ago is no reason to connect again."""
        monkeypatch.setattr("hibiscusstep.peerlink.SILENT_AFTER_S", 0.4)
        monkeypatch.setattr("hibiscusstep.peerlink.ACKNOWLEDGE_AFTER_S", 0.01)
        async with _Pair() as pair:
            await pair.send_until("before")
            link = pair.sender._links[pair.proxy.address]
            async with asyncio.timeout(BOUND_S):
                while link._unacknowledged_since is not None:
                    await asyncio.sleep(0.01)
            await asyncio.sleep(0.6)
            writers = set(pair.proxy._writers)
            await pair.send_until("after")
            assert pair.proxy._writers == writers


class TestMessageToMany:
    """Encoding the same message for each peer took half of a relay's processor time."""

    async def test_is_encoded_once_and_comes_to_each(self, monkeypatch):
        encoded = []
        encode = codec.encode
        monkeypatch.setattr(
            codec, "encode", lambda item: encoded.append(item) or encode(item)
        )
        async with _Pair() as pair:
            await pair.send_until("before")
            encoded.clear()
            news = PoolQueued("news")
            for _ in range(3):
                pair.sender.tell(Send(pair.proxy.address, news))
            pair.sender.tell(Send(pair.proxy.address, PoolQueued("other")))
            async with asyncio.timeout(BOUND_S):
                while "other" not in pair.got:
                    await asyncio.sleep(0.01)
            assert pair.got[-4:] == ["news"] * 3 + ["other"]
            assert len(encoded) == 2
