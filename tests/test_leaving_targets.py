"""A target that says in its answers that it leaves, while the list does not.

Seen: in a region of nine instances two of them still sent a target new requests 2.2 and
6.0 s after they had passed on an answer of it that said it leaves.

How it came about: the store answered nobody for twelve seconds, so the target could not
write it there; it said so in all its answers, and the instances went on as before.

Cause: what an answer says of its target was not read. A refusal for another target told
the dispatcher of that moment, which kept it to itself.

Proof: no instance knew of it before the store was back, and what came too late had not
waited. The tests below show the same with a list that says nothing at all.
"""

import asyncio

import pytest
from platform_standin import TargetStandIn, answer, chunk, event, stream_head
from test_forwarding import BOUND_S, Site

LEAVING = "Server-Leaving: 1"


def _stream(fields):
    head = stream_head(fields).replace(b"\r\n\r\n", f"\r\n{LEAVING}\r\n\r\n".encode())
    return [head, chunk(event(0)), chunk(b"")]


def _says_so(kind):
    """Return a script by which a target says that it leaves, in one kind of answer."""
    kinds = {
        "an answer": lambda fields: answer(fields, extra=LEAVING),
        "a stream": _stream,
        "a failure": lambda fields: answer(fields, status=500, extra=LEAVING),
        "a refusal": lambda fields: answer(
            fields, status=503, sealed=False, not_run=True, extra=LEAVING
        ),
    }
    return lambda _number, fields, _body: kinds[kind](fields)


@pytest.fixture
async def site(tmp_path, monkeypatch):
    site = Site(tmp_path, monkeypatch)
    yield site
    await site.stop()


async def _until(condition):
    async with asyncio.timeout(BOUND_S):
        while not condition():
            await asyncio.sleep(0.01)


async def _start_and_hear(site, leaving, path="/once/"):
    """Have a target say that it leaves, then add another one."""
    await site.start(leaving)
    await site.call(path)
    await site.add_target(TargetStandIn("t1"))
    await _until(lambda: "t1" in site.instances[0].targets)
    assert leaving.requests
    return len(leaving.requests)


class TestTargetThatSaysItLeaves:
    @pytest.mark.parametrize(
        ("kind", "path"),
        [
            ("an answer", "/once/"),
            ("a stream", "/stream/"),
            ("a failure", "/once/"),
            ("a refusal", "/once/"),
        ],
    )
    async def test_gets_nothing_new(self, site, kind, path):
        leaving = TargetStandIn("t0", _says_so(kind))
        asked = await _start_and_hear(site, leaving, path)
        for _ in range(20):
            await site.call("/once/")
        assert len(leaving.requests) == asked

    async def test_nor_from_instances_that_did_not_hear_it(self, site):
        leaving = TargetStandIn("t0", _says_so("an answer"))
        await site.start(leaving)
        await site.add_instance()
        await _until(lambda: all(i.view.size == 2 for i in site.instances))
        await site.call("/once/")
        asked = len(leaving.requests)
        await site.add_target(TargetStandIn("t1"))
        await _until(lambda: site.instances[1].targets["t0"].leaving)
        for number in range(20):
            await site.call("/once/", instance=number % 2)
        assert len(leaving.requests) == asked

    async def test_nor_from_one_that_starts_while_the_store_is_away(self, site):
        leaving = TargetStandIn("t0", _says_so("an answer"))
        asked = await _start_and_hear(site, leaving)
        await site.add_instance()
        await _until(lambda: site.instances[1].targets["t0"].leaving)
        for _ in range(20):
            await site.call("/once/", instance=1)
        assert len(leaving.requests) == asked

    async def test_stays_leaving_whatever_its_entry_says(self, site):
        leaving = TargetStandIn("t0", _says_so("an answer"))
        asked = await _start_and_hear(site, leaving)
        site.store.put("servers", "t0", leaving.entry("pool-a"))
        site.store.remove("servers", "t0")
        await _until(lambda: "t0" not in site.instances[0].targets)
        site.store.put("servers", "t0", leaving.entry("pool-a"))
        await _until(lambda: "t0" in site.instances[0].targets)
        for _ in range(20):
            await site.call("/once/")
        assert len(leaving.requests) == asked

    async def test_a_new_start_of_it_is_used(self, site):
        leaving = TargetStandIn("t0", _says_so("an answer"), born=1000)
        await _start_and_hear(site, leaving)
        again = TargetStandIn("t0", born=2000)
        await site.add_target(again)
        await _until(lambda: "t0@2000" in site.instances[0].targets)
        await site.targets[1].stop()
        for _ in range(5):
            await site.call("/once/")
        assert again.requests

    async def test_is_left_with_no_idle_connections(self, site):
        leaving = TargetStandIn("t0", _says_so("an answer"))
        await _start_and_hear(site, leaving)
        await _until(lambda: not leaving.open)


class TestTargetThatWantsNothingForAWhile:
    """It turns a request away and says for how long its instance is to stay away."""

    SECONDS = 20

    def _turns_away(self, _number, fields, _body):
        extra = f"Retry-After: {self.SECONDS}"
        return answer(fields, status=503, sealed=False, not_run=True, extra=extra)

    async def test_gets_nothing_from_it(self, site):
        turning = TargetStandIn("t0", self._turns_away)
        asked = await _start_and_hear(site, turning)
        # The dispatcher's own rest of a target that rejects is over in half of that.
        for _ in range(12):
            await asyncio.sleep(0.1)
            assert (await site.call("/once/"))[0] == 200
        assert len(turning.requests) == asked

    async def test_where_all_do_callers_are_told_when_to_come_back(self, site):
        targets = [TargetStandIn(f"t{n}", self._turns_away) for n in range(2)]
        await site.start(*targets)
        statuses = [await site.call("/once/") for _ in range(4)]
        assert [len(target.requests) for target in targets] == [1, 1]
        status, fields, _body = statuses[-1]
        assert status == 503
        assert self.SECONDS / 2 < float(fields["Retry-After"]) <= self.SECONDS

    async def test_another_instance_may_ask_it(self, site):
        turning = TargetStandIn("t0", self._turns_away)
        await site.start(turning)
        await site.add_instance()
        await site.call("/once/")
        await _until(lambda: site.instances[1].targets)
        await site.call("/once/", instance=1)
        assert len(turning.requests) == 2
