"""hibiscusstep.forwarding.event_splitter: splitting of a stream into events.

Lines end with LF, CR or CRLF, and a blank line ends an event (WHATWG HTML, "Server-sent
events").
"""

from itertools import takewhile

__all__ = ["EventSplitter"]

# A blank line may end in new data with this many of its bytes before them.
_MAX_OVERLAP = 2
_LINE_ENDS = b"\r\n"
# Bytes that are examined for the begin of an event, which may follow blank lines.
_MAX_BEGIN = 16


class EventSplitter:
    """Extracts complete events from a stream and tracks the id of the last one.

    Attributes
    ----------
    last_id : str
        Id of the last complete event with an id, "" if there is none.
    count : int
        Number of complete events so far; comments do not count.
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

    @property
    def has_begun_event(self) -> bool:
        """Whether the bytes after the last complete event begin with another one.

        This costs the same for events of any size.
        """
        begin = self._remainder[:_MAX_BEGIN].lstrip(_LINE_ENDS)
        return bool(begin) and not begin.startswith(b":")

    @property
    def is_inside_event(self) -> bool:
        """Whether the bytes after the last complete event are part of another one.

        Blank lines and complete comments belong to no event.
        """
        lines = self._remainder.splitlines(keepends=True)
        unfinished = takewhile(lambda line: line.strip(_LINE_ENDS), reversed(lines))
        return not all(map(_is_comment, unfinished))

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
        end = _end_of_last_event(joined, start)
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
        has_field = False
        for line in whole.splitlines():
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
            if line:
                has_field |= not line.startswith(b":")
            else:
                self.count += has_field
                has_field = False
        return whole


def _end_of_last_event(data: bytes | bytearray, start: int) -> int:
    """Return the position after the last blank line; 0 if there is none."""
    position = max(
        data.rfind(b"\n\n", start),
        data.rfind(b"\r\r", start),
        # The next byte tells whether the blank line ends with CR or CRLF.
        data.rfind(b"\n\r", start, len(data) - 1),
    )
    if position < 0:
        return 0
    end = position + 2
    return end + 1 if data[end - 1 : end + 1] == b"\r\n" else end


def _is_comment(line: bytes | bytearray) -> bool:
    return line.startswith(b":") and line.endswith((b"\n", b"\r"))
