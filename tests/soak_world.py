"""The soak's processes and what stands around them: store, targets, proxies."""

import asyncio
import os
import signal
import subprocess
import sys
import time

import aiohttp
import orjson
from fleet import free_ports
from platform_standin import (
    StoreStandIn,
    TargetStandIn,
    answer,
    chunk,
    configuration,
    stream_head,
)
from soak_ledger import Run, body_of, events
from soak_proxy import Proxy

POOL = "pool-a"
# A target that gets it crashes; by its value requests are told apart.
CRASH_FIELD = "x-crash"
LEAVING_FIELD = "Server-Leaving"
# Tells callers which start of a target answered; its id may be that of another one.
START_FIELD = "X-Start"
GRACE_S = 2
SLOTS = 6
READY_PATH = "/hibiscusstep/ready"
# An instance that is well shows it within this time, also beside other work.
RECOVERED_WITHIN_S = 60.0
# Three seconds are promised; the rest is for a busy machine.
LEFT_AFTER_S = 10.0


class SoakTarget(TargetStandIn):
    """A target that keeps the ledger, and may misbehave.

    Attributes
    ----------
    fault : str
        What it does to some requests: '', 'grey', 'shed', 'reset', 'garble', 'slow'.
    left_at : float
        When the store was told that it leaves; 0 if it does not.
    says_so : bool
        Whether all its answers tell that it leaves.
    """

    def __init__(self, name, ledger, rng, born=0, version="v1"):
        super().__init__(name, self._work, born, version)
        self.fault = ""
        self.left_at = 0.0
        self.says_so = False
        self._ledger = ledger
        self._rng = rng

    def _work(self, _number, fields, _body):
        name = fields.get("x-request-id", "")
        if CRASH_FIELD in fields:
            self._ledger.crashes[fields[CRASH_FIELD]].append(time.monotonic())
            self._ledger.crashed.add(self.name)
            return ["crash"]
        hit = self.fault and self._rng.random() < 0.4
        if hit and self.fault == "shed":
            return answer(fields, b"", status=503, sealed=False, not_run=True)
        self._ledger.runs[name].append(
            Run(self.name, fields.get("x-tenant", ""), fields)
        )
        self._ledger.ran(name, self.version)
        if self.left_at and time.monotonic() > self.left_at + LEFT_AFTER_S:
            self._ledger.late.append(f"{name} at {self.name}")
        pause = [self._rng.uniform(0.0, 0.05) + (0.5 if hit == "slow" else 0.0)]
        return [*pause, *self._answer(name, fields, self.fault if hit else "")]

    def _answer(self, name, fields, fault):
        seal = f"X-Response-Seal: {name}.{self.name}\n{START_FIELD}: {self.born}"
        if self.says_so:
            seal += f"\n{LEAVING_FIELD}: 1"
        if fault == "grey":
            yield answer(fields, b"failed", status=500, sealed=False, extra=seal)
        elif self._is_stream(fields):
            yield from self._stream(name, fields, seal, fault)
        else:
            body = body_of(name, self.name)
            whole = answer(fields, body, sealed=False, extra=seal)
            if fault == "reset":
                yield whole[: len(whole) // 2]
                yield "reset"
            else:
                yield whole
                if fault == "garble":
                    yield b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore"

    def _stream(self, name, fields, seal, fault):
        lines = seal.replace("\n", "\r\n").encode()
        yield stream_head(fields).replace(b"X-Response-Seal: seal-of-{}", lines)
        after = int(fields.get("last-event-id", 0))
        for event in events(name)[after:]:
            if fault in ("reset", "garble") and self._rng.random() < 0.1:
                yield chunk(event[: len(event) // 2])
                yield "reset"
                return
            yield self._rng.uniform(0.0, 0.03)
            yield chunk(event)
        yield chunk(b"")

    @staticmethod
    def _is_stream(fields):
        return fields.get("x-kind") in ("resume", "stream")


class Instance:
    """One real process, its settings, and its proxies to callers and to the store."""

    def __init__(self, world, number):
        self.name = f"n{number}"
        self.ip = f"127.77.{world.net}.{number + 1}"
        self._world = world
        self._path = world.folder / f"{self.name}.json"
        caller, ready, peer, to_store, from_callers = world.ports
        self.caller_address, self.peer_port = f"{self.ip}:{caller}", peer
        self.ready_url = f"http://{self.ip}:{ready}{READY_PATH}"
        self._ready = f"{self.ip}:{ready}"
        self.store = Proxy(self.ip, to_store, world.store.host_and_port)
        self.callers = Proxy(self.ip, from_callers, lambda: (self.ip, caller))
        self.process = None
        self.paused = False
        self.exits = []
        self.trail = []
        self._log = world.folder / f"{self.name}.log"
        self._logged = 0

    def write_settings(self, slack=50):
        """Write the settings file; `slack` tells versions apart."""
        settings = {
            "NodeName": self.name,
            "Ip": self.ip,
            "Zone": f"z{len(self.name) % 2}",
            "Region": "r",
            "Listen": {"Front": self.caller_address, "Ready": self._ready},
            "InternalPorts": [self.peer_port, self.peer_port],
            "Seeds": [f"127.77.{self._world.net}.{n}:1" for n in (1, 2, 3)],
            "Bounds": {"GraceS": GRACE_S, "RetryBudgetSlack": slack},
            "Platform": {"Address": self.store.address},
        }
        self._path.write_bytes(orjson.dumps(settings))

    def start(self):
        """Start the process; a log file takes what it writes."""
        environment = {
            **os.environ,
            "HIBISCUSSTEP_SETTINGS": str(self._path),
            "HIBISCUSSTEP_PEER_KEY": "a-key-for-the-soak-only",
        }
        command = [sys.executable, "-m", "hibiscusstep.cmdline.entry"]
        with self._log.open("ab") as log:
            self._logged = log.tell()
            self.process = subprocess.Popen(
                [*command, "--dialect", "platform"],
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self._note(f"started {self.process.pid}")

    @property
    def begun(self):
        """Whether the process that was started last has told of its start."""
        return b'"message": "start"' in self._log.read_bytes()[self._logged :]

    def signal(self, number):
        """Send a signal to this process, if it still runs."""
        if self.process.poll() is None:
            self._note(f"signal {number} to {self.process.pid}")
            self.process.send_signal(number)
            self.paused = {signal.SIGSTOP: True, signal.SIGCONT: False}.get(
                number, self.paused
            )

    def _note(self, what):
        """Remember what was done to the process, for findings."""
        self.trail.append(f"{time.monotonic() - self._world.began:.2f} {what}")

    def state(self):
        """Return what was done to the process, and whether it lives."""
        return f"{self.name}: {', '.join(self.trail)}, exit {self.process.poll()}"

    async def ended(self, bound=30.0):
        """Return the exit code of the process, waited for without blocking."""
        async with asyncio.timeout(bound):
            while (code := self.process.poll()) is None:
                await asyncio.sleep(0.02)
        return code

    async def ready(self, session):
        """Whether it says that callers may be sent there."""
        try:
            async with asyncio.timeout(2.0), session.get(self.ready_url) as response:
                return response.status == 200
        except (TimeoutError, OSError, aiohttp.ClientError):
            return False


class World:
    """Store, targets and instances of one soak.

    Parameters
    ----------
    folder : Path
        For settings and logs.
    rng : random.Random
        Decides what a seed decides.
    ledger : Ledger
        Where runs are noted.
    instances, targets : int
        How many.
    """

    def __init__(self, folder, rng, ledger, instances, targets):
        self.folder = folder
        self.ledger = ledger
        self.ports = free_ports(5)
        self.began = time.monotonic()
        self.net = os.getpid() % 250
        self.store = StoreStandIn()
        self._rng = rng
        self._names = 0
        self._version = 1
        self.software = 1
        self.rollout = asyncio.Lock()
        self._wanted = instances, targets
        self.targets = []
        self.instances = []

    async def start(self):
        await self.store.start()
        self.configure()
        for _ in range(self._wanted[1]):
            await self.add_target()
        self.instances = [Instance(self, n) for n in range(self._wanted[0])]
        for instance in self.instances:
            await instance.store.start()
            await instance.callers.start()
            instance.write_settings()
            instance.start()

    async def stop(self):
        """End the processes that were started here, by their ids."""
        for instance in self.instances:
            if instance.process and instance.process.poll() is None:
                instance.signal(signal.SIGCONT)
                instance.process.kill()
                instance.process.wait()
            await instance.store.stop()
            await instance.callers.stop()
        for target in self.targets:
            await target.stop()
        await self.store.stop()

    def configure(self):
        """Put a new version into force: a route and a key come, others go."""
        self._version += 1 + self._rng.randrange(3)
        document = configuration(self._version)
        extra = {**document["Routes"][0], "Name": f"x{self._version}"}
        extra["PathPrefix"] = f"/x{self._version}/"
        document["Routes"].append(extra)
        document["Tenants"][1] |= {"RatePerS": 0, "Burst": 0}
        document["Tenants"][0]["ApiKeys"].append(f"key-{self._version}")
        self.store.put("config", "main", document)

    async def add_target(self, version=""):
        """Start a target, of the version in force if not told, and register it."""
        self._names += 1
        version = version or f"v{self.software}"
        target = SoakTarget(f"t{self._names}", self.ledger, self._rng, version=version)
        await target.start()
        self.targets.append(target)
        self.store.put("servers", target.name, target.entry(POOL, slots=SLOTS))
        return target

    async def replace_crashed(self, after):
        """Start another target for each that crashes, until cancelled."""
        while True:
            if any(target.crashed.is_set() for target in self.targets):
                await asyncio.sleep(after)
                await self.replace_all_crashed()
            await asyncio.sleep(0.05)

    async def replace_all_crashed(self):
        """Start another target for each that has crashed."""
        for target in [t for t in self.targets if t.crashed.is_set()]:
            self.targets.remove(target)
            self.store.remove("servers", target.name)
            await self.add_target()

    async def restore_store(self, span):
        """Bring the store back from a copy; who wrote to it writes again."""
        kept = self.store.copy()
        await asyncio.sleep(span)
        document = self.store.objects["config", "main"]["Spec"]
        order = self.store.objects.get(("rollouts", POOL))
        self.store.restore(kept)
        await asyncio.sleep(span / 10)
        self.store.put("config", "main", document)
        if order:
            self.store.order(POOL, order["Spec"]["To"], order["Spec"]["DurationS"])
        living = {t.name: t for t in self.targets if not t.crashed.is_set()}
        listed = [name for kind, name in self.store.objects if kind == "servers"]
        for name in listed:
            if name not in living:
                self.store.remove("servers", name)
        for target in living.values():
            state = "draining" if target.left_at else "ready"
            entry = target.entry(POOL, state=state, slots=SLOTS)
            self.store.put("servers", target.name, entry)

    async def stop_version(self, version):
        """End all targets of a version at once, as the operator's platform does."""
        for target in [t for t in self.targets if t.version == version]:
            self.ledger.crashed.add(target.name)
            self.targets.remove(target)
            target.crash()
            if ("servers", target.name) in self.store.objects:
                self.store.remove("servers", target.name)

    def drain_version(self, version):
        """Let all targets of a version tell that they leave."""
        for target in [t for t in self.targets if t.version == version]:
            target.left_at = time.monotonic()
            leaving = target.entry(POOL, state="draining", slots=SLOTS)
            self.store.put("servers", target.name, leaving)

    async def restart_target(self, target, reset):
        """Start a target again under its id; all that it held is lost.

        Its connections are reset, or stay as they are and silent, as behind a cut.
        """
        self.ledger.crashed.add(target.name)
        target.silent = True
        await target.stop()
        if reset:
            target.reset()
        born = time.time_ns() // 1_000_000
        again = SoakTarget(target.name, self.ledger, self._rng, born, target.version)
        await again.start()
        self.targets[self.targets.index(target)] = again
        self.store.put("servers", again.name, again.entry(POOL, slots=SLOTS))

    async def all_ready(self, session):
        """Return the instances that do not say within the bound that they are ready."""
        waiting = set(self.instances)
        try:
            async with asyncio.timeout(RECOVERED_WITHIN_S):
                while waiting:
                    for instance in list(waiting):
                        if await instance.ready(session):
                            waiting.discard(instance)
                    await asyncio.sleep(0.05)
        except TimeoutError:
            pass
        return [instance.state() for instance in waiting]
