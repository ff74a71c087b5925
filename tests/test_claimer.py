"""hibiscusstep.claims.claimer: whose claims are asked of whom."""

import asyncio

import pytest

from hibiscusstep.claims.claimer import Claimer, ClaimRequest
from hibiscusstep.claims.index import ClaimResult
from hibiscusstep.mailbox import Question, Tick
from hibiscusstep.membership.view import Member, View
from hibiscusstep.membership.worker import ViewChanged
from hibiscusstep.peer import ClaimReply, Received
from hibiscusstep.peerlink import LinkLost

DIGEST = b"d" * 16


class _Links:
    def __init__(self):
        self.sent = []

    def tell(self, message):
        self.sent.append((message.address, message.message))


def _view(*names, incarnation="1"):
    members = {
        name: Member(
            name, f"{name}-{incarnation}", "dc", "r", f"{name}:1", f"{name}:2", 1, True,
            False,
        )
        for name in names
    }  # fmt: skip
    return View(members)


class _World:
    """A claimer among three instances; `writer` has the shard of the key."""

    def __init__(self, lookup=False):
        self.links = _Links()
        self.local = []
        self.claimer = Claimer("e0", "e0-1", "e0:1", self.links, self.local.append)
        self.names = ["e0", "e1", "e2", "e3"]
        self.request = ClaimRequest(DIGEST, b"body", "attempt", lookup=lookup)

    async def ask(self):
        await self.claimer.handle(ViewChanged(_view(*self.names)))
        question = Question(self.request)
        await self.claimer.handle(question)
        return question

    @property
    def asked(self):
        """Whom the claim was asked of, in order."""
        return [sent for sent, _message in self.links.sent] + [
            received.sender for received in self.local
        ]

    async def lose(self, address):
        """The instance at an address is gone; return the view without it."""
        self.names = [name for name in self.names if f"{name}:1" != address]
        await self.claimer.handle(ViewChanged(_view(*self.names)))

    async def confirm(self):
        _address, ask = (self.links.sent or [("", self.local[-1].message)])[-1]
        reply = ClaimReply(
            ask.number, ClaimResult.CONFIRMED, "e0", "e0-1", "attempt", b""
        )
        await self.claimer.handle(Received("w:1", reply))


class TestWriterLost:
    """A claim in the hands of an instance that was killed was refused: its caller was
    told that the request was not run, although nothing else was wrong.
    """

    @pytest.mark.parametrize("lookup", [False, True])
    async def test_the_next_writer_is_asked(self, lookup):
        world = _World(lookup)
        question = await world.ask()
        await world.lose(world.asked[0])
        assert len(world.asked) == 2
        assert world.asked[0] != world.asked[1]
        await world.confirm()
        assert question.answer.result().result is ClaimResult.CONFIRMED

    async def test_one_that_started_again_is_asked_again(self):
        world = _World()
        await world.ask()
        await world.claimer.handle(ViewChanged(_view(*world.names, incarnation="2")))
        assert world.asked == [world.asked[0]] * 2

    async def test_a_lost_connection_is_enough(self):
        world = _World()
        await world.ask()
        await world.claimer.handle(LinkLost(world.asked[0]))
        assert len(world.asked) == 1
        await world.claimer.handle(Tick())
        assert world.asked == [world.asked[0]] * 2

    async def test_it_is_the_same_attempt(self):
        world = _World()
        await world.ask()
        await world.lose(world.asked[0])
        sent = [message for _address, message in world.links.sent]
        sent += [received.message for received in world.local]
        assert len(set(map(repr, sent))) == 1

    async def test_an_answered_one_is_not_asked_again(self):
        world = _World()
        await world.ask()
        await world.confirm()
        await world.lose(world.asked[0])
        assert len(world.asked) == 1


class TestWriterThatStays:
    async def test_is_asked_once(self):
        world = _World()
        await world.ask()
        await world.claimer.handle(ViewChanged(_view(*world.names)))
        await world.claimer.handle(Tick())
        await world.claimer.handle(LinkLost("another:1"))
        await world.claimer.handle(Tick())
        assert len(world.asked) == 1

    async def test_a_claim_that_gets_no_answer_is_unavailable(self):
        world = _World()
        question = await world.ask()
        world.claimer._settings = world.claimer._settings.model_copy(
            update={"timeout": -1.0}
        )
        late = Question(world.request)
        await world.claimer.handle(late)
        await world.claimer.handle(Tick())
        assert late.answer.result().result is ClaimResult.UNAVAILABLE
        assert not question.answer.done()
        await asyncio.sleep(0)
