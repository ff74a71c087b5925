"""hibiscusstep.dispatch_client: which dispatcher gets a request; messages to it."""

import asyncio
import dataclasses

from hibiscusstep.configuration.in_force import ConfigurationInForce
from hibiscusstep.dispatch_client import DispatchClient
from hibiscusstep.grant_messages import FirstTokenReceived, GrantRequest
from hibiscusstep.mailbox import Call, Tick
from hibiscusstep.membership.mesh import ViewChanged
from hibiscusstep.membership.view import Member, View
from hibiscusstep.peer import (
    PoolAsk,
    PoolGrant,
    PoolHeld,
    PoolInquire,
    PoolQueued,
    PoolRegister,
    PoolWithdraw,
    Received,
    StreamGroup,
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


def _grant_request(pool="p"):
    work = WorkInfo("", "r1", "n0", "c", "0", 0, 10, 5, 0.0, 0.0, False, [], [])
    deadline = asyncio.get_running_loop().time() + 5
    return GrantRequest(pool, work, deadline, False, lambda: None)


class _Fixture:
    """A dispatch client, with its messages to itself and to others recorded."""

    def __init__(self):
        self.links = _Links()
        self.local = []
        self.client = DispatchClient(
            "n0", "n0-1", "n0:1", self.links, self.local.append, 0.12
        )

    async def start(self, **ready):
        await self.client.handle(_view(**ready))
        await self.client.handle(
            ConfigurationInForce(1, b"", DispatchPlan({"p": PlannedPool(True)}))
        )

    async def ask(self, **fields):
        grant_request = _grant_request()
        work = dataclasses.replace(grant_request.work, **fields)
        call = Call(dataclasses.replace(grant_request, work=work))
        await self.client.handle(call)
        return call

    def sent_to_itself(self, kind):
        return [r.message for r in self.local if isinstance(r.message, kind)]


class TestNoDispatcher:
    """After a restart of all instances, before any is ready to dispatch."""

    async def test_sends_the_ask_to_itself_at_once(self):
        fixture = _Fixture()
        await fixture.start(n0=False, n1=False)
        await fixture.ask()
        assert len(fixture.sent_to_itself(PoolAsk)) == 1

    async def test_registers_with_the_first_dispatcher(self):
        fixture = _Fixture()
        await fixture.start(n0=False, n1=False)
        await fixture.ask()
        await fixture.client.handle(_view(n0=False, n1=True))
        ((address, message),) = fixture.links.sent
        assert address == "n1:1" and isinstance(message, PoolRegister)
        assert [info.request for info in message.waiting] == ["r1"]

    async def test_a_client_without_standby_waits_for_a_dispatcher(self):
        fixture = _Fixture()
        fixture.client = DispatchClient(
            "n0", "n0-1", "n0:1", fixture.links, fixture.local.append
        )
        await fixture.start(n0=False)
        await fixture.ask()
        assert not fixture.local


class TestBecomesTheDispatcher:
    """An instance that used its standby dispatcher becomes the pool's dispatcher."""

    async def test_registers_the_requests_of_its_standby_dispatcher(self):
        fixture = _Fixture()
        await fixture.start(n0=False, n1=False)
        await fixture.ask()
        (asked,) = fixture.sent_to_itself(PoolAsk)
        grant = PoolGrant("p", asked.work.ask, "t1", 0.0)
        await fixture.client.handle(Received("n0:1", grant))
        fixture.local.clear()
        await fixture.client.handle(_view(n0=True, n1=False))
        (register,) = fixture.sent_to_itself(PoolRegister)
        assert register.targets == ["t1"]


class TestStreams:
    """Guards against a grant that is handed over as the start of a stream."""

    async def _registered(self, *, has_event):
        """Return the streams that a new dispatcher is told after a grant."""
        fixture = _Fixture()
        await fixture.start(n0=False, n1=True)
        await fixture.ask(stream=7)
        (_address, asked), *_ = fixture.links.sent[1:]
        grant = PoolGrant("p", asked.work.ask, "t1", 0.0, version="v1")
        await fixture.client.handle(Received("n1:1", grant))
        if has_event:
            await fixture.client.handle(FirstTokenReceived("p", grant.ask, 0.1))
        await fixture.client.handle(_view(n0=False, n2=True))
        _address, register = fixture.links.sent[-1]
        return register.streams

    async def test_begin_with_their_first_event(self):
        assert await self._registered(has_event=True) == [StreamGroup("v1", [7])]

    async def test_do_not_begin_with_a_grant(self):
        assert await self._registered(has_event=False) == []


class TestInquiry:
    """A dispatcher frees the slots of requests missing from the reply to an inquiry."""

    async def test_reply_lists_the_running_requests(self):
        fixture = _Fixture()
        await fixture.start(n0=False, n1=True)
        await fixture.ask()
        (_address, asked), *_ = fixture.links.sent[1:]
        grant = PoolGrant("p", asked.work.ask, "t1", 0.0)
        await fixture.client.handle(Received("n1:1", grant))
        await fixture.client.handle(Received("n1:1", PoolInquire("p")))
        held = PoolHeld("p", "n0", [asked.work.ask])
        assert fixture.links.sent[-1] == ("n1:1", held)

    async def test_former_dispatcher_gets_a_reply_too(self):
        fixture = _Fixture()
        await fixture.start(n0=False, n1=True)
        await fixture.client.handle(Received("n2:1", PoolInquire("p")))
        assert fixture.links.sent[-1] == ("n2:1", PoolHeld("p", "n0", []))


class TestDelayedGrant:
    """The slot of a delayed grant may have been granted to another request."""

    async def _receive_grant_after(self, seconds):
        fixture = _Fixture()
        await fixture.start(n0=False, n1=True)
        loop = asyncio.get_running_loop()
        call = await fixture.ask()
        (_address, asked), *_ = fixture.links.sent[1:]
        time_before = loop.time()
        loop.time = lambda: time_before + seconds
        try:
            grant = PoolGrant("p", asked.work.ask, "t1", 0.0)
            await fixture.client.handle(Received("n1:1", grant))
        finally:
            del loop.time
        return call, [message for _address, message in fixture.links.sent[2:]]

    async def test_is_withdrawn_and_requested_again(self):
        call, (withdrawn, asked) = await self._receive_grant_after(1.0)
        assert isinstance(withdrawn, PoolWithdraw) and isinstance(asked, PoolAsk)
        assert asked.work.ask != withdrawn.ask
        assert not call.answer.done()

    async def test_recent_grant_is_used(self):
        call, sent = await self._receive_grant_after(0.1)
        assert call.answer.done() and not sent


class TestKeepaliveInterval:
    """A dispatcher with many waiting instances sends rarer keepalives and says so."""

    async def _is_standby_after(self, keepalive, seconds):
        """Return whether the standby dispatcher is used `seconds` after a keepalive."""
        fixture = _Fixture()
        await fixture.start(n0=False, n1=True)
        await fixture.ask()
        await fixture.client.handle(Received("n1:1", keepalive))
        loop = asyncio.get_running_loop()
        time_before = loop.time()
        loop.time = lambda: time_before + seconds
        try:
            await fixture.client.handle(Tick())
        finally:
            del loop.time
        return bool(fixture.sent_to_itself(PoolRegister))

    async def test_stated_interval_extends_the_allowed_silence(self):
        assert not await self._is_standby_after(PoolQueued("p", 0.2), 0.25)

    async def test_standby_beyond_the_stated_interval(self):
        assert await self._is_standby_after(PoolQueued("p", 0.2), 0.3)

    async def test_usual_interval_does_not_extend_it(self):
        assert await self._is_standby_after(PoolQueued("p", 0.05), 0.15)
