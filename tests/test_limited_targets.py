"""Guards against sending a target more requests a second than it said that it takes.

Two targets named in their answers a limit of 1 and 1.4 requests a second, summed over
all instances. In the fullest 4 s they received 41 and 26 requests: no instance read the
limit, and dispatchers bounded only the number of requests that run at a time.

The bound is the one that targets are promised: from 3 s after it first named its limit
no 4 s may bring a target more than one and a half times what the limit allows, plus
five. Arrivals are counted at the targets; a slow machine only makes them fewer.
"""

import asyncio
import bisect
import itertools

import pytest
from cluster import wait_until
from platform_standin import TargetStandIn, answer, chunk, event, stream_head
from test_forwarding import BOUND_S, Site

NOTICE_S = 3.0
WINDOW_S = 4.0
EXCESS_FACTOR, EXCESS_REQUESTS = 1.5, 5
CALLS_PER_S = 12.0
# One whole window after the notice.
LOAD_S = NOTICE_S + WINDOW_S + 1.0


def _with_field(data, field):
    return data.replace(b"\r\n\r\n", f"\r\n{field}\r\n\r\n".encode(), 1)


def limit_field(limit):
    return f"Server-Limit: {limit}"


class LimitedTarget(TargetStandIn):
    """Target that names a limit in each answer, and records when requests arrive.

    Parameters
    ----------
    name : str
        Target id.
    limit : float or str or None
        Value of the field; None to send answers without it.
    """

    def __init__(self, name, limit, **options):
        super().__init__(name, self._answer, **options)
        self.limit = limit
        self.arrivals = []
        self.named_at = None

    def _answer(self, _number, fields, _body):
        now = asyncio.get_running_loop().time()
        self.arrivals.append(now)
        if self.limit is None:
            return answer(fields)
        self.named_at = self.named_at or now
        return self._named(fields, limit_field(self.limit))

    def _named(self, fields, field):
        return answer(fields, extra=field)

    def fullest_window(self):
        """Return the most arrivals within a window that starts after the notice."""
        counted = [at for at in self.arrivals if at >= self.named_at + NOTICE_S]
        return max(
            (
                bisect.bisect_left(counted, at + WINDOW_S) - position
                for position, at in enumerate(counted)
            ),
            default=0,
        )

    def assert_limit_is_kept(self):
        allowed = EXCESS_FACTOR * float(self.limit) * WINDOW_S + EXCESS_REQUESTS
        assert 0 < self.fullest_window() <= allowed


class LimitedStreams(LimitedTarget):
    """Target that names its limit in the heads of streams."""

    def _named(self, fields, field):
        return [_with_field(stream_head(fields), field), chunk(event(0)), chunk(b"")]


@pytest.fixture
async def site(tmp_path, monkeypatch):
    site = Site(tmp_path, monkeypatch)
    yield site
    await site.stop()


async def start_region(site, targets, instances=3):
    """Start targets and instances that all see each other."""
    await site.start(*targets)
    for _ in range(instances - 1):
        await site.add_instance()
    await wait_until(lambda: all(i.view.size == instances for i in site.instances))


async def load(site, seconds, path="/once/", ends_early=False):
    """Call instances in turn at a steady rate; return the answers.

    With `ends_early`, instances may end meanwhile, and calls with them.
    """
    loop = asyncio.get_running_loop()
    started, calls = loop.time(), []
    for number in itertools.count():
        at = started + number / CALLS_PER_S
        if at >= started + seconds:
            break
        await asyncio.sleep(max(0.0, at - loop.time()))
        instance = number % len(site.instances)
        calls.append(asyncio.create_task(site.call(path, instance=instance)))
    return await asyncio.gather(*calls, return_exceptions=ends_early)


# Guards against sending a target that limits its requests as many as any other.
class TestLimitedTarget:
    """A target that names a limit in each answer, under more load than it allows."""

    @pytest.mark.parametrize("limit", [0.7, 1.2])
    async def test_receives_no_more_than_it_allows(self, site, limit):
        limited = LimitedTarget("t0", limit)
        await start_region(site, [limited, TargetStandIn("t1")])
        await load(site, LOAD_S)
        limited.assert_limit_is_kept()

    async def test_receives_no_more_streams_than_it_allows(self, site):
        limited = LimitedStreams("t0", 1.2)
        await start_region(site, [limited])
        await load(site, LOAD_S, "/stream/")
        limited.assert_limit_is_kept()

    async def test_receives_no_more_as_the_only_target(self, site):
        limited = LimitedTarget("t0", 1.2)
        await start_region(site, [limited])
        await load(site, LOAD_S)
        limited.assert_limit_is_kept()

    async def test_nor_do_several_that_are_all_limited(self, site):
        targets = [LimitedTarget(f"t{n}", 0.7) for n in range(3)]
        await start_region(site, targets)
        await load(site, LOAD_S)
        for target in targets:
            target.assert_limit_is_kept()


