"""hibiscusstep.claims.writer: the shards of claims that fall to an instance."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from hibiscusstep.claims.index import Verdict
from hibiscusstep.claims.records import ClaimRecord
from hibiscusstep.claims.shard import Pending, ShardWriter
from hibiscusstep.configuration.in_force import InForce
from hibiscusstep.configuration.models import Claims
from hibiscusstep.mailbox import Tick, Worker
from hibiscusstep.membership.view import View
from hibiscusstep.membership.worker import ViewChanged
from hibiscusstep.peer import ClaimAsk, ClaimRelease, ClaimReply, Received
from hibiscusstep.peerlink import Send
from hibiscusstep.store import Platform

__all__ = ["ClaimWriter"]

TICK_S = 0.1


@dataclass(slots=True, eq=False)
class _Shard:
    writer: ShardWriter
    task: asyncio.Task


class ClaimWriter(Worker):
    """Answers claims of all instances for the shards that it is asked about.

    The view only says whom to ask; two writers of a shard at once are safe, see
    `hibiscusstep.claims.records`.

    Parameters
    ----------
    name, address : str
        Own name and peer address.
    platform : Platform
        Where the claims live.
    links : Worker
        Sends to peers.
    local : callable of Received
        Takes replies that are meant for this instance.
    """

    def __init__(
        self,
        name: str,
        address: str,
        platform: Platform,
        links: Worker,
        local: Callable[[Received], None],
    ) -> None:
        super().__init__("claim-writer", tick_interval=TICK_S)
        self._own_name = name
        self._address = address
        self._platform = platform
        self._links = links
        self._local = local
        self._settings = Claims()
        self._view = View()
        self._shards: dict[int, _Shard] = {}

    async def stop(self) -> None:
        """End all shards."""
        for shard in self._shards.values():
            shard.task.cancel()
        self._shards = {}

    @property
    def totals(self) -> tuple[int, int]:
        """Writes made, and claims written by them."""
        writers = [shard.writer for shard in self._shards.values()]
        return sum(w.writes for w in writers), sum(w.claims_written for w in writers)

    async def handle(self, message) -> None:
        """Take a claim, a release, a view, a configuration or a tick."""
        match message:
            case Received(sender=sender, message=ClaimAsk() as ask):
                self._claim(sender, ask)
            case Received(message=ClaimRelease() as release):
                self._release(release)
            case ViewChanged(view=view):
                self._view = view
                self._drop_shards()
            case InForce(configuration=configuration):
                self._settings = configuration.claims
            case Tick():
                now = asyncio.get_running_loop().time()
                for shard in self._shards.values():
                    shard.writer.expire(now)

    def _claim(self, sender: str, ask: ClaimAsk) -> None:
        record = ClaimRecord(
            ask.digest,
            ask.body_digest,
            ask.holder,
            ask.incarnation,
            ask.attempt,
            int(time.time()),
        )
        pending = Pending(
            record,
            ask.supersedes,
            ask.lookup,
            asyncio.get_running_loop().time() + self._settings.timeout,
            lambda verdict: self._reply(sender, ask.number, verdict),
        )
        self._shard(ask.shard).writer.add(pending)

    def _release(self, release: ClaimRelease) -> None:
        record = ClaimRecord(
            release.digest, b"", "", "", release.attempt, int(time.time()), True
        )
        self._shard(release.shard).writer.release(record)

    def _reply(self, address: str, number: str, verdict: Verdict) -> None:
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
            self._local(Received(address, reply))
        else:
            self._links.tell(Send(address, reply))

    def _shard(self, number: int) -> _Shard:
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
            shard = _Shard(writer, task)
            self._shards[number] = shard
        return shard

    def _drop_shards(self) -> None:
        """Give up the memory of shards that now fall to another instance."""
        for number, shard in list(self._shards.items()):
            if self._view.claim_writer(number) != self._own_name and shard.writer.idle:
                shard.task.cancel()
                del self._shards[number]
