"""Guards against streams that hold events of two software versions.

When a rollout completed, the targets of the version before stopped at once. The streams
that ran there went on at targets of the new version, in the same response or when their
callers resumed them.
"""

import asyncio
import dataclasses
import time

import pytest
from platform_standin import (
    TargetStandIn,
    chunk,
    configuration,
    event,
    stream_head,
)
from test_forwarding import BOUND_S, Site

from hibiscusstep.forwarding import begun_versions

POOL = "pool-a"
EVENTS = 4
# Event after which a stream of the first version waits.
PAUSED_AFTER = 1


def _events_after(last):
    return range(last + 1, EVENTS)


def _events_from(fields):
    return _events_after(int(fields.get("last-event-id", -1)))


def _event_of(version, number):
    return event(number).replace(b"piece", version.encode())


class VersionSite(Site):
    """A region whose targets write their version into each event.

    The streams of targets whose names begin with "old" wait after some events, until
    `released`.
    """

    def __init__(self, *args):
        super().__init__(*args)
        self.released = asyncio.Event()
        self.paused = asyncio.Event()
        # Version and resumed event of each request at a target.
        self.sent = []
        # Start of the targets in their entries, in Unix milliseconds; 0 for none.
        self.started_ms = 0
        # Operators order rollouts here: a version ahead of its order receives nothing.
        self.bounds = {"ExposureShare": 0.1, "ExposureSlack": 50}

    def target(self, name, version):
        def script(_number, fields, _body):
            self.sent.append((version, fields.get("last-event-id", "")))
            return self._stream(name, version, fields)

        return TargetStandIn(name, script, self.started_ms, version)

    def _stream(self, name, version, fields):
        yield stream_head(fields)
        for number in _events_from(fields):
            yield chunk(_event_of(version, number))
            while (
                name.startswith("old")
                and number == PAUSED_AFTER
                and not self.released.is_set()
            ):
                self.paused.set()
                yield 0.01
        yield chunk(b"")

    async def start_pool(self, old=2, new=2, instances=1):
        await self.start(*(self.target(f"old{n}", "v1") for n in range(old)))
        for n in range(new):
            await self.add_target(self.target(f"new{n}", "v2"))
        for _ in range(1, instances):
            await self.add_instance()
        await self.until(
            lambda: all(
                i.view.size == instances and len(i.targets) == old + new
                for i in self.instances
            )
        )

    async def until(self, condition):
        async with asyncio.timeout(BOUND_S):
            while not condition():
                await asyncio.sleep(0.01)

    async def dispatcher(self):
        """Return the number of the dispatcher once all instances may dispatch."""
        await self.until(
            lambda: all(
                len(i.view.eligible) == len(self.instances) for i in self.instances
            )
        )
        return int(self.instances[0].view.dispatcher_of(POOL)[1:])

    def begin(self, request="begun", instance=0, **fields):
        """Send a request; return the task of its call."""
        call = self.call("/resume/", request=request, instance=instance, **fields)
        return asyncio.create_task(call)

    async def begin_at_old_version(self, instance=0):
        """Begin a stream and wait until it pauses at the first version."""
        begun = self.begin(instance=instance)
        await asyncio.wait_for(self.paused.wait(), BOUND_S)
        return begun

    async def end_rollout(self, version="v2", state="completed"):
        """Write an order, end it, and wait until all instances know both."""
        self.store.order_rollout(POOL, version, 60.0)
        await self.until_order(lambda order: order.version == version)
        self.store.end_rollout(POOL, version, state)
        await self.until_order(lambda order: order.is_concluded)

    async def until_order(self, condition):
        """Wait until all instances know an order that meets a condition."""
        await self.until(
            lambda: all(
                (order := i._rollouts.version_table[POOL].order) is not None
                and condition(order)
                for i in self.instances
            )
        )

    def end_targets(self, *names):
        """End targets; their entries are removed."""
        for target in self.targets:
            if target.name in names:
                target.crash()
                self.store.remove("servers", target.name)

    def versions_sent_to(self):
        return [version for version, _after in self.sent]


@pytest.fixture
async def site(tmp_path, monkeypatch):
    site = VersionSite(tmp_path, monkeypatch)
    yield site
    await site.stop()


