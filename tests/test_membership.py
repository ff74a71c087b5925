import asyncio

import pytest
from cluster import Cluster, until
from fleet import free_ports
from hypothesis import given
from hypothesis import strategies as st

from hibiscusstep import codec, peer
from hibiscusstep.membership.tracker import Tracker
from hibiscusstep.membership.view import Member, rendezvous
from hibiscusstep.peer import MESSAGES, Heartbeat, Received
from hibiscusstep.peerlink import LinkLost, PeerLinks, Send

OWN = Member("own", "i0", "hall", "dc", "a:0", "o:0", 1, True, False)


def beat(name="x", incarnation="i1", address="a:1"):
    places = ("hall", "dc", address, "o:1")
    return Heartbeat(name, incarnation, *places, 1, True, False, [], False)


class TestTracker:
    def test_a_silent_member_is_doubted_while_the_platform_lists_it(self):
        tracker = Tracker("own", 3.0)
        tracker.heard(beat(), 0.0)
        for now in (1.0, 2.0, 3.0, 4.0):
            tracker.expire(now)
        assert set(tracker.view(OWN, {"x"}).members) == {"own"}
        assert tracker.view(OWN, {"x"}).doubtful
        assert tracker.view(OWN, None).doubtful
        assert not tracker.view(OWN, {"own"}).doubtful

    def test_a_refused_connection_is_a_death_without_doubt(self):
        tracker = Tracker("own", 3.0)
        tracker.heard(beat(), 0.0)
        tracker.refused("a:1", 0.0)
        view = tracker.view(OWN, {"x"})
        assert set(view.members) == {"own"} and not view.doubtful
        tracker.heard(beat(), 0.1)
        assert set(tracker.view(OWN).members) == {"own"}, "late words of the dead"

    def test_one_that_was_refused_in_a_cut_and_speaks_on_lives(self):
        """A cut may refuse connections, as the machine of a dead process does."""
        tracker = Tracker("own", 3.0)
        tracker.heard(beat(), 0.0)
        tracker.refused("a:1", 0.0)
        assert tracker.beat("i1", 1, 0.5), "known as dead: nobody is greeted"
        assert not tracker.beat("i1", 1, 4.0), "it lives, and is asked who it is"
        assert tracker.heard(beat(), 4.1)
        assert "x" in tracker.view(OWN).members

    def test_a_restart_is_a_new_incarnation(self):
        tracker = Tracker("own", 3.0)
        tracker.heard(beat(), 0.0)
        tracker.heard(beat(incarnation="i2"), 0.1)
        tracker.heard(beat(), 0.2)
        view = tracker.view(OWN)
        assert view.holds("x", "i2") and not view.holds("x", "i1")

    def test_a_beat_keeps_a_known_member_and_asks_who_a_stranger_is(self):
        tracker = Tracker("own", 3.0)
        tracker.heard(beat(), 0.0)
        for now in range(1, 8):
            assert tracker.beat("i1", 5, float(now))
            tracker.expire(float(now))
        assert tracker.view(OWN).members["x"].version == 5
        assert not tracker.beat("i9", 1, 8.0)

    def test_its_own_pause_is_not_the_silence_of_others(self):
        tracker = Tracker("own", 3.0)
        tracker.heard(beat(), 0.0)
        tracker.expire(0.5)
        tracker.expire(60.0)
        assert "x" in tracker.view(OWN).members


class TestRendezvous:
    @given(st.sets(st.text(min_size=1), min_size=2, max_size=20), st.text())
    def test_a_loss_moves_only_what_was_lost(self, names, key):
        first, second = rendezvous(names, key, 2)
        assert rendezvous(names - {first}, key) == [second]
        assert rendezvous(names - {second}, key) == [first]


class TestPeerFrames:
    @given(st.sampled_from(MESSAGES), st.binary(max_size=200))
    def test_any_bytes_give_a_message_or_one_error(self, cls, data):
        try:
            assert isinstance(codec.decode(cls, data), cls)
        except codec.CodecError:
            pass

    def test_every_message_comes_back_as_it_went(self):
        info = peer.WorkInfo(
            "a", "r", "i", "c", "t", 1, 2, 3, 0.5, 0.25, True, [9], ["x"]
        )
        register = peer.PoolRegister("p", "i", "n", [info], [info], ["t"])
        for message in (beat(), peer.PoolAsk("p", info), register):
            assert codec.decode(type(message), codec.encode(message)) == message

    async def test_only_holders_of_the_key_are_heard(self):
        got = asyncio.Queue()
        addresses = [f"127.0.0.1:{port}" for port in free_ports(3)]
        keys = [
            "the right key of peers",
            "the right key of peers",
            "a wrong key of one",
        ]
        links = [
            PeerLinks(address, key, got.put_nowait)
            for address, key in zip(addresses, keys, strict=True)
        ]
        tasks = [asyncio.create_task(link.run()) for link in links]
        await until(lambda: all(link._server for link in links))
        links[2].tell(Send(addresses[0], peer.NotDispatcher("forged")))
        links[1].tell(Send(addresses[0], peer.NotDispatcher("good")))
        heard = await asyncio.wait_for(got.get(), 10)
        while isinstance(heard, LinkLost):
            heard = await asyncio.wait_for(got.get(), 10)
        assert heard == Received(addresses[1], peer.NotDispatcher("good"))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class TestMembers:
    async def test_find_each_other_and_lose_the_dead_without_the_platform(
        self, tmp_path
    ):
        async with Cluster(tmp_path, instances=5) as cluster:
            cluster.platform.faults.down = True
            await cluster.kill("e3")
            await cluster.settled()
            await cluster.start("e3")
            await cluster.settled()
            assert len(cluster.entries["e3"].view.members) == 5

    @pytest.mark.parametrize("frames", [b"", b"x" * 16, b"x" * 16 + b"\xff" * 64])
    async def test_strangers_at_the_peers_port_harm_nobody(self, tmp_path, frames):
        async with Cluster(tmp_path, instances=2) as cluster:
            host, _, port = cluster.entries["e0"]._settings.peer_address.rpartition(":")
            _reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(frames)
            writer.close()
            assert (await cluster.call("e1", "/read")).outcome == "whole"
