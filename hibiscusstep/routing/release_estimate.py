"""hibiscusstep.routing.release_estimate: when running requests release a target.

It is used when requests queue for engines, some of which have no free slot or too
little free memory. All times are seconds on the dispatcher's clock.
"""

import math

from hibiscusstep.routing.slot_target import Run, SlotTarget

__all__ = ["estimated_end", "memory_fits_at"]


def estimated_end(target: SlotTarget, run: Run, now: float) -> float:
    """Return when a running request is expected to end.

    A request that runs longer than estimated is expected to end at once: its estimate
    gives no further information.
    """
    return max(now, run.granted + target.slowness * run.service_seconds)


def memory_fits_at(target: SlotTarget, max_used: float, now: float) -> float:
    """Return when enough requests of a target have ended that another one fits.

    Parameters
    ----------
    target : SlotTarget
        The target.
    max_used : float
        Tokens in use up to which the other request fits; it fits an empty target.
    now : float
        The current time.
    """
    used = target.memory_used
    if not used or used <= max_used:
        return now
    for end, run in _by_end(target, now):
        used -= run.work.memory_tokens
        if not used or used <= max_used:
            return end
    return math.inf


def _by_end(target: SlotTarget, now: float) -> list[tuple[float, Run]]:
    """Return the running requests with their estimated ends, the first end first."""
    ends = [(estimated_end(target, run, now), run) for run in target.running.values()]
    return sorted(ends, key=lambda end: end[0])
