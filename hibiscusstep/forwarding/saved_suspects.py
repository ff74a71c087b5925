"""hibiscusstep.forwarding.saved_suspects: quarantined requests as a stored document."""

import logging

from hibiscusstep.forwarding.suspects import CRASH_LIFETIME_S
from hibiscusstep.peer import SuspectState

__all__ = ["from_document", "to_document"]

_LOG = logging.getLogger(__name__)
# Bounds the document's size; the latest requests to crash targets are kept, since they
# are the likeliest to be sent again.
MAX_STORED_REQUESTS = 200
_MAX_FINGERPRINT = (1 << 63) - 1


def to_document(states: list[SuspectState], time_of_day: float) -> dict:
    """Return a document of quarantined requests; its times are Unix seconds.

    Parameters
    ----------
    states : list of SuspectState
        States of the requests.
    time_of_day : float
        Current time in Unix seconds.
    """
    newest = sorted(states, key=lambda state: min(state.ages, default=CRASH_LIFETIME_S))
    return {
        "requests": [
            {
                "fingerprint": f"{state.fingerprint:016x}",
                "targets": state.targets,
                "weights": state.weights,
                "spans": state.spans,
                "crashed_at": [time_of_day - age for age in state.ages],
            }
            for state in newest[:MAX_STORED_REQUESTS]
        ]
    }


def from_document(document: dict | None, time_of_day: float) -> list[SuspectState]:
    """Return the requests of a document; log an error and return none if malformed.

    The system clock may have been set back since: a crash in the future is dated now.
    """
    if document is None:
        return []
    try:
        return [_parse_state(entry, time_of_day) for entry in document["requests"]]
    except (KeyError, TypeError, ValueError, OverflowError) as cause:
        _LOG.error("kept quarantine ignored", extra={"error": repr(cause)})
        return []


def _parse_state(entry: dict, time_of_day: float) -> SuspectState:
    fingerprint = int(entry["fingerprint"], 16)
    targets = [str(target) for target in entry["targets"]]
    weights = [float(weight) for weight in entry["weights"]]
    ages = [max(0.0, time_of_day - float(at)) for at in entry["crashed_at"]]
    spans = [float(span) for span in entry["spans"]]
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
