"""Guards against rejections that fell brittle targets.

At times the targets of a pool announce in all answers that they are brittle: they may
accept fewer requests at a time than their entries say, and one that has to reject more
than N requests in a second ends and is back after some seconds. Nothing read the field,
and a target that had rejected a request received the next one 0.1 s later.
"""

import asyncio
import contextlib
import random

import pytest
from platform_standin import TargetStandIn, answer
from test_forwarding import BOUND_S, Site

from hibiscusstep.routing import messages as m
from hibiscusstep.routing.dispatch_plan import DispatchPlan, PlannedPool, PlannedTarget
from hibiscusstep.routing.slot_dispatcher import SlotDispatcher
from hibiscusstep.routing.target_room import TargetRoom

ANNOUNCED_BEFORE_S = 3.0
LOAD_S = 10.0
DOWN_S = 2.0
WORK_S = 0.1
SLOTS = 4


class BrittleTarget(TargetStandIn):
    """Target that has room for fewer requests from `ANNOUNCED_BEFORE_S` on."""

    def __init__(self, name, room, rejections_per_s):
        super().__init__(name, self._respond)
        self.falls = 0
        self._room, self._rejections_per_s = room, rejections_per_s
        self._first_at = 0.0
        self._busy_until, self._rejected_at = [], []
        self._restarts = set()

    def _respond(self, _number, fields, _body):
        now = asyncio.get_running_loop().time()
        self._first_at = self._first_at or now
        announced = f"Server-Brittle: {self._rejections_per_s}"
        self._busy_until = [at for at in self._busy_until if at > now]
        is_brittle = now >= self._first_at + ANNOUNCED_BEFORE_S
        if not is_brittle or len(self._busy_until) < self._room:
            self._busy_until.append(now + WORK_S)
            return [WORK_S, answer(fields, extra=announced)]
        self._rejected_at = [at for at in self._rejected_at if at > now - 1] + [now]
        if len(self._rejected_at) <= self._rejections_per_s:
            rejection = {"status": 503, "sealed": False, "not_run": True}
            return answer(fields, b"", extra=announced, **rejection)
        self.falls += 1
        self._rejected_at, self._busy_until = [], []
        self._restarts.add(asyncio.create_task(self._restart()))
        return ["crash"]

    async def _restart(self):
        await asyncio.sleep(DOWN_S)
        await self.restart_as(self.name)


@pytest.fixture
async def site(tmp_path, monkeypatch):
    site = Site(tmp_path, monkeypatch)
    yield site
    await site.stop()


class TestRegion:
    async def _load(self, site, per_s):
        """Call the instances at random; return the statuses."""
        rng, statuses, tasks = random.Random(7), [], []
        loop = asyncio.get_running_loop()

        async def call(instance):
            deadline = {"X-Request-Deadline-Ms": "2000"}
            with contextlib.suppress(Exception):
                status, *_ = await site.call("/once/", instance=instance, **deadline)
                statuses.append(status)

        end = loop.time() + LOAD_S
        while loop.time() < end:
            await asyncio.sleep(rng.expovariate(per_s))
            number = rng.randrange(len(site.instances))
            tasks.append(asyncio.create_task(call(number)))
        await asyncio.gather(*tasks)
        return statuses

    @pytest.mark.parametrize(
        "room, per_s, rejections_per_s",
        [(3, 60, 2), (2, 60, 2), (2, 100, 5), (2, 140, 1)],
    )
    async def test_few_targets_fall(self, site, room, per_s, rejections_per_s):
        targets = [BrittleTarget(f"t{n}", room, rejections_per_s) for n in range(3)]
        await site.start(*targets)
        for _ in range(2):
            await site.add_instance()
        async with asyncio.timeout(BOUND_S):
            while not all(instance.view.size == 3 for instance in site.instances):
                await asyncio.sleep(0.02)
        await self._load(site, per_s)
        assert sum(target.falls for target in targets) <= 2 + len(targets) / 10


class TestAnnouncement:
    async def _announce(self, site, value, *answers):
        """Let a target announce values in turn; return the target as known then."""
        values = iter((value, *answers))

        def respond(_number, fields, _body):
            text = next(values)
            extra = "" if text is None else f"Server-Brittle: {text}"
            return answer(fields, extra=extra)

        await site.start(TargetStandIn("t0", respond))
        for _ in range(1 + len(answers)):
            await site.call("/once/")
            await asyncio.sleep(0.05)
        return site.instances[0].targets["t0"].rejection_limit.per_second

    @pytest.mark.parametrize("value, known", [("3", 3.0), ("0", 0.0), ("2.5", 2.5)])
    async def test_is_read(self, site, value, known):
        assert await self._announce(site, value) == known

    @pytest.mark.parametrize("value", ["-1", "nan", "inf", "many", "1e999", ""])
    async def test_malformed_values_mean_nothing(self, site, value):
        assert await self._announce(site, value) is None

    async def test_ends_with_an_answer_without_it(self, site):
        assert await self._announce(site, "3", None) is None

    async def test_reaches_the_other_instances(self, site):
        target = TargetStandIn(
            "t0", lambda _n, f, _b: answer(f, extra="Server-Brittle: 4")
        )
        await site.start(target)
        other = await site.add_instance()
        async with asyncio.timeout(BOUND_S):
            while site.instances[0].view.size < 2:
                await asyncio.sleep(0.02)
            await site.call("/once/")
            while other.targets["t0"].rejection_limit.per_second != 4.0:
                await asyncio.sleep(0.02)


