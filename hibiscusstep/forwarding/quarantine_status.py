"""hibiscusstep.forwarding.quarantine_status: quarantine status of one request."""

from functools import cached_property

from hibiscusstep.forwarding.crash_detector import InterruptedAttempt
from hibiscusstep.forwarding.incoming_request import IncomingRequest
from hibiscusstep.forwarding.model import DiscoveredTarget
from hibiscusstep.forwarding.quarantine import Quarantine

__all__ = ["QuarantineStatus"]

_TITLE = "This request is quarantined"
_DETAIL = "Targets crashed each time that they ran it, so it is sent to no other."


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

    @cached_property
    def _fingerprint(self) -> int:
        return self._incoming.fingerprint()

    @property
    def fingerprint(self) -> str:
        """Fingerprint that all attempts of the request share, in hexadecimal."""
        return f"{self._fingerprint:016x}"

    @cached_property
    def _parts(self) -> tuple[int, ...]:
        return self._incoming.part_fingerprints()

    @property
    def parts(self) -> list[str]:
        """Fingerprints of the prompt's shared parts, in hexadecimal."""
        return [f"{part:016x}" for part in self._parts]

    @property
    def is_quarantined(self) -> bool:
        """Whether the request must not be sent to any target."""
        quarantine = self._quarantine
        return not quarantine.is_empty and quarantine.is_quarantined(self._fingerprint)

    @property
    def suspect_fingerprint(self) -> int:
        """Fingerprint if any crash counts against the request, else 0."""
        quarantine = self._quarantine
        if quarantine.is_empty or not quarantine.is_suspected(self._fingerprint):
            return 0
        return self._fingerprint

    @property
    def may_retry(self) -> bool:
        """Whether the request may be retried on another target."""
        quarantine = self._quarantine
        return quarantine.is_empty or quarantine.may_retry(self._fingerprint)

    @property
    def expires_in(self) -> float:
        """Seconds until the request may be served again."""
        return self._quarantine.expires_in(self._fingerprint)

    @property
    def problem(self) -> dict[str, str]:
        """Problem fields of the response that refuses a quarantined request."""
        return {"title": _TITLE, "detail": _DETAIL, "fingerprint": self.fingerprint}

    def clear_request(self) -> None:
        """Clear the request: a target completed its response without crashing."""
        if not self._quarantine.is_empty:
            self._quarantine.clear_request(self._fingerprint)

    def record_interruption(
        self, target: DiscoveredTarget, started_at: float, before_first_event: bool
    ) -> None:
        """Have the quarantine check whether a target crashed."""
        request = self._incoming.head.request
        attempt = InterruptedAttempt(
            request, self._fingerprint, started_at, before_first_event
        )
        self._quarantine.record_interruption(target, attempt)
