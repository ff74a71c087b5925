"""hibiscusstep.problem: refusals and failures as RFC 9457 problem documents."""

import enum
import math
from dataclasses import dataclass

import orjson

__all__ = ["Outcome", "Problem"]

TYPE_PREFIX = "urn:hibiscusstep:problem:"


class Outcome(enum.StrEnum):
    """What is known about the execution of a request."""

    NOT_RUN = "not run"
    UNKNOWN = "outcome unknown"
    FAILED = "failed"


@dataclass(eq=False)
class Problem(Exception):
    """A refusal or failure, answered with a problem document.

    Parameters
    ----------
    status : int
        HTTP status.
    name : str
        Last part of the problem type's URN.
    detail : str
        One sentence for the caller.
    outcome : Outcome
        Whether the request was run, as far as known.
    retry_after : float or None
        Seconds after which a retry may succeed; None if none can.
    earlier : str
        What is known of earlier attempts with the request's key; ``""`` if not stated.
    """

    status: int
    name: str
    detail: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after: float | None = None
    earlier: str = ""

    @property
    def headers(self) -> dict[str, str]:
        """HTTP headers of the response."""
        headers = {"Content-Type": "application/problem+json"}
        if self.retry_after is not None:
            headers["Retry-After"] = str(max(1, math.ceil(self.retry_after)))
        return headers

    def body(self, request: str) -> bytes:
        """Return the problem document as JSON."""
        document = {
            "type": TYPE_PREFIX + self.name,
            "title": self.name.replace("-", " "),
            "status": self.status,
            "detail": self.detail,
            "outcome": self.outcome,
            "request": request,
        }
        if self.retry_after is not None:
            document["retry_after"] = self.retry_after
        if self.earlier:
            document["earlier_attempts"] = self.earlier
        return orjson.dumps(document)
