"""hibiscusstep.forwarding.suspect_parts: parts of prompts under which targets crash.

Many requests share a part, so that each of them may be sent only once while the part
crashes one target after the other. A target that crashes on a part does so when it
begins to write an answer.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from hibiscusstep.forwarding.suspects import (
    EARLY_WEIGHT,
    QUARANTINE_WEIGHT,
    Suspect,
    SuspectTable,
    total_weight,
)
from hibiscusstep.peer import SuspectState

__all__ = ["SOUND_AFTER_S", "PartTable", "PartVerdict"]

# A target that streams an answer for this long does not crash on its prompt.
SOUND_AFTER_S = 0.5
# Crashes within this time count once: a power loss ends many targets at once, and
# requests with a common part run on all of them.
SAME_EVENT_S = 0.25
# Crashes count after this time only, in which answers of other requests clear the parts
# that these share with a crashing request.
SETTLE_S = 1.0
# A quarantined part is tried again after this time, and then after as long as it has
# been known to crash targets.
MIN_TRIAL_INTERVAL_S = 60.0


@dataclass(frozen=True, slots=True)
class PartVerdict:
    """Whether a request may be sent, by the parts of its prompt.

    Parameters
    ----------
    refused : int
        Fingerprint of the part for which the request is refused; 0 if it is not.
    trial : int
        Fingerprint of a quarantined part on which another one may throw light: the
        request may run, but not beside another request with the part; 0 for none.
    """

    refused: int = 0
    trial: int = 0


class PartTable(SuspectTable):
    """Parts of prompts that targets began to answer when they crashed.

    A part counts as crashing only while no answer with it that began later shows the
    contrary. Parts that came together in all crashes are equally suspect.
    """

    def record_part_crash(
        self, part: int, target: str, began: float, crashed_at: float, now: float
    ) -> SuspectState | None:
        """Record a crash of a target that had begun to answer a request with a part.

        Parameters
        ----------
        part : int
            Fingerprint of the part.
        target : str
            The target.
        began, crashed_at, now : float
            When the request was sent, when its connection ended, and the current time,
            on the event loop's clock.

        Returns
        -------
        SuspectState or None
            The part's new state, to send to peers; None if it did not change.
        """
        began = max(began, crashed_at - SAME_EVENT_S)
        return self.record_crash(
            part, target, EARLY_WEIGHT, began, now, crashed_at=crashed_at
        )

    def settled(self, now: float) -> list[Suspect]:
        """Return the quarantined parts."""
        return [suspect for suspect in self if _is_settled(suspect, now)]

    def judge(self, parts: Iterable[int], now: float) -> PartVerdict:
        """Return whether a request with these parts may be sent.

        A part is no reason to refuse a request if quarantined parts that the request
        does not have explain too many of its crashes.
        """
        held = [
            suspect
            for suspect in map(self.get, parts)
            if suspect is not None and _is_settled(suspect, now)
        ]
        if not held:
            return PartVerdict()
        explained = {
            target
            for suspect in self.settled(now)
            if suspect.fingerprint not in parts
            for target in suspect.crashes
        }
        for suspect in held:
            unexplained = suspect.crashes.keys() - explained
            crashes = [suspect.crashes[target] for target in unexplained]
            if total_weight(crashes) >= QUARANTINE_WEIGHT:
                return PartVerdict(refused=suspect.fingerprint)
        return PartVerdict(trial=held[0].fingerprint)

    def next_trial_at(self, part: int) -> float:
        """Return when a quarantined part may be tried again, on the loop's clock."""
        suspect = self.get(part)
        if suspect is None or not suspect.crashes:
            return 0.0
        first = min(crash.crashed_at for crash in suspect.crashes.values())
        last = suspect.last_crash_at
        return last + max(MIN_TRIAL_INTERVAL_S, last - first)


def _is_settled(suspect: Suspect, now: float) -> bool:
    """Whether crashes that are old enough suffice to quarantine a part."""
    if len(suspect.crashes) < QUARANTINE_WEIGHT:
        return False
    crashes = suspect.crashes.values()
    settled = [crash for crash in crashes if crash.crashed_at <= now - SETTLE_S]
    return total_weight(settled) >= QUARANTINE_WEIGHT
