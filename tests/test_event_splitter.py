"""Tests of hibiscusstep.forwarding.event_splitter."""

from hypothesis import given
from hypothesis import strategies as st

from hibiscusstep.forwarding.event_splitter import EventSplitter


class TestEventSplitter:
    @given(st.lists(st.integers(1, 60), max_size=12), st.sampled_from(["\n", "\r\n"]))
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
