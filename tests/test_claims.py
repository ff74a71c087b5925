"""Claims: each key has one holder, despite faults, sealing and restarts."""

import asyncio
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscusstep.claims import shard as shard_module
from hibiscusstep.claims.index import ClaimIndex, ClaimResult
from hibiscusstep.claims.records import ClaimHead, ClaimRecord, shard_of
from hibiscusstep.claims.shard import PendingRequest, ShardWriter
from hibiscusstep.stores.memory import MemoryPlatform


def record(key, attempt, at=None):
    at = int(time.time()) if at is None else at
    digest = key.encode().ljust(16, b"\0")
    return ClaimRecord(digest, b"body", "e0", "inc", attempt, at)


class WriterGroup:
    """Writers of one shard that share a platform."""

    def __init__(self, writers=2, retention=86_400.0):
        self.platform = MemoryPlatform()
        self.retention = retention
        self.writers, self.tasks = [], []
        for _ in range(writers):
            self.add_writer()

    def add_writer(self):
        writer = ShardWriter(0, self.platform, self.retention, 0.0)
        self.writers.append(writer)
        self.tasks.append(asyncio.create_task(writer.run()))
        return writer

    async def claim(self, writer, key, attempt, timeout=5.0, **fields):
        loop = asyncio.get_running_loop()
        answer = loop.create_future()
        pending = PendingRequest(
            fields.pop("record", None) or record(key, attempt),
            fields.pop("supersedes", ""),
            fields.pop("lookup", False),
            loop.time() + timeout,
            lambda verdict: answer.done() or answer.set_result(verdict),
        )
        writer.add(pending)
        async with asyncio.timeout(timeout + 5):
            while not answer.done():
                writer.expire(loop.time())
                await asyncio.sleep(0.001)
        return answer.result()

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


@pytest.fixture
def short_pauses(monkeypatch):
    monkeypatch.setattr(shard_module, "RETRY_PAUSE_S", 0.002)
    monkeypatch.setattr(shard_module, "OUTAGE_AFTER_S", 0.01)


@pytest.fixture
async def group(short_pauses):
    group = WriterGroup()
    yield group
    await group.close()


class TestClaim:
    async def test_the_first_claim_holds_the_key_for_all_writers(self, group):
        one, two = group.writers
        assert (await group.claim(one, "k", "a")).result is ClaimResult.CONFIRMED
        held = await group.claim(two, "k", "b")
        assert held.result is ClaimResult.HELD and held.record.attempt == "a"
        assert (await group.claim(one, "k", "a")).result is ClaimResult.CONFIRMED

    async def test_a_writer_with_an_outdated_head_fails_to_write(self, group):
        one, two = group.writers
        await group.claim(one, "first", "x")
        await group.claim(two, "k", "a")
        held = await group.claim(one, "k", "b")
        assert held.result is ClaimResult.HELD and held.record.attempt == "a"

    async def test_a_dead_attempt_is_superseded_once(self, group):
        one, two = group.writers
        await group.claim(one, "k", "a")
        verdicts = await asyncio.gather(
            group.claim(one, "k", "b", supersedes="a"),
            group.claim(two, "k", "c", supersedes="a"),
        )
        results = sorted(str(verdict.result) for verdict in verdicts)
        assert results == ["confirmed", "held"]

    async def test_a_released_key_is_free(self, group):
        one, two = group.writers
        await group.claim(one, "k", "a")
        one.release(record("k", "a"))
        while group.writers[0]._releases or not one.is_idle:
            await asyncio.sleep(0.001)
        assert (await group.claim(two, "k", "b")).result is ClaimResult.CONFIRMED

    async def test_a_lookup_writes_nothing(self, group):
        verdict = await group.claim(group.writers[0], "k", "a", lookup=True)
        assert verdict.result is ClaimResult.FREE
        assert group.platform.calls["put"] == 0

    async def test_many_claims_share_one_write(self, group):
        group.platform.faults.delay = 0.02
        await asyncio.gather(
            *(group.claim(group.writers[0], f"k{n}", f"a{n}") for n in range(200))
        )
        assert group.platform.calls["put"] <= 3

    async def test_an_outage_is_unavailable_and_later_free_or_held(self, group):
        group.platform.faults.down = True
        verdict = await group.claim(group.writers[0], "k", "a", timeout=0.1)
        assert verdict.result is ClaimResult.UNAVAILABLE
        group.platform.faults.down = False
        verdict = await group.claim(group.writers[1], "k", "b")
        assert verdict.result is ClaimResult.CONFIRMED

    async def test_a_claim_written_after_its_timeout_is_released(self, group):
        one, two = group.writers
        await group.claim(one, "other", "x")
        faults = group.platform.faults
        faults.lose_answers = 1
        puts = group.platform.calls["put"]

        def fail_calls_after_the_write(_step, _key):
            faults.down = group.platform.calls["put"] > puts + 1

        group.platform.observer = fail_calls_after_the_write
        verdict = await group.claim(one, "k", "a", timeout=0.05)
        assert verdict.result is ClaimResult.UNAVAILABLE
        group.platform.observer = None
        faults.down = False
        async with asyncio.timeout(10):
            while (await group.claim(two, "k", "b")).result is ClaimResult.HELD:
                await asyncio.sleep(0.01)


