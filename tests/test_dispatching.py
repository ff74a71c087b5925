"""hibiscusstep.dispatching: dispatchers and the views that they act by."""

import asyncio

import pytest

from hibiscusstep.configuration.in_force import InForce
from hibiscusstep.dispatching import SIGNS_PER_S, Dispatching
from hibiscusstep.mailbox import Tick
from hibiscusstep.membership.view import Member, View
from hibiscusstep.membership.worker import ViewChanged
from hibiscusstep.peer import (
    NotDispatcher,
    PoolAsk,
    PoolGrant,
    PoolInquire,
    PoolQueued,
    PoolRegister,
    Received,
    WorkInfo,
)
from hibiscusstep.routing.dispatch_plan import DispatchPlan, PlannedPool, PlannedTarget
from hibiscusstep.routing.slot_dispatcher import SlotDispatcher

POOL = "p"


class _Links:
    def __init__(self):
        self.sent = []

    def tell(self, message):
        self.sent.append((message.address, message.message))


def _view(**incarnations):
    """Return a view in which `d` dispatches: the others are not ready."""
    members = {
        name: Member(
            name,
            incarnation,
            "dc",
            "r",
            f"{name}:1",
            f"{name}:2",
            1,
            name == "d",
            False,
        )
        for name, incarnation in incarnations.items()
    }
    return ViewChanged(View(members))


@pytest.fixture
async def dispatching():
    links = _Links()
    worker = Dispatching(
        "d", "d:1", links, lambda _message: None, None,
        kind=SlotDispatcher, reads_reports=False,
    )  # fmt: skip
    await worker.handle(_view(d="d-1", e="e-1"))
    await worker.handle(InForce(1, b"", DispatchPlan({POOL: PlannedPool(True)})))
    register = PoolRegister(POOL, "e", "e-1", [], [], [])
    await worker.handle(Received("e:1", register))
    links.sent.clear()
    return worker, links


class TestAnInstanceTakenForDead:
    """Its requests are dropped; if it lives, it does not know of that."""

    async def test_is_asked_to_register_again_when_it_is_heard_again(self, dispatching):
        worker, links = dispatching
        await worker.handle(_view(d="d-1"))
        await worker.handle(_view(d="d-1", e="e-1"))
        assert links.sent == [("e:1", NotDispatcher(POOL))]

    async def test_registers_by_itself_after_a_restart(self, dispatching):
        worker, links = dispatching
        await worker.handle(_view(d="d-1"))
        await worker.handle(_view(d="d-1", e="e-2"))
        assert links.sent == []

    async def test_one_that_was_never_gone_is_left_alone(self, dispatching):
        worker, links = dispatching
        await worker.handle(_view(d="d-1", e="e-1", f="f-1"))
        assert links.sent == []


class TestOverdueRequests:
    """An instance that lost its power says nothing, and holds slots."""

    async def test_their_instance_is_asked_and_the_gauge_shows_them(self, dispatching):
        worker, links = dispatching
        targets = {"t": PlannedTarget(1)}
        await worker.handle(
            InForce(2, b"", DispatchPlan({POOL: PlannedPool(False, targets=targets)}))
        )
        register = PoolRegister(POOL, "d", "d-1", [], [], [])
        await worker.handle(Received("d:1", register))
        work = WorkInfo("a", "r", "e", "c", "0", 0, 0, 1, 9.0, 0.0, False, [], [])
        await worker.handle(Received("e:1", PoolAsk(POOL, work)))
        assert [type(message) for _address, message in links.sent] == [PoolGrant]
        assert worker.overdue == {POOL: 0}
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            for tick in range(1, 14):
                loop.time = lambda tick=tick: began + 0.05 * tick
                await worker.handle(Tick())
        finally:
            del loop.time
        assert links.sent[1:] == [("e:1", PoolInquire(POOL))]
        assert worker.overdue == {POOL: 1}


class TestSignsOfLife:
    """Who waits is told so again and again; in overload that is every instance."""

    async def _signs_in_a_second(self, instances):
        """Return the signs sent in the second second, with one waiting each."""
        links = _Links()
        worker = Dispatching(
            "d", "d:1", links, lambda _message: None, None,
            kind=SlotDispatcher, reads_reports=False, serves_itself=True,
        )  # fmt: skip
        await worker.handle(_view(d="d-1"))
        plan = DispatchPlan({POOL: PlannedPool(False, targets={"t": PlannedTarget(0)})})
        await worker.handle(InForce(1, b"", plan))
        register = PoolRegister(POOL, "d", "d-1", [], [], [])
        await worker.handle(Received("d:1", register))
        for n in range(instances):
            work = WorkInfo(
                f"a{n}", "r", f"e{n}", "c", "0", 0, 0, 1, 9.0, 0.0, False, [], []
            )
            await worker.handle(Received(f"e{n}:1", PoolAsk(POOL, work)))
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            for tick in range(41):
                if tick == 21:
                    links.sent.clear()
                loop.time = lambda tick=tick: began + 0.05 * tick
                await worker.handle(Tick())
        finally:
            del loop.time
        return [m for _address, m in links.sent if isinstance(m, PoolQueued)]

    async def test_few_are_told_at_each_tick(self):
        signs = await self._signs_in_a_second(10)
        assert len(signs) == 200
        assert {sign.again_in for sign in signs} == {0.05}

    @pytest.mark.parametrize("instances", [100, 300, 1000])
    async def test_however_many_wait_the_signs_are_bounded(self, instances):
        signs = await self._signs_in_a_second(instances)
        assert instances <= len(signs) <= 1.1 * SIGNS_PER_S
        assert {sign.again_in for sign in signs} == {instances / SIGNS_PER_S}
