"""hibiscusstep.routing.stream_versions: which software version began a stream."""

import math
from collections import defaultdict
from dataclasses import dataclass

__all__ = ["STREAM_LIFETIME_S", "SaveStreams", "StreamVersions"]

# Callers resume a stream within its deadline; routes allow less than this.
STREAM_LIFETIME_S = 30.0
# Bound on the memory for streams that began within one lifetime.
MAX_STREAMS = 1 << 16


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


class StreamVersions:
    """Software versions of the targets that the recent streams of a pool began at.

    Streams are identified by hashes. The entries are kept in two generations, so that
    no time has to be kept for each of them: an entry is dropped between one and three
    lifetimes after it was recorded or found.
    """

    def __init__(self) -> None:
        self._current: dict[int, str] = {}
        self._previous: dict[int, str] = {}
        self._began_at = -math.inf

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._current) + len(self._previous)

    def record(self, stream: int, version: str, now: float) -> None:
        """Record the version of a stream; the last one recorded holds.

        Parameters
        ----------
        stream : int
            Hash of the stream; 0 is ignored.
        version : str
            Version of its target.
        now : float
            Seconds on a monotonic clock.
        """
        if not stream:
            return
        if now >= self._began_at + STREAM_LIFETIME_S:
            is_stale = now >= self._began_at + 2 * STREAM_LIFETIME_S
            self._previous = {} if is_stale else self._current
            self._current, self._began_at = {}, now
        elif len(self._current) >= MAX_STREAMS and stream not in self._current:
            self._previous, self._current = self._current, {}
        self._current[stream] = version

    def find(self, stream: int, now: float) -> str | None:
        """Return the version of a stream and keep its entry; None if not known."""
        version = self._current.get(stream)
        if version is None:
            version = self._previous.get(stream)
            if version is not None:
                self.record(stream, version, now)
        return version

    def by_version(self) -> dict[str, list[int]]:
        """Return all streams by version."""
        streams = defaultdict(list)
        for stream, version in (self._previous | self._current).items():
            streams[version].append(stream)
        return dict(streams)
