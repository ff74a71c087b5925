"""Objects of the store that nothing can read, with the client and a store stand-in."""

import asyncio

import pytest
from platform_standin import StoreStandIn, configuration

from hibiscusstep.platform.client import (
    ObjectClient,
    ObjectEstimateStore,
    ObjectFeed,
    ObjectInstanceDirectory,
    ObjectRolloutStore,
    ObjectStreamStore,
    ObjectSuspectStore,
    ObjectUsageStore,
)
from hibiscusstep.platform.documents import decode_rollout, decode_table
from hibiscusstep.platform.eras import join_revision
from hibiscusstep.store import Change, InstanceRecord, RevisionExpired

BOUND_S = 10
KIND = "servers"
MARKER = "@odd@"
ERA = 1


def nested(depth):
    return b"[" * depth + b"]" * depth


# What another writer may leave, as the text of a field or of a whole `Spec`.
UNREADABLE = {
    "array 2,000 deep": nested(2_000),
    "array 100,000 deep": nested(100_000),
    "objects 2,000 deep": b'{"a":' * 2_000 + b"1" + b"}" * 2_000,
    "5,000 digits": b"9" * 5_000,
    "no JSON": b"{oops}",
}
READABLE = {
    "array 900 deep": nested(900),
    "400 digits": b"9" * 400,
    "1e400": b"1e400",
    "NaN": b"NaN",
    "not UTF-8": b'"\xff\xfe"',
}
ALL = {**UNREADABLE, **READABLE}


def each(shapes):
    return pytest.mark.parametrize("text", shapes.values(), ids=shapes)


class Objects:
    """A store whose objects have a marker that is answered as other bytes."""

    def __init__(self):
        self.store = StoreStandIn()

    async def start(self):
        await self.store.start()
        self.client = ObjectClient(self.store.address)
        self.feed = ObjectFeed(self.client, KIND, lambda name, rev, spec, status: spec)

    @property
    def revision(self):
        return join_revision(ERA, self.store.revision)

    def put(self, name, value=None, kind=KIND):
        self.store.put(kind, name, {"v": value})

    def put_odd(self, name, text, kind=KIND, is_whole=False):
        """Write an object with a text in a field, or as its whole `Spec`."""
        self.store.answer_replacement = (b'"%s"' % MARKER.encode(), text)
        self.store.put(kind, name, MARKER if is_whole else {"v": MARKER})

    async def read_all(self):
        async with asyncio.timeout(BOUND_S):
            return (await self.feed.read_all()).unwrap().items

    async def watch(self, since):
        async with asyncio.timeout(BOUND_S):
            return (await self.feed.watch(since, 0.5)).unwrap()


@pytest.fixture
async def objects():
    objects = Objects()
    await objects.start()
    yield objects
    await objects.client.close()
    await objects.store.stop()


class TestLog:
    """Guards against an object that is left out without a line that names it."""

    @each(UNREADABLE)
    async def test_names_the_object_once_a_revision(self, objects, caplog, text):
        objects.put("a", 1)
        objects.put_odd("b", text)
        for _ in range(2):
            await objects.feed.read_all()
        since = objects.revision
        objects.put_odd("b", text)
        await objects.feed.watch(since, 0.5)
        lines = [r for r in caplog.records if r.message == "object left out"]
        assert [(r.kind, r.object, r.revision) for r in lines] == [
            (KIND, "b", since),
            (KIND, "b", objects.revision),
        ]
        assert all(r.error.startswith("Spec: ") for r in lines)

    async def test_gives_the_position_where_no_name_can_be_read(self, objects, caplog):
        objects.put("a", 1)
        objects.put_odd("b", b"9" * 5_000)
        objects.store.objects[KIND, "b"] = MARKER
        objects.put("c", 1)
        for _ in range(2):
            assert (await objects.read_all()).keys() == {"a", "c"}
        (line,) = [r for r in caplog.records if r.message == "object left out"]
        assert (line.kind, line.object, line.position) == (KIND, "", 1)
        assert "digits" in line.error

    async def test_of_a_polled_kind_is_written_once(self, objects, caplog):
        kind = "hibiscusstep-instances"
        objects.put_odd("odd", nested(2_000), kind)
        directory = ObjectInstanceDirectory(objects.client)
        for _ in range(3):
            assert (await directory.instances()).unwrap() == []
        lines = [r for r in caplog.records if r.message == "object left out"]
        assert [(r.kind, r.object) for r in lines] == [(kind, "odd")]


