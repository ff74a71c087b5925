"""hibiscusstep.continuation: continues an interrupted stream with a second answer."""

import itertools
from collections.abc import Iterator

import orjson

__all__ = ["Continuation", "event_texts"]

EVENT_END = b"\n\n"
DATA_PREFIX = b"data: "


def event_texts(events: bytes) -> Iterator[str]:
    """Yield the text of each complete event, ``""`` for one without text."""
    for event in events.split(EVENT_END)[:-1]:
        yield _event_text(event)


def _event_text(event: bytes) -> str:
    if not event.startswith(DATA_PREFIX) or event == DATA_PREFIX + b"[DONE]":
        return ""
    try:
        choice = orjson.loads(event[len(DATA_PREFIX) :])["choices"][0]
        return choice["delta"].get("content") or ""
    except (orjson.JSONDecodeError, KeyError, IndexError, TypeError):
        return ""


class Continuation:
    """Removes from a second answer the events that the caller has from the first.

    The second answer must start with events of the same texts, so that the caller gets
    one complete answer. If it does not, `matches` becomes False.

    Parameters
    ----------
    sent : bytes
        Complete events that the caller has.
    """

    def __init__(self, sent: bytes) -> None:
        self._expected = list(event_texts(sent))
        self._position = 0
        self.matches = True

    @property
    def caught_up(self) -> bool:
        """Whether the second answer has reached the end of the caller's events."""
        return self._position >= len(self._expected)

    def remove_sent(self, events: bytes) -> bytes:
        """Return the part of the events that the caller does not have."""
        if self.caught_up:
            return events
        parts = events.split(EVENT_END)[:-1]
        expected = self._expected[self._position : self._position + len(parts)]
        self.matches = self.matches and all(
            _event_text(part) == text
            for part, text in zip(parts, expected, strict=False)
        )
        self._position += len(expected)
        new = itertools.islice(parts, len(expected), None)
        return b"".join(part + EVENT_END for part in new)
