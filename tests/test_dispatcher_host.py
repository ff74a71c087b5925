"""hibiscusstep.dispatcher_host: hosted dispatchers, views and keepalives."""

import asyncio
import dataclasses
import math
import time

import pytest

from hibiscusstep import clock
from hibiscusstep import dispatcher_host as dispatcher_host_module
from hibiscusstep.configuration.in_force import ConfigurationInForce
from hibiscusstep.dispatcher_host import (
    KEEPALIVES_PER_S,
    RECOVERY_TIMEOUT_S,
    STANDBY_LIMIT_SHARES,
    DispatcherHost,
)
from hibiscusstep.mailbox import Tick
from hibiscusstep.membership.continuity import MAX_AGE_S
from hibiscusstep.membership.mesh import ViewChanged
from hibiscusstep.membership.view import Member, View
from hibiscusstep.peer import (
    NotDispatcher,
    PoolAsk,
    PoolFinished,
    PoolFirstToken,
    PoolGrant,
    PoolInquire,
    PoolQueued,
    PoolRegister,
    PoolStreams,
    Received,
    StreamGroup,
    WorkInfo,
)
from hibiscusstep.routing.dispatch_plan import DispatchPlan, PlannedPool, PlannedTarget
from hibiscusstep.routing.slot_dispatcher import SlotDispatcher
from hibiscusstep.routing.stream_versions import SaveStreams, VersionsConfirmed
from hibiscusstep.store import StoreRestored

POOL = "p"
MIXED = frozenset({"v1", "v2"})


class _Links:
    def __init__(self):
        self.sent = []

    def tell(self, message):
        self.sent.append((message.address, message.message))


def _view(**incarnations):
    """Return a view in which only `d` is ready, so that it dispatches."""
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
async def dispatcher_host():
    links = _Links()
    worker = DispatcherHost(
        "d", "d:1", links, lambda _message: None, None,
        dispatcher_class=SlotDispatcher, polls_load=False,
    )  # fmt: skip
    await worker.handle(_view(d="d-1", e="e-1"))
    await worker.handle(
        ConfigurationInForce(1, b"", DispatchPlan({POOL: PlannedPool(True)}))
    )
    register = PoolRegister(POOL, "e", "e-1", [], [], [])
    await worker.handle(Received("e:1", register))
    links.sent.clear()
    return worker, links


class TestInstanceConsideredDead:
    """Its requests were dropped; if it is still live, it does not know."""

    async def test_is_asked_to_register_when_it_returns(self, dispatcher_host):
        worker, links = dispatcher_host
        await worker.handle(_view(d="d-1"))
        await worker.handle(_view(d="d-1", e="e-1"))
        assert links.sent == [("e:1", NotDispatcher(POOL))]

    async def test_is_not_asked_after_a_restart(self, dispatcher_host):
        worker, links = dispatcher_host
        await worker.handle(_view(d="d-1"))
        await worker.handle(_view(d="d-1", e="e-2"))
        assert links.sent == []

    async def test_live_instances_are_not_asked(self, dispatcher_host):
        worker, links = dispatcher_host
        await worker.handle(_view(d="d-1", e="e-1", f="f-1"))
        assert links.sent == []


class TestOverdueRequests:
    """Requests of an instance that lost power keep their slots without an end."""

    async def test_their_instance_is_inquired_and_the_gauge_counts_them(
        self, dispatcher_host
    ):
        worker, links = dispatcher_host
        targets = {"t": PlannedTarget(1)}
        await worker.handle(
            ConfigurationInForce(
                2, b"", DispatchPlan({POOL: PlannedPool(False, targets=targets)})
            )
        )
        register = PoolRegister(POOL, "d", "d-1", [], [], [])
        await worker.handle(Received("d:1", register))
        work = WorkInfo("a", "r", "e", "c", "0", 0, 0, 1, 9.0, 0.0, False, [], [])
        await worker.handle(Received("e:1", PoolAsk(POOL, work)))
        assert [type(message) for _address, message in links.sent] == [PoolGrant]
        assert worker.overdue_slots == {POOL: 0}
        loop = asyncio.get_running_loop()
        start = loop.time()
        try:
            for tick in range(1, 14):
                loop.time = lambda tick=tick: start + 0.05 * tick
                await worker.handle(Tick())
        finally:
            del loop.time
        assert links.sent[1:] == [("e:1", PoolInquire(POOL))]
        assert worker.overdue_slots == {POOL: 1}


