"""hibiscusstep.forwarding.pace: when the events of a stream came."""

__all__ = ["Pace"]


class Pace:
    """Times of events, on the loop's clock, over all attempts and within the last one.

    Parameters
    ----------
    received : float
        When the request came.

    Attributes
    ----------
    first_event : float
        Seconds from the receipt to the first event; 0 before.
    longest_pause : float
        The longest pause between two reads with events, in seconds.
    events : int
        Events of the last attempt.
    """

    def __init__(self, received: float) -> None:
        self._received = received
        self._last = 0.0
        self._attempt_first = 0.0
        self.first_event = 0.0
        self.longest_pause = 0.0
        self.events = 0

    def begin_attempt(self) -> None:
        """Begin to count anew."""
        self.events = 0

    def note(self, count: int, now: float) -> bool:
        """Count events that came now; return whether they are an attempt's first."""
        first = not self.events
        if first:
            self._attempt_first = now
        self.events += count
        if self._last:
            self.longest_pause = max(self.longest_pause, now - self._last)
        else:
            self.first_event = now - self._received
        self._last = now
        return first

    @property
    def decode_seconds(self) -> float:
        """Seconds between the first and the last event of the last attempt."""
        return self._last - self._attempt_first if self.events else 0.0
