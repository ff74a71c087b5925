"""hibiscusstep.forwarding.saved_rollouts: progress of an order as a stored document."""

import logging
from dataclasses import dataclass

from hibiscusstep.forwarding.saved_values import to_count, to_finite, to_name
from hibiscusstep.rollout.controller import RolloutProgress

__all__ = ["SavedRollout", "from_document", "to_document"]

_LOG = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class SavedRollout:
    """The saved progress of an order.

    Parameters
    ----------
    version : str
        The version that the order moves the traffic to.
    began : float
        When the order was first seen, in Unix seconds.
    progress : RolloutProgress
        Progress so far.
    """

    version: str
    began: float
    progress: RolloutProgress


def to_document(saved: SavedRollout) -> dict:
    """Return the progress of an order as a document."""
    return {
        "version": saved.version,
        "began": saved.began,
        "requests": saved.progress.requests,
        "exposed": saved.progress.exposed,
        "answers": saved.progress.answers,
        "evidence": saved.progress.evidence,
    }


def from_document(pool: str, document: dict | None) -> SavedRollout | None:
    """Return the progress in a document; log it and return None if it is malformed."""
    if document is None:
        return None
    try:
        progress = RolloutProgress(
            *(to_count(document[key]) for key in ("requests", "exposed", "answers")),
            evidence=max(0.0, to_finite(document["evidence"])),
        )
        version, began = to_name(document["version"]), to_finite(document["began"])
        return SavedRollout(version, began, progress)
    except (KeyError, TypeError, ValueError, OverflowError) as cause:
        _LOG.error("kept rollout ignored", extra={"pool": pool, "error": repr(cause)})
        return None