def _limit_known(site, number, name="t0"):
    """Return the limit of a target as an instance knows it."""
    target = site.instances[number].targets.get(name)
    return target.rate_limit.per_second if target else None


async def _call_until(site, condition, **fields):
    """Call the first instance until a condition holds."""
    async with asyncio.timeout(BOUND_S):
        while not condition():
            await site.call("/once/", **fields)
            await asyncio.sleep(0.02)


class AnsweringTarget(TargetStandIn):
    """Target whose answers a test sets.

    Parameters
    ----------
    name : str
        Target id.
    limit : object
        Value of the field in its answers; None to leave it out.
    kind : str
        Kind of answer.
    """

    def __init__(self, name, limit, kind="answer", **options):
        super().__init__(name, self._answer, **options)
        self.limit = limit
        self.kind = kind

    def _answer(self, _number, fields, _body):
        field = "" if self.limit is None else limit_field(self.limit)
        match self.kind:
            case "stream":
                head = stream_head(fields)
                head = _with_field(head, field) if field else head
                return [head, chunk(event(0)), chunk(b"")]
            case "failure":
                return answer(fields, status=500, extra=field)
            case "rejection":
                return answer(
                    fields, status=503, sealed=False, not_run=True, extra=field
                )
            case "misdirected":
                return answer(fields, status=421, sealed=False, extra=field)
        return answer(fields, extra=field)


class TestHearing:
    """Which answers tell a limit, and its change and end."""

    @pytest.mark.parametrize(
        ("kind", "path"),
        [
            ("answer", "/once/"),
            ("stream", "/stream/"),
            ("failure", "/once/"),
            ("rejection", "/once/"),
        ],
    )
    async def test_any_answer_of_the_target_tells_it(self, site, kind, path):
        await start_region(site, [AnsweringTarget("t0", 50, kind)], instances=1)
        await site.call(path)
        await wait_until(lambda: _limit_known(site, 0) == 50)

    async def test_an_answer_of_another_target_does_not(self, site):
        """The address may have been given to another target, which answers 421."""
        await start_region(site, [AnsweringTarget("t0", 1, "misdirected")], instances=1)
        for _ in range(5):
            await site.call("/once/")
        assert site.targets[0].requests
        assert _limit_known(site, 0) is None

    @pytest.mark.parametrize(
        "value", ["few", "-1", "nan", "inf", "1,2", "", "1e400", "[1.2]"]
    )
    async def test_a_malformed_value_changes_nothing(self, site, value, caplog):
        caplog.set_level("INFO")
        await start_region(site, [AnsweringTarget("t0", value)], instances=1)
        answers = [await site.call("/once/") for _ in range(6)]
        assert {status for status, _fields, _body in answers} == {200}
        assert _limit_known(site, 0) is None
        lines = [r for r in caplog.records if r.message == "rate-limit-malformed"]
        assert [(line.target, line.value) for line in lines] == [
            ("t0", value or "empty")
        ]

    async def test_a_change_and_the_end(self, site):
        target = AnsweringTarget("t0", 50)
        await start_region(site, [target], instances=2)
        for limit in (50, 80, 30, None, 40):
            target.limit = limit
            await _call_until(site, lambda limit=limit: _limit_known(site, 0) == limit)
            await wait_until(lambda limit=limit: _limit_known(site, 1) == limit)

    async def test_a_rejection_without_it_does_not_end_it(self, site):
        target = AnsweringTarget("t0", 50)
        await start_region(site, [target], instances=1)
        await site.call("/once/")
        await wait_until(lambda: _limit_known(site, 0) == 50)
        target.limit, target.kind = None, "rejection"
        count = len(target.requests)
        await _call_until(site, lambda: len(target.requests) > count)
        assert _limit_known(site, 0) == 50

    async def test_a_target_that_accepts_none_is_asked_now_and_then(self, site):
        target = AnsweringTarget("t0", 0)
        await start_region(site, [target], instances=1)
        await site.call("/once/")
        await wait_until(lambda: _limit_known(site, 0) == 0)
        target.limit = None
        await _call_until(site, lambda: _limit_known(site, 0) is None)

    async def test_a_new_start_has_none(self, site):
        target = AnsweringTarget("t0", 1, started_ms=1000)
        await start_region(site, [target], instances=1)
        await site.call("/once/")
        await wait_until(lambda: _limit_known(site, 0, "t0@1000") == 1)
        restarted = AnsweringTarget("t0", None, started_ms=2000)
        await site.add_target(restarted)
        await wait_until(lambda: "t0@2000" in site.instances[0].targets)
        answers = [await site.call("/once/") for _ in range(10)]
        assert {status for status, _fields, _body in answers} == {200}
        assert _limit_known(site, 0, "t0@2000") is None


