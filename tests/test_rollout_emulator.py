"""hibiscusstep.load.rollout_emulator: drawn orders on the product's dispatcher."""

import pytest
from click.testing import CliRunner

from hibiscusstep.cmdline.load import main
from hibiscusstep.load.drawn_rollout import draw_rollout
from hibiscusstep.load.rollout_report import play_rollout, rollout_table
from hibiscusstep.rollout.order import RolloutState


class TestDrawnOrders:
    # Good and bad versions, a dispatcher that is lost, crashes, grey and slow targets.
    SEEDS = (3, 6, 11, 24, 30, 35)

    @pytest.mark.parametrize("seed", SEEDS)
    def test_end_as_they_should(self, seed):
        result = play_rollout(seed)
        assert result.findings(draw_rollout(seed).duration) == []

    # Bad versions that were completed: bad later, under load, or on one route only.
    COMPLETED_ONCE = (1, 19, 29, 37, 114, 178, 196)

    @pytest.mark.parametrize("seed", COMPLETED_ONCE)
    def test_a_bad_version_is_rolled_back_in_time(self, seed):
        result = play_rollout(seed)
        assert result.state is RolloutState.ROLLED_BACK
        assert result.findings(draw_rollout(seed).duration) == []

    def test_a_seed_gives_one_run(self):
        assert play_rollout(3) == play_rollout(3)

    def test_the_command(self, tmp_path):
        plot = tmp_path / "parts.png"
        arguments = ["rollout", "--seeds", "3-4", "--plot", str(plot)]
        result = CliRunner().invoke(main, arguments)
        assert result.exit_code == 0, result.output
        assert plot.exists()
        assert "3 | good | completed" in result.output

    def test_totals(self):
        *_rows, totals = rollout_table({3: play_rollout(3)})
        assert "good and completed in time: 1" in totals
