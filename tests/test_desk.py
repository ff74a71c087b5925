"""hibiscusstep.desk: who is asked for a grant, and what it is told."""

import asyncio

from hibiscusstep.configuration.in_force import InForce
from hibiscusstep.desk import Desk
from hibiscusstep.grants import GrantRequest
from hibiscusstep.mailbox import Question, Tick
from hibiscusstep.membership.view import Member, View
from hibiscusstep.membership.worker import ViewChanged
from hibiscusstep.peer import (
    PoolAsk,
    PoolGrant,
    PoolHeld,
    PoolInquire,
    PoolQueued,
    PoolRegister,
    PoolWithdraw,
    Received,
    WorkInfo,
)
from hibiscusstep.routing.dispatch_plan import DispatchPlan, PlannedPool


class _Links:
    def __init__(self):
        self.sent = []

    def tell(self, message):
        self.sent.append((message.address, message.message))


def _member(name, ready):
    return Member(
        name, f"{name}-1", "dc", "r", f"{name}:1", f"{name}:2", 1, ready, False
    )


def _view(**ready):
    return ViewChanged(
        View({name: _member(name, is_ready) for name, is_ready in ready.items()})
    )


def _wanted(pool="p"):
    work = WorkInfo("", "r1", "n0", "c", "0", 0, 10, 5, 0.0, 0.0, False, [], [])
    deadline = asyncio.get_running_loop().time() + 5
    return GrantRequest(pool, work, deadline, False, lambda: None)


class _World:
    """A desk whose messages to its own instance and to others are kept."""

    def __init__(self):
        self.links = _Links()
        self.own = []
        self.desk = Desk("n0", "n0-1", "n0:1", self.links, self.own.append, 0.12)

    async def start(self, **ready):
        await self.desk.handle(_view(**ready))
        await self.desk.handle(InForce(1, b"", DispatchPlan({"p": PlannedPool(True)})))

    async def ask(self):
        question = Question(_wanted())
        await self.desk.handle(question)
        return question

    def told_itself(self, kind):
        return [r.message for r in self.own if isinstance(r.message, kind)]


class TestNobodyDispatches:
    """After a restart of all, before anyone is settled enough to dispatch."""

    async def test_asks_itself_at_once(self):
        world = _World()
        await world.start(n0=False, n1=False)
        await world.ask()
        assert len(world.told_itself(PoolAsk)) == 1

    async def test_asks_the_dispatcher_once_there_is_one(self):
        world = _World()
        await world.start(n0=False, n1=False)
        await world.ask()
        await world.desk.handle(_view(n0=False, n1=True))
        ((address, message),) = world.links.sent
        assert address == "n1:1" and isinstance(message, PoolRegister)
        assert [info.request for info in message.waiting] == ["r1"]

    async def test_a_desk_without_standby_waits_for_a_dispatcher(self):
        world = _World()
        world.desk = Desk("n0", "n0-1", "n0:1", world.links, world.own.append)
        await world.start(n0=False)
        await world.ask()
        assert not world.own


class TestDispatchesForAllNext:
    """An instance that dispatched for itself becomes the dispatcher of all."""

    async def test_is_told_what_it_granted_alone(self):
        world = _World()
        await world.start(n0=False, n1=False)
        await world.ask()
        (asked,) = world.told_itself(PoolAsk)
        grant = PoolGrant("p", asked.work.ask, "t1", 0.0)
        await world.desk.handle(Received("n0:1", grant))
        world.own.clear()
        await world.desk.handle(_view(n0=True, n1=False))
        (register,) = world.told_itself(PoolRegister)
        assert register.targets == ["t1"]


class TestDispatcherAsks:
    """What an instance does not hold any more is free at its target."""

    async def test_is_told_what_runs(self):
        world = _World()
        await world.start(n0=False, n1=True)
        await world.ask()
        (_address, asked), *_ = world.links.sent[1:]
        grant = PoolGrant("p", asked.work.ask, "t1", 0.0)
        await world.desk.handle(Received("n1:1", grant))
        await world.desk.handle(Received("n1:1", PoolInquire("p")))
        held = PoolHeld("p", "n0", [asked.work.ask])
        assert world.links.sent[-1] == ("n1:1", held)

    async def test_one_that_dispatched_before_is_told_too(self):
        world = _World()
        await world.start(n0=False, n1=True)
        await world.desk.handle(Received("n2:1", PoolInquire("p")))
        assert world.links.sent[-1] == ("n2:1", PoolHeld("p", "n0", []))


class TestGrantThatWasLongOnItsWay:
    """Its slot may have been given to another one meanwhile."""

    async def _granted_after(self, seconds):
        world = _World()
        await world.start(n0=False, n1=True)
        loop = asyncio.get_running_loop()
        question = await world.ask()
        (_address, asked), *_ = world.links.sent[1:]
        began = loop.time()
        loop.time = lambda: began + seconds
        try:
            grant = PoolGrant("p", asked.work.ask, "t1", 0.0)
            await world.desk.handle(Received("n1:1", grant))
        finally:
            del loop.time
        return question, [message for _address, message in world.links.sent[2:]]

    async def test_is_not_used_and_the_request_asks_again(self):
        question, (withdrawn, asked) = await self._granted_after(1.0)
        assert isinstance(withdrawn, PoolWithdraw) and isinstance(asked, PoolAsk)
        assert asked.work.ask != withdrawn.ask
        assert not question.answer.done()

    async def test_one_that_came_soon_is_used(self):
        question, sent = await self._granted_after(0.1)
        assert question.answer.done() and not sent


class TestDispatcherOfMany:
    """With many instances to tell it shows less often that it lives, and says so."""

    async def _alone_after(self, sign, seconds):
        """Return whether the desk dispatches for itself so long after a sign."""
        world = _World()
        await world.start(n0=False, n1=True)
        await world.ask()
        await world.desk.handle(Received("n1:1", sign))
        loop = asyncio.get_running_loop()
        began = loop.time()
        loop.time = lambda: began + seconds
        try:
            await world.desk.handle(Tick())
        finally:
            del loop.time
        return bool(world.told_itself(PoolRegister))

    async def test_is_given_the_time_that_it_told(self):
        assert not await self._alone_after(PoolQueued("p", 0.2), 0.25)

    async def test_is_silent_beyond_it(self):
        assert await self._alone_after(PoolQueued("p", 0.2), 0.3)

    async def test_a_dispatcher_of_few_is_missed_soon(self):
        assert await self._alone_after(PoolQueued("p", 0.05), 0.15)
