"""hibiscusstep.membership.relays: which instances are relays, and which one to follow.

Up to `MAX_MESH_SIZE` instances form a full mesh. In a larger region, a few instances of
each data centre are relays: these form a mesh, and every other instance follows one of
them. The messages and memory of an instance then grow with the number of relays instead
of instances.
"""

from collections import defaultdict
from collections.abc import Iterable

import xxhash

from hibiscusstep.membership.view import rendezvous_hash
from hibiscusstep.store import InstanceRecord

__all__ = ["MAX_MESH_SIZE", "ParentSelector", "choose_relays"]

# A heartbeat takes about 40 us of processor time: twelve instances that send each other
# four a second spend 0.4 % of a core on them.
MAX_MESH_SIZE = 12
# If one of the two is lost, its followers still have a relay in their data centre.
RELAYS_PER_DATA_CENTRE = 2
# A relay that refused a connection or timed out is not followed again within this time,
# unless there is no other.
AVOID_RELAY_S = 20.0


def choose_relays(records: list[InstanceRecord], size: int, mesh_size: int) -> set[str]:
    """Return the names of the relays; the result is the same on all instances.

    Parameters
    ----------
    records : list of InstanceRecord
        The known instances, live or not.
    size : int
        Number of instances in the region.
    mesh_size : int
        Up to this number of instances, all are relays.
    """
    if size <= mesh_size:
        return {record.name for record in records}
    centres = defaultdict(list)
    for record in records:
        centres[record.data_centre].append(record)
    return {
        record.name
        for members in centres.values()
        for record in sorted(members, key=_capacity_order)[:RELAYS_PER_DATA_CENTRE]
    }


def _capacity_order(record: InstanceRecord) -> tuple[int, int]:
    return -record.capacity, xxhash.xxh64_intdigest(record.name.encode())


class ParentSelector:
    """Selector of the relay that an instance follows, its parent; performs no I/O.

    Instances of the own data centre come first; among them live ones, then relays.
    Any instance can be the parent, since an instance with followers becomes a relay.

    Parameters
    ----------
    own : InstanceRecord
        The instance that selects its parent.
    seeds : tuple of str
        Peer addresses to try while no instance is known.
    silence_limit : float
        Seconds without a message from the parent after which another one is selected.
    mesh_size : int
        Up to this number of instances, all are relays.
    """

    def __init__(
        self,
        own: InstanceRecord,
        seeds: Iterable[str],
        silence_limit: float,
        mesh_size: int = MAX_MESH_SIZE,
    ) -> None:
        self._own = own
        self._seeds = tuple(seeds)
        self._silence_limit = silence_limit
        self._mesh_size = mesh_size
        self._records: dict[str, InstanceRecord] = {}
        self._relays: set[str] = set()
        self._avoided_until: dict[str, float] = {}
        self._last_message_at = 0.0
        self.parent = ""

    @property
    def is_relay(self) -> bool:
        """Whether this instance is chosen as a relay."""
        return self._own.name in self._relays

    @property
    def relay_addresses(self) -> set[str]:
        """Peer addresses of the chosen relays, live or not."""
        return {self._records[name].peer_address for name in self._relays}

    def update_instances(
        self, records: Iterable[InstanceRecord], size: int = 0
    ) -> None:
        """Set the known instances and choose the relays among them.

        Parameters
        ----------
        records : iterable of InstanceRecord
            The known instances.
        size : int
            Number of instances in the region, if the list may be incomplete.
        """
        self._records = {record.name: record for record in records}
        self._records[self._own.name] = self._own
        known = list(self._records.values())
        size = max(size, len(known))
        self._relays = choose_relays(known, size, self._mesh_size)

    def record_message(self, now: float) -> None:
        """Record that the parent sent a message."""
        self._last_message_at = now

    def silence_seconds(self, now: float) -> float:
        """Return the seconds since the parent sent a message or was selected."""
        return now - self._last_message_at

    def avoid(self, address: str, now: float) -> None:
        """Avoid the instance at an address, which has ended or is about to end."""
        self._avoided_until[address] = now + AVOID_RELAY_S
        if address == self.parent:
            self.parent = ""

    def select_parent(self, now: float, live: Iterable[str]) -> str:
        """Return the parent's address, selecting a new one if needed; empty if none.

        Parameters
        ----------
        now : float
            Seconds on a monotonic clock.
        live : iterable of str
            Names of the relays that are known to be alive.
        """
        if self.parent and self.silence_seconds(now) > self._silence_limit:
            self.avoid(self.parent, now)
        if not self.parent:
            self.parent = self._select(now, set(live))
            self._last_message_at = now
        return self.parent

    def drop_substitute_parent(self, live: Iterable[str]) -> None:
        """Drop a parent that is not a chosen relay if a chosen one is alive nearby."""
        preferred = {
            self._records[name].peer_address
            for name in self._relays.intersection(live)
            if self._records[name].data_centre == self._own.data_centre
        }
        if preferred and self.parent not in preferred:
            self.parent = ""

    def _select(self, now: float, live: set[str]) -> str:
        others = [r for r in self._records.values() if r.name != self._own.name]
        if not others:
            return self._first_allowed(self._seeds, now)
        ranking = rendezvous_hash(
            [record.name for record in others], self._own.name, None
        )
        positions = {name: place for place, name in enumerate(ranking)}

        def sort_key(record: InstanceRecord):
            return (
                record.data_centre != self._own.data_centre,
                record.name not in live,
                record.name not in self._relays,
                positions[record.name],
            )

        addresses = [record.peer_address for record in sorted(others, key=sort_key)]
        return self._first_allowed(addresses, now)

    def _first_allowed(self, addresses, now: float) -> str:
        allowed = [a for a in addresses if self._avoided_until.get(a, 0.0) <= now]
        if addresses and not allowed:
            self._avoided_until.clear()
            allowed = addresses
        return next(iter(allowed), "")
