"""hibiscusstep.claims.writer: the claim shards that an instance writes."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from hibiscusstep.claims.index import ClaimVerdict
from hibiscusstep.claims.records import ClaimRecord
from hibiscusstep.claims.shard import PendingRequest, ShardWriter
from hibiscusstep.configuration.in_force import ConfigurationInForce
from hibiscusstep.configuration.models import ClaimSettings
from hibiscusstep.mailbox import Tick, Worker
from hibiscusstep.membership.mesh import ViewChanged
from hibiscusstep.membership.view import View
from hibiscusstep.peer import ClaimAsk, ClaimRelease, ClaimReply, Received
from hibiscusstep.peerlink import Send
from hibiscusstep.store import Platform

__all__ = ["ClaimWriter"]

TICK_S = 0.1


@dataclass(slots=True, eq=False)
class _RunningShard:
    writer: ShardWriter
    task: asyncio.Task


class ClaimWriter(Worker):
    """Server of the claims of all instances, for the shards that it is asked about.

    The view only selects the instance to ask. Two concurrent writers of a shard are
    safe, see `hibiscusstep.claims.records`.

    Parameters
    ----------
    name, address : str
        Name and peer address of this instance.
    platform : Platform
        Stores the claims.
    links : Worker
        Sends messages to peers.
    deliver_local : callable of Received
        Delivers replies to the claim client of this instance.
    """

    def __init__(
        self,
        name: str,
        address: str,
        platform: Platform,
        links: Worker,
        deliver_local: Callable[[Received], None],
    ) -> None:
        super().__init__("claim-writer", tick_interval=TICK_S)
        self._own_name = name
        self._address = address
        self._platform = platform
        self._links = links
        self._deliver_local = deliver_local
        self._settings = ClaimSettings()
        self._view = View()
        self._shards: dict[int, _RunningShard] = {}

    async def stop(self) -> None:
        """Cancel the tasks of all shards."""
        for shard in self._shards.values():
            shard.task.cancel()
        self._shards = {}

    @property
    def write_counts(self) -> tuple[int, int]:
        """Number of writes, and number of claims written by them."""
        writers = [shard.writer for shard in self._shards.values()]
        return sum(w.writes for w in writers), sum(w.claims_written for w in writers)

    async def handle(self, message) -> None:
        """Handle a claim, a release, a view, a configuration or a tick."""
        match message:
            case Received(sender=sender, message=ClaimAsk() as ask):
                self._handle_claim(sender, ask)
            case Received(message=ClaimRelease() as release):
                self._handle_release(release)
            case ViewChanged(view=view):
                self._view = view
                self._drop_reassigned_shards()
            case ConfigurationInForce(configuration=configuration):
                self._settings = configuration.claims
            case Tick():
                now = asyncio.get_running_loop().time()
                for shard in self._shards.values():
                    shard.writer.expire(now)

    def _handle_claim(self, sender: str, ask: ClaimAsk) -> None:
        record = ClaimRecord(
            ask.digest,
            ask.body_digest,
            ask.holder,
            ask.incarnation,
            ask.attempt,
            int(time.time()),
        )
        pending = PendingRequest(
            record,
            ask.supersedes,
            ask.lookup,
            asyncio.get_running_loop().time() + self._settings.timeout,
            lambda verdict: self._send_reply(sender, ask.number, verdict),
        )
        self._get_or_start_shard(ask.shard).writer.add(pending)

    def _handle_release(self, release: ClaimRelease) -> None:
        record = ClaimRecord(
            release.digest, b"", "", "", release.attempt, int(time.time()), True
        )
        self._get_or_start_shard(release.shard).writer.release(record)

    def _send_reply(self, address: str, number: str, verdict: ClaimVerdict) -> None:
        record = verdict.record or ClaimRecord(b"", b"", "", "", "", 0)
        reply = ClaimReply(
            number,
            verdict.result,
            record.holder,
            record.incarnation,
            record.attempt,
            record.body_digest,
        )
        if address == self._address:
            self._deliver_local(Received(address, reply))
        else:
            self._links.tell(Send(address, reply))

    def _get_or_start_shard(self, number: int) -> _RunningShard:
        shard = self._shards.get(number)
        if shard is None or shard.task.done():
            settings = self._settings
            writer = ShardWriter(
                number,
                self._platform,
                settings.retention,
                settings.shards / settings.writes_per_second,
            )
            task = asyncio.create_task(writer.run(), name=f"claim shard {number}")
            shard = _RunningShard(writer, task)
            self._shards[number] = shard
        return shard

    def _drop_reassigned_shards(self) -> None:
        """Free the idle shards that another instance writes now."""
        for number, shard in list(self._shards.items()):
            if (
                self._view.claim_writer_of(number) != self._own_name
                and shard.writer.is_idle
            ):
                shard.task.cancel()
                del self._shards[number]
