"""hibiscusstep.forwarding.events."""

from hypothesis import given
from hypothesis import strategies as st

from hibiscusstep.forwarding.events import EventSplitter


class TestEventSplitter:
    @given(st.lists(st.integers(1, 60), max_size=12), st.sampled_from(["\n", "\r\n"]))
    def test_any_cut_gives_the_same_whole_events(self, cuts, end):
        stream = "".join(f"id: {n}{end}data: x{end}{end}" for n in range(8)).encode()
        splitter, out, at = EventSplitter(), b"", 0
        for cut in cuts:
            out += splitter.feed(stream[at : at + cut])
            assert out == b"" or out.endswith(f"{end}{end}".encode())
            at += cut
        out += splitter.feed(stream[at:])
        assert out == stream
        assert splitter.last_id == "7"
        assert splitter.count == 8
        assert splitter.rest == b""

    def test_a_cut_event_is_held_back_and_can_be_dropped(self):
        splitter = EventSplitter()
        assert splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
        assert splitter.last_id == "1"
        splitter.drop_rest()
        assert splitter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"
