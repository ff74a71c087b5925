"""hibiscusstep.forwarding.saved_streams and the store of streams and their versions."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from platform_standin import StoreStandIn
from result import Err, Ok

from hibiscusstep.errors import PlatformConflict, PlatformUnavailable
from hibiscusstep.forwarding import saved_streams
from hibiscusstep.forwarding.saved_streams import (
    SEGMENT_COUNT,
    WRITES_PER_SEGMENT,
    SavedStreamsWorker,
    from_document,
    to_document,
)
from hibiscusstep.mailbox import Tick
from hibiscusstep.platform.client import ObjectClient, ObjectStreamStore
from hibiscusstep.routing.stream_versions import SaveStreams
from hibiscusstep.store import StreamStore

POOL = "p"
VERSIONS = "hibiscusstep-versions"
_hashes = st.lists(st.integers(1, 2**63 - 1), max_size=5)


class _Store(StreamStore):
    """Holds segments in memory; each call fails while `is_away`."""

    def __init__(self):
        self.segments = {}
        self.is_away = False

    async def read_versions(self, pool=None):
        return Ok({})

    async def write_versions(self, pool, versions, revision):
        return Err(PlatformUnavailable("not used"))

    async def write_segment(self, pool, segment, document):
        if self.is_away:
            return Err(PlatformUnavailable("away"))
        self.segments[segment] = document
        return Ok(None)

    async def read_segments(self, pool):
        if self.is_away:
            return Err(PlatformUnavailable("away"))
        return Ok(list(self.segments.values()))


async def _read_back(store):
    """Return the streams by version that a new instance reads."""
    read = []
    worker = SavedStreamsWorker(store, read.append)
    await worker.handle(SaveStreams(POOL, {}, is_first=True))
    return {
        stream: group.version
        for message in read
        for group in message.streams
        for stream in group.streams
    }


class TestDocuments:
    @given(st.dictionaries(st.text(min_size=1, max_size=3), _hashes, max_size=3))
    def test_round_trip(self, streams):
        number, groups = from_document(to_document(3, streams))
        assert number == 3
        assert {group.version: group.streams for group in groups} == streams

    @pytest.mark.parametrize(
        "document",
        [
            {},
            {"Number": 1},
            {"Number": -1, "Streams": {}},
            {"Number": True, "Streams": {}},
            {"Number": 1, "Streams": ["v1"]},
            {"Number": 1, "Streams": {"v1": "no base64"}},
            {"Number": 1, "Streams": {"v1": "AAAA"}},
            {"Number": 1, "Streams": {"v1": 5}},
        ],
        ids=str,
    )
    def test_malformed_ones_are_left_out(self, document):
        assert from_document(document) is None


class TestSavedStreams:
    async def test_are_known_after_a_restart_of_all_instances(self):
        store = _Store()
        worker = SavedStreamsWorker(store, lambda _message: None)
        await worker.handle(SaveStreams(POOL, {"v1": [1, 2]}, is_first=True))
        await worker.handle(SaveStreams(POOL, {"v2": [3]}))
        await worker.handle(Tick())
        assert await _read_back(store) == {1: "v1", 2: "v1", 3: "v2"}

    async def test_of_before_a_restart_are_kept_by_the_next_instances(self):
        """Guards against two restarts of all instances within a stream's lifetime."""
        store = _Store()
        for stream in (1, 2, 3):
            worker = SavedStreamsWorker(store, lambda _message: None)
            await worker.handle(SaveStreams(POOL, {"v1": [stream]}, is_first=True))
            await worker.handle(Tick())
        assert await _read_back(store) == dict.fromkeys((1, 2, 3), "v1")

    async def test_are_written_when_the_store_is_back(self, monkeypatch):
        monkeypatch.setattr(saved_streams, "READ_RETRY_S", 0.0)
        store = _Store()
        store.is_away = True
        worker = SavedStreamsWorker(store, lambda _message: None)
        await worker.handle(SaveStreams(POOL, {"v1": [1]}, is_first=True))
        await worker.handle(Tick())
        store.is_away = False
        await worker.handle(Tick())
        assert await _read_back(store) == {1: "v1"}

    async def test_nothing_is_written_without_new_streams(self):
        store = _Store()
        worker = SavedStreamsWorker(store, lambda _message: None)
        await worker.handle(SaveStreams(POOL, {"v1": [1]}, is_first=True))
        for _ in range(3):
            await worker.handle(Tick())
        store.segments.clear()
        await worker.handle(Tick())
        assert not store.segments

    async def test_the_oldest_segment_is_replaced(self):
        store = _Store()
        worker = SavedStreamsWorker(store, lambda _message: None)
        count = (SEGMENT_COUNT + 1) * WRITES_PER_SEGMENT
        await worker.handle(SaveStreams(POOL, {}, is_first=True))
        for stream in range(1, count + 1):
            await worker.handle(SaveStreams(POOL, {"v1": [stream]}))
            await worker.handle(Tick())
        known = await _read_back(store)
        assert len(store.segments) == SEGMENT_COUNT
        assert set(known) == set(range(WRITES_PER_SEGMENT + 1, count + 1))

    async def test_a_segment_is_bounded(self, monkeypatch):
        monkeypatch.setattr(saved_streams, "MAX_SEGMENT_STREAMS", 10)
        store = _Store()
        worker = SavedStreamsWorker(store, lambda _message: None)
        many = list(range(1, 50))
        await worker.handle(SaveStreams(POOL, {"v1": many, "v2": many}, is_first=True))
        await worker.handle(Tick())
        assert len(await _read_back(store)) == 10

    async def test_the_last_version_of_a_stream_holds(self):
        """Guards against a stream read at a version whose attempt brought nothing.

        Its request was granted targets of two versions. Neither the order in which
        versions first occur nor that in which the store lists segments is that of time.
        """
        store = _Store()
        worker = SavedStreamsWorker(store, lambda _message: None)
        await worker.handle(SaveStreams(POOL, {"v2": [9]}, is_first=True))
        await worker.handle(SaveStreams(POOL, {"v1": [1]}))
        await worker.handle(SaveStreams(POOL, {"v2": [1]}))
        await worker.handle(Tick())
        assert await _read_back(store) == {9: "v2", 1: "v2"}

    async def test_the_last_segment_with_a_stream_holds(self):
        store = _Store()
        for number in range(8, 12):
            store.segments[number] = to_document(number, {f"v{number}": [1]})
        names = sorted(store.segments, key=str)
        store.segments = {name: store.segments[name] for name in names}
        assert await _read_back(store) == {1: "v11"}