class TestSealing:
    @pytest.fixture(autouse=True)
    def small_segments(self, monkeypatch, short_pauses):
        monkeypatch.setattr(shard_module, "SEAL_AFTER_RECORDS", 4)

    async def test_a_new_writer_loads_all_claims_with_few_reads(self, group):
        for number in range(100):
            await group.claim(group.writers[0], f"k{number}", f"a{number}")
        reads = group.platform.calls["get"]
        new_writer = group.add_writer()
        for number in range(100):
            verdict = await group.claim(new_writer, f"k{number}", "late")
            assert verdict.result is ClaimResult.HELD
        assert group.platform.calls["get"] - reads <= 12

    async def test_two_writers_seal_concurrently(self, group):
        await asyncio.gather(
            *(group.claim(group.writers[n % 2], f"k{n}", f"a{n}") for n in range(60))
        )
        new_writer = group.add_writer()
        for number in range(60):
            verdict = await group.claim(new_writer, f"k{number}", "late")
            assert verdict.result is ClaimResult.HELD

    async def test_expired_claims_and_their_segments_are_deleted(self, short_pauses):
        group = WriterGroup(writers=1, retention=50.0)
        old = int(time.time()) - 100
        for number in range(12):
            claim = record(f"old{number}", "a", at=old)
            await group.claim(group.writers[0], "", "", record=claim)
        for number in range(12):
            await group.claim(group.writers[0], f"new{number}", "b")
        again = await group.claim(group.writers[0], "old1", "c")
        assert again.result is ClaimResult.CONFIRMED
        segments = [key for key in group.platform._objects if "segment" in key]
        assert len(segments) <= 4
        await group.close()


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["claim", "claim", "claim", "down", "up", "lose", "restart"]),
        st.integers(0, 2),
        st.sampled_from(["k1", "k2", "k3"]),
    ),
    min_size=1,
    max_size=25,
)


class TestRandomFaults:
    @given(STEPS)
    def test_each_key_has_one_holder(self, steps):
        asyncio.run(self.run_steps(steps))

    async def run_steps(self, steps):
        pause, outage = shard_module.RETRY_PAUSE_S, shard_module.OUTAGE_AFTER_S
        seal = shard_module.SEAL_AFTER_RECORDS
        shard_module.RETRY_PAUSE_S, shard_module.OUTAGE_AFTER_S = 0.001, 0.005
        shard_module.SEAL_AFTER_RECORDS = 3
        group = WriterGroup(writers=3)
        confirmed = {}
        try:
            for number, (action, writer_index, key) in enumerate(steps):
                if action == "claim":
                    writer = group.writers[writer_index]
                    attempt = f"a{number}"
                    verdict = await group.claim(writer, key, attempt, timeout=0.02)
                    if verdict.result is ClaimResult.CONFIRMED:
                        confirmed.setdefault(key, []).append(attempt)
                elif action == "restart":
                    group.tasks[writer_index].cancel()
                    group.writers[writer_index] = group.add_writer()
                    group.writers.pop()
                    group.tasks[writer_index] = group.tasks.pop()
                else:
                    faults = group.platform.faults
                    faults.down = action == "down" or (faults.down and action != "up")
                    faults.lose_answers += action == "lose"
            assert all(len(attempts) == 1 for attempts in confirmed.values()), confirmed
        finally:
            await group.close()
            shard_module.RETRY_PAUSE_S, shard_module.OUTAGE_AFTER_S = pause, outage
            shard_module.SEAL_AFTER_RECORDS = seal


class TestIndex:
    def test_the_later_record_wins_in_any_load_order(self):
        index = ClaimIndex(100)
        newer, older = record("k", "b"), record("k", "a")
        newer.sequence, older.sequence = 2, 1
        index.apply_head(ClaimHead([], [newer]), 1)
        index.load_segment("s", [older])
        assert index.latest_record(newer.digest).attempt == "b"

    @given(st.binary(min_size=16, max_size=16), st.integers(1, 512))
    def test_a_key_maps_to_a_valid_shard(self, digest, shards):
        assert 0 <= shard_of(digest, shards) < shards
