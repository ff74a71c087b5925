"""hibiscusstep.claims.shard: writes one shard's claims, many to a write."""

import asyncio
import logging
import time
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from hibiscusstep import codec
from hibiscusstep.claims.index import ClaimIndex, ClaimResult, Verdict
from hibiscusstep.claims.records import (
    ClaimHead,
    ClaimRecord,
    ClaimSegment,
    SealedSegment,
    head_key,
    segment_key,
)
from hibiscusstep.errors import (
    PlatformConflict,
    PlatformError,
    PlatformNotFound,
    PlatformUnavailable,
)
from hibiscusstep.store import Platform

__all__ = ["Pending", "ShardWriter"]

_LOG = logging.getLogger(__name__)
SEAL_AT = 64
MERGE_COUNT = 8
MAX_SEGMENT_RECORDS = 6000
RETRY_PAUSE_S = 0.2
OUTAGE_AFTER_S = 1.0
FRESH_S = 1.0
MAX_BATCH = 1000


@dataclass(slots=True, eq=False)
class Pending:
    """A claim, a look-up or a release that waits for a write or a read.

    Parameters
    ----------
    record : ClaimRecord
        The claim; for a release, with `released` set.
    supersedes : str
        Attempt that its holder says is dead.
    lookup : bool
        Whether it only asks.
    deadline : float
        When it is answered *unavailable*, in seconds on the loop's clock.
    reply : callable of Verdict
        Called once.
    """

    record: ClaimRecord
    supersedes: str
    lookup: bool
    deadline: float
    reply: Callable[[Verdict], None]
    answered: bool = False

    def answer(self, verdict: Verdict) -> None:
        """Reply, the first time."""
        if not self.answered:
            self.answered = True
            self.reply(verdict)


