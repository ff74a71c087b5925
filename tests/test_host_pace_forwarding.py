"""The pace of a target's host, from a response's head to the pool's dispatchers.

It must reach the dispatcher with messages that are sent anyway, and a malformed value
must change nothing.
"""

import asyncio

import pytest
from cluster import wait_until
from platform_standin import TargetStandIn, answer, chunk, event, stream_head
from test_dispatch_client import _Fixture
from test_forwarding import Site

from hibiscusstep.grant_messages import FirstTokenReceived, RequestEnded
from hibiscusstep.peer import PoolAsk, PoolFinished, PoolFirstToken, PoolGrant, Received
from hibiscusstep.routing import messages as m


class PacedTarget(TargetStandIn):
    """Target that tells its load and the pace of its host in each response.

    Parameters
    ----------
    name : str
        Target id.
    load : str
        Value of the field.
    body_s : float
        Seconds between the head and the body of a response that is not a stream.
    """

    def __init__(self, name, load, body_s=0.0):
        super().__init__(name, self._answer)
        self.load = load
        self._body_s = body_s

    def _answer(self, _number, fields, _body):
        line = f"X-Server-Load: {self.load}"
        if fields.get("x-kind") == "stream":
            head = stream_head(fields)
            return [
                head.replace(b"\r\n\r\n", f"\r\n{line}\r\n\r\n".encode(), 1),
                *(chunk(event(n)) for n in range(3)),
                chunk(b""),
            ]
        whole = answer(fields, extra=line)
        head, body = whole[:-5], whole[-5:]
        return [head, self._body_s, body] if self._body_s else [whole]


@pytest.fixture
async def site(tmp_path, monkeypatch):
    site = Site(tmp_path, monkeypatch)
    yield site
    await site.stop()


async def _start(site, target):
    """Start a deployment and wait for the pool's dispatcher."""
    await site.start(target)
    host = site.instances[0]._dispatcher_host
    await wait_until(lambda: "pool-a" in host._hosted and _hosted(site).recovered)


def _hosted(site):
    return site.instances[0]._dispatcher_host._hosted["pool-a"].dispatcher


def _messages_to_dispatcher(site):
    """Return the messages about requests that the dispatcher receives from now on."""
    received = []
    dispatcher = _hosted(site)
    handle = dispatcher.handle

    def record(message, now):
        if isinstance(message, m.FirstToken | m.Finished):
            received.append(message)
        return handle(message, now)

    dispatcher.handle = record
    return received


class TestForwarding:
    async def test_a_stream_tells_it_with_its_first_event(self, site):
        await _start(site, PacedTarget("t0", "1,0,6,250"))
        received = _messages_to_dispatcher(site)
        await site.call("/stream/", **{"X-Kind": "stream"})
        await wait_until(lambda: len(received) == 2)
        first, finished = received
        assert first.pace == 2.5
        assert (finished.pace, finished.pace_age) == (0.0, 0.0)
        assert _hosted(site).targets["t0"].host_factor > 1.8

    async def test_other_responses_tell_it_at_their_end_with_its_age(self, site):
        """The body may take long, while the pace was told with the head."""
        await _start(site, PacedTarget("t0", "1,0,6,250", body_s=0.3))
        received = _messages_to_dispatcher(site)
        await site.call("/once/")
        await wait_until(lambda: received)
        (finished,) = received
        assert finished.pace == 2.5 and finished.pace_age > 0.2

    async def test_a_target_without_it_tells_nothing(self, site):
        await _start(site, PacedTarget("t0", "1,0,6"))
        received = _messages_to_dispatcher(site)
        await site.call("/once/")
        await site.call("/stream/", **{"X-Kind": "stream"})
        await wait_until(lambda: len(received) == 3)
        assert {message.pace for message in received} == {0.0}
        assert _hosted(site).targets["t0"].host_pace is None

    @pytest.mark.parametrize("value", ["few", "-250", "0", "1e400", ""])
    async def test_a_malformed_value_changes_nothing(self, site, value, caplog):
        caplog.set_level("INFO")
        await _start(site, PacedTarget("t0", f"1,0,6,{value}"))
        statuses = [(await site.call("/once/"))[0] for _ in range(4)]
        assert statuses == [200] * 4
        assert _hosted(site).targets["t0"].host_pace is None
        lines = [r for r in caplog.records if r.message == "pace-malformed"]
        assert [(line.target, line.value) for line in lines] == [
            ("t0", value or "empty")
        ]

    async def test_a_standby_dispatcher_gets_it_with_the_load(self, site):
        await _start(site, PacedTarget("t0", "x,0,6,250"))
        host = site.instances[0]._dispatcher_host
        standby = host._standby_dispatcher("pool-a").dispatcher
        await site.call("/once/")
        await wait_until(lambda: standby.targets["t0"].host_factor > 1.8)

    async def test_operators_see_slow_hosts(self, site):
        await _start(site, PacedTarget("t0", "1,0,6,250"))
        await site.call("/once/")
        await wait_until(lambda: _hosted(site).slow_host_count)
        instance = site.instances[0]
        instance._refresh_gauges()
        content, _headers = instance._metrics.render()
        name = "hibiscusstep_forward_targets_on_slow_hosts"
        assert f'{name}{{pool="pool-a"}} 1' in content.decode()
        now = asyncio.get_running_loop().time()
        assert "host x" in _hosted(site).summary(now)["targets"]["t0"]


class TestDispatchClient:
    async def test_passes_it_on(self):
        """A field that a client drops would turn the mechanism off unnoticed."""
        fixture = _Fixture()
        await fixture.start(n0=False, n1=True)
        await fixture.ask()
        (ask,) = (x for _address, x in fixture.links.sent if isinstance(x, PoolAsk))
        grant = PoolGrant("p", ask.work.ask, "t", 0.0)
        await fixture.client.handle(Received("n1:1", grant))
        fixture.links.sent.clear()
        await fixture.client.handle(FirstTokenReceived("p", ask.work.ask, 0.1, 2.5))
        ended = RequestEnded(
            "p", ask.work.ask, m.GrantOutcome.DONE, pace=1.5, pace_age=0.2
        )
        await fixture.client.handle(ended)
        first, finished = (message for _address, message in fixture.links.sent)
        assert isinstance(first, PoolFirstToken) and first.pace == 2.5
        assert isinstance(finished, PoolFinished)
        assert (finished.pace, finished.pace_age) == (1.5, 0.2)
