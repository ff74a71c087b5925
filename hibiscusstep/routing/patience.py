"""hibiscusstep.routing.patience: how long requests wait, and when to come back."""

from hibiscusstep.routing import messages as m
from hibiscusstep.routing.switches import Switches

__all__ = ["MAX_RETRY_AFTER_S", "wait_deadline", "retry_after"]

# Overload comes in bursts of some seconds; whoever comes back sooner is refused again.
MIN_RETRY_AFTER_S = 2.0
MAX_RETRY_AFTER_S = 5.0
# One that is late already waits for this share of the time that its caller has left,
# and no longer than callers bear without a first event: they leave after 2 s or more.
LATE_WAIT_SHARE = 0.5
MAX_LATE_WAIT_S = 1.5


def wait_deadline(
    work: m.Work, serve_seconds: float, late: bool, switches: Switches
) -> float:
    """Return until when a request waits, on the dispatcher's clock.

    One that is refused comes back too late to be served in time: it waits as long as
    that is still possible. One that is late has time, and mostly its last try.

    Parameters
    ----------
    work : Work
        The request.
    reach : float
        Seconds from its start within which most such requests are served.
    late : bool
        Whether it can't be served in time any more.
    switches : Switches
        Which mechanisms are on.
    """
    if not work.due:
        return work.deadline
    if late:
        wait = min(MAX_LATE_WAIT_S, LATE_WAIT_SHARE * _remaining_time(work))
        return max(work.deadline, work.received + wait)
    if not switches.useful_wait:
        return work.deadline
    return max(work.received, work.due - serve_seconds)


def retry_after(wait: float) -> float:
    """Return the seconds after which a refused caller is told to come back."""
    return round(min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait)), 2)


def _remaining_time(work: m.Work) -> float:
    """Return the seconds that a request's caller had left when it was received."""
    return max(0.0, work.ends - work.received) if work.ends else 0.0
