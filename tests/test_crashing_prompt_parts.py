"""Guards against a part of prompts under which every target crashes.

In a region of eight instances, requests that were no two alike but had one part of
their prompts in common crashed 22 targets; 16 of them were sent to targets later than
three seconds after the fifth crash. Each was suspected of one crash, as a request of
its own, and evidence never added up. Of 61 broken attempts 19 accused nobody: while
several targets were down, no peer confirmed that a target refuses connections.
"""

import asyncio
import contextlib
import itertools
import logging
import random

import orjson
import pytest
from platform_standin import TargetStandIn, chunk, event, stream_head
from test_forwarding import BOUND_S, Site

from hibiscusstep.forwarding import quarantine, suspect_parts

COMMON, BAD = "c0c0c0c0", "bad0bad0"
DOWN_S = 2.0
DEADLINE_MS = 3000
# After this time all instances know of crashes.
CONTACT_S = 2.0
# Crashes after which few further requests with the part may reach targets.
MANY_CRASHES = 5
MAX_LATE_ARRIVALS = 3


class PartSite(Site):
    """A region whose targets crash on a part of prompts and restart later.

    Attributes
    ----------
    bad : set of str
        Parts on which targets crash.
    crashes : list of float
        Times of all crashes.
    arrivals : list of float
        Times at which requests with such a part reached targets.
    """

    async def begin(self, targets=6, instances=3, bad=(BAD,), crash_after=0.04):
        """Start; targets crash some seconds after the first event, or before it."""
        self.bad, self._crash_after = set(bad), crash_after
        self.crashes, self.arrivals = [], []
        self._names = (f"again{n}" for n in itertools.count())
        self._restarts = []
        await self.start(*(TargetStandIn(f"t{n}", self.run) for n in range(targets)))
        for _ in range(1, instances):
            await self.add_instance()
        async with asyncio.timeout(BOUND_S):
            while any(i.view.size < instances for i in self.instances):
                await asyncio.sleep(0.01)
        self._restarts = [asyncio.create_task(self._restart(t)) for t in self.targets]

    def run(self, _number, fields, _body):
        parts = fields.get("x-prompt-prefix", "").split(",")
        names = {part.partition(":")[0] for part in parts[:-1]}
        if names & self.bad:
            self.arrivals.append(asyncio.get_running_loop().time())
            if self._crash_after is None:
                return ["crash"]
            head = stream_head(fields)
            return [head, chunk(event(0)), self._crash_after, "crash"]
        events = [part for n in (1, 2) for part in (0.03, chunk(event(n)))]
        return [stream_head(fields), chunk(event(0)), *events, chunk(b"")]

    async def _restart(self, target):
        while True:
            await target.crashed.wait()
            self.crashes.append(asyncio.get_running_loop().time())
            await asyncio.sleep(DOWN_S)
            self.store.remove("servers", target.name)
            await target.restart_as(next(self._names))
            self.store.put("servers", target.name, target.entry("pool-a"))

    async def send(self, parts, path="/stream/", instance=0, own=0, **fields):
        """Return the status of a request with these shared parts, 0 if it is cut."""
        prompt = ",".join([*(f"{part}:60" for part in parts), f"{own:08x}:300"])
        fields = {
            "X-Prompt-Prefix": prompt,
            "X-Token-Usage": "420,30",
            "X-Model": "m",
            "X-Request-Deadline-Ms": str(DEADLINE_MS),
            **fields,
        }
        with contextlib.suppress(Exception):
            async with asyncio.timeout(DEADLINE_MS / 1000):
                body = b"%x" % own
                status, _fields, received = await self.call(
                    path, instance=instance, body=body, **fields
                )
                return 0 if received is None else status
        return 0

    async def load(self, seconds, rate, prompts, path="/stream/", seed=5):
        """Send requests at random to all instances; return when, and their statuses.

        Parameters
        ----------
        seconds, rate : float
            For how long, and requests per second.
        prompts : callable of random.Random
            Returns the shared parts of a request.
        """
        rng, tasks = random.Random(seed), []
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds

        async def send(parts, own, instance):
            sent_at = loop.time()
            return sent_at, await self.send(parts, path, instance, own)

        while loop.time() < end:
            await asyncio.sleep(rng.expovariate(rate))
            instance = rng.randrange(len(self.instances))
            own = rng.getrandbits(32)
            tasks.append(asyncio.create_task(send(prompts(rng), own, instance)))
        return await asyncio.gather(*tasks)

    async def stop(self):
        for task in self._restarts:
            task.cancel()
        await asyncio.gather(*self._restarts, return_exceptions=True)
        await super().stop()


