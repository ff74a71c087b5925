"""Stand-ins of the second review: the platform's store, workers, front processes.

Only the standard library is used. The programs of the project run as separate
processes, with the command of the deploy file.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
OBJECTS = "/hibiscusstep/objects/"
HOST = "h.example"
BOUNDS = {
    "SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4,
    "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200, "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250, "MaxStretchMs": 5000, "FailClosed": False,
    "RevokeMs": 5000, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10,
    "RetryBudgetSlack": 58, "QuotaWindowS": 8, "QuotaOverage": 0.1,
    "QuotaSlack": 140000, "RecoveryS": 12, "PassMs": 120, "ReuseWindowS": 10,
}  # fmt: skip


class Record:
    """Writes record.txt: what was sent, answered and run, with times."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._started = time.monotonic()

    def __call__(self, text):
        at = time.monotonic() - self._started
        self._file.write(f"{at:8.3f} {text}\n")
        self._file.flush()

    def close(self):
        self._file.close()


class HttpServer:
    """HTTP/1.1 server of raw requests: method, target, fields (lower case), body."""

    def __init__(self):
        self.address = ""
        self.writers = set()
        self._server = None

    async def listen(self, ip="127.0.0.1", port=0):
        self._server = await asyncio.start_server(self._serve, ip, port, backlog=512)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"

    def close(self):
        if self._server:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self.answer(request, writer, reader):
                    return
        except (OSError, EOFError, ValueError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, writer, reader):
        """Answer a request; return whether the connection is kept."""
        raise NotImplementedError


async def read_request(reader):
    """Return the parts of a request, with the raw bytes of its head; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    line, *rest = head[:-4].split(b"\r\n")
    fields = {}
    for entry in rest:
        name, _, value = entry.partition(b":")
        key = name.decode("latin-1").strip().lower()
        fields[key] = value.decode("latin-1").strip()
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    method, target, _version = line.split(b" ", 2)
    return method.decode("latin-1"), target, fields, body


class Store(HttpServer):
    """The platform's store, as PROTOCOL.md tells it. Nothing is lost or late."""

    def __init__(self):
        super().__init__()
        self.revision = 1
        self.objects = {}
        self.events = []
        self.oldest = 0
        self.era = 1
        self.calls = 0
        # Called with method and path; may return a status, or a number of seconds.
        self.fault = None
        self._changed = asyncio.Event()

    def put(self, kind, name, spec=None, status=None):
        """Write an object as its owner does; return its revision."""
        known = self.objects.get((kind, name))
        if known and spec is not None and known["Spec"] == spec and status is None:
            return self.revision
        self.revision += 1
        item = {
            "Metadata": {"Name": name, "Revision": self.revision, "Created": 1},
            "Spec": spec if spec is not None else (known or {}).get("Spec"),
            "Status": status if status is not None else (known or {}).get("Status"),
        }
        self.objects[kind, name] = item
        self._emit(kind, False, item)
        return self.revision

    def remove(self, kind, name):
        """Remove an object."""
        item = self.objects.pop((kind, name))
        self.revision += 1
        item = json.loads(json.dumps(item))
        item["Metadata"]["Revision"] = self.revision
        self._emit(kind, True, item)

    def _emit(self, kind, removed, item):
        self.events.append((self.revision, kind, removed, item))
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, request, writer, reader):
        method, target, _fields, body = request
        self.calls += 1
        url = urlsplit(target.decode("latin-1"))
        if not url.path.startswith(OBJECTS):
            self._reply(writer, 404, {})
            return True
        path = [unquote(part) for part in url.path[len(OBJECTS) :].split("/")]
        fault = self.fault(method, path) if self.fault else None
        if fault is not None and fault >= 100:
            self._reply(writer, fault, {})
            return True
        if fault is not None:
            await asyncio.sleep(fault)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        document = json.loads(body) if body else {}
        if method == "GET" and len(path) == 1 and "Watch" in query:
            status, reply = await self._watch(path[0], query)
        else:
            status, reply = self._call(method, path, query, document)
        self._reply(writer, status, reply)
        return True

    def _call(self, method, path, query, document):
        kind, name = path[0], path[1] if len(path) > 1 else ""
        if method == "GET" and not name:
            names = sorted(n for k, n in self.objects if k == kind)
            names = [n for n in names if n > query.get("After", "")]
            items = [self.objects[kind, n] for n in names[:500]]
            more = len(names) > 500
            return 200, {"Items": items, "HasMore": more, "At": self.revision}
        if method == "POST":
            name = document["Metadata"]["Name"]
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name]
            self.put(kind, name, document.get("Spec") or {})
            return 201, self.objects[kind, name]
        known = self.objects.get((kind, name))
        if known is None:
            return 404, {}
        if method == "GET":
            return 200, known
        wanted = (document.get("Metadata") or {}).get("Revision", query.get("Revision"))
        if wanted is not None and int(wanted) != known["Metadata"]["Revision"]:
            return 409, known
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        if path[2:] == ["status"]:
            self.put(kind, name, status=document.get("Status") or {})
        else:
            self.put(kind, name, document.get("Spec") or {})
        return 200, self.objects[kind, name]

    async def _watch(self, kind, query):
        since = int(query["Watch"])
        deadline = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while True:
            if not self.oldest <= since <= self.revision:
                return 410, {}
            found = [
                {"Object": item, "Removed": removed}
                for revision, of, removed, item in self.events
                if of == kind and revision > since
            ]
            left = deadline - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "At": self.revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self._changed.wait()

    def _reply(self, writer, status, document):
        data = json.dumps(document).encode()
        head = (
            f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Store-Era: {self.era}\r\nContent-Length: {len(data)}\r\n\r\n"
        )
        writer.write(head.encode() + data)


