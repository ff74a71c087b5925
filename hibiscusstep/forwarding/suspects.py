"""hibiscusstep.forwarding.suspects: requests under which targets crashed."""

import bisect
from collections.abc import Iterable
from dataclasses import dataclass, field

from hibiscusstep.peer import SuspectState

__all__ = ["EARLY_WEIGHT", "KEEP_S", "LATE_WEIGHT", "Suspect", "SuspectTable"]

# A target that crashes before a request's first event crashed under it more likely
# than under those which had been running for a while.
EARLY_WEIGHT = 1.0
LATE_WEIGHT = 0.5
# From this weight on a request is quarantined: one that stood beside a crash by chance
# has been answered elsewhere before it stands beside a third.
QUARANTINE_WEIGHT = 3.0
# From this weight on an instance does not repeat a request by itself.
REPEAT_WEIGHT = 2.0
# What instances tell each other takes so long: a run that began so much before another
# one's end still followed it.
TRANSIT_S = 0.02
# A crash counts for so long. One that is quarantined wrongly is served again after it;
# one that is rightly crashes a few targets in that time.
KEEP_S = 900.0
# That a request was cleared is remembered for so long: an instance that did not hear of
# it, behind a cut, must not bring the crashes back.
KEEP_CLEARED_S = 120.0
MAX_SUSPECTS = 1024
# What is told again now and then stays small however many targets crash.
RECENT_S = 15.0
MAX_RECENT = 32
MAX_CRASHES = 16


@dataclass(frozen=True, slots=True)
class _Crash:
    """A target's crash under a request.

    Parameters
    ----------
    weight : float
        How much it counts.
    began, at : float
        When the request was sent there, and the crash, on the loop's clock.
    """

    weight: float
    began: float
    at: float


@dataclass(slots=True, eq=False)
class Suspect:
    """A request under which targets crashed.

    Parameters
    ----------
    fingerprint : int
        What all attempts at it share.
    crashes : dict of str to _Crash
        By target; an incarnation crashes once.
    cleared : dict of str to None
        Targets whose crash does not count any more since it was answered, in order.
    cleared_at : float
        When it last was, on the loop's clock.
    """

    fingerprint: int
    crashes: dict[str, _Crash] = field(default_factory=dict)
    cleared: dict[str, None] = field(default_factory=dict)
    cleared_at: float = 0.0

    @property
    def weight(self) -> float:
        """The most that crashes weigh whose runs followed one another.

        Of runs beside each other one counts: what ends many targets at once, as a loss
        of power, says nothing of a request that ran on several of them.
        """
        crashes = sorted(self.crashes.values(), key=lambda crash: crash.at)
        ends = [crash.at for crash in crashes]
        # The most that the first so many of them weigh.
        most = [0.0]
        for crash in crashes:
            before = bisect.bisect_right(
                ends, crash.began + TRANSIT_S, hi=len(most) - 1
            )
            most.append(max(most[-1], most[before] + crash.weight))
        return most[-1]

    @property
    def newest(self) -> float:
        """When the last target crashed under it, on the loop's clock."""
        return max((crash.at for crash in self.crashes.values()), default=0.0)

    def add(self, target: str, crash: _Crash) -> bool:
        """Count a crash; whether it was new or weighs more than it did."""
        known = self.crashes.get(target)
        if target in self.cleared or (known and known.weight >= crash.weight):
            return False
        self.crashes[target] = crash
        while len(self.crashes) > MAX_CRASHES:
            del self.crashes[min(self.crashes, key=lambda t: self.crashes[t].at)]
        return True

    def clear(self, targets: Iterable[str], now: float) -> bool:
        """Count the crashes of some targets no more; whether any was not cleared."""
        new = [target for target in targets if target not in self.cleared]
        if new:
            self.cleared_at = now
        for target in new:
            self.crashes.pop(target, None)
            self.cleared[target] = None
        while len(self.cleared) > MAX_CRASHES:
            del self.cleared[next(iter(self.cleared))]
        return bool(new)


