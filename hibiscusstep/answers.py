"""hibiscusstep.answers: what became of this instance's attempts with a key."""

import enum
import itertools
from collections import OrderedDict
from dataclasses import dataclass, field

from hibiscusstep.mailbox import Question, Worker
from hibiscusstep.membership.view import View
from hibiscusstep.membership.worker import ViewChanged
from hibiscusstep.peer import AnswerAsk, AnswerReply, Received
from hibiscusstep.peerlink import Send

__all__ = [
    "AnswerKeeper",
    "AnswerState",
    "AttemptBegun",
    "AttemptEnded",
    "FetchAnswer",
    "KeptAnswer",
]

MAX_ATTEMPTS = 20_000


class AnswerState(enum.StrEnum):
    """What is known of an attempt."""

    RUNNING = "running"
    KEPT = "kept"
    DEAD = "dead"
    GONE = "gone"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """What became of an attempt, and its answer if it was kept."""

    state: AnswerState
    status: int = 0
    content_type: str = ""
    body: bytes = field(default=b"", repr=False)


@dataclass(frozen=True, slots=True)
class AttemptBegun:
    """An attempt with a key is on its way to its claim."""

    digest: bytes
    attempt: str


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended: its answer was kept, or it is dead, or no answer is left."""

    attempt: str
    answer: KeptAnswer


@dataclass(frozen=True, slots=True)
class FetchAnswer:
    """What became of an attempt of an instance? Waits while it runs.

    Parameters
    ----------
    holder, incarnation, attempt : str
        Who held it and which.
    """

    holder: str
    incarnation: str
    attempt: str


@dataclass(slots=True, eq=False)
class _Attempt:
    answer: KeptAnswer | None = None
    waiting: list = field(default_factory=list)


class AnswerKeeper(Worker):
    """Keeps answers to repeated keys, bounded in bytes, and asks peers for theirs.

    Parameters
    ----------
    name, incarnation, address : str
        Own name, incarnation and peer address.
    links : Worker
        Sends to peers.
    max_bytes : int
        Memory for kept answers; the oldest go first.
    """

    def __init__(self, name, incarnation, address, links, max_bytes: int) -> None:
        super().__init__("answer-keeper")
        self._own_name = name
        self._incarnation = incarnation
        self._address = address
        self._links = links
        self._max_bytes = max_bytes
        self._bytes = 0
        self._view = View()
        self._attempts: OrderedDict[str, _Attempt] = OrderedDict()
        self._asked: dict[str, Question] = {}
        self._numbers = itertools.count()

    async def handle(self, message) -> None:
        """Take a beginning, an end, a question, or a peer's question or reply."""
        match message:
            case AttemptBegun(attempt=attempt):
                self._attempts[attempt] = _Attempt()
                self._bound()
            case AttemptEnded(attempt=attempt, answer=answer):
                self._end(attempt, answer)
            case Question(body=FetchAnswer() as fetch):
                self._fetch(message, fetch)
            case Received(sender=sender, message=AnswerAsk(number, attempt)):
                self._when_known(attempt, _ReplyTo(self, sender, number))
            case Received(message=AnswerReply() as reply):
                self._take_reply(reply)
            case ViewChanged(view=view):
                self._view = view
                self._give_up_on_gone()

    def _end(self, attempt: str, answer: KeptAnswer) -> None:
        entry = self._attempts.setdefault(attempt, _Attempt())
        entry.answer = answer
        self._bytes += len(answer.body)
        for waiting in entry.waiting:
            waiting.reply(answer)
        entry.waiting = []
        self._bound()

    def _bound(self) -> None:
        """Forget the oldest bodies and attempts; what runs is never forgotten."""
        for attempt, entry in list(self._attempts.items()):
            crowded = len(self._attempts) > MAX_ATTEMPTS
            if self._bytes <= self._max_bytes and not crowded:
                return
            if entry.answer is None:
                continue
            self._bytes -= len(entry.answer.body)
            if crowded:
                del self._attempts[attempt]
            elif entry.answer.body:
                entry.answer = KeptAnswer(AnswerState.GONE)

    def _when_known(self, attempt: str, waiting) -> None:
        entry = self._attempts.get(attempt)
        if entry is None:
            waiting.reply(KeptAnswer(AnswerState.GONE))
        elif entry.answer is None:
            entry.waiting.append(waiting)
        else:
            waiting.reply(entry.answer)

    def _fetch(self, question: Question, fetch: FetchAnswer) -> None:
        if fetch.incarnation == self._incarnation:
            self._when_known(fetch.attempt, question)
        elif not self._view.holds(fetch.holder, fetch.incarnation):
            question.reply(KeptAnswer(AnswerState.UNREACHABLE))
        else:
            number = f"{self._incarnation}.{next(self._numbers)}"
            self._asked[number] = question
            address = self._view.members[fetch.holder].peer_address
            self._links.tell(Send(address, AnswerAsk(number, fetch.attempt)))

    def _take_reply(self, reply: AnswerReply) -> None:
        asking = self._asked.pop(reply.number, None)
        if asking:
            asking.reply(
                KeptAnswer(
                    AnswerState(reply.state),
                    reply.status,
                    reply.content_type,
                    reply.body,
                )
            )

    def _give_up_on_gone(self) -> None:
        for number, asking in list(self._asked.items()):
            fetch = asking.body
            if not self._view.holds(fetch.holder, fetch.incarnation):
                del self._asked[number]
                asking.reply(KeptAnswer(AnswerState.UNREACHABLE))

    def send_reply(self, sender: str, number: str, answer: KeptAnswer) -> None:
        """Send what became of an attempt to the peer that asked."""
        reply = AnswerReply(
            number, answer.state, answer.status, answer.content_type, answer.body
        )
        self._links.tell(Send(sender, reply))


@dataclass(slots=True, eq=False)
class _ReplyTo:
    keeper: AnswerKeeper
    sender: str
    number: str

    def reply(self, answer: KeptAnswer) -> None:
        self.keeper.send_reply(self.sender, self.number, answer)