class ShardWriter:
    """One shard's index and the loop that writes its claims.

    While a write is out, further claims gather for the next. A write whose answer
    was lost is sent again with the same condition and batch name until it is known
    to stand or to be void; only then is a claim of it confirmed or refused.

    Parameters
    ----------
    shard : int
        Its number.
    platform : Platform
        Where the objects live.
    retention : float
        Seconds for which a key is remembered.
    interval : float
        Seconds between two writes, at least.
    """

    def __init__(
        self, shard: int, platform: Platform, retention: float, interval: float
    ) -> None:
        self._shard = shard
        self._platform = platform
        self._index = ClaimIndex(retention)
        self._retention = retention
        self._interval = interval
        self._pending: list[Pending] = []
        self._releases: list[ClaimRecord] = []
        self._wake = asyncio.Event()
        self._loaded = False
        self._failing_since: float | None = None
        self._writing = False
        self._read_at = float("-inf")
        self.writes = 0
        self.claims_written = 0

    @property
    def reachable(self) -> bool:
        """Whether the platform answers; one lost answer does not make an outage."""
        if self._failing_since is None:
            return True
        now = asyncio.get_running_loop().time()
        return now - self._failing_since < OUTAGE_AFTER_S

    @property
    def idle(self) -> bool:
        """Whether nothing waits and nothing is being written."""
        return not (self._pending or self._releases or self._writing)

    def add(self, pending: Pending) -> None:
        """Take a claim or a look-up; refuse it at once while a write gets no answer."""
        if self._writing and not self.reachable:
            pending.answer(Verdict(ClaimResult.UNAVAILABLE))
            return
        if pending.lookup and self._loaded and self.reachable:
            verdict = self._index.judge(pending.record, pending.supersedes)
            if verdict.result is not ClaimResult.HELD or not self._stale:
                pending.answer(verdict)
                return
        self._pending.append(pending)
        self._wake.set()

    def release(self, record: ClaimRecord) -> None:
        """Take note that a claim's attempt is dead."""
        self._releases.append(replace(record, released=True))
        self._wake.set()

    def expire(self, now: float) -> None:
        """Answer what waited too long; its attempt is dead for its holder."""
        for pending in self._pending:
            if pending.deadline <= now:
                pending.answer(Verdict(ClaimResult.UNAVAILABLE))
        self._pending = [p for p in self._pending if not p.answered]

    async def run(self) -> None:
        """Write claims as they come."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            if not self._loaded and not await self._load():
                await self._pause_and_retry()
                continue
            while self._loaded and (self._pending or self._releases):
                self._writing = True
                begun, writes = asyncio.get_running_loop().time(), self.writes
                await self._write_batch()
                self._writing = False
                spent = asyncio.get_running_loop().time() - begun
                if self.writes > writes:
                    await asyncio.sleep(max(0.0, self._interval - spent))

    async def _pause_and_retry(self) -> None:
        await asyncio.sleep(RETRY_PAUSE_S)
        if self._pending or self._releases:
            self._wake.set()

    async def _load(self) -> bool:
        """Read the head and the segments not known; say whether that worked."""
        found = await self._call(self._platform.get(head_key(self._shard)))
        if found.is_err() and not isinstance(found.unwrap_err(), PlatformNotFound):
            return False
        self._read_at = asyncio.get_running_loop().time()
        if found.is_err():
            self._loaded = True
            return True
        item = found.unwrap()
        head = codec.decode(ClaimHead, item.value)
        for part in self._index.missing(head):
            if not await self._load_segment(part.name):
                return False
        self._index.take_head(head, item.version)
        self._loaded = True
        return True

    async def _call(self, call: Awaitable) -> Result:
        """Make a call on the platform; take note of since when none is answered."""
        begun = asyncio.get_running_loop().time()
        answer = await call
        if answer.is_ok() or not isinstance(answer.unwrap_err(), PlatformUnavailable):
            self._failing_since = None
        elif self._failing_since is None:
            self._failing_since = begun
        return answer

    async def _load_segment(self, name: str) -> bool:
        found = await self._call(self._platform.get(segment_key(self._shard, name)))
        if found.is_ok():
            segment = codec.decode(ClaimSegment, found.unwrap().value)
            self._index.load_segment(name, segment.records)
        return found.is_ok()

    @property
    def _stale(self) -> bool:
        """Whether another writer may have released a key since this one read."""
        return asyncio.get_running_loop().time() - self._read_at > FRESH_S

    def _refresh_first(self) -> bool:
        """Whether a key that seems held has to be read again before that is said."""
        if not self._stale or not self.reachable:
            return False
        return any(
            self._index.judge(p.record, p.supersedes).result is ClaimResult.HELD
            for p in self._pending[:MAX_BATCH]
        )

    async def _write_batch(self) -> None:
        if self._refresh_first():
            self._loaded = False
            self._wake.set()
            return
        batch, self._pending = self._pending[:MAX_BATCH], self._pending[MAX_BATCH:]
        releases, self._releases = self._releases, []
        claims = self._sort_out(batch)
        dead = [r for r in releases if self._index.holds(r.digest, r.attempt)]
        if not claims and not dead:
            return
        head = self._extended(dead + [pending.record for pending in claims])
        written = await self._write(head, claims)
        if written.is_ok():
            await self._confirm(head, written.unwrap(), claims)
        else:
            self._pending = claims + self._pending
            self._releases = dead + self._releases
            self._loaded = False
            self._wake.set()

    def _extended(self, records: list[ClaimRecord]) -> ClaimHead:
        """Return the head with further records at the end of the log."""
        head = self._index.head
        for sequence, record in enumerate(records, head.next_sequence):
            record.sequence = sequence
        return ClaimHead(
            head.sealed,
            head.open + records,
            uuid.uuid4().hex,
            head.next_sequence + len(records),
        )

    def _sort_out(self, batch: list[Pending]) -> list[Pending]:
        """Answer what needs no write; return one claim for each free key."""
        claims: dict[bytes, Pending] = {}
        later: list[Pending] = []
        for pending in batch:
            verdict = self._index.judge(pending.record, pending.supersedes)
            if verdict.result is not ClaimResult.FREE or pending.lookup:
                pending.answer(verdict)
            elif pending.record.digest in claims:
                later.append(pending)
            elif not pending.answered:
                claims[pending.record.digest] = pending
        self._pending = later + self._pending
        return list(claims.values())

    async def _write(
        self, head: ClaimHead, claims: list[Pending]
    ) -> Result[int, PlatformError]:
        """Write the head until it is known to stand (Ok) or to be void (Err)."""
        value = codec.encode(head)
        expected = self._index.version
        while True:
            self.writes += 1
            put = self._platform.put(head_key(self._shard), value, expected)
            written = await self._call(put)
            if written.is_ok():
                return written
            if isinstance(written.unwrap_err(), PlatformConflict):
                return await self._read_back(head)
            await asyncio.sleep(RETRY_PAUSE_S)
            self._expire_claims(claims)

    def _expire_claims(self, claims: list[Pending]) -> None:
        now = asyncio.get_running_loop().time()
        for pending in claims:
            if pending.deadline <= now:
                pending.answer(Verdict(ClaimResult.UNAVAILABLE))
        self.expire(now)

    async def _read_back(self, head: ClaimHead) -> Result[int, PlatformError]:
        """Return whether the version that stands is the one that was written."""
        while True:
            found = await self._call(self._platform.get(head_key(self._shard)))
            if found.is_ok():
                item = found.unwrap()
                stands = codec.decode(ClaimHead, item.value).batch == head.batch
                return Ok(item.version) if stands else Err(PlatformConflict("lost"))
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _confirm(
        self, head: ClaimHead, version: int, claims: list[Pending]
    ) -> None:
        self._index.take_head(head, version)
        self._read_at = asyncio.get_running_loop().time()
        self.claims_written += len(claims)
        for pending in claims:
            if pending.answered:
                self._releases.append(replace(pending.record, released=True))
                self._wake.set()
            pending.answer(Verdict(ClaimResult.CONFIRMED, pending.record))
        if len(head.open) >= SEAL_AT:
            await self._seal()

    async def _seal(self) -> None:
        """Move the head's records to a segment, merge small ones, drop ended ones."""
        head = self._index.head
        ended = self._index.forget_ended(int(time.time()))
        kept = [part for part in head.sealed if part not in ended]
        records, merged = list(head.open), []
        tail = kept[-(MERGE_COUNT - 1) :]
        size = sum(part.count for part in tail) + len(records)
        if len(tail) == MERGE_COUNT - 1 and size <= MAX_SEGMENT_RECORDS:
            older = await self._read_segments(tail)
            if older is not None:
                records, merged, kept = older + records, tail, kept[: -len(tail)]
        part = SealedSegment(
            uuid.uuid4().hex, len(records), max(record.at for record in records)
        )
        value = codec.encode(ClaimSegment(records))
        key = segment_key(self._shard, part.name)
        if (await self._platform.put(key, value, 0)).is_err():
            return
        sealed = ClaimHead([*kept, part], [], uuid.uuid4().hex, head.next_sequence)
        written = await self._write(sealed, [])
        if written.is_err():
            self._loaded = False
            await self._platform.delete(key)
            return
        self._index.mark_loaded(part.name)
        self._index.take_head(sealed, written.unwrap())
        for old in [*ended, *merged]:
            await self._platform.delete(segment_key(self._shard, old.name))

    async def _read_segments(self, parts) -> list[ClaimRecord] | None:
        records: list[ClaimRecord] = []
        for part in parts:
            found = await self._platform.get(segment_key(self._shard, part.name))
            if found.is_err():
                return None
            records += codec.decode(ClaimSegment, found.unwrap().value).records
        return records
