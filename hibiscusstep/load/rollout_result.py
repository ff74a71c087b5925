"""hibiscusstep.load.rollout_result: what came of an emulated order."""

from dataclasses import dataclass, field

from hibiscusstep.rollout.order import RolloutState

__all__ = ["BAD_ANSWERS", "RolloutResult"]

# A version that was taken back gets nothing later than this after its last bad answer
# that is tolerated.
BAD_ANSWERS = 50
ROLLBACK_S = 5.0


@dataclass(slots=True)
class RolloutResult:
    """What came of an order.

    Parameters
    ----------
    bad : bool
        Whether the version is bad.
    state : RolloutState or None
        How it ended; None if it did not.
    reason : str
        Why.
    concluded_after : float
        Seconds from the order to the status in the store; 0 if it did not end.
    requests, exposed : int
        That reached targets between the order and its deadline, and those of them that
        reached the version.
    allowed : float
        Most that a bad version may get.
    bad_answers : int
        Bad answers of the version.
    late_ms : float
        From its 50th bad answer to the last request to it; 0 if there are fewer.
    cut : int
        Requests that ran at old targets when those were stopped.
    asked, refused : int
        Requests that callers sent, and those that were refused.
    parts : list of tuple
        Seconds since the order, and the part of the requests that the version gets.
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
        """Return what should not have been."""
        found = []
        if self.bad and self.exposed > self.allowed:
            found.append("EXPOSURE")
        if self.bad and self.late_ms > 1000 * ROLLBACK_S:
            found.append("late roll-back")
        if self.bad and self.bad_answers >= BAD_ANSWERS:
            if self.state is not RolloutState.ROLLED_BACK:
                found.append("bad version not rolled back")
        if not self.bad:
            if self.state is RolloutState.ROLLED_BACK:
                found.append("good version rolled back")
            elif self.state is None or self.concluded_after > duration:
                found.append("not completed in time")
        return found
