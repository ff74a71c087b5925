"""hibiscusstep.claims.index: in-memory index of one shard's claims, without I/O."""

import enum
from dataclasses import dataclass

from hibiscusstep.claims.records import ClaimHead, ClaimRecord, SealedSegment

__all__ = ["ClaimIndex", "ClaimResult", "ClaimVerdict"]


class ClaimResult(enum.StrEnum):
    """Result of a claim."""

    CONFIRMED = "confirmed"
    FREE = "free"
    HELD = "held"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class ClaimVerdict:
    """The result of a claim, and the record that holds the key if it is held."""

    result: ClaimResult
    record: ClaimRecord | None = None


class ClaimIndex:
    """The latest record of each key, as of one version of the shard's head.

    Parameters
    ----------
    retention : float
        Seconds after which a record expires.
    """

    def __init__(self, retention: float) -> None:
        self._retention = retention
        self._by_digest: dict[bytes, ClaimRecord] = {}
        self._loaded_segments: set[str] = set()
        self.version = 0
        self.head = ClaimHead()

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._by_digest)

    def missing_segments(self, head: ClaimHead) -> list[SealedSegment]:
        """Return the sealed segments of a head that are not loaded yet."""
        return [
            segment
            for segment in head.sealed
            if segment.name not in self._loaded_segments
        ]

    def load_segment(self, name: str, records: list[ClaimRecord]) -> None:
        """Add the records of a sealed segment, which are older than the head's."""
        self._loaded_segments.add(name)
        for record in records:
            self._add(record)

    def mark_segment_loaded(self, name: str) -> None:
        """Mark a segment as loaded whose records are already in the index."""
        self._loaded_segments.add(name)

    def apply_head(self, head: ClaimHead, version: int) -> None:
        """Apply a version of the head whose segments are loaded."""
        self.head = head
        self.version = version
        for record in head.open:
            self._add(record)

    def check_claim(self, record: ClaimRecord, supersedes: str) -> ClaimVerdict:
        """Check whether a claim may be written.

        Parameters
        ----------
        record : ClaimRecord
            The claim.
        supersedes : str
            Earlier attempt that its holder reports as dead, or ``""``.
        """
        latest = self._by_digest.get(record.digest)
        if latest is None or latest.released or self._is_expired(latest, record.at):
            return ClaimVerdict(ClaimResult.FREE)
        if latest.attempt == record.attempt:
            return ClaimVerdict(ClaimResult.CONFIRMED, latest)
        if supersedes and latest.attempt == supersedes:
            return ClaimVerdict(ClaimResult.FREE)
        return ClaimVerdict(ClaimResult.HELD, latest)

    def is_held_by(self, digest: bytes, attempt: str) -> bool:
        """Return whether an attempt holds a key and was not released."""
        latest = self._by_digest.get(digest)
        return latest is not None and latest.attempt == attempt and not latest.released

    def latest_record(self, digest: bytes) -> ClaimRecord | None:
        """Return the latest record of a key."""
        return self._by_digest.get(digest)

    def drop_expired(self, now: int) -> list[SealedSegment]:
        """Drop the expired records and return the segments that hold no others."""
        expired = [
            segment
            for segment in self.head.sealed
            if now - segment.newest > self._retention
        ]
        if expired:
            self._by_digest = {
                digest: record
                for digest, record in self._by_digest.items()
                if not self._is_expired(record, now)
            }
            self._loaded_segments -= {segment.name for segment in expired}
        return expired

    def _add(self, record: ClaimRecord) -> None:
        latest = self._by_digest.get(record.digest)
        if latest is None or record.sequence >= latest.sequence:
            self._by_digest[record.digest] = record

    def _is_expired(self, record: ClaimRecord, now: int) -> bool:
        return now - record.at > self._retention
