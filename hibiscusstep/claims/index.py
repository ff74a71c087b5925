"""hibiscusstep.claims.index: pure knowledge of one shard's claims."""

import enum
from dataclasses import dataclass

from hibiscusstep.claims.records import ClaimHead, ClaimRecord, SealedSegment

__all__ = ["ClaimIndex", "ClaimResult", "Verdict"]


class ClaimResult(enum.StrEnum):
    """What became of a claim."""

    CONFIRMED = "confirmed"
    FREE = "free"
    HELD = "held"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result, and the record that holds the key if it is held."""

    result: ClaimResult
    record: ClaimRecord | None = None


class ClaimIndex:
    """The latest record of each key, as of one version of the shard's head.

    Parameters
    ----------
    retention : float
        Seconds for which a record counts.
    """

    def __init__(self, retention: float) -> None:
        self._retention = retention
        self._by_digest: dict[bytes, ClaimRecord] = {}
        self._loaded: set[str] = set()
        self.version = 0
        self.head = ClaimHead()

    def __len__(self) -> int:
        """Return how many keys are known."""
        return len(self._by_digest)

    def missing(self, head: ClaimHead) -> list[SealedSegment]:
        """Return the sealed segments of a head that were not loaded."""
        return [part for part in head.sealed if part.name not in self._loaded]

    def load_segment(self, name: str, records: list[ClaimRecord]) -> None:
        """Take the records of a sealed segment, older than those of the head."""
        self._loaded.add(name)
        for record in records:
            self._add(record)

    def mark_loaded(self, name: str) -> None:
        """Take note that a segment's records are known already."""
        self._loaded.add(name)

    def take_head(self, head: ClaimHead, version: int) -> None:
        """Take a version of the head, its segments being loaded."""
        self.head = head
        self.version = version
        for record in head.open:
            self._add(record)

    def judge(self, record: ClaimRecord, supersedes: str) -> Verdict:
        """Return whether a claim may be written.

        Parameters
        ----------
        record : ClaimRecord
            The claim.
        supersedes : str
            Attempt that its holder says is dead, or ``""``.
        """
        held = self._by_digest.get(record.digest)
        if held is None or held.released or self._ended(held, record.at):
            return Verdict(ClaimResult.FREE)
        if held.attempt == record.attempt:
            return Verdict(ClaimResult.CONFIRMED, held)
        if supersedes and held.attempt == supersedes:
            return Verdict(ClaimResult.FREE)
        return Verdict(ClaimResult.HELD, held)

    def holds(self, digest: bytes, attempt: str) -> bool:
        """Whether an attempt holds a key and was not released."""
        held = self._by_digest.get(digest)
        return held is not None and held.attempt == attempt and not held.released

    def record(self, digest: bytes) -> ClaimRecord | None:
        """Return the latest record of a key."""
        return self._by_digest.get(digest)

    def forget_ended(self, now: int) -> list[SealedSegment]:
        """Drop records past retention; return the segments that hold nothing else."""
        ended = [
            part for part in self.head.sealed if now - part.newest > self._retention
        ]
        if ended:
            self._by_digest = {
                digest: record
                for digest, record in self._by_digest.items()
                if not self._ended(record, now)
            }
            self._loaded -= {part.name for part in ended}
        return ended

    def _add(self, record: ClaimRecord) -> None:
        known = self._by_digest.get(record.digest)
        if known is None or record.sequence >= known.sequence:
            self._by_digest[record.digest] = record

    def _ended(self, record: ClaimRecord, now: int) -> bool:
        return now - record.at > self._retention
