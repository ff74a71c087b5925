"""hibiscusstep.claims.shard: writes the claims of one shard in batches."""

import asyncio
import logging
import time
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from hibiscusstep import codec
from hibiscusstep.claims.index import ClaimIndex, ClaimResult, ClaimVerdict
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

__all__ = ["PendingRequest", "ShardWriter"]

_LOG = logging.getLogger(__name__)
SEAL_AFTER_RECORDS = 64
SEGMENTS_PER_MERGE = 8
MAX_SEGMENT_RECORDS = 6000
RETRY_PAUSE_S = 0.2
OUTAGE_AFTER_S = 1.0
# After this time, a key is reported as held only once the head has been read again.
MAX_INDEX_AGE_S = 1.0
MAX_BATCH_CLAIMS = 1000


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A claim or look-up that waits for a write or a read.

    Parameters
    ----------
    record : ClaimRecord
        The claim.
    supersedes : str
        Earlier attempt that its holder reports as dead.
    lookup : bool
        Whether to look the key up without writing a claim.
    deadline : float
        When it is answered *unavailable*, in seconds on the loop's clock.
    reply : callable of ClaimVerdict
        Called once with the answer.
    """

    record: ClaimRecord
    supersedes: str
    lookup: bool
    deadline: float
    reply: Callable[[ClaimVerdict], None]
    answered: bool = False

    def answer(self, verdict: ClaimVerdict) -> None:
        """Reply unless this was answered before."""
        if not self.answered:
            self.answered = True
            self.reply(verdict)


class ShardWriter:
    """Index of one shard and the loop that writes its claims.

    Claims that arrive during a write form the next batch. A write without an answer is
    sent again with the same condition and batch id until it is known whether it took
    effect; only then are its claims confirmed or refused.

    Parameters
    ----------
    shard : int
        Number of the shard.
    platform : Platform
        Stores the objects.
    retention : float
        Seconds after which a claim expires.
    interval : float
        Minimum seconds between two writes.
    """

    def __init__(
        self, shard: int, platform: Platform, retention: float, interval: float
    ) -> None:
        self._shard = shard
        self._platform = platform
        self._index = ClaimIndex(retention)
        self._retention = retention
        self._interval = interval
        self._pending: list[PendingRequest] = []
        self._releases: list[ClaimRecord] = []
        self._work_queued = asyncio.Event()
        self._head_loaded = False
        self._failing_since: float | None = None
        self._writing = False
        self._index_read_at = float("-inf")
        self.writes = 0
        self.claims_written = 0

    @property
    def platform_reachable(self) -> bool:
        """Whether the platform answers; a single lost answer is not an outage."""
        if self._failing_since is None:
            return True
        now = asyncio.get_running_loop().time()
        return now - self._failing_since < OUTAGE_AFTER_S

    @property
    def is_idle(self) -> bool:
        """Whether nothing is queued and nothing is being written."""
        return not (self._pending or self._releases or self._writing)

    def add(self, pending: PendingRequest) -> None:
        """Queue a claim or a look-up, or refuse it while a write gets no answer."""
        if self._writing and not self.platform_reachable:
            pending.answer(ClaimVerdict(ClaimResult.UNAVAILABLE))
            return
        if pending.lookup and self._head_loaded and self.platform_reachable:
            verdict = self._index.check_claim(pending.record, pending.supersedes)
            if verdict.result is not ClaimResult.HELD or not self._index_is_stale:
                pending.answer(verdict)
                return
        self._pending.append(pending)
        self._work_queued.set()

    def release(self, record: ClaimRecord) -> None:
        """Queue the release of a claim whose attempt will never be dispatched."""
        self._releases.append(replace(record, released=True))
        self._work_queued.set()

    def expire(self, now: float) -> None:
        """Answer what is past its deadline; its holder treats the attempt as dead."""
        for pending in self._pending:
            if pending.deadline <= now:
                pending.answer(ClaimVerdict(ClaimResult.UNAVAILABLE))
        self._pending = [p for p in self._pending if not p.answered]

    async def run(self) -> None:
        """Write queued claims and releases until cancelled."""
        while True:
            await self._work_queued.wait()
            self._work_queued.clear()
            if not self._head_loaded and not await self._load_head():
                await self._pause_and_retry()
                continue
            while self._head_loaded and (self._pending or self._releases):
                self._writing = True
                started, writes = asyncio.get_running_loop().time(), self.writes
                await self._write_batch()
                self._writing = False
                elapsed = asyncio.get_running_loop().time() - started
                if self.writes > writes:
                    await asyncio.sleep(max(0.0, self._interval - elapsed))

    async def _pause_and_retry(self) -> None:
        await asyncio.sleep(RETRY_PAUSE_S)
        if self._pending or self._releases:
            self._work_queued.set()

    async def _load_head(self) -> bool:
        """Read the head and the missing segments; return whether that succeeded."""
        found = await self._call_platform(self._platform.get(head_key(self._shard)))
        if found.is_err() and not isinstance(found.unwrap_err(), PlatformNotFound):
            return False
        self._index_read_at = asyncio.get_running_loop().time()
        if found.is_err():
            self._head_loaded = True
            return True
        item = found.unwrap()
        head = codec.decode(ClaimHead, item.value)
        for sealed_segment in self._index.missing_segments(head):
            if not await self._load_segment(sealed_segment.name):
                return False
        self._index.apply_head(head, item.version)
        self._head_loaded = True
        return True

    async def _call_platform(self, call: Awaitable) -> Result:
        """Await a platform call and record since when calls get no answer."""
        started = asyncio.get_running_loop().time()
        answer = await call
        if answer.is_ok() or not isinstance(answer.unwrap_err(), PlatformUnavailable):
            self._failing_since = None
        elif self._failing_since is None:
            self._failing_since = started
        return answer

    async def _load_segment(self, name: str) -> bool:
        found = await self._call_platform(
            self._platform.get(segment_key(self._shard, name))
        )
        if found.is_ok():
            segment = codec.decode(ClaimSegment, found.unwrap().value)
            self._index.load_segment(name, segment.records)
        return found.is_ok()

    @property
    def _index_is_stale(self) -> bool:
        """Whether another writer may have released a key since the last read."""
        return asyncio.get_running_loop().time() - self._index_read_at > MAX_INDEX_AGE_S

    def _needs_refresh(self) -> bool:
        """Return whether the head must be read again before a key is reported held."""
        if not self._index_is_stale or not self.platform_reachable:
            return False
        return any(
            self._index.check_claim(p.record, p.supersedes).result is ClaimResult.HELD
            for p in self._pending[:MAX_BATCH_CLAIMS]
        )

    async def _write_batch(self) -> None:
        if self._needs_refresh():
            self._head_loaded = False
            self._work_queued.set()
            return
        batch, self._pending = (
            self._pending[:MAX_BATCH_CLAIMS],
            self._pending[MAX_BATCH_CLAIMS:],
        )
        releases, self._releases = self._releases, []
        claims = self._select_writable(batch)
        releases_to_write = [
            r for r in releases if self._index.is_held_by(r.digest, r.attempt)
        ]
        if not claims and not releases_to_write:
            return
        head = self._head_with(
            releases_to_write + [pending.record for pending in claims]
        )
        written = await self._write_head(head, claims)
        if written.is_ok():
            await self._confirm_claims(head, written.unwrap(), claims)
        else:
            self._pending = claims + self._pending
            self._releases = releases_to_write + self._releases
            self._head_loaded = False
            self._work_queued.set()

    def _head_with(self, records: list[ClaimRecord]) -> ClaimHead:
        """Return the head with records appended to the log."""
        head = self._index.head
        for sequence, record in enumerate(records, head.next_sequence):
            record.sequence = sequence
        return ClaimHead(
            head.sealed,
            head.open + records,
            uuid.uuid4().hex,
            head.next_sequence + len(records),
        )

    def _select_writable(self, batch: list[PendingRequest]) -> list[PendingRequest]:
        """Answer what needs no write and return one claim for each free key."""
        claims: dict[bytes, PendingRequest] = {}
        later: list[PendingRequest] = []
        for pending in batch:
            verdict = self._index.check_claim(pending.record, pending.supersedes)
            if verdict.result is not ClaimResult.FREE or pending.lookup:
                pending.answer(verdict)
            elif pending.record.digest in claims:
                later.append(pending)
            elif not pending.answered:
                claims[pending.record.digest] = pending
        self._pending = later + self._pending
        return list(claims.values())

    async def _write_head(
        self, head: ClaimHead, claims: list[PendingRequest]
    ) -> Result[int, PlatformError]:
        """Write the head until it is known to have succeeded (Ok) or failed (Err)."""
        value = codec.encode(head)
        expected = self._index.version
        while True:
            self.writes += 1
            put = self._platform.put(head_key(self._shard), value, expected)
            written = await self._call_platform(put)
            if written.is_ok():
                return written
            if isinstance(written.unwrap_err(), PlatformConflict):
                return await self._verify_write(head)
            await asyncio.sleep(RETRY_PAUSE_S)
            self._expire_claims(claims)

    def _expire_claims(self, claims: list[PendingRequest]) -> None:
        now = asyncio.get_running_loop().time()
        for pending in claims:
            if pending.deadline <= now:
                pending.answer(ClaimVerdict(ClaimResult.UNAVAILABLE))
        self.expire(now)

    async def _verify_write(self, head: ClaimHead) -> Result[int, PlatformError]:
        """Return whether the stored version is the one that was written."""
        while True:
            found = await self._call_platform(self._platform.get(head_key(self._shard)))
            if found.is_ok():
                item = found.unwrap()
                is_ours = codec.decode(ClaimHead, item.value).batch == head.batch
                return Ok(item.version) if is_ours else Err(PlatformConflict("lost"))
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _confirm_claims(
        self, head: ClaimHead, version: int, claims: list[PendingRequest]
    ) -> None:
        self._index.apply_head(head, version)
        self._index_read_at = asyncio.get_running_loop().time()
        self.claims_written += len(claims)
        for pending in claims:
            if pending.answered:
                self._releases.append(replace(pending.record, released=True))
                self._work_queued.set()
            pending.answer(ClaimVerdict(ClaimResult.CONFIRMED, pending.record))
        if len(head.open) >= SEAL_AFTER_RECORDS:
            await self._seal_head()

    async def _seal_head(self) -> None:
        """Move the head's records to a segment, merge small and delete old segments."""
        head = self._index.head
        expired = self._index.drop_expired(int(time.time()))
        kept = [
            sealed_segment
            for sealed_segment in head.sealed
            if sealed_segment not in expired
        ]
        records, merged = list(head.open), []
        tail = kept[-(SEGMENTS_PER_MERGE - 1) :]
        size = sum(sealed_segment.count for sealed_segment in tail) + len(records)
        if len(tail) == SEGMENTS_PER_MERGE - 1 and size <= MAX_SEGMENT_RECORDS:
            older = await self._read_segments(tail)
            if older is not None:
                records, merged, kept = older + records, tail, kept[: -len(tail)]
        sealed_segment = SealedSegment(
            uuid.uuid4().hex, len(records), max(record.at for record in records)
        )
        value = codec.encode(ClaimSegment(records))
        key = segment_key(self._shard, sealed_segment.name)
        if (await self._platform.put(key, value, 0)).is_err():
            return
        sealed_head = ClaimHead(
            [*kept, sealed_segment], [], uuid.uuid4().hex, head.next_sequence
        )
        written = await self._write_head(sealed_head, [])
        if written.is_err():
            self._head_loaded = False
            await self._platform.delete(key)
            return
        self._index.mark_segment_loaded(sealed_segment.name)
        self._index.apply_head(sealed_head, written.unwrap())
        for old in [*expired, *merged]:
            await self._platform.delete(segment_key(self._shard, old.name))

    async def _read_segments(self, sealed_segments) -> list[ClaimRecord] | None:
        records: list[ClaimRecord] = []
        for sealed_segment in sealed_segments:
            found = await self._platform.get(
                segment_key(self._shard, sealed_segment.name)
            )
            if found.is_err():
                return None
            records += codec.decode(ClaimSegment, found.unwrap().value).records
        return records
