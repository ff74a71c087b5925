"""hibiscusstep.forwarding.beliefs: what outlives a restart of all instances."""

from dataclasses import asdict

import pytest
from result import Err, Ok

from hibiscusstep.errors import PlatformUnavailable
from hibiscusstep.forwarding.beliefs import BeliefKeeper
from hibiscusstep.mailbox import Tick
from hibiscusstep.peer import PoolLearnt
from hibiscusstep.routing import messages as m
from hibiscusstep.routing.plan import Plan, PlannedPool, PlannedTarget
from hibiscusstep.routing.slots import SlotDispatcher
from hibiscusstep.store import EstimateStore

NEWS = PoolLearnt("p", ["t0", "t1"], [1.0, 5.0], 0.03, 1e-5, 0.15)


class _Store(EstimateStore):
    def __init__(self, **documents):
        self.documents = documents
        self.away = False

    async def write(self, pool, document):
        if self.away:
            return Err(PlatformUnavailable("away", step="write", peer="store"))
        self.documents[pool] = document
        return Ok(None)

    async def read_all(self):
        if self.away:
            return Err(PlatformUnavailable("away", step="read", peer="store"))
        return Ok(dict(self.documents))


def _keeper(store):
    found = []
    return BeliefKeeper(store, found.append), found


class TestKeeper:
    async def test_one_reads_what_another_wrote(self):
        store = _Store()
        writer, _ = _keeper(store)
        await writer.handle(NEWS)
        await writer.handle(Tick())
        reader, found = _keeper(store)
        await reader.handle(Tick())
        assert found == [NEWS]

    async def test_reads_once(self):
        reader, found = _keeper(_Store(p=asdict(NEWS)))
        for _ in range(3):
            await reader.handle(Tick())
        assert len(found) == 1

    async def test_reads_later_where_the_store_was_away(self):
        store = _Store(p=asdict(NEWS))
        store.away = True
        reader, found = _keeper(store)
        await reader.handle(Tick())
        assert not found
        store.away = False
        await reader.handle(Tick())
        assert found == [NEWS]

    async def test_writes_only_what_is_new(self):
        store = _Store()
        writer, _ = _keeper(store)
        await writer.handle(NEWS)
        await writer.handle(Tick())
        store.documents.clear()
        await writer.handle(Tick())
        assert not store.documents

    @pytest.mark.parametrize(
        "document",
        [
            {},
            {**asdict(NEWS), "slowness": [1.0]},
            {**asdict(NEWS), "slowness": [1.0, "slow"]},
            {**asdict(NEWS), "token": -1.0},
            {**asdict(NEWS), "targets": None},
        ],
    )
    async def test_a_malformed_document_is_ignored(self, document):
        reader, found = _keeper(_Store(p=document))
        await reader.handle(Tick())
        assert not found


class TestDispatcher:
    """What was learnt before stands in until something is learnt again."""

    _OLD = m.Learnt({"t0": 1.0, "t1": 5.0}, 0.03, 1e-5, 0.15, old=True)

    def _dispatcher(self, *names):
        targets = {name: PlannedTarget(4) for name in names}
        plan = Plan({"p": PlannedPool(True, 6, 0.3, targets)})
        dispatcher = SlotDispatcher("p", plan)
        dispatcher.handle(m.Recovered(), 0.0)
        return dispatcher

    def _ask(self, dispatcher, ask, prompt, now):
        work = m.Work(
            ask, ask, "i", "c", "0", 0, prompt, 100, now + 0.2, now, due=now + 0.8
        )
        (grant,) = dispatcher.handle(m.Ask(work), now)
        return grant.target

    def test_a_long_prompt_avoids_the_target_that_was_slow(self):
        dispatcher = self._dispatcher("t0", "t1")
        dispatcher.handle(self._OLD, 0.0)
        self._ask(dispatcher, "a", 500, 0.0)
        self._ask(dispatcher, "b", 500, 0.0)
        assert self._ask(dispatcher, "c", 20_000, 0.0) == "t0"

    def test_also_where_the_target_becomes_known_later(self):
        dispatcher = self._dispatcher("t0")
        dispatcher.handle(self._OLD, 0.0)
        targets = {name: PlannedTarget(4) for name in ("t0", "t1")}
        plan = Plan({"p": PlannedPool(True, 6, 0.3, targets)})
        dispatcher.handle(m.Configure(plan), 0.1)
        assert dispatcher.targets["t1"].slowness == 5.0

    def test_not_against_what_was_learnt_since(self):
        dispatcher = self._dispatcher("t0", "t1")
        target = self._ask(dispatcher, "a", 500, 0.0)
        done = m.Finished("a", m.Outcome.DONE, 50, 49 * 6 * 0.0031 * 2)
        dispatcher.handle(done, 2.0)
        dispatcher.handle(self._OLD, 2.1)
        assert dispatcher.targets[target].slowness == pytest.approx(2.0, rel=0.3)
