"""Objects of the store that nothing can read, with the client and a store stand-in."""

import pytest
from platform_standin import StoreStandIn

from hibiscusstep.platform.client import ObjectClient, ObjectFeed

KIND = "servers"
MARKER = "@odd@"


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


class Objects:
    """A store whose objects have a marker that is answered as other bytes."""

    def __init__(self):
        self.store = StoreStandIn()

    async def start(self, kind=KIND):
        await self.store.start()
        self.kind = kind
        self.client = ObjectClient(self.store.address)
        self.feed = ObjectFeed(self.client, kind, lambda name, rev, spec, status: spec)

    def put(self, name, value=None, text=None):
        if text is not None:
            self.store.answer_replacement = (b'"%s"' % MARKER.encode(), text)
        self.store.put(self.kind, name, {"v": MARKER if text is not None else value})


@pytest.fixture
async def objects():
    objects = Objects()
    await objects.start()
    yield objects
    await objects.client.close()
    await objects.store.stop()


class TestLog:
    """Guards against an object that is left out without a line that names it."""

    @pytest.mark.parametrize("text", UNREADABLE.values(), ids=UNREADABLE)
    async def test_names_the_object_once_a_revision(self, objects, caplog, text):
        objects.put("a", 1)
        objects.put("b", text=text)
        for _ in range(2):
            await objects.feed.read_all()
        objects.put("b", text=text)
        await objects.feed.watch(objects.store.revision - 1, 0.5)
        lines = [r for r in caplog.records if r.message == "object left out"]
        assert [(r.kind, r.object, r.revision & 0xFF) for r in lines] == [
            ("servers", "b", 3),
            ("servers", "b", 4),
        ]
        assert all(r.error.startswith("Spec: ") for r in lines)
