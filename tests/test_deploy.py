"""Tests that deploy/system.toml matches the program and pinned requirements."""

import tomllib
from pathlib import Path

from hibiscusstep.platform.settings import METRICS_PORT, PEER_KEY_VARIABLE

ROOT = Path(__file__).parent.parent


class TestDeployFile:
    ROLE = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]

    def test_metrics_port_matches_the_settings(self):
        assert self.ROLE["metrics"] == f"{METRICS_PORT}/metrics"

    def test_sets_a_long_enough_peer_key(self):
        assert len(self.ROLE["env"][PEER_KEY_VARIABLE]) >= 16

    def test_runtime_requirements_are_pinned_as_tested(self):
        tested = (ROOT / "requirements.txt").read_text().splitlines()
        running = (ROOT / "requirements-run.txt").read_text().splitlines()
        assert running
        assert set(running) <= set(tested)
