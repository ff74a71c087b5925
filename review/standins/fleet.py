"""Starts a small deployment on loopback addresses and plays its callers.

The entry instances are started with the command and the variables of the deploy file,
at the repository's root; store and workers are the stand-ins of this folder.
"""

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from http1 import call, read_chunk, read_head

HERE = Path(__file__).resolve().parent
ROOT = HERE.parent.parent
HEARTBEAT_MS = 1200
HOST = "ficu95.example"
KEY = "i9n73hh2b9wu3fexd9dn"
BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "ContactMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250,
    "MaxStretchMs": 5000,
    "FailClosed": False,
    "RevokeMs": 5000,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "RetryBudgetSlack": 58,
    "QuotaWindowS": 8,
    "QuotaOverage": 0.1,
    "QuotaSlack": 140000,
    "RecoveryS": 12,
    "PassMs": 120,
    "ReuseWindowS": 10,
}
CONTRACTS = (
    "base drain config cost retry recover engine stream tenants quota platform"
).split()


def route(name, prefix, kind, service, **more):
    """Return a route of the configuration."""
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": prefix,
        "Kind": kind,
        "TimeoutMs": 15000,
        "TargetLatencyMs": 1000,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        "Public": False,
        "Sticky": kind == "streaming",
        "Resumable": False,
        "TargetGapMs": 400,
        **more,
    }


def engine_service(name, slots, stride):
    """Return a service of model workers."""
    engine = {
        "Slots": slots,
        "KvCapacity": 475360,
        "KvTokenBytes": 18432,
        "LinkMbps": 180000.0,
        "Stride": stride,
        "most": 12,
        "Models": [{"Name": "m"}],
    }
    return {
        "Name": name,
        "HealthPath": "/health",
        "MaxConns": 370,
        "Protocol": "h1",
        "Tls": False,
        "Engine": engine,
    }


def plain_service(name):
    """Return a service of plain workers."""
    return {
        "Name": name,
        "HealthPath": "/health",
        "MaxConns": 110,
        "Protocol": "h1",
        "Tls": False,
    }


def configuration(routes, services, tenants=None, version=7):
    """Return the document of `config/main`."""
    tenant = {
        "Name": "hule930",
        "ApiKeys": [KEY],
        "Priority": 1,
        "Unit": "token_count",
        "PlainTokens": 200,
        "RatePerS": 0,
        "Burst": 0,
    }
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": tenants or [tenant],
    }


