"""hibiscusstep.load.log_analysis: analyzes log lines for lost and late requests."""

import heapq
import statistics
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime

import orjson

from hibiscusstep.load.customer_usage import CustomerUsage

__all__ = ["AttemptResult", "LogAnalysis", "analyze_log", "read_records"]

# Time format of the log.
_TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
# Lines of several instances in one log are out of order by less than this.
OUT_OF_ORDER_S = 5.0


class AttemptResult:
    """Results of a caller's attempt, and headings of the table's columns."""

    IN_TIME = "in time"
    LATE_FIRST = "late first event"
    LONG_PAUSE = "long pause"
    LATE_RETRY = "came back late"
    REFUSED = "refused"
    OVER_QUOTA = "over quota"
    DEADLINE = "cut by its deadline"
    DISCONNECTED = "caller left"
    FAILED = "failed at target"
    INCOMPLETE = "no whole answer"

    ALL = (
        IN_TIME, LATE_FIRST, LONG_PAUSE, LATE_RETRY, REFUSED, OVER_QUOTA, DEADLINE,
        DISCONNECTED, FAILED, INCOMPLETE,
    )  # fmt: skip


@dataclass(slots=True)
class TargetFigures:
    """Figures of one target's answers.

    Parameters
    ----------
    answers, pauses, broken : int
        Complete answers, those with a pause over the limit, and broken attempts.
    paces : list of float
        Mean seconds between two events of each answer.
    """

    answers: int = 0
    pauses: int = 0
    broken: int = 0
    paces: list[float] = field(default_factory=list)

    @property
    def pace(self) -> float:
        """Median seconds between two events; 0 if unknown."""
        return statistics.median(self.paces) if self.paces else 0.0


@dataclass(slots=True)
class LogAnalysis:
    """Attempts by result, per route and rank, window and place; figures of targets.

    Parameters
    ----------
    window : float
        Length of a window in seconds.
    kinds, windows, results_by_location : dict of Counter
        Results by route and rank, by the window in which a request began, and by the
        data centre and role of the instance that ended it.
    never_ended : Counter
        Grants by window for which no line reports the end: their instances were lost.
    targets : dict of TargetFigures
        Figures of each target, by name.
    usage : CustomerUsage
        Usage of limits by customer.
    """

    window: float
    kinds: dict[tuple[str, int], Counter] = field(
        default_factory=lambda: defaultdict(Counter)
    )
    windows: dict[float, Counter] = field(default_factory=lambda: defaultdict(Counter))
    results_by_location: dict[tuple[str, str], Counter] = field(
        default_factory=lambda: defaultdict(Counter)
    )
    never_ended: Counter = field(default_factory=Counter)
    targets: dict[str, TargetFigures] = field(
        default_factory=lambda: defaultdict(TargetFigures)
    )
    usage: CustomerUsage = field(default_factory=CustomerUsage)

    def window_of(self, moment: float) -> float:
        """Return the start of the window that contains a moment, in seconds."""
        return moment // self.window * self.window

    def count(
        self, record: dict, result: str, began: float, place: tuple[str, str]
    ) -> None:
        """Count an attempt that began at a moment, in seconds since the first line."""
        kind = (record.get("route", ""), int(record.get("rank", -1)))
        self.kinds[kind][result] += 1
        self.windows[self.window_of(began)][result] += 1
        self.results_by_location[place][result] += 1

    def lines(self) -> Iterator[str]:
        """Yield the tables as text."""
        yield "route, rank | " + " | ".join(AttemptResult.ALL)
        for (route, rank), counts in sorted(self.kinds.items()):
            yield f"{route or '-'}, {rank} | " + _format_counts(counts)
        yield "from second | " + " | ".join(AttemptResult.ALL)
        for start, counts in sorted(self.windows.items()):
            yield f"{start:g} | " + _format_counts(counts)
        yield "data centre, role | " + " | ".join(AttemptResult.ALL)
        for (centre, role), counts in sorted(self.results_by_location.items()):
            yield f"{centre or '-'}, {role} | " + _format_counts(counts)
        yield "granted from second | never ended"
        for start, count in sorted(self.never_ended.items()):
            yield f"{start:g} | {count}"
        yield "target | answers | long pauses | broken | ms an event"
        for name, figures in sorted(
            self.targets.items(), key=lambda item: item[1].pace
        ):
            cells = (
                figures.answers,
                figures.pauses,
                figures.broken,
                f"{1000 * figures.pace:.0f}",
            )
            yield f"{name} | " + " | ".join(map(str, cells))
        yield "customer | most tokens in a window | from second | limit"
        for name, most in self.usage.heaviest().items():
            yield f"{name} | {most.tokens} | {most.start:g} | {most.limit or '-'}"


def _format_counts(counts: Counter) -> str:
    return " | ".join(str(counts[result]) for result in AttemptResult.ALL)