@pytest.fixture
async def store():
    store = StoreStandIn()
    await store.start()
    yield store
    await store.stop()


@pytest.fixture
async def streams(store):
    client = ObjectClient(store.address)
    streams = ObjectStreamStore(client)
    # The store's era is known from its first answer.
    assert (await streams.read_versions()).is_ok()
    yield streams
    await client.close()


class TestStoredVersions:
    async def test_are_read_as_written(self, streams):
        written = (await streams.write_versions(POOL, {"v1", "v2"}, 0)).unwrap()
        assert written.versions == {"v1", "v2"}
        assert written.is_complete
        assert (await streams.read_versions()).unwrap() == {POOL: written}
        assert (await streams.read_versions(POOL)).unwrap() == {POOL: written}

    async def test_of_a_pool_without_any_are_missing(self, streams):
        assert (await streams.read_versions()).unwrap() == {}
        assert (await streams.read_versions(POOL)).unwrap() == {}

    async def test_a_write_that_would_undo_another_is_a_conflict(self, streams):
        first = (await streams.write_versions(POOL, {"v1"}, 0)).unwrap()
        await streams.write_versions(POOL, {"v1", "v2"}, first.revision)
        for revision in (0, first.revision):
            written = await streams.write_versions(POOL, {"v1", "v3"}, revision)
            assert isinstance(written.unwrap_err(), PlatformConflict)
        read = (await streams.read_versions(POOL)).unwrap()
        assert read[POOL].versions == {"v1", "v2"}

    async def test_of_an_older_copy_of_the_store_are_incomplete(self, store, streams):
        written = (await streams.write_versions(POOL, {"v1"}, 0)).unwrap()
        kept = store.copy()
        await streams.write_versions(POOL, {"v1", "v2"}, written.revision)
        store.restore(kept)
        read = (await streams.read_versions(POOL)).unwrap()[POOL]
        assert not read.is_complete
        assert read.revision > written.revision
        again = await streams.write_versions(POOL, {"v1", "v2"}, read.revision)
        assert again.unwrap().is_complete

    @pytest.mark.parametrize(
        "spec",
        [
            None,
            "text",
            {},
            {"Versions": "v1", "Era": 1},
            {"Versions": [1], "Era": 1},
            {"Versions": ["v1"]},
            {"Versions": ["v1"], "Era": "1"},
            {"Versions": [f"v{n}" for n in range(1000)], "Era": 1},
        ],
        ids=str,
    )
    async def test_malformed_ones_are_incomplete(self, store, streams, spec):
        """Guards against a document of another build that ends the start."""
        store.put(VERSIONS, POOL, spec)
        store.put(VERSIONS, "q", {"Versions": ["v1"], "Era": 1, "Later": {}})
        read = (await streams.read_versions()).unwrap()
        assert not read[POOL].is_complete
        assert not read[POOL].versions
        assert read[POOL].revision
        assert read["q"].versions == {"v1"}

    async def test_an_outage_is_an_error(self, store, streams):
        store.down = True
        for reply in (
            await streams.read_versions(),
            await streams.read_versions(POOL),
            await streams.write_versions(POOL, {"v1"}, 0),
            await streams.read_segments(POOL),
            await streams.write_segment(POOL, 0, {}),
        ):
            assert isinstance(reply.unwrap_err(), PlatformUnavailable)

    async def test_segments_are_read_by_pool(self, store, streams):
        await streams.write_segment(POOL, 1, to_document(1, {"v1": [5]}))
        await streams.write_segment(POOL, 1, to_document(2, {"v1": [6]}))
        await streams.write_segment("other", 1, to_document(1, {"v1": [7]}))
        store.put("hibiscusstep-streams", "odd", None)
        (document,) = (await streams.read_segments(POOL)).unwrap()
        assert from_document(document)[0] == 2
