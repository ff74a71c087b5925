"""hibiscusstep.continuation: a stream that broke, taken up by a second answer."""

import itertools
from collections.abc import Iterator

import orjson

__all__ = ["Continuation", "contents"]

EVENT_END = b"\n\n"
PREFIX = b"data: "


def contents(events: bytes) -> Iterator[str]:
    """Yield the text of each whole event, ``""`` for one without text."""
    for event in events.split(EVENT_END)[:-1]:
        yield _content(event)


def _content(event: bytes) -> str:
    if not event.startswith(PREFIX) or event == PREFIX + b"[DONE]":
        return ""
    try:
        choice = orjson.loads(event[len(PREFIX) :])["choices"][0]
        return choice["delta"].get("content") or ""
    except (orjson.JSONDecodeError, KeyError, IndexError, TypeError):
        return ""


class Continuation:
    """Drops from a second answer what the caller has of the first.

    The second answer must begin with the same events, text for text; then the
    caller gets one whole answer. If it does not, `fits` turns False.

    Parameters
    ----------
    sent : bytes
        Whole events that the caller has.
    """

    def __init__(self, sent: bytes) -> None:
        self._expected = list(contents(sent))
        self._position = 0
        self.fits = True

    @property
    def caught_up(self) -> bool:
        """Whether all that the caller has was met."""
        return self._position >= len(self._expected)

    def rest(self, events: bytes) -> bytes:
        """Return the part of the events that the caller does not have."""
        if self.caught_up:
            return events
        parts = events.split(EVENT_END)[:-1]
        known = self._expected[self._position : self._position + len(parts)]
        self.fits = self.fits and all(
            _content(part) == text for part, text in zip(parts, known, strict=False)
        )
        self._position += len(known)
        new = itertools.islice(parts, len(known), None)
        return b"".join(part + EVENT_END for part in new)
