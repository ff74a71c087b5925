"""hibiscusstep.forwarding.kept_suspects: quarantined requests as a kept document."""

import logging

from hibiscusstep.forwarding.suspects import KEEP_S
from hibiscusstep.peer import SuspectState

__all__ = ["from_document", "to_document"]

_LOG = logging.getLogger(__name__)
# The document stays small; who crashed targets last is the likeliest to come again.
MAX_KEPT = 200
_LARGEST = (1 << 63) - 1


def to_document(states: list[SuspectState], time_of_day: float) -> dict:
    """Return a document of requests; its times are Unix seconds.

    Parameters
    ----------
    states : list of SuspectState
        The requests.
    time_of_day : float
        Now, in Unix seconds.
    """
    newest = sorted(states, key=lambda state: min(state.ages, default=KEEP_S))
    return {
        "requests": [
            {
                "fingerprint": f"{state.fingerprint:016x}",
                "targets": state.targets,
                "weights": state.weights,
                "spans": state.spans,
                "crashed_at": [time_of_day - age for age in state.ages],
            }
            for state in newest[:MAX_KEPT]
        ]
    }


def from_document(document: dict | None, time_of_day: float) -> list[SuspectState]:
    """Return the requests of a document; none, with a log line, if it is malformed.

    The time of day may have been set since: a crash that would lie in the future counts
    as one of now.
    """
    if document is None:
        return []
    try:
        return [_state(entry, time_of_day) for entry in document["requests"]]
    except (KeyError, TypeError, ValueError, OverflowError) as cause:
        _LOG.error("kept quarantine ignored", extra={"error": repr(cause)})
        return []


def _state(entry: dict, time_of_day: float) -> SuspectState:
    fingerprint = int(entry["fingerprint"], 16)
    targets = [str(target) for target in entry["targets"]]
    weights = [float(weight) for weight in entry["weights"]]
    ages = [max(0.0, time_of_day - float(at)) for at in entry["crashed_at"]]
    spans = [float(span) for span in entry["spans"]]
    if not len(targets) == len(weights) == len(spans) == len(ages):
        raise ValueError("not as many figures as targets")
    fit = all(0 <= weight <= 1 for weight in weights)
    if not (0 < fingerprint <= _LARGEST and fit and all(s >= 0 for s in spans)):
        raise ValueError("figures that do not fit")
    return SuspectState(fingerprint, targets, weights, spans, ages, [])
