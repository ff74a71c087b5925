import asyncio
import math

import pytest
from cluster import Cluster, wait_until
from fleet import free_ports
from hypothesis import given
from hypothesis import strategies as st

from hibiscusstep import codec, peer
from hibiscusstep.membership.tracker import HeartbeatTracker
from hibiscusstep.membership.view import Member, rendezvous_hash
from hibiscusstep.peer import MESSAGES, Heartbeat, Received
from hibiscusstep.peerlink import LinkLost, PeerLinks, Send

OWN = Member("own", "i0", "hall", "dc", "a:0", "o:0", 1, True, False)


def heartbeat(name="x", incarnation="i1", address="a:1"):
    places = ("hall", "dc", address, "o:1")
    return Heartbeat(name, incarnation, *places, 1, True, False, [], False)


class TestTracker:
    def test_a_member_without_heartbeats_is_unreachable_while_the_platform_lists_it(
        self,
    ):
        tracker = HeartbeatTracker("own", 3.0)
        tracker.record_heartbeat(heartbeat(), 0.0)
        for now in (1.0, 2.0, 3.0, 4.0):
            tracker.remove_unreachable(now)
        assert set(tracker.view(OWN, {"x"}).members) == {"own"}
        assert tracker.view(OWN, {"x"}).has_unreachable
        assert tracker.view(OWN, None).has_unreachable
        assert not tracker.view(OWN, {"own"}).has_unreachable

    def test_all_members_are_heard_again_when_the_last_one_is(self):
        """Guards against messages missed in a pause that count as received.

        Restarted timeouts are no messages.
        """
        tracker = HeartbeatTracker("own", 3.0)
        assert tracker.heard_at == math.inf
        tracker.record_heartbeat(heartbeat(), 0.0)
        tracker.record_heartbeat(heartbeat("y", "i2", "a:2"), 0.5)
        tracker.record_beat("i2", 1, 1.0)
        assert tracker.heard_at == 0.0
        tracker.restart_timeouts(1.5)
        assert tracker.heard_at == 0.0
        tracker.record_beat("i1", 1, 2.0)
        assert tracker.heard_at == 1.0

    def test_a_refused_connection_means_that_the_member_is_dead(self):
        tracker = HeartbeatTracker("own", 3.0)
        tracker.record_heartbeat(heartbeat(), 0.0)
        tracker.remove_refused("a:1", 0.0)
        view = tracker.view(OWN, {"x"})
        assert set(view.members) == {"own"} and not view.has_unreachable
        tracker.record_heartbeat(heartbeat(), 0.1)
        assert set(tracker.view(OWN).members) == {"own"}, "late heartbeat of the dead"

    def test_a_refused_member_that_still_sends_heartbeats_is_alive(self):
        """A network partition may refuse connections, as does a dead process's host."""
        tracker = HeartbeatTracker("own", 3.0)
        tracker.record_heartbeat(heartbeat(), 0.0)
        tracker.remove_refused("a:1", 0.0)
        assert tracker.record_beat("i1", 1, 0.5), "known as dead: not greeted"
        assert not tracker.record_beat("i1", 1, 4.0), "alive but unknown: greeted"
        assert tracker.record_heartbeat(heartbeat(), 4.1)
        assert "x" in tracker.view(OWN).members

    def test_a_restart_is_a_new_incarnation(self):
        tracker = HeartbeatTracker("own", 3.0)
        tracker.record_heartbeat(heartbeat(), 0.0)
        tracker.record_heartbeat(heartbeat(incarnation="i2"), 0.1)
        tracker.record_heartbeat(heartbeat(), 0.2)
        view = tracker.view(OWN)
        assert view.has_incarnation("x", "i2") and not view.has_incarnation("x", "i1")

    def test_an_old_report_of_a_relay_does_not_exclude_the_new_incarnation(self):
        """Guards against a follower that ignores a restarted relay for good.

        It heard the relay's new start first, and then a list of relays that its parent
        had sent before. It took the start before for the later one and never asked the
        new one, which dispatched a pool: all its callers' requests ran out of time.
        """
        tracker = HeartbeatTracker("own", 3.0)
        tracker.record_heartbeat(heartbeat(incarnation="new"), 0.0)
        tracker.record_report(heartbeat(incarnation="old"), 0.1)
        tracker.record_report(heartbeat(incarnation="new"), 0.2)
        assert [m.incarnation for m in tracker.members.values()] == ["new"]

    def test_a_late_heartbeat_excludes_the_new_incarnation_for_a_while_only(self):
        tracker = HeartbeatTracker("own", 3.0)
        tracker.record_heartbeat(heartbeat(incarnation="new"), 0.0)
        tracker.record_heartbeat(heartbeat(incarnation="old"), 0.1)
        assert not tracker.record_heartbeat(heartbeat(incarnation="new"), 0.2)
        assert not tracker.record_beat("new", 1, 2.0), "greeted, as the old is silent"
        assert tracker.record_heartbeat(heartbeat(incarnation="new"), 2.0)
        assert [m.incarnation for m in tracker.members.values()] == ["new"]

    def test_late_heartbeats_of_a_start_before_are_ignored_while_the_later_speaks(self):
        tracker = HeartbeatTracker("own", 3.0)
        tracker.record_heartbeat(heartbeat(incarnation="old"), 0.0)
        tracker.record_heartbeat(heartbeat(incarnation="new"), 1.0)
        for now in range(2, 60):
            tracker.record_beat("new", 1, float(now))
        assert not tracker.record_heartbeat(heartbeat(incarnation="old"), 60.0)
        assert tracker.record_beat("old", 1, 60.0), "known as dead: not greeted"

    def test_a_beat_refreshes_a_member_and_reports_an_unknown_sender(self):
        tracker = HeartbeatTracker("own", 3.0)
        tracker.record_heartbeat(heartbeat(), 0.0)
        for now in range(1, 8):
            assert tracker.record_beat("i1", 5, float(now))
            tracker.remove_unreachable(float(now))
        assert tracker.view(OWN).members["x"].version == 5
        assert not tracker.record_beat("i9", 1, 8.0)

    def test_a_pause_of_this_process_removes_no_members(self):
        tracker = HeartbeatTracker("own", 3.0)
        tracker.record_heartbeat(heartbeat(), 0.0)
        tracker.remove_unreachable(0.5)
        tracker.remove_unreachable(60.0)
        assert "x" in tracker.view(OWN).members


