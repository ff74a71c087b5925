"""Test harness: instances, targets and a platform in one event loop, with faults."""

import asyncio
import contextlib
import hashlib
import json

import aiohttp
from aiohttp import web
from fleet import free_ports
from result import UnwrapError

from hibiscusstep.checker import check_history
from hibiscusstep.configuration.settings import Settings
from hibiscusstep.configuration.stored import CONFIGURATION_KEY, StoredConfiguration
from hibiscusstep.events import EventKind, Recorder, read_history
from hibiscusstep.instance import Instance
from hibiscusstep.standins.batching import EngineSpeed
from hibiscusstep.standins.engine import make_engine_app
from hibiscusstep.standins.service import make_service_app
from hibiscusstep.store import InstanceRecord
from hibiscusstep.stores.memory import MemoryPlatform

BOUND_S = 30.0
KEY = "a-customers-key"
SERVICE, ENGINE = "service", "engine"


async def wait_until(condition, bound=BOUND_S):
    """Wait until a condition is true; fail after `bound` seconds."""
    async with asyncio.timeout(bound):
        while not condition():
            await asyncio.sleep(0.01)


def configuration(targets, *, deadline=5.0, max_running=4, shedding=None, **claims):
    """Return the files of a configuration with two pools and three tiers."""
    pools = {
        kind: {
            "kind": kind,
            "targets": {
                name: {
                    "address": address,
                    "data_centre": "hall",
                    "max_running": max_running,
                    "decode_rate": 100,
                }
                for name, address in targets.items()
                if name.startswith(kind)
            },
        }
        for kind in (SERVICE, ENGINE)
    }
    data = {
        "tiers": {
            name: {"rank": rank} for rank, name in enumerate(("high", "mid", "low"))
        },
        "customers": {
            "club": {
                "key_hashes": [hashlib.sha256(KEY.encode()).hexdigest()],
                "tier": "high",
                "tiers": ["mid", "low"],
            }
        },
        "pools": {kind: pool for kind, pool in pools.items() if pool["targets"]},
        "routes": {
            "charge": {
                "pool": SERVICE,
                "path": "/charge",
                "idempotent": False,
                "key": "optional",
                "deadline": deadline,
            },
            "read": {
                "pool": SERVICE,
                "path": "/read",
                "idempotent": True,
                "deadline": deadline,
            },
            "chat": {
                "pool": ENGINE,
                "model": "m",
                "idempotent": True,
                "deadline": deadline,
            },
        },
        "shedding": shedding or {"low": {"may_be_stopped": True}},
        "claims": {"shards": 2, "writes_per_second": 1000, "timeout": 1.0, **claims},
    }
    data["routes"] = {
        name: route
        for name, route in data["routes"].items()
        if route["pool"] in data["pools"]
    }
    return {"all.json": json.dumps(data)}


class CallResult:
    """Answer that a caller received; status 0 if the connection broke."""

    def __init__(self, status=0, body=b"", headers=None):
        self.status, self.body, self.headers = status, body, headers or {}

    @property
    def outcome(self):
        """Outcome of the problem document, ``"whole"`` for a complete answer."""
        if self.status == 200 and b"event: error" not in self.body:
            return "whole"
        text = self.body.rpartition(b"data: ")[2] or b"{}"
        return json.loads(text).get("outcome") if self.status else "broken"