class TestRoom:
    def test_no_more_are_tried_than_may_be_rejected(self):
        room = TargetRoom(2.0, 1.0, running=1, now=0.0)
        assert room.slots(8, 1, 0.0) == 3

    def test_answers_show_room(self):
        room = TargetRoom(2.0, 1.0, running=1, now=0.0)
        room.record_accepted(3, 0.0, 0.1)
        assert room.slots(8, 3, 0.1) == 5

    def test_rejections_lower_it_until_some_time_has_passed(self):
        room = TargetRoom(1.0, 1.0, running=4, now=0.0)
        room.record_rejected(4, 0.1)
        assert room.slots(8, 4, 0.1) == 2
        room.record_accepted(4, 0.0, 0.2)
        assert room.slots(8, 4, 0.2) == 2
        room.record_accepted(2, 0.3, 0.4)
        assert room.slots(8, 2, 1.3) == 3

    def test_no_rejections_are_risked_where_none_are_borne(self):
        room = TargetRoom(0.0, 1.0, running=2, now=0.0)
        assert room.slots(8, 2, 0.0) == 2

    def test_a_dispatcher_risks_its_share_only(self):
        room = TargetRoom(4.0, 0.5, running=1, now=0.0)
        assert room.slots(8, 1, 0.0) == 3

    def test_less_than_one_rejection_per_second_is_risked_more_rarely(self):
        """Guards against targets that stay at one request while an instance is away.

        A dispatcher may then cause only its share of the rejections, and a share of one
        was rounded down to none.
        """
        room = TargetRoom(1.0, 0.8, running=1, now=0.0)
        assert room.slots(8, 1, 0.0) == 2
        room.record_rejected(3, 0.1)
        assert room.slots(8, 1, 1.2) == 1
        assert room.slots(8, 1, 1.4) == 2

    def test_a_request_of_before_a_rejection_shows_nothing_however_long_it_takes(self):
        """Guards against a rejection that is forgotten after a second."""
        room = TargetRoom(1.0, 1.0, running=4, now=0.0)
        room.record_rejected(4, 0.2)
        assert room.slots(8, 1, 1.3) == 2
        room.record_accepted(4, 0.1, 1.4)
        assert room.slots(8, 1, 1.4) == 2


class TestDispatcher:
    def test_grants_are_spaced_by_the_time_of_a_rejection(self):
        room = TargetRoom(2.0, 1.0, running=4, now=0.0)
        for now in (1.0, 1.001):
            assert room.next_start_at <= now
            room.record_grant(now)
        assert room.next_start_at == pytest.approx(1.02)

    def test_excess_requests_wait_at_the_dispatcher(self):
        target = PlannedTarget(SLOTS, rejection_limit=1.0)
        plan = DispatchPlan({"p": PlannedPool(True, targets={"t": target})})
        dispatcher = SlotDispatcher("p", plan)
        dispatcher.handle(m.Recovered(), 0.0)
        dispatcher.handle(m.TimePassed(), 1.0)
        for number in range(SLOTS):
            dispatcher.handle(m.RequestGrant(_work(f"a{number}")), 1.0 + 0.1 * number)
        assert dispatcher.waiting == {"0": SLOTS - 2}

    def test_a_successor_risks_nothing_in_the_first_second(self):
        """Guards against two dispatchers that cause N rejections each in a second.

        The one before may have caused them just before it ended.
        """
        target = PlannedTarget(SLOTS, rejection_limit=2.0)
        plan = DispatchPlan({"p": PlannedPool(True, targets={"t": target})})
        dispatcher = SlotDispatcher("p", plan)
        dispatcher.handle(m.AdoptRunning(_work("adopted"), "t"), 5.0)
        dispatcher.handle(m.Recovered(), 5.0)
        for number in range(SLOTS):
            dispatcher.handle(m.RequestGrant(_work(f"a{number}")), 5.1 + 0.1 * number)
        assert dispatcher.waiting == {"0": SLOTS}
        dispatcher.handle(m.TimePassed(), 6.1)
        dispatcher.handle(m.TimePassed(), 6.2)
        assert dispatcher.waiting == {"0": SLOTS - 2}


def _work(name):
    return m.Work(name, name, "i", "c", "0", 0, 9, 9, 100.0, 0.0)
