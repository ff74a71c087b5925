"""Which versions serve without an order, with instances, a store and targets.

Guards against a pool that serves nothing while its targets are ready: after a restart
of all instances, and after the last target of the current version has left.
"""

import asyncio
import contextlib
import dataclasses
import logging
from collections import Counter

import pytest
from platform_standin import TargetStandIn, answer
from test_forwarding import BOUND_S, Site

POOL = "pool-a"
# Settings of a deployment whose operators order rollouts.
ORDERED = {"ExposureShare": 0.1, "ExposureSlack": 50}
CALLERS = 4
MODES = pytest.mark.parametrize("bounds", [{}, ORDERED], ids=["unordered", "ordered"])


class GatedFeed:
    """Feed that reads nothing before its gate is open."""

    def __init__(self, feed):
        self._feed = feed
        self.gate = asyncio.Event()

    def __getattr__(self, name):
        return getattr(self._feed, name)

    async def read_all(self):
        await self.gate.wait()
        return await self._feed.read_all()


class ServiceSite(Site):
    """A region whose targets count the requests of their version.

    The entries of the targets do not tell when they started.
    """

    def __init__(self, *args):
        super().__init__(*args)
        self.requests_run = Counter()
        self.statuses = []
        self.gates = []
        self.gated = False

    def make_instance(self, path):
        instance = super().make_instance(path)
        if self.gated:
            feed = GatedFeed(instance._environment.targets)
            instance._environment = dataclasses.replace(
                instance._environment, targets=feed
            )
            self.gates.append(feed.gate)
        return instance

    def target(self, name, version):
        def run(_number, fields, _body):
            self.requests_run[version] += 1
            return [0.004, answer(fields)]

        return TargetStandIn(name, run, version=version)

    @property
    def running(self):
        pairs = zip(self.instances, self._tasks, strict=True)
        return [instance for instance, task in pairs if not task.done()]

    async def until(self, condition):
        async with asyncio.timeout(BOUND_S):
            while not condition():
                await asyncio.sleep(0.01)

    async def start_pool(self, *versions, instances=1):
        """Start targets of versions, in order, and instances that know all of them."""
        numbers = Counter()
        names = [f"{v}-{numbers.update([v]) or numbers[v]}" for v in versions]
        await self.start(self.target(names[0], versions[0]))
        for name, version in zip(names[1:], versions[1:], strict=True):
            await self.add_target(self.target(name, version))
        for _ in range(1, instances):
            await self.add_instance()
        await self.until_targets_known()
        await self.until(lambda: all(i.view.size == instances for i in self.running))

    async def until_targets_known(self):
        names = {target.name for target in self.targets}
        await self.until(lambda: all(set(i.targets) == names for i in self.running))

    async def restart_all(self, reading_order):
        """End all instances at once and start as many, which read one by one.

        Each of them has heard the targets from those before it when it reads them.
        """
        old = self.running
        for instance in old:
            await self.end_instance(self.instances.index(instance))
        self.gated = True
        for _ in old:
            await self.add_instance(wait=False)
        await self.until(lambda: all(i.view.size == len(old) for i in self.running))
        new = self.running
        await self._open_in_turn(
            [(new[n], self.gates[n]) for n in map(int, reading_order)]
        )

    async def _open_in_turn(self, instances):
        for number, (instance, gate) in enumerate(instances):
            if number:
                await self.until(lambda i=instance: i.targets)
            gate.set()
            await self.until(lambda i=instance: i._catalog.revision)

    async def until_served(self, instance):
        async with asyncio.timeout(BOUND_S):
            while (await self.call("/once/", instance=instance))[0] != 200:
                await asyncio.sleep(0.02)

    async def replace_target(self, name, by, version):
        """Start a target of another version, then let one leave and end."""
        await self.add_target(self.target(by, version))
        await self.until_targets_known()
        left = next(target for target in self.targets if target.name == name)
        self.store.put("servers", name, left.entry(POOL, "draining"))
        await self.until(lambda: all(i.targets[name].leaving for i in self.running))
        await self.until(lambda: left.open == 0)
        self.targets.remove(left)
        self.store.remove("servers", name)
        await self.until_targets_known()
        await left.stop()

    @contextlib.asynccontextmanager
    async def callers(self):
        """Let callers send requests one after the other."""
        tasks = [asyncio.create_task(self._call_repeatedly()) for _ in range(CALLERS)]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _call_repeatedly(self):
        while True:
            self.statuses.append((await self.call("/once/"))[0])
            await asyncio.sleep(0.002)


def _current(instance):
    versions = {t.version for t in instance.targets.values()}
    return instance._rollouts.version_table.serving_versions(POOL, versions)


