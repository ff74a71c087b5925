"""examples.fleet: starts and stops the processes of a deployment on free ports.

No program of the system starts another one. The scripts of this folder, tests and
measurements use this module to start them.
"""

import functools
import itertools
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request
from pathlib import Path

HERE = Path(__file__).parent
BIN = Path(sys.executable).parent
OPERATOR_KEY = "example-operator-key-change-me"
ADDRESS = re.compile(r"127\.0\.0\.1:(\d+)")
START_TIMEOUT_S = 30.0
FIRST_PORT, BLOCK, BLOCKS = 10_000, 500, 40


def free_ports(count):
    """Return currently free ports.

    The ports lie below the operating system's ephemeral range, in a block that is
    reserved for this process as long as it runs.
    """
    return list(itertools.islice(filter(_is_free, _reserved_ports()), count))


def _is_free(port):
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


@functools.cache
def _reserved_ports():
    """Return a cycle of a block's ports; binding its first port reserves the block."""
    for number in range(BLOCKS):
        first = FIRST_PORT + BLOCK * ((os.getpid() + number) % BLOCKS)
        lock = socket.socket()
        try:
            lock.bind(("127.0.0.1", first))
        except OSError:
            lock.close()
            continue
        _block_locks.append(lock)
        return itertools.cycle(range(first + 1, first + BLOCK))
    raise RuntimeError("all blocks of ports are in use")


_block_locks = []


