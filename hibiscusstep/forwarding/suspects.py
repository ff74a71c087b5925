"""hibiscusstep.forwarding.suspects: requests that were running when targets crashed."""

import bisect
import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from hibiscusstep.peer import SuspectState

__all__ = [
    "CRASH_LIFETIME_S",
    "EARLY_WEIGHT",
    "LATE_WEIGHT",
    "Crash",
    "Suspect",
    "SuspectTable",
    "WITH_EVENT_S",
    "WITH_EVENT_WEIGHT",
    "crash_weight",
    "total_weight",
]

# A target that crashes before a request's first event was more likely crashed by that
# request than by those that had been running for a while.
EARLY_WEIGHT = 1.0
LATE_WEIGHT = 0.5
# The same for a crash with the first event, which the end of the connection follows
# within this time.
WITH_EVENT_WEIGHT = 0.75
WITH_EVENT_S = 0.1
# Crashes with the first event in runs that overlap others count for this much more
# each, up to a number: at a power loss seldom several runs of a request just began.
BESIDE_WEIGHT = WITH_EVENT_WEIGHT / 2
MAX_BESIDE = 2
# A request is quarantined from this weight on. One that ran beside two crashes by
# chance has usually been answered elsewhere before it runs beside a third.
QUARANTINE_WEIGHT = 3.0
# From this weight on an instance does not retry a request itself; callers still may.
RETRY_LIMIT_WEIGHT = 2.0
# Delay of messages between instances: a run that started up to this long before another
# one's end still counts as following it.
MESSAGE_DELAY_S = 0.02
# How long a crash counts. A request that is quarantined wrongly is served again after
# this time; one that is quarantined rightly can crash a few targets per period.
CRASH_LIFETIME_S = 900.0
# How long a cleared request is remembered, so that an instance that missed the clearing
# in a network partition does not bring the crashes back.
CLEARED_LIFETIME_S = 120.0
MAX_SUSPECTS = 1024
# These bound the states that are sent periodically, however many targets crash.
RECENT_S = 15.0
MAX_RECENT = 32
MAX_CRASHES_PER_REQUEST = 16


@dataclass(frozen=True, slots=True)
class Crash:
    """A target's crash while it ran a request.

    Parameters
    ----------
    weight : float
        How much the crash counts against the request.
    started_at, crashed_at : float
        When the request was sent to the target and when the target crashed, on the
        event loop's clock.
    """

    weight: float
    started_at: float
    crashed_at: float


def crash_weight(seconds_since_first: float | None) -> float:
    """Return how much a crash counts against a request that the target ran.

    Parameters
    ----------
    seconds_since_first : float or None
        Seconds from the first event of its response to the crash; None if there was
        no event.
    """
    if seconds_since_first is None:
        return EARLY_WEIGHT
    return WITH_EVENT_WEIGHT if seconds_since_first < WITH_EVENT_S else LATE_WEIGHT


def total_weight(crashes: Collection[Crash]) -> float:
    """Return the total weight of crashes.

    Of overlapping runs only one counts: an event that ends many targets at once, such
    as a power loss, is no evidence against a request that ran on several. Runs that
    each ended with their first event are an exception.
    """
    with_event = [crash for crash in crashes if crash.weight == WITH_EVENT_WEIGHT]
    in_sequence = round(_weight_in_sequence(with_event) / WITH_EVENT_WEIGHT)
    beside = min(len(with_event) - in_sequence, MAX_BESIDE)
    return _weight_in_sequence(crashes) + beside * BESIDE_WEIGHT


def _weight_in_sequence(crashes: Iterable[Crash]) -> float:
    """Return the largest total weight of crashes whose runs did not overlap."""
    crashes = sorted(crashes, key=lambda crash: crash.crashed_at)
    ends = [crash.crashed_at for crash in crashes]
    # Element i: the largest total weight among the first i crashes.
    best = [0.0]
    for crash in crashes:
        before = bisect.bisect_right(
            ends, crash.started_at + MESSAGE_DELAY_S, hi=len(best) - 1
        )
        best.append(max(best[-1], best[before] + crash.weight))
    return best[-1]