class SuspectTable:
    """What is known of requests under which targets crashed, here and elsewhere.

    What is known only grows: crashes by target, and targets of whose crash a request
    is cleared. So it does not matter who tells it, how often and in which order, and
    parts of a region that did not hear each other agree once they do. All instances
    must know it: a caller comes again at any of them, and each that learnt it by itself
    would cost three targets more.

    An answer clears a request everywhere. Without that, requests that come often and
    stood beside a crash now and then were refused in the end.
    """

    def __init__(self) -> None:
        self._suspects: dict[int, Suspect] = {}

    def __len__(self) -> int:
        """Return how many requests are known, cleared ones too."""
        return len(self._suspects)

    @property
    def quarantined(self) -> list[Suspect]:
        """Those that are sent to no target."""
        found = self._suspects.values()
        return [s for s in found if s.weight >= QUARANTINE_WEIGHT]

    @property
    def suspected(self) -> list[Suspect]:
        """Those that some crash counts against."""
        return [suspect for suspect in self._suspects.values() if suspect.crashes]

    def is_suspected(self, fingerprint: int) -> bool:
        """Whether some crash counts against a request."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and bool(suspect.crashes)

    def is_quarantined(self, fingerprint: int) -> bool:
        """Whether a request is to be sent to no target."""
        return self._weight(fingerprint) >= QUARANTINE_WEIGHT

    def may_be_repeated(self, fingerprint: int) -> bool:
        """Whether an instance may send a request to another target by itself."""
        return self._weight(fingerprint) < REPEAT_WEIGHT

    def _weight(self, fingerprint: int) -> float:
        suspect = self._suspects.get(fingerprint)
        return suspect.weight if suspect else 0.0

    def weights(self, fingerprint: int) -> dict[str, float]:
        """Return how much each target's crash counts against a request."""
        suspect = self._suspects.get(fingerprint)
        crashes = suspect.crashes if suspect else {}
        return {target: crash.weight for target, crash in crashes.items()}

    def expires_in(self, fingerprint: int, now: float) -> float:
        """Return the seconds until the crashes under a request count no more."""
        suspect = self._suspects.get(fingerprint)
        return max(0.0, suspect.newest + KEEP_S - now) if suspect else 0.0

    def crashed(
        self, fingerprint: int, target: str, weight: float, began: float, now: float
    ) -> SuspectState | None:
        """Count a target's crash under a request that was sent there at `began`.

        Returns
        -------
        SuspectState or None
            What the others are to be told; None if nothing is new.
        """
        suspect = self._suspect(fingerprint)
        changed = suspect.add(target, _Crash(weight, began, now))
        return self.state(suspect, now) if changed else None

    def answered(self, fingerprint: int, now: float) -> SuspectState | None:
        """Clear a request that a target answered; see `crashed`."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.clear(list(suspect.crashes), now):
            return None
        return self.state(suspect, now)

    def take(self, state: SuspectState, now: float) -> bool:
        """Take what another instance knows of a request; whether it was new."""
        suspect = self._suspect(state.fingerprint)
        changed = suspect.clear(state.cleared, now)
        rows = zip(state.targets, state.weights, state.spans, state.ages, strict=True)
        for target, weight, span, age in rows:
            if 0 <= age < KEEP_S:
                at = now - age
                changed |= suspect.add(target, _Crash(weight, at - span, at))
        if not suspect.crashes and not suspect.cleared:
            del self._suspects[state.fingerprint]
        return changed

    def states(self, now: float) -> list[SuspectState]:
        """Return all that is known, as others are told."""
        return [self.state(suspect, now) for suspect in self._suspects.values()]

    def recent(self, now: float) -> list[SuspectState]:
        """Return what is quarantined, and the newest of what changed lately."""
        held = self.quarantined
        changed = [
            suspect
            for suspect in self._suspects.values()
            if now - max(suspect.newest, suspect.cleared_at) < RECENT_S
            and suspect not in held
        ]
        newest = sorted(changed, key=lambda s: max(s.newest, s.cleared_at))
        return [self.state(s, now) for s in (*held, *newest[-MAX_RECENT:])]

    def state(self, suspect: Suspect, now: float) -> SuspectState:
        """Return what is known of a request, as others are told."""
        return SuspectState(
            suspect.fingerprint,
            list(suspect.crashes),
            [crash.weight for crash in suspect.crashes.values()],
            [crash.at - crash.began for crash in suspect.crashes.values()],
            [now - crash.at for crash in suspect.crashes.values()],
            list(suspect.cleared),
        )

    def forget_old(self, now: float) -> None:
        """Drop crashes that count no more, and requests of which nothing is left."""
        for suspect in list(self._suspects.values()):
            suspect.crashes = {
                target: crash
                for target, crash in suspect.crashes.items()
                if now - crash.at < KEEP_S
            }
            if not suspect.crashes and now - suspect.cleared_at >= KEEP_CLEARED_S:
                del self._suspects[suspect.fingerprint]

    def _suspect(self, fingerprint: int) -> Suspect:
        if fingerprint not in self._suspects:
            if len(self._suspects) >= MAX_SUSPECTS:
                least = min(self._suspects.values(), key=_importance)
                del self._suspects[least.fingerprint]
            self._suspects[fingerprint] = Suspect(fingerprint)
        return self._suspects[fingerprint]


def _importance(suspect: Suspect) -> tuple[int, float]:
    """Order what may be forgotten first: little evidence, then old evidence."""
    return len(suspect.crashes), suspect.newest
