"""Claims of keys: one holder each, through faults, sealing and restarts."""

import asyncio
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscusstep.claims import shard as shard_module
from hibiscusstep.claims.index import ClaimIndex, ClaimResult
from hibiscusstep.claims.records import ClaimHead, ClaimRecord, shard_of
from hibiscusstep.claims.shard import Pending, ShardWriter
from hibiscusstep.stores.memory import MemoryPlatform


def record(key, attempt, at=None):
    at = int(time.time()) if at is None else at
    digest = key.encode().ljust(16, b"\0")
    return ClaimRecord(digest, b"body", "e0", "inc", attempt, at)


class Bench:
    """Writers of one shard before one platform."""

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
        pending = Pending(
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
def quick(monkeypatch):
    monkeypatch.setattr(shard_module, "RETRY_PAUSE_S", 0.002)
    monkeypatch.setattr(shard_module, "OUTAGE_AFTER_S", 0.01)


@pytest.fixture
async def bench(quick):
    made = Bench()
    yield made
    await made.close()


class TestClaim:
    async def test_the_first_holds_it_for_all_writers(self, bench):
        one, two = bench.writers
        assert (await bench.claim(one, "k", "a")).result is ClaimResult.CONFIRMED
        held = await bench.claim(two, "k", "b")
        assert held.result is ClaimResult.HELD and held.record.attempt == "a"
        assert (await bench.claim(one, "k", "a")).result is ClaimResult.CONFIRMED

    async def test_a_writer_that_was_paused_loses_the_write(self, bench):
        one, two = bench.writers
        await bench.claim(one, "first", "x")
        await bench.claim(two, "k", "a")
        held = await bench.claim(one, "k", "b")
        assert held.result is ClaimResult.HELD and held.record.attempt == "a"

    async def test_a_dead_attempt_is_superseded_once(self, bench):
        one, two = bench.writers
        await bench.claim(one, "k", "a")
        both = await asyncio.gather(
            bench.claim(one, "k", "b", supersedes="a"),
            bench.claim(two, "k", "c", supersedes="a"),
        )
        results = sorted(str(verdict.result) for verdict in both)
        assert results == ["confirmed", "held"]

    async def test_a_released_key_is_free(self, bench):
        one, two = bench.writers
        await bench.claim(one, "k", "a")
        one.release(record("k", "a"))
        while bench.writers[0]._releases or not one.idle:
            await asyncio.sleep(0.001)
        assert (await bench.claim(two, "k", "b")).result is ClaimResult.CONFIRMED

    async def test_a_lookup_writes_nothing(self, bench):
        verdict = await bench.claim(bench.writers[0], "k", "a", lookup=True)
        assert verdict.result is ClaimResult.FREE
        assert bench.platform.calls["put"] == 0

    async def test_many_go_in_one_write(self, bench):
        bench.platform.faults.delay = 0.02
        await asyncio.gather(
            *(bench.claim(bench.writers[0], f"k{n}", f"a{n}") for n in range(200))
        )
        assert bench.platform.calls["put"] <= 3

    async def test_an_outage_is_unavailable_and_later_free_or_held(self, bench):
        bench.platform.faults.down = True
        verdict = await bench.claim(bench.writers[0], "k", "a", timeout=0.1)
        assert verdict.result is ClaimResult.UNAVAILABLE
        bench.platform.faults.down = False
        verdict = await bench.claim(bench.writers[1], "k", "b")
        assert verdict.result is ClaimResult.CONFIRMED

    async def test_a_write_that_landed_unheard_and_was_given_up_is_released(
        self, bench
    ):
        one, two = bench.writers
        await bench.claim(one, "other", "x")
        faults = bench.platform.faults
        faults.lose_answers = 1
        puts = bench.platform.calls["put"]

        def after_it_landed(_step, _key):
            faults.down = bench.platform.calls["put"] > puts + 1

        bench.platform.observer = after_it_landed
        verdict = await bench.claim(one, "k", "a", timeout=0.05)
        assert verdict.result is ClaimResult.UNAVAILABLE
        bench.platform.observer = None
        faults.down = False
        async with asyncio.timeout(10):
            while (await bench.claim(two, "k", "b")).result is ClaimResult.HELD:
                await asyncio.sleep(0.01)


class TestKeeping:
    @pytest.fixture(autouse=True)
    def small(self, monkeypatch, quick):
        monkeypatch.setattr(shard_module, "SEAL_AT", 4)

    async def test_a_restart_reads_back_all_with_few_reads(self, bench):
        for number in range(100):
            await bench.claim(bench.writers[0], f"k{number}", f"a{number}")
        reads = bench.platform.calls["get"]
        fresh = bench.add_writer()
        for number in range(100):
            verdict = await bench.claim(fresh, f"k{number}", "late")
            assert verdict.result is ClaimResult.HELD
        assert bench.platform.calls["get"] - reads <= 12

    async def test_two_writers_seal_beside_each_other(self, bench):
        await asyncio.gather(
            *(bench.claim(bench.writers[n % 2], f"k{n}", f"a{n}") for n in range(60))
        )
        fresh = bench.add_writer()
        for number in range(60):
            verdict = await bench.claim(fresh, f"k{number}", "late")
            assert verdict.result is ClaimResult.HELD

    async def test_old_claims_end_and_their_objects_go(self, quick):
        bench = Bench(writers=1, retention=50.0)
        old = int(time.time()) - 100
        for number in range(12):
            claim = record(f"old{number}", "a", at=old)
            await bench.claim(bench.writers[0], "", "", record=claim)
        for number in range(12):
            await bench.claim(bench.writers[0], f"new{number}", "b")
        again = await bench.claim(bench.writers[0], "old1", "c")
        assert again.result is ClaimResult.CONFIRMED
        segments = [key for key in bench.platform._objects if "segment" in key]
        assert len(segments) <= 4
        await bench.close()


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["claim", "claim", "claim", "down", "up", "lose", "restart"]),
        st.integers(0, 2),
        st.sampled_from(["k1", "k2", "k3"]),
    ),
    min_size=1,
    max_size=25,
)


