"""hibiscusstep.checker: finds in a recorded history where a promise was broken.

The promises and the exact meaning of their words are in docs/PROMISES.md; each
function here is one of them.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from hibiscusstep.events import Event, EventKind

__all__ = ["ENDS", "PREDICATES", "Finding", "check_history"]

CLOCK_SLACK_S = 0.25
LEAVING_BOUND_S = 3.0
IN_FORCE_BOUND_S = 12.0
LOAD_REFUSALS = frozenset({"overloaded", "deadline", "displaced"})
SAYS_EARLIER_NOT_KNOWN = frozenset({"claims-unavailable", "key-reused"})
ENDS = frozenset(
    {
        EventKind.COMPLETED,
        EventKind.REFUSED,
        EventKind.UNKNOWN,
        EventKind.FAILED,
        EventKind.CANCELLED,
        EventKind.ANSWERED,
    }
)


@dataclass(frozen=True, slots=True)
class Finding:
    """A broken promise.

    Parameters
    ----------
    promise : str
        Name of the predicate.
    detail : str
        What was seen, in a line.
    events : tuple of Event
        Those that break it.
    """

    promise: str
    detail: str
    events: tuple[Event, ...]

    def __str__(self) -> str:
        """Return the finding with its events, one a line."""
        lines = [f"{self.promise}: {self.detail}"]
        lines += [
            f"    {event.at:.4f} {event.kind} {event.request} {event.attempt} "
            f"{event.instance} {event.tier} {event.target} {event.detail}"
            for event in self.events
        ]
        return "\n".join(lines)


def check_history(events: Iterable[Event], killed: Iterable[str] = ()) -> list[Finding]:
    """Return every broken promise of a history.

    Parameters
    ----------
    events : iterable of Event
        In order of time.
    killed : iterable of str
        Instances that were killed; what they held may lack an end.
    """
    history = _History(list(events), frozenset(killed))
    return [finding for check in PREDICATES for finding in check(history)]


class _History:
    """A history with the tables that several predicates use."""

    def __init__(self, events: list[Event], killed: frozenset[str]) -> None:
        self.events = events
        self.killed = killed
        self.by_request: dict[str, list[Event]] = defaultdict(list)
        for event in events:
            if event.request:
                self.by_request[event.request].append(event)
        not_sent = {e.attempt for e in events if e.kind is EventKind.NOT_SENT}
        self.dispatched = [
            event
            for event in events
            if event.kind is EventKind.DISPATCHED and event.attempt not in not_sent
        ]
        self.served = [event for event in events if event.kind is EventKind.SERVED]

    def death(self, event: Event) -> float:
        """Return when the event's process was killed, infinity if it was not."""
        if event.instance not in self.killed:
            return float("inf")
        return max(e.at for e in self.events if e.incarnation == event.incarnation)

    def of(self, kind: EventKind) -> list[Event]:
        return [event for event in self.events if event.kind is kind]

    def first(self, request: str, kind: EventKind) -> Event | None:
        return next((e for e in self.by_request[request] if e.kind is kind), None)

    def key_of(self, request: str) -> str:
        return next((e.key for e in self.by_request[request] if _own(e) and e.key), "")

    def idempotent(self, request: str) -> bool:
        return any(event.idempotent for event in self.by_request[request])


def _own(event: Event) -> bool:
    return event.kind is not EventKind.SERVED


def at_most_once(history: _History) -> Iterator[Finding]:
    """Yield keys, and requests without one, that were run more than once."""
    runs: dict[str, list[Event]] = defaultdict(list)
    for event in history.served:
        if not history.idempotent(event.request):
            runs[history.key_of(event.request) or event.request].append(event)
    sent: dict[str, list[Event]] = defaultdict(list)
    for event in history.dispatched:
        if not event.idempotent:
            sent[event.key or event.request].append(event)
    for table in (runs, sent):
        for name, found in table.items():
            if len(found) > 1:
                detail = f"{name} reached a target {len(found)} times"
                yield Finding("at most once", detail, tuple(found))


def not_run(history: _History) -> Iterator[Finding]:
    """Yield requests that were said to be not run, and were."""
    ran = defaultdict(list)
    for event in (*history.dispatched, *history.served):
        ran[event.request].append(event)
        key = history.key_of(event.request)
        if key:
            ran[key].append(event)
    for refusal in history.of(EventKind.REFUSED):
        if ran[refusal.request]:
            detail = f"{refusal.request} was said to be not run"
            yield Finding("not run", detail, (refusal, *ran[refusal.request]))
            continue
        before = [e for e in ran[refusal.key] if refusal.key and e.at < refusal.at]
        if before and refusal.detail not in SAYS_EARLIER_NOT_KNOWN:
            detail = f"the key of {refusal.request} ran before it was said not to"
            yield Finding("not run", detail, (refusal, *before))


def unknown(history: _History) -> Iterator[Finding]:
    """Yield outcomes said to be unknown of what nobody can have sent.

    Somebody can have: this request was dispatched, or another one with its key had
    come so far as to wait for its grant, after which it claims the key.
    """
    sent = {event.request for event in history.dispatched}
    queued = [e for e in history.of(EventKind.QUEUED) if e.key]
    for event in history.of(EventKind.UNKNOWN):
        earlier = any(
            e.key == event.key and e.request != event.request and e.at < event.at
            for e in queued
        )
        if event.request not in sent and not earlier:
            detail = f"{event.request} was said to be unknown, and nobody sent it"
            yield Finding("unknown", detail, (event,))


