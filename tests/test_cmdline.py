import gc
import os
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

from hibiscusstep import __version__
from hibiscusstep.cmdline import client, entry, load, standin
from hibiscusstep.cmdline.entry import _serve

EXAMPLES = Path(__file__).parent.parent / "examples"
PROGRAMS = {
    "hibiscusstep": client.main,
    "hibiscusstep-entry": entry.main,
    "hibiscusstep-load": load.main,
    "hibiscusstep-standin": standin.main,
}


def call(program, *arguments):
    return CliRunner().invoke(PROGRAMS[program], [str(a) for a in arguments])


class TestPrograms:
    @pytest.mark.parametrize("program", PROGRAMS)
    def test_help_has_examples_and_exit_codes(self, program):
        text = call(program, "--help").output
        assert "Examples:" in text and "Exit codes:" in text

    @pytest.mark.parametrize("program", PROGRAMS)
    def test_version(self, program):
        assert __version__ in call(program, "--version").output


class TestSignalDuringStart:
    """SIGHUP during the start must not end the process.

    A soak (seed 236) sent SIGHUP 0.8 s after the start, and the process ended.
    """

    PROGRAM = """
import os, signal, sys
from hibiscusstep import listening
from hibiscusstep.cmdline import entry

def listen(address):
    os.kill(os.getpid(), signal.SIGHUP)
    sys.exit(7 if entry._early_reloads else 8)

listening.listen = listen
entry.main([sys.argv[1], "--dialect", "platform"])
"""

    def test_reload_signal_is_recorded(self, tmp_path):
        settings = tmp_path / "local.json"
        settings.write_text(
            '{"NodeName": "n", "Zone": "z", "Ip": "127.0.0.1", "InternalPorts": [1, 2],'
            ' "Listen": {"Front": "127.0.0.1:1", "Ready": "127.0.0.1:2"},'
            ' "Bounds": {}, "Platform": {"Address": "127.0.0.1:3"}}'
        )
        done = subprocess.run(
            [sys.executable, "-c", self.PROGRAM, str(settings)],
            env={**os.environ, "HIBISCUSSTEP_PEER_KEY": "a-key-for-tests-only"},
            timeout=60,
        )
        assert done.returncode == 7


class TestErrors:
    def test_an_invalid_folder_prints_one_line_and_exits_with_3(self, tmp_path):
        (tmp_path / "10.json").write_text('{"tiers": {"a": {"rank": -1}}}')
        done = call("hibiscusstep", "check", tmp_path)
        assert done.exit_code == 3
        assert done.output.startswith("error: 10.json: tiers.a.rank: ")
        assert done.output.count("\n") == 1

    def test_invalid_settings_print_one_line_and_exit_with_3(self, tmp_path):
        (tmp_path / "10.json").write_text('{"name": "x", "colour": "red"}')
        done = call("hibiscusstep-entry", "--check", tmp_path)
        assert done.exit_code == 3 and done.output.count("\n") == 1

    def test_an_unreachable_platform_prints_one_line_and_exits_with_1(self):
        done = call(
            "hibiscusstep",
            "diff",
            EXAMPLES / "hanul" / "conf.d",
            "--platform",
            "http://127.0.0.1:9",
        )
        assert done.exit_code == 1 and done.output.count("\n") == 1
        assert "platform" in done.output

    def test_a_broken_promise_exits_with_5(self, tmp_path):
        (tmp_path / "a.events").write_text(
            '{"kind": "received", "at": 1.0, "instance": "i", "request": "r"}\n'
        )
        done = call("hibiscusstep-load", "check", tmp_path)
        assert done.exit_code == 5 and "answered once" in done.output


class TestCheck:
    def test_lists_values_that_later_files_replace(self, tmp_path):
        (tmp_path / "10.json").write_text('{"tiers": {"a": {"rank": 1}}}')
        (tmp_path / "90.json").write_text('{"tiers": {"a": {"rank": 2}}} // later')
        done = call("hibiscusstep", "check", tmp_path)
        assert "90.json replaces tiers.a.rank of 10.json" in done.output

    def test_hash_key(self):
        done = CliRunner().invoke(client.main, ["hash-key"], input="secret\n")
        assert len(done.output.strip()) == 64


class TestStart:
    async def test_garbage_collection_is_on_once_the_instance_runs(self):
        class Instance:
            collects = None

            async def run(self):
                self.collects = gc.isenabled()

        instance = Instance()
        gc.disable()
        try:
            await _serve(lambda: instance)
        finally:
            gc.enable()
            gc.unfreeze()
        assert instance.collects
