"""hibiscusstep.routing.suspect_isolation: isolation of suspect requests."""

from collections.abc import Iterable

from hibiscusstep.routing import messages as m
from hibiscusstep.routing.slot_target import SlotTarget

__all__ = ["exclude_suspect_targets"]


def exclude_suspect_targets(
    work: m.Work, free: list[SlotTarget], targets: Iterable[SlotTarget]
) -> list[SlotTarget]:
    """Return the available targets on which a suspected request may run.

    All requests that ran on a target when it crashed are suspected and retried at once.
    If they ran on the same target again, harmless requests would also be present at the
    next crash. A request that runs on several targets at a time may crash all of them
    before one crash is known. The running requests are scanned only for suspects, which
    are few.

    Parameters
    ----------
    work : Work
        A request; one that is not suspected may run on any target.
    free, targets : iterable of SlotTarget
        The targets with a free slot, and all targets of the pool.
    """
    if not work.suspect:
        return free
    running = [
        (target.name, run.work.suspect)
        for target in targets
        for run in target.running.values()
        if run.work.suspect
    ]
    if any(suspect == work.suspect for _name, suspect in running):
        return []
    taken = {name for name, _suspect in running}
    return [target for target in free if target.name not in taken]
