"""hibiscusstep.forwarding.saved_streams: streams by version, stored for a full restart.

While several versions may have begun the streams of a pool, its dispatcher stores which
version began each. The streams of about a second are one object, a segment. A pool has
a fixed number of segments, of which the oldest is replaced by the next.
"""

import asyncio
import base64
import logging
import struct
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from hibiscusstep.forwarding.saved_values import MAX_COUNT
from hibiscusstep.log import decision
from hibiscusstep.mailbox import Tick, Worker
from hibiscusstep.peer import PoolStreams, StreamGroup
from hibiscusstep.routing.stream_versions import SaveStreams
from hibiscusstep.store import StreamStore

__all__ = ["SavedStreamsWorker", "from_document", "to_document"]

_LOG = logging.getLogger(__name__)
WRITE_INTERVAL_S, IDLE_INTERVAL_S = 0.1, 5.0
READ_RETRY_S = 0.5
WRITES_PER_SEGMENT = 10
# With base64 a stream takes 11 bytes of the megabyte of an object.
MAX_SEGMENT_STREAMS = 65_536
# Together the segments span well over the lifetime of a stream.
SEGMENT_COUNT = 48
# Hashes of streams are positive and have 63 bits.
_HASH = struct.Struct(">q")


@dataclass(slots=True, eq=False)
class _Segments:
    """The segment that is being written for a pool.

    `number` is None until the stored ones were read. `streams` are the versions by
    hash. `read_at` is the time of the last attempt to read, on the event loop's clock.
    `writes` counts its writes so far.
    """

    number: int | None = None
    read_at: float = 0.0
    streams: dict[int, str] = field(default_factory=dict)
    has_new: bool = False
    writes: int = 0

    def by_version(self) -> dict[str, list[int]]:
        streams = defaultdict(list)
        for stream, version in self.streams.items():
            streams[version].append(stream)
        return streams


class SavedStreamsWorker(Worker):
    """Writes the streams of the pools that this instance dispatches, and reads them.

    Parameters
    ----------
    store : StreamStore
        Holds the segments.
    on_read : callable of PoolStreams
        Receives the streams of a pool that were read.
    """

    def __init__(
        self, store: StreamStore, on_read: Callable[[PoolStreams], None]
    ) -> None:
        super().__init__("streams", tick_interval=WRITE_INTERVAL_S)
        self._store = store
        self._on_read = on_read
        self._segments: dict[str, _Segments] = {}

    @property
    def tick_interval(self) -> float:
        """Seconds between ticks, fewer while streams are to be written or read."""
        is_busy = any(s.has_new or s.number is None for s in self._segments.values())
        return WRITE_INTERVAL_S if is_busy else IDLE_INTERVAL_S

    async def handle(self, message) -> None:
        """Handle new streams of a dispatcher, or a tick."""
        match message:
            case SaveStreams(pool=pool, streams=streams, is_first=is_first):
                if is_first:
                    self._segments[pool] = _Segments()
                self._add(self._segments[pool], streams)
                if is_first:
                    await self._read(pool)
                self._schedule_tick(WRITE_INTERVAL_S)
            case Tick():
                for pool in list(self._segments):
                    if self._is_read_due(pool):
                        await self._read(pool)
                    await self._write(pool)

    def _is_read_due(self, pool: str) -> bool:
        segments = self._segments[pool]
        return segments.number is None and _now() >= segments.read_at + READ_RETRY_S

    def _add(self, segments: _Segments, streams: dict[str, list[int]]) -> None:
        for version, hashes in streams.items():
            for stream in hashes:
                has_room = len(segments.streams) < MAX_SEGMENT_STREAMS
                if has_room or stream in segments.streams:
                    segments.streams[stream] = version
            segments.has_new = True

    async def _read(self, pool: str) -> None:
        self._segments[pool].read_at = _now()
        reply = await self._store.read_segments(pool)
        if reply.is_err():
            decision("streams-not-read", pool=pool, error=str(reply.unwrap_err()))
            return
        documents = filter(None, map(from_document, reply.unwrap()))
        # The last version of a stream holds.
        found = sorted(documents, key=lambda segment: segment[0])
        self._segments[pool].number = 1 + max((n for n, _groups in found), default=-1)
        groups = [group for _number, groups in found for group in groups]
        count = sum(len(group.streams) for group in groups)
        decision("streams-read", pool=pool, segments=len(found), streams=count)
        if groups:
            self._on_read(PoolStreams(pool, groups))

    async def _write(self, pool: str) -> None:
        segments = self._segments[pool]
        if segments.number is None or not segments.has_new:
            return
        segments.has_new = False
        document = to_document(segments.number, segments.by_version())
        slot = segments.number % SEGMENT_COUNT
        written = await self._store.write_segment(pool, slot, document)
        if written.is_err():
            decision("streams-not-written", pool=pool, error=str(written.unwrap_err()))
            segments.has_new = True
            return
        segments.writes += 1
        is_full = len(segments.streams) >= MAX_SEGMENT_STREAMS // 8
        if segments.writes >= WRITES_PER_SEGMENT or is_full:
            self._segments[pool] = _Segments(segments.number + 1)


def _now() -> float:
    return asyncio.get_running_loop().time()


def to_document(number: int, streams: dict[str, list[int]]) -> dict:
    """Return a segment as a document.

    Parameters
    ----------
    number : int
        Number of the segment; later ones have higher numbers.
    streams : dict of str to list of int
        Hashes of the streams by the version that began them.
    """
    return {
        "Number": number,
        "Streams": {
            version: base64.b64encode(b"".join(map(_HASH.pack, hashes))).decode()
            for version, hashes in streams.items()
        },
    }


def from_document(document: dict) -> tuple[int, list[StreamGroup]] | None:
    """Return the number and the streams of a segment; None if it is malformed."""
    try:
        number = document["Number"]
        if type(number) is not int or not 0 <= number <= MAX_COUNT:
            raise ValueError("Number is no positive number, or out of range")
        groups = [
            StreamGroup(
                str(version),
                [
                    stream
                    for (stream,) in _HASH.iter_unpack(
                        base64.b64decode(text, validate=True)
                    )
                ],
            )
            for version, text in document["Streams"].items()
        ]
        return number, groups
    except (AttributeError, KeyError, TypeError, ValueError, struct.error) as cause:
        _LOG.error("malformed streams left out", extra={"error": repr(cause)})
        return None
