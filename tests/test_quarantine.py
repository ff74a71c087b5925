"""hibiscusstep.forwarding.quarantine: states sent between instances and stored."""

import asyncio

import pytest
from quota_region import FakeDocumentStore

from hibiscusstep import codec
from hibiscusstep.forwarding.crash_detector import InterruptedAttempt
from hibiscusstep.forwarding.model import DiscoveredTarget
from hibiscusstep.forwarding.quarantine import Quarantine
from hibiscusstep.forwarding.saved_suspects import PARTS, from_document, to_document
from hibiscusstep.forwarding.suspects import EARLY_WEIGHT
from hibiscusstep.mailbox import Tick
from hibiscusstep.membership.mesh import ViewChanged
from hibiscusstep.membership.view import Member, View
from hibiscusstep.peer import Received, SuspectState, SuspectStates

REQUEST = 7


class _Connections:
    """Connections that report immediately whether the target refused."""

    def __init__(self, refused=True):
        self.refused = refused

    async def probe_refused(self, name, address):
        return self.refused


class _Links:
    def __init__(self):
        self.sent = []

    def tell(self, send):
        self.sent.append(send)


def _member(name, relay=True, ready=True):
    return Member(name, f"{name}-1", "z", "r", name, "o", 1, ready, False, relay)


class Region:
    """Quarantines by instance name; messages are delivered without delay."""

    def __init__(self):
        self.store = FakeDocumentStore()
        self.members = {}
        self._tasks = set()

    def add(self, name, refused=True):
        links = _Links()
        worker = Quarantine(name, links, _Connections(refused), self.store)
        worker.links = links
        self.members[name] = worker
        return worker

    async def set_views(self, **views):
        for name, view in views.items():
            await self.members[name].handle(ViewChanged(view))
        await self.deliver()

    async def mesh(self, *names, ready=True):
        view = View({name: _member(name, ready=ready) for name in names})
        await self.set_views(**dict.fromkeys(names, view))

    async def deliver(self):
        """Deliver all messages through the codec until none is left."""
        while sent := [
            (name, send)
            for name, worker in self.members.items()
            for send in worker.links.sent
        ]:
            for worker in self.members.values():
                worker.links.sent = []
            for sender, send in sent:
                message = codec.decode(SuspectStates, codec.encode(send.message))
                if send.address in self.members:
                    to = self.members[send.address]
                    await to.handle(Received(sender, message))

    async def crash(self, name, target, number, request=REQUEST):
        """Crash a target while it runs a request of an instance."""
        now = asyncio.get_running_loop().time() + number
        attempt = InterruptedAttempt(f"r{number}", request, now - 0.1, EARLY_WEIGHT)
        item = DiscoveredTarget(target, "p", "a:1", "z", 4, False, 1)
        self.members[name].record_interruption(item, attempt)
        for _ in range(3):
            await asyncio.sleep(0)
        await self.deliver()

    async def crash_three_targets(self, *names):
        for number, name in enumerate(names):
            await self.crash(name, f"t{number}", number)

    async def tick(self, count=1):
        for _ in range(count):
            for worker in self.members.values():
                await worker.handle(Tick())
            for _ in range(5):
                await asyncio.sleep(0)
            await self.deliver()

    def quarantine_flags(self):
        return [worker.is_quarantined(REQUEST) for worker in self.members.values()]


@pytest.fixture
async def region(monkeypatch):
    """Region whose clock advances by 1 s per reading, so that runs do not overlap."""
    loop = asyncio.get_running_loop()
    clock = iter(range(1000, 10**6))
    monkeypatch.setattr(loop, "time", lambda: float(next(clock)))
    region = Region()
    yield region
    monkeypatch.undo()
    for worker in region.members.values():
        await worker.stop()