@dataclass(slots=True, eq=False)
class Suspect:
    """A request that was running when targets crashed.

    Parameters
    ----------
    fingerprint : int
        Fingerprint that all attempts of the request share.
    crashes : dict of str to Crash
        Crashes by target; an incarnation of a target crashes once.
    cleared : dict of str to None
        Targets whose crash no longer counts, in the order in which they were cleared.
    cleared_at : float
        When the request was last cleared, on the event loop's clock.
    """

    fingerprint: int
    crashes: dict[str, Crash] = field(default_factory=dict)
    cleared: dict[str, None] = field(default_factory=dict)
    cleared_at: float = 0.0

    @property
    def weight(self) -> float:
        """Total weight of its crashes."""
        return total_weight(self.crashes.values())

    @property
    def last_crash_at(self) -> float:
        """When the latest crash was, on the event loop's clock; 0 without crashes."""
        return max((crash.crashed_at for crash in self.crashes.values()), default=0.0)

    def expires_in(self, now: float) -> float:
        """Return the seconds until no crash counts any more."""
        return max(0.0, self.last_crash_at + CRASH_LIFETIME_S - now)

    def add_crash(self, target: str, crash: Crash) -> bool:
        """Add a crash and return whether it is new or weighs more than before."""
        previous = self.crashes.get(target)
        if target in self.cleared or (previous and previous.weight >= crash.weight):
            return False
        self.crashes[target] = crash
        while len(self.crashes) > MAX_CRASHES_PER_REQUEST:
            del self.crashes[
                min(self.crashes, key=lambda t: self.crashes[t].crashed_at)
            ]
        return True

    def targets_before(self, began: float) -> list[str]:
        """Return the targets whose crash was of a run that began before a time."""
        return [t for t, crash in self.crashes.items() if crash.started_at < began]

    def clear(self, targets: Iterable[str], now: float) -> bool:
        """Clear the crashes of some targets and return whether any was new."""
        new = [target for target in targets if target not in self.cleared]
        if new:
            self.cleared_at = now
        for target in new:
            self.crashes.pop(target, None)
            self.cleared[target] = None
        while len(self.cleared) > MAX_CRASHES_PER_REQUEST:
            del self.cleared[next(iter(self.cleared))]
        return bool(new)


