"""hibiscusstep.load.rollout_result: result of an emulated rollout order."""

from dataclasses import dataclass, field

from hibiscusstep.rollout.order import RolloutState

__all__ = ["TOLERATED_BAD_ANSWERS", "RolloutResult"]

# A bad version must receive no request more than `MAX_ROLLBACK_S` after this many bad
# answers.
TOLERATED_BAD_ANSWERS = 50
MAX_ROLLBACK_S = 5.0


@dataclass(slots=True)
class RolloutResult:
    """Result of an order.

    Parameters
    ----------
    bad : bool
        Whether the version is bad.
    state : RolloutState or None
        Final state of the order; None if it did not end.
    reason : str
        Reason for the final state.
    concluded_after : float
        Seconds from the order to the status in the store; 0 if it did not end.
    requests, exposed : int
        Requests that reached targets between the order and its deadline, and those of
        them that reached the new version.
    allowed : float
        Maximum number of requests that a bad version may receive.
    bad_answers : int
        Bad answers of the new version.
    late_ms : float
        Milliseconds from its 50th bad answer to the last request to it; 0 if there are
        fewer.
    cut : int
        Requests that were running at old targets when those were stopped.
    asked, refused : int
        Requests sent by callers, and those that were refused.
    parts : list of tuple
        Seconds since the order, and the share of requests to the new version.
    """

    bad: bool
    state: RolloutState | None = None
    reason: str = ""
    concluded_after: float = 0.0
    requests: int = 0
    exposed: int = 0
    allowed: float = 0.0
    bad_answers: int = 0
    late_ms: float = 0.0
    cut: int = 0
    asked: int = 0
    refused: int = 0
    parts: list[tuple[float, float]] = field(default_factory=list)

    def findings(self, duration: float) -> list[str]:
        """Return the violated requirements."""
        found = []
        if self.bad and self.exposed > self.allowed:
            found.append("EXPOSURE")
        if self.bad and self.late_ms > 1000 * MAX_ROLLBACK_S:
            found.append("late roll-back")
        if self.bad and self.bad_answers >= TOLERATED_BAD_ANSWERS:
            if self.state is not RolloutState.ROLLED_BACK:
                found.append("bad version not rolled back")
        if not self.bad:
            if self.state is RolloutState.ROLLED_BACK:
                found.append("good version rolled back")
            elif self.state is None or self.concluded_after > duration:
                found.append("not completed in time")
        return found