class TestDistribution:
    async def test_three_crashes_at_three_instances_quarantine_at_all(self, region):
        for name in "abcd":
            region.add(name)
        await region.mesh(*"abcd")
        await region.crash_three_targets("a", "b", "c")
        assert region.quarantine_flags() == [True] * 4

    async def test_states_pass_through_relays(self, region):
        for name in ("r1", "r2", "f1", "f2"):
            region.add(name)
        relays = {name: _member(name) for name in ("r1", "r2")}
        followers = {name: _member(name, False) for name in ("f1", "f2")}
        await region.set_views(
            r1=View(relays, followers={"f1": followers["f1"]}, other_instances=1),
            r2=View(relays, followers={"f2": followers["f2"]}, other_instances=1),
            f1=View({**relays, "f1": followers["f1"]}, parent="r1", other_instances=1),
            f2=View({**relays, "f2": followers["f2"]}, parent="r2", other_instances=1),
        )
        await region.crash_three_targets("f1", "f2", "r1")
        assert region.quarantine_flags() == [True] * 4

    async def test_an_answer_at_one_instance_clears_at_all(self, region):
        for name in "abc":
            region.add(name)
        await region.mesh(*"abc")
        await region.crash_three_targets("a", "b", "c")
        assert region.members["b"].clear_request(REQUEST)
        await region.deliver()
        assert region.quarantine_flags() == [False] * 3

    async def test_a_new_instance_receives_all_states(self, region):
        for name in "ab":
            region.add(name)
        await region.mesh(*"ab")
        await region.crash_three_targets("a", "b", "a")
        region.add("c")
        await region.mesh(*"abc")
        assert region.quarantine_flags() == [True] * 3

    async def test_a_restarted_instance_at_the_same_address_receives_all_states(
        self, region
    ):
        for name in "ab":
            region.add(name)
        await region.mesh(*"ab")
        await region.crash_three_targets("a", "b", "a")
        region.add("b")
        again = Member("b", "b-2", "z", "r", "b", "o", 1, True, False)
        await region.set_views(a=View({"a": _member("a"), "b": again}))
        assert region.quarantine_flags() == [True] * 2

    async def test_a_lost_message_is_sent_again(self, region):
        for name in "ab":
            region.add(name)
        await region.mesh(*"ab")
        other = region.members.pop("b")
        await region.crash_three_targets("a", "a", "a")
        region.members["b"] = other
        await region.tick(5)
        assert region.quarantine_flags() == [True] * 2


class TestNoCrash:
    async def test_a_target_that_still_listens_has_not_crashed(self, region):
        region.add("a", refused=False)
        await region.mesh("a")
        await region.crash_three_targets("a", "a", "a")
        assert region.members["a"].is_empty

    async def test_a_leaving_target_has_not_crashed(self, region):
        worker = region.add("a")
        leaving = DiscoveredTarget("t", "p", "a:1", "z", 4, True, 1)
        worker.record_interruption(
            leaving, InterruptedAttempt("r", REQUEST, 0.0, EARLY_WEIGHT)
        )
        for _ in range(3):
            await asyncio.sleep(0)
        assert worker.is_empty


