"""hibiscusstep.membership.continuity: whether messages may have been missed."""

import math

from hibiscusstep.clock import PauseDetector
from hibiscusstep.membership.view import View

__all__ = ["Continuity"]

# A longer time between two events of a task means that the process was paused. Well
# above the interval of an idle task's ticks.
PAUSE_S = 1.0
# While some instances are not heard, what was read from the store is current for this
# time.
MAX_AGE_S = 1.0


class Continuity:
    """Tells whether what was read before is current, as changes are told by messages.

    Messages are missed while the process is paused, while it does not hear an instance
    that may be alive, and, by a follower, while its relay is silent. Times are in
    seconds on the event loop's clock.
    """

    def __init__(self) -> None:
        self._missed_until = -math.inf
        self._is_isolated = False
        self._pause_detector = PauseDetector(PAUSE_S)

    def record_activity(self, now: float) -> bool:
        """Record that the process runs; called at each event of a task.

        Returns
        -------
        bool
            Whether it was paused before.
        """
        was_paused = self._pause_detector.check() > 0
        if was_paused:
            self._missed_until = now
        return was_paused

    def apply_view(self, view: View, now: float) -> None:
        """Apply a view of the instances."""
        is_isolated = view.has_unreachable or not view.receives_updates
        if self._is_isolated and not is_isolated:
            self._missed_until = now
        self._is_isolated = is_isolated

    def is_current(self, read_at: float, now: float) -> bool:
        """Return whether all changes since a time have been heard of.

        Parameters
        ----------
        read_at : float
            When reading the state began; minus infinity if it was not read.
        now : float
            The present time.
        """
        if read_at <= self._missed_until:
            return False
        return not self._is_isolated or now <= read_at + MAX_AGE_S
