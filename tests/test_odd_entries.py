"""End-to-end tests of odd objects that other writers leave in the store."""

import asyncio

import pytest
from platform_standin import TargetStandIn, answer, configuration
from test_forwarding import BOUND_S, Site
from test_unreadable_objects import ALL, MARKER, each

ODD_PORTS = ["70000", "-1", "99999999999999999999", "0", "", "80.0", "\u0664\u0662"]
ODD_NAME = "t1-odd"


@pytest.fixture
async def site(tmp_path, monkeypatch):
    site = Site(tmp_path, monkeypatch)
    yield site
    await site.stop()


def _target(name):
    return TargetStandIn(name, lambda number, fields, body: [answer(fields)])


def _put_odd(site, text, place, kind="servers", name=ODD_NAME):
    """Write an object with a text in a field, or as its whole `Spec`."""
    site.store.answer_replacement = (b'"%s"' % MARKER.encode(), text)
    sound = {**_target(ODD_NAME).entry("pool-a"), "Address": "127.0.0.1:9"}
    spec = MARKER if place == "Spec" else {**sound, place: MARKER}
    site.store.put(kind, name, spec)


async def _until(condition):
    async with asyncio.timeout(BOUND_S):
        while not condition():
            await asyncio.sleep(0.01)


async def _check_follows(site):
    """Check that a target which registers, and one that leaves, are noticed."""
    await site.add_target(_target("t2"))
    await _until(lambda: all("t2" in i.targets for i in site.instances))
    site.store.remove("servers", "t0")
    await _until(lambda: not any("t0" in i.targets for i in site.instances))
    for number in range(len(site.instances)):
        status, _fields, _body = await site.call("/once/", instance=number)
        assert status == 200
    assert len(site.targets[1].requests) == len(site.instances)


class TestEntries:
    """Guards against one entry of targets that ends the service of all others."""

    @each(ALL)
    @pytest.mark.parametrize("place", ["Slots", "extra", "Spec"])
    async def test_that_appears_while_instances_serve(self, site, text, place):
        await site.start(_target("t0"))
        _put_odd(site, text, place)
        await _check_follows(site)

    @each(ALL)
    @pytest.mark.parametrize("place", ["ColdLeftMs", "Spec"])
    async def test_that_is_there_before_the_start(self, site, text, place):
        _put_odd(site, text, place)
        await site.start(_target("t0"))
        await site.add_instance()
        await _check_follows(site)

    @pytest.mark.parametrize("port", ODD_PORTS)
    async def test_with_a_port_out_of_range(self, site, port):
        entry = {**_target(ODD_NAME).entry("pool-a"), "Address": f"127.0.0.1:{port}"}
        site.store.put("servers", ODD_NAME, entry)
        await site.start(_target("t0"))
        site.store.put("servers", ODD_NAME, {**entry, "Sequence": 2})
        await _check_follows(site)
        assert ODD_NAME not in site.instances[0].targets

    @each(ALL)
    async def test_that_was_sound_names_no_target(self, site, text):
        await site.start(_target("t0"), _target(ODD_NAME))
        _put_odd(site, text, "Slots")
        await _until(lambda: ODD_NAME not in site.instances[0].targets)
        status, _fields, _body = await site.call("/once/")
        assert status == 200
        assert not site.targets[1].requests


class TestConfiguration:
    """Guards against a configuration that no instance follows any more."""

    @each(ALL)
    async def test_one_that_is_odd_changes_nothing(self, site, text):
        await site.start(_target("t0"), document=configuration(3))
        _put_odd(site, text, "Spec", "config", "main")
        _put_odd(site, text, "Spec", "config", "another")
        site.store.put("config", "main", configuration(5))
        await _until(lambda: site.instances[0].version == 5)

    @each(ALL)
    async def test_another_is_there_before_the_start(self, site, text):
        _put_odd(site, text, "Spec", "config", "another")
        await site.start(_target("t0"), document=configuration(3))
        assert site.instances[0].version == 3


class TestOtherKinds:
    """Guards against an instance that does not start for an object of the system's."""

    KINDS = (
        ("hibiscusstep-instances", "n9"),
        ("hibiscusstep-beliefs", "pool-a"),
        ("hibiscusstep-use", "customers"),
        ("hibiscusstep-suspects", "requests"),
        ("hibiscusstep-versions", "pool-a"),
        ("hibiscusstep-streams", "pool-a.0"),
        ("hibiscusstep-rollouts", "pool-a"),
        ("rollouts", "pool-a"),
    )

    @each(ALL)
    async def test_instances_start_and_serve(self, site, text):
        site.bounds = {"ExposureShare": 0.1, "ExposureSlack": 50}
        for kind, name in self.KINDS:
            _put_odd(site, text, "Spec", kind, name)
        await site.start(_target("t0"))
        await site.add_instance()
        await _check_follows(site)

    async def test_usage_out_of_range_ends_no_worker(self, site, caplog):
        """Guards against usage that no message between instances can hold."""
        usage = {"customers": ["one"], "recent": [10**30] * 16}
        site.store.put("hibiscusstep-use", "customers", usage)
        await site.start(_target("t0"))
        await site.add_instance()
        await _until(
            lambda: any(
                record.message == "malformed saved usage ignored"
                for record in caplog.records
            )
        )
        await _check_follows(site)
        assert not any(record.message == "child crashed" for record in caplog.records)