class TestKeepalives:
    """Sent to each instance with waiting requests; in overload these are all."""

    async def _keepalives_in_a_second(self, instances):
        """Return the keepalives of the second second, with one request per instance."""
        links = _Links()
        worker = DispatcherHost(
            "d", "d:1", links, lambda _message: None, None,
            dispatcher_class=SlotDispatcher, polls_load=False, has_standby=True,
        )  # fmt: skip
        await worker.handle(_view(d="d-1"))
        plan = DispatchPlan({POOL: PlannedPool(False, targets={"t": PlannedTarget(0)})})
        await worker.handle(ConfigurationInForce(1, b"", plan))
        register = PoolRegister(POOL, "d", "d-1", [], [], [])
        await worker.handle(Received("d:1", register))
        for n in range(instances):
            work = WorkInfo(
                f"a{n}", "r", f"e{n}", "c", "0", 0, 0, 1, 9.0, 0.0, False, [], []
            )
            await worker.handle(Received(f"e{n}:1", PoolAsk(POOL, work)))
        loop = asyncio.get_running_loop()
        start = loop.time()
        try:
            for tick in range(41):
                if tick == 21:
                    links.sent.clear()
                loop.time = lambda tick=tick: start + 0.05 * tick
                await worker.handle(Tick())
        finally:
            del loop.time
        return [m for _address, m in links.sent if isinstance(m, PoolQueued)]

    async def test_few_instances_get_one_at_each_tick(self):
        keepalives = await self._keepalives_in_a_second(10)
        assert len(keepalives) == 200
        assert {keepalive.again_in for keepalive in keepalives} == {0.05}

    @pytest.mark.parametrize("instances", [100, 300, 1000])
    async def test_their_rate_is_bounded_for_many_instances(self, instances):
        keepalives = await self._keepalives_in_a_second(instances)
        assert instances <= len(keepalives) <= 1.1 * KEEPALIVES_PER_S
        assert {keepalive.again_in for keepalive in keepalives} == {
            instances / KEEPALIVES_PER_S
        }


