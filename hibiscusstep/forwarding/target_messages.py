"""hibiscusstep.forwarding.target_messages: peer messages about targets."""

import math

from hibiscusstep.forwarding.catalog import (
    TargetListing,
    TargetsAnnounced,
    TargetUpdate,
)
from hibiscusstep.forwarding.model import DiscoveredTarget, RateLimit
from hibiscusstep.peer import NO_LIMIT, TargetState, TargetStates
from hibiscusstep.store import Change, Listing

__all__ = ["from_target_states", "to_target_state"]


def from_target_states(
    message: TargetStates,
) -> TargetUpdate | TargetListing | TargetsAnnounced:
    """Return a peer's message as announcements, as changes, or as a complete list.

    A list carries a revision.
    """
    changes = tuple(_to_change(state) for state in message.states)
    if message.announced:
        return TargetsAnnounced(tuple(c.item for c in changes if c.item))
    if not message.revision:
        return TargetUpdate(changes)
    items = {change.name: change.item for change in changes if change.item}
    return TargetListing(Listing(items, message.revision))


def to_target_state(change: Change) -> TargetState:
    """Return a change as a peer message."""
    item = change.item
    if item is None:
        return TargetState(change.name, change.revision, True, "", "", "", 1, True)
    return TargetState(
        item.id,
        item.revision,
        False,
        item.pool,
        item.address,
        item.data_centre,
        item.slots,
        item.leaving,
        item.incarnation,
        item.version,
        _to_number(item.rate_limit),
        item.rate_limit.version,
        _to_number(item.rejection_limit),
        item.rejection_limit.version,
    )


def _to_number(limit: RateLimit) -> float:
    return NO_LIMIT if limit.per_second is None else limit.per_second


def _to_limit(number: float, version: int) -> RateLimit:
    return RateLimit(number if 0 <= number < math.inf else None, version)


def _to_change(state: TargetState) -> Change:
    """Return the change that a peer message carries."""
    if state.removed:
        return Change(state.name, None, state.revision)
    target = DiscoveredTarget(
        state.name,
        state.pool,
        state.address,
        state.data_centre,
        state.slots,
        state.leaving,
        state.revision,
        state.incarnation,
        state.version,
        _to_limit(state.rate_limit, state.rate_limit_version),
        _to_limit(state.rejection_limit, state.rejection_limit_version),
    )
    return Change(state.name, target, state.revision)