class TestList:
    """Guards against one object that makes all objects of a list unreadable."""

    @each(ALL)
    @pytest.mark.parametrize("is_whole", [False, True], ids=["field", "Spec"])
    @pytest.mark.parametrize("at", "ac")
    async def test_holds_the_others(self, objects, text, is_whole, at):
        objects.store.page_size = 500
        for name in "bd":
            objects.put(name, 1)
        objects.put_odd(at, text, is_whole=is_whole)
        found = await objects.read_all()
        assert found.pop("b") == found.pop("d") == {"v": 1}
        assert found.keys() == (set() if text in UNREADABLE.values() else {at})

    async def test_of_a_kind_with_several_odd_ones(self, objects):
        objects.store.page_size = 500
        for n in range(20):
            objects.put(f"a{n}", n)
            objects.put_odd(f"b{n}", nested(2_000))
        assert (await objects.read_all()).keys() == {f"a{n}" for n in range(20)}


class TestPages:
    """Guards against a list that never ends, or that lacks objects after an odd one."""

    @each(UNREADABLE)
    @pytest.mark.parametrize("at", "bcde")
    async def test_the_odd_one_may_be_the_last_or_alone(self, objects, text, at):
        objects.store.page_size = 1 if at == "e" else 2
        objects.put_odd(at, text)
        for name in sorted({*"abcdef"} - {at}):
            objects.put(name, 1)
        assert (await objects.read_all()).keys() == {*"abcdef"} - {at}

    @pytest.mark.parametrize("name", ["Finalizers", "Created"])
    async def test_odd_metadata_have_a_name(self, objects, name):
        objects.store.page_size = 1
        objects.put_odd("b", nested(2_000))
        item = objects.store.objects[KIND, "b"]
        item["Metadata"][name], item["Spec"] = MARKER, {"v": 2}
        objects.put("a", 1)
        objects.put("c", 1)
        assert (await objects.read_all()) == {
            "a": {"v": 1},
            "b": {"v": 2},
            "c": {"v": 1},
        }

    async def test_continues_from_the_last_name_that_can_be_read(self, objects):
        objects.put_odd("b", b"oops")
        objects.store.objects[KIND, "b"] = MARKER
        for name in "acde":
            objects.put(name, 1)
        assert (await objects.read_all()).keys() == {*"acde"}

    @pytest.mark.parametrize(
        "page",
        [
            b'{"Items":[],"HasMore":true,"At":2}',
            b'{"Items":[oops],"HasMore":true,"At":2}',
            b'{"Items":[{"Metadata":{"Name":"a"}}],"HasMore":true,"At":2}',
            b'{"Items":[{"Metadata":{"Name":"a\xff"}}],"HasMore":"false","At":2}',
        ],
    )
    async def test_a_page_that_leads_no_further_is_an_error(self, objects, page):
        objects.store.whole_answer = page
        async with asyncio.timeout(BOUND_S):
            assert (await objects.feed.read_all()).is_err()
        assert len(objects.store.calls) <= 2


