"""Log lines that callers can cause."""

from hibiscusstep.line_limit import LineLimit
from hibiscusstep.log import MAX_WORD_LENGTH, decision


class TestLineLimit:
    def test_the_rest_is_counted(self):
        time = [10.0]
        limit = LineLimit(2, lambda: time[0])
        assert [limit.admit("a") for _ in range(5)] == [0, 0, None, None, None]
        assert limit.admit("b") == 0
        time[0] += 0.9
        assert limit.admit("a") is None
        time[0] += 0.1
        assert [limit.admit("a") for _ in range(3)] == [4, 0, None]
        time[0] += 60.0
        assert limit.admit("a") == 1


class TestDecision:
    def test_words_of_callers_are_cut(self, caplog):
        with caplog.at_level("INFO"):
            decision("given-up", request="i" * 9000, last_event="e" * 9000, why="w")
        (record,) = caplog.records
        assert record.request == "i" * MAX_WORD_LENGTH
        assert record.last_event == "e" * MAX_WORD_LENGTH
        assert record.why == "w"
