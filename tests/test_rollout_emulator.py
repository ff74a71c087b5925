"""hibiscusstep.load.rollout_emulator: random scenarios on the real dispatcher."""

import pytest
from click.testing import CliRunner

from hibiscusstep.cmdline.load import main
from hibiscusstep.load.rollout_report import rollout_table_lines, run_rollout
from hibiscusstep.load.rollout_scenario import draw_scenario
from hibiscusstep.rollout.order import RolloutState


class TestRandomScenarios:
    # Good and bad versions, a lost dispatcher, crashes, grey and slow targets.
    SEEDS = (3, 6, 11, 24, 30, 35)

    @pytest.mark.parametrize("seed", SEEDS)
    def test_no_requirement_is_violated(self, seed):
        result = run_rollout(seed)
        assert result.findings(draw_scenario(seed).duration) == []

    # Regression: bad versions that were once completed; they are bad later, under load,
    # or on one route only.
    REGRESSION_SEEDS = (1, 19, 29, 37, 114, 178, 196)

    @pytest.mark.parametrize("seed", REGRESSION_SEEDS)
    def test_a_bad_version_is_rolled_back_in_time(self, seed):
        result = run_rollout(seed)
        assert result.state is RolloutState.ROLLED_BACK
        assert result.findings(draw_scenario(seed).duration) == []

    def test_runs_are_deterministic(self):
        assert run_rollout(3) == run_rollout(3)

    def test_the_command(self, tmp_path):
        plot = tmp_path / "parts.png"
        arguments = ["rollout", "--seeds", "3-4", "--plot", str(plot)]
        result = CliRunner().invoke(main, arguments)
        assert result.exit_code == 0, result.output
        assert plot.exists()
        assert "3 | good | completed" in result.output

    def test_totals(self):
        *_rows, totals = rollout_table_lines({3: run_rollout(3)})
        assert "good and completed in time: 1" in totals