def http(method, url, body=None, headers=None, timeout=5.0):
    """Return the status and body of an HTTP call."""
    data = json.dumps(body).encode() if body is not None else None
    request = urllib.request.Request(url, data, headers or {}, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()


class Fleet:
    """Processes of one deployment: platform, targets, instances.

    Parameters
    ----------
    deployment : {'hanul', 'bertolini'}
        Folder of the example.
    targets : int
        Maximum number of targets per pool.
    settings : dict
        Additional settings of every instance.
    files : dict of str to str
        Additional configuration files.
    engine_options, platform_options : list of str
        Additional options of each engine stand-in and of the platform stand-in.
    """

    def __init__(
        self,
        deployment="hanul",
        *,
        targets=10,
        settings=None,
        files=None,
        engine_options=(),
        platform_options=(),
    ):
        self.folder = Path(tempfile.mkdtemp(prefix="hibiscusstep-"))
        self.history = self.folder / "history"
        self.history.mkdir()
        self.processes = {}
        self._ports = {}
        self._settings = settings or {}
        self._engine_options = list(engine_options)
        self._platform_options = list(platform_options)
        source = HERE / deployment
        self.conf = self.folder / "conf.d"
        self.conf.mkdir()
        texts = {path.name: path.read_text() for path in source.glob("conf.d/*.json")}
        for name, text in {**texts, **(files or {})}.items():
            (self.conf / name).write_text(self._remap(text))
        self.pools = self._read_pools(targets)
        self.instances = self._read_instances(source)

    def _remap(self, text):
        """Return the text with every port replaced by a free one."""
        for port in ADDRESS.findall(text):
            if port not in self._ports:
                self._ports[port] = str(free_ports(1)[0])
        return ADDRESS.sub(lambda m: f"127.0.0.1:{self._ports[m[1]]}", text)

    def _read_pools(self, targets):
        from hibiscusstep.configuration.folder import merge, read_folder

        pools = merge(read_folder(self.conf)).data["pools"]
        for path in self.conf.glob("3*.json"):
            text = path.read_text()
            for pool in pools.values():
                for name in list(pool["targets"])[targets:]:
                    text = re.sub(rf',?\s*"{name}": \{{[^}}]*\}}', "", text)
            path.write_text(text)
        return merge(read_folder(self.conf)).data["pools"]

    def _read_instances(self, source):
        instances = {}
        for folder in sorted((source / "instances").iterdir()):
            copy = self.folder / "instances" / folder.name
            copy.mkdir(parents=True)
            for path in folder.glob("*.json"):
                (copy / path.name).write_text(self._remap(path.read_text()))
            extra = {
                "history": str(self.history),
                "log_style": "json",
                **self._settings,
            }
            (copy / "90-extra.json").write_text(json.dumps(extra))
            from hibiscusstep.configuration.settings import load_settings

            instances[folder.name] = load_settings(copy)
        return instances

    @property
    def platform(self):
        """URL of the platform."""
        return next(iter(self.instances.values())).platform

    @property
    def callers(self):
        """URL for callers of each instance."""
        return {n: f"http://{s.caller_address}" for n, s in self.instances.items()}

    def target_url(self, name):
        """Return the URL of a target."""
        for pool in self.pools.values():
            if name in pool["targets"]:
                return f"http://{pool['targets'][name]['address']}"
        raise KeyError(name)

    def start(self):
        """Start all processes, apply the configuration and wait until all are ready."""
        self.start_platform()
        for pool in self.pools.values():
            for name, target in pool["targets"].items():
                self.start_target(name, pool["kind"], target)
        for name in self.instances:
            self.start_instance(name)
        self.client("apply", str(self.conf), "--timeout", "30")
        for name in self.instances:
            self.wait_ready(name)
        return self

    def start_platform(self):
        """Start the platform and register the instances with it."""
        address = self.platform.removeprefix("http://")
        options = [*self._platform_options, "--listen", address]
        self._spawn("platform", "hibiscusstep-standin", "platform", *options)
        records = [
            {"name": n, "data_centre": s.data_centre, "peer_address": s.peer_address}
            for n, s in self.instances.items()
        ]
        self._until(
            lambda: http("PUT", f"{self.platform}/control/instances", records)[0] == 204
        )

    def start_target(self, name, kind, target):
        """Start one target."""
        options = ["--name", name, "--listen", target["address"]]
        options += ["--history", str(self.history)]
        if kind == "engine":
            options += ["--prefill-rate", str(target.get("prefill_rate", 4000))]
            options += ["--decode-rate", str(target.get("decode_rate", 40))]
            options += self._engine_options
        self._spawn(name, "hibiscusstep-standin", kind, *options)

    def start_instance(self, name):
        """Start one instance."""
        folder = self.folder / "instances" / name
        self._spawn(name, "hibiscusstep-entry", str(folder))
        self._until(lambda: self._health(name, "/health") == 200)

    def wait_ready(self, name):
        """Wait until an instance reports that it is ready for callers."""
        self._until(lambda: self._health(name, "/ready") == 200)

    def control(self, target, **faults):
        """Set faults of a target, or of the platform."""
        base = self.platform if target == "platform" else self.target_url(target)
        return http("POST", f"{base}/control", faults)

    def counts(self, target):
        """Return the counts of a target, or of the platform."""
        base = self.platform if target == "platform" else self.target_url(target)
        return json.loads(http("GET", f"{base}/control")[1])

    def client(self, command, *arguments, check=True):
        """Run the operators' client and return its standard output."""
        settings = next(
            s
            for n, s in self.instances.items()
            if n not in self.processes or self.processes[n].poll() is None
        )
        environment = {
            **os.environ,
            "HIBISCUSSTEP_PLATFORM": self.platform,
            "HIBISCUSSTEP_ENTRY": settings.operator_address,
            "HIBISCUSSTEP_OPERATOR_KEY": OPERATOR_KEY,
        }
        done = subprocess.run(
            [BIN / "hibiscusstep", command, *arguments],
            env=environment,
            capture_output=True,
            text=True,
            timeout=90,
        )
        if check and done.returncode:
            raise RuntimeError(f"{command}: {done.stderr.strip()}")
        return done.stdout

    def signal(self, name, number):
        """Send a signal to one process."""
        self.processes[name].send_signal(number)

    def wait(self, name, timeout=30):
        """Wait until a process ends and return its exit code."""
        return self.processes[name].wait(timeout)

    def log(self, name):
        """Return the output of a process."""
        return (self.folder / f"{name}.log").read_text()

    def stop(self, keep=False):
        """Stop every process of this fleet, by its id."""
        running = [p for p in self.processes.values() if p.poll() is None]
        for process in running:
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for process in running:
            try:
                process.wait(5)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)

    def __enter__(self):
        """Start all processes."""
        try:
            return self.start()
        except BaseException:
            self.stop()
            raise

    def __exit__(self, *_exc):
        """Stop all processes."""
        self.stop()

    def _spawn(self, name, program, *arguments):
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [BIN / program, *arguments], stdout=log, stderr=log
            )

    def _health(self, name, path):
        address = self.instances[name].operator_address
        return http("GET", f"http://{address}{path}", timeout=1)[0]

    def _until(self, condition):
        end = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end:
            for name, process in self.processes.items():
                if process.poll() not in (None, 0, -signal.SIGKILL, -signal.SIGTERM):
                    raise RuntimeError(f"{name} ended:\n{self.log(name)[-2000:]}")
            try:
                if condition():
                    return
            except OSError:
                pass
            time.sleep(0.02)
        raise RuntimeError("not ready in time")
