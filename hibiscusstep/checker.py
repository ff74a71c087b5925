"""hibiscusstep.checker: finds violations of the guarantees in a recorded history.

The guarantees are the promises of docs/PROMISES.md; each function in `CHECKS` checks
one of them.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from hibiscusstep.events import Event, EventKind

__all__ = ["CHECKS", "ENDS", "Violation", "check_history"]

CLOCK_SLACK_S = 0.25
LEAVING_BOUND_S = 3.0
IN_FORCE_BOUND_S = 12.0
# Names of the problems of requests that were refused for load.
LOAD_REFUSALS = frozenset({"overloaded", "deadline", "displaced"})
# Names of problems that do not state whether an earlier request with the key was run.
EARLIER_RUN_UNKNOWN = frozenset({"claims-unavailable", "key-reused"})
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
class Violation:
    """A violation of a guarantee.

    Parameters
    ----------
    guarantee : str
        Name of the guarantee.
    detail : str
        Description in one line.
    events : tuple of Event
        The events that violate it.
    """

    guarantee: str
    detail: str
    events: tuple[Event, ...]

    def __str__(self) -> str:
        """Return the violation and its events, one per line."""
        lines = [f"{self.guarantee}: {self.detail}"]
        lines += [
            f"    {event.at:.4f} {event.kind} {event.request} {event.attempt} "
            f"{event.instance} {event.tier} {event.target} {event.detail}"
            for event in self.events
        ]
        return "\n".join(lines)


def check_history(
    events: Iterable[Event], killed: Iterable[str] = ()
) -> list[Violation]:
    """Return all violations in a history.

    Parameters
    ----------
    events : iterable of Event
        In order of time.
    killed : iterable of str
        Instances that were killed; their requests may lack a terminal event.
    """
    history = _History(list(events), frozenset(killed))
    return [violation for check in CHECKS for violation in check(history)]


class _History:
    """A history with indexes that several checks use."""

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

    def killed_at(self, event: Event) -> float:
        """Return when the event's process was killed; infinity if it was not."""
        if event.instance not in self.killed:
            return float("inf")
        return max(e.at for e in self.events if e.incarnation == event.incarnation)

    def of_kind(self, kind: EventKind) -> list[Event]:
        return [event for event in self.events if event.kind is kind]

    def first(self, request: str, kind: EventKind) -> Event | None:
        return next((e for e in self.by_request[request] if e.kind is kind), None)

    def key_of(self, request: str) -> str:
        return next(
            (e.key for e in self.by_request[request] if _is_from_instance(e) and e.key),
            "",
        )

    def idempotent(self, request: str) -> bool:
        return any(event.idempotent for event in self.by_request[request])


def _is_from_instance(event: Event) -> bool:
    """Return whether an instance recorded the event; targets record `SERVED`."""
    return event.kind is not EventKind.SERVED


def at_most_once(history: _History) -> Iterator[Violation]:
    """Yield keys, and requests without a key, that ran more than once."""
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
                yield Violation("at most once", detail, tuple(found))


def not_run(history: _History) -> Iterator[Violation]:
    """Yield requests that were reported as not run but were dispatched or served."""
    ran = defaultdict(list)
    for event in (*history.dispatched, *history.served):
        ran[event.request].append(event)
        key = history.key_of(event.request)
        if key:
            ran[key].append(event)
    for refusal in history.of_kind(EventKind.REFUSED):
        if ran[refusal.request]:
            detail = f"{refusal.request} was reported as not run but was sent"
            yield Violation("not run", detail, (refusal, *ran[refusal.request]))
            continue
        previous = [e for e in ran[refusal.key] if refusal.key and e.at < refusal.at]
        if previous and refusal.detail not in EARLIER_RUN_UNKNOWN:
            detail = (
                f"the key of {refusal.request} ran before it was reported as not run"
            )
            yield Violation("not run", detail, (refusal, *previous))


def unknown(history: _History) -> Iterator[Violation]:
    """Yield unknown outcomes of requests that cannot have been sent.

    A request can have been sent if it was dispatched, or if an earlier request with the
    same key was queued for a grant, after which it claims the key.
    """
    sent = {event.request for event in history.dispatched}
    queued = [e for e in history.of_kind(EventKind.QUEUED) if e.key]
    for event in history.of_kind(EventKind.UNKNOWN):
        earlier = any(
            e.key == event.key and e.request != event.request and e.at < event.at
            for e in queued
        )
        if event.request not in sent and not earlier:
            detail = f"{event.request} was reported as unknown but was never sent"
            yield Violation("unknown", detail, (event,))


def tier_order(history: _History) -> Iterator[Violation]:
    """Yield refusals for load while a lower tier of the pool waits or runs."""
    spans = [
        _RequestSpan.from_events(events, history)
        for events in history.by_request.values()
    ]
    by_pool: dict[str, list[_RequestSpan]] = defaultdict(list)
    for span in spans:
        if span is not None:
            by_pool[span.pool].append(span)
    for refusal in history.of_kind(EventKind.REFUSED):
        if refusal.detail not in LOAD_REFUSALS:
            continue
        queued = history.first(refusal.request, EventKind.QUEUED)
        for span in by_pool[refusal.pool]:
            if span.rank > refusal.rank and span.violates_order(refusal.at, queued.at):
                detail = (
                    f"{refusal.tier} was refused while {span.tier} "
                    f"{span.state(refusal.at)}"
                )
                yield Violation("tier order", detail, (refusal, *span.events))


