"""hibiscusstep.forwarding.event_splitter: splitting of a stream into events."""

__all__ = ["EventSplitter"]

_EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n")
# A terminator may end in new data with all but one of its bytes before them.
_MAX_OVERLAP = max(map(len, _EVENT_TERMINATORS)) - 1


class EventSplitter:
    """Extracts complete events from a stream and tracks the id of the last one.

    Attributes
    ----------
    last_id : str
        Id of the last complete event with an id, "" if there is none.
    count : int
        Number of complete events so far.
    """

    def __init__(self) -> None:
        # One array, since many small parts would take more memory than their bytes.
        self._remainder = bytearray()
        self.last_id = ""
        self.count = 0

    @property
    def remainder(self) -> bytes:
        """The bytes after the last complete event."""
        return bytes(self._remainder)

    @property
    def remainder_size(self) -> int:
        """Number of bytes after the last complete event."""
        return len(self._remainder)

    def drop_remainder(self) -> None:
        """Discard an incomplete event."""
        self._remainder = bytearray()

    def feed(self, data: bytes) -> bytes:
        """Add data and return the events that it completes."""
        start = max(0, len(self._remainder) - _MAX_OVERLAP)
        joined = data
        if self._remainder:
            self._remainder += data
            joined = self._remainder
        end = max(
            _end_of_last_event(joined, terminator, start)
            for terminator in _EVENT_TERMINATORS
        )
        if not end:
            if joined is data:
                self._remainder += data
            return b""
        if joined is data:
            whole = data[:end]
            self._remainder += data[end:]
        else:
            with memoryview(joined) as view:
                whole = bytes(view[:end])
                self._remainder = bytearray(view[end:])
        for line in whole.splitlines():
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
            elif not line:
                self.count += 1
        return whole


def _end_of_last_event(data: bytes | bytearray, terminator: bytes, start: int) -> int:
    position = data.rfind(terminator, start)
    return position + len(terminator) if position >= 0 else 0