class Worker(HttpServer):
    """A sound worker, which enters itself in the store and sends heartbeats.

    `runs` has the time, id, fields, target and body of each request that it began to
    work on. `work` may be replaced; it answers a request that has begun to run.
    """

    def __init__(self, name, service, record, *, zone="z1", version="v1", slots=6):
        super().__init__()
        self.name, self.service, self.zone = name, service, zone
        self.version, self.slots = version, slots
        self.record = record
        self.runs = []
        self.rejected = []
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.seconds = 0.02
        self.extra = ""
        self._sequence = 0
        self._beats = None

    async def start(self, store, ip="127.0.0.1", port=0):
        await self.listen(ip, port)
        self._store = store
        self.beat()
        self._beats = asyncio.create_task(self._beat_on())

    def beat(self):
        """Write the own entry in the store."""
        self._sequence += 1
        entry = {
            "Service": self.service, "Address": self.address, "Zone": self.zone,
            "Version": self.version, "Slots": self.slots, "State": self.state,
            "ColdLeftMs": 0, "Sequence": self._sequence, "born": self.born,
        }  # fmt: skip
        # The entry changes when more than its sequence does.
        known = self._store.objects.get(("servers", self.name))
        same = known and {**known["Spec"], "Sequence": 0} == {**entry, "Sequence": 0}
        if not same:
            self._store.put("servers", self.name, entry)

    async def _beat_on(self):
        while True:
            await asyncio.sleep(1.2)
            self.beat()

    def stop(self):
        if self._beats:
            self._beats.cancel()
        self.close()

    async def answer(self, request, writer, reader):
        method, target, fields, body = request
        name = fields.get("x-request-id", "")
        if fields.get("x-target-instance", self.name) != self.name:
            self.rejected.append(name)
            head = f"HTTP/1.1 421 X\r\nX-Request-Id: {name}\r\nX-Not-Executed: 1\r\n"
            writer.write(head.encode() + b"Content-Length: 0\r\n\r\n")
            return True
        self.runs.append((time.monotonic(), name, fields, target, body))
        self.record(f"run    {self.name} {name} {method} {target!r} {len(body)} B")
        return await self.work(method, target, fields, body, writer)

    async def work(self, method, target, fields, body, writer):
        await asyncio.sleep(self.seconds)
        writer.write(self.whole(fields, f"whole {fields.get('x-request-id')}".encode()))
        return True

    def whole(self, fields, body, status=200, extra=""):
        """Return the bytes of a complete answer with a seal."""
        lines = [
            f"HTTP/1.1 {status} X",
            f"X-Request-Id: {fields.get('x-request-id', '')}",
            f"X-Response-Seal: seal.{self.name}",
            f"Content-Length: {len(body)}",
            "Keep-Alive: timeout=5",
        ]
        lines += [line for line in (self.extra, extra) if line]
        return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def reset(writer):
    """Reset a connection."""
    sock = writer.transport.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Front:
    """A front process of the system, started with the command of the deploy file."""

    def __init__(self, number, world, ip):
        self.name = f"front-{number}"
        self.world, self.ip = world, ip
        self.process = None
        self.starts = 0
        self.ended = []
        ports = world.ports
        self.front, self.ready = f"{ip}:{ports[0]}", f"{ip}:{ports[1]}"
        self.control = f"{ip}:{ports[2]}"
        folder = Path(world.folder) / self.name
        folder.mkdir()
        self.settings_path = folder / "local.json"
        self.log_path = folder / "log.txt"

    def settings(self):
        world = self.world
        return {
            "NodeName": self.name, "Role": "entry", "MachineClass": "front",
            "Serves": ["front", "control"], "Ip": self.ip, "Zone": "z1",
            "Region": "r1", "Zones": {"z1": "r1"},
            "Listen": {
                "Front": self.front, "Ready": self.ready, "Control": self.control
            },
            "InternalPorts": [world.ports[3], world.ports[3] + 15],
            "Seeds": [front.control for front in world.fronts[:3]],
            "Bootstrap": self.starts == 0 and world.first_start, "InTolerance": False,
            "Limits": {
                "CpuShare": 0.537, "Cores": 2, "MemoryMb": 300, "MaxFds": 4100,
                "LinkMbps": 1000.0, "DiskMb": 0, **world.limits,
            },
            "DataDir": None, "Discovery": "platform", "Entry": "vip",
            "HeartbeatMs": 1200,
            "Contracts": [
                "base", "drain", "config", "cost", "retry", "recover", "engine",
                "stream", "tenants", "quota", "platform",
            ],
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
            "Bounds": world.bounds,
            "Platform": {
                "Address": world.store_address, "form": "objects", "WritesPerS": 400,
                "ReadsPerS": 2000, "HistoryS": 20, "ValueBytes": 1048576,
                "MinTtlMs": 1000,
            },
        }  # fmt: skip

    def start(self):
        self.settings_path.write_text(json.dumps(self.settings()))
        self.starts += 1
        role = self.world.role
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment |= role["env"]
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["HIBISCUSSTEP_SETTINGS"] = str(self.settings_path)
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.world.record(f"start  {self.name} pid {self.process.pid}")

    def signal(self, number):
        self.world.record(f"signal {self.name} {signal.Signals(number).name}")
        self.process.send_signal(number)

    def poll(self):
        """Return the exit status if the process has ended, else None."""
        return self.process.poll()

    async def is_ready(self):
        try:
            async with asyncio.timeout(1.0):
                status, *_ = await call(self.ready, "GET", "/hibiscusstep/ready")
            return status == 200
        except (OSError, TimeoutError, EOFError):
            return False

    def log(self):
        return self.log_path.read_text(errors="replace")


