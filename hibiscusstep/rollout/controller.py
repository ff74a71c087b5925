"""hibiscusstep.rollout.controller: carries one order out, as a pool's dispatcher."""

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
# With this part of the evidence that rolls a version back, it does not get all traffic.
DOUBTFUL_EVIDENCE = 0.7
# Requests that the canary phase saves up: few targets run full for a while, which shows
# what happens only under load.
BURST = 8.0
# The rate of requests is an average over so many seconds.
RATE_SPAN_S = 2.0
# So many targets of the version are tried, and another one comes first after so long.
CANARY_TARGETS = 3
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
        self._rate = 0.0
        self._rate_at: float | None = None
        self._requests_at_rate = before.requests
        self._open = False
        self._moves = False
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
        left = self._budget.canary_left
        if left < 1.0:
            self._open = False
        elif left >= BURST or not self._budget.exposed:
            self._open = True
        return self._open

    def tried(self, names: Iterable[str], now: float) -> list[str]:
        """Return the targets that are tried; the first one runs full, then the next.

        Few are tried, so that something is known of each, and in turn. One that is at
        fault by itself is replaced.
        """
        sound = sorted(name for name in names if name not in self.comparison.faulty)
        tried = sound[:CANARY_TARGETS]
        shift = int(now / ROTATE_S) % len(tried) if tried else 0
        return tried[shift:] + tried[:shift]

    def tick(self, targets: int, old_runs: int, now: float) -> None:
        """Decide what is a matter of time.

        Parameters
        ----------
        targets : int
            Targets of the version that may be used.
        old_runs : int
            Requests that run at targets of other versions.
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
        if targets and self._is_proved:
            self._moves |= left <= self._seconds_to_move
            at_end = left <= self._planned.lead
            if self._moves and (at_end or not old_runs):
                self._conclude(RolloutState.COMPLETED, f"{self.answers} good answers")
        elif left <= self._planned.lead:
            self._conclude(RolloutState.ROLLED_BACK, self._why_not_proved(targets))

    @property
    def _is_proved(self) -> bool:
        enough = self.answers >= FEWEST_ANSWERS
        return enough and self._evidence < DOUBTFUL_EVIDENCE

    @property
    def _seconds_to_move(self) -> float:
        """Seconds before the deadline from which on the version may get all traffic."""
        return max(self._planned.lead, self._budget.seconds_of_all(self._rate))

    def _why_not_proved(self, targets: int) -> str:
        if not targets:
            return "no targets of the version"
        if self.answers < FEWEST_ANSWERS:
            return f"only {self.answers} answers"
        return "doubtful answers"

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
