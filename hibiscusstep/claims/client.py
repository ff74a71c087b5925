"""hibiscusstep.claims.client: sends the claims of requests to the shard writers."""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass

from hibiscusstep.claims.index import ClaimResult, ClaimVerdict
from hibiscusstep.claims.records import ClaimRecord, shard_of
from hibiscusstep.configuration.in_force import ConfigurationInForce
from hibiscusstep.configuration.models import ClaimSettings
from hibiscusstep.mailbox import Call, Tick, Worker
from hibiscusstep.membership.mesh import ViewChanged
from hibiscusstep.membership.view import Member, View
from hibiscusstep.peer import ClaimAsk, ClaimRelease, ClaimReply, Received
from hibiscusstep.peerlink import LinkLost, Send

__all__ = ["ClaimClient", "ClaimRequest", "ReleaseRequest"]

TICK_S = 0.1
REPLY_GRACE_S = 0.3


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """A request to claim a key for an attempt, or to look the key up.

    Parameters
    ----------
    digest, body_digest : bytes
        Digests of the key and of the request.
    attempt : str
        Attempt that will be dispatched if the claim is confirmed.
    supersedes : str
        Earlier attempt that its holder reports as dead.
    lookup : bool
        Whether to look the key up without writing a claim.
    """

    digest: bytes
    body_digest: bytes
    attempt: str
    supersedes: str = ""
    lookup: bool = False


@dataclass(frozen=True, slots=True)
class ReleaseRequest:
    """A request to release a key whose attempt will never be dispatched."""

    digest: bytes
    attempt: str


@dataclass(slots=True, eq=False)
class _PendingClaim:
    """A claim that waits for the reply of its shard's writer.

    Parameters
    ----------
    call : Call
        The claim request to answer.
    shard : int
        Shard of the key.
    ask : ClaimAsk
        Message sent to the writer.
    deadline : float
        When the claim times out, in seconds on the loop's clock.
    writer : Member or None
        Instance that the message was sent to; None if the message may be lost.
    """

    call: Call
    shard: int
    ask: ClaimAsk
    deadline: float
    writer: Member | None = None


class ClaimClient(Worker):
    """Client of the claim writers for the requests of this instance.

    If the writer is lost, the claim is resent to the next one. This is safe, since a
    writer confirms an attempt that already holds its key. A claim that is not confirmed
    in time is answered *unavailable* and released: the requester must treat its attempt
    as dead, that is never dispatch it.

    Parameters
    ----------
    name, incarnation, address : str
        Name, incarnation and peer address of this instance.
    links : Worker
        Sends messages to peers.
    deliver_local : callable of Received
        Delivers messages to the claim writer of this instance.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        address: str,
        links: Worker,
        deliver_local: Callable[[Received], None],
    ) -> None:
        super().__init__("claimer", tick_interval=TICK_S)
        self._own_name = name
        self._incarnation = incarnation
        self._address = address
        self._links = links
        self._deliver_local = deliver_local
        self._settings = ClaimSettings()
        self._view = View()
        self._pending: dict[str, _PendingClaim] = {}
        self._claim_numbers = itertools.count()

    async def handle(self, message) -> None:
        """Handle a claim, a reply, a view, a configuration or a tick."""
        match message:
            case Call(body=ClaimRequest()):
                self._send_claim(message)
            case ReleaseRequest(digest=digest, attempt=attempt):
                self._release(digest, attempt)
            case Received(message=ClaimReply() as reply):
                self._handle_reply(reply)
            case ViewChanged(view=view):
                self._view = view
                self._resend_claims()
            case LinkLost(address=address):
                self._mark_lost(address)
            case ConfigurationInForce(configuration=configuration):
                self._settings = configuration.claims
            case Tick():
                self._expire()
                self._resend_claims()

    def _send_claim(self, call: Call) -> None:
        request = call.body
        number = f"{self._incarnation}.{next(self._claim_numbers)}"
        shard = shard_of(request.digest, self._settings.shards)
        ask = ClaimAsk(
            number,
            shard,
            request.digest,
            request.body_digest,
            self._own_name,
            self._incarnation,
            request.attempt,
            request.supersedes,
            request.lookup,
        )
        writer = self._send_to_writer(shard, ask)
        if writer is None:
            call.reply(ClaimVerdict(ClaimResult.UNAVAILABLE))
            return
        timeout = self._settings.timeout + REPLY_GRACE_S
        deadline = asyncio.get_running_loop().time() + timeout
        self._pending[number] = _PendingClaim(call, shard, ask, deadline, writer)

    def _resend_claims(self) -> None:
        """Resend the claims whose writer was lost or no longer writes the shard."""
        for pending in self._pending.values():
            writer = self._find_writer(pending.shard)
            sent_to = pending.writer.incarnation if pending.writer else ""
            if writer and writer.incarnation != sent_to:
                pending.writer = self._send_to_writer(pending.shard, pending.ask)

    def _mark_lost(self, address: str) -> None:
        """Mark the claims sent to a peer as possibly lost, to resend them soon."""
        for pending in self._pending.values():
            if pending.writer and pending.writer.peer_address == address:
                pending.writer = None

    def _handle_reply(self, reply: ClaimReply) -> None:
        pending = self._pending.pop(reply.number, None)
        if pending is None:
            return
        record = ClaimRecord(
            pending.call.body.digest,
            reply.body_digest,
            reply.holder,
            reply.incarnation,
            reply.attempt,
            0,
        )
        pending.call.reply(ClaimVerdict(ClaimResult(reply.result), record))

    def _expire(self) -> None:
        now = asyncio.get_running_loop().time()
        for number, pending in list(self._pending.items()):
            if pending.deadline <= now:
                del self._pending[number]
                pending.call.reply(ClaimVerdict(ClaimResult.UNAVAILABLE))
                if not pending.call.body.lookup:
                    self._release(pending.call.body.digest, pending.call.body.attempt)

    def _release(self, digest: bytes, attempt: str) -> None:
        shard = shard_of(digest, self._settings.shards)
        self._send_to_writer(shard, ClaimRelease(shard, digest, attempt))

    def _find_writer(self, shard: int) -> Member | None:
        """Return the member that writes a shard's claims, or None if there is none."""
        return self._view.members.get(self._view.claim_writer_of(shard))

    def _send_to_writer(self, shard: int, message) -> Member | None:
        """Send a message to the writer of a shard and return that member."""
        writer = self._find_writer(shard)
        if writer is None:
            return None
        if writer.name == self._own_name:
            self._deliver_local(Received(self._address, message))
        else:
            self._links.tell(Send(writer.peer_address, message))
        return writer
