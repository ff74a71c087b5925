"""hibiscusstep.forwarding.suspect_parts: parts of prompts under which targets crash.

Many requests share a part, so that each of them may be sent only once while the part
crashes one target after the other. A target that crashes on a part does so when it
begins to write an answer.
"""

from collections.abc import Collection
from dataclasses import dataclass

from hibiscusstep.forwarding.suspects import EARLY_WEIGHT, SuspectTable, total_weight
from hibiscusstep.peer import SuspectState

__all__ = ["SOUND_AFTER_S", "PartTable", "PartVerdict"]

# A target that streams an answer for this long does not crash on its prompt.
SOUND_AFTER_S = 0.5
# Crashes within this time count once: a power loss ends many targets at once, and
# requests with a common part run on all of them.
SAME_EVENT_S = 0.25
# More than for a request, which an answer clears sooner: with fewer, seldom parts of
# sound requests were refused where many targets crashed by themselves.
PART_QUARANTINE_WEIGHT = 5.0
# A quarantined part is tried again after this time, and then after as long as it has
# been known to crash targets.
MIN_TRIAL_INTERVAL_S = 30.0


@dataclass(frozen=True, slots=True)
class PartVerdict:
    """Whether a request may be sent, by the parts of its prompt.

    Parameters
    ----------
    refused : int
        Fingerprint of the part for which the request is refused; 0 if it is not.
    trial : int
        Fingerprint of a quarantined part on which the request may throw light: it may
        run, but not beside another request with the part; 0 for none.
    """

    refused: int = 0
    trial: int = 0


class PartTable(SuspectTable):
    """Parts of prompts that targets began to answer when they crashed.

    A part counts as crashing only while no answer with it that began later shows the
    contrary. Parts that came together in all crashes are equally suspect.
    """

    quarantine_weight = PART_QUARANTINE_WEIGHT
    stored_weight = PART_QUARANTINE_WEIGHT - EARLY_WEIGHT

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

    def judge(self, parts: Collection[int]) -> PartVerdict:
        """Return whether a request with these parts may be sent.

        A part is no reason to refuse a request if quarantined parts that the request
        does not have explain too many of its crashes.
        """
        held = [part for part in parts if self.is_quarantined(part)]
        if not held:
            return PartVerdict()
        explained = {
            target
            for suspect in self.quarantined
            if suspect.fingerprint not in parts
            for target in suspect.crashes
        }
        for part in held:
            crashes = self.get(part).crashes
            unexplained = [crashes[target] for target in crashes.keys() - explained]
            if total_weight(unexplained) >= self.quarantine_weight:
                return PartVerdict(refused=part)
        return PartVerdict(trial=held[0])

    def next_trial_at(self, part: int) -> float:
        """Return when a quarantined part may be tried again, on the loop's clock."""
        suspect = self.get(part)
        if suspect is None or not suspect.crashes:
            return 0.0
        first = min(crash.crashed_at for crash in suspect.crashes.values())
        last = suspect.last_crash_at
        return last + max(MIN_TRIAL_INTERVAL_S, last - first)
