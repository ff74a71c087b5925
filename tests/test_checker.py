"""Tests of hibiscusstep.checker: it finds each violation and no false ones."""

import pytest

from hibiscusstep.checker import check_history
from hibiscusstep.events import Event, EventKind

K = EventKind


def history(*rows):
    """Return events from rows of (time, kind, fields)."""
    return [
        Event(kind, at=float(at), **{"pool": "p", "instance": "i", **fields})
        for at, kind, fields in rows
    ]


def request(name, *steps, **fields):
    return [(at, kind, {"request": name, **fields}) for at, kind in steps]


KEYED = {"key": "k"}
HIGH = {"tier": "high", "rank": 0}
LOW = {"tier": "low", "rank": 1}
VALID = request(
    "a", (0, K.RECEIVED), (0, K.QUEUED), (1, K.DISPATCHED), (2, K.COMPLETED), **KEYED
)

VIOLATING = {
    "at most once": [
        *request("a", (1, K.DISPATCHED), attempt="a.1", **KEYED),
        *request("b", (2, K.DISPATCHED), attempt="b.1", **KEYED),
    ],
    "at most once, seen by targets": [
        *request("a", (1, K.QUEUED), **KEYED),
        *request("a", (2, K.SERVED), (3, K.SERVED), attempt="a.1"),
    ],
    "not run": request("a", (1, K.DISPATCHED), (2, K.REFUSED)),
    "not run, of an earlier attempt": [
        *request("a", (1, K.DISPATCHED), **KEYED),
        *request("b", (2, K.REFUSED), detail="overloaded", **KEYED),
    ],
    "unknown": request("a", (1, K.QUEUED), (2, K.UNKNOWN)),
    "tier order, lower waits": [
        *request("low", (0, K.QUEUED), (9, K.DISPATCHED), **LOW),
        *request("high", (1, K.QUEUED), (2, K.REFUSED), detail="overloaded", **HIGH),
    ],
    "tier order, lower could be stopped": [
        *request("low", (0, K.QUEUED), (0.1, K.DISPATCHED), stoppable=True, **LOW),
        *request("high", (1, K.QUEUED), (2, K.REFUSED), detail="deadline", **HIGH),
    ],
    "tier order, lower went first": [
        *request("low", (0, K.QUEUED), (2, K.DISPATCHED), (9, K.COMPLETED), **LOW),
        *request("high", (1, K.QUEUED), (3, K.REFUSED), detail="deadline", **HIGH),
    ],
    "answered once, never": request("a", (0, K.RECEIVED)),
    "answered once, twice": request(
        "a", (0, K.RECEIVED), (1, K.FAILED), (2, K.REFUSED)
    ),
    "leaving target": [
        (0, K.TARGET_LEAVING, {"target": "t"}),
        (4, K.DISPATCHED, {"target": "t", "request": "a", "idempotent": True}),
    ],
    "graceful shutdown": [
        (0, K.RECEIVED, {"request": "a", "incarnation": "x"}),
        (1, K.SHUTDOWN_DONE, {"incarnation": "x"}),
    ],
    "configuration, back": [
        (0, K.CONFIGURATION_IN_FORCE, {"version": 2, "incarnation": "x"}),
        (1, K.CONFIGURATION_IN_FORCE, {"version": 1, "incarnation": "y"}),
    ],
    "configuration, late": [
        (0, K.CONFIGURATION_IN_FORCE, {"version": 1, "incarnation": "x"}),
        (1, K.CONFIGURATION_ACCEPTED, {"version": 2}),
        (20, K.RECEIVED, {"incarnation": "x", "request": ""}),
    ],
}


class TestChecker:
    @pytest.mark.parametrize("name", VIOLATING)
    def test_finds_violation(self, name):
        promises = {
            violation.guarantee
            for violation in check_history(history(*VIOLATING[name]))
        }
        assert name.partition(",")[0] in promises

    def test_finds_nothing_in_a_valid_history(self):
        assert check_history(history(*VALID)) == []

    def test_ignores_a_dispatch_that_was_not_sent(self):
        rows = request(
            "a", (1, K.DISPATCHED), (2, K.NOT_SENT), (3, K.REFUSED), attempt="a.1"
        )
        assert check_history(history(*rows)) == []

    def test_ignores_unended_requests_of_a_killed_instance(self):
        rows = request("a", (0, K.RECEIVED))
        assert check_history(history(*rows), killed=["i"]) == []

    def test_allows_unstoppable_lower_tier_requests_to_run(self):
        rows = [
            *request("low", (0, K.QUEUED), (0.1, K.DISPATCHED), (9, K.FAILED), **LOW),
            *request("high", (1, K.QUEUED), (3, K.REFUSED), detail="deadline", **HIGH),
        ]
        assert check_history(history(*rows)) == []
