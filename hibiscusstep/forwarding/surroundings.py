"""hibiscusstep.forwarding.surroundings: what an adapter brings to an instance."""

import socket
from collections.abc import Callable
from dataclasses import dataclass

from hibiscusstep.forwarding.bounds import Bounds, InstanceSettings
from hibiscusstep.forwarding.dialect import Dialect
from hibiscusstep.forwarding.model import RoutingTable
from hibiscusstep.store import (
    EstimateStore,
    Feed,
    InstanceDirectory,
    RolloutStore,
    SuspectStore,
    UsageStore,
)

__all__ = ["Surroundings"]


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What an adapter brings.

    Parameters
    ----------
    settings : InstanceSettings
        Of the instance.
    bounds : Bounds
        Times and limits of the place of operation.
    ready_address, ready_path : str
        Where a balancer asks whether callers may be sent here.
    dialect : Dialect
        Header fields.
    tables, targets : Feed
        The configuration and the targets' entries.
    roster : InstanceDirectory
        The instances.
    beliefs : EstimateStore
        Keeps what dispatchers learnt.
    use : UsageStore
        Keeps what customers used of their quotas.
    suspects : SuspectStore
        Keeps which requests crash targets.
    rollouts : RolloutStore
        Has operators' orders to change pools' versions.
    register : callable
        Returns an awaitable that puts this instance on the roster.
    read_table : callable of bytes
        Makes a routing table of what a peer handed on.
    read_bounds : callable
        Reads the bounds again.
    on_store_restored : callable of callable
        Takes what is to be told when the store came back from an older copy: the eras
        before and since.
    close : callable
        Returns an awaitable that gives back the sockets.
    caller_socket : socket.socket or None
        Listens for callers; None where the instance is to listen itself.
    """

    settings: InstanceSettings
    bounds: Bounds
    ready_address: str
    ready_path: str
    dialect: Dialect
    tables: Feed
    targets: Feed
    roster: InstanceDirectory
    beliefs: EstimateStore
    use: UsageStore
    suspects: SuspectStore
    rollouts: RolloutStore
    register: Callable
    read_table: Callable[[bytes], RoutingTable]
    read_bounds: Callable[[], Bounds]
    on_store_restored: Callable[[Callable[[int, int], None]], None]
    close: Callable
    caller_socket: socket.socket | None = None