class World:
    """Store, workers and fronts of one case.

    `watch_ends`: fronts that end by themselves are noted and started again, as the
    platform does.
    """

    def __init__(self, record, fronts=3, *, first_start=True, bounds=None):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-2-")
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.limits = {}
        self.first_start = first_start
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.role = deploy["roles"]["entry"]
        self.store = Store()
        self.store_address = ""
        self.workers = []
        base = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self.ports = _free_ports(f"{base}.1")
        self.fronts = []
        for number in range(1, fronts + 1):
            self.fronts.append(Front(number, self, f"{base}.{number}"))
        self._guard = None

    async def start(self, document, workers):
        """Start all; return when every front is ready."""
        await self.store.listen()
        self.store_address = self.store_address or self.store.address
        self.store.put("config", "main", document)
        self.workers = workers
        for worker in workers:
            await worker.start(self.store)
        for front in self.fronts:
            front.start()
        await self.wait_ready()

    async def wait_ready(self, seconds=30.0):
        async with asyncio.timeout(seconds):
            for front in self.fronts:
                while not await front.is_ready():
                    await asyncio.sleep(0.1)

    def watch_ends(self):
        self._guard = asyncio.create_task(self._watch_ends())

    async def _watch_ends(self):
        while True:
            await asyncio.sleep(0.1)
            for front in self.fronts:
                status = front.poll()
                if status is not None:
                    front.ended.append((time.monotonic(), status))
                    self.record(f"end    {front.name} ended by itself, status {status}")
                    await asyncio.sleep(0.5)
                    front.start()

    async def stop(self):
        if self._guard:
            self._guard.cancel()
        for front in self.fronts:
            if front.process and front.poll() is None:
                front.process.send_signal(signal.SIGCONT)
                front.process.kill()
        for front in self.fronts:
            if front.process:
                front.process.wait()
        for worker in self.workers:
            worker.stop()
        self.store.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def _free_ports(ip):
    """Return three free ports and the first of 16 free ones after each other."""
    rng = random.Random(os.getpid() * 1000003 + time.time_ns())
    while True:
        first = rng.randrange(20000, 31000)
        probes = []
        try:
            for port in range(first, first + 19):
                probe = socket.socket()
                probes.append(probe)
                probe.bind((ip, port))
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()
        return [first, first + 1, first + 2, first + 3]


