"""hibiscusstep.routing.stream_versions: which software version began a stream."""

import enum
import math
from collections import defaultdict
from dataclasses import dataclass

__all__ = [
    "STREAM_LIFETIME_S",
    "SaveStreams",
    "StreamOrigin",
    "StreamVersions",
    "VersionsConfirmed",
]

# Callers resume a stream within its deadline; routes allow less than this.
STREAM_LIFETIME_S = 30.0
# Bound on the memory for streams that began within one lifetime.
MAX_STREAMS = 1 << 16


class StreamOrigin(enum.StrEnum):
    """How the version that began a continued stream is known.

    `RESPONSE`: the same response began there. `ONLY_VERSION`: no other version can have
    begun it. The others tell the source of its record: `INSTANCE`, the instance that
    received its first event; `DISPATCHER`, the pool's dispatcher on another instance;
    `STORE`.
    """

    RESPONSE = "response"
    ONLY_VERSION = "only-version"
    INSTANCE = "instance"
    DISPATCHER = "dispatcher"
    STORE = "store"


@dataclass(frozen=True, slots=True)
class SaveStreams:
    """Streams of a pool to be stored, in case all instances restart.

    Parameters
    ----------
    pool : str
        The pool.
    streams : dict of str to list of int
        Hashes of the streams by the version that began them.
    is_first : bool
        Whether the sender has just begun to have the pool's streams stored; those of
        before are read.
    """

    pool: str
    streams: dict[str, list[int]]
    is_first: bool = False


@dataclass(frozen=True, slots=True)
class VersionsConfirmed:
    """It is known which versions began streams before a time.

    Parameters
    ----------
    at : float
        The time, on the event loop's clock.
    pools : frozenset of str or None
        The pools of which it is known; None for all.
    """

    at: float
    pools: frozenset[str] | None = None


class StreamVersions:
    """Software versions of the targets that the recent streams of a pool began at.

    A stream begins with its first event. A grant is no record of it: its request may be
    an outdated one, which the instance has had granted by another dispatcher since.

    Streams are identified by hashes. The entries are kept in two generations, so that
    no time has to be kept for each of them: an entry is dropped between one and three
    lifetimes after it was recorded or found.
    """

    def __init__(self) -> None:
        self._current: dict[int, tuple[str, StreamOrigin]] = {}
        self._previous: dict[int, tuple[str, StreamOrigin]] = {}
        # A pair for each version and origin, shared by their streams.
        self._records: dict[tuple[str, StreamOrigin], tuple[str, StreamOrigin]] = {}
        self._began_at = -math.inf

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._current) + len(self._previous)

    def record(
        self,
        stream: int,
        version: str,
        now: float,
        origin: StreamOrigin = StreamOrigin.INSTANCE,
    ) -> None:
        """Record the version of a stream; the last one recorded holds.

        Parameters
        ----------
        stream : int
            Hash of the stream; 0 is ignored.
        version : str
            Version of its target.
        now : float
            Seconds on a monotonic clock.
        origin : StreamOrigin
            From what it is known.
        """
        if not stream:
            return
        if now >= self._began_at + STREAM_LIFETIME_S:
            is_stale = now >= self._began_at + 2 * STREAM_LIFETIME_S
            self._previous = {} if is_stale else self._current
            self._current, self._began_at = {}, now
            self._records = {}
        elif len(self._current) >= MAX_STREAMS and stream not in self._current:
            self._previous, self._current = self._current, {}
        record = version, origin
        self._current[stream] = self._records.setdefault(record, record)

    def find(self, stream: int, now: float) -> str | None:
        """Return the version of a stream and keep its entry; None if not known."""
        record = self._find(stream, now)
        return record[0] if record else None

    def origin_of(self, stream: int, now: float) -> StreamOrigin | None:
        """Return from what a stream's version is known, and keep its entry."""
        record = self._find(stream, now)
        return record[1] if record else None

    def _find(self, stream: int, now: float) -> tuple[str, StreamOrigin] | None:
        record = self._current.get(stream)
        if record is None:
            record = self._previous.get(stream)
            if record is not None:
                self.record(stream, record[0], now, record[1])
        return record

    def by_version(self) -> dict[str, list[int]]:
        """Return all streams by version."""
        streams = defaultdict(list)
        for stream, (version, _origin) in (self._previous | self._current).items():
            streams[version].append(stream)
        return dict(streams)
