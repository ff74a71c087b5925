"""hibiscusstep.rollout.controller: carries one order out, as a pool's dispatcher."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from hibiscusstep.rollout.budget import SLACK_PART, ExposureBudget, ExposureLimits
from hibiscusstep.rollout.comparison import VersionComparison
from hibiscusstep.rollout.order import RolloutState

__all__ = ["PlannedRollout", "Rollout", "RolloutProgress"]

# A version is proved only by so many answers, whatever they say.
FEWEST_ANSWERS = 10
# After so many a dispatcher goes by what it has seen itself, not by the one before.
FEWEST_OWN_ANSWERS = 5
# With this part of the evidence that rolls a version back, seen by a dispatcher before,
# it does not get all traffic.
DOUBTFUL_EVIDENCE = 0.8
# Of a dispatcher before that had so many, it is known that they were compared.
ENOUGH_BEFORE = 20
# Requests that the canary phase saves up: a target runs full for a while, which shows
# what happens only under load. In a pool that saves them up slowly they are fewer, so
# that answers come until the end.
BURST, LEAST_BURST = 24.0, 4.0
# Requests of the canary phase at once, and so many more a second: others would not show
# a bad version sooner, they would only harm more callers.
FIRST_REQUESTS, CANARY_RATE = 24, 20.0
# Nor does all traffic for longer than this.
MOST_MOVE_S = 2.0
# The rate of requests is an average over so many seconds.
RATE_SPAN_S = 2.0
# The version gets hardly any requests before their answers can be compared with others,
# but for the last seconds: a pool may be too quiet for that.
LATE_S = 4.0
# So many targets of the version are tried at the most, and another one comes first
# after so long. The next is tried once so many requests went to the version: answers
# of a target are compared with those that it gave before.
CANARY_TARGETS = 3
REQUESTS_BEFORE_NEXT = 12
ROTATE_S = 3.0


@dataclass(frozen=True, slots=True)
class RolloutProgress:
    """How far an order has been carried out, for whoever goes on with it.

    Parameters
    ----------
    requests, exposed : int
        Requests to the pool since the order, and those of them that the version got.
    answers : int
        Answers of the version.
    is_known : bool
        Whether these are all; else some of a dispatcher that is gone are missing.
    evidence : float
        That the version is worse, 1 for as much as is needed to roll it back.
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
        To which the traffic moves.
    number : int
        Tells the order from others to the same version.
    deadline : float
        When it should be completed, on the dispatcher's clock.
    lead : float
        Seconds before that at which the completion has to be written.
    is_in_force : bool
        Whether the version is the one that serves already.
    limits : ExposureLimits
        What the version may get while it is not proved.
    progress : RolloutProgress
        What was done before this dispatcher took over.
    test : str
        Name of the sequential test that compares the versions.
    """

    version: str
    number: int
    deadline: float
    lead: float = 0.3
    is_in_force: bool = False
    limits: ExposureLimits = field(default_factory=ExposureLimits)
    progress: RolloutProgress = field(default_factory=RolloutProgress)
    test: str = "cusum"


class Rollout:
    """Decides which requests the new version gets, and what becomes of it.

    First a few of its targets get some requests (canary). Just before the deadline it
    gets all, as late and as many as the exposure limits allow should it be bad after
    all; what still runs at the other targets ends meanwhile, since they are stopped on
    completion.

    Parameters
    ----------
    planned : PlannedRollout
        The order.

    Attributes
    ----------
    comparison : VersionComparison
        Of both versions' answers.
    verdict : RolloutState or None
        What was decided.
    reason : str
        Why.
    """

    def __init__(self, planned: PlannedRollout) -> None:
        self._planned = planned
        before = planned.progress
        slack_part = SLACK_PART if before.is_known else 0.0
        self._budget = ExposureBudget(
            planned.limits, before.requests, before.exposed, slack_part
        )
        self._answers_before = before.answers
        self._exposed_before = before.exposed
        self._rate = 0.0
        self._rate_at: float | None = None
        self._requests_at_rate = before.requests
        self._open = False
        self._moves = False
        # Since when answers are compared, and for how long; None before.
        self._compared_from = math.inf
        self._compared_s: float | None = None
        self.comparison = VersionComparison(planned.test)
        self.verdict: RolloutState | None = None
        self.reason = ""

    @property
    def planned(self) -> PlannedRollout:
        """The order."""
        return self._planned

    @property
    def moves_all(self) -> bool:
        """Whether all traffic moves to the version now."""
        return self._moves and self.verdict is not RolloutState.ROLLED_BACK

    @property
    def progress(self) -> RolloutProgress:
        """What was done so far."""
        budget = self._budget
        known = self._planned.progress.is_known
        return RolloutProgress(
            budget.requests, budget.exposed, self.answers, known, self._evidence
        )

    @property
    def _evidence(self) -> float:
        """What was seen here; with too little, what was seen before."""
        if self.comparison.answers >= FEWEST_OWN_ANSWERS:
            return self.comparison.evidence
        return max(self.comparison.evidence, self._planned.progress.evidence)

    @property
    def answers(self) -> int:
        """Answers of the version, those before this dispatcher among them."""
        return self._answers_before + self.comparison.answers

    @property
    def summary(self) -> dict:
        """The state in short, for the log."""
        comparison, budget = self.comparison, self._budget
        return {
            "phase": self.verdict or ("moving" if self._moves else "canary"),
            "requests": budget.requests,
            "exposed": budget.exposed,
            "may_get": round(budget.left, 1),
            "answers": self.answers,
            "bad": comparison.bad,
            "evidence": round(comparison.evidence, 2),
            "faulty": sorted(comparison.faulty),
        }

    def replan(self, planned: PlannedRollout) -> None:
        """Take the same order as it is known now."""
        self._planned = planned

    def count(self, exposed: bool) -> None:
        """Count a request that was granted a target."""
        self._budget.count(exposed)

    def may_expose(self) -> bool:
        """Whether the version may get the next request."""
        if self.verdict is RolloutState.ROLLED_BACK:
            return False
        if self._moves:
            return True
        left = min(self._budget.canary_left, self._left_by_rate)
        if left < 1.0:
            self._open = False
        elif left >= self._burst or not self._budget.exposed:
            self._open = True
        return self._open

    @property
    def _left_by_rate(self) -> float:
        """Requests that the version may get now in the canary phase, by their rate."""
        exposed = self._budget.exposed - self._exposed_before
        if self._compared_s is None:
            return LEAST_BURST - exposed
        return FIRST_REQUESTS + CANARY_RATE * self._compared_s - exposed

    @property
    def _burst(self) -> float:
        """Requests to save up; fewer in a pool that saves them up slowly."""
        return min(BURST, max(LEAST_BURST, self._budget.exposed / 4))

    def tried(self, names: Iterable[str], now: float) -> list[str]:
        """Return the targets that are tried; the first one runs full, then the next.

        Few are tried, so that something is known of each, and in turn. One that is at
        fault by itself is replaced.
        """
        sound = sorted(name for name in names if name not in self.comparison.faulty)
        count = 1 + self._budget.exposed // REQUESTS_BEFORE_NEXT
        tried = sound[: min(count, CANARY_TARGETS)]
        shift = int(now / ROTATE_S) % len(tried) if tried else 0
        return tried[shift:] + tried[:shift]

    def tick(self, targets: int, now: float) -> None:
        """Decide what is a matter of time.

        Parameters
        ----------
        targets : int
            Targets of the version that may be used.
        now : float
            Seconds on the dispatcher's clock.
        """
        if self.verdict is not None:
            return
        if self._planned.is_in_force:
            self._conclude(RolloutState.COMPLETED, "in force already")
            return
        self._reckon_rate(now)
        if reason := self.comparison.judge(targets, now):
            self._conclude(RolloutState.ROLLED_BACK, reason)
            return
        left = self._planned.deadline - now
        self._reckon_compared(left, now)
        if not self._moves and left > self._seconds_to_move:
            return
        reason = self._why_not_proved(targets)
        self._moves = not reason
        if self._moves:
            self.comparison.begin_move(now)
        if left > self._planned.lead:
            return
        if reason:
            self._conclude(RolloutState.ROLLED_BACK, reason)
        else:
            self._conclude(RolloutState.COMPLETED, f"{self.answers} good answers")

    def _why_not_proved(self, targets: int) -> str:
        if not targets:
            return "no targets of the version"
        if self.answers < FEWEST_ANSWERS:
            return f"only {self.answers} answers"
        if doubt := self.comparison.doubt(targets):
            return f"doubtful answers: {doubt}"
        if self._evidence >= DOUBTFUL_EVIDENCE:
            return "doubtful answers"
        known_before = self._answers_before >= ENOUGH_BEFORE
        if not (known_before or self.comparison.has_compared_enough):
            return "too few answers that could be compared"
        return ""

    @property
    def _seconds_to_move(self) -> float:
        """Seconds before the deadline from which on the version may get all traffic."""
        seconds = min(MOST_MOVE_S, self._budget.seconds_of_all(self._rate))
        return max(self._planned.lead, seconds)

    def _reckon_compared(self, left: float, now: float) -> None:
        """Reckon for how long the version's answers can be compared."""
        if self.comparison.can_begin or left <= LATE_S:
            self._compared_from = min(self._compared_from, now)
            self._compared_s = now - self._compared_from

    def _reckon_rate(self, now: float) -> None:
        if self._rate_at is None:
            self._rate_at = now
        passed = now - self._rate_at
        if passed < RATE_SPAN_S:
            return
        self._rate = (self._budget.requests - self._requests_at_rate) / passed
        self._rate_at = now
        self._requests_at_rate = self._budget.requests

    def _conclude(self, verdict: RolloutState, reason: str) -> None:
        self.verdict = verdict
        self.reason = reason