class TestOneResponse:
    """Guards against a retry of a stream at another version than the one it began at.

    Eight streams of a rollout held events of both versions and looked complete.
    """

    async def test_is_broken_off_when_its_version_is_gone(self, site):
        await site.start_pool()
        begun = await site.begin_at_old_version()
        await site.end_rollout()
        site.end_targets("old0", "old1")
        _status, _fields, body = await begun
        assert body is None
        assert "v2" not in site.versions_sent_to()

    async def test_goes_on_at_its_version_when_that_serves_no_new_requests(self, site):
        await site.start_pool()
        begun = await site.begin_at_old_version()
        await site.end_rollout()
        site.released.set()
        running = next(target for target in site.targets if target.open)
        site.end_targets(running.name)
        _status, _fields, body = await begun
        assert body == b"".join(_event_of("v1", number) for number in range(EVENTS))
        assert site.sent == [("v1", ""), ("v1", str(PAUSED_AFTER))]

    async def test_is_broken_off_at_a_version_that_was_rolled_back(self, site):
        """A bad version receives nothing more, not even a stream that began there."""
        await site.start_pool()
        begun = await site.begin_at_old_version()
        await site.end_rollout()
        await site.end_rollout("v1", "rolled_back")
        running = next(target for target in site.targets if target.open)
        site.end_targets(running.name)
        _status, _fields, body = await begun
        assert body is None
        assert site.versions_sent_to() == ["v1"]

    async def test_is_not_bound_before_its_first_event(self, site):
        """An attempt without an event says nothing of the version."""
        await site.start_pool(old=0, new=0)

        def wait_and_reset(*_):
            while not site.released.is_set():
                yield 0.01
            yield "reset"

        first = TargetStandIn("a", wait_and_reset, version="v1")
        await site.add_target(first)
        await site.until(lambda: len(site.instances[0].targets) == 1)
        await site.add_target(site.target("b", "v2"))
        await site.until(lambda: len(site.instances[0].targets) == 2)
        begun = site.begin()
        await asyncio.wait_for(first.arrived.wait(), BOUND_S)
        await site.end_rollout()
        site.released.set()
        status, _fields, body = await begun
        assert status == 200
        assert body == b"".join(_event_of("v2", number) for number in range(EVENTS))


class TestResumedByCaller:
    """Guards against a caller's retry at another version than its stream began at.

    Nothing read which stream a caller resumed, so it went on at the current version.
    """

    async def _resume(self, site, instance=1, after=PAUSED_AFTER, **fields):
        fields = {"Last-Event-Id": str(after), "Resumes": "begun"} | fields
        return await site.begin("resumed", instance, **fields)

    async def _break_stream(self, site):
        """Let a stream break of which no target but one of its version remains."""
        begun = await site.begin_at_old_version()
        await site.end_rollout()
        site.released.set()
        running = next(target for target in site.targets if target.open)
        running.crash()
        (await asyncio.gather(begun, return_exceptions=True))
        return running

    async def test_is_refused_when_its_version_is_gone(self, site):
        await site.start_pool(instances=2)
        begun = await site.begin_at_old_version()
        await site.end_rollout()
        site.end_targets("old0", "old1")
        assert (await begun)[2] is None
        status, fields, body = await self._resume(site)
        assert status == 503
        assert "Retry-After" in fields
        assert b"sent again from its beginning" in body
        assert "v2" not in site.versions_sent_to()

    async def test_goes_on_at_its_version(self, site):
        await site.start_pool(instances=2)
        await self._break_stream(site)
        status, _fields, body = await self._resume(site)
        assert status == 200
        assert body == b"".join(_event_of("v1", n) for n in _events_after(PAUSED_AFTER))

    @pytest.mark.parametrize(
        "fields",
        [
            {"Resumes": "another"},
            {"Resumes": ""},
            {"Resumes": "resumed"},
            {"Resumes": "x" * 4000},
            {"Authorization": "Bearer key-two"},
        ],
        ids=["unknown", "empty", "itself", "very long", "of another customer"],
    )
    async def test_is_refused_if_its_version_is_unknown(self, site, fields):
        await site.start_pool(instances=2)
        await self._break_stream(site)
        before = len(site.sent)
        status, _fields, body = await self._resume(site, **fields)
        assert status == 503
        assert b"not known" in body
        assert len(site.sent) == before

    async def test_goes_on_where_only_one_version_served(self, site):
        await site.start_pool(new=0, instances=2)
        site.released.set()
        status, _fields, _body = await self._resume(site, Resumes="another")
        assert status == 200
        assert site.sent == [("v1", str(PAUSED_AFTER))]

    async def test_goes_on_when_the_dispatcher_ended(self, site):
        await site.start_pool(instances=3)
        dispatcher = await site.dispatcher()
        others = [n for n in range(3) if n != dispatcher]
        begun = await site.begin_at_old_version(instance=others[0])
        await site.end_rollout()
        await site.end_instance(dispatcher)
        begun.cancel()
        site.released.set()
        await self._assert_continues(site, others[1])

    async def test_goes_on_if_it_was_complete_for_its_instance(self, site):
        """Guards against forgetting a stream whose end did not reach its caller."""
        await site.start_pool(instances=3)
        dispatcher = await site.dispatcher()
        others = [n for n in range(3) if n != dispatcher]
        begun = await site.begin_at_old_version(instance=others[0])
        await site.end_rollout()
        site.released.set()
        assert (await begun)[0] == 200
        await site.end_instance(dispatcher)
        await self._assert_continues(site, others[1])

    async def test_goes_on_when_the_dispatcher_received_and_ended(self, site):
        """The one instance that both granted the stream and served its caller."""
        await site.start_pool(instances=3)
        dispatcher = await site.dispatcher()
        others = [n for n in range(3) if n != dispatcher]
        begun = await site.begin_at_old_version(instance=dispatcher)
        await site.end_rollout()
        await site.until(
            lambda: all(
                len(site.instances[n]._dispatcher_host._stream_versions[POOL])
                for n in others
            )
        )
        await site.end_instance(dispatcher)
        await asyncio.gather(begun, return_exceptions=True)
        site.released.set()
        await self._assert_continues(site, others[0])

    async def _assert_continues(self, site, instance):
        """Resume until a dispatcher has taken over; no try runs at the new version."""
        async with asyncio.timeout(BOUND_S):
            status = 0
            while status != 200:
                status, _fields, body = await self._resume(site, instance)
        assert body == b"".join(_event_of("v1", n) for n in _events_after(PAUSED_AFTER))
        assert "v2" not in site.versions_sent_to()

    async def test_is_refused_after_a_restart_of_all_instances(self, site):
        await site.start_pool(instances=2)
        await self._break_stream(site)
        for number in range(2):
            await site.end_instance(number)
        await site.add_instance()
        await site.until_order(lambda order: order.is_concluded)
        status, _fields, _body = await self._resume(site, instance=2)
        assert status == 503
        assert "v2" not in site.versions_sent_to()


