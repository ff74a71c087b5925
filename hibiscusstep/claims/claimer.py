"""hibiscusstep.claims.claimer: asks the writers of claims on behalf of requests."""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass

from hibiscusstep.claims.index import ClaimResult, Verdict
from hibiscusstep.claims.records import ClaimRecord, shard_of
from hibiscusstep.configuration.in_force import InForce
from hibiscusstep.configuration.models import Claims
from hibiscusstep.mailbox import Question, Tick, Worker
from hibiscusstep.membership.view import Member, View
from hibiscusstep.membership.worker import ViewChanged
from hibiscusstep.peer import ClaimAsk, ClaimRelease, ClaimReply, Received
from hibiscusstep.peerlink import LinkLost, Send

__all__ = ["ClaimRequest", "Claimer", "ReleaseRequest"]

TICK_S = 0.1
REPLY_GRACE_S = 0.3


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """A key is to be claimed for an attempt, or with `lookup` just looked up.

    Parameters
    ----------
    digest, body_digest : bytes
        Of the key, of the request.
    attempt : str
        Who would dispatch.
    supersedes : str
        Attempt that its holder says is dead.
    lookup : bool
        Whether nothing is to be written.
    """

    digest: bytes
    body_digest: bytes
    attempt: str
    supersedes: str = ""
    lookup: bool = False


@dataclass(frozen=True, slots=True)
class ReleaseRequest:
    """An attempt that may hold a key will never be dispatched."""

    digest: bytes
    attempt: str


@dataclass(slots=True, eq=False)
class _Asked:
    """A claim that waits for its writer.

    Parameters
    ----------
    question : Question
        Who waits for the verdict.
    shard : int
        Of the key.
    ask : ClaimAsk
        What was sent.
    deadline : float
        When it is given up, in seconds on the loop's clock.
    writer : Member or None
        To whom it was sent; None once that may have been lost.
    """

    question: Question
    shard: int
    ask: ClaimAsk
    deadline: float
    writer: Member | None = None


class Claimer(Worker):
    """Turns claims of this instance into messages to the shard's writer and back.

    A claim whose writer is lost is asked of the next one: a writer confirms an attempt
    that holds its key already. One that is not confirmed in time is answered
    *unavailable* and released: whoever asked must take its attempt for dead.

    Parameters
    ----------
    name, incarnation, address : str
        Own name, incarnation and peer address.
    links : Worker
        Sends to peers.
    local : callable of Received
        Takes what is meant for the writer of this instance.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        address: str,
        links: Worker,
        local: Callable[[Received], None],
    ) -> None:
        super().__init__("claimer", tick_interval=TICK_S)
        self._own_name = name
        self._incarnation = incarnation
        self._address = address
        self._links = links
        self._local = local
        self._settings = Claims()
        self._view = View()
        self._asked: dict[str, _Asked] = {}
        self._numbers = itertools.count()

    async def handle(self, message) -> None:
        """Take a claim, a reply, a view, a configuration or a tick."""
        match message:
            case Question(body=ClaimRequest()):
                self._ask(message)
            case ReleaseRequest(digest=digest, attempt=attempt):
                self._release(digest, attempt)
            case Received(message=ClaimReply() as reply):
                self._reply(reply)
            case ViewChanged(view=view):
                self._view = view
                self._ask_again()
            case LinkLost(address=address):
                self._lose(address)
            case InForce(configuration=configuration):
                self._settings = configuration.claims
            case Tick():
                self._expire()
                self._ask_again()

    def _ask(self, question: Question) -> None:
        request = question.body
        number = f"{self._incarnation}.{next(self._numbers)}"
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
        writer = self._send(shard, ask)
        if writer is None:
            question.reply(Verdict(ClaimResult.UNAVAILABLE))
            return
        timeout = self._settings.timeout + REPLY_GRACE_S
        deadline = asyncio.get_running_loop().time() + timeout
        self._asked[number] = _Asked(question, shard, ask, deadline, writer)

    def _ask_again(self) -> None:
        """Ask what was asked of a writer that is lost or has no such duty now."""
        for asked in self._asked.values():
            writer = self._writer(asked.shard)
            known = asked.writer.incarnation if asked.writer else ""
            if writer and writer.incarnation != known:
                asked.writer = self._send(asked.shard, asked.ask)

    def _lose(self, address: str) -> None:
        """Take note that what a peer was sent may be lost; it is asked again soon."""
        for asked in self._asked.values():
            if asked.writer and asked.writer.peer_address == address:
                asked.writer = None

    def _reply(self, reply: ClaimReply) -> None:
        asked = self._asked.pop(reply.number, None)
        if asked is None:
            return
        record = ClaimRecord(
            asked.question.body.digest,
            reply.body_digest,
            reply.holder,
            reply.incarnation,
            reply.attempt,
            0,
        )
        asked.question.reply(Verdict(ClaimResult(reply.result), record))

    def _expire(self) -> None:
        now = asyncio.get_running_loop().time()
        for number, asked in list(self._asked.items()):
            if asked.deadline <= now:
                del self._asked[number]
                asked.question.reply(Verdict(ClaimResult.UNAVAILABLE))
                if not asked.question.body.lookup:
                    self._release(
                        asked.question.body.digest, asked.question.body.attempt
                    )

    def _release(self, digest: bytes, attempt: str) -> None:
        shard = shard_of(digest, self._settings.shards)
        self._send(shard, ClaimRelease(shard, digest, attempt))

    def _writer(self, shard: int) -> Member | None:
        """Return who writes a shard's claims; None where nobody is known."""
        return self._view.members.get(self._view.claim_writer(shard))

    def _send(self, shard: int, message) -> Member | None:
        """Send to the writer of a shard; return who that is."""
        writer = self._writer(shard)
        if writer is None:
            return None
        if writer.name == self._own_name:
            self._local(Received(self._address, message))
        else:
            self._links.tell(Send(writer.peer_address, message))
        return writer
