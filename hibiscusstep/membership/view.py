"""hibiscusstep.membership.view: the live instances and the roles assigned to them."""

import math
from dataclasses import dataclass, field

import xxhash

from hibiscusstep.peer import Heartbeat

__all__ = ["Member", "View", "rendezvous_hash"]


@dataclass(frozen=True, slots=True)
class Member:
    """A live instance, as described by its last heartbeat.

    Parameters
    ----------
    name, incarnation, data_centre, region, peer_address, operator_address : str
        Identity and location.
    version : int
        Version of the configuration in force on the instance.
    ready, leaving : bool
        Whether it may take roles, and whether it is about to end.
    relay : bool
        Whether it is a relay, connected to all other relays; otherwise it follows one.
    capacity : int
        Work capacity, as in `hibiscusstep.store.InstanceRecord`.
    followers : int
        Number of instances that follow it.
    accepts_tunnels : bool
        Whether it serves tunnels to targets for other instances.
    receives_streams : bool
        Whether it knows the message `PoolStreams`, as older builds do not.
    """

    name: str
    incarnation: str
    data_centre: str
    region: str
    peer_address: str
    operator_address: str
    version: int
    ready: bool
    leaving: bool
    relay: bool = True
    capacity: int = 1
    followers: int = 0
    accepts_tunnels: bool = False
    receives_streams: bool = False

    @classmethod
    def from_heartbeat(cls, beat: Heartbeat) -> "Member":
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
            beat.relay,
            beat.capacity,
            beat.followers,
            beat.accepts_tunnels,
            beat.receives_streams,
        )


_HASH_SPACE = 1 << 64


def rendezvous_hash(names, key: str, count: int | None = 1, weights=None) -> list[str]:
    """Return the `count` best names for a key by rendezvous hashing.

    The removal of a name moves only the keys that were assigned to it.

    Parameters
    ----------
    names : iterable of str
        Names to choose from.
    key : str
        Key to assign.
    count : int or None
        Number of names; None for all, best first.
    weights : dict of str to int or None
        Weights that the share of keys of a name is proportional to; equal if None.
    """

    def score(name: str) -> float:
        digest = xxhash.xxh64_intdigest(f"{key}\0{name}".encode())
        if weights is None:
            return -digest
        # Weighted rendezvous hashing: the hash gives an exponential random number,
        # which is divided by the weight; the lowest one wins.
        return -math.log((digest + 1) / _HASH_SPACE) / max(1, weights[name])

    return sorted(names, key=score)[:count]


@dataclass(frozen=True, slots=True)
class View:
    """The live instances of a region, including this one.

    In a small region, all instances are relays. In a large one, `members` are the
    relays and this instance.

    Parameters
    ----------
    members : dict of str to Member
        Members by name.
    unreachable : int
        Number of unreachable instances that may be alive, as in a network partition.
    followers : dict of str to Member
        Instances that follow this one, by name.
    parent : str
        Peer address of the relay that this instance follows; empty if there is none.
    other_instances : int
        Number of live instances that are neither members nor followers.
    receives_updates : bool
        Whether updates from the others arrive: always on a relay; on a follower, while
        its parent sends messages.
    role_known : bool
        Whether the instance knows whether it is a relay or a follower.
    listed_count_at_startup : int
        Number of instances on the platform's list while this one has just started and
        may not know all others; otherwise 0.
    """

    members: dict[str, Member] = field(default_factory=dict)
    unreachable: int = 0
    followers: dict[str, Member] = field(default_factory=dict)
    parent: str = ""
    other_instances: int = 0
    receives_updates: bool = True
    role_known: bool = True
    listed_count_at_startup: int = 0

    @property
    def expected_size(self) -> int:
        """Number of live instances, including those that are probably starting."""
        return max(self.size, self.listed_count_at_startup)

    @property
    def has_unreachable(self) -> bool:
        """Whether instances that may be alive are unreachable."""
        return self.unreachable > 0

    @property
    def size(self) -> int:
        """Number of live instances."""
        return len(self.members) + len(self.followers) + self.other_instances

    @property
    def is_mesh(self) -> bool:
        """Whether all live instances exchange heartbeats directly, without relays."""
        return self.size == len(self.members)

    @property
    def eligible(self) -> list[str]:
        """Names of the instances that may take a role."""
        ready = [m for m in self.members.values() if m.ready]
        preferred = [m for m in ready if m.relay and not m.leaving]
        return [m.name for m in preferred or ready]

    def neighbours(self, own: str) -> list[str]:
        """Return the peer addresses that the instance at `own` sends its updates to."""
        if self.parent:
            return [self.parent]
        known = (*self.members.values(), *self.followers.values())
        return [m.peer_address for m in known if m.peer_address != own]

    def dispatcher_of(self, pool: str) -> str | None:
        """Return the name of the instance that dispatches a pool."""
        return next(iter(self._rank_dispatchers(pool, 1)), None)

    def successors(self, pool: str, dispatcher: str, count: int) -> list[Member]:
        """Return the members that would dispatch a pool next, the first one first."""
        ranked = self._rank_dispatchers(pool, count + 1)
        return [self.members[name] for name in ranked if name != dispatcher][:count]

    def _rank_dispatchers(self, pool: str, count: int) -> list[str]:
        weights = {name: self.members[name].capacity for name in self.members}
        return rendezvous_hash(self.eligible, f"pool {pool}", count, weights)

    def claim_writer_of(self, shard: int) -> str | None:
        """Return the name of the instance that writes a shard of claims."""
        return next(iter(rendezvous_hash(self.eligible, f"claims {shard}")), None)

    def watchers(self, count: int) -> list[str]:
        """Return the names of the instances that watch the platform."""
        return rendezvous_hash(self.members, "configuration", count)

    def has_duty(self, duty: str, address: str) -> bool:
        """Return whether the instance at a peer address is the relay with a duty."""
        holders = [self.members[name] for name in rendezvous_hash(self.eligible, duty)]
        return any(
            holder.peer_address == address and holder.relay for holder in holders
        )

    def has_incarnation(self, name: str, incarnation: str) -> bool:
        """Return whether the process with this incarnation is alive."""
        member = self.members.get(name)
        return member is not None and member.incarnation == incarnation
