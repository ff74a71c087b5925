"""hibiscusstep.timeline: builds a request's timeline from the instances' log lines."""

from collections.abc import Iterable
from dataclasses import dataclass, field

import orjson

__all__ = ["LogLine", "build_timeline", "parse_lines"]

# Seconds before and after a request in which state changes are included.
WINDOW_BEFORE_S = 2.0
WINDOW_AFTER_S = 0.5
# Messages of state changes, and the field that relates them to a request; if it is
# empty, all changes at the request's instances are related.
_STATE_CHANGES = {
    "target-leaving": "target",
    "target-gone": "target",
    "target-seen": "target",
    "target-limited": "pool",
    "target-unlimited": "pool",
    "dispatcher-silent": "pool",
    "dispatcher-taken": "pool",
    "dispatcher-recovered": "pool",
    "dispatcher-left": "pool",
    "pool-state": "pool",
    "configuration-in-force": "",
    "store-lost": "",
    "store-regained": "",
    "store-history-lost": "",
    "members changed": "",
    "stop": "",
    "start": "",
    "reload": "",
    "log lines dropped": "",
}
_STANDARD_FIELDS = frozenset(
    ("asctime", "levelname", "name", "message", "instance", "request", "taskName")
)


@dataclass(frozen=True, slots=True)
class LogLine:
    """A parsed log line.

    Parameters
    ----------
    at : float
        Time of day in seconds.
    instance, message : str
        Instance that wrote the line, and its message.
    fields : dict
        All fields of the line.
    """

    at: float
    instance: str
    message: str
    fields: dict = field(repr=False)

    def text(self) -> str:
        """Return the line as readable text."""
        details = " ".join(
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in _STANDARD_FIELDS and value != ""
        )
        time_of_day = self.fields.get("asctime", "").rpartition(" ")[2]
        return f"{time_of_day} {self.instance} {self.message}: {details}"


def parse_lines(texts: Iterable[str]) -> list[LogLine]:
    """Parse the log lines among `texts`; text before the JSON object is skipped."""
    return [line for text in texts if (line := _parse(text))]


def build_timeline(request: str, lines: list[LogLine]) -> list[LogLine]:
    """Return a request's lines and the related state changes in order of time.

    Parameters
    ----------
    request : str
        Id of the request.
    lines : list of LogLine
        Log lines of all instances in any order.
    """
    request_lines = [line for line in lines if line.fields.get("request") == request]
    if not request_lines:
        return []
    window_start = (
        min(line.at - line.fields.get("seconds", 0.0) for line in request_lines)
        - WINDOW_BEFORE_S
    )
    window_end = max(line.at for line in request_lines) + WINDOW_AFTER_S
    instances = {line.instance for line in request_lines}
    related = {
        name: {line.fields[name] for line in request_lines if name in line.fields}
        for name in ("target", "pool")
    }
    state_changes = [
        line
        for line in lines
        if window_start <= line.at <= window_end
        and _is_related(line, instances, related)
    ]
    return sorted([*request_lines, *state_changes], key=lambda line: line.at)


def _is_related(
    line: LogLine, instances: set[str], related: dict[str, set[str]]
) -> bool:
    related_field = _STATE_CHANGES.get(line.message)
    if related_field is None:
        return False
    if related_field:
        return line.fields.get(related_field) in related[related_field]
    return line.instance in instances


def _parse(text: str) -> LogLine | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = orjson.loads(text[start:])
        time_of_day = fields["asctime"].rpartition(" ")[2]
        hours, minutes, seconds = time_of_day.replace(",", ".").split(":")
        at = int(hours) * 3600 + int(minutes) * 60 + float(seconds)
        return LogLine(at, fields.get("instance", ""), fields["message"], fields)
    except (orjson.JSONDecodeError, KeyError, ValueError, AttributeError):
        return None
