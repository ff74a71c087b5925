"""hibiscusstep.events: the recorded history from which the promises are checked."""

import enum
import time
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field
from pathlib import Path

import orjson

__all__ = ["Event", "EventKind", "NullRecorder", "Recorder", "read_history"]

MAX_EVENTS = 1_000_000


class EventKind(enum.StrEnum):
    """What may happen to a request, a target, an instance or the configuration."""

    RECEIVED = "received"
    QUEUED = "queued"
    CLAIMED = "claimed"
    DISPATCHED = "dispatched"
    NOT_SENT = "not-sent"
    FIRST_TOKEN = "first-token"
    COMPLETED = "completed"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    FAILED = "failed"
    CANCELLED = "cancelled"
    STOPPED = "stopped"
    SERVED = "served"
    ANSWERED = "answered"
    CONFIGURATION_ACCEPTED = "configuration-accepted"
    CONFIGURATION_IN_FORCE = "configuration-in-force"
    TARGET_LEAVING = "target-leaving"
    SHUTDOWN_ASKED = "shutdown-asked"
    SHUTDOWN_DONE = "shutdown-done"


@dataclass(frozen=True, slots=True)
class Event:
    """One step of the history.

    Parameters
    ----------
    kind : EventKind
        What happened.
    at : float
        Monotonic time of the machine, in seconds (one machine a history).
    instance, incarnation : str
        Who recorded it.
    request, attempt, key, customer, pool, tier, target : str
        What it was about; ``""`` where it does not apply.
    rank : int
        Rank of the tier, 0 the highest.
    stoppable, idempotent : bool
        Whether the running request could have been stopped; may run twice.
    version : int
        Version of the configuration.
    detail : str
        Reason, digest of the answer, or other text.
    """

    kind: EventKind
    at: float = field(default_factory=time.monotonic)
    instance: str = ""
    incarnation: str = ""
    request: str = ""
    attempt: str = ""
    key: str = ""
    customer: str = ""
    pool: str = ""
    tier: str = ""
    rank: int = 0
    target: str = ""
    stoppable: bool = False
    idempotent: bool = False
    version: int = 0
    detail: str = ""


class NullRecorder:
    """Records nothing; what runs where the setting is off."""

    def record(self, kind: EventKind, **fields) -> None:
        """Drop the event."""

    def close(self) -> None:
        """Do nothing."""


class Recorder(NullRecorder):
    """Writes events as JSON lines, at most `MAX_EVENTS` of them.

    Parameters
    ----------
    path : pathlib.Path
        The file, made anew or appended to.
    instance, incarnation : str
        Who records.
    """

    def __init__(self, path: Path, instance: str, incarnation: str) -> None:
        self._stream = path.open("ab", buffering=0)
        self._instance = instance
        self._incarnation = incarnation
        self._left = MAX_EVENTS

    def record(self, kind: EventKind, **fields) -> None:
        """Write one event, unbuffered so that a kill loses none."""
        if self._left <= 0:
            return
        self._left -= 1
        event = Event(
            kind, instance=self._instance, incarnation=self._incarnation, **fields
        )
        line = {name: value for name, value in asdict(event).items() if value != ""}
        self._stream.write(orjson.dumps(line) + b"\n")

    def close(self) -> None:
        """Close the file; later events are dropped."""
        self._left = 0
        self._stream.close()


def read_history(folder: Path) -> list[Event]:
    """Return the events of all files ``*.events`` of a folder in order of time.

    A last line that a kill cut short is passed over.
    """
    lines = (line for path in sorted(folder.glob("*.events")) for line in _lines(path))
    events = [Event(**{**line, "kind": EventKind(line["kind"])}) for line in lines]
    return sorted(events, key=lambda event: event.at)


def _lines(path: Path) -> Iterator[dict]:
    for line in path.read_bytes().splitlines():
        try:
            yield orjson.loads(line)
        except orjson.JSONDecodeError:
            return
