"""hibiscusstep.progress: state of a request and the problem documents it allows."""

from hibiscusstep.admission import AdmittedRequest
from hibiscusstep.configuration.models import Configuration
from hibiscusstep.events import EventKind, NullRecorder
from hibiscusstep.explain import Explainer
from hibiscusstep.grant_messages import Refused
from hibiscusstep.problem import Outcome, Problem
from hibiscusstep.routing.messages import RefusalReason

__all__ = ["Progress"]

_REFUSALS = {
    RefusalReason.LOAD: (
        503,
        "overloaded",
        "The pool cannot begin it before its deadline.",
    ),
    RefusalReason.DEADLINE: (
        503,
        "deadline",
        "It could not begin before its deadline.",
    ),
    RefusalReason.HIGHER_TIER: (503, "displaced", "Higher tiers need the whole pool."),
    RefusalReason.IMPOSSIBLE: (
        422,
        "deadline-too-short",
        "Even an idle target would begin its answer after the deadline.",
    ),
    RefusalReason.CUSTOMER_LIMIT: (
        429,
        "customer-limit",
        "Too many of your requests wait.",
    ),
    RefusalReason.NO_TARGET: (503, "no-target", "No target of the pool takes work."),
    RefusalReason.NO_VERSION: (
        503,
        "no-version",
        "No target of the pool is of a software version that may serve.",
    ),
    RefusalReason.UNAVAILABLE: (
        503,
        "unavailable",
        "Part of the system cannot be reached.",
    ),
}

_EVENT_KINDS = {
    Outcome.NOT_RUN: EventKind.REFUSED,
    Outcome.UNKNOWN: EventKind.UNKNOWN,
    Outcome.FAILED: EventKind.FAILED,
}


class Progress:
    """State of a request, from which its problem documents are made.

    Parameters
    ----------
    admitted : AdmittedRequest
        The request.
    configuration : Configuration
        The configuration in force when it was admitted.
    recorder : NullRecorder
        Records the history.
    explainer : Explainer
        Stores decisions for operators.

    Attributes
    ----------
    dispatched : bool
        Whether any byte of it may have reached a target.
    complete : bool
        Whether a complete answer was received.
    """

    def __init__(
        self,
        admitted: AdmittedRequest,
        configuration: Configuration,
        recorder: NullRecorder,
        explainer: Explainer,
    ) -> None:
        self._admitted = admitted
        self._recorder = recorder
        self._explainer = explainer
        rule = configuration.shedding_rule(admitted.tier)
        self._stoppable = admitted.route.idempotent and rule.may_be_stopped
        self.dispatched = False
        self.complete = False

    @property
    def stoppable(self) -> bool:
        """Whether it may be stopped while it runs."""
        return self._stoppable

    def record(self, kind: EventKind, **fields) -> None:
        """Record an event of the request."""
        admitted = self._admitted
        self._recorder.record(
            kind,
            request=admitted.request,
            customer=admitted.customer,
            key=admitted.key_digest.hex() if admitted.needs_claim else "",
            pool=admitted.route.pool,
            tier=admitted.tier,
            rank=admitted.rank,
            stoppable=self._stoppable,
            idempotent=admitted.route.idempotent,
            **fields,
        )

    def explain(self, what: str, **fields) -> None:
        """Store a step for operators."""
        self._explainer.add_step(
            self._admitted.request, self._admitted.customer, what, **fields
        )

    def end(self, problem: Problem) -> None:
        """Record that the request ends with a problem."""
        self.record(_EVENT_KINDS[problem.outcome], detail=problem.name)
        self.explain(problem.outcome, problem=problem.name, detail=problem.detail)

    def refused(self, refusal: Refused) -> Problem:
        """Return the problem of a refusal by the dispatcher."""
        if self._may_have_run:
            return self.unknown("It was sent to a target that gave no whole answer.")
        status, name, detail = _REFUSALS[refusal.reason]
        if self.dispatched:
            detail = f"An attempt broke off, and then: {detail}"
        after = (
            None if refusal.reason is RefusalReason.IMPOSSIBLE else refusal.retry_after
        )
        return Problem(status, name, detail, self._outcome, after)

    def stopped(self) -> Problem:
        """Return the problem of a request that was stopped for a higher tier."""
        self.record(EventKind.STOPPED)
        detail = "It was stopped for a higher tier before its answer was whole."
        return self._abandoned(503, "stopped", detail, 1.0)

    def caller_left(self) -> Problem:
        """Return the problem of a request whose caller disconnected."""
        return self._abandoned(499, "caller-left", "The caller left.", None)

    def timed_out(self) -> Problem:
        """Return the problem of an answer that took too long."""
        return self._abandoned(504, "answer-timeout", "The answer took too long.", 1.0)

    def failed(self, detail: str) -> Problem:
        """Return the problem of targets that gave no complete answer."""
        if self._may_have_run:
            return self.unknown(detail)
        return Problem(502, "target-failed", detail, self._outcome, 1.0)

    def unknown(self, detail: str) -> Problem:
        """Return the problem of an unknown outcome."""
        return Problem(502, "outcome-unknown", detail, Outcome.UNKNOWN)

    def internal(self) -> Problem:
        """Return the problem of an internal error."""
        detail = "An error of the scheduler itself; it is in its log."
        outcome = Outcome.UNKNOWN if self._may_have_run else self._outcome
        after = None if self.dispatched else 1.0
        return Problem(500, "internal", detail, outcome, after)

    @property
    def _outcome(self) -> Outcome:
        return Outcome.FAILED if self.dispatched else Outcome.NOT_RUN

    @property
    def _may_have_run(self) -> bool:
        """Whether it may have run and may not run twice."""
        return self.dispatched and not self._admitted.route.idempotent

    def _abandoned(self, status: int, name: str, detail: str, after) -> Problem:
        if self._may_have_run:
            return self.unknown("It was sent to a target and then given up.")
        return Problem(status, name, detail, self._outcome, after)