class TestRestartOfAllInstances:
    """Guards against a resumed stream at another version after all instances ended.

    No instance knew what had served before: without start times of targets, streams of
    a version that had left went on at the next one, and with them all were refused.
    """

    async def _restart_all(self, site, outage=()):
        """End all instances, apply changes, and start as many."""
        running = [n for n, task in enumerate(site._tasks) if not task.done()]
        for number in running:
            await site.end_instance(number)
        for change in outage:
            change()
        for _ in running:
            await site.add_instance(wait=False)
        await site.until(lambda: all(i.ready for i in site.instances[-len(running) :]))

    async def _break_off(self, site, begun):
        """Break a stream off with its instances, and let later ones run."""
        begun.cancel()
        await asyncio.gather(begun, return_exceptions=True)
        site.released.set()

    async def _resume(self, site, request="resumed"):
        fields = {"Last-Event-Id": str(PAUSED_AFTER), "Resumes": "begun"}
        last = len(site.instances) - 1
        return await site.begin(request, last, **fields)

    async def _begin_new_stream(self, site):
        """Begin streams at the last instance until one is served."""
        last = len(site.instances) - 1
        async with asyncio.timeout(BOUND_S):
            number = 0
            while (await site.begin(f"new{number}", last))[0] != 200:
                number += 1
                await asyncio.sleep(0.05)

    async def _assert_goes_on(self, site, version):
        async with asyncio.timeout(BOUND_S):
            number = 0
            while (answer := await self._resume(site, f"again{number}"))[0] != 200:
                number += 1
                await asyncio.sleep(0.05)
        events = (_event_of(version, n) for n in _events_after(PAUSED_AFTER))
        assert answer[2] == b"".join(events)

    async def test_is_refused_if_its_version_has_left(self, site):
        """The targets' entries do not tell when they started."""
        await site.start_pool(new=0, instances=2)
        begun = await site.begin_at_old_version()
        for n in range(2):
            await site.add_target(site.target(f"new{n}", "v2"))
        await self._restart_all(site, [lambda: site.end_targets("old0", "old1")])
        await self._break_off(site, begun)
        await self._begin_new_stream(site)
        before = len(site.sent)
        assert (await self._resume(site))[0] == 503
        assert len(site.sent) == before

    async def test_versions_are_stored_of_a_pool_without_resumable_routes(self, site):
        """Guards against a resumed stream of such a route that runs like a new one."""
        document = configuration()
        document["Routes"] = [
            route
            for route in document["Routes"]
            if route["Kind"] == "streaming" and not route["Resumable"]
        ]
        assert document["Routes"]
        await site.start(site.target("new0", "v2"), document=document)
        kind = "hibiscusstep-versions"
        await site.until(lambda: (kind, POOL) in site.store.objects)

    async def test_versions_are_stored_again_after_a_restore_of_the_store(self, site):
        """Guards against a restored store that lacks them when all instances end."""
        await site.start_pool(new=0, instances=2)
        kind = "hibiscusstep-versions"
        revision, objects = site.store.copy()
        del objects[kind, POOL]
        site.store.restore((revision, objects))
        era = int(site.store.era)
        await site.until(lambda: (kind, POOL) in site.store.objects)
        await site.until(lambda: site.store.objects[kind, POOL]["Spec"]["Era"] == era)
        assert site.store.objects[kind, POOL]["Spec"]["Versions"] == ["v1"]

    async def test_is_refused_after_a_second_restart(self, site):
        await site.start_pool(new=0, instances=2)
        begun = await site.begin_at_old_version()
        for n in range(2):
            await site.add_target(site.target(f"new{n}", "v2"))
        await self._restart_all(site, [lambda: site.end_targets("old0", "old1")])
        await self._break_off(site, begun)
        await self._begin_new_stream(site)
        await self._restart_all(site)
        await self._begin_new_stream(site)
        before = len(site.sent)
        assert (await self._resume(site))[0] == 503
        assert len(site.sent) == before

    async def test_goes_on_if_one_version_serves(self, site):
        """The targets are young, as after one was added or replaced."""
        site.started_ms = int(time.time() * 1000)
        await site.start_pool(new=0, instances=2)
        begun = await site.begin_at_old_version()
        await self._restart_all(site)
        await self._break_off(site, begun)
        await self._assert_goes_on(site, "v1")

    async def test_goes_on_at_its_version_beside_another(self, site):
        site.started_ms = int(time.time() * 1000)
        await site.start_pool(instances=2, new=0)
        begun = await site.begin_at_old_version()
        for n in range(2):
            await site.add_target(site.target(f"new{n}", "v2"))
        await self._restart_all(site)
        await self._break_off(site, begun)
        await self._assert_goes_on(site, "v1")


