"""hibiscusstep.load.account: where requests were lost or late, from log lines."""

import heapq
import statistics
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime

import orjson

from hibiscusstep.load.customer_use import CustomerUse

__all__ = ["Account", "Fate", "read_records", "take_account"]

# The log's own format of time.
_TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
# Lines of many instances that were written to one log are out of order by less.
OUT_OF_ORDER_S = 5.0


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
    """Fates by route and rank, by window and by place, and what the targets did.

    Parameters
    ----------
    window : float
        Seconds of a window.
    kinds, windows, places : dict of Counter
        Fates by route and rank, by the window in which a request began, and by the
        data centre and role of the instance that ended it.
    unended : Counter
        Grants by window whose request no line ends: those of instances that were lost.
    targets : dict of TargetAccount
        What the answers of each tell.
    use : CustomerUse
        What customers used of their limits.
    """

    window: float
    kinds: dict[tuple[str, int], Counter] = field(
        default_factory=lambda: defaultdict(Counter)
    )
    windows: dict[float, Counter] = field(default_factory=lambda: defaultdict(Counter))
    places: dict[tuple[str, str], Counter] = field(
        default_factory=lambda: defaultdict(Counter)
    )
    unended: Counter = field(default_factory=Counter)
    targets: dict[str, TargetAccount] = field(
        default_factory=lambda: defaultdict(TargetAccount)
    )
    use: CustomerUse = field(default_factory=CustomerUse)

    def window_of(self, moment: float) -> float:
        """Return the start of the window of a moment, in seconds."""
        return moment // self.window * self.window

    def count(
        self, record: dict, fate: str, began: float, place: tuple[str, str]
    ) -> None:
        """Count an attempt that began at a moment, in seconds since the first line."""
        kind = (record.get("route", ""), int(record.get("rank", -1)))
        self.kinds[kind][fate] += 1
        self.windows[self.window_of(began)][fate] += 1
        self.places[place][fate] += 1

    def lines(self) -> Iterator[str]:
        """Yield the tables as text."""
        yield "route, rank | " + " | ".join(Fate.ALL)
        for (route, rank), counts in sorted(self.kinds.items()):
            yield f"{route or '-'}, {rank} | " + _cells(counts)
        yield "from second | " + " | ".join(Fate.ALL)
        for start, counts in sorted(self.windows.items()):
            yield f"{start:g} | " + _cells(counts)
        yield "data centre, role | " + " | ".join(Fate.ALL)
        for (centre, role), counts in sorted(self.places.items()):
            yield f"{centre or '-'}, {role} | " + _cells(counts)
        yield "granted from second | never ended"
        for start, count in sorted(self.unended.items()):
            yield f"{start:g} | {count}"
        yield "target | answers | long pauses | broken | ms an event"
        for name, seen in sorted(self.targets.items(), key=lambda item: item[1].pace):
            cells = (seen.answers, seen.pauses, seen.broken, f"{1000 * seen.pace:.0f}")
            yield f"{name} | " + " | ".join(map(str, cells))
        yield "customer | most tokens in a window | from second | limit"
        for name, most in self.use.heaviest().items():
            yield f"{name} | {most.tokens} | {most.start:g} | {most.limit or '-'}"


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
        Read one by one; those of several instances out of order by `OUT_OF_ORDER_S` at
        the most. What is kept grows with what is open at a time, not with the log.
    window : float
        Seconds of a window.
    """
    reader = _Reader(Account(window))
    for record in _in_order(read_records(lines)):
        reader.read(record)
    return reader.end()


def _in_order(records: Iterable[dict]) -> Iterator[dict]:
    """Yield records by their time."""
    held: list[tuple[float, int, dict]] = []
    for number, record in enumerate(records):
        heapq.heappush(held, (record["at"], number, record))
        while held[0][0] < record["at"] - OUT_OF_ORDER_S:
            yield heapq.heappop(held)[2]
    while held:
        yield heapq.heappop(held)[2]


class _Reader:
    """Takes the records of a log in their order.

    Parameters
    ----------
    account : Account
        Where it is counted.
    """

    def __init__(self, account: Account) -> None:
        self._account = account
        self._start: float | None = None
        self._centres: dict[str, str] = {}
        self._roles: dict[str, str] = {}
        # Of requests that were granted and have not ended: when, and whether the first
        # attempt of the caller was late already.
        self._granted: dict[str, tuple[float, bool]] = {}

    def read(self, record: dict) -> None:
        """Take the next record."""
        if self._start is None:
            self._start = record["at"]
        self._note_place(record)
        self._account.use.read(record, record["at"] - self._start)
        fate = _fate(record)
        if record["message"] == "attempt":
            _note_target(self._account, record, fate)
        if record["message"] == "grant":
            late = record.get("due_in", 0.0) < 0
            self._granted[record["request"]] = record["at"] - self._start, late
        elif record["message"] in _ENDS:
            _at, late = self._granted.pop(record.get("request"), (0.0, False))
            if late and fate == Fate.IN_TIME:
                fate = Fate.CAME_BACK
        if fate is not None:
            self._count(record, fate)

    def _count(self, record: dict, fate: str) -> None:
        held = record.get("seconds", 0.0) + record.get("waited", 0.0)
        began = max(0.0, record["at"] - held - self._start)
        instance = record.get("instance", "")
        place = self._centres.get(instance, ""), self._roles.get(instance, FOLLOWER)
        self._account.count(record, fate, began, place)

    def _note_place(self, record: dict) -> None:
        instance = record.get("instance", "")
        match record["message"]:
            case "start":
                self._centres[instance] = record.get("data_centre", "")
                self._roles.pop(instance, None)
            case "relay-role" if self._roles.get(instance) != DISPATCHER:
                self._roles[instance] = RELAY if record.get("relay") else FOLLOWER
            case "dispatcher-taken":
                self._roles[instance] = DISPATCHER
            case "dispatcher-left":
                self._roles[instance] = RELAY

    def end(self) -> Account:
        """Return the account; what was granted and has not ended by now never does."""
        for at, _late in self._granted.values():
            self._account.unended[self._account.window_of(at)] += 1
        return self._account


# Roles of an instance, as far as its log lines tell.
FOLLOWER, RELAY, DISPATCHER = "follower", "relay", "dispatcher"
_ENDS = ("attempt", "given-up", "rejected")


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