class TestRateLimits:
    """Which share of a target's rate limit a dispatcher on this instance grants."""

    LIMIT, INSTANCES = 4.0, 8

    def _view(self, dispatcher, unreachable=0):
        """Return a view of all instances but the unreachable ones."""
        members = {
            name: Member(name, name, "dc", "r", f"{name}:1", "o", 1, name == dispatcher,
                         False)
            for name in [f"i{n}" for n in range(self.INSTANCES - unreachable)]
        }  # fmt: skip
        return ViewChanged(View(members, unreachable=unreachable))

    async def _host(self, view):
        """Return the host of instance i0, and the messages that it gets."""
        grants = []
        worker = DispatcherHost(
            "i0", "i0:1", _Links(), grants.append, None,
            dispatcher_class=SlotDispatcher, polls_load=False, has_standby=True,
        )  # fmt: skip
        await worker.handle(view)
        targets = {"t": PlannedTarget(4, rate_limit=self.LIMIT)}
        plan = DispatchPlan({POOL: PlannedPool(False, targets=targets)})
        await worker.handle(ConfigurationInForce(1, b"", plan))
        return worker, grants

    async def _use(self, worker, grants, start, seconds):
        """Register, and ask for a grant at each tick; return the times of grants."""
        loop, granted = asyncio.get_running_loop(), []
        register = PoolRegister(POOL, "i0", "i0", [], [], [])
        try:
            for tick in range(round(seconds / 0.05)):
                now = start + 0.05 * tick
                loop.time = lambda now=now: now
                if tick == 0:
                    await worker.handle(Received("i0:1", register))
                work = WorkInfo(
                    f"a{now}", "r", "i0", "c", "0", 0, 0, 1, 0.04, 0.0, False, [], []
                )
                await worker.handle(Received("i0:1", PoolAsk(POOL, work)))
                await worker.handle(Tick())
                for message in grants:
                    if isinstance(message.message, PoolGrant):
                        granted.append(now)
                        ended = PoolFinished(
                            POOL, message.message.ask, "done", 0, 0.0, -1
                        )
                        await worker.handle(Received("i0:1", ended))
                grants.clear()
        finally:
            del loop.time
        return granted

    async def test_the_pools_dispatcher_grants_the_limit(self):
        worker, grants = await self._host(self._view("i0"))
        start = asyncio.get_running_loop().time()
        granted = await self._use(worker, grants, start, 20.0)
        assert 0.95 * self.LIMIT * 20.0 <= len(granted) <= self.LIMIT * 20.0 + 1
        assert granted[0] >= start + 1 / self.LIMIT

    async def test_in_a_part_of_a_partition_it_grants_the_parts_share(self):
        worker, grants = await self._host(self._view("i0", unreachable=6))
        start = asyncio.get_running_loop().time()
        granted = await self._use(worker, grants, start, 20.0)
        share = self.LIMIT * 2 / 8
        assert 0.9 * share * 20.0 <= len(granted) <= share * 20.0 + 1
        await worker.handle(self._view("i0"))
        granted = await self._use(worker, grants, start + 20.0, 10.0)
        assert len(granted) >= 0.9 * self.LIMIT * 10.0

    async def test_a_paused_dispatcher_has_saved_up_nothing(self, monkeypatch):
        """Guards against the limit being granted twice, as others granted it."""
        paused_s = 0.0
        monkeypatch.setattr(clock, "elapsed", lambda: time.monotonic() + paused_s)
        worker, grants = await self._host(self._view("i0"))
        start = asyncio.get_running_loop().time()
        await self._use(worker, grants, start, 4.0)
        paused_s = 4.0
        granted = await self._use(worker, grants, start + 8.0, 4.0)
        assert granted[0] >= start + 8.0 + 1 / self.LIMIT
        assert len(granted) <= self.LIMIT * 4.0

    async def test_a_standby_dispatcher_grants_half_an_even_share(self):
        worker, grants = await self._host(self._view("i1"))
        start = asyncio.get_running_loop().time()
        granted = await self._use(worker, grants, start, 40.0)
        share = self.LIMIT * STANDBY_LIMIT_SHARES / self.INSTANCES
        assert 0.9 * share * 40.0 - 1 <= len(granted) <= share * 40.0 + 1

    async def test_a_standby_dispatcher_saves_up_nothing_while_it_is_not_used(self):
        worker, grants = await self._host(self._view("i1"))
        start = asyncio.get_running_loop().time()
        first = await self._use(worker, grants, start, 8.0)
        again = await self._use(worker, grants, start + 1000.0, 8.0)
        assert [round(at - start - 1000.0, 2) for at in again] == [
            round(at - start, 2) for at in first
        ]
        assert first[0] > start


