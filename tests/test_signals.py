"""Signals that arrive while an instance's event loop does not handle them."""

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
START_MESSAGE = '"message": "start"'
# The first import after the early signal handlers are installed, and two later ones.
FIRST_IMPORT, SETTINGS_IMPORT, LISTENING_IMPORT = (
    "click",
    "hibiscusstep.platform.settings",
    "hibiscusstep.forwarding.instance",
)


@pytest.fixture
def settings(tmp_path):
    """Settings in the platform's dialect of an instance whose store is unreachable."""
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
    """Settings in the own dialect of an instance whose store is unreachable."""
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


class InstanceProcess:
    """An instance process whose output is read line by line."""

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
        """Read lines until one contains a text; return whether one did."""
        for line in self.process.stdout:
            self.lines.append(line)
            if text in line:
                return True
        return False

    def signal_until_end(self, number):
        """Send a signal repeatedly until the process ends; return the exit code."""
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
    """SIGHUP or SIGTERM killed an instance that was still importing its modules."""

    @pytest.mark.parametrize(
        "module", [FIRST_IMPORT, SETTINGS_IMPORT, LISTENING_IMPORT]
    )
    def test_reload_is_handled_once_it_runs(self, settings, module):
        command = ["-c", PROGRAM, module, signal.SIGHUP.value, settings]
        with InstanceProcess(*command, "--dialect", "platform") as instance:
            assert instance.read_until('"message": "reload"'), instance.lines
            instance.process.terminate()
            assert instance.process.wait() == 0

    @pytest.mark.parametrize("module", [FIRST_IMPORT, SETTINGS_IMPORT])
    def test_stop_before_it_listens_ends_it_at_once(self, settings, module):
        command = ["-c", PROGRAM, module, signal.SIGTERM.value, settings]
        with InstanceProcess(*command, "--dialect", "platform") as instance:
            assert not instance.read_until(START_MESSAGE)
            assert instance.process.wait() == 0

    def test_stop_while_it_listens_drains_it(self, settings):
        command = ["-c", PROGRAM, LISTENING_IMPORT, signal.SIGTERM.value, settings]
        with InstanceProcess(*command, "--dialect", "platform") as instance:
            assert instance.read_until('"message": "stop"'), instance.lines
            assert instance.process.wait() == 0

    def test_reload_does_not_end_one_with_own_settings(self, own_settings):
        command = ["-c", PROGRAM, FIRST_IMPORT, signal.SIGHUP.value, own_settings]
        with InstanceProcess(*command) as instance:
            assert instance.read_until("settings not reloaded"), instance.lines
            instance.process.terminate()
            assert instance.process.wait() == 0


@pytest.mark.timeout(30)
class TestSignalDuringShutdown:
    """SIGHUP killed an instance after its drain, so that it seemed to have crashed."""

    @pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM, signal.SIGINT])
    def test_exit_code_is_unaffected(self, settings, number):
        command = ["-m", "hibiscusstep.cmdline.entry", "--dialect", "platform"]
        with InstanceProcess(*command, settings) as instance:
            assert instance.read_until(START_MESSAGE), instance.lines
            instance.process.terminate()
            assert instance.signal_until_end(number) == 0

    def test_exit_code_is_unaffected_with_own_settings(self, own_settings):
        command = ["-m", "hibiscusstep.cmdline.entry", own_settings]
        with InstanceProcess(*command) as instance:
            assert instance.read_until("members changed"), instance.lines
            instance.process.terminate()
            assert instance.signal_until_end(signal.SIGHUP) == 0