@pytest.fixture
async def site(tmp_path, monkeypatch):
    site = PartSite(tmp_path, monkeypatch)
    yield site
    await site.stop()


class TestLog:
    async def test_broken_attempts_name_the_parts(self, site, caplog):
        """Guards against lines that do not show what crashing requests share."""
        caplog.set_level(logging.INFO, "hibiscusstep.decision")
        await site.begin(instances=1)
        for own in range(2):
            await site.send([COMMON, BAD], own=own)
        await site.send([COMMON, "a1"], own=2)
        lines = [r for r in caplog.records if r.message == "attempt"]
        first, second = (r.parts for r in lines if r.outcome == "broken")
        assert first == second
        assert len(set(first)) == 2
        assert [r.parts for r in lines if r.outcome == "done"] == [[]]


def sound_prompt(rng):
    """Return a part that all requests have and one of four others."""
    return [COMMON, rng.choice(["a1", "a2", "a3", "a4"])]


async def send_bad(site, times, path="/stream/", parts=(COMMON, BAD), instances=None):
    """Send requests with a crashing part, each different; return their statuses."""
    statuses = []
    numbers = itertools.cycle(instances or range(len(site.instances)))
    for number in itertools.islice(numbers, times):
        async with asyncio.timeout(BOUND_S):
            while all(target.crashed.is_set() for target in site.targets):
                await asyncio.sleep(0.01)
        statuses.append(await site.send(parts, path, number, own=1000 + len(statuses)))
        await asyncio.sleep(0.2)
    return statuses


class TestCrashingPart:
    """Many requests per second have the part; sound ones share their other parts."""

    CALM_S, TROUBLE_S = 3.0, 12.0
    SOUND_PER_S, BAD_PER_S = 30.0, 4.0

    async def _play(self, site, prompt, path="/stream/"):
        loop = asyncio.get_running_loop()
        seconds = self.CALM_S + self.TROUBLE_S
        sound = asyncio.create_task(
            site.load(seconds, self.SOUND_PER_S, sound_prompt, path)
        )
        await asyncio.sleep(self.CALM_S)
        began = loop.time()
        await site.load(
            self.TROUBLE_S, self.BAD_PER_S, lambda _rng: prompt, path, seed=8
        )
        return began, await sound

    def _check(self, site, began, sound):
        crashes = sorted(site.crashes)
        many = crashes[MANY_CRASHES - 1 : MANY_CRASHES]
        late = [at for at in site.arrivals if many and at > many[0] + CONTACT_S]
        assert len(late) <= MAX_LATE_ARRIVALS
        settled = crashes[:MANY_CRASHES][-1] + 2 * CONTACT_S
        before = [status == 200 for at, status in sound if at < began]
        after = [status == 200 for at, status in sound if at >= settled]
        assert len(after) >= 20
        assert 2 * sum(after) / len(after) >= sum(before) / len(before)

    @pytest.mark.parametrize(
        ("prompt", "path"),
        [
            ([COMMON, BAD], "/stream/"),
            ([COMMON, BAD], "/resume/"),
            ([BAD, "a1"], "/stream/"),
            ([COMMON, "a1", BAD, "a2"], "/stream/"),
        ],
    )
    async def test_reaches_few_targets(self, site, prompt, path):
        await site.begin()
        self._check(site, *await self._play(site, prompt, path))

    async def test_reaches_few_targets_that_crash_before_they_answer(self, site):
        await site.begin(crash_after=None)
        self._check(site, *await self._play(site, [COMMON, BAD]))

    async def test_is_refused_with_the_reason(self, site):
        await site.begin(instances=1)
        statuses = await send_bad(site, 12)
        assert statuses[-1] == 503
        assert await site.send([COMMON, "a1"]) == 200
        status, fields, body = await site.call(
            "/stream/", **{"X-Prompt-Prefix": f"{COMMON}:1,{BAD}:1,f:1", "X-Model": "m"}
        )
        problem = orjson.loads(body)
        assert (status, problem["status"]) == (503, 503)
        assert fields["Content-Type"].startswith("application/problem+json")
        assert problem["part"] == BAD
        assert 0 < float(fields["Retry-After"]) <= 60

    async def test_is_served_again_once_it_does_no_harm(self, site, monkeypatch):
        """One request tries it; its answer clears the part at all instances."""
        for module in (quarantine, suspect_parts):
            monkeypatch.setattr(module, "MIN_TRIAL_INTERVAL_S", 1.0)
        await site.begin(instances=2)
        await send_bad(site, 12)
        site.bad = set()
        async with asyncio.timeout(BOUND_S):
            while set(await send_bad(site, 2)) != {200}:
                pass

    async def test_is_known_to_a_new_instance(self, site):
        await site.begin(instances=2)
        await send_bad(site, 12)
        crashes = len(site.crashes)
        await site.add_instance()
        assert set(await send_bad(site, 3, instances=[2])) == {503}
        assert len(site.crashes) == crashes

    async def test_is_known_after_a_restart_of_all(self, site):
        await site.begin(instances=2)
        await send_bad(site, 12)
        crashes = len(site.crashes)
        async with asyncio.timeout(BOUND_S):
            while ("hibiscusstep-suspects", "requests") not in site.store.objects:
                await asyncio.sleep(0.01)
        for number in range(2):
            await site.end_instance(number)
        await site.add_instance()
        async with asyncio.timeout(BOUND_S):
            while not site.instances[2].quarantine.quarantined_part_count:
                await asyncio.sleep(0.01)
        assert set(await send_bad(site, 3, instances=[2])) == {503}
        assert len(site.crashes) == crashes

    async def test_an_operator_can_list_and_clear_it(self, site):
        await site.begin(instances=1)
        await send_bad(site, 12)
        assert await site.send([COMMON, "a1"]) == 200
        url = f"http://{site.instances[0].metrics_address}/quarantine"
        async with site.session.get(url) as response:
            parts = (await response.json())["parts"]
        (entry,) = [part for part in parts if part["quarantined"]]
        assert len(entry["seconds_since"]) >= 5
        async with site.session.delete(f"{url}/{entry['fingerprint']}") as response:
            assert response.status == 204
        assert not site.instances[0].quarantine.quarantined_part_count