class TestPausedDispatcher:
    """Guards against requests of before a pause that hold slots after it.

    Others dispatched the pool meanwhile: requests that the paused instance knew had
    ended, and it did not know of those that ran.
    """

    PAUSE_S = 2.0

    @pytest.fixture
    async def host(self, monkeypatch):
        """Return the host of `d`, what it sends, and a function that pauses it.

        One request of `e` runs at the only slot and one waits.
        """
        links, local, paused_s = _Links(), [], 0.0
        monkeypatch.setattr(clock, "elapsed", lambda: time.monotonic() + paused_s)
        worker = DispatcherHost(
            "d", "d:1", links, local.append, None,
            dispatcher_class=SlotDispatcher, polls_load=False, has_standby=True,
        )  # fmt: skip
        await worker.handle(_view(d="d-1", e="e-1"))
        plan = DispatchPlan({POOL: PlannedPool(False, targets={"t": PlannedTarget(1)})})
        await worker.handle(ConfigurationInForce(1, b"", plan))
        await self._register(worker, "e")
        await self._register(worker, "d")
        for ask in ("running", "waiting"):
            await self._ask(worker, "e", ask)
        assert self._granted(links.sent) == ["running"]
        links.sent.clear()
        local.clear()

        def pause(seconds=self.PAUSE_S):
            nonlocal paused_s
            paused_s += seconds

        return worker, links, local, pause

    def _work(self, name, ask):
        return WorkInfo(ask, ask, name, "c", "0", 0, 0, 1, 9.0, 0.0, False, [], [])

    async def _ask(self, worker, name, ask):
        message = PoolAsk(POOL, self._work(name, ask))
        await worker.handle(Received(f"{name}:1", message))

    async def _register(self, worker, name, waiting=(), running=()):
        works = ([self._work(name, ask) for ask in asks] for asks in (waiting, running))
        message = PoolRegister(POOL, name, f"{name}-1", *works, ["t"] * len(running))
        await worker.handle(Received(f"{name}:1", message))

    def _granted(self, sent):
        return [m.ask for _address, m in sent if isinstance(m, PoolGrant)]

    def _granted_here(self, local):
        return [r.message.ask for r in local if isinstance(r.message, PoolGrant)]

    async def test_its_slots_are_not_held_by_requests_of_before_the_pause(self, host):
        worker, links, local, pause = host
        pause()
        await self._ask(worker, "e", "outdated")
        await self._register(worker, "d", waiting=["own"])
        assert self._granted(links.sent) == []
        assert self._granted_here(local) == ["own"]

    async def test_asks_all_instances_to_register(self, host):
        worker, links, local, pause = host
        pause()
        await worker.handle(Tick())
        assert links.sent == [("e:1", NotDispatcher(POOL))]
        assert [r.message for r in local] == [NotDispatcher(POOL)]

    async def test_decides_nothing_before_the_instances_have_registered(self, host):
        """Others may have granted the slots that it takes for free."""
        worker, _links, local, pause = host
        pause()
        await worker.handle(_view(d="d-1", e="e-1", f="f-1"))
        await self._ask(worker, "d", "own")
        assert self._granted_here(local) == []
        await self._register(worker, "e", running=["elsewhere"])
        await self._register(worker, "d", waiting=["own"])
        assert self._granted_here(local) == []

    async def test_decides_without_instances_that_stay_silent(self, host):
        worker, links, local, pause = host
        pause()
        await self._ask(worker, "d", "own")
        loop = asyncio.get_running_loop()
        later = loop.time() + 2 * RECOVERY_TIMEOUT_S
        try:
            loop.time = lambda: later
            await worker.handle(Tick())
            await self._register(worker, "d", waiting=["own"])
        finally:
            del loop.time
        assert self._granted_here(local) == ["own"]
        assert self._granted(links.sent) == []

    async def test_grants_to_instances_that_have_registered_again(self, host):
        worker, links, _local, pause = host
        pause()
        await worker.handle(Tick())
        await self._register(worker, "e")
        await self._register(worker, "d")
        await self._ask(worker, "e", "new")
        assert self._granted(links.sent) == ["new"]

    async def test_reaches_instances_that_follow_other_relays(self, host):
        """The view of a region with relays does not name them."""
        worker, links, _local, pause = host
        alone = dataclasses.replace(_view(d="d-1").view, other_instances=1)
        await worker.handle(ViewChanged(alone))
        pause()
        await worker.handle(Tick())
        assert links.sent == [("e:1", NotDispatcher(POOL))]
        await self._register(worker, "e", waiting=["again"])
        loop = asyncio.get_running_loop()
        later = loop.time() + 2 * RECOVERY_TIMEOUT_S
        try:
            loop.time = lambda: later
            await worker.handle(Tick())
        finally:
            del loop.time
        assert self._granted(links.sent) == ["again"]

    async def test_a_short_gap_changes_nothing(self, host):
        """Guards against instances that register whenever a machine is busy."""
        worker, links, local, pause = host
        pause(1.0)
        await worker.handle(Tick())
        ended = PoolFinished(POOL, "running", "done", 0, 0.0, -1)
        await worker.handle(Received("e:1", ended))
        assert self._granted(links.sent) == ["waiting"]
        assert NotDispatcher(POOL) not in [m for _address, m in links.sent]
        assert local == []