class TestWatch:
    """Guards against an event that stops the feed of all others."""

    @each(ALL)
    @pytest.mark.parametrize("is_whole", [False, True], ids=["field", "Spec"])
    async def test_the_others_are_returned_and_it_continues(
        self, objects, text, is_whole
    ):
        objects.put("a", 1)
        since = objects.revision
        objects.put("b", 2)
        objects.put_odd("c", text, is_whole=is_whole)
        objects.put("d", 4)
        changes, revision = await objects.watch(since)
        assert revision == objects.revision
        items = {change.name: change.item for change in changes}
        assert (items["b"], items["d"]) == ({"v": 2}, {"v": 4})
        if text in UNREADABLE.values():
            assert items["c"] is None
        assert (await objects.watch(revision)) == ([], revision)

    @each(UNREADABLE)
    async def test_one_that_becomes_unreadable_is_no_longer_known(self, objects, text):
        objects.put("a", 1)
        since = objects.revision
        objects.put_odd("a", text)
        changes, _revision = await objects.watch(since)
        assert changes == [Change("a", None, objects.revision)]
        assert await objects.read_all() == {}
        objects.put("a", 2)
        changes, _revision = await objects.watch(objects.revision - 1)
        assert changes == [Change("a", {"v": 2}, objects.revision)]

    @each(UNREADABLE)
    async def test_its_removal_is_seen(self, objects, text):
        objects.put_odd("a", text)
        since = objects.revision
        objects.store.remove(KIND, "a")
        objects.put("b", 1)
        changes, _revision = await objects.watch(since)
        assert [(c.name, c.item) for c in changes] == [("a", None), ("b", {"v": 1})]

    @pytest.mark.parametrize(
        "event",
        [
            b"oops",
            b"[]",
            b"{}",
            b'{"Object":7}',
            b'{"Object":{oops}}',
            b'{"Object":{"Metadata":[]}}',
            b"9" * 5_000,
            nested(2_000),
        ],
    )
    async def test_an_event_without_a_name_is_counted(self, objects, event):
        text = b'{"events":[%b,{"Object":%b}],"At":5}'
        sound = b'{"Metadata":{"Name":"b","Revision":5},"Spec":{"v":1}}'
        objects.store.whole_answer = text % (event, sound)
        changes, revision = await objects.watch(objects.revision)
        assert changes == [Change("b", {"v": 1}, join_revision(ERA, 5))]
        assert revision == join_revision(ERA, 5)
        assert objects.feed.ignored_count == 1

    @pytest.mark.parametrize(
        "event",
        [
            b'{"Object":{"Metadata":{"Name":"a","Revision":4},oops},"Removed":false}',
            b'{"Object":{"Metadata":{"Name":"a","Revision":4},"Spec":{}},oops}',
            b'{"Object":{"Metadata":{"Name":"a"},"Spec":oops}}',
            b'{"Object":{"Metadata":{"Name":"a","Revision":%b},"Spec":{}}}'
            % (b"9" * 30),
            b'{"Object":{"Metadata":{"Name":"a","Revision":-1},"Spec":{}}}',
            b'{"Object":{"Metadata":{"Name":"a","Revision":"4"},"Spec":{}}}',
        ],
    )
    async def test_an_event_with_a_name_removes_the_object(self, objects, event):
        objects.store.whole_answer = b'{"events":[%b],"At":5}' % event
        ((change,), _revision) = await objects.watch(objects.revision)
        assert (change.name, change.item) == ("a", None)
        assert change.revision <= join_revision(ERA, 5)
        assert objects.feed.ignored_count == 1


class TestDocument:
    """Guards against an answer of another form that is taken for an empty list."""

    @pytest.mark.parametrize(
        "answer",
        [
            b"",
            b'"text"',
            b"[]",
            b"null",
            b"7",
            nested(2_000),
            b'{"Items":"text","At":5}',
            b'{"Items":{"a":1},"At":5}',
            b'{"Items":null,"At":5}',
            b'{"Items":[oops,"At":5}',
            b'{"Items":[]}',
            b'{"Items":[],"At":%b}' % (b"9" * 30),
            b'{"Items":[],"At":%b}' % (b"9" * 5_000),
            b'{"Items":[],"At":-1}',
            b'{"Items":[],"At":1e400}',
            b'{"Items":[],"At":[]}',
        ],
    )
    async def test_is_an_error_of_the_call(self, objects, answer):
        objects.store.whole_answer = answer
        client = objects.client
        watch = answer.replace(b"Items", b"events")
        assert (await objects.feed.read_all()).is_err()
        assert (await ObjectStreamStore(client).read_versions()).is_err()
        assert (await ObjectStreamStore(client).read_segments("p")).is_err()
        objects.store.whole_answer = watch
        watched = await objects.feed.watch(objects.revision, 0.5)
        assert watched.is_err()
        assert not isinstance(watched.unwrap_err(), RevisionExpired)

    @pytest.mark.parametrize("answer", [b"", b'"text"', b"[]", b"null", b"{oops"])
    async def test_of_one_object_is_an_error(self, objects, answer):
        objects.store.put("hibiscusstep-use", "customers", {"a": 1})
        objects.store.put("hibiscusstep-versions", "p", {"Versions": []})
        objects.store.whole_answer = answer
        assert (await ObjectUsageStore(objects.client).read()).is_err()
        versions = await ObjectStreamStore(objects.client).read_versions("p")
        assert versions.is_err()


