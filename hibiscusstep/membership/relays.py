"""hibiscusstep.membership.relays: who relays between the others, and whom to follow.

Up to `MESH_SIZE` instances all speak to all. Beyond, a few of each data centre are
relays: they speak to each other, and every other instance follows one of them. What an
instance sends and holds then grows with the number of relays, not of instances.
"""

from collections import defaultdict
from collections.abc import Iterable

import xxhash

from hibiscusstep.membership.view import rendezvous
from hibiscusstep.store import InstanceRecord

__all__ = ["MESH_SIZE", "Attachment", "choose_relays"]

# A heartbeat costs some 40 us of processor time: twelve instances that send four a
# second to each other spend 0.4 % of a core on them.
MESH_SIZE = 12
# Two, so that the loss of one leaves its followers a relay in their data centre.
RELAYS_A_DATA_CENTRE = 2
# A relay that refused a connection or fell silent is not followed again for so long,
# unless there is no other.
AVOID_S = 20.0


def choose_relays(records: list[InstanceRecord], size: int, mesh_size: int) -> set[str]:
    """Return the names of the relays among all instances, the same on each of them.

    Parameters
    ----------
    records : list of InstanceRecord
        The instances that are known, live or not.
    size : int
        Instances that there are.
    mesh_size : int
        Up to so many, all are relays.
    """
    if size <= mesh_size:
        return {record.name for record in records}
    centres = defaultdict(list)
    for record in records:
        centres[record.data_centre].append(record)
    return {
        record.name
        for members in centres.values()
        for record in sorted(members, key=_strongest_first)[:RELAYS_A_DATA_CENTRE]
    }


def _strongest_first(record: InstanceRecord) -> tuple[int, int]:
    return -record.capacity, xxhash.xxh64_intdigest(record.name.encode())


class Attachment:
    """Chooses the relay that an instance follows.

    Pure: relays of its own data centre go first, those that are known to live before
    the others, then any instance, since whoever is followed becomes a relay.

    Parameters
    ----------
    own : InstanceRecord
        The instance.
    seeds : tuple of str
        Peer addresses to try while no instance is known.
    patience : float
        Seconds of a relay's silence after which another one is followed.
    mesh_size : int
        Up to so many instances, all are relays.
    """

    def __init__(
        self,
        own: InstanceRecord,
        seeds: Iterable[str],
        patience: float,
        mesh_size: int = MESH_SIZE,
    ) -> None:
        self._own = own
        self._seeds = tuple(seeds)
        self._patience = patience
        self._mesh_size = mesh_size
        self._records: dict[str, InstanceRecord] = {}
        self._relays: set[str] = set()
        self._avoided: dict[str, float] = {}
        self._heard_at = 0.0
        self.parent = ""

    @property
    def is_relay(self) -> bool:
        """Whether the instance is a relay by its place among all."""
        return self._own.name in self._relays

    @property
    def relay_addresses(self) -> set[str]:
        """Peer addresses of the relays among all known instances, live or not."""
        return {self._records[name].peer_address for name in self._relays}

    def learn(self, records: Iterable[InstanceRecord], size: int = 0) -> None:
        """Take a list of instances.

        Parameters
        ----------
        records : iterable of InstanceRecord
            The instances.
        size : int
            How many there are, if the list lacks some.
        """
        self._records = {record.name: record for record in records}
        self._records[self._own.name] = self._own
        known = list(self._records.values())
        size = max(size, len(known))
        self._relays = choose_relays(known, size, self._mesh_size)

    def heard(self, now: float) -> None:
        """Take note that the relay that is followed lives."""
        self._heard_at = now

    def silence(self, now: float) -> float:
        """Return the seconds since the followed relay was heard or chosen."""
        return now - self._heard_at

    def refused(self, address: str, now: float) -> None:
        """Take note that the instance at an address ended or is about to."""
        self._avoided[address] = now + AVOID_S
        if address == self.parent:
            self.parent = ""

    def follow(self, now: float, live: Iterable[str]) -> str:
        """Return the address of the relay to follow; empty if there is none.

        Parameters
        ----------
        now : float
            Seconds on a steady clock.
        live : iterable of str
            Names of the relays that are known to live.
        """
        if self.parent and self.silence(now) > self._patience:
            self.refused(self.parent, now)
        if not self.parent:
            self.parent = self._choose(now, set(live))
            self._heard_at = now
        return self.parent

    def prefer(self, live: Iterable[str]) -> None:
        """Leave a relay that is none by its place, if one that is one lives."""
        better = {
            self._records[name].peer_address
            for name in self._relays.intersection(live)
            if self._records[name].data_centre == self._own.data_centre
        }
        if better and self.parent not in better:
            self.parent = ""

    def _choose(self, now: float, live: set[str]) -> str:
        others = [r for r in self._records.values() if r.name != self._own.name]
        if not others:
            return self._first_allowed(self._seeds, now)
        order = rendezvous([record.name for record in others], self._own.name, None)
        places = {name: place for place, name in enumerate(order)}

        def rank(record: InstanceRecord):
            return (
                record.data_centre != self._own.data_centre,
                record.name not in live,
                record.name not in self._relays,
                places[record.name],
            )

        addresses = [record.peer_address for record in sorted(others, key=rank)]
        return self._first_allowed(addresses, now)

    def _first_allowed(self, addresses, now: float) -> str:
        allowed = [a for a in addresses if self._avoided.get(a, 0.0) <= now]
        if addresses and not allowed:
            self._avoided.clear()
            allowed = addresses
        return next(iter(allowed), "")
