"""hibiscusstep.forwarding.event_splitter: splitting of a stream into events."""

__all__ = ["EventSplitter"]

_EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n")


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
        self._remainder = b""
        self.last_id = ""
        self.count = 0

    @property
    def remainder(self) -> bytes:
        """The bytes after the last complete event."""
        return self._remainder

    def drop_remainder(self) -> None:
        """Discard an incomplete event."""
        self._remainder = b""

    def feed(self, data: bytes) -> bytes:
        """Add data and return the events that it completes."""
        data = self._remainder + data
        end = max(
            _end_of_last_event(data, terminator) for terminator in _EVENT_TERMINATORS
        )
        whole, self._remainder = data[:end], data[end:]
        for line in whole.splitlines():
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
            elif not line:
                self.count += 1
        return whole


def _end_of_last_event(data: bytes, terminator: bytes) -> int:
    position = data.rfind(terminator)
    return position + len(terminator) if position >= 0 else 0