async def send_raw(address, data, timeout=5.0):
    """Send bytes on a new connection; return status, fields, body and completeness.

    Status 0: the connection ended without an answer.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(data)
            return await read_answer(reader)
        finally:
            writer.close()


async def read_answer(reader):
    """Return status, fields, body, and whether the answer is complete."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0, {}, b"", False
    line, *rest = head[:-4].decode("latin-1").split("\r\n")
    fields = {}
    for entry in rest:
        name, _, value = entry.partition(":")
        fields[name.strip().lower()] = value.strip()
    status = int(line.split(" ")[1])
    body, complete = b"", False
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip().split(b";")[0], 16)
                piece = await reader.readexactly(size + 2)
                body += piece[:-2]
                if size == 0:
                    complete = True
                    break
        elif "content-length" in fields:
            body = await reader.readexactly(int(fields["content-length"]))
            complete = True
        else:
            while piece := await reader.read(65536):
                body += piece
            complete = True
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    return status, fields, body, complete


def request(method, target, name="", key="key-one", fields=(), body=b""):
    """Return the bytes of a proper request."""
    if isinstance(target, str):
        target = target.encode()
    lines = [method.encode() + b" " + target + b" HTTP/1.1", b"Host: " + HOST.encode()]
    if name:
        lines.append(b"X-Request-Id: " + name.encode())
    if key:
        lines.append(b"Authorization: Bearer " + key.encode())
    lines += [f"{field}: {value}".encode("latin-1") for field, value in fields]
    if body or method not in ("GET", "DELETE"):
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join([*lines, b"", b""]) + body


async def call(address, method, target, name="", timeout=5.0, **more):
    """Send a proper request on a new connection; see `send_raw`."""
    return await send_raw(address, request(method, target, name, **more), timeout)


def configuration(version=1, **changes):
    """Return a configuration like those of the sheets, with two services."""
    route = {
        "Host": HOST, "TimeoutMs": 4000, "TargetLatencyMs": 1000, "Priority": 0,
        "MaxAttempts": 2,
    }  # fmt: skip
    llm = {**route, "Service": "llm", "Kind": "streaming", "TargetGapMs": 400}
    llm |= {"TimeoutMs": 12000, "Sticky": True}
    api = {**route, "Service": "api"}
    document = {
        "Version": version,
        "Routes": [
            {**llm, "Name": "ask", "PathPrefix": "/ask/", "Resumable": True},
            {**llm, "Name": "once", "PathPrefix": "/once/", "MaxAttempts": 1},
            {**api, "Name": "write", "PathPrefix": "/write/", "Kind": "unsafe"},
            {**api, "Name": "read", "PathPrefix": "/read/", "Kind": "safe"},
        ],
        "Services": [
            {
                "Name": "llm", "MaxConns": 370, "HealthPath": "/health",
                "Engine": {"Stride": 6, "KvCapacity": 475360},
            },
            {"Name": "api", "MaxConns": 110, "HealthPath": "/health"},
        ],
        "Limits": {
            "MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [
            {
                "Name": "one", "ApiKeys": ["key-one"], "PlainTokens": 200,
                "RatePerS": 90000, "Burst": 200000, "Unit": "token_count",
            },
            {
                "Name": "two", "ApiKeys": ["key-two"], "PlainTokens": 200,
                "RatePerS": 90000, "Burst": 200000, "Unit": "token_count",
            },
        ],
    }  # fmt: skip
    return {**document, **changes}


def run_case(main):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if it failed.

    `main` gets the record and whether the disruption is played; it returns the list of
    the breaks of the rule.
    """
    folder = Path(os.environ["CASE_FOLDER"])
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"case   disruption {'on' if trouble else 'off'}")
    try:
        breaks = asyncio.run(main(record, trouble))
    except BaseException as cause:
        record(f"result the case could not run: {cause!r}")
        print(f"could not run: {cause!r}")
        raise SystemExit(2) from cause
    for text in breaks:
        record(f"BROKEN {text}")
        print(f"BROKEN {text}")
    record(f"result {'the rule was broken' if breaks else 'the rule held'}")
    raise SystemExit(1 if breaks else 0)