class Cluster:
    """Complete system in one event loop.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the recorded history.
    instances, services, engines : int
        Number of each.
    """

    def __init__(self, folder, instances=3, services=2, engines=0, **options):
        self.folder = folder
        self.platform = MemoryPlatform()
        self.instances, self.tasks, self.urls = {}, {}, {}
        self.targets, self.apps, self._runners = {}, {}, []
        self.killed = []
        self._background = []
        self._runner_by_target = {}
        self._names = [f"e{number}" for number in range(instances)]
        self._counts = {SERVICE: services, ENGINE: engines}
        self._options = options
        self._speed = options.pop("speed", {})
        self._duration = options.pop("duration", 0.01)
        self._settings = options.pop("settings", {})
        self._recorder = Recorder(folder / "harness.events", "harness", "harness")

    async def __aenter__(self):
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        await self._start_targets()
        await self.apply(configuration(self.targets, **self._options))
        ports = iter(free_ports(3 * len(self._names)))
        self._ports = {name: [next(ports) for _ in range(3)] for name in self._names}
        self.platform.instance_records = [
            InstanceRecord(name, "hall", f"127.0.0.1:{ports[2]}")
            for name, ports in self._ports.items()
        ]
        for name in self._names:
            await self.start(name)
        await self.wait_settled()
        return self

    async def __aexit__(self, *_exc):
        for task in self.tasks.values():
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)
        for task in self._background:
            task.cancel()
        for runner in self._runners:
            await runner.cleanup()
        await self.session.close()
        self._recorder.close()

    async def _start_targets(self):
        for kind, count in self._counts.items():
            for name in (f"{kind}-{number}" for number in range(count)):
                self.apps[name] = self._make_app(name)
                await self.serve_target(name, free_ports(1)[0])

    def _make_app(self, name):
        recorder = Recorder(self.folder / f"{name}.events", name, "target")
        if name.startswith(ENGINE):
            speed = EngineSpeed(**{"decode_rate": 100.0, **self._speed})
            return make_engine_app(speed, name=name, recorder=recorder)
        return make_service_app(name=name, duration=self._duration, recorder=recorder)

    async def serve_target(self, name, port):
        """Start a target's application on a port."""
        runner = web.AppRunner(
            self.apps[name],
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=0.1,
        )
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        self.targets[name] = f"127.0.0.1:{port}"
        self._runner_by_target[name] = runner
        self._runners.append(runner)

    async def stop_target(self, name):
        """Stop a target: its connections break and new ones are refused."""
        await self._runner_by_target.pop(name).cleanup()

    async def restart_target(self, name):
        """Restart a target at its address if it is stopped."""
        if name not in self._runner_by_target:
            self.apps[name] = self._make_app(name)
            await self.serve_target(name, int(self.targets[name].rpartition(":")[2]))

    async def apply(self, files, **fields):
        """Write a configuration to the platform and return its version."""
        found = await self.platform.get(CONFIGURATION_KEY)
        version = found.unwrap().version if found.is_ok() else 0
        value = StoredConfiguration(files=files, **fields).to_bytes()
        accepted = (await self.platform.put(CONFIGURATION_KEY, value, version)).unwrap()
        self._recorder.record(EventKind.CONFIGURATION_ACCEPTED, version=accepted)
        return accepted

    async def apply_until_known(self, files):
        """Apply a configuration, with retries until the outcome is known."""
        while True:
            with contextlib.suppress(UnwrapError):
                return await self.apply(files)
            await asyncio.sleep(0.1)

    def run_in_background(self, coroutine):
        """Run a coroutine concurrently; `wait_background` waits for it."""
        self._background.append(asyncio.create_task(coroutine))

    async def wait_background(self):
        """Bring the platform up and wait for the background coroutines."""
        self.platform.faults.down = False
        await asyncio.gather(*self._background)

    def record_event(self, kind, **fields):
        """Record an event of the test in the history."""
        self._recorder.record(kind, **fields)

    def settings(self, name):
        """Return the settings of an instance, with short heartbeat intervals."""
        caller, operator, peer = self._ports[name]
        return Settings(
            name=name,
            data_centre="hall",
            caller_address=f"127.0.0.1:{caller}",
            operator_address=f"127.0.0.1:{operator}",
            peer_address=f"127.0.0.1:{peer}",
            platform="",
            peer_key="a-peer-key-of-tests",
            operator_key="an-operator-key-of-tests",
            seeds=[f"127.0.0.1:{ports[2]}" for ports in self._ports.values()],
            history=str(self.folder),
            heartbeat_interval=0.1,
            suspect_after=0.8,
            **self._settings,
        )

    async def start(self, name):
        """Start or restart an instance."""
        instance = Instance(self.settings(name), self.platform)
        self.instances[name] = instance
        self.tasks[name] = asyncio.create_task(instance.run())
        self.urls[name] = f"http://{instance._settings.caller_address}"
        await instance.started.wait()

    async def kill(self, name):
        """Stop an instance as SIGKILL does: at once and without notice."""
        self.killed.append(name)
        instance, task = self.instances.pop(name), self.tasks.pop(name)
        instance._caller_server.drain()
        instance.cut("killed by the test")
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def drain(self, name):
        """Stop an instance as SIGTERM does."""
        instance = self.instances[name]
        await instance.drain()
        if self.instances.get(name) is not instance:
            return
        self.instances.pop(name)
        task = self.tasks.pop(name)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    def cut_links(self, *sides):
        """Cut the peer links between groups of instances."""
        for side in sides:
            others = [n for other in sides if other is not side for n in other]
            for name in side:
                self.instances[name].links.block(
                    {f"127.0.0.1:{self._ports[other][2]}" for other in others}
                )

    def restore_links(self):
        """Restore all peer links."""
        for instance in self.instances.values():
            instance.links.block(set())

    async def wait_settled(self):
        """Wait until all instances know each other and every pool has a dispatcher."""
        names = set(self.instances)
        await wait_until(
            lambda: all(set(e.view.members) == names for e in self._live())
        )
        await wait_until(lambda: all(e.ready for e in self._live()))
        await wait_until(self._all_pools_dispatched)

    def dispatcher(self, pool):
        """Return the name of the instance that is the dispatcher of a pool."""
        return self._live()[0].view.dispatcher_of(pool)

    def _live(self):
        return list(self.instances.values())

    def _all_pools_dispatched(self):
        live = self._live()
        pools = live[0].in_force.configuration.pools
        return all(
            any(e._dispatcher_host.status(pool).get("recovered") for e in live)
            for pool in pools
        )

    async def call(self, name, path="/charge", *, key="", tier="", body=b"{}", **more):
        """Send one call through an instance."""
        headers = {"Authorization": f"Bearer {KEY}"}
        headers |= {"Idempotency-Key": key} if key else {}
        headers |= {"Hibiscusstep-Tier": tier} if tier else {}
        with contextlib.suppress(aiohttp.ClientError, OSError):
            async with self.session.post(
                self.urls[name] + path, data=body, headers=headers, **more
            ) as response:
                return CallResult(
                    response.status, await response.read(), response.headers
                )
        return CallResult()

    async def chat(self, name, prompt="why?", tokens=4, stream=True, **more):
        """Send one chat completion through an instance."""
        body = {
            "model": "m",
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
            "stream": stream,
        }
        return await self.call(
            name, "/v1/chat/completions", body=json.dumps(body).encode(), **more
        )

    async def control(self, target, **faults):
        """Set faults of a target."""
        url = f"http://{self.targets[target]}/control"
        async with self.session.post(url, json=faults) as response:
            assert response.status == 204

    def history(self):
        """Return all events so far."""
        return read_history(self.folder)

    def events(self, kind):
        """Return the events of a kind so far."""
        return [event for event in self.history() if event.kind is kind]

    def findings(self):
        """Return the violations of guarantees so far."""
        return check_history(self.history(), self.killed)

    def check(self):
        """Fail with the findings if a guarantee was violated."""
        findings = self.findings()
        assert not findings, "\n".join(map(str, findings))

    def on_event(self, kind, action, names=None):
        """Call an action once, at the first event of a kind on any of the instances."""
        fired = asyncio.Event()
        for name in names or self.instances:
            self._wrap_recorder(self.instances[name], kind, action, fired)
        return fired

    @staticmethod
    def _wrap_recorder(instance, kind, action, fired):
        record = instance._recorder.record

        def record_and_check(event_kind, **fields):
            record(event_kind, **fields)
            if event_kind is kind and not fired.is_set():
                fired.set()
                action()

        instance._recorder.record = record_and_check

    def before_put(self, part, action):
        """Call an action once, before the first write of a key that contains `part`."""
        fired = asyncio.Event()

        def observer(step, key):
            if step == "put" and part in key and not fired.is_set():
                fired.set()
                action()

        self.platform.observer = observer
        return fired
