"""Signals to an instance at moments at which its event loop does not follow them."""

import json
import os
import signal
import subprocess
import sys
import threading
import time

import pytest
from fleet import free_ports

# Sends a signal to its own process when a module is about to be imported.
PROGRAM = """
import os, runpy, sys
module, number = sys.argv[1], int(sys.argv[2])

class Signals:
    def find_spec(self, name, path=None, target=None):
        if name == module:
            sys.meta_path.remove(self)
            os.kill(os.getpid(), number)

sys.meta_path.insert(0, Signals())
sys.argv[1:] = sys.argv[3:]
runpy.run_module("hibiscusstep.cmdline.entry", run_name="__main__", alter_sys=True)
"""
GRACE_S = 1
START = '"message": "start"'
# The first import after the signals are held, and two later ones.
FIRST, SETTINGS, LISTENING = (
    "click",
    "hibiscusstep.platform.settings",
    "hibiscusstep.forwarding.instance",
)


@pytest.fixture
def settings(tmp_path):
    """Settings of an instance in the platform's dialect, whose store is away."""
    front, ready, peer, store = free_ports(4)
    path = tmp_path / "local.json"
    path.write_text(
        json.dumps(
            {
                "NodeName": "n",
                "Zone": "z",
                "Ip": "127.0.0.1",
                "InternalPorts": [peer, peer],
                "Listen": {
                    "Front": f"127.0.0.1:{front}",
                    "Ready": f"127.0.0.1:{ready}",
                },
                "Bounds": {"GraceS": GRACE_S},
                "Platform": {"Address": f"127.0.0.1:{store}"},
            }
        )
    )
    return path


@pytest.fixture
def own_settings(tmp_path):
    """Settings of our own of an instance whose store is away."""
    caller, operator, peer, store = free_ports(4)
    folder = tmp_path / "settings"
    folder.mkdir()
    (folder / "instance.json").write_text(
        json.dumps(
            {
                "name": "n",
                "data_centre": "z",
                "caller_address": f"127.0.0.1:{caller}",
                "operator_address": f"127.0.0.1:{operator}",
                "peer_address": f"127.0.0.1:{peer}",
                "peer_key": "a-key-for-tests-only",
                "operator_key": "a-key-for-tests-only",
                "platform": f"http://127.0.0.1:{store}",
            }
        )
    )
    return folder


class Started:
    """An instance whose output is read line by line."""

    def __init__(self, *command):
        self.process = subprocess.Popen(
            [sys.executable, *map(str, command)],
            env={**os.environ, "HIBISCUSSTEP_PEER_KEY": "a-key-for-tests-only"},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        self.lines = []

    def read_until(self, text):
        """Read lines until one has a text; whether one had it."""
        for line in self.process.stdout:
            self.lines.append(line)
            if text in line:
                return True
        return False

    def signal_until_end(self, number):
        """Send a signal again and again; return the exit code."""
        reader = threading.Thread(target=self.lines.extend, args=[self.process.stdout])
        reader.start()
        while self.process.poll() is None:
            self.process.send_signal(number)
            time.sleep(0.002)
        reader.join()
        return self.process.returncode

    def __enter__(self):
        return self

    def __exit__(self, *_exc):
        self.process.kill()
        self.process.wait()
        self.process.stdout.close()


@pytest.mark.timeout(30)
class TestSignalDuringStart:
    """SIGHUP or SIGTERM ended an instance that was still loading its libraries."""

    @pytest.mark.parametrize("module", [FIRST, SETTINGS, LISTENING])
    def test_to_reload_is_obeyed_once_it_runs(self, settings, module):
        command = ["-c", PROGRAM, module, signal.SIGHUP.value, settings]
        with Started(*command, "--dialect", "platform") as started:
            assert started.read_until('"message": "reload"'), started.lines
            started.process.terminate()
            assert started.process.wait() == 0

    @pytest.mark.parametrize("module", [FIRST, SETTINGS])
    def test_to_stop_before_it_listens_ends_it_at_once(self, settings, module):
        command = ["-c", PROGRAM, module, signal.SIGTERM.value, settings]
        with Started(*command, "--dialect", "platform") as started:
            assert not started.read_until(START)
            assert started.process.wait() == 0

    def test_to_stop_once_it_listens_ends_it_after_its_callers_were_told(
        self, settings
    ):
        command = ["-c", PROGRAM, LISTENING, signal.SIGTERM.value, settings]
        with Started(*command, "--dialect", "platform") as started:
            assert started.read_until('"message": "stop"'), started.lines
            assert started.process.wait() == 0

    def test_to_reload_does_not_end_one_with_settings_of_its_own(self, own_settings):
        command = ["-c", PROGRAM, FIRST, signal.SIGHUP.value, own_settings]
        with Started(*command) as started:
            assert started.read_until("settings not reloaded"), started.lines
            started.process.terminate()
            assert started.process.wait() == 0


@pytest.mark.timeout(30)
class TestSignalDuringEnd:
    """SIGHUP ended an instance after its drain: a whole end looked like a crash."""

    @pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM, signal.SIGINT])
    def test_it_exits_as_without(self, settings, number):
        command = ["-m", "hibiscusstep.cmdline.entry", "--dialect", "platform"]
        with Started(*command, settings) as started:
            assert started.read_until(START), started.lines
            started.process.terminate()
            assert started.signal_until_end(number) == 0

    def test_nor_one_with_settings_of_its_own(self, own_settings):
        command = ["-m", "hibiscusstep.cmdline.entry", own_settings]
        with Started(*command) as started:
            assert started.read_until("members changed"), started.lines
            started.process.terminate()
            assert started.signal_until_end(signal.SIGHUP) == 0