def tier_order(history: _History) -> Iterator[Finding]:
    """Yield refusals for load while a lower tier of the pool waits or is served."""
    spans = [_Span.of(events, history) for events in history.by_request.values()]
    by_pool: dict[str, list[_Span]] = defaultdict(list)
    for span in spans:
        if span is not None:
            by_pool[span.pool].append(span)
    for refusal in history.of(EventKind.REFUSED):
        if refusal.detail not in LOAD_REFUSALS:
            continue
        queued = history.first(refusal.request, EventKind.QUEUED)
        for span in by_pool[refusal.pool]:
            if span.rank > refusal.rank and span.offends(refusal.at, queued.at):
                detail = (
                    f"{refusal.tier} was refused while {span.tier} "
                    f"{span.state(refusal.at)}"
                )
                yield Finding("tier order", detail, (refusal, *span.events))


@dataclass(frozen=True, slots=True)
class _Span:
    """When a request waited and ran."""

    pool: str
    tier: str
    rank: int
    stoppable: bool
    queued: float
    dispatched: float
    ended: float
    events: tuple[Event, ...]

    @classmethod
    def of(cls, events: list[Event], history: _History) -> "_Span | None":
        own = [event for event in events if _own(event)]
        queued = [e for e in own if e.kind is EventKind.QUEUED]
        if not queued:
            return None
        sent = [e.at for e in own if e.kind is EventKind.DISPATCHED]
        ends = [e.at for e in own if e.kind in ENDS]
        never = float("inf")
        head = queued[0]
        return cls(
            head.pool,
            head.tier,
            head.rank,
            head.stoppable,
            head.at,
            min(sent, default=never),
            max(ends, default=history.death(head)),
            tuple(own),
        )

    def offends(self, at: float, since: float) -> bool:
        """Whether it waits, or runs though it should not, all around a moment."""
        early, late = at - CLOCK_SLACK_S, at + CLOCK_SLACK_S
        if self.queued > early or self.ended < late:
            return False
        waits = self.dispatched > late
        passed = since + CLOCK_SLACK_S < self.dispatched < early
        return waits or (self.dispatched < early and (self.stoppable or passed))

    def state(self, at: float) -> str:
        """Return a word for what it does at a moment."""
        return "waits" if self.dispatched > at else "is served"


def answered_once(history: _History) -> Iterator[Finding]:
    """Yield accepted requests without exactly one end."""
    for received in history.of(EventKind.RECEIVED):
        events = [e for e in history.by_request[received.request] if _own(e)]
        ends = [event for event in events if event.kind in ENDS]
        excused = received.instance in history.killed and not ends
        if len(ends) != 1 and not excused:
            detail = f"{received.request} has {len(ends)} ends"
            yield Finding("answered once", detail, tuple(events))


def leaving_target(history: _History) -> Iterator[Finding]:
    """Yield dispatches to a target some seconds after it was marked as leaving."""
    for mark in history.of(EventKind.TARGET_LEAVING):
        late = [
            event
            for event in (*history.dispatched, *history.served)
            if event.target == mark.target and event.at > mark.at + LEAVING_BOUND_S
        ]
        if late:
            detail = f"{mark.target} got new work after it was leaving"
            yield Finding("leaving target", detail, (mark, *late))


def graceful_shutdown(history: _History) -> Iterator[Finding]:
    """Yield requests that had no end when their instance said it was done."""
    for done in history.of(EventKind.SHUTDOWN_DONE):
        mine = [
            event
            for event in history.of(EventKind.RECEIVED)
            if event.incarnation == done.incarnation
        ]
        for received in mine:
            events = history.by_request[received.request]
            if not any(e.kind in ENDS and e.at <= done.at for e in events):
                detail = f"{received.request} was cut off by the shutdown"
                yield Finding("graceful shutdown", detail, (received, done))


def configuration(history: _History) -> Iterator[Finding]:
    """Yield versions that went down, or took too long to be in force."""
    last: dict[str, Event] = {}
    for event in history.of(EventKind.CONFIGURATION_IN_FORCE):
        before = last.get(event.instance)
        if before and event.version < before.version:
            detail = f"{event.instance} went back to version {event.version}"
            yield Finding("configuration", detail, (before, event))
        last[event.instance] = event
    for accepted in history.of(EventKind.CONFIGURATION_ACCEPTED):
        yield from _late(history, accepted)


def _late(history: _History, accepted: Event) -> Iterator[Finding]:
    bound = accepted.at + IN_FORCE_BOUND_S
    taken = defaultdict(list)
    for event in history.of(EventKind.CONFIGURATION_IN_FORCE):
        taken[event.incarnation].append(event)
    seen = {e.incarnation: e.at for e in history.events if e.incarnation in taken}
    for incarnation, events in taken.items():
        begun = events[0].at
        on_time = any(e.version >= accepted.version and e.at <= bound for e in events)
        if begun < accepted.at and seen[incarnation] > bound and not on_time:
            detail = f"{events[0].instance} had not taken version {accepted.version}"
            yield Finding("configuration", detail, (accepted, events[-1]))


PREDICATES = (
    at_most_once,
    not_run,
    unknown,
    tier_order,
    answered_once,
    leaving_target,
    graceful_shutdown,
    configuration,
)