class Fleet:
    """The processes of one run; all of them end with it."""

    def __init__(self, folder, zones=("z-a",), contracts=CONTRACTS, bounds=None):
        self.folder = Path(folder)
        self.temporary = tempfile.TemporaryDirectory()
        self.work = Path(self.temporary.name)
        self.zones = zones
        self.contracts = contracts
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.record_file = open(self.folder / "record.txt", "w", buffering=1)
        self.runs_file = self.work / "runs.txt"
        self.runs_file.touch()
        self.processes = {}
        self.entries = {}
        self.workers = {}
        number = os.getpid()
        self.net = f"127.{20 + number % 200}.{1 + number // 200 % 250}"
        self.store_address = f"{self.net}.200:{self.port(f'{self.net}.200')}"
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.role = deploy["roles"]["entry"]
        self.ports = [self.port(f"{self.net}.1") for _ in range(4)]
        self.request_number = 0

    @staticmethod
    def port(ip):
        """Return a free port of an address."""
        with socket.socket() as probe:
            probe.bind((ip, 0))
            return probe.getsockname()[1]

    def record(self, what, **more):
        """Write a line to record.txt."""
        entry = {"at": round(time.time(), 4), "what": what, **more}
        self.record_file.write(json.dumps(entry) + "\n")

    def start(self, name, arguments, environment, cwd):
        """Start a process; what it prints goes to the temporary folder."""
        output = open(self.work / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            arguments,
            cwd=cwd,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=output,
        )
        output.close()

    def signal(self, name, number):
        """Send a signal to a process that this run started, and record it."""
        self.record("signal", to=name, signal=signal.Signals(number).name)
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self.processes.pop(name).wait()

    async def start_store(self):
        """Start the store and wait until it answers."""
        arguments = [sys.executable, "store.py", self.store_address, str(HEARTBEAT_MS)]
        self.start("store", arguments, dict(os.environ), HERE)
        await self.until(self.store_answers, 10)

    async def store_answers(self):
        """Whether the store answers."""
        try:
            await call(self.store_address, "GET", "/hibiscusstep/objects/servers")
        except (OSError, TimeoutError):
            return False
        return True

    async def until(self, condition, seconds):
        """Wait for a condition; the case can't run if it doesn't come."""
        end = time.monotonic() + seconds
        while not await condition():
            if time.monotonic() > end:
                raise RuntimeError(f"not within {seconds} s: {condition.__name__}")
            await asyncio.sleep(0.05)

    async def write(self, method, path, document=None, metadata=None):
        """Write to the store as the operator; return status and document."""
        body = b""
        if document is not None:
            body = json.dumps({"Metadata": metadata or {}, "Spec": document}).encode()
        root = "/hibiscusstep/objects/"
        status, data = await call(self.store_address, method, root + path, body)
        return status, json.loads(data or b"{}")

    async def control(self, **faults):
        """Set faults of the store."""
        self.record("store", **faults)
        body = json.dumps(faults).encode()
        await call(self.store_address, "POST", "/control", body)

    async def configure(self, document):
        """Write the configuration; return when it is acknowledged."""
        status, _ = await self.write("PUT", "config/main", document)
        if status == 404:
            await self.write("POST", "config", document, {"Name": "main"})
        self.record("configuration", version=document["Version"])

    def start_worker(self, name, service, zone, version, slots=8, **more):
        """Start a worker at an address of its own."""
        ip = f"{self.net}.{50 + len(self.workers)}"
        settings = {
            "id": name,
            "service": service,
            "address": f"{ip}:{self.port(ip)}",
            "zone": zone,
            "version": version,
            "slots": slots,
            "store": self.store_address,
            "heartbeat_ms": HEARTBEAT_MS,
            "stride": 6,
            "event_ms": 60,
            "record": str(self.runs_file),
            **more,
        }
        self.workers[name] = settings
        self.restart_worker(name)

    def restart_worker(self, name):
        """Start a worker, again with the id and the address that it had."""
        arguments = [sys.executable, "worker.py", json.dumps(self.workers[name])]
        self.record("worker starts", name=name)
        self.start(name, arguments, dict(os.environ), HERE)

    def write_settings(self, number, zone):
        """Write the settings file of an entry instance; return its path."""
        ip = f"{self.net}.{number}"
        front, ready, control, internal = self.ports
        seeds = [f"{self.net}.{n}:{control}" for n in range(1, self.count + 1)][:3]
        settings = {
            "NodeName": f"front-{number}",
            "Role": "entry",
            "MachineClass": "front",
            "Serves": ["front", "control"],
            "Ip": ip,
            "Zone": zone,
            "Region": "r-a",
            "Zones": {name: "r-a" for name in self.zones},
            "Listen": {
                "Front": f"{ip}:{front}",
                "Ready": f"{ip}:{ready}",
                "Control": f"{ip}:{control}",
            },
            "InternalPorts": [internal, internal + 15],
            "Seeds": seeds,
            "Bootstrap": not self.entries.get(f"front-{number}"),
            "InTolerance": False,
            "Limits": {
                "CpuShare": 1.0,
                "Cores": 1,
                "MemoryMb": 300,
                "MaxFds": 4100,
                "LinkMbps": 1000.0,
                "DiskMb": 0,
            },
            "DataDir": None,
            "Discovery": "platform",
            "Entry": "vip",
            "HeartbeatMs": HEARTBEAT_MS,
            "Contracts": self.contracts,
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
            "Bounds": self.bounds,
            "Platform": {
                "Address": self.store_address,
                "form": "objects",
                "WritesPerS": 400,
                "ReadsPerS": 2000,
                "HistoryS": 20,
                "ValueBytes": 1048576,
                "MinTtlMs": 1000,
            },
        }
        path = self.work / f"front-{number}.json"
        path.write_text(json.dumps(settings))
        return path

    def start_entry(self, number):
        """Start an entry instance as the deploy file says."""
        name = f"front-{number}"
        zone = self.zones[(number - 1) % len(self.zones)]
        path = self.write_settings(number, zone)
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ
        }
        environment |= {
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "HIBISCUSSTEP_SETTINGS": str(path),
            **self.role.get("env", {}),
        }
        ip = f"{self.net}.{number}"
        self.entries[name] = {"front": f"{ip}:{self.ports[0]}", "zone": zone}
        self.entries[name]["ready"] = f"{ip}:{self.ports[1]}"
        self.record("entry starts", name=name)
        self.start(name, self.role["run"].split(), environment, ROOT)

    async def start_entries(self, count):
        """Start the entry instances and wait until all are ready."""
        self.count = count
        for number in range(1, count + 1):
            self.start_entry(number)
        await self.until_ready(list(self.entries))

    async def is_ready(self, name):
        """Whether an instance says that it is ready."""
        address = self.entries[name]["ready"]
        try:
            status, _ = await call(address, "GET", "/hibiscusstep/ready", timeout=1)
        except (OSError, TimeoutError, EOFError):
            return False
        return status == 200

    async def until_ready(self, names, seconds=20):
        """Wait until instances are ready."""

        async def all_ready():
            return all([await self.is_ready(name) for name in names])

        await self.until(all_ready, seconds)

    def next_id(self):
        """Return the id of a new client attempt."""
        self.request_number += 1
        return f"{self.request_number:016x}"

    def runs(self):
        """Return what the workers recorded."""
        lines = self.runs_file.read_text().splitlines()
        return [json.loads(line) for line in lines]

    def close(self):
        """End all processes and keep what the workers ran in record.txt."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for line in self.runs_file.read_text().splitlines():
            self.record_file.write(line + "\n")
        self.record_file.close()
        if os.environ.get("KEEP_LOGS"):
            for log in self.work.glob("front-*.log"):
                (Path(os.environ["KEEP_LOGS"]) / log.name).write_bytes(log.read_bytes())
        self.temporary.cleanup()


class Attempt:
    """One client attempt: what was sent and what came back."""

    def __init__(self, name, entry):
        self.name, self.entry = name, entry
        self.status = 0
        self.fields = {}
        self.events = []
        self.body = b""
        self.complete = False
        self.error = ""


def parse_events(buffer):
    """Return the complete events of a buffer and the rest."""
    *whole, rest = buffer.split(b"\n\n")
    events = []
    for text in whole:
        entry = dict(
            line.partition(b": ")[::2] for line in text.split(b"\n") if b": " in line
        )
        events.append((int(entry[b"id"]), json.loads(entry[b"data"])))
    return events, rest


async def send(fleet, entry, path, *, key=KEY, usage="", prefix="", more=(), **options):
    """Send one client attempt and return it.

    Options: method, deadline_ms (the client leaves after it) and on_event, called with
    the attempt after each event.
    """
    deadline_ms = options.get("deadline_ms", 15000)
    method = options.get("method", "POST")
    on_event = options.get("on_event")
    attempt = Attempt(fleet.next_id(), entry)
    fields = [
        ("Host", HOST),
        ("X-Request-Id", attempt.name),
        ("X-Request-Deadline-Ms", str(deadline_ms)),
        ("Authorization", f"Bearer {key}"),
        ("Connection", "close"),
        *more,
    ]
    if usage:
        fields += [("X-Model", "m"), ("X-Token-Usage", usage)]
        fields.append(("X-Prompt-Prefix", prefix or f"5c1e07a2:60,{attempt.name}:100"))
    body = options.get("body", b"" if method == "GET" else b"{}")
    fields.append(("Content-Length", str(len(body))))
    lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in fields)]
    fleet.record("sent", request=attempt.name, to=entry, path=path, usage=usage)
    host, _, port = fleet.entries[entry]["front"].rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
            await read_answer(reader, attempt, on_event)
    except (OSError, EOFError, ValueError, TimeoutError) as error:
        attempt.error = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
            with contextlib.suppress(OSError):
                await writer.wait_closed()
    fleet.record(
        "answered",
        request=attempt.name,
        status=attempt.status,
        complete=attempt.complete,
        error=attempt.error,
        events=len(attempt.events),
    )
    return attempt


async def read_answer(reader, attempt, on_event):
    """Read an answer with a length or in chunks."""
    head = await read_head(reader)
    if head is None:
        raise ConnectionError("closed without an answer")
    line, attempt.fields = head
    attempt.status = int(line.split(" ")[1])
    if attempt.fields.get("transfer-encoding", "").lower() != "chunked":
        length = int(attempt.fields.get("content-length", 0))
        attempt.body = await reader.readexactly(length)
        attempt.complete = True
        return
    rest = b""
    while data := await read_chunk(reader):
        events, rest = parse_events(rest + data)
        attempt.events += events
        if events and on_event:
            on_event(attempt)
    attempt.complete = True
