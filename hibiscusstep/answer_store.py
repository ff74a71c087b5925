"""hibiscusstep.answer_store: keeps the outcomes of attempts with an idempotency key."""

import enum
import itertools
from collections import OrderedDict
from dataclasses import dataclass, field

from hibiscusstep.mailbox import Call, Worker
from hibiscusstep.membership.mesh import ViewChanged
from hibiscusstep.membership.view import View
from hibiscusstep.peer import AnswerAsk, AnswerReply, Received
from hibiscusstep.peerlink import Send

__all__ = [
    "AnswerStore",
    "AnswerState",
    "AttemptEnded",
    "AttemptStarted",
    "FetchAnswer",
    "KeptAnswer",
]

MAX_ATTEMPTS = 20_000


class AnswerState(enum.StrEnum):
    """State of an attempt's answer.

    `DEAD` attempts were never dispatched. Of `GONE` attempts the answer is not kept.
    `UNREACHABLE` ones belong to an instance that is dead or does not reply.
    """

    RUNNING = "running"
    KEPT = "kept"
    DEAD = "dead"
    GONE = "gone"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """Outcome of an attempt, with its answer if it was kept."""

    state: AnswerState
    status: int = 0
    content_type: str = ""
    body: bytes = field(default=b"", repr=False)


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """An attempt is about to claim its key."""

    digest: bytes
    attempt: str


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended: its answer was kept, it is dead, or its answer is gone."""

    attempt: str
    answer: KeptAnswer


@dataclass(frozen=True, slots=True)
class FetchAnswer:
    """A request for the outcome of an attempt; the reply waits while that runs.

    Parameters
    ----------
    holder, incarnation, attempt : str
        The instance that ran it, its incarnation, and the attempt.
    """

    holder: str
    incarnation: str
    attempt: str


@dataclass(slots=True, eq=False)
class _Attempt:
    answer: KeptAnswer | None = None
    waiting: list = field(default_factory=list)


class AnswerStore(Worker):
    """Keeps answers for repeated keys up to a size limit, and fetches them from peers.

    Parameters
    ----------
    name, incarnation, address : str
        Own name, incarnation and peer address.
    links : Worker
        Sends messages to peers.
    max_bytes : int
        Limit of the kept answers' size; the oldest are evicted first.
    """

    def __init__(self, name, incarnation, address, links, max_bytes: int) -> None:
        super().__init__("answer-keeper")
        self._own_name = name
        self._incarnation = incarnation
        self._address = address
        self._links = links
        self._max_bytes = max_bytes
        self._kept_bytes = 0
        self._view = View()
        self._attempts: OrderedDict[str, _Attempt] = OrderedDict()
        self._pending_fetches: dict[str, Call] = {}
        self._fetch_numbers = itertools.count()

    async def handle(self, message) -> None:
        """Handle a start or end of an attempt, a fetch, a peer's message or a view."""
        match message:
            case AttemptStarted(attempt=attempt):
                self._attempts[attempt] = _Attempt()
                self._evict()
            case AttemptEnded(attempt=attempt, answer=answer):
                self._finish(attempt, answer)
            case Call(body=FetchAnswer() as fetch):
                self._fetch(message, fetch)
            case Received(sender=sender, message=AnswerAsk(number, attempt)):
                self._reply_when_finished(attempt, _PeerCall(self, sender, number))
            case Received(message=AnswerReply() as reply):
                self._handle_reply(reply)
            case ViewChanged(view=view):
                self._view = view
                self._fail_lost_fetches()

    def _finish(self, attempt: str, answer: KeptAnswer) -> None:
        entry = self._attempts.setdefault(attempt, _Attempt())
        entry.answer = answer
        self._kept_bytes += len(answer.body)
        for waiting in entry.waiting:
            waiting.reply(answer)
        entry.waiting = []
        self._evict()

    def _evict(self) -> None:
        """Evict the oldest answers and attempts, but never running attempts."""
        for attempt, entry in list(self._attempts.items()):
            too_many = len(self._attempts) > MAX_ATTEMPTS
            if self._kept_bytes <= self._max_bytes and not too_many:
                return
            if entry.answer is None:
                continue
            self._kept_bytes -= len(entry.answer.body)
            if too_many:
                del self._attempts[attempt]
            elif entry.answer.body:
                entry.answer = KeptAnswer(AnswerState.GONE)

    def _reply_when_finished(self, attempt: str, waiting) -> None:
        entry = self._attempts.get(attempt)
        if entry is None:
            waiting.reply(KeptAnswer(AnswerState.GONE))
        elif entry.answer is None:
            entry.waiting.append(waiting)
        else:
            waiting.reply(entry.answer)

    def _fetch(self, call: Call, fetch: FetchAnswer) -> None:
        if fetch.incarnation == self._incarnation:
            self._reply_when_finished(fetch.attempt, call)
        elif not self._view.has_incarnation(fetch.holder, fetch.incarnation):
            call.reply(KeptAnswer(AnswerState.UNREACHABLE))
        else:
            number = f"{self._incarnation}.{next(self._fetch_numbers)}"
            self._pending_fetches[number] = call
            address = self._view.members[fetch.holder].peer_address
            self._links.tell(Send(address, AnswerAsk(number, fetch.attempt)))

    def _handle_reply(self, reply: AnswerReply) -> None:
        pending = self._pending_fetches.pop(reply.number, None)
        if pending:
            pending.reply(
                KeptAnswer(
                    AnswerState(reply.state),
                    reply.status,
                    reply.content_type,
                    reply.body,
                )
            )

    def _fail_lost_fetches(self) -> None:
        for number, pending in list(self._pending_fetches.items()):
            fetch = pending.body
            if not self._view.has_incarnation(fetch.holder, fetch.incarnation):
                del self._pending_fetches[number]
                pending.reply(KeptAnswer(AnswerState.UNREACHABLE))

    def send_reply(self, sender: str, number: str, answer: KeptAnswer) -> None:
        """Send the outcome of an attempt to the peer that asked for it."""
        reply = AnswerReply(
            number, answer.state, answer.status, answer.content_type, answer.body
        )
        self._links.tell(Send(sender, reply))


@dataclass(slots=True, eq=False)
class _PeerCall:
    store: AnswerStore
    sender: str
    number: str

    def reply(self, answer: KeptAnswer) -> None:
        self.store.send_reply(self.sender, self.number, answer)
