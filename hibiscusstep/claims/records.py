"""hibiscusstep.claims.records: the stored objects that hold the claims of a shard.

The head of a shard lists its sealed segments and holds the newest claims itself. Every
claim is a conditional write of the head. A writer with an outdated version of the head,
because it was paused or because another one writes too, fails and reads the head again.
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
        Digest of customer and key; digest of the parts of the request that a repeat
        must match.
    holder, incarnation, attempt : str
        Instance, incarnation and attempt that may dispatch the request once.
    at : int
        Time of the claim in seconds since the epoch, used only for its retention.
    released : bool
        Whether the attempt was never dispatched and never will be.
    sequence : int
        Position in the shard's log; the highest one of a key is valid.
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
    """A sealed segment of a shard's log."""

    records: list[ClaimRecord] = field(default_factory=list)


@dataclass(slots=True)
class SealedSegment:
    """Name of a sealed segment, its number of records and the time of the newest."""

    name: str
    count: int
    newest: int


@dataclass(slots=True)
class ClaimHead:
    """The head of a shard.

    Parameters
    ----------
    sealed, open : list
        The segments with the older records; the newest records.
    batch : str
        Unique id of the write that made this version.
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
    """Return the platform key of a shard's head."""
    return f"hibiscusstep/claims/{shard}/head"


def segment_key(shard: int, name: str) -> str:
    """Return the platform key of a sealed segment."""
    return f"hibiscusstep/claims/{shard}/segment-{name}"
