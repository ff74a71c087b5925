"""hibiscusstep.forwarding.events: an event stream cut into whole events."""

__all__ = ["EventSplitter"]

_ENDS = (b"\n\n", b"\r\n\r\n")


class EventSplitter:
    """Holds back the last event until it is whole, and knows its id.

    Attributes
    ----------
    last_id : str
        Id of the last whole event, "" if none had one.
    count : int
        Whole events so far.
    """

    def __init__(self) -> None:
        self._rest = b""
        self.last_id = ""
        self.count = 0

    @property
    def rest(self) -> bytes:
        """The bytes behind the last whole event."""
        return self._rest

    def drop_rest(self) -> None:
        """Forget the part of an event that was cut off."""
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that the stream holds now and did not before."""
        data = self._rest + data
        end = max(_end_of_last(data, mark) for mark in _ENDS)
        whole, self._rest = data[:end], data[end:]
        for line in whole.splitlines():
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
            elif not line:
                self.count += 1
        return whole


def _end_of_last(data: bytes, mark: bytes) -> int:
    found = data.rfind(mark)
    return found + len(mark) if found >= 0 else 0
