"""hibiscusstep.routing.target_room: the room of targets with a rejection limit.

Such a target ends if it has to reject more than some requests within a second, and it
may accept fewer at a time than its entry says. Requests then wait at the dispatcher
instead of being rejected there.
"""

import math
from collections import deque

__all__ = ["TargetRoom"]

# Period in which rejections are counted.
REJECTION_WINDOW_S = 1.0
# What answers have shown is valid for this time.
CONFIRMATION_S = 1.0
# Time in which a rejection arrives. Requests that are granted within it may all be
# rejected before the first rejection is known.
REJECTION_DELAY_S = 0.02
# Time without a rejection after which one request more is tried.
RAISE_AFTER_S = 3.0


class TargetRoom:
    """Bounds the requests at a target by what it has accepted and rejected.

    As many requests are granted at a time as answers have shown to be accepted, and
    beyond that no more than may be rejected.

    Parameters
    ----------
    rejections_per_s : float
        Rejections per second that the target bears, of all dispatchers together.
    share : float
        Part of them that this dispatcher may cause.
    running : int
        Requests at the target.
    now : float
        Seconds on the dispatcher's clock.

    Attributes
    ----------
    next_start_at : float
        Time from which on the next request may be granted, on the dispatcher's clock.
    """

    def __init__(
        self, rejections_per_s: float, share: float, running: int, now: float
    ) -> None:
        self._limit = math.inf
        self._rejected_at: list[float] = []
        self._last_rejected_at = -math.inf
        self._risk_from = -math.inf
        self._confirmed = max(1, running)
        self._confirmed_at = now
        self._raise_at = now
        self._granted_at: deque[float] = deque()
        self.next_start_at = 0.0
        self.rejections_per_s = rejections_per_s
        self.share = share

    def slots(self, declared: int, running: int, now: float) -> int:
        """Return the requests that the target may have at a time.

        Parameters
        ----------
        declared : int
            Slots in the target's entry.
        running : int
            Requests at the target.
        now : float
            Seconds on the dispatcher's clock.
        """
        if now > self._confirmed_at + CONFIRMATION_S:
            self._confirmed, self._confirmed_at = max(1, running), now
        if self._confirmed >= self._limit and now >= self._raise_at:
            self._limit += 1
            self._raise_at = now + RAISE_AFTER_S
        risked = self._risked(now) if now >= self._risk_from else 0
        return max(1, min(declared, self._limit, self._confirmed + risked))

    def _risked(self, now: float) -> int:
        """Return the number of requests that may be granted although unconfirmed."""
        oldest = now - REJECTION_WINDOW_S
        self._rejected_at = [at for at in self._rejected_at if at > oldest]
        allowed = self.share * self.rejections_per_s
        if 0.0 < allowed < 1.0:
            # One, as rarely as the rate says.
            return int(now >= self._last_rejected_at + REJECTION_WINDOW_S / allowed)
        return max(0, math.floor(allowed - len(self._rejected_at)))

    def restart(self, running: int, now: float) -> None:
        """Risk no rejections for a while; another dispatcher may have caused some."""
        self._risk_from = now + REJECTION_WINDOW_S
        self._confirmed, self._confirmed_at = max(1, running), now

    def record_grant(self, now: float) -> None:
        """Record a granted request."""
        most = max(1, math.floor(self.share * self.rejections_per_s))
        self._granted_at.append(now)
        while len(self._granted_at) > most:
            self._granted_at.popleft()
        if len(self._granted_at) == most:
            self.next_start_at = self._granted_at[0] + REJECTION_DELAY_S

    def record_accepted(self, level: int, granted: float, now: float) -> None:
        """Record that a request was accepted.

        Parameters
        ----------
        level : int
            Requests at the target when it was granted, with it.
        granted : float
            When it was granted, on the dispatcher's clock.
        now : float
            Seconds on the dispatcher's clock.
        """
        if granted <= self._last_rejected_at:
            return
        if level >= self._confirmed:
            self._confirmed = int(min(level, self._limit))
            self._confirmed_at = now

    def record_rejected(self, running: int, now: float) -> None:
        """Record that a request was rejected, with the number of those that run on."""
        self._rejected_at.append(now)
        self._last_rejected_at = now
        self._limit = max(1, min(self._limit, running))
        # Others that were granted at the same time may be rejected as well.
        self._confirmed, self._confirmed_at = max(1, running // 2), now
        self._raise_at = now + RAISE_AFTER_S
