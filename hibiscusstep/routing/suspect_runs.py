"""hibiscusstep.routing.suspect_runs: keeps apart what targets crashed under."""

from collections.abc import Iterable

from hibiscusstep.routing import messages as m
from hibiscusstep.routing.slot_target import SlotTarget

__all__ = ["exclude_suspect_targets"]


def exclude_suspect_targets(
    work: m.Work, free: list[SlotTarget], targets: Iterable[SlotTarget]
) -> list[SlotTarget]:
    """Return the free targets at which a suspected request may run.

    All that ran on a target when it crashed is suspected, and comes back at once. Put
    beside each other again, sound requests would stand under the next crash as well; a
    request that runs at several targets at a time may crash them all before one crash
    is known. Looked up only for suspects, which are few.

    Parameters
    ----------
    work : Work
        A request; one that nothing counts against may run anywhere.
    free, targets : iterable of SlotTarget
        Those with a free slot, and all of the pool.
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
