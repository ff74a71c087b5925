"""hibiscusstep.load.account: where requests were lost or late, from log lines."""

import statistics
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime

import orjson

__all__ = ["Account", "Fate", "read_records", "take_account"]

# The log's own format of time.
_TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"


class Fate:
    """What became of an attempt of a caller; the names of the table's columns."""

    IN_TIME = "in time"
    LATE_FIRST = "late first event"
    LONG_PAUSE = "long pause"
    CAME_BACK = "came back late"
    REFUSED = "refused"
    QUOTA = "over quota"
    CUT = "cut by its deadline"
    LEFT = "caller left"
    FAILED = "failed at target"
    LOST = "no whole answer"

    ALL = (
        IN_TIME, LATE_FIRST, LONG_PAUSE, CAME_BACK, REFUSED, QUOTA, CUT, LEFT, FAILED,
        LOST,
    )  # fmt: skip


@dataclass(slots=True)
class TargetAccount:
    """What the answers of one target tell.

    Parameters
    ----------
    answers, pauses, broken : int
        Whole answers, those of them with too long a pause, and attempts that broke.
    paces : list of float
        Seconds between two events, of each answer.
    """

    answers: int = 0
    pauses: int = 0
    broken: int = 0
    paces: list[float] = field(default_factory=list)

    @property
    def pace(self) -> float:
        """Median seconds between two events; 0 if not known."""
        return statistics.median(self.paces) if self.paces else 0.0


@dataclass(slots=True)
class Account:
    """Fates by route and rank, by window, and what the targets did.

    Parameters
    ----------
    window : float
        Seconds of a window.
    """

    window: float
    kinds: dict[tuple[str, int], Counter] = field(
        default_factory=lambda: defaultdict(Counter)
    )
    windows: dict[float, Counter] = field(default_factory=lambda: defaultdict(Counter))
    targets: dict[str, TargetAccount] = field(
        default_factory=lambda: defaultdict(TargetAccount)
    )

    def count(self, record: dict, fate: str, began: float) -> None:
        """Count an attempt that began at a moment, in seconds since the first line."""
        kind = (record.get("route", ""), int(record.get("rank", -1)))
        self.kinds[kind][fate] += 1
        self.windows[began // self.window * self.window][fate] += 1

    def lines(self) -> Iterator[str]:
        """Yield the tables as text."""
        yield "route, rank | " + " | ".join(Fate.ALL)
        for (route, rank), counts in sorted(self.kinds.items()):
            yield f"{route or '-'}, {rank} | " + _cells(counts)
        yield "from second | " + " | ".join(Fate.ALL)
        for start, counts in sorted(self.windows.items()):
            yield f"{start:g} | " + _cells(counts)
        yield "target | answers | long pauses | broken | ms an event"
        for name, seen in sorted(self.targets.items(), key=lambda item: item[1].pace):
            cells = (seen.answers, seen.pauses, seen.broken, f"{1000 * seen.pace:.0f}")
            yield f"{name} | " + " | ".join(map(str, cells))


def _cells(counts: Counter) -> str:
    return " | ".join(str(counts[fate]) for fate in Fate.ALL)


def read_records(lines: Iterable[str]) -> Iterator[dict]:
    """Yield the records of structured log lines; what stands before them is ignored.

    Each gets its time in seconds as ``at``; lines that are no records are left out.
    """
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            record = orjson.loads(line[start:])
            at = datetime.strptime(record["asctime"], _TIME_FORMAT).timestamp()
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
            continue
        yield {**record, "at": at}


def take_account(lines: Iterable[str], window: float = 2.0) -> Account:
    """Return the account of the log lines of all instances.

    Parameters
    ----------
    lines : iterable of str
        In any order between instances.
    window : float
        Seconds of a window.
    """
    records = sorted(read_records(lines), key=lambda record: record["at"])
    account = Account(window)
    # Granted when its first attempt was late already.
    came_back = {r["request"] for r in records if _is_late_grant(r)}
    start = records[0]["at"] if records else 0.0
    for record in records:
        fate = _fate(record)
        if record["message"] == "attempt":
            _note_target(account, record, fate)
        if fate is None:
            continue
        if fate == Fate.IN_TIME and record["request"] in came_back:
            fate = Fate.CAME_BACK
        held = record.get("seconds", 0.0) + record.get("waited", 0.0)
        account.count(record, fate, max(0.0, record["at"] - held - start))
    return account


def _is_late_grant(record: dict) -> bool:
    return record["message"] == "grant" and record.get("due_in", 0.0) < 0


def _fate(record: dict) -> str | None:
    """Return what a line says of an attempt of a caller; None if it says no end."""
    match record["message"]:
        case "attempt":
            return _fate_of_attempt(record)
        case "given-up":
            return _STATUS_FATES.get(record["status"], Fate.LOST)
        case "rejected" if record["status"] == 429:
            return Fate.QUOTA
    return None


_STATUS_FATES = {429: Fate.QUOTA, 499: Fate.LEFT, 503: Fate.REFUSED, 504: Fate.CUT}


def _fate_of_attempt(record: dict) -> str | None:
    match record["outcome"]:
        case "done":
            return _fate_of_answer(record)
        case "failed":
            return Fate.FAILED
    # Another attempt follows, or a line that says that the request is given up.
    return None


def _fate_of_answer(record: dict) -> str:
    first = record["first_event"] or record["waited"] + record["seconds"]
    if first > record["due_in"]:
        return Fate.LATE_FIRST
    if record["longest_pause"] > record["max_pause"]:
        return Fate.LONG_PAUSE
    return Fate.IN_TIME


def _note_target(account: Account, record: dict, fate: str | None) -> None:
    seen = account.targets[record["target"]]
    seen.broken += record["outcome"] in ("broken", "unreachable")
    if record["outcome"] != "done":
        return
    seen.answers += 1
    seen.pauses += record["longest_pause"] > record["max_pause"]
    if record["events"] > 1 and record["number"] == 1:
        whole = record["waited"] + record["seconds"] - record["first_event"]
        seen.paces.append(whole / (record["events"] - 1))
