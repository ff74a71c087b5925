"""With a mechanism disabled, the checker reports that its promise is broken.

The tests of each promise run the same situations with the mechanism enabled and report
nothing. For claims and the tier guard see test_at_most_once.py and test_tiers.py.
"""

import asyncio
import contextlib
from pathlib import Path

import aiohttp
import pytest
from cluster import Cluster, configuration, wait_until

from hibiscusstep.caller_server import CallerServer
from hibiscusstep.configuration.in_force import ConfigurationInForce
from hibiscusstep.configuration.stored import StoredConfiguration
from hibiscusstep.configuration.updater import ConfigurationUpdater, _ConfigurationRead
from hibiscusstep.events import EventKind
from hibiscusstep.load.drive import Result, State, _check_answer
from hibiscusstep.load.mix import Arrival, RequestClass
from hibiscusstep.progress import Progress
from hibiscusstep.routing.target_estimate import TargetEstimate
from hibiscusstep.targets.engine import StreamedAnswer


def promises(cluster):
    return {finding.guarantee for finding in cluster.findings()}


class TestOff:
    async def test_marks_of_leaving_targets(self, tmp_path, monkeypatch):
        monkeypatch.setattr(TargetEstimate, "usable", lambda self, now: True)
        async with Cluster(tmp_path) as cluster:
            cluster.record_event(EventKind.TARGET_LEAVING, target="service-0")
            files = configuration(cluster.targets)
            await cluster.apply(files, drained=["service-0"])
            await asyncio.sleep(3.1)  # the bound of the promise
            calls = (cluster.call(f"e{n % 3}", "/read") for n in range(12))
            await asyncio.gather(*calls)
            assert "leaving target" in promises(cluster)

    async def test_waiting_for_open_answers_at_a_shutdown(self, tmp_path, monkeypatch):
        async def at_once(_delivery):
            return None

        monkeypatch.setattr(CallerServer, "wait_idle", at_once)
        async with Cluster(tmp_path, duration=2.0) as cluster:
            call = asyncio.create_task(cluster.call("e1", "/read"))
            await wait_until(lambda: cluster.events(EventKind.SERVED))
            await cluster.drain("e1")
            call.cancel()
            assert "graceful shutdown" in promises(cluster)

    async def test_versions_that_only_go_up(self, tmp_path, monkeypatch):
        def accept_any_version(keeper, version, value):
            loaded = ConfigurationInForce(
                version, value, StoredConfiguration.parse(value).load()
            )
            keeper._in_force = loaded
            keeper._publish(loaded)

        async with Cluster(tmp_path) as cluster:
            old = cluster.instances["e0"].in_force
            newer = await cluster.apply(configuration(cluster.targets, deadline=7))
            await wait_until(
                lambda: all(e.in_force.version == newer for e in cluster._live())
            )
            monkeypatch.setattr(
                ConfigurationUpdater, "_apply_version", accept_any_version
            )
            cluster.instances["e0"]._configuration_updater.tell(
                _ConfigurationRead(old.version, old.value)
            )
            await wait_until(lambda: "configuration" in promises(cluster))

    async def test_looking_a_key_up_before_the_queue(self, tmp_path):
        settings = {"claims_enabled": False}
        async with Cluster(
            tmp_path, settings=settings, services=1, max_running=1, deadline=0.5
        ) as cluster:
            assert (await cluster.call("e0", key="bib")).outcome == "whole"
            await cluster.control("service-0", duration=3.0)
            busy = asyncio.create_task(cluster.call("e1", "/read"))
            await wait_until(lambda: len(cluster.events(EventKind.SERVED)) == 2)
            assert (await cluster.call("e2", key="bib")).outcome == "not run"
            assert "not run" in promises(cluster)
            busy.cancel()

    async def test_saying_unknown_only_of_what_was_sent(self, tmp_path, monkeypatch):
        monkeypatch.setattr(Progress, "_may_have_run", property(lambda self: True))
        async with Cluster(tmp_path, services=1) as cluster:
            await cluster.apply(configuration(cluster.targets), drained=["service-0"])
            async with asyncio.timeout(10):
                while (await cluster.call("e0")).outcome == "whole":
                    await asyncio.sleep(0.05)
            assert "unknown" in promises(cluster)

    async def test_an_end_on_every_path(self, tmp_path, monkeypatch):
        monkeypatch.setattr(Progress, "end", lambda self, problem: None)
        async with Cluster(tmp_path, services=1) as cluster:
            await cluster.stop_target("service-0")
            await cluster.call("e0")
            assert "answered once" in promises(cluster)

    @pytest.mark.parametrize("off", [False, True])
    async def test_the_end_mark(self, tmp_path, monkeypatch, off):
        async def treat_connection_close_as_end(answer):
            with contextlib.suppress(aiohttp.ClientError):
                async for chunk in answer._response.content.iter_any():
                    yield chunk

        if off:
            monkeypatch.setattr(StreamedAnswer, "chunks", treat_connection_close_as_end)
        spec = RequestClass(share=1, customers=["c"], model="m")
        arrival = Arrival(0, 0.0, "kind", "c", spec, "why?", 12, False, "")
        async with Cluster(tmp_path, services=0, engines=2) as cluster:
            for name in cluster.targets:
                await cluster.control(name, cut_after=4, cuts=1)
            reply = await cluster.chat("e0", arrival.prompt, tokens=12)
            result = Result(arrival)
            _check_answer(arrival, reply.body, result)
            assert result.state is (State.WRONG if off else State.COMPLETE)


def test_the_promises_page_names_these_tests():
    page = Path(__file__).parent.parent / "docs" / "PROMISES.md"
    assert "test_mechanisms_off.py" in page.read_text()
