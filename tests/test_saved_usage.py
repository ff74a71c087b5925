"""When stored token usage is written, and how it is read."""

from dataclasses import asdict

import pytest
from quota_region import FakeDocumentStore

from hibiscusstep.forwarding.saved_usage import (
    ReadUsage,
    SavedUsage,
    SavedUsagePlanner,
    SavedUsageWorker,
    SaveUsage,
)
from hibiscusstep.forwarding.usage import UsageLedger
from hibiscusstep.mailbox import Tick
from hibiscusstep.peer import Usage, UsageScope

SPAN_S = 8.0
LIMITS = {"c": 1000.0}


def _make_planner():
    return SavedUsagePlanner(), UsageLedger("a", SPAN_S, 0.0)


class TestPlanner:
    def test_customer_far_below_its_limit_is_not_listed(self):
        planner, ledger = _make_planner()
        ledger.add_own("c", 290, 10.0)
        assert planner.next_document(ledger, LIMITS, 10.0) is None

    def test_margin_is_added(self):
        planner, ledger = _make_planner()
        ledger.add_own("c", 310, 9.0)
        usage = planner.next_document(ledger, LIMITS, 10.0)
        assert (usage.customers, usage.totals) == (["c"], [560])
        assert usage.recent == [250, 0, 310] + [0] * 13

    def test_margin_does_not_exceed_the_limit(self):
        planner, ledger = _make_planner()
        ledger.add_own("c", 900, 9.0)
        ledger.add_own("c", 100, 5.0)
        usage = planner.next_document(ledger, LIMITS, 10.0)
        assert usage.recent == [250, 0, 750] + [0] * 13

    def test_written_again_after_further_use(self):
        planner, ledger = _make_planner()
        ledger.add_own("c", 400, 10.0)
        assert planner.next_document(ledger, LIMITS, 10.0)
        ledger.add_own("c", 140, 10.1)
        assert planner.next_document(ledger, LIMITS, 10.1) is None
        ledger.add_own("c", 10, 10.2)
        assert planner.next_document(ledger, LIMITS, 10.2)

    def test_customer_is_dropped_some_time_after_its_use_fell(self):
        planner, ledger = _make_planner()
        ledger.add_own("c", 400, 10.0)
        assert planner.next_document(ledger, LIMITS, 10.0)
        assert planner.next_document(ledger, LIMITS, 13.9) is None
        assert planner.next_document(ledger, LIMITS, 18.1).customers == []
        assert planner.next_document(ledger, LIMITS, 30.0) is None

    def test_new_writer_clears_the_previous_document(self):
        planner, ledger = _make_planner()
        assert planner.next_document(ledger, LIMITS, 10.0) is None
        assert planner.next_document(ledger, LIMITS, 14.0).customers == []


class TestWorker:
    _USAGE = Usage("kept", UsageScope.KEPT, ["c"], [5], [5] + [0] * 15)

    def _worker(self, store):
        read_results = []
        return SavedUsageWorker(store, SPAN_S, read_results.append), read_results

    async def test_reads_what_another_worker_wrote(self):
        store = FakeDocumentStore()
        writer, _ = self._worker(store)
        await writer.handle(SaveUsage(self._USAGE))
        reader, read_results = self._worker(store)
        await reader.handle(ReadUsage())
        await reader.handle(ReadUsage())
        assert read_results == [SavedUsage(self._USAGE)]
        assert store.reads == 1

    async def test_retries_after_store_errors(self):
        store = FakeDocumentStore()
        store.unavailable = True
        worker, read_results = self._worker(store)
        await worker.handle(ReadUsage())
        await worker.handle(SaveUsage(self._USAGE))
        store.unavailable = False
        await worker.handle(Tick())
        assert store.document == asdict(self._USAGE)
        assert len(read_results) == 1

    async def test_missing_document_lists_no_customers(self):
        worker, read_results = self._worker(FakeDocumentStore())
        await worker.handle(ReadUsage())
        assert read_results[0].usage.customers == []

    @pytest.mark.parametrize(
        "document",
        [
            {},
            {"customers": ["c"], "recent": [1, 2]},
            {"customers": ["c"], "recent": ["x"] * 16},
            {"customers": None, "recent": []},
        ],
    )
    async def test_malformed_document_is_unknown_usage(self, document):
        store = FakeDocumentStore()
        store.document = document
        worker, read_results = self._worker(store)
        await worker.handle(ReadUsage())
        assert read_results == [SavedUsage(None)]
