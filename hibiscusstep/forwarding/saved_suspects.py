"""hibiscusstep.forwarding.saved_suspects: the quarantine as a stored document."""

import logging
from collections.abc import Sequence

from hibiscusstep.forwarding.saved_values import to_finite, to_name
from hibiscusstep.forwarding.suspects import CRASH_LIFETIME_S
from hibiscusstep.peer import SuspectState

__all__ = ["PARTS", "REQUESTS", "from_document", "to_document"]

_LOG = logging.getLogger(__name__)
# Names of the lists in a document.
REQUESTS, PARTS = "requests", "parts"
# Bounds the document's size; the latest ones to crash targets are kept, since they are
# the likeliest to be sent again.
MAX_STORED_SUSPECTS = 200
_MAX_FINGERPRINT = (1 << 63) - 1


def to_document(
    requests: list[SuspectState], time_of_day: float, parts: Sequence[SuspectState] = ()
) -> dict:
    """Return a document of quarantined requests and parts; its times are Unix seconds.

    Parameters
    ----------
    requests, parts : sequence of SuspectState
        States of the requests and of the parts of prompts.
    time_of_day : float
        Current time in Unix seconds.
    """
    return {
        REQUESTS: _to_entries(requests, time_of_day),
        PARTS: _to_entries(parts, time_of_day),
    }


def _to_entries(states: Sequence[SuspectState], time_of_day: float) -> list[dict]:
    newest = sorted(states, key=lambda state: min(state.ages, default=CRASH_LIFETIME_S))
    return [
        {
            "fingerprint": f"{state.fingerprint:016x}",
            "targets": state.targets,
            "weights": state.weights,
            "spans": state.spans,
            "crashed_at": [time_of_day - age for age in state.ages],
        }
        for state in newest[:MAX_STORED_SUSPECTS]
    ]


def from_document(
    document: dict | None, time_of_day: float, kind: str = REQUESTS
) -> list[SuspectState]:
    """Return a list of a document; leave out malformed entries and log them.

    The system clock may have been set back since: a crash in the future is dated now.
    Documents of earlier versions have no list of parts.
    """
    if document is None:
        return []
    try:
        entries = list(document.get(kind, []) if kind == PARTS else document[kind])
    except (AttributeError, KeyError, TypeError) as cause:
        _log_ignored(kind, 0, cause)
        return []
    states, malformed = [], []
    for entry in entries:
        try:
            states.append(_parse_state(entry, time_of_day))
        except (
            AttributeError,
            KeyError,
            TypeError,
            ValueError,
            OverflowError,
        ) as error:
            malformed.append(error)
    if malformed:
        _log_ignored(kind, len(malformed), malformed[0])
    return states


def _log_ignored(kind: str, entries: int, cause: Exception) -> None:
    """Log malformed entries, or a list (0 entries), with the cause of the first one."""
    fields = {"kind": kind, "entries": entries, "error": repr(cause)}
    _LOG.error("kept quarantine ignored", extra=fields)


def _parse_state(entry: dict, time_of_day: float) -> SuspectState:
    fingerprint = int(entry["fingerprint"], 16)
    targets = [to_name(target) for target in entry["targets"]]
    weights = [float(weight) for weight in entry["weights"]]
    ages = [max(0.0, time_of_day - to_finite(at)) for at in entry["crashed_at"]]
    spans = [to_finite(span) for span in entry["spans"]]
    if not len(targets) == len(weights) == len(spans) == len(ages):
        raise ValueError("targets, weights, spans and crash times differ in number")
    weights_in_range = all(0 <= weight <= 1 for weight in weights)
    if not (
        0 < fingerprint <= _MAX_FINGERPRINT
        and weights_in_range
        and all(s >= 0 for s in spans)
    ):
        raise ValueError("fingerprint, weight or span out of range")
    return SuspectState(fingerprint, targets, weights, spans, ages, [])