class TestUnrecordedVersion:
    """Guards against streams of a version that a start cannot know of."""

    async def _begin_recorded(self, site):
        await site.start_pool(new=0)
        site.released.set()
        await self._until_stored(site, "v1")
        site.store.refused.add("hibiscusstep-versions")
        await site.add_target(site.target("new0", "v2"))
        await site.until(lambda: "new0" in site.instances[0].targets)

    async def _until_stored(self, site, version):
        begun = site.instances[0]._rollouts.version_table[POOL].begun
        await site.until(lambda: version in begun.stored.versions)

    async def test_begins_no_streams(self, site):
        await self._begin_recorded(site)
        site.store.order_rollout(POOL, "v2", 60.0)
        site.store.end_rollout(POOL, "v2", "running")
        await site.until_order(lambda order: order.is_running)
        for number in range(30):
            assert (await site.begin(f"before{number}"))[0] == 200
        assert set(site.versions_sent_to()) == {"v1"}
        site.store.refused.clear()
        await self._until_stored(site, "v2")
        async with asyncio.timeout(BOUND_S):
            number = 0
            while "v2" not in site.versions_sent_to():
                await site.begin(f"after{number}")
                number += 1

    async def test_its_order_does_not_begin(self, site):
        await self._begin_recorded(site)
        site.store.order_rollout(POOL, "v2", 60.0)
        await site.until_order(lambda order: order.version == "v2")
        await asyncio.sleep(1.0)
        order = site.instances[0]._rollouts.version_table[POOL].order
        assert not order.is_running
        site.store.refused.clear()
        await site.until_order(lambda order: order.is_running)

    async def test_waits_also_if_it_is_the_only_one(self, site, monkeypatch):
        monkeypatch.setattr(begun_versions, "RECORD_TIMEOUT_S", 60.0)
        site.store.refused.add("hibiscusstep-versions")
        await site.start_pool(new=0)
        site.released.set()
        for number in range(5):
            assert (await site.begin(f"before{number}"))[0] == 503
        assert site.sent == []
        site.store.refused.clear()
        await self._until_stored(site, "v1")
        assert (await site.begin("after"))[0] == 200


class TestChangedEntry:
    """Guards against a record of another version than the stream begins at.

    The entry of a target that does not tell its start may change its version between
    the grant and the send. The dispatcher records the version that it knows.
    """

    async def test_a_stream_begins_where_both_know_the_same_version(self, site):
        await site.start_pool(new=0)
        targets = site.instances[0].targets
        targets["old0"] = dataclasses.replace(targets["old0"], version="v2")
        site.released.set()
        for _ in range(4):
            assert (await site.begin())[0] == 200
        assert len(site.targets[0].requests) == 0
