"""hibiscusstep.forwarding.environment: platform-specific parts of an instance."""

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
    StreamStore,
    SuspectStore,
    UsageStore,
)

__all__ = ["InstanceEnvironment"]


@dataclass(frozen=True, slots=True)
class InstanceEnvironment:
    """Settings, stores and callbacks that a platform adapter provides to an instance.

    Parameters
    ----------
    settings : InstanceSettings
        Settings of the instance.
    bounds : Bounds
        Limits and times.
    ready_address, ready_path : str
        Address and path of the readiness check for a balancer.
    dialect : Dialect
        Reads and writes the platform's header fields.
    tables, targets : Feed
        The configuration and the targets' entries in the store.
    instance_directory : InstanceDirectory
        Registered instances.
    estimate_store : EstimateStore
        Persists the dispatchers' estimates of target speeds.
    usage_store : UsageStore
        Persists the customers' usage of their quotas.
    suspect_store : SuspectStore
        Persists which requests crash targets.
    rollout_store : RolloutStore
        Persists operators' rollouts of versions.
    stream_store : StreamStore
        Persists which versions began the streams that callers may resume.
    register : callable
        Returns an awaitable that registers this instance.
    read_table : callable of bytes
        Parses a routing table that a peer sent.
    read_bounds : callable
        Reads the bounds again.
    on_store_restored : callable of callable
        Sets a callback for a restore of the store from an older copy; its arguments are
        the eras before and after.
    close : callable
        Returns an awaitable that closes the sockets.
    caller_socket : socket.socket or None
        Listening socket for callers; None if the instance opens it.
    """

    settings: InstanceSettings
    bounds: Bounds
    ready_address: str
    ready_path: str
    dialect: Dialect
    tables: Feed
    targets: Feed
    instance_directory: InstanceDirectory
    estimate_store: EstimateStore
    usage_store: UsageStore
    suspect_store: SuspectStore
    rollout_store: RolloutStore
    stream_store: StreamStore
    register: Callable
    read_table: Callable[[bytes], RoutingTable]
    read_bounds: Callable[[], Bounds]
    on_store_restored: Callable[[Callable[[int, int], None]], None]
    close: Callable
    caller_socket: socket.socket | None = None