@dataclass(frozen=True, slots=True)
class _RequestSpan:
    """The times at which a request waited and ran."""

    pool: str
    tier: str
    rank: int
    stoppable: bool
    queued: float
    dispatched: float
    ended: float
    events: tuple[Event, ...]

    @classmethod
    def from_events(
        cls, events: list[Event], history: _History
    ) -> "_RequestSpan | None":
        instance_events = [event for event in events if _is_from_instance(event)]
        queued = [e for e in instance_events if e.kind is EventKind.QUEUED]
        if not queued:
            return None
        sent = [e.at for e in instance_events if e.kind is EventKind.DISPATCHED]
        ends = [e.at for e in instance_events if e.kind in ENDS]
        never = float("inf")
        first_queued = queued[0]
        return cls(
            first_queued.pool,
            first_queued.tier,
            first_queued.rank,
            first_queued.stoppable,
            first_queued.at,
            min(sent, default=never),
            max(ends, default=history.killed_at(first_queued)),
            tuple(instance_events),
        )

    def violates_order(self, at: float, since: float) -> bool:
        """Return whether the request waits, or runs in violation of the tier order.

        A running request violates it if it may be stopped, or if it was dispatched
        after `since`, when the refused request was queued. The request must wait or run
        from `CLOCK_SLACK_S` before `at`, the time of the refusal, to as much after it.
        """
        early, late = at - CLOCK_SLACK_S, at + CLOCK_SLACK_S
        if self.queued > early or self.ended < late:
            return False
        waits = self.dispatched > late
        overtook = since + CLOCK_SLACK_S < self.dispatched < early
        return waits or (self.dispatched < early and (self.stoppable or overtook))

    def state(self, at: float) -> str:
        """Return a word for the state of the request at a time."""
        return "waits" if self.dispatched > at else "is served"


def answered_once(history: _History) -> Iterator[Violation]:
    """Yield accepted requests without exactly one terminal event."""
    for received in history.of_kind(EventKind.RECEIVED):
        events = [
            e for e in history.by_request[received.request] if _is_from_instance(e)
        ]
        ends = [event for event in events if event.kind in ENDS]
        lost_by_kill = received.instance in history.killed and not ends
        if len(ends) != 1 and not lost_by_kill:
            detail = f"{received.request} has {len(ends)} terminal events"
            yield Violation("answered once", detail, tuple(events))


def leaving_target(history: _History) -> Iterator[Violation]:
    """Yield dispatches to a target `LEAVING_BOUND_S` after it was marked as leaving."""
    for mark in history.of_kind(EventKind.TARGET_LEAVING):
        late_events = [
            event
            for event in (*history.dispatched, *history.served)
            if event.target == mark.target and event.at > mark.at + LEAVING_BOUND_S
        ]
        if late_events:
            detail = (
                f"{mark.target} received new requests after it was marked as leaving"
            )
            yield Violation("leaving target", detail, (mark, *late_events))


def graceful_shutdown(history: _History) -> Iterator[Violation]:
    """Yield requests without a terminal event when their instance had shut down."""
    for shutdown in history.of_kind(EventKind.SHUTDOWN_DONE):
        received_events = [
            event
            for event in history.of_kind(EventKind.RECEIVED)
            if event.incarnation == shutdown.incarnation
        ]
        for received in received_events:
            events = history.by_request[received.request]
            if not any(e.kind in ENDS and e.at <= shutdown.at for e in events):
                detail = f"{received.request} had not ended at the end of the shutdown"
                yield Violation("graceful shutdown", detail, (received, shutdown))


def configuration(history: _History) -> Iterator[Violation]:
    """Yield versions that decreased, or were not in force within the bound."""
    last: dict[str, Event] = {}
    for event in history.of_kind(EventKind.CONFIGURATION_IN_FORCE):
        previous = last.get(event.instance)
        if previous and event.version < previous.version:
            detail = f"{event.instance} reverted to version {event.version}"
            yield Violation("configuration", detail, (previous, event))
        last[event.instance] = event
    for accepted in history.of_kind(EventKind.CONFIGURATION_ACCEPTED):
        yield from _late_versions(history, accepted)


def _late_versions(history: _History, accepted: Event) -> Iterator[Violation]:
    bound = accepted.at + IN_FORCE_BOUND_S
    applied = defaultdict(list)
    for event in history.of_kind(EventKind.CONFIGURATION_IN_FORCE):
        applied[event.incarnation].append(event)
    last_seen = {
        e.incarnation: e.at for e in history.events if e.incarnation in applied
    }
    for incarnation, events in applied.items():
        started_at = events[0].at
        on_time = any(e.version >= accepted.version and e.at <= bound for e in events)
        if started_at < accepted.at and last_seen[incarnation] > bound and not on_time:
            detail = (
                f"{events[0].instance} did not apply version {accepted.version} in time"
            )
            yield Violation("configuration", detail, (accepted, events[-1]))


CHECKS = (
    at_most_once,
    not_run,
    unknown,
    tier_order,
    answered_once,
    leaving_target,
    graceful_shutdown,
    configuration,
)
