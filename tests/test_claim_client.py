"""hibiscusstep.claims.client: which writer a claim is sent to."""

import asyncio

import pytest

from hibiscusstep.claims.client import ClaimClient, ClaimRequest
from hibiscusstep.claims.index import ClaimResult
from hibiscusstep.mailbox import Call, Tick
from hibiscusstep.membership.mesh import ViewChanged
from hibiscusstep.membership.view import Member, View
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


class _ClaimerHarness:
    """A claim client among four instances, with its sent messages recorded."""

    def __init__(self, lookup=False):
        self.links = _Links()
        self.local = []
        self.client = ClaimClient("e0", "e0-1", "e0:1", self.links, self.local.append)
        self.names = ["e0", "e1", "e2", "e3"]
        self.request = ClaimRequest(DIGEST, b"body", "attempt", lookup=lookup)

    async def send_claim(self):
        await self.client.handle(ViewChanged(_view(*self.names)))
        call = Call(self.request)
        await self.client.handle(call)
        return call

    @property
    def addresses(self):
        """Addresses that the claim was sent to, in order."""
        return [sent for sent, _message in self.links.sent] + [
            received.sender for received in self.local
        ]

    async def remove_instance(self, address):
        """Remove the instance at an address from the view."""
        self.names = [name for name in self.names if f"{name}:1" != address]
        await self.client.handle(ViewChanged(_view(*self.names)))

    async def confirm(self):
        _address, claim = (self.links.sent or [("", self.local[-1].message)])[-1]
        reply = ClaimReply(
            claim.number, ClaimResult.CONFIRMED, "e0", "e0-1", "attempt", b""
        )
        await self.client.handle(Received("w:1", reply))


class TestWriterLost:
    """A claim sent to an instance that was then killed was refused: its caller got *not
    run* although another instance could have written the claim.
    """

    @pytest.mark.parametrize("lookup", [False, True])
    async def test_the_claim_is_sent_to_the_next_writer(self, lookup):
        harness = _ClaimerHarness(lookup)
        call = await harness.send_claim()
        await harness.remove_instance(harness.addresses[0])
        assert len(harness.addresses) == 2
        assert harness.addresses[0] != harness.addresses[1]
        await harness.confirm()
        assert call.answer.result().result is ClaimResult.CONFIRMED

    async def test_the_claim_is_resent_to_a_restarted_writer(self):
        harness = _ClaimerHarness()
        await harness.send_claim()
        await harness.client.handle(ViewChanged(_view(*harness.names, incarnation="2")))
        assert harness.addresses == [harness.addresses[0]] * 2

    async def test_the_claim_is_resent_after_a_lost_connection(self):
        harness = _ClaimerHarness()
        await harness.send_claim()
        await harness.client.handle(LinkLost(harness.addresses[0]))
        assert len(harness.addresses) == 1
        await harness.client.handle(Tick())
        assert harness.addresses == [harness.addresses[0]] * 2

    async def test_the_resent_claim_is_identical(self):
        harness = _ClaimerHarness()
        await harness.send_claim()
        await harness.remove_instance(harness.addresses[0])
        sent = [message for _address, message in harness.links.sent]
        sent += [received.message for received in harness.local]
        assert len(set(map(repr, sent))) == 1

    async def test_an_answered_claim_is_not_resent(self):
        harness = _ClaimerHarness()
        await harness.send_claim()
        await harness.confirm()
        await harness.remove_instance(harness.addresses[0])
        assert len(harness.addresses) == 1


class TestUnchangedWriter:
    async def test_gets_the_claim_once(self):
        harness = _ClaimerHarness()
        await harness.send_claim()
        await harness.client.handle(ViewChanged(_view(*harness.names)))
        await harness.client.handle(Tick())
        await harness.client.handle(LinkLost("another:1"))
        await harness.client.handle(Tick())
        assert len(harness.addresses) == 1

    async def test_a_claim_that_gets_no_answer_is_unavailable(self):
        harness = _ClaimerHarness()
        call = await harness.send_claim()
        harness.client._settings = harness.client._settings.model_copy(
            update={"timeout": -1.0}
        )
        late = Call(harness.request)
        await harness.client.handle(late)
        await harness.client.handle(Tick())
        assert late.answer.result().result is ClaimResult.UNAVAILABLE
        assert not call.answer.done()
        await asyncio.sleep(0)