class TestCrashesOfSeveralTargets:
    async def test_all_are_detected(self, site, caplog):
        """Guards against refusals that nobody confirms while several are down."""

        def run(_number, fields, body):
            if body.startswith(b"crash"):
                return ["crash"]
            events = [part for n in range(60) for part in (0.05, chunk(event(n)))]
            return [stream_head(fields), *events, chunk(b"")]

        caplog.set_level(logging.INFO, "hibiscusstep.decision")
        site.run = run
        await site.begin(instances=2)
        async with asyncio.timeout(BOUND_S):
            while not all(map(self._may_ask_a_peer, site.instances)):
                await asyncio.sleep(0.01)
        streams = [
            asyncio.create_task(site.call("/stream/", instance=number % 2))
            for number in range(8)
        ]
        async with asyncio.timeout(BOUND_S):
            while sum(len(target.requests) for target in site.targets) < 8:
                await asyncio.sleep(0.01)
        names = {f"crashing-{number}" for number in range(4)}
        for name in sorted(names):
            body = b"crash " + name.encode()
            await site.call("/stream/", body=body, request=name)

        def accused():
            crashed = [r for r in caplog.records if r.message == "target-crashed"]
            return {name for record in crashed for name in record.requests}

        async with asyncio.timeout(BOUND_S):
            while not names <= accused():
                await asyncio.sleep(0.01)
        for task in streams:
            task.cancel()
        await asyncio.gather(*streams, return_exceptions=True)

    def _may_ask_a_peer(self, instance):
        relays = [m for m in instance.view.members.values() if m.accepts_tunnels]
        return len(relays) == 2


class TestSoundParts:
    async def test_are_not_refused_when_targets_crash_by_themselves(self, site):
        await site.begin(bad=())
        load = asyncio.create_task(site.load(8.0, 20.0, sound_prompt, "/resume/"))
        for _ in range(10):
            await asyncio.sleep(0.7)
            running = [t for t in site.targets if not t.crashed.is_set()]
            random.Random(len(site.crashes)).choice(running).crash()
        results = await load
        assert len(site.crashes) >= 8
        counts = [i.quarantine.quarantined_part_count for i in site.instances]
        assert counts == [0] * 3
        assert sum(status == 200 for _at, status in results) > 0.8 * len(results)

    async def test_that_only_came_with_a_crashing_one_are_served(self, site):
        """A part that was never answered is as suspect as the one beside it."""
        await site.begin()
        statuses = await send_bad(site, 20, parts=("only-here", BAD))
        assert statuses[-3:] == [503] * 3
        statuses = [
            await site.send([COMMON, "only-here"], instance=n % 3, own=n)
            for n in range(12)
        ]
        assert statuses == [200] * 12
        crashes = len(site.crashes)
        assert set(await send_bad(site, 3, parts=("only-here", BAD))) == {503}
        assert len(site.crashes) == crashes