class TestRendezvous:
    @given(st.sets(st.text(min_size=1), min_size=2, max_size=20), st.text())
    def test_removing_a_name_moves_only_its_keys(self, names, key):
        first, second = rendezvous_hash(names, key, 2)
        assert rendezvous_hash(names - {first}, key) == [second]
        assert rendezvous_hash(names - {second}, key) == [first]


class TestPeerFrames:
    @given(st.sampled_from(MESSAGES), st.binary(max_size=200))
    def test_any_bytes_decode_or_raise_one_error(self, cls, data):
        try:
            assert isinstance(codec.decode(cls, data), cls)
        except codec.CodecError:
            pass

    def test_messages_round_trip(self):
        info = peer.WorkInfo(
            "a", "r", "i", "c", "t", 1, 2, 3, 0.5, 0.25, True, [9], ["x"]
        )
        register = peer.PoolRegister("p", "i", "n", [info], [info], ["t"])
        for message in (heartbeat(), peer.PoolAsk("p", info), register):
            assert codec.decode(type(message), codec.encode(message)) == message

    async def test_messages_without_the_right_key_are_dropped(self):
        received = asyncio.Queue()
        addresses = [f"127.0.0.1:{port}" for port in free_ports(3)]
        keys = [
            "the right key of peers",
            "the right key of peers",
            "a wrong key of one",
        ]
        links = [
            PeerLinks(address, key, received.put_nowait)
            for address, key in zip(addresses, keys, strict=True)
        ]
        tasks = [asyncio.create_task(link.run()) for link in links]
        await wait_until(lambda: all(link._server for link in links))
        links[2].tell(Send(addresses[0], peer.NotDispatcher("forged")))
        links[1].tell(Send(addresses[0], peer.NotDispatcher("good")))
        delivered = await asyncio.wait_for(received.get(), 10)
        while isinstance(delivered, LinkLost):
            delivered = await asyncio.wait_for(received.get(), 10)
        assert delivered == Received(addresses[1], peer.NotDispatcher("good"))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class TestCluster:
    async def test_members_join_and_leave_without_the_platform(self, tmp_path):
        async with Cluster(tmp_path, instances=5) as cluster:
            cluster.platform.faults.down = True
            await cluster.kill("e3")
            await cluster.wait_settled()
            await cluster.start("e3")
            await cluster.wait_settled()
            assert len(cluster.instances["e3"].view.members) == 5

    @pytest.mark.parametrize("frames", [b"", b"x" * 16, b"x" * 16 + b"\xff" * 64])
    async def test_invalid_data_on_the_peer_port_is_ignored(self, tmp_path, frames):
        async with Cluster(tmp_path, instances=2) as cluster:
            host, _, port = cluster.instances["e0"]._settings.peer_address.rpartition(
                ":"
            )
            _reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(frames)
            writer.close()
            assert (await cluster.call("e1", "/read")).outcome == "whole"
