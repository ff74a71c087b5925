"""hibiscusstep.forwarding.begun_versions: versions that began the streams of a pool.

A stream goes on only at the version that began it. While a single version can have
begun the streams that callers may resume, no record of each stream is needed. The store
holds the set of these versions, so that it is known after all instances have ended.
"""

import math
from collections.abc import Iterable

from hibiscusstep.routing.stream_versions import STREAM_LIFETIME_S
from hibiscusstep.store import StoredVersions

__all__ = ["UNKNOWN_VERSION", "BegunVersions"]

# Stands for all versions that may have begun streams before anything was recorded.
UNKNOWN_VERSION = ""
# After this time a version begins streams without a record, if no other version can.
RECORD_TIMEOUT_S = 1.0


class BegunVersions:
    """Tracks which versions may have begun a pool's streams, and may begin new ones.

    A version is written to the store before it begins its first stream, and removed one
    stream lifetime after it has begun the last one. Times are in seconds on the event
    loop's clock.

    Parameters
    ----------
    started_at : float
        When this instance started. It does not know which versions served before.
    """

    def __init__(self, started_at: float = -math.inf) -> None:
        self._candidates: frozenset[str] = frozenset()
        self._last_allowed: frozenset[str] = frozenset()
        self._missing_since: float | None = None
        self._stored = StoredVersions()
        # Stored ones that may be removed by now, by this instance or another.
        self._removable: set[str] = set()
        self._is_rewrite_due = False
        # When each version began its last stream; infinite while it may begin more.
        self._began_until: dict[str, float] = {UNKNOWN_VERSION: started_at}

    @property
    def stored(self) -> StoredVersions:
        """The versions that are known to be in the store."""
        return self._stored

    @property
    def missing(self) -> frozenset[str]:
        """Versions that may serve and that are not known to be in the store."""
        return self._candidates - self._recorded

    @property
    def _recorded(self) -> frozenset[str]:
        return self._stored.versions - self._removable

    @property
    def is_write_urgent(self) -> bool:
        """Whether a version waits for its record, or the store may have lost it."""
        return bool(self.missing) or self._is_rewrite_due

    def apply_stored(self, stored: StoredVersions, now: float) -> bool:
        """Apply what was read from the store or written to it, here or by a peer.

        Returns
        -------
        bool
            Whether it is newer than what was known.
        """
        if stored.revision < self._stored.revision or stored == self._stored:
            return False
        self._remove_expired(now)
        if stored.revision > self._stored.revision:
            self._removable.clear()
        self._stored = stored
        self._is_rewrite_due = not stored.is_complete
        if stored.is_complete and UNKNOWN_VERSION not in stored.versions:
            self._began_until.pop(UNKNOWN_VERSION, None)
        for version in stored.versions - self._began_until.keys():
            self._began_until[version] = now
        return True

    def mark_lost(self) -> None:
        """Assume that the store may have lost the record."""
        self._is_rewrite_due = True

    def update(self, candidates: Iterable[str], now: float) -> bool:
        """Set the versions that may serve new requests.

        Returns
        -------
        bool
            Whether the versions that may begin streams, or that may have begun those
            that are resumed now, have changed.
        """
        before = self._last_allowed, frozenset(self._began_until)
        self._candidates = frozenset(candidates)
        self._remove_expired(now)
        if not self.missing:
            self._missing_since = None
        elif self._missing_since is None:
            self._missing_since = now
        self._last_allowed = self.allowed(self._candidates, now)
        self._record_beginning(self._last_allowed, now)
        return before != (self._last_allowed, frozenset(self._began_until))

    def refresh(self, now: float) -> bool:
        """Apply the passing of time; return whether anything changed, as `update`."""
        return self.update(self._candidates, now)

    def _remove_expired(self, now: float) -> None:
        expired = self._began_until.keys() - self._recent(now)
        self._removable |= expired & self._stored.versions
        for version in expired:
            del self._began_until[version]

    def _record_beginning(self, allowed: frozenset[str], now: float) -> None:
        for version in allowed | self._began_until.keys():
            if version in allowed:
                self._began_until[version] = math.inf
            elif self._began_until[version] == math.inf:
                self._began_until[version] = now

    def allowed(self, candidates: frozenset[str], now: float) -> frozenset[str]:
        """Return which of some versions may begin streams.

        Those in the store may, and those that did before the store lost their record.
        If there are none, they wait for their record, but not for long: an outage of
        the store would otherwise end the service of a pool whose targets were replaced.
        """
        recorded = candidates & self._recorded
        if not self._stored.is_complete:
            # Until it is written again, an instance that starts takes it for unknown.
            recorded |= {v for v in candidates if self._began_until.get(v) == math.inf}
        if recorded or not candidates or self._missing_since is None:
            return recorded
        is_overdue = now >= self._missing_since + RECORD_TIMEOUT_S
        return candidates if is_overdue else frozenset()

    def origins(self, now: float) -> frozenset[str]:
        """Return the versions that may have begun a stream that is resumed now.

        One that waits for its record here may have begun some at another instance.
        """
        return self._candidates | self._recent(now)

    def _recent(self, now: float) -> frozenset[str]:
        """Return the versions that may have begun streams here, or before the start."""
        return frozenset(
            version
            for version, until in self._began_until.items()
            if until > now - STREAM_LIFETIME_S
        )

    def to_store(self, now: float) -> frozenset[str] | None:
        """Return the versions to write to the store; None if it has them."""
        if not self._candidates:
            return None
        wanted = self.origins(now)
        is_stored = wanted == self._stored.versions and not wanted & self._removable
        return None if is_stored and not self._is_rewrite_due else wanted
