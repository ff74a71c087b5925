"""hibiscusstep.membership.view: the live instances and the roles among them."""

from dataclasses import dataclass, field

import xxhash

from hibiscusstep.peer import Heartbeat

__all__ = ["Member", "View", "rendezvous"]


@dataclass(frozen=True, slots=True)
class Member:
    """A live instance, as its last heartbeat tells."""

    name: str
    incarnation: str
    data_centre: str
    region: str
    peer_address: str
    operator_address: str
    version: int
    ready: bool
    leaving: bool

    @classmethod
    def of(cls, beat: Heartbeat) -> "Member":
        """Return the member that sent a heartbeat."""
        return cls(
            beat.instance,
            beat.incarnation,
            beat.data_centre,
            beat.region,
            beat.peer_address,
            beat.operator_address,
            beat.version,
            beat.ready,
            beat.leaving,
        )


def rendezvous(names, key: str, count: int = 1) -> list[str]:
    """Return the `count` names of the highest hash with a key.

    The loss of one name moves only the keys that it had.
    """
    return sorted(
        names, key=lambda name: -xxhash.xxh64_intdigest(f"{key}\0{name}".encode())
    )[:count]


@dataclass(frozen=True, slots=True)
class View:
    """The live instances of a region, oneself among them.

    Parameters
    ----------
    members : dict of str to Member
        By name.
    silent : int
        Instances that may live and are out of reach, as in a cut.
    """

    members: dict[str, Member] = field(default_factory=dict)
    silent: int = 0

    @property
    def doubtful(self) -> bool:
        """Whether instances that may live are out of reach."""
        return self.silent > 0

    @property
    def eligible(self) -> list[str]:
        """Names of the instances that may take a role."""
        ready = [m.name for m in self.members.values() if m.ready and not m.leaving]
        return ready or [m.name for m in self.members.values() if m.ready]

    def addresses_beside(self, own: str) -> list[str]:
        """Return the peer addresses of all members but the one at `own`."""
        addresses = (member.peer_address for member in self.members.values())
        return [address for address in addresses if address != own]

    def dispatcher(self, pool: str) -> str | None:
        """Return the name of the instance that dispatches a pool."""
        return next(iter(rendezvous(self.eligible, f"pool {pool}")), None)

    def claim_writer(self, shard: int) -> str | None:
        """Return the name of the instance that writes a shard of claims."""
        return next(iter(rendezvous(self.eligible, f"claims {shard}")), None)

    def watchers(self, count: int) -> list[str]:
        """Return the names of the instances that watch the platform."""
        return rendezvous(self.members, "configuration", count)

    def holds(self, name: str, incarnation: str) -> bool:
        """Whether this very process is alive."""
        member = self.members.get(name)
        return member is not None and member.incarnation == incarnation
