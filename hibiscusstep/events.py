"""hibiscusstep.events: the recorded history that `hibiscusstep.checker` verifies."""

import enum
import time
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field
from pathlib import Path

import orjson

__all__ = ["Event", "EventKind", "NullRecorder", "Recorder", "read_history"]

MAX_EVENTS = 1_000_000


class EventKind(enum.StrEnum):
    """Kinds of events of a request, a target, an instance or the configuration."""

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
    """One event of the history.

    Parameters
    ----------
    kind : EventKind
        What happened.
    at : float
        Monotonic time in seconds; a history is recorded on a single machine.
    instance, incarnation : str
        The instance that recorded the event.
    request, attempt, key, customer, pool, tier, target : str
        Subjects of the event; ``""`` where not applicable.
    rank : int
        Rank of the tier, 0 the highest.
    stoppable, idempotent : bool
        Whether the running request may be stopped, and whether it may run twice.
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
    """Discards all events; used if recording is disabled."""

    def record(self, kind: EventKind, **fields) -> None:
        """Discard the event."""

    def close(self) -> None:
        """Do nothing."""


class Recorder(NullRecorder):
    """Writes events as JSON lines, at most `MAX_EVENTS` of them.

    Parameters
    ----------
    path : pathlib.Path
        The file; created, or appended to if it exists.
    instance, incarnation : str
        The recording instance.
    """

    def __init__(self, path: Path, instance: str, incarnation: str) -> None:
        self._stream = path.open("ab", buffering=0)
        self._instance = instance
        self._incarnation = incarnation
        self._remaining = MAX_EVENTS

    def record(self, kind: EventKind, **fields) -> None:
        """Write one event, unbuffered so that none is lost if the process is killed."""
        if self._remaining <= 0:
            return
        self._remaining -= 1
        event = Event(
            kind, instance=self._instance, incarnation=self._incarnation, **fields
        )
        line = {name: value for name, value in asdict(event).items() if value != ""}
        self._stream.write(orjson.dumps(line) + b"\n")

    def close(self) -> None:
        """Close the file; later events are discarded."""
        self._remaining = 0
        self._stream.close()


def read_history(folder: Path) -> list[Event]:
    """Return the events of all ``*.events`` files of a folder in order of time.

    A truncated last line of a killed process is skipped.
    """
    lines = (
        line for path in sorted(folder.glob("*.events")) for line in _parse_lines(path)
    )
    events = [Event(**{**line, "kind": EventKind(line["kind"])}) for line in lines]
    return sorted(events, key=lambda event: event.at)


def _parse_lines(path: Path) -> Iterator[dict]:
    for line in path.read_bytes().splitlines():
        try:
            yield orjson.loads(line)
        except orjson.JSONDecodeError:
            return
