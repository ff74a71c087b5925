"""hibiscusstep.rollout.controller: execution of a rollout order by a dispatcher."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from hibiscusstep.rollout.budget import SLACK_SHARE, ExposureBudget, ExposureLimits
from hibiscusstep.rollout.comparison import VersionComparison
from hibiscusstep.rollout.order import RolloutState

__all__ = ["PlannedRollout", "Rollout", "RolloutProgress"]

# Minimum number of answers of the new version before it is completed.
MIN_ANSWERS = 10
# With this many own answers a dispatcher relies on its own evidence instead of that of
# the previous dispatcher.
MIN_OWN_ANSWERS = 5
# A version with this part of the evidence that rejects it does not receive all traffic.
SUSPICIOUS_EVIDENCE = 0.8
# If previous dispatchers had this many answers, enough of them were compared.
MIN_PREVIOUS_ANSWERS = 20
# Budget, in requests, that the canary phase saves up before it sends any: a burst fills
# a target, which reveals faults that occur only under load. Where the budget grows
# slowly, bursts are smaller, so that answers arrive until the end.
MAX_BURST, MIN_BURST = 24.0, 4.0
# Canary requests at the start, and additional ones per second. More would not reveal a
# bad version sooner but only affect more callers.
INITIAL_CANARY_REQUESTS, CANARY_REQUESTS_PER_S = 24, 20.0
# Maximum seconds of full traffic before the deadline. Longer full traffic would not
# reveal a bad version sooner but only affect more callers.
MAX_FULL_TRAFFIC_S = 2.0
# Seconds over which the request rate is averaged.
RATE_WINDOW_S = 2.0
# The new version receives hardly any requests before there are enough answers of the
# current one to compare with, except in these last seconds: a quiet pool may never have
# enough.
FINAL_CANARY_S = 4.0
# Maximum number of canary targets; every CANARY_ROTATION_S another one comes first.
# Each further one is used after this many requests to the version, since the answers of
# a target are compared with its own earlier ones.
MAX_CANARY_TARGETS = 3
REQUESTS_PER_CANARY_TARGET = 12
CANARY_ROTATION_S = 3.0


@dataclass(frozen=True, slots=True)
class RolloutProgress:
    """Progress of an order, for the dispatcher that continues it.

    Parameters
    ----------
    requests, exposed : int
        Requests to the pool since the order, and those of them sent to the new version.
    answers : int
        Answers of the new version.
    is_known : bool
        Whether the counts are complete; otherwise some of a previous dispatcher are
        missing.
    evidence : float
        Evidence that the new version is worse; at 1 it is rejected.
    """

    requests: int = 0
    exposed: int = 0
    answers: int = 0
    is_known: bool = True
    evidence: float = 0.0


@dataclass(frozen=True, slots=True)
class PlannedRollout:
    """An order that a dispatcher is to carry out.

    Parameters
    ----------
    version : str
        The version that is to receive all traffic.
    number : int
        Identifies the order among those to the same version.
    deadline : float
        Time by which it is to be completed, on the dispatcher's clock.
    lead_s : float
        Seconds before the deadline at which the completion has to be written.
    is_current : bool
        Whether the version is already the current one.
    limits : ExposureLimits
        Limits on the requests to the version while it is not proven.
    progress : RolloutProgress
        Progress before this dispatcher took over.
    test : str
        Name of the sequential test that compares the versions.
    """

    version: str
    number: int
    deadline: float
    lead_s: float = 0.3
    is_current: bool = False
    limits: ExposureLimits = field(default_factory=ExposureLimits)
    progress: RolloutProgress = field(default_factory=RolloutProgress)
    test: str = "cusum"


class Rollout:
    """Decides which requests the new version receives and how the order ends.

    In the canary phase a few of its targets receive some requests. Just before the
    deadline it receives all traffic, as late as needed for the exposure limits to hold
    even if the version turns out to be bad. Meanwhile the requests at the other targets
    end, since those targets are stopped on completion.

    Parameters
    ----------
    planned : PlannedRollout
        The order.

    Attributes
    ----------
    comparison : VersionComparison
        Comparison of both versions' answers.
    verdict : RolloutState or None
        Final state of the order; None while it is undecided.
    reason : str
        Reason for the verdict.
    """

    def __init__(self, planned: PlannedRollout) -> None:
        self._planned = planned
        before = planned.progress
        slack_share = SLACK_SHARE if before.is_known else 0.0
        self._budget = ExposureBudget(
            planned.limits, before.requests, before.exposed, slack_share
        )
        self._answers_before = before.answers
        self._exposed_before = before.exposed
        self._rate = 0.0
        self._rate_at: float | None = None
        self._requests_at_rate = before.requests
        self._canary_open = False
        self._full_traffic = False
        # Since when, and for how many seconds, answers have been comparable; None if
        # they are not yet.
        self._comparable_since = math.inf
        self._comparable_s: float | None = None
        self.comparison = VersionComparison(planned.test)
        self.verdict: RolloutState | None = None
        self.reason = ""

    @property
    def planned(self) -> PlannedRollout:
        """The order."""
        return self._planned

    @property
    def sends_all_traffic(self) -> bool:
        """Whether the new version receives all traffic now."""
        return self._full_traffic and self.verdict is not RolloutState.ROLLED_BACK

    @property
    def progress(self) -> RolloutProgress:
        """The progress so far, including that of previous dispatchers."""
        budget = self._budget
        known = self._planned.progress.is_known
        return RolloutProgress(
            budget.requests, budget.exposed, self.answers, known, self._evidence
        )

    @property
    def _evidence(self) -> float:
        """Own evidence; with too few answers, also that of previous dispatchers."""
        if self.comparison.answers >= MIN_OWN_ANSWERS:
            return self.comparison.evidence
        return max(self.comparison.evidence, self._planned.progress.evidence)

    @property
    def answers(self) -> int:
        """Answers of the new version, including those to previous dispatchers."""
        return self._answers_before + self.comparison.answers

    @property
    def summary(self) -> dict:
        """Summary of the state, for the log."""
        comparison, budget = self.comparison, self._budget
        return {
            "phase": self.verdict or ("moving" if self._full_traffic else "canary"),
            "requests": budget.requests,
            "exposed": budget.exposed,
            "may_get": round(budget.remaining, 1),
            "answers": self.answers,
            "bad": comparison.bad,
            "evidence": round(comparison.evidence, 2),
            "faulty": sorted(comparison.faulty_targets),
        }

    def update_order(self, planned: PlannedRollout) -> None:
        """Update the data of the same order."""
        self._planned = planned

    def count_request(self, exposed: bool) -> None:
        """Count a request that was granted a target."""
        self._budget.count_request(exposed)

    def may_expose(self) -> bool:
        """Whether the new version may receive the next request."""
        if self.verdict is RolloutState.ROLLED_BACK:
            return False
        if self._full_traffic:
            return True
        remaining = min(self._budget.canary_remaining, self._remaining_by_rate)
        if remaining < 1.0:
            self._canary_open = False
        elif remaining >= self._burst or not self._budget.exposed:
            self._canary_open = True
        return self._canary_open

    @property
    def _remaining_by_rate(self) -> float:
        """Canary requests that the rate limit permits now."""
        exposed = self._budget.exposed - self._exposed_before
        if self._comparable_s is None:
            return MIN_BURST - exposed
        return (
            INITIAL_CANARY_REQUESTS
            + CANARY_REQUESTS_PER_S * self._comparable_s
            - exposed
        )

    @property
    def _burst(self) -> float:
        """Requests to save up; fewer in a pool that saves them up slowly."""
        return min(MAX_BURST, max(MIN_BURST, self._budget.exposed / 4))

    def canary_targets(self, names: Iterable[str], now: float) -> list[str]:
        """Return the canary targets in order of preference.

        The first one is filled before the next one is used. Only a few are used, in
        rotation, so that each has enough answers. Faulty targets are replaced.
        """
        faultless = sorted(
            name for name in names if name not in self.comparison.faulty_targets
        )
        count = 1 + self._budget.exposed // REQUESTS_PER_CANARY_TARGET
        canaries = faultless[: min(count, MAX_CANARY_TARGETS)]
        shift = int(now / CANARY_ROTATION_S) % len(canaries) if canaries else 0
        return canaries[shift:] + canaries[:shift]

    def tick(self, targets: int, now: float) -> None:
        """Make the decisions that depend on time.

        Parameters
        ----------
        targets : int
            Number of usable targets of the new version.
        now : float
            Seconds on the dispatcher's clock.
        """
        if self.verdict is not None:
            return
        if self._planned.is_current:
            self._conclude(RolloutState.COMPLETED, "already the current version")
            return
        self._update_rate(now)
        if reason := self.comparison.rejection_reason(targets, now):
            self._conclude(RolloutState.ROLLED_BACK, reason)
            return
        left = self._planned.deadline - now
        self._update_comparable(left, now)
        if not self._full_traffic and left > self._full_traffic_s:
            return
        reason = self._why_not_proven(targets)
        self._full_traffic = not reason
        if self._full_traffic:
            self.comparison.begin_full_traffic(now)
        if left > self._planned.lead_s:
            return
        if reason:
            self._conclude(RolloutState.ROLLED_BACK, reason)
        else:
            self._conclude(RolloutState.COMPLETED, f"{self.answers} good answers")

    def _why_not_proven(self, targets: int) -> str:
        if not targets:
            return "no targets of the version"
        if self.answers < MIN_ANSWERS:
            return f"only {self.answers} answers"
        if suspicion := self.comparison.suspicion(targets):
            return f"suspicious answers: {suspicion}"
        if self._evidence >= SUSPICIOUS_EVIDENCE:
            return "suspicious answers"
        known_before = self._answers_before >= MIN_PREVIOUS_ANSWERS
        if not (known_before or self.comparison.has_enough_answers):
            return "too few answers that could be compared"
        return ""

    @property
    def _full_traffic_s(self) -> float:
        """Seconds before the deadline at which full traffic may begin."""
        seconds = min(MAX_FULL_TRAFFIC_S, self._budget.full_traffic_seconds(self._rate))
        return max(self._planned.lead_s, seconds)

    def _update_comparable(self, left: float, now: float) -> None:
        """Update for how long the new version's answers have been comparable."""
        if self.comparison.has_baseline or left <= FINAL_CANARY_S:
            self._comparable_since = min(self._comparable_since, now)
            self._comparable_s = now - self._comparable_since

    def _update_rate(self, now: float) -> None:
        if self._rate_at is None:
            self._rate_at = now
        passed = now - self._rate_at
        if passed < RATE_WINDOW_S:
            return
        self._rate = (self._budget.requests - self._requests_at_rate) / passed
        self._rate_at = now
        self._requests_at_rate = self._budget.requests

    def _conclude(self, verdict: RolloutState, reason: str) -> None:
        self.verdict = verdict
        self.reason = reason