class TestAnyFaults:
    @given(STEPS)
    def test_one_holder_a_key(self, steps):
        asyncio.run(self.run_steps(steps))

    async def run_steps(self, steps):
        pause, outage = shard_module.RETRY_PAUSE_S, shard_module.OUTAGE_AFTER_S
        seal = shard_module.SEAL_AT
        shard_module.RETRY_PAUSE_S, shard_module.OUTAGE_AFTER_S = 0.001, 0.005
        shard_module.SEAL_AT = 3
        bench = Bench(writers=3)
        confirmed = {}
        try:
            for number, (what, which, key) in enumerate(steps):
                if what == "claim":
                    writer = bench.writers[which]
                    attempt = f"a{number}"
                    verdict = await bench.claim(writer, key, attempt, timeout=0.02)
                    if verdict.result is ClaimResult.CONFIRMED:
                        confirmed.setdefault(key, []).append(attempt)
                elif what == "restart":
                    bench.tasks[which].cancel()
                    bench.writers[which] = bench.add_writer()
                    bench.writers.pop()
                    bench.tasks[which] = bench.tasks.pop()
                else:
                    faults = bench.platform.faults
                    faults.down = what == "down" or (faults.down and what != "up")
                    faults.lose_answers += what == "lose"
            assert all(len(attempts) == 1 for attempts in confirmed.values()), confirmed
        finally:
            await bench.close()
            shard_module.RETRY_PAUSE_S, shard_module.OUTAGE_AFTER_S = pause, outage
            shard_module.SEAL_AT = seal


class TestIndex:
    def test_a_later_record_counts_whatever_is_loaded_first(self):
        index = ClaimIndex(100)
        newer, older = record("k", "b"), record("k", "a")
        newer.sequence, older.sequence = 2, 1
        index.take_head(ClaimHead([], [newer]), 1)
        index.load_segment("s", [older])
        assert index.record(newer.digest).attempt == "b"

    @given(st.binary(min_size=16, max_size=16), st.integers(1, 512))
    def test_a_key_has_one_shard(self, digest, shards):
        assert 0 <= shard_of(digest, shards) < shards
