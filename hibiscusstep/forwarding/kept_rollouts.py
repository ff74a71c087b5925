"""hibiscusstep.forwarding.kept_rollouts: how far an order came, as a kept document."""

import logging
from dataclasses import dataclass

from hibiscusstep.rollout.controller import RolloutProgress

__all__ = ["KeptRollout", "from_document", "to_document"]

_LOG = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class KeptRollout:
    """An order that was being carried out.

    Parameters
    ----------
    version : str
        To which the traffic was moving.
    began : float
        When the order was first seen, in Unix seconds.
    progress : RolloutProgress
        How far it came.
    """

    version: str
    began: float
    progress: RolloutProgress


def to_document(kept: KeptRollout) -> dict:
    """Return an order as a document."""
    return {
        "version": kept.version,
        "began": kept.began,
        "requests": kept.progress.requests,
        "exposed": kept.progress.exposed,
        "answers": kept.progress.answers,
        "evidence": kept.progress.evidence,
    }


def from_document(pool: str, document: dict | None) -> KeptRollout | None:
    """Return the order of a document; None, with a log line, if it is malformed."""
    if document is None:
        return None
    try:
        progress = RolloutProgress(
            *(max(0, int(document[key])) for key in ("requests", "exposed", "answers")),
            evidence=max(0.0, float(document["evidence"])),
        )
        version, began = str(document["version"]), float(document["began"])
        return KeptRollout(version, began, progress)
    except (KeyError, TypeError, ValueError, OverflowError) as cause:
        _LOG.error("kept rollout ignored", extra={"pool": pool, "error": repr(cause)})
        return None
