"""Tests of hibiscusstep.forwarding.event_splitter."""

import tracemalloc

import pytest
from hypothesis import assume, given
from hypothesis import strategies as st

from hibiscusstep.forwarding.event_splitter import EventSplitter


class TestEventSplitter:
    @given(
        st.lists(st.integers(1, 60), max_size=12), st.sampled_from(["\n", "\r\n", "\r"])
    )
    def test_any_split_yields_the_same_complete_events(self, sizes, end):
        stream = "".join(f"id: {n}{end}data: x{end}{end}" for n in range(8)).encode()
        splitter, events, position = EventSplitter(), b"", 0
        for size in sizes:
            events += splitter.feed(stream[position : position + size])
            assert events == b"" or events.endswith(f"{end}{end}".encode())
            position += size
        events += splitter.feed(stream[position:])
        assert events == stream
        assert splitter.last_id == "7"
        assert splitter.count == 8
        assert splitter.remainder == b""

    def test_an_incomplete_event_is_held_back_and_can_be_dropped(self):
        splitter = EventSplitter()
        assert splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
        assert splitter.last_id == "1"
        splitter.drop_remainder()
        assert splitter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"

    def test_a_long_incomplete_event_is_not_copied_at_each_read(self):
        """An event of 16 MiB in pieces of 16 KiB took 19 s of processor time."""
        splitter, piece, copied = EventSplitter(), b"x" * (1 << 14), []
        splitter.feed(b"x" * (8 << 20))
        tracemalloc.start()
        try:
            for _ in range(3):
                before, _peak = tracemalloc.get_traced_memory()
                tracemalloc.reset_peak()
                splitter.feed(piece)
                _current, peak = tracemalloc.get_traced_memory()
                copied.append(peak - before)
        finally:
            tracemalloc.stop()
        assert min(copied) < 1 << 20

    @given(
        st.lists(st.sampled_from(["\n", "\r\n", "\r"]), min_size=12, max_size=12),
        st.lists(st.integers(1, 9), max_size=40),
    )
    def test_lines_may_end_in_different_ways(self, ends, sizes):
        lines = [line for n in range(4) for line in (f"id: {n}", "data: x", "")]
        stream = "".join(map(str.__add__, lines, ends)).encode()
        # CR and LF of two lines would be the end of one.
        assume(len(stream.splitlines()) == len(lines))
        splitter, position, events = EventSplitter(), 0, b""
        for size in [*sizes, len(stream)]:
            events += splitter.feed(stream[position : position + size])
            position += size
        assert not splitter.is_inside_event
        assert events + splitter.remainder == stream
        splitter.feed(b"\n")
        assert (splitter.last_id, splitter.count) == ("3", 4)

    @pytest.mark.parametrize(
        ("rest", "is_inside"),
        [
            (b"", False),
            (b"\n", False),
            (b"\r\n\n", False),
            (b": a comment\n", False),
            (b": a comment\r\n: another\r\n", False),
            (b": a comm", True),
            (b"i", True),
            (b"id: 2", True),
            (b"id: 2\ndata: b", True),
            (b"id: 2\ndata: b\n", True),
            (b": a comment\nid: 2\n", True),
            (b"id: 2\r\ndata: b\r\n", True),
            (b"id: 2\r\ndata: b\r\n\r", False),
        ],
    )
    def test_it_tells_whether_a_stream_ends_inside_an_event(self, rest, is_inside):
        splitter = EventSplitter()
        assert not splitter.is_inside_event
        splitter.feed(b"id: 1\ndata: a\n\n" + rest)
        assert splitter.is_inside_event is is_inside
        assert splitter.count == 1

    @pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n"])
    def test_a_terminator_may_arrive_in_single_bytes(self, end):
        """Only the new bytes and a few before them are searched."""
        splitter = EventSplitter()
        splitter.feed(b"id: 1\ndata: " + b"x" * 100)
        events = [splitter.feed(end[n : n + 1]) for n in range(len(end))]
        assert [bool(event) for event in events] == [False] * (len(end) - 1) + [True]
        assert splitter.remainder_size == 0


class TestBegunEvent:
    @pytest.mark.parametrize(
        ("data", "begun"),
        [
            (b"data: x", True),
            (b"\n\ndata", True),
            (b"id: 1\n\n", False),
            (b": comment", False),
            (b"id: 1\n\n: comment", False),
            (b"id: 1\n\nid: 2\n", True),
        ],
    )
    def test_is_told_by_its_first_bytes(self, data, begun):
        splitter = EventSplitter()
        splitter.feed(data)
        assert splitter.has_begun_event is begun


class TestComments:
    def test_are_passed_on_but_not_counted(self):
        splitter = EventSplitter()
        data = b": working\n\n\n:\n\nid: 4\n: a comment\ndata: x\n\n"
        assert splitter.feed(data) == data
        assert (splitter.count, splitter.last_id) == (1, "4")
