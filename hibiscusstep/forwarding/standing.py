"""hibiscusstep.forwarding.standing: whether targets crashed under a request."""

from functools import cached_property

from hibiscusstep.forwarding.crashes import BrokenRun
from hibiscusstep.forwarding.incoming import Incoming
from hibiscusstep.forwarding.model import DiscoveredTarget
from hibiscusstep.forwarding.quarantine import Quarantine

__all__ = ["Standing"]

_TITLE = "This request is quarantined"
_DETAIL = "Targets crashed each time that they ran it, so it is sent to no other."


class Standing:
    """One request, as the quarantine knows it.

    Its fingerprint is a hash of the whole body, so it is made only where something is
    known of any request, or a target broke off.

    Parameters
    ----------
    incoming : Incoming
        The request.
    quarantine : Quarantine
        Knows which requests crash their targets.
    """

    def __init__(self, incoming: Incoming, quarantine: Quarantine) -> None:
        self._incoming = incoming
        self._quarantine = quarantine

    @cached_property
    def _number(self) -> int:
        return self._incoming.fingerprint()

    @property
    def fingerprint(self) -> str:
        """What all attempts at the request share, in hexadecimal."""
        return f"{self._number:016x}"

    @property
    def is_quarantined(self) -> bool:
        """Whether it is to be sent to no target."""
        quarantine = self._quarantine
        return not quarantine.is_empty and quarantine.holds(self._number)

    @property
    def suspect(self) -> int:
        """The fingerprint if targets crashed under the request, else 0."""
        quarantine = self._quarantine
        if quarantine.is_empty or not quarantine.is_suspected(self._number):
            return 0
        return self._number

    @property
    def may_be_repeated(self) -> bool:
        """Whether it may be sent to another target after one broke off."""
        quarantine = self._quarantine
        return quarantine.is_empty or quarantine.may_be_repeated(self._number)

    @property
    def expires_in(self) -> float:
        """Seconds until it may be served again."""
        return self._quarantine.expires_in(self._number)

    @property
    def problem(self) -> dict[str, str]:
        """What a caller is told of the quarantine."""
        return {"title": _TITLE, "detail": _DETAIL, "fingerprint": self.fingerprint}

    def answered(self) -> None:
        """Take note that a target gave the whole answer: it did not crash."""
        if not self._quarantine.is_empty:
            self._quarantine.answered(self._number)

    def broke(self, target: DiscoveredTarget, began: float, early: bool) -> None:
        """Have looked into whether a target crashed; see `BrokenRun`."""
        request = self._incoming.head.request
        run = BrokenRun(request, self._number, began, early)
        self._quarantine.broke(target, run)
