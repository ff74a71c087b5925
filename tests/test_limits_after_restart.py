"""What targets announce is kept to after all instances have ended and started.

No instance knows it then until an answer names it again.
"""

import asyncio
import contextlib

import pytest
from cluster import wait_until
from platform_standin import TargetStandIn, answer
from test_brittle_targets import BrittleTarget
from test_forwarding import Site
from test_leaving_targets import LEAVING
from test_limited_targets import LOAD_S, LimitedTarget, load, start_region

INSTANCES = 3
# Callers that an instance which starts finds waiting, and the time of an answer.
WAITING = 8
ANSWER_S = 0.3


class SlowLimitedTarget(LimitedTarget):
    """Limited target whose answers take a while."""

    def _named(self, fields, field):
        return [ANSWER_S, super()._named(fields, field)]


@pytest.fixture
async def site(tmp_path, monkeypatch):
    site = Site(tmp_path, monkeypatch)
    yield site
    await site.stop()


async def _call_all(site, count):
    """Send requests at once to the latest instances."""
    latest = range(len(site.instances) - INSTANCES, len(site.instances))

    async def call(number):
        with contextlib.suppress(Exception):
            await site.call("/once/", instance=latest[number % INSTANCES])

    await asyncio.gather(*(call(n) for n in range(count)))


async def _restart_all(site):
    for number in range(len(site.instances) - INSTANCES, len(site.instances)):
        await site.end_instance(number)
    for _ in range(INSTANCES):
        await site.add_instance()


class TestRestartsOfAllInstances:
    # Guards against bursts beyond a limit of requests after each of several restarts.
    async def test_a_limited_target_receives_no_more(self, site):
        limited = SlowLimitedTarget("t0", 0.7)
        await start_region(site, [limited], INSTANCES)
        await load(site, LOAD_S - 4.0)
        for _ in range(3):
            await _restart_all(site)
            await _call_all(site, WAITING)
        await asyncio.sleep(4.0)
        limited.assert_limit_is_kept()

    # Guards against rejections that fell a brittle target right after a restart.
    async def test_a_brittle_target_does_not_fall(self, site):
        target = BrittleTarget("t0", room=1, rejections_per_s=1)
        await start_region(site, [target], INSTANCES)
        for _ in range(20):
            await site.call("/once/")
            await asyncio.sleep(0.2)
        falls = target.falls
        await _restart_all(site)
        await _call_all(site, WAITING)
        assert target.falls == falls

    # Guards against new requests to a target that leaves, while its entry says ready.
    async def test_a_leaving_target_receives_none(self, site):
        leaving = TargetStandIn("t0", lambda _n, f, _b: answer(f, extra=LEAVING))
        await start_region(site, [leaving], INSTANCES)
        await site.call("/once/")
        await site.add_target(TargetStandIn("t1"))
        await wait_until(lambda: all("t1" in i.targets for i in site.instances))
        received = len(leaving.requests)
        await _restart_all(site)
        await _call_all(site, WAITING)
        assert len(leaving.requests) == received
