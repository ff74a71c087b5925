"""The deploy file agrees with the program and the pinned requirements."""

import tomllib
from pathlib import Path

from hibiscusstep.platform.settings import METRICS_PORT, PEER_KEY_VARIABLE

ROOT = Path(__file__).parent.parent


class TestDeployFile:
    ROLE = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]

    def test_the_metrics_are_where_it_says(self):
        assert self.ROLE["metrics"] == f"{METRICS_PORT}/metrics"

    def test_the_peers_have_a_key(self):
        assert len(self.ROLE["env"][PEER_KEY_VARIABLE]) >= 16

    def test_what_runs_is_pinned_as_what_is_tested(self):
        tested = (ROOT / "requirements.txt").read_text().splitlines()
        running = (ROOT / "requirements-run.txt").read_text().splitlines()
        assert running
        assert set(running) <= set(tested)