class TestStorage:
    async def _quarantine_request(self, region):
        for name in "ab":
            region.add(name)
        await region.mesh(*"ab")
        await region.crash_three_targets("a", "b", "a")
        await region.tick(2)

    async def test_quarantine_survives_a_restart_of_all(self, region):
        await self._quarantine_request(region)
        region.members.clear()
        for name in "cd":
            region.add(name)
        await region.mesh(*"cd")
        await region.tick(2)
        assert region.quarantine_flags() == [True] * 2

    async def test_a_third_crash_during_an_outage_costs_one_target_more(self, region):
        """Guards against four late crashes after a restart of all (soak, seed 606).

        The store refused the quarantine until all that knew it had ended.
        """
        for name in "ab":
            region.add(name)
        await region.mesh(*"ab")
        await region.crash("a", "t0", 0)
        await region.crash("b", "t1", 1)
        await region.tick(2)
        region.store.unavailable = True
        await region.crash("a", "t2", 2)
        await region.tick(2)
        region.members.clear()
        region.store.unavailable = False
        for name in "cd":
            region.add(name)
        await region.mesh(*"cd")
        await region.tick(2)
        assert region.quarantine_flags() == [False] * 2
        await region.crash("c", "t3", 3)
        assert region.quarantine_flags() == [True] * 2

    async def test_all_crashes_during_an_outage_cost_one_target_more(self, region):
        """Guards against late crashes after an outage that ends with all instances."""
        for name in "ab":
            region.add(name)
        await region.mesh(*"ab")
        await region.tick(2)
        region.store.unavailable = True
        await region.crash_three_targets("a", "b", "a")
        await region.tick(2)
        assert region.quarantine_flags() == [True] * 2
        region.members.clear()
        region.store.unavailable = False
        for name in "cd":
            region.add(name)
        await region.mesh(*"cd")
        await region.tick(2)
        await region.crash("c", "t3", 3)
        assert region.quarantine_flags() == [True] * 2

    async def test_is_read_before_any_instance_is_ready(self, region):
        """Guards against crashes in the first seconds after a restart of all.

        Only a ready instance read what is stored, and none is for a second.
        """
        await self._quarantine_request(region)
        region.members.clear()
        for name in "cd":
            region.add(name)
        await region.mesh(*"cd", ready=False)
        for _ in range(5):
            await asyncio.sleep(0)
        await region.deliver()
        assert region.quarantine_flags() == [True] * 2
        assert region.store.writes == 1

    async def test_an_answer_removes_it_from_the_store(self, region):
        for name in "ab":
            region.add(name)
        await region.mesh(*"ab")
        await region.crash("a", "t0", 0)
        await region.crash("b", "t1", 1)
        await region.tick(2)
        assert len(region.store.document["requests"]) == 1
        region.members["b"].clear_request(REQUEST)
        await region.deliver()
        await region.tick(2)
        assert not region.store.document["requests"]

    async def test_one_instance_reads_and_writes_once(self, region):
        await self._quarantine_request(region)
        await region.tick(5)
        assert region.store.writes == 1
        assert region.store.reads == 1

    async def test_nothing_is_written_without_crashes(self, region):
        for name in "abc":
            region.add(name)
        await region.mesh(*"abc")
        await region.tick(9)
        assert (region.store.writes, region.store.reads) == (0, 1)

    async def test_a_failed_write_is_retried(self, region):
        region.store.unavailable = True
        await self._quarantine_request(region)
        assert region.store.document is None
        region.store.unavailable = False
        await region.tick(3)
        assert len(region.store.document["requests"]) == 1


class TestDocument:
    STATE = SuspectState(REQUEST, ["t1"], [1.0], [0.5], [3.0], [])

    def test_ages_include_the_time_in_the_store(self):
        document = to_document([self.STATE], 1000.0)
        (state,) = from_document(document, 1010.0)
        assert state.ages == [13.0]
        assert (state.fingerprint, state.targets) == (REQUEST, ["t1"])

    def test_a_clock_set_back_gives_no_negative_age(self):
        document = to_document([self.STATE], 1000.0)
        assert from_document(document, 10.0)[0].ages == [0.0]

    @pytest.mark.parametrize(
        "change",
        [
            {"fingerprint": "no number"},
            {"fingerprint": "-7"},
            {"targets": None},
            {"weights": [9.0]},
            {"spans": []},
            {"crashed_at": ["x"]},
        ],
    )
    def test_a_malformed_entry_is_ignored(self, change):
        document = to_document([self.STATE], 1000.0)
        document["requests"][0] |= change
        assert from_document(document, 1000.0) == []

    def test_others_are_read_beside_a_malformed_entry(self):
        """Guards against one bad entry that makes all quarantined requests unknown."""
        document = to_document([self.STATE, self.STATE], 1000.0, [self.STATE])
        document["requests"][0]["targets"] = None
        document["parts"].append("text")
        assert from_document(document, 1000.0) == [self.STATE]
        assert from_document(document, 1000.0, PARTS) == [self.STATE]

    @pytest.mark.parametrize("document", [None, {}, {"requests": 7}])
    def test_a_missing_or_malformed_document_is_empty(self, document):
        assert from_document(document, 1000.0) == []