class TestTelling:
    """All instances know a limit that one has heard."""

    async def _start(self, site, instances=2):
        await start_region(site, [AnsweringTarget("t0", 50)], instances)

    async def test_the_others_are_told(self, site):
        await self._start(site, 3)
        await site.call("/once/")
        await wait_until(lambda: all(_limit_known(site, n) == 50 for n in range(3)))

    async def test_so_is_an_instance_that_starts_later(self, site):
        await self._start(site, 1)
        await site.call("/once/")
        await wait_until(lambda: _limit_known(site, 0) == 50)
        await site.add_instance()
        await wait_until(lambda: _limit_known(site, 1) == 50)

    async def test_and_while_the_store_is_away(self, site):
        await self._start(site)
        site.store.down = True
        await site.call("/once/")
        await wait_until(lambda: _limit_known(site, 1) == 50)

    async def test_a_lost_message_is_made_up_for(self, site):
        await self._start(site)
        one, other = site.instances
        one._links.block({other.peer_address})
        await site.call("/once/")
        await wait_until(lambda: _limit_known(site, 0) == 50)
        assert _limit_known(site, 1) is None
        one._links.block(set())
        await wait_until(lambda: _limit_known(site, 1) == 50)

    async def test_a_part_that_was_cut_off_is_told(self, site):
        await self._start(site)
        one, other = site.instances
        one._links.block({other.peer_address})
        other._links.block({one.peer_address})
        await wait_until(lambda: all(i.view.size == 1 for i in site.instances))
        await site.call("/once/")
        await wait_until(lambda: _limit_known(site, 0) == 50)
        assert _limit_known(site, 1) is None
        for instance in site.instances:
            instance._links.block(set())
        await wait_until(lambda: _limit_known(site, 1) == 50)


class TestTakeOver:
    """The limit holds when the pool's dispatcher ends."""

    async def test_keeps_to_the_limit(self, site):
        limited = LimitedTarget("t0", 1.2)
        await start_region(site, [limited])
        site.store.down = True
        calls = asyncio.create_task(load(site, LOAD_S, ends_early=True))
        await asyncio.sleep(NOTICE_S + 1.0)
        view = site.instances[0].view
        address = view.members[view.dispatcher_of("pool-a")].peer_address
        number = [i.peer_address for i in site.instances].index(address)
        site.instances.pop(number)
        await site.end_instance(number)
        await calls
        limited.assert_limit_is_kept()


class TestRegionWithRelays:
    """Followers hear from one relay only; a pool's dispatcher is a relay."""

    INSTANCES = 5

    async def _start(self, site, target):
        site.settings = {"max_mesh_size": 2}
        await site.start(target)
        for _ in range(self.INSTANCES - 1):
            await site.add_instance()
        await wait_until(lambda: any(self._followers(site)))
        await wait_until(
            lambda: all(i.view.size == self.INSTANCES for i in site.instances)
        )

    def _followers(self, site):
        return [n for n, i in enumerate(site.instances) if i.view.parent]

    async def test_all_know_a_limit_that_a_follower_has_heard(self, site):
        await self._start(site, AnsweringTarget("t0", 50))
        await site.call("/once/", instance=self._followers(site)[0])
        await wait_until(
            lambda: all(_limit_known(site, n) == 50 for n in range(self.INSTANCES))
        )

    async def test_a_target_receives_no_more_than_it_allows(self, site):
        limited = LimitedTarget("t0", 1.2)
        await self._start(site, limited)
        await load(site, LOAD_S)
        limited.assert_limit_is_kept()
