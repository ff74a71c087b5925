"""hibiscusstep.forwarding.target_estimates: estimates survive a full restart."""

from dataclasses import asdict

import pytest
from result import Err, Ok

from hibiscusstep.errors import PlatformUnavailable
from hibiscusstep.forwarding.target_estimates import SavedEstimatesWorker
from hibiscusstep.mailbox import Tick
from hibiscusstep.peer import PoolLearnt
from hibiscusstep.routing import messages as m
from hibiscusstep.routing.dispatch_plan import DispatchPlan, PlannedPool, PlannedTarget
from hibiscusstep.routing.slot_dispatcher import SlotDispatcher
from hibiscusstep.store import EstimateStore

ESTIMATES = PoolLearnt("p", ["t0", "t1"], [1.0, 5.0], 0.03, 1e-5, 0.15)


class _Store(EstimateStore):
    def __init__(self, **documents):
        self.documents = documents
        self.unavailable = False

    async def write(self, pool, document):
        if self.unavailable:
            return Err(PlatformUnavailable("away", step="write", peer="store"))
        self.documents[pool] = document
        return Ok(None)

    async def read_all(self):
        if self.unavailable:
            return Err(PlatformUnavailable("away", step="read", peer="store"))
        return Ok(dict(self.documents))


def _make_worker(store):
    received = []
    return SavedEstimatesWorker(store, received.append), received


class TestKeeper:
    async def test_a_new_instance_reads_stored_values(self):
        store = _Store()
        writer, _ = _make_worker(store)
        await writer.handle(ESTIMATES)
        await writer.handle(Tick())
        reader, received = _make_worker(store)
        await reader.handle(Tick())
        assert received == [ESTIMATES]

    async def test_reads_once(self):
        reader, received = _make_worker(_Store(p=asdict(ESTIMATES)))
        for _ in range(3):
            await reader.handle(Tick())
        assert len(received) == 1

    async def test_reads_again_after_a_store_outage(self):
        store = _Store(p=asdict(ESTIMATES))
        store.unavailable = True
        reader, received = _make_worker(store)
        await reader.handle(Tick())
        assert not received
        store.unavailable = False
        await reader.handle(Tick())
        assert received == [ESTIMATES]

    async def test_writes_only_changes(self):
        store = _Store()
        writer, _ = _make_worker(store)
        await writer.handle(ESTIMATES)
        await writer.handle(Tick())
        store.documents.clear()
        await writer.handle(Tick())
        assert not store.documents

    @pytest.mark.parametrize(
        "document",
        [
            {},
            {**asdict(ESTIMATES), "slowness": [1.0]},
            {**asdict(ESTIMATES), "slowness": [1.0, "slow"]},
            {**asdict(ESTIMATES), "token": -1.0},
            {**asdict(ESTIMATES), "targets": None},
        ],
    )
    async def test_a_malformed_document_is_ignored(self, document):
        reader, received = _make_worker(_Store(p=document))
        await reader.handle(Tick())
        assert not received


class TestDispatcher:
    """Stored values are used until the dispatcher has its own estimates."""

    _STORED = m.LearnedEstimates(
        {"t0": 1.0, "t1": 5.0}, 0.03, 1e-5, 0.15, is_fallback=True
    )

    def _dispatcher(self, *names):
        targets = {name: PlannedTarget(4) for name in names}
        plan = DispatchPlan({"p": PlannedPool(True, 6, 0.3, targets)})
        dispatcher = SlotDispatcher("p", plan)
        dispatcher.handle(m.Recovered(), 0.0)
        return dispatcher

    def _ask(self, dispatcher, ask, prompt, now):
        work = m.Work(
            ask,
            ask,
            "i",
            "c",
            "0",
            0,
            prompt,
            100,
            now + 0.2,
            now,
            first_token_due=now + 0.8,
        )
        (grant,) = dispatcher.handle(m.RequestGrant(work), now)
        return grant.target

    def test_a_long_prompt_avoids_a_target_stored_as_slow(self):
        dispatcher = self._dispatcher("t0", "t1")
        dispatcher.handle(self._STORED, 0.0)
        self._ask(dispatcher, "a", 500, 0.0)
        self._ask(dispatcher, "b", 500, 0.0)
        assert self._ask(dispatcher, "c", 20_000, 0.0) == "t0"

    def test_applies_to_targets_added_later(self):
        dispatcher = self._dispatcher("t0")
        dispatcher.handle(self._STORED, 0.0)
        targets = {name: PlannedTarget(4) for name in ("t0", "t1")}
        plan = DispatchPlan({"p": PlannedPool(True, 6, 0.3, targets)})
        dispatcher.handle(m.Configure(plan), 0.1)
        assert dispatcher.targets["t1"].slowness == 5.0

    def test_does_not_override_newer_measurements(self):
        dispatcher = self._dispatcher("t0", "t1")
        target = self._ask(dispatcher, "a", 500, 0.0)
        done = m.Finished("a", m.GrantOutcome.DONE, 50, 49 * 6 * 0.0031 * 2)
        dispatcher.handle(done, 2.0)
        dispatcher.handle(self._STORED, 2.1)
        assert dispatcher.targets[target].slowness == pytest.approx(2.0, rel=0.3)
