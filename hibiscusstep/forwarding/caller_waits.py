"""hibiscusstep.forwarding.caller_waits: waits of an attempt for its caller.

Handles streams whose callers read more slowly than the target writes. It does no I/O.
"""

__all__ = ["CallerWaits"]

# The rate of a stream that waited for its caller for more than this share of its time
# does not tell the target's speed; shorter waits are part of ordinary service.
DISTORTING_SHARE = 0.1
MIN_DISTORTING_WAIT_S = 0.1


class CallerWaits:
    """The waits of one attempt, in which its stream was not read for its caller.

    Attributes
    ----------
    total : float
        Seconds of all waits.
    """

    def __init__(self) -> None:
        self.total = 0.0

    def add(self, seconds: float) -> None:
        """Add a wait that has ended."""
        self.total += seconds

    def distort_rate(self, seconds: float) -> bool:
        """Whether an attempt of this length was slowed down by its caller."""
        return self.total > max(MIN_DISTORTING_WAIT_S, DISTORTING_SHARE * seconds)
