"""hibiscusstep.forwarding.kept_use: when it is written, and what is read."""

from dataclasses import asdict

import pytest
from quota_region import Store

from hibiscusstep.forwarding.kept_use import (
    KeepUse,
    KeptUse,
    KeptUseWorker,
    ReadUse,
    UseRecorder,
)
from hibiscusstep.forwarding.usage import UsageLedger
from hibiscusstep.mailbox import Tick
from hibiscusstep.peer import Usage, UsageScope

SPAN_S = 8.0
LIMITS = {"c": 1000.0}


def _recorder():
    return UseRecorder(), UsageLedger("a", SPAN_S, 0.0)


class TestRecorder:
    def test_a_customer_far_below_its_limit_is_not_listed(self):
        recorder, ledger = _recorder()
        ledger.use("c", 290, 10.0)
        assert recorder.due(ledger, LIMITS, 10.0) is None

    def test_what_may_be_used_meanwhile_is_added(self):
        recorder, ledger = _recorder()
        ledger.use("c", 310, 9.0)
        usage = recorder.due(ledger, LIMITS, 10.0)
        assert (usage.customers, usage.totals) == (["c"], [560])
        assert usage.recent == [250, 0, 310] + [0] * 13

    def test_no_more_than_the_limit(self):
        recorder, ledger = _recorder()
        ledger.use("c", 900, 9.0)
        ledger.use("c", 100, 5.0)
        usage = recorder.due(ledger, LIMITS, 10.0)
        assert usage.recent == [250, 0, 750] + [0] * 13

    def test_again_after_some_more_use(self):
        recorder, ledger = _recorder()
        ledger.use("c", 400, 10.0)
        assert recorder.due(ledger, LIMITS, 10.0)
        ledger.use("c", 140, 10.1)
        assert recorder.due(ledger, LIMITS, 10.1) is None
        ledger.use("c", 10, 10.2)
        assert recorder.due(ledger, LIMITS, 10.2)

    def test_who_is_far_below_again_is_left_out_after_a_while(self):
        recorder, ledger = _recorder()
        ledger.use("c", 400, 10.0)
        assert recorder.due(ledger, LIMITS, 10.0)
        assert recorder.due(ledger, LIMITS, 13.9) is None
        assert recorder.due(ledger, LIMITS, 18.1).customers == []
        assert recorder.due(ledger, LIMITS, 30.0) is None

    def test_a_new_writer_clears_what_the_last_one_left(self):
        recorder, ledger = _recorder()
        assert recorder.due(ledger, LIMITS, 10.0) is None
        assert recorder.due(ledger, LIMITS, 14.0).customers == []


class TestWorker:
    _USAGE = Usage("kept", UsageScope.KEPT, ["c"], [5], [5] + [0] * 15)

    def _worker(self, store):
        found = []
        return KeptUseWorker(store, SPAN_S, found.append), found

    async def test_one_reads_what_another_wrote(self):
        store = Store()
        writer, _ = self._worker(store)
        await writer.handle(KeepUse(self._USAGE))
        reader, found = self._worker(store)
        await reader.handle(ReadUse())
        await reader.handle(ReadUse())
        assert found == [KeptUse(self._USAGE)]
        assert store.reads == 1

    async def test_tries_again_where_the_store_was_away(self):
        store = Store()
        store.away = True
        worker, found = self._worker(store)
        await worker.handle(ReadUse())
        await worker.handle(KeepUse(self._USAGE))
        store.away = False
        await worker.handle(Tick())
        assert store.document == asdict(self._USAGE)
        assert len(found) == 1

    @pytest.mark.parametrize(
        "document",
        [
            None,
            {},
            {"customers": ["c"], "recent": [1, 2]},
            {"customers": ["c"], "recent": ["x"] * 16},
            {"customers": None, "recent": []},
        ],
    )
    async def test_none_or_a_malformed_one_lists_nobody(self, document):
        store = Store()
        store.document = document
        worker, found = self._worker(store)
        await worker.handle(ReadUse())
        assert found[0].usage.customers == []
