"""hibiscusstep.configuration.updater: gets new versions from the platform or peers."""

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass

from hibiscusstep.configuration.in_force import ConfigurationInForce
from hibiscusstep.configuration.stored import CONFIGURATION_KEY, StoredConfiguration
from hibiscusstep.errors import ConfigurationError, PlatformNotFound
from hibiscusstep.log import decision
from hibiscusstep.mailbox import Tick, Worker
from hibiscusstep.membership.mesh import ViewChanged
from hibiscusstep.membership.view import View
from hibiscusstep.peer import ConfigurationAsk, ConfigurationReply, Received
from hibiscusstep.peerlink import Send
from hibiscusstep.store import Platform

__all__ = ["ConfigurationUpdater"]

_LOG = logging.getLogger(__name__)
TICK_S = 0.25
WATCH_TIMEOUT_S = 20.0
RETRY_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class _ConfigurationRead:
    """A version was read from the platform."""

    version: int
    value: bytes


class ConfigurationUpdater(Worker):
    """Worker that fetches the configuration; the version in force never decreases.

    A few instances watch the platform (a waiting watch is a counted call). The others
    see a higher version in a heartbeat and request it from the sender. Until it has a
    configuration, an instance asks both the platform and its peers.

    Parameters
    ----------
    name : str
        Name of this instance.
    watchers : int
        Number of instances that watch the platform.
    platform : Platform
        Stores the configuration.
    links : Worker
        Sends messages to peers.
    publish : callable of ConfigurationInForce
        Called with each new version.
    """

    def __init__(
        self,
        name: str,
        watchers: int,
        platform: Platform,
        links: Worker,
        publish: Callable[[ConfigurationInForce], None],
    ) -> None:
        super().__init__("configuration-keeper", tick_interval=TICK_S)
        self._own_name = name
        self._watcher_count = watchers
        self._platform = platform
        self._links = links
        self._publish = publish
        self._view = View()
        self._in_force = ConfigurationInForce()
        self._rejected: set[int] = set()
        self._watch: asyncio.Task | None = None
        self._random = random.Random(name)

    async def stop(self) -> None:
        """Cancel the watch."""
        if self._watch:
            self._watch.cancel()

    async def handle(self, message) -> None:
        """Handle a tick, a view, a version, or a peer's request or reply."""
        match message:
            case Tick():
                self._check_for_updates()
            case ViewChanged(view=view):
                self._view = view
            case _ConfigurationRead():
                self._apply_version(message.version, message.value)
            case Received(sender=sender, message=ConfigurationAsk(number=number)):
                reply = ConfigurationReply(
                    number, self._in_force.version, self._in_force.value
                )
                self._links.tell(Send(sender, reply))
            case Received(message=ConfigurationReply(version=version, value=value)):
                self._apply_version(version, value)

    def _check_for_updates(self) -> None:
        newest_peer = max(
            (m for m in self._view.members.values() if m.name != self._own_name),
            key=lambda member: member.version,
            default=None,
        )
        if newest_peer and newest_peer.version > self._in_force.version:
            self._links.tell(Send(newest_peer.peer_address, ConfigurationAsk("")))
        watching = self._own_name in self._view.watchers(self._watcher_count)
        must_watch = watching or not self._in_force.version
        if must_watch and (self._watch is None or self._watch.done()):
            self._watch = asyncio.create_task(self._watch_platform())
        elif not must_watch and self._watch:
            self._watch.cancel()

    async def _watch_platform(self) -> None:
        while True:
            if not self._in_force.version:
                found = await self._platform.get(CONFIGURATION_KEY)
            else:
                after = self._in_force.version
                found = await self._platform.watch(
                    CONFIGURATION_KEY, after, WATCH_TIMEOUT_S
                )
            if found.is_ok() and (item := found.unwrap()):
                self.tell(_ConfigurationRead(item.version, item.value))
                await asyncio.sleep(TICK_S)
            elif found.is_err():
                is_absent = isinstance(found.unwrap_err(), PlatformNotFound)
                await asyncio.sleep(
                    TICK_S if is_absent else RETRY_INTERVAL_S * self._jitter_factor()
                )

    def _jitter_factor(self) -> float:
        return 0.5 + self._random.random()

    def _apply_version(self, version: int, value: bytes) -> None:
        if version <= self._in_force.version or version in self._rejected:
            return
        try:
            configuration = StoredConfiguration.parse(value).load()
            if self._in_force.configuration:
                self._in_force.configuration.check_successor(configuration)
        except ConfigurationError as error:
            self._rejected.add(version)
            _LOG.error(
                "configuration refused", extra={"version": version, "error": str(error)}
            )
            return
        self._in_force = ConfigurationInForce(version, value, configuration)
        decision("configuration-in-force", version=version)
        self._publish(self._in_force)
