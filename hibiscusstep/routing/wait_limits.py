"""hibiscusstep.routing.wait_limits: limits of waiting times, and retry delays."""

from hibiscusstep.routing import messages as m
from hibiscusstep.routing.switches import Switches

__all__ = ["MAX_RETRY_AFTER_S", "early_deadline", "retry_after", "wait_deadline"]

# Overload occurs in bursts of some seconds; an earlier retry is refused again.
MIN_RETRY_AFTER_S = 2.0
MAX_RETRY_AFTER_S = 5.0
# Limits of a late request's waiting time: this share of its caller's remaining time,
# and this maximum, since callers without a first event leave after 2 s or more.
LATE_WAIT_SHARE = 0.5
MAX_LATE_WAIT_S = 1.5
# Where returns are planned, a request waits for this share of its objective. Callers
# should hear a refusal within a quarter of it; the rest is for ticks and messages.
EARLY_WAIT_SHARE = 0.2
# It waits at least until this many slots are expected to become free. Otherwise the
# queue of a small pool would be empty when a slot becomes free.
MIN_SLOTS_AWAITED = 2


def wait_deadline(
    work: m.Work, serve_seconds: float, late: bool, switches: Switches
) -> float:
    """Return until when a request waits, on the dispatcher's clock.

    A retry of a refused request comes too late to be served in time, so a request waits
    as long as it can still be served in time. A late request has time left and is
    mostly at its last attempt.

    Parameters
    ----------
    work : Work
        The request.
    serve_seconds : float
        Seconds from its start within which most such requests are served.
    late : bool
        Whether it can no longer be served in time.
    switches : Switches
        The enabled mechanisms.
    """
    if not work.first_token_due:
        return work.deadline
    if late:
        wait = min(MAX_LATE_WAIT_S, LATE_WAIT_SHARE * _remaining_time(work))
        return max(work.deadline, work.received_at + wait)
    if not switches.useful_wait:
        return work.deadline
    return max(work.received_at, work.first_token_due - serve_seconds)


def early_deadline(
    work: m.Work,
    serve_seconds: float,
    late: bool,
    slot_interval: float,
    *,
    within_share: bool = False,
) -> float:
    """Return until when a request waits where returns are planned.

    Parameters
    ----------
    work : Work
        The request.
    serve_seconds : float
        Seconds from its start within which most such requests are served.
    late : bool
        Whether it can no longer be served in time.
    slot_interval : float
        Mean seconds until the next slot is free.
    within_share : bool
        Whether its customer asks for no more than its share. It waits as long as it can
        be in time: the wait is due to an irregular arrival, not to overload.
    """
    objective = work.first_token_due - work.received_at
    if not work.first_token_due or objective <= 0 or work.avoid:
        # The instance's own limit, which does not depend on the time left.
        return work.deadline
    early = work.received_at + EARLY_WAIT_SHARE * objective
    if late:
        return early
    latest = max(work.received_at, work.first_token_due - serve_seconds)
    if within_share:
        return latest
    by_slots = work.received_at + MIN_SLOTS_AWAITED * slot_interval
    return min(latest, max(early, by_slots))


def retry_after(wait: float, start_delay: float = 0.0) -> float:
    """Return the seconds after which a refused caller should retry.

    Parameters
    ----------
    wait : float
        Expected seconds until the request would have been granted.
    start_delay : float
        Seconds in which no target accepts any request, by their rate limits. An earlier
        retry would be in vain.
    """
    longest = max(MAX_RETRY_AFTER_S, start_delay)
    return round(min(longest, max(MIN_RETRY_AFTER_S, wait)), 2)


def _remaining_time(work: m.Work) -> float:
    """Return the seconds that the caller had left when its request was received."""
    return max(0.0, work.answer_due - work.received_at) if work.answer_due else 0.0
