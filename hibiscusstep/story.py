"""hibiscusstep.story: one request's story, told from the instances' log lines."""

from collections.abc import Iterable
from dataclasses import dataclass, field

import orjson

__all__ = ["Line", "read_lines", "tell_story"]

# Changes of belief this long before and after a request may have to do with it.
BEFORE_S = 2.0
AFTER_S = 0.5
# Lines that tell what an instance believes, and the field that ties them to a request.
_BELIEFS = {
    "target-leaving": "target",
    "target-gone": "target",
    "target-seen": "target",
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
_HEADER = frozenset(
    ("asctime", "levelname", "name", "message", "instance", "request", "taskName")
)


@dataclass(frozen=True, slots=True)
class Line:
    """A log line.

    Parameters
    ----------
    at : float
        Seconds of its day.
    instance, message : str
        Who wrote it, and what it says.
    fields : dict
        All fields of the line.
    """

    at: float
    instance: str
    message: str
    fields: dict = field(repr=False)

    def text(self) -> str:
        """Return the line for people."""
        rest = " ".join(
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in _HEADER and value != ""
        )
        clock = self.fields.get("asctime", "").rpartition(" ")[2]
        return f"{clock} {self.instance} {self.message}: {rest}"


def read_lines(texts: Iterable[str]) -> list[Line]:
    """Return the log lines among `texts`; what stands before the JSON is skipped."""
    return [line for text in texts if (line := _read(text))]


def tell_story(request: str, lines: list[Line]) -> list[Line]:
    """Return what touched a request, and the beliefs around it, in order of time.

    Parameters
    ----------
    request : str
        Its id.
    lines : list of Line
        Of all instances, in any order.
    """
    own = [line for line in lines if line.fields.get("request") == request]
    if not own:
        return []
    begin = min(line.at - line.fields.get("seconds", 0.0) for line in own) - BEFORE_S
    end = max(line.at for line in own) + AFTER_S
    instances = {line.instance for line in own}
    ties = {
        name: {line.fields[name] for line in own if name in line.fields}
        for name in ("target", "pool")
    }
    around = [
        line
        for line in lines
        if begin <= line.at <= end and _concerns(line, instances, ties)
    ]
    return sorted([*own, *around], key=lambda line: line.at)


def _concerns(line: Line, instances: set[str], ties: dict[str, set[str]]) -> bool:
    tie = _BELIEFS.get(line.message)
    if tie is None:
        return False
    if tie:
        return line.fields.get(tie) in ties[tie]
    return line.instance in instances


def _read(text: str) -> Line | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = orjson.loads(text[start:])
        clock = fields["asctime"].rpartition(" ")[2]
        hours, minutes, seconds = clock.replace(",", ".").split(":")
        at = int(hours) * 3600 + int(minutes) * 60 + float(seconds)
        return Line(at, fields.get("instance", ""), fields["message"], fields)
    except (orjson.JSONDecodeError, KeyError, ValueError, AttributeError):
        return None