def read_records(lines: Iterable[str]) -> Iterator[dict]:
    """Yield the records of structured log lines; any prefix of a line is ignored.

    Each record gets its time in seconds as ``at``. Lines without a record are skipped.
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


def analyze_log(lines: Iterable[str], window: float = 2.0) -> LogAnalysis:
    """Analyze the log lines of all instances.

    Parameters
    ----------
    lines : iterable of str
        Read one by one; may be out of order by up to `OUT_OF_ORDER_S`. Memory grows
        with the number of open requests, not with the log.
    window : float
        Length of a window in seconds.
    """
    reader = _LogProcessor(LogAnalysis(window))
    for record in _sort_by_time(read_records(lines)):
        reader.read(record)
    return reader.end()


def _sort_by_time(records: Iterable[dict]) -> Iterator[dict]:
    """Yield records in the order of their time."""
    buffered: list[tuple[float, int, dict]] = []
    for number, record in enumerate(records):
        heapq.heappush(buffered, (record["at"], number, record))
        while buffered[0][0] < record["at"] - OUT_OF_ORDER_S:
            yield heapq.heappop(buffered)[2]
    while buffered:
        yield heapq.heappop(buffered)[2]


class _LogProcessor:
    """Processor of the records of a log, which must come in order.

    Parameters
    ----------
    analysis : LogAnalysis
        Receives the counts.
    """

    def __init__(self, analysis: LogAnalysis) -> None:
        self._analysis = analysis
        self._first_time: float | None = None
        self._data_centres: dict[str, str] = {}
        self._roles: dict[str, str] = {}
        # Granted requests that have not ended: time of the grant, and whether the
        # objective had already passed, as on the retry of a late attempt.
        self._granted: dict[str, tuple[float, bool]] = {}

    def read(self, record: dict) -> None:
        """Process the next record."""
        if self._first_time is None:
            self._first_time = record["at"]
        self._update_location(record)
        self._analysis.usage.read(record, record["at"] - self._first_time)
        result = _result_of_record(record)
        if record["message"] == "attempt":
            _count_target(self._analysis, record, result)
        if record["message"] == "grant":
            late = record.get("due_in", 0.0) < 0
            self._granted[record["request"]] = record["at"] - self._first_time, late
        elif record["message"] in _END_MESSAGES:
            _at, late = self._granted.pop(record.get("request"), (0.0, False))
            if late and result == AttemptResult.IN_TIME:
                result = AttemptResult.LATE_RETRY
        if result is not None:
            self._count(record, result)

    def _count(self, record: dict, result: str) -> None:
        duration = record.get("seconds", 0.0) + record.get("waited", 0.0)
        began = max(0.0, record["at"] - duration - self._first_time)
        instance = record.get("instance", "")
        place = (
            self._data_centres.get(instance, ""),
            self._roles.get(instance, FOLLOWER),
        )
        self._analysis.count(record, result, began, place)

    def _update_location(self, record: dict) -> None:
        instance = record.get("instance", "")
        match record["message"]:
            case "start":
                self._data_centres[instance] = record.get("data_centre", "")
                self._roles.pop(instance, None)
            case "relay-role" if self._roles.get(instance) != DISPATCHER:
                self._roles[instance] = RELAY if record.get("relay") else FOLLOWER
            case "dispatcher-taken":
                self._roles[instance] = DISPATCHER
            case "dispatcher-left":
                self._roles[instance] = RELAY

    def end(self) -> LogAnalysis:
        """Return the analysis; requests granted but not ended count as never ended."""
        for at, _late in self._granted.values():
            self._analysis.never_ended[self._analysis.window_of(at)] += 1
        return self._analysis


# Roles of an instance, derived from its log lines.
FOLLOWER, RELAY, DISPATCHER = "follower", "relay", "dispatcher"
_END_MESSAGES = ("attempt", "given-up", "rejected")


def _result_of_record(record: dict) -> str | None:
    """Return the result that a line gives for an attempt; None if it gives none."""
    match record["message"]:
        case "attempt":
            return _result_of_attempt(record)
        case "given-up":
            return _RESULTS_BY_STATUS.get(record["status"], AttemptResult.INCOMPLETE)
        case "rejected" if record["status"] == 429:
            return AttemptResult.OVER_QUOTA
    return None


_RESULTS_BY_STATUS = {
    429: AttemptResult.OVER_QUOTA,
    499: AttemptResult.DISCONNECTED,
    503: AttemptResult.REFUSED,
    504: AttemptResult.DEADLINE,
}


def _result_of_attempt(record: dict) -> str | None:
    match record["outcome"]:
        case "done":
            return _result_of_answer(record)
        case "failed":
            return AttemptResult.FAILED
    # Another attempt or a given-up line follows.
    return None


def _result_of_answer(record: dict) -> str:
    first = record["first_event"] or record["waited"] + record["seconds"]
    if first > record["due_in"]:
        return AttemptResult.LATE_FIRST
    if record["longest_pause"] > record["max_pause"]:
        return AttemptResult.LONG_PAUSE
    return AttemptResult.IN_TIME


def _count_target(analysis: LogAnalysis, record: dict, result: str | None) -> None:
    figures = analysis.targets[record["target"]]
    figures.broken += record["outcome"] in ("broken", "unreachable")
    if record["outcome"] != "done":
        return
    figures.answers += 1
    figures.pauses += record["longest_pause"] > record["max_pause"]
    if record["events"] > 1 and record["number"] == 1:
        whole = record["waited"] + record["seconds"] - record["first_event"]
        figures.paces.append(whole / (record["events"] - 1))
