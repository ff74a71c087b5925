"""hibiscusstep.forwarding.quarantine: what instances tell each other and keep."""

import asyncio

import pytest
from quota_region import Store

from hibiscusstep import codec
from hibiscusstep.forwarding.crashes import BrokenRun
from hibiscusstep.forwarding.kept_suspects import from_document, to_document
from hibiscusstep.forwarding.model import DiscoveredTarget
from hibiscusstep.forwarding.quarantine import Quarantine
from hibiscusstep.mailbox import Tick
from hibiscusstep.membership.mesh import ViewChanged
from hibiscusstep.membership.view import Member, View
from hibiscusstep.peer import Received, SuspectState, SuspectStates

REQUEST = 7


class _Connections:
    """Refuses, or not, at once."""

    def __init__(self, refused=True):
        self.refused = refused

    async def is_refused(self, name, address):
        return self.refused


class _Links:
    def __init__(self):
        self.sent = []

    def tell(self, send):
        self.sent.append(send)


def _member(name, relay=True):
    return Member(name, f"{name}-1", "z", "r", name, "o", 1, True, False, relay)


class Region:
    """Quarantines that hear each other at once; each by name."""

    def __init__(self):
        self.store = Store()
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

    async def mesh(self, *names):
        view = View({name: _member(name) for name in names})
        await self.set_views(**dict.fromkeys(names, view))

    async def deliver(self):
        """Bring all messages, through the codec, until none is left."""
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
        """Let a target crash under a request of an instance."""
        now = asyncio.get_running_loop().time() + number
        run = BrokenRun(f"r{number}", request, now - 0.1, True)
        item = DiscoveredTarget(target, "p", "a:1", "z", 4, False, 1)
        self.members[name].broke(item, run)
        for _ in range(3):
            await asyncio.sleep(0)
        await self.deliver()

    async def crash_thrice(self, *names):
        for number, name in enumerate(names):
            await self.crash(name, f"t{number}", number)

    async def tick(self, count=1):
        for _ in range(count):
            for worker in self.members.values():
                await worker.handle(Tick())
            for _ in range(5):
                await asyncio.sleep(0)
            await self.deliver()

    def holds(self):
        return [worker.holds(REQUEST) for worker in self.members.values()]


@pytest.fixture
async def region(monkeypatch):
    """Crashes follow one another: the clock goes on by a second with each."""
    loop = asyncio.get_running_loop()
    clock = iter(range(1000, 10**6))
    monkeypatch.setattr(loop, "time", lambda: float(next(clock)))
    region = Region()
    yield region
    monkeypatch.undo()
    for worker in region.members.values():
        await worker.stop()


class TestTelling:
    async def test_three_instances_see_a_crash_each_and_all_know(self, region):
        for name in "abcd":
            region.add(name)
        await region.mesh(*"abcd")
        await region.crash_thrice("a", "b", "c")
        assert region.holds() == [True] * 4

    async def test_through_relays(self, region):
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
        await region.crash_thrice("f1", "f2", "r1")
        assert region.holds() == [True] * 4

    async def test_an_answer_at_one_clears_at_all(self, region):
        for name in "abc":
            region.add(name)
        await region.mesh(*"abc")
        await region.crash_thrice("a", "b", "c")
        assert region.members["b"].answered(REQUEST)
        await region.deliver()
        assert region.holds() == [False] * 3

    async def test_one_that_starts_is_told(self, region):
        for name in "ab":
            region.add(name)
        await region.mesh(*"ab")
        await region.crash_thrice("a", "b", "a")
        region.add("c")
        await region.mesh(*"abc")
        assert region.holds() == [True] * 3

    async def test_one_that_starts_again_at_the_same_address_is_told(self, region):
        for name in "ab":
            region.add(name)
        await region.mesh(*"ab")
        await region.crash_thrice("a", "b", "a")
        region.add("b")
        again = Member("b", "b-2", "z", "r", "b", "o", 1, True, False)
        await region.set_views(a=View({"a": _member("a"), "b": again}))
        assert region.holds() == [True] * 2

    async def test_a_lost_message_is_made_up_for(self, region):
        for name in "ab":
            region.add(name)
        await region.mesh(*"ab")
        other = region.members.pop("b")
        await region.crash_thrice("a", "a", "a")
        region.members["b"] = other
        await region.tick(5)
        assert region.holds() == [True] * 2


class TestNoCrash:
    async def test_a_target_that_still_listens_accuses_nobody(self, region):
        region.add("a", refused=False)
        await region.mesh("a")
        await region.crash_thrice("a", "a", "a")
        assert region.members["a"].is_empty

    async def test_nor_one_that_leaves(self, region):
        worker = region.add("a")
        leaving = DiscoveredTarget("t", "p", "a:1", "z", 4, True, 1)
        worker.broke(leaving, BrokenRun("r", REQUEST, 0.0, True))
        for _ in range(3):
            await asyncio.sleep(0)
        assert worker.is_empty


class TestKeeping:
    async def _quarantined(self, region):
        for name in "ab":
            region.add(name)
        await region.mesh(*"ab")
        await region.crash_thrice("a", "b", "a")
        await region.tick(2)

    async def test_all_that_start_anew_know_it(self, region):
        await self._quarantined(region)
        region.members.clear()
        for name in "cd":
            region.add(name)
        await region.mesh(*"cd")
        await region.tick(2)
        assert region.holds() == [True] * 2

    async def test_one_of_them_writes_once(self, region):
        await self._quarantined(region)
        await region.tick(5)
        assert region.store.writes == 1
        assert region.store.reads == 1

    async def test_nothing_is_written_on_a_calm_day(self, region):
        for name in "abc":
            region.add(name)
        await region.mesh(*"abc")
        await region.tick(9)
        assert (region.store.writes, region.store.reads) == (0, 1)

    async def test_what_could_not_be_written_is_written_later(self, region):
        region.store.away = True
        await self._quarantined(region)
        assert region.store.document is None
        region.store.away = False
        await region.tick(3)
        assert len(region.store.document["requests"]) == 1


class TestDocument:
    STATE = SuspectState(REQUEST, ["t1"], [1.0], [0.5], [3.0], [])

    def test_ages_go_on_while_it_is_kept(self):
        document = to_document([self.STATE], 1000.0)
        (state,) = from_document(document, 1010.0)
        assert state.ages == [13.0]
        assert (state.fingerprint, state.targets) == (REQUEST, ["t1"])

    def test_a_clock_that_was_set_back_makes_no_crash_of_the_future(self):
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
    def test_a_malformed_one_is_ignored(self, change):
        document = to_document([self.STATE], 1000.0)
        document["requests"][0] |= change
        assert from_document(document, 1000.0) == []

    @pytest.mark.parametrize("document", [None, {}, {"requests": 7}])
    def test_so_is_none(self, document):
        assert from_document(document, 1000.0) == []