@pytest.fixture
async def site(tmp_path, monkeypatch, bounds):
    site = ServiceSite(tmp_path, monkeypatch)
    site.bounds = bounds
    yield site
    await site.stop()


@MODES
class TestRestartOfAllInstances:
    """Guards against a dispatcher that takes no version of its pool for current.

    An instance that had heard the targets from peers before it read them never took
    part in finding the current version, and no peer told it.
    """

    @pytest.mark.parametrize("order", ["012", "021", "102", "120", "201", "210"])
    async def test_is_served_through_each_instance(self, site, order):
        await site.start_pool("v1", "v1", instances=3)
        await site.add_target(site.target("v2-1", "v2"))
        await site.add_target(site.target("v2-2", "v2"))
        await site.until_targets_known()
        await site.restart_all(order)
        for number in range(3, 6):
            await site.until_served(number)
        await site.until(lambda: len(set(map(_current, site.running))) == 1)


@MODES
class TestReplacedTargets:
    """Guards against a pool that serves nothing after an upgrade without an order."""

    async def test_are_served_to_the_end(self, site, bounds):
        await site.start_pool("v1", "v1", instances=2)
        async with site.callers():
            for number in (1, 2):
                await site.replace_target(f"v1-{number}", f"v2-{number}", "v2")
            await site.until(lambda: site.requests_run["v2"] >= 100)
        if not bounds:
            assert set(site.statuses) == {200}
        for number in range(2):
            await site.until_served(number)


@pytest.mark.parametrize("bounds", [ORDERED], ids=["ordered"])
class TestBarredVersions:
    """Guards against a pool that serves nothing without telling why."""

    async def test_that_are_the_only_ones_left_are_told(self, site, caplog):
        caplog.set_level(logging.INFO)
        await site.start_pool("v1")
        await site.add_target(site.target("v2-1", "v2"))
        site.store.order_rollout(POOL, "v2", 60.0)
        table = site.instances[0]._rollouts.version_table
        await site.until(lambda: table[POOL].is_running)
        site.store.end_rollout(POOL, "v2", "rolled_back")
        await site.until(lambda: table[POOL].is_rejected)
        site.store.remove("servers", "v1-1")
        await site.until(lambda: table.is_unserved(POOL))
        status, fields, body = await site.call("/once/")
        assert status == 503
        assert float(fields["Retry-After"]) <= 2.0
        assert b"may not serve" in body
        await site.until(
            lambda: any(r.message == "pool-without-version" for r in caplog.records)
        )
        address = f"http://{site.instances[0].metrics_address}"
        async with site.session.get(f"{address}/rollouts") as response:
            (shown,) = (await response.json())["pools"]
        assert shown["unserved"]
        async with site.session.get(f"{address}/metrics") as response:
            text = await response.text()
        assert 'pool_without_version{pool="pool-a"} 1' in text
        assert 'refused_without_version_total{pool="pool-a"} 1' in text
        assert site.requests_run["v2"] == 0


@pytest.mark.parametrize("bounds", [{}], ids=["unordered"])
class TestVersionsSideBySide:
    """Guards against idle targets of a version that no order names."""

    async def test_all_serve(self, site):
        await site.start_pool("v1", "v1", "v2", "v2", instances=2)
        async with site.callers():
            await site.until(lambda: site.requests_run["v1"] >= 20)
            await site.until(lambda: site.requests_run["v2"] >= 20)


@MODES
class TestMalformedVersions:
    """Guards against an entry whose version ends instances or takes part in service.

    The version is part of messages to peers, which do not carry every text.
    """

    @pytest.mark.parametrize("version", ["", None, "v" * 1000, 7, "v\ud800"], ids=repr)
    async def test_are_left_out(self, site, caplog, version):
        await site.start_pool("v1", instances=2)
        odd = site.target("odd", "v2")
        await odd.start()
        site.targets.append(odd)
        site.store.put("servers", "odd", {**odd.entry(POOL), "Version": version})
        known = len(site.instances[0].targets)
        await site.add_target(site.target("v1-2", "v1"))
        await site.until(lambda: all("v1-2" in i.targets for i in site.running))
        for number in (0, 1):
            for _ in range(10):
                assert (await site.call("/once/", instance=number))[0] == 200
        assert known == 1
        assert set(map(_current, site.running)) == {frozenset({"v1"})}
        assert site.requests_run["v2"] == 0
        assert not [r for r in caplog.records if r.exc_info]
        lines = [r for r in caplog.records if r.message == "object left out"]
        assert {line.object for line in lines} == {"odd"}
        assert len(lines) <= len(site.instances)