class TestFairShareFields:
    """Operators must see in the log whose share a decision was made for."""

    async def test_grants_and_refusals_have_the_share(
        self, dispatcher_host, monkeypatch
    ):
        worker, _links = dispatcher_host
        lines = []
        monkeypatch.setattr(
            "hibiscusstep.dispatcher_host.decision",
            lambda kind, **fields: lines.append((kind, fields)),
        )
        pool = PlannedPool(True, targets={"t": PlannedTarget(1)}, fair_shares=True)
        plan = DispatchPlan({POOL: pool})
        await worker.handle(ConfigurationInForce(2, b"", plan))
        own = PoolRegister(POOL, "d", "d-1", [], [], [])
        await worker.handle(Received("d:1", own))
        for ask in ("a", "b"):
            info = WorkInfo(ask, ask, "e", "c", "0", 0, 10, 10, 0.0, 0.0, False, [], [])
            await worker.handle(Received("e:1", PoolAsk(POOL, info)))
        (_, granted), (_, refused) = (
            line for line in lines if line[0] in ("grant", "refuse")
        )
        assert granted["share"] == refused["share"] == 1.0


class TestConfirmedVersions:
    """Guards against an outdated version that is taken for the only one of streams."""

    async def _waiting(self, monkeypatch, *, read, heard_at=math.inf, view=None):
        """Let a request resume an unknown stream while the store is silent.

        Return whether it is granted a target.
        """
        monkeypatch.setattr(dispatcher_host_module, "CONFIRM_TIMEOUT_S", 0.0)
        monkeypatch.setattr(dispatcher_host_module, "MESSAGE_DELAY_S", 0.0)
        links, asked = _Links(), []
        worker = DispatcherHost(
            "d", "d:1", links, lambda _message: None, None,
            dispatcher_class=SlotDispatcher, polls_load=False,
            confirm_versions=asked.append, heard_at=lambda: heard_at,
        )  # fmt: skip
        now = asyncio.get_running_loop().time()
        await worker.handle(_view(d="d-1", e="e-1"))
        if view:
            await worker.handle(ViewChanged(dataclasses.replace(worker._view, **view)))
        if read:
            at = now - MAX_AGE_S - 1
            await worker.handle(VersionsConfirmed(at, frozenset({POOL})))
        targets = {"t": PlannedTarget(4, version="v1")}
        pool = PlannedPool(True, targets=targets, stream_origins=frozenset({"v1"}))
        await worker.handle(ConfigurationInForce(1, b"", DispatchPlan({POOL: pool})))
        for name in "de":
            register = PoolRegister(POOL, name, f"{name}-1", [], [], [])
            await worker.handle(Received(f"{name}:1", register))
        info = WorkInfo(
            "a", "a", "e", "c", "0", 0, 9, 9, 9.0, 0.0, False, [], [], resumes=7
        )
        await worker.handle(Received("e:1", PoolAsk(POOL, info)))
        assert asked == [POOL]
        assert not self._granted(links)
        await worker.handle(Tick())
        return worker, links

    def _granted(self, links):
        return any(isinstance(message, PoolGrant) for _address, message in links.sent)

    async def test_a_read_that_began_before_the_request_is_not_enough(
        self, monkeypatch
    ):
        worker, links = await self._waiting(monkeypatch, read=False)
        earlier = worker._hosted[POOL].unconfirmed_since - 0.1
        await worker.handle(VersionsConfirmed(earlier, frozenset({POOL})))
        assert not self._granted(links)
        later = asyncio.get_running_loop().time()
        await worker.handle(VersionsConfirmed(later, frozenset({"another"})))
        assert not self._granted(links)
        await worker.handle(VersionsConfirmed(later, frozenset({POOL})))
        assert self._granted(links)

    async def test_all_others_that_are_heard_later_confirm_it(self, monkeypatch):
        _worker, links = await self._waiting(monkeypatch, read=True)
        assert self._granted(links)

    async def test_others_that_were_heard_before_do_not(self, monkeypatch):
        now = asyncio.get_running_loop().time()
        _worker, links = await self._waiting(monkeypatch, read=True, heard_at=now)
        assert not self._granted(links)

    async def test_others_do_not_if_the_versions_were_never_read(self, monkeypatch):
        _worker, links = await self._waiting(monkeypatch, read=False)
        assert not self._granted(links)

    @pytest.mark.parametrize("ends", ["before", "after"])
    async def test_a_read_that_began_before_a_suspension_is_not_enough(
        self, monkeypatch, ends
    ):
        """Guards against a request that seems to be older than the last read.

        The event loop's clock stands still while the machine is suspended, and the
        request waited elsewhere meanwhile.
        """
        worker, links = await self._waiting(monkeypatch, read=False)
        at = worker._hosted[POOL].unconfirmed_since
        read = VersionsConfirmed(at, frozenset({POOL}))
        if ends == "before":
            await worker.handle(read)
        links.sent.clear()
        await asyncio.sleep(0.01)
        awake_at = clock.elapsed() + 6.0
        monkeypatch.setattr(clock, "elapsed", lambda: awake_at)
        info = WorkInfo(
            "b", "b", "e", "c", "0", 0, 9, 9, 9.0, 3.0, False, [], [], resumes=8
        )
        register = PoolRegister(POOL, "e", "e-1", [info], [], [])
        await worker.handle(Received("e:1", register))
        if ends == "after":
            await worker.handle(read)
        assert not self._granted(links)
        await asyncio.sleep(0.01)
        later = asyncio.get_running_loop().time()
        await worker.handle(VersionsConfirmed(later, frozenset({POOL})))
        assert self._granted(links)

    async def test_others_do_not_while_one_is_not_heard(self, monkeypatch):
        view = {"unreachable": 1}
        _worker, links = await self._waiting(monkeypatch, read=True, view=view)
        assert not self._granted(links)