class TestKinds:
    """Guards against one object that costs others of its kind, whatever the kind."""

    @each(UNREADABLE)
    async def test_instances(self, objects, text):
        directory = ObjectInstanceDirectory(objects.client)
        records = [InstanceRecord(n, "z", "127.0.0.1:7") for n in ("n1", "n2")]
        await directory.register(records[0])
        objects.put_odd("n1a", text, "hibiscusstep-instances")
        await directory.register(records[1])
        assert (await directory.instances()).unwrap() == records

    @each(UNREADABLE)
    async def test_estimates(self, objects, text):
        estimates = ObjectEstimateStore(objects.client)
        objects.put_odd("o", text, "hibiscusstep-beliefs")
        for pool in ("n", "p"):
            await estimates.write(pool, {"first": 1.0})
        found = (await estimates.read_all()).unwrap()
        assert found == {"n": {"first": 1.0}, "p": {"first": 1.0}}

    @each(UNREADABLE)
    async def test_versions(self, objects, text):
        """Unreadable ones are incomplete, and can be replaced by their revision."""
        streams = ObjectStreamStore(objects.client)
        await streams.read_segments("p")
        objects.put_odd("o", text, "hibiscusstep-versions")
        for pool in ("n", "p"):
            assert (await streams.write_versions(pool, ["v1"], 0)).is_ok()
        listed = (await streams.read_versions()).unwrap()
        assert listed.keys() == {"n", "o", "p"}
        assert listed["n"].is_complete and listed["p"].is_complete
        alone = (await streams.read_versions("o")).unwrap()
        assert alone["o"] == listed["o"]
        assert not alone["o"].is_complete and not alone["o"].versions
        replaced = await streams.write_versions("o", ["v2"], alone["o"].revision)
        assert replaced.unwrap().is_complete

    @each(UNREADABLE)
    async def test_streams(self, objects, text):
        streams = ObjectStreamStore(objects.client)
        for segment in (0, 2):
            await streams.write_segment("p", segment, {"Number": segment})
        objects.put_odd("p.1", text, "hibiscusstep-streams")
        objects.store.objects["hibiscusstep-streams", "p.1b"] = "no object"
        found = (await streams.read_segments("p")).unwrap()
        assert [document["Number"] for document in found] == [0, 2]

    @each(UNREADABLE)
    @pytest.mark.parametrize("is_whole", [False, True], ids=["field", "Spec"])
    async def test_an_object_read_alone_counts_as_malformed(
        self, objects, text, is_whole
    ):
        """An object that cannot be read is not taken for one that does not exist."""
        objects.put_odd("customers", text, "hibiscusstep-use", is_whole)
        objects.put_odd("requests", text, "hibiscusstep-suspects", is_whole)
        objects.put_odd("p", text, "hibiscusstep-rollouts", is_whole)
        rollouts = ObjectRolloutStore(objects.client, None)
        assert (await ObjectUsageStore(objects.client).read()).unwrap() == {}
        assert (await ObjectSuspectStore(objects.client).read()).unwrap() == {}
        assert (await rollouts.read_progress("p")).unwrap() == {}

    @each(UNREADABLE)
    async def test_rollout_orders(self, objects, text):
        feed = ObjectFeed(objects.client, "rollouts", decode_rollout)
        for pool in ("n", "p"):
            objects.store.order_rollout(pool, "v2", 5.0)
        objects.put_odd("o", text, "rollouts")
        assert (await feed.read_all()).unwrap().items.keys() == {"n", "p"}

    @each(UNREADABLE)
    async def test_the_status_of_a_rollout_order_counts_as_missing(self, objects, text):
        feed = ObjectFeed(objects.client, "rollouts", decode_rollout)
        objects.put_odd("o", text, "rollouts")
        objects.store.order_rollout("p", "v2", 5.0)
        objects.store.objects["rollouts", "p"]["Status"] = MARKER
        assert (await feed.read_all()).unwrap().items["p"].state is None

    @each(ALL)
    async def test_the_configuration(self, objects, text):
        feed = ObjectFeed(objects.client, "config", decode_table)
        objects.store.put("config", "main", configuration(3))
        objects.put_odd("a-copy", text, "config")
        found = (await feed.read_all()).unwrap().items
        assert [table.version for table in found.values()] == [3]
