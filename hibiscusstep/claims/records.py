"""hibiscusstep.claims.records: the objects that hold the claims of a shard.

The head of a shard lists its sealed segments and carries the newest claims itself.
Every claim is a conditional write of the head: what decides is the version, so a
writer that was paused, or two writers at once, lose the write and read again.
"""

from dataclasses import dataclass, field

__all__ = [
    "ClaimHead",
    "ClaimRecord",
    "ClaimSegment",
    "SealedSegment",
    "head_key",
    "segment_key",
    "shard_of",
]


@dataclass(slots=True)
class ClaimRecord:
    """One claimed key.

    Parameters
    ----------
    digest, body_digest : bytes
        Of customer, route and key; of what a repeat must bring again.
    holder, incarnation, attempt : str
        Who may dispatch it, once.
    at : int
        When, in seconds since the epoch; only its retention hangs on it.
    released : bool
        Whether the attempt was never dispatched and never will be.
    sequence : int
        Position in the shard's log; the highest of a key counts.
    """

    digest: bytes
    body_digest: bytes
    holder: str
    incarnation: str
    attempt: str
    at: int
    released: bool = False
    sequence: int = 0


@dataclass(slots=True)
class ClaimSegment:
    """A sealed part of a shard's log."""

    records: list[ClaimRecord] = field(default_factory=list)


@dataclass(slots=True)
class SealedSegment:
    """Where a sealed part lies, how many records, and how new the newest is."""

    name: str
    count: int
    newest: int


@dataclass(slots=True)
class ClaimHead:
    """The head of a shard.

    Parameters
    ----------
    sealed, open : list
        Older records in segments, the newest ones here.
    batch : str
        Names the write that made this version.
    next_sequence : int
        Position of the next record.
    """

    sealed: list[SealedSegment] = field(default_factory=list)
    open: list[ClaimRecord] = field(default_factory=list)
    batch: str = ""
    next_sequence: int = 1


def shard_of(digest: bytes, shards: int) -> int:
    """Return the shard of a key's digest."""
    return int.from_bytes(digest[:8], "big") % shards


def head_key(shard: int) -> str:
    """Return the platform's key of a shard's head."""
    return f"hibiscusstep/claims/{shard}/head"


def segment_key(shard: int, name: str) -> str:
    """Return the platform's key of a sealed segment."""
    return f"hibiscusstep/claims/{shard}/segment-{name}"
