"""hibiscusstep.forwarding.quarantine_status: quarantine status of one request."""

import asyncio
from functools import cached_property

from hibiscusstep.forwarding.crash_detector import InterruptedAttempt
from hibiscusstep.forwarding.incoming_request import IncomingRequest
from hibiscusstep.forwarding.model import DiscoveredTarget
from hibiscusstep.forwarding.quarantine import Quarantine
from hibiscusstep.forwarding.suspects import crash_weight

__all__ = ["QuarantineStatus"]

_TITLE = "This request is quarantined"
_DETAIL = "Targets crashed each time that they ran it, so it is sent to no other."
_PART_DETAIL = "Targets crashed each time that they ran requests with this part."
# Of the Retry-After for a part, which may be tried again and found sound earlier.
MAX_PART_RETRY_AFTER_S = 60.0
MIN_PART_RETRY_AFTER_S = 1.0


class QuarantineStatus:
    """Quarantine status of one request.

    The fingerprint hashes the whole body, so it is computed only if the quarantine is
    not empty or a connection to a target ended early.

    Parameters
    ----------
    incoming : IncomingRequest
        The request.
    quarantine : Quarantine
        Quarantine shared by all instances.
    """

    def __init__(self, incoming: IncomingRequest, quarantine: Quarantine) -> None:
        self._incoming = incoming
        self._quarantine = quarantine
        self._tried_part = 0
        self._is_sound = False

    @cached_property
    def _fingerprint(self) -> int:
        return self._incoming.fingerprint()

    @cached_property
    def _shared_parts(self) -> dict[int, str]:
        return self._incoming.shared_parts()

    @property
    def fingerprint(self) -> str:
        """Fingerprint that all attempts of the request share, in hexadecimal."""
        return f"{self._fingerprint:016x}"

    @property
    def parts(self) -> list[str]:
        """Fingerprints of the prompt's shared parts, in hexadecimal."""
        return [f"{part:016x}" for part in self._shared_parts]

    @property
    def is_quarantined(self) -> bool:
        """Whether the request must not be sent to any target."""
        quarantine = self._quarantine
        if quarantine.is_empty:
            return False
        if quarantine.is_quarantined(self._fingerprint):
            return True
        return self._refusing_part not in (0, self._tried_part)

    @property
    def _refusing_part(self) -> int:
        """Part of the prompt for which the request is refused; 0 for none."""
        return self._quarantine.judge_parts(self._shared_parts).refused

    def take_trial(self) -> None:
        """Let the request run in spite of a part that is due for a trial."""
        part = 0 if self._quarantine.is_empty else self._refusing_part
        if part and self._quarantine.take_trial(part):
            self._tried_part = part

    @property
    def suspect_fingerprint(self) -> int:
        """What must not run twice at a time or beside others like it; 0 for nothing.

        The fingerprint of a quarantined part that the request tries, or its own if any
        crash counts against it.
        """
        quarantine = self._quarantine
        if quarantine.is_empty:
            return 0
        part = self._tried_part or quarantine.judge_parts(self._shared_parts).trial
        if part:
            return part
        return self._fingerprint if quarantine.is_suspected(self._fingerprint) else 0

    @property
    def may_retry(self) -> bool:
        """Whether the request may be retried on another target."""
        quarantine = self._quarantine
        if quarantine.is_empty:
            return True
        return quarantine.may_retry(self._fingerprint) and (
            self._is_sound or quarantine.may_retry_parts(self._shared_parts)
        )

    @property
    def expires_in(self) -> float:
        """Seconds until the request may be served again."""
        quarantine = self._quarantine
        if quarantine.is_quarantined(self._fingerprint):
            return quarantine.expires_in(self._fingerprint)
        seconds = quarantine.trial_in(self._refusing_part)
        return min(max(seconds, MIN_PART_RETRY_AFTER_S), MAX_PART_RETRY_AFTER_S)

    @property
    def problem(self) -> dict[str, str]:
        """Problem fields of the response that refuses a quarantined request."""
        quarantine = self._quarantine
        part = self._refusing_part
        if not part or quarantine.is_quarantined(self._fingerprint):
            fingerprint = self.fingerprint
            return {"title": _TITLE, "detail": _DETAIL, "fingerprint": fingerprint}
        return {
            "title": _TITLE,
            "detail": _PART_DETAIL,
            "fingerprint": f"{part:016x}",
            "part": self._shared_parts[part],
        }

    def begin_attempt(self) -> None:
        """Record that the request is sent to another target."""
        self._is_sound = False

    def record_answer(self, began: float) -> None:
        """Clear the request: a target completed its response without crashing.

        Parameters
        ----------
        began : float
            When the request was sent to the target, on the event loop's clock.
        """
        if not self._quarantine.is_empty:
            self._quarantine.clear_request(self._fingerprint)
            self._quarantine.clear_parts(self._shared_parts, began)

    def record_progress(self, began: float) -> None:
        """Clear the parts of the prompt: a target goes on writing an answer to it."""
        self._is_sound = True
        if not self._quarantine.is_empty:
            self._quarantine.clear_parts(self._shared_parts, began, "streaming")

    def record_interruption(
        self,
        target: DiscoveredTarget,
        started_at: float,
        seconds_since_first: float | None,
    ) -> None:
        """Have the quarantine check whether a target crashed.

        Parameters
        ----------
        target : DiscoveredTarget
            The target.
        started_at : float
            When the request was sent to it, on the event loop's clock.
        seconds_since_first : float or None
            Seconds since its first event; None if there was none.
        """
        attempt = InterruptedAttempt(
            self._incoming.head.request,
            self._fingerprint,
            started_at,
            crash_weight(seconds_since_first),
            asyncio.get_running_loop().time(),
            () if self._is_sound else tuple(self._shared_parts),
        )
        self._quarantine.record_interruption(target, attempt)