class SuspectTable:
    """Requests that were running when targets crashed, as seen by all instances.

    Each state only grows: crashes by target, and targets whose crash is cleared. States
    can therefore be merged from any sender, repeatedly and in any order, and the sides
    of a network partition converge after it. All instances need the states: a caller
    can retry at any instance, and each instance that had to observe the crashes itself
    would cost three more targets.

    An answer clears a request at all instances. Without that, frequent requests that
    occasionally ran beside a crash were eventually refused.

    Attributes
    ----------
    quarantine_weight : float
        Total weight of crashes from which on a request is sent to no target.
    stored_weight : float
        Total weight from which on a request is stored. One that ran beside a single
        crash has usually been answered a moment later.
    """

    quarantine_weight = QUARANTINE_WEIGHT
    stored_weight = QUARANTINE_WEIGHT - EARLY_WEIGHT

    def __init__(self) -> None:
        self._suspects: dict[int, Suspect] = {}

    def __len__(self) -> int:
        """Return the number of known requests, including cleared ones."""
        return len(self._suspects)

    @property
    def quarantined(self) -> list[Suspect]:
        """Quarantined requests, which are not sent to any target."""
        suspects = self._suspects.values()
        return [s for s in suspects if s.weight >= self.quarantine_weight]

    @property
    def to_store(self) -> list[Suspect]:
        """Requests that a restart of all instances must not make unknown."""
        suspects = self._suspects.values()
        return [s for s in suspects if s.weight >= self.stored_weight]

    @property
    def suspected(self) -> list[Suspect]:
        """Requests with at least one crash counted against them."""
        return [suspect for suspect in self._suspects.values() if suspect.crashes]

    def get(self, fingerprint: int) -> Suspect | None:
        """Return a known request, or None."""
        return self._suspects.get(fingerprint)

    def is_suspected(self, fingerprint: int) -> bool:
        """Return whether any crash counts against a request."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and bool(suspect.crashes)

    def is_quarantined(self, fingerprint: int) -> bool:
        """Return whether a request must not be sent to any target."""
        return self._weight(fingerprint) >= self.quarantine_weight

    def may_retry(self, fingerprint: int) -> bool:
        """Return whether an instance may retry a request on another target."""
        return self._weight(fingerprint) < RETRY_LIMIT_WEIGHT

    def _weight(self, fingerprint: int) -> float:
        suspect = self._suspects.get(fingerprint)
        return suspect.weight if suspect else 0.0

    def weights(self, fingerprint: int) -> dict[str, float]:
        """Return the weight of each crash that counts against a request, by target."""
        suspect = self._suspects.get(fingerprint)
        crashes = suspect.crashes if suspect else {}
        return {target: crash.weight for target, crash in crashes.items()}

    def expires_in(self, fingerprint: int, now: float) -> float:
        """Return the seconds until no crash counts against a request any more."""
        suspect = self._suspects.get(fingerprint)
        return suspect.expires_in(now) if suspect else 0.0

    def record_crash(
        self,
        fingerprint: int,
        target: str,
        weight: float,
        began: float,
        now: float,
        *,
        crashed_at: float | None = None,
    ) -> SuspectState | None:
        """Record a target's crash while it ran a request sent to it at `began`.

        It crashed now unless `crashed_at` is given.

        Returns
        -------
        SuspectState or None
            The request's new state, to send to peers; None if it did not change.
        """
        suspect = self._get_or_create(fingerprint)
        at = now if crashed_at is None else crashed_at
        changed = suspect.add_crash(target, Crash(weight, began, at))
        return self.state(suspect, now) if changed else None

    def clear_request(
        self, fingerprint: int, now: float, began: float = math.inf
    ) -> SuspectState | None:
        """Clear a request that a target answered; see `record_crash`.

        Crashes of runs that began at `began` or later still count.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.clear(suspect.targets_before(began), now):
            return None
        return self.state(suspect, now)

    def merge(self, state: SuspectState, now: float) -> bool:
        """Merge a peer's state of a request and return whether it added anything."""
        suspect = self._get_or_create(state.fingerprint)
        changed = suspect.clear(state.cleared, now)
        rows = zip(state.targets, state.weights, state.spans, state.ages, strict=True)
        for target, weight, span, age in rows:
            if 0 <= age < CRASH_LIFETIME_S:
                at = now - age
                changed |= suspect.add_crash(target, Crash(weight, at - span, at))
        if not suspect.crashes and not suspect.cleared:
            del self._suspects[state.fingerprint]
        return changed

    def all_states(self, now: float) -> list[SuspectState]:
        """Return the states of all known requests, as sent to peers."""
        return [self.state(suspect, now) for suspect in self._suspects.values()]

    def recent_states(self, now: float) -> list[SuspectState]:
        """Return the quarantined requests and the most recently changed others."""
        quarantined_suspects = self.quarantined
        changed = [
            suspect
            for suspect in self._suspects.values()
            if now - max(suspect.last_crash_at, suspect.cleared_at) < RECENT_S
            and suspect not in quarantined_suspects
        ]
        newest = sorted(changed, key=lambda s: max(s.last_crash_at, s.cleared_at))
        return [
            self.state(s, now) for s in (*quarantined_suspects, *newest[-MAX_RECENT:])
        ]

    def state(self, suspect: Suspect, now: float) -> SuspectState:
        """Return the state of a request, as sent to peers."""
        return SuspectState(
            suspect.fingerprint,
            list(suspect.crashes),
            [crash.weight for crash in suspect.crashes.values()],
            [crash.crashed_at - crash.started_at for crash in suspect.crashes.values()],
            [now - crash.crashed_at for crash in suspect.crashes.values()],
            list(suspect.cleared),
        )

    def forget_old(self, now: float) -> None:
        """Drop expired crashes and requests that have no state left."""
        for suspect in list(self._suspects.values()):
            suspect.crashes = {
                target: crash
                for target, crash in suspect.crashes.items()
                if now - crash.crashed_at < CRASH_LIFETIME_S
            }
            if not suspect.crashes and now - suspect.cleared_at >= CLEARED_LIFETIME_S:
                del self._suspects[suspect.fingerprint]

    def _get_or_create(self, fingerprint: int) -> Suspect:
        if fingerprint not in self._suspects:
            if len(self._suspects) >= MAX_SUSPECTS:
                evicted = min(self._suspects.values(), key=_eviction_key)
                del self._suspects[evicted.fingerprint]
            self._suspects[fingerprint] = Suspect(fingerprint)
        return self._suspects[fingerprint]


def _eviction_key(suspect: Suspect) -> tuple[int, float]:
    """Return the sort key for eviction: few crashes first, then old crashes."""
    return len(suspect.crashes), suspect.last_crash_at
