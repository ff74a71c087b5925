"""hibiscusstep.forwarding.stream_timing: arrival times of stream events."""

__all__ = ["StreamTiming"]


class StreamTiming:
    """Timing of a stream's events, over all attempts and within the last one.

    Parameters
    ----------
    received : float
        Time of the request's receipt, on the loop's clock.

    Attributes
    ----------
    first_event : float
        Seconds from the receipt to the first event; 0 until then.
    longest_pause : float
        The longest pause between two reads with events, in seconds.
    events : int
        Number of events of the last attempt.
    """

    def __init__(self, received: float) -> None:
        self._received = received
        self._last_event_at = 0.0
        self._attempt_first_event_at = 0.0
        self.first_event = 0.0
        self.longest_pause = 0.0
        self.events = 0

    def begin_attempt(self) -> None:
        """Reset the count of events for a new attempt."""
        self.events = 0

    def record(self, count: int, now: float) -> bool:
        """Record events that arrived now; return True for an attempt's first."""
        is_first = not self.events
        if is_first:
            self._attempt_first_event_at = now
        self.events += count
        if self._last_event_at:
            self.longest_pause = max(self.longest_pause, now - self._last_event_at)
        else:
            self.first_event = now - self._received
        self._last_event_at = now
        return is_first

    def seconds_since_first(self, now: float) -> float:
        """Return the seconds since the attempt's first event, 0 if there is none."""
        return now - self._attempt_first_event_at if self.events else 0.0

    @property
    def decode_seconds(self) -> float:
        """Seconds between the first and the last event of the last attempt."""
        return (
            self._last_event_at - self._attempt_first_event_at if self.events else 0.0
        )