class TestStreams:
    """Versions of streams are sent to the instances that may take a pool over."""

    STREAM = 7

    def _view(self, **receives):
        """Return a view of members by name; each may dispatch."""
        members = {
            name: Member(
                name, f"{name}-1", "dc", "r", f"{name}:1", f"{name}:2", 1, True, False,
                receives_streams=accepts,
            )
            for name, accepts in receives.items()
        }  # fmt: skip
        return ViewChanged(View(members))

    async def _begin_stream(self, **receives):
        """Begin a stream at the pool's dispatcher; return what it sends after it."""
        view = self._view(**receives)
        own = view.view.dispatcher_of(POOL)
        links = _Links()
        worker = DispatcherHost(
            own, f"{own}:1", links, lambda _message: None, None,
            dispatcher_class=SlotDispatcher, polls_load=False, has_standby=True,
        )  # fmt: skip
        await worker.handle(view)
        targets = {"t": PlannedTarget(4, version="v1")}
        pool = PlannedPool(True, targets=targets, stream_origins=MIXED)
        plan = DispatchPlan({POOL: pool})
        await worker.handle(ConfigurationInForce(1, b"", plan))
        for name in receives:
            register = PoolRegister(POOL, name, f"{name}-1", [], [], [])
            await worker.handle(Received(f"{name}:1", register))
        info = WorkInfo(
            "a", "a", own, "c", "0", 0, 9, 9, 9.0, 0.0, False, [], [],
            stream=self.STREAM,
        )  # fmt: skip
        await worker.handle(Received(f"{own}:1", PoolAsk(POOL, info)))
        begun = PoolFirstToken(POOL, "a", 0.1, stream=self.STREAM, version="v1")
        await worker.handle(Received(f"{own}:1", begun))
        await worker.handle(Tick())
        sent = [(a, m) for a, m in links.sent if isinstance(m, PoolStreams)]
        return own, sent

    async def test_are_sent_to_the_successors(self):
        own, sent = await self._begin_stream(a=True, b=True, c=True, d=True)
        expected = PoolStreams(POOL, [StreamGroup("v1", [self.STREAM])])
        assert len({address for address, _message in sent}) == 2
        assert all(message == expected for _address, message in sent)
        assert f"{own}:1" not in dict(sent)

    async def test_are_sent_to_successors_that_know_the_earlier_ones(self):
        """Guards against streams that only the ended dispatcher knew."""
        worker, _kept = await self._recording_worker()
        earlier = PoolFirstToken(POOL, "a", 0.1, stream=self.STREAM, version="v1")
        begun = PoolFirstToken(POOL, "b", 0.1, stream=self.STREAM + 1, version="v2")
        for message in (earlier, begun):
            worker._links.sent.clear()
            await worker.handle(Received("x:1", message))
            worker._hosted[POOL].streams_sent_at = -math.inf
            await worker.handle(Tick())
        ((_address, sent),) = worker._links.sent
        assert sent == PoolStreams(POOL, [StreamGroup("v2", [self.STREAM + 1])])

    async def test_are_not_sent_to_older_builds(self):
        """Guards against links that an older build closes at an unknown message."""
        _own, sent = await self._begin_stream(a=False, b=False, c=False)
        assert sent == []

    async def test_of_a_standby_dispatcher_are_not_sent(self):
        """Its records may be older than those of the pool's dispatcher.

        Its instance hands them over when it registers again.
        """
        view = self._view(a=True, b=True, c=True)
        own = next(n for n in "abc" if n != view.view.dispatcher_of(POOL))
        links = _Links()
        worker = DispatcherHost(
            own, f"{own}:1", links, lambda _message: None, None,
            dispatcher_class=SlotDispatcher, polls_load=False, has_standby=True,
        )  # fmt: skip
        await worker.handle(view)
        targets = {"t": PlannedTarget(4, version="v1")}
        pool = PlannedPool(True, targets=targets, stream_origins=MIXED)
        await worker.handle(ConfigurationInForce(1, b"", DispatchPlan({POOL: pool})))
        info = WorkInfo(
            "a", "a", own, "c", "0", 0, 9, 9, 9.0, 0.0, False, [], [],
            stream=self.STREAM,
        )  # fmt: skip
        await worker.handle(Received(f"{own}:1", PoolAsk(POOL, info)))
        begun = PoolFirstToken(POOL, "a", 0.1, stream=self.STREAM, version="v1")
        await worker.handle(Received(f"{own}:1", begun))
        await worker.handle(Tick())
        assert not any(isinstance(message, PoolStreams) for _, message in links.sent)

    async def test_are_not_recorded_by_a_grant(self):
        """Guards against a grant of an outdated request that replaces the record."""
        worker, kept = await self._recording_worker()
        kept.clear()
        info = WorkInfo(
            "a", "a", "x", "c", "0", 0, 9, 9, 9.0, 0.0, False, [], [],
            stream=self.STREAM,
        )  # fmt: skip
        register = PoolRegister(POOL, "x", "x-1", [], [], [])
        await worker.handle(Received("x:1", register))
        await asyncio.sleep(RECOVERY_TIMEOUT_S)
        await worker.handle(Tick())
        await worker.handle(Received("x:1", PoolAsk(POOL, info)))
        assert worker._hosted[POOL].dispatcher.counts.granted == 1
        await worker.handle(Tick())
        assert kept == []
        await worker.handle(PoolStreams(POOL, [StreamGroup("v2", [self.STREAM])]))
        known = worker._stream_versions[POOL].by_version()
        assert known == {"v2": [self.STREAM]}

    async def test_of_which_the_first_event_came_are_stored(self):
        worker, kept = await self._recording_worker()
        kept.clear()
        begun = PoolFirstToken(POOL, "a", 0.1, stream=self.STREAM, version="v1")
        await worker.handle(Received("x:1", begun))
        await worker.handle(Tick())
        assert kept == [SaveStreams(POOL, {"v1": [self.STREAM]})]

    async def test_without_a_hash_are_not_stored(self):
        worker, kept = await self._recording_worker()
        kept.clear()
        begun = PoolFirstToken(POOL, "a", 0.1, stream=0, version="v1")
        await worker.handle(Received("x:1", begun))
        await worker.handle(Tick())
        assert kept == []

    async def test_that_another_dispatcher_was_to_be_told_are_known(self):
        """Guards against streams that are unknown after a change of dispatcher."""
        worker, _kept = await self._recording_worker()
        await worker.handle(self._view(e=True))
        assert POOL not in worker._hosted
        begun = PoolFirstToken(POOL, "a", 0.1, stream=self.STREAM, version="v1")
        await worker.handle(Received("x:1", begun))
        known = worker._stream_versions[POOL].by_version()
        assert known == {"v1": [self.STREAM]}

    async def test_read_from_the_store_are_older_than_those_recorded_here(self):
        """Guards against a stream that began again and counts as of its first version.

        The store is read when the dispatcher begins to grant, later if it is slow.
        """
        worker = DispatcherHost(
            "a", "a:1", _Links(), lambda _message: None, None,
            dispatcher_class=SlotDispatcher, polls_load=False,
        )  # fmt: skip
        granted = PoolStreams(POOL, [StreamGroup("v2", [self.STREAM])])
        await worker.handle(Received("b:1", granted))
        stored = PoolStreams(POOL, [StreamGroup("v1", [self.STREAM, 8])])
        await worker.handle(stored)
        known = worker._stream_versions[POOL].by_version()
        assert known == {"v2": [self.STREAM], "v1": [8]}

    async def test_of_before_another_version_are_stored_with_the_first_ones(self):
        """Guards against streams that are refused as they began before the rollout."""
        saved = []
        view = self._view(a=True, b=True)
        own = view.view.dispatcher_of(POOL)
        worker = DispatcherHost(
            own, f"{own}:1", _Links(), lambda _message: None, None,
            dispatcher_class=SlotDispatcher, polls_load=False,
            keep_streams=saved.append,
        )  # fmt: skip
        await worker.handle(view)
        targets = {"t": PlannedTarget(4, version="v1")}
        pool = PlannedPool(True, targets=targets, stream_origins=frozenset({"v1"}))
        await worker.handle(ConfigurationInForce(1, b"", DispatchPlan({POOL: pool})))
        known = PoolStreams(POOL, [StreamGroup("v1", [self.STREAM])])
        await worker.handle(Received("b:1", known))
        await worker.handle(Tick())
        assert saved == []
        worker._hosted[POOL].streams_sent_at = 0.0
        pool = dataclasses.replace(pool, stream_origins=MIXED)
        await worker.handle(ConfigurationInForce(2, b"", DispatchPlan({POOL: pool})))
        await worker.handle(Tick())
        assert saved == [SaveStreams(POOL, {"v1": [self.STREAM]}, is_first=True)]

    async def test_that_instances_register_are_stored(self):
        """Guards against streams of a lost dispatcher that no restart of all knows."""
        worker, kept = await self._recording_worker()
        kept.clear()
        streams = [StreamGroup("v1", [self.STREAM])]
        register = PoolRegister(POOL, "x", "x-1", [], [], [], streams=streams)
        await worker.handle(Received("x:1", register))
        await worker.handle(Tick())
        assert kept == [SaveStreams(POOL, {"v1": [self.STREAM]})]

    async def test_are_all_stored_again_after_a_restore_of_the_store(self):
        worker, kept = await self._recording_worker()
        streams = [StreamGroup("v1", [self.STREAM])]
        await worker.handle(Received("x:1", PoolStreams(POOL, streams)))
        kept.clear()
        await worker.handle(StoreRestored())
        await worker.handle(Tick())
        assert kept == [SaveStreams(POOL, {"v1": [self.STREAM]}, is_first=True)]

    async def _recording_worker(self):
        """Return a pool's dispatcher, and the list of what it has stored."""
        view, kept = self._view(a=True, b=True), []
        own = view.view.dispatcher_of(POOL)
        worker = DispatcherHost(
            own, f"{own}:1", _Links(), lambda _message: None, None,
            dispatcher_class=SlotDispatcher, polls_load=False, has_standby=True,
            keep_streams=kept.append,
        )  # fmt: skip
        await worker.handle(view)
        targets = {"t": PlannedTarget(4, version="v1")}
        pool = PlannedPool(True, targets=targets, stream_origins=MIXED)
        await worker.handle(ConfigurationInForce(1, b"", DispatchPlan({POOL: pool})))
        await worker.handle(Tick())
        assert kept[0].is_first
        return worker, kept
