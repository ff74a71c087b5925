"""hibiscusstep.forwarding.caller_waits: waits of an attempt for its caller.

Handles streams whose callers read more slowly than the target writes. It does no I/O.
"""

__all__ = ["CallerWaits"]

# The rate of a stream that waited for its caller for more than this share of its time
# does not tell the target's speed; shorter waits are part of ordinary service.
DISTORTING_SHARE = 0.1
MIN_DISTORTING_WAIT_S = 0.1
# A target cuts off a stream that is not read for some seconds: a break after this much
# waiting for the caller is not the target's fault.
UNREAD_STREAM_S = 1.0
# A target that closes an unread stream in order is seen to do so only after its kernel
# has delivered what it held: up to 4 MB, which takes this long at 32 Mbit/s.
CATCH_UP_S = 1.0


class CallerWaits:
    """The waits of one attempt, in which its stream was not read for its caller.

    Attributes
    ----------
    total : float
        Seconds of all waits.
    """

    def __init__(self) -> None:
        self.total = 0.0
        # Seconds of the waits since the caller last kept up with the target.
        self._recent = 0.0
        self._ended_at = 0.0
        self._was_read = False

    def add(self, seconds: float, now: float) -> None:
        """Add a wait that has ended now."""
        if self._has_caught_up(now - seconds):
            self._recent = 0.0
        self.total += seconds
        self._recent += seconds
        self._ended_at = now
        self._was_read = False

    def record_read(self) -> None:
        """Record that data was read from the target."""
        self._was_read = True

    def excuse_break(self, now: float) -> bool:
        """Whether a target that breaks off now may do so for want of being read."""
        return self._recent >= UNREAD_STREAM_S and not self._has_caught_up(now)

    def distort_rate(self, seconds: float) -> bool:
        """Whether an attempt of this length was slowed down by its caller."""
        return self.total > max(MIN_DISTORTING_WAIT_S, DISTORTING_SHARE * seconds)

    def _has_caught_up(self, now: float) -> bool:
        return self._was_read and now - self._ended_at >= CATCH_UP_S
