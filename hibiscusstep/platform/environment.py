"""hibiscusstep.platform.environment: the platform's dependencies of an instance."""

import socket
from pathlib import Path

from hibiscusstep.forwarding.environment import InstanceEnvironment
from hibiscusstep.platform.client import (
    ObjectClient,
    ObjectEstimateStore,
    ObjectFeed,
    ObjectInstanceDirectory,
    ObjectRolloutStore,
    ObjectStreamStore,
    ObjectSuspectStore,
    ObjectUsageStore,
)
from hibiscusstep.platform.documents import (
    CONFIGURATION_KIND,
    ROLLOUT_KIND,
    TARGET_KIND,
    TargetDecoder,
    decode_rollout,
    decode_table,
    decode_table_bytes,
)
from hibiscusstep.platform.headers import PlatformDialect
from hibiscusstep.platform.settings import load_platform_settings
from hibiscusstep.store import InstanceRecord

__all__ = ["load_environment"]

READY_PATH = "/hibiscusstep/ready"


def load_environment(
    path: Path, caller_socket: socket.socket | None = None
) -> InstanceEnvironment:
    """Return the dependencies of an instance by the platform's settings file.

    Parameters
    ----------
    path : pathlib.Path
        Path of the settings file.
    caller_socket : socket.socket or None
        Socket that already listens for callers, if any.

    Raises
    ------
    ConfigurationError
        If the file is missing or malformed.
    """
    loaded = load_platform_settings(path)
    settings = loaded.instance
    client = ObjectClient(loaded.store_address)
    directory = ObjectInstanceDirectory(client, loaded.instance.is_first_start)
    record = InstanceRecord(
        settings.name,
        settings.data_centre,
        settings.peer_address,
        capacity=settings.capacity,
    )
    return InstanceEnvironment(
        settings=settings,
        bounds=loaded.bounds,
        ready_address=loaded.ready_address,
        ready_path=READY_PATH,
        dialect=PlatformDialect(),
        tables=ObjectFeed(client, CONFIGURATION_KIND, decode_table),
        targets=ObjectFeed(client, TARGET_KIND, TargetDecoder()),
        instance_directory=directory,
        estimate_store=ObjectEstimateStore(client),
        usage_store=ObjectUsageStore(client),
        suspect_store=ObjectSuspectStore(client),
        rollout_store=ObjectRolloutStore(
            client, ObjectFeed(client, ROLLOUT_KIND, decode_rollout)
        ),
        stream_store=ObjectStreamStore(client),
        register=lambda: directory.register(record),
        read_table=decode_table_bytes,
        read_bounds=lambda: load_platform_settings(path).bounds,
        on_store_restored=client.eras.set_on_restored,
        close=client.close,
        caller_socket=caller_socket,
    )
