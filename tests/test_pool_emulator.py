"""hibiscusstep.load.pool_emulator: load patterns on the real dispatcher, no network.

Figures of the patterns are those of docs/design/deciding.md: targets of three speeds
(17, 32 and 85 ms an event), long prompts beside short ones, bursts beyond all slots.
"""

import pytest
from click.testing import CliRunner

from hibiscusstep.cmdline.load import main
from hibiscusstep.load.deployment import (
    Burst,
    DrawnDeployment,
    InstanceLoss,
    RequestKind,
    draw_deployment,
)
from hibiscusstep.load.experiment import run_experiment, table
from hibiscusstep.load.pool_emulator import PoolEmulator
from hibiscusstep.routing.switches import ALL_ENABLED, Switches

LONG = RequestKind(0, 16.0, 6600.0, 380.0, 1.2, 0.8, 15.0)
SHORT = RequestKind(1, 27.0, 630.0, 290.0, 1.0, 0.4, 12.0)
BURST = Burst(6.0, 11.0, 1.7)


def _unlike(kinds=(LONG, SHORT), bursts=(), restart=0.0):
    """Nine targets of three speeds."""
    return DrawnDeployment(
        (0.55, 0.55, 0.55, 1.0, 1.0, 1.0, 2.8, 2.8, 2.8), 10, 0.00382, 0.036,
        68_200.0, 2048, 6, 0.3, kinds, bursts, restart,
    )  # fmt: skip


def _mean(deployment, switches=ALL_ENABLED, seeds=(1, 2)):
    goodputs = [PoolEmulator(deployment, s, switches).run().goodput for s in seeds]
    return sum(goodputs) / len(goodputs)


class TestEmulator:
    def test_a_seed_gives_one_run(self):
        runs = [PoolEmulator(draw_deployment(2), 5).run() for _ in range(2)]
        assert runs[0].counts == runs[1].counts
        assert runs[0].earned == runs[1].earned
        other = PoolEmulator(draw_deployment(2), 6).run()
        assert other.counts != runs[0].counts

    def test_every_request_ends_once(self):
        outcomes = PoolEmulator(_unlike(bursts=(BURST,), restart=12.0), 1).run()
        assert sum(outcomes.counts.values()) == sum(outcomes.owed.values())

    def test_light_load_is_served_in_time(self):
        light = RequestKind(0, 4.0, 630.0, 100.0, 0.5, 0.8, 12.0)
        outcomes = PoolEmulator(_unlike((light,)), 1).run()
        assert outcomes.whole > 0.95

    def test_a_restart_loses_what_runs_and_serves_again(self):
        outcomes = PoolEmulator(_unlike(restart=12.0), 1).run()
        assert outcomes.counts["lost"] > 0
        after = [v for at, v in outcomes.earned.items() if at >= 16.0]
        owed = [v for at, v in outcomes.owed.items() if at >= 16.0]
        assert sum(after) > 0.6 * sum(owed)


class TestPatterns:
    """Each mechanism against the load that it answers; two seeds of callers."""

    def test_a_burst_beyond_all_slots_late_ones_last(self):
        """Who came back late takes no slot of one that can still be in time.

        Three seeds gave goodputs of 0.825 with it and 0.795 without.
        """
        burst = _unlike(bursts=(BURST,))
        off = Switches.disabling("late_last")
        assert _mean(burst) > _mean(burst, off) + 0.015

    def test_a_burst_with_engines_that_read_faster_than_the_first_guess(self):
        """Three seeds gave goodputs of 0.825 with what is learnt, 0.809 without."""
        burst = _unlike(bursts=(BURST,))
        off = Switches.disabling("engine_model")
        assert _mean(burst) > _mean(burst, off)


class TestExperiment:
    def test_compares_variants_on_the_same_runs(self):
        runs = run_experiment([1], [1], ["late_last"])
        assert runs[""].keys() == runs["late_last"].keys() == {"1.1"}
        header, _titles, row = table(runs)
        assert header.endswith("of 1 runs")
        assert row.startswith("late_last | ")

    def test_an_unknown_mechanism_is_an_error(self):
        with pytest.raises(ValueError, match="magic"):
            run_experiment([1], [1], ["magic"])

    def test_the_command(self, tmp_path):
        out = tmp_path / "runs.json"
        arguments = ["experiment", "--deployments", "1", "--off", "late_last"]
        result = CliRunner().invoke(main, [*arguments, "--out", str(out)])
        assert result.exit_code == 0, result.output
        assert out.exists()


class TestLowestRankInLongOverload:
    """Of a pool's lowest rank next to nothing was served while others were.

    A region of 68 instances reported it: of one kind of request a small share was
    served, of all a fair one. It came about on days on which the higher ranks ask for
    more than all slots for long. Nothing was lost or slow: strictly by rank, the last
    one gets what is left over, that is nothing, and its callers wait three seconds at
    the most. The same day played with and without processor time, and on the code
    before and after, gave the lowest rank 0.28 and 0.30, 0.17 and 0.16 of what it
    asked; this emulator, which knows neither network nor processor time, gives it
    0.03 to 0.12 of what it asked, and all ranks together 0.48 to 0.58.
    """

    KINDS = (
        RequestKind(0, 10.2, 6610.0, 384.0, 1.2, 1.2, 15.0),
        RequestKind(1, 18.2, 628.0, 290.0, 1.0, 1.0, 12.0),
        RequestKind(2, 15.6, 1800.0, 23.0, 1.0, 1.5, 3.0),
    )
    SEEDS = (1, 2, 3, 4)

    def _overload(self, factor):
        """Six targets of unlike speed, more asked than they can do all the while."""
        return DrawnDeployment(
            (0.8, 1.0, 1.0, 1.2, 2.0, 3.0), 8, 0.0026, 0.014, 48_200.0, 2048, 8, 0.5,
            self.KINDS, (Burst(0.0, 24.0, factor),), 0.0,
        )  # fmt: skip

    def _played(self, factor):
        return [PoolEmulator(self._overload(factor), s).run() for s in self.SEEDS]

    def test_it_is_served_a_quarter_as_often_as_all_at_least(self):
        shares = [(o.share_served(2), o.all_served) for o in self._played(1.4)]
        assert all(lowest >= all_ / 4 for lowest, all_ in shares), shares

    def test_the_highest_rank_is_served_all_the_same(self):
        assert min(o.share_served(0) for o in self._played(1.4)) > 0.97


class TestInstancesLostInABurst:
    """A fifth of all instances loses its power while all slots are taken.

    Their targets work on and end what they run; nobody tells it. In a region of 195
    instances of which 33 were lost, 108 of 436 slots were held for 4.5 s for requests
    that would never end, while hundreds were refused.
    """

    KINDS = (
        RequestKind(0, 17.0, 6610.0, 384.0, 1.2, 1.02, 12.3),
        RequestKind(1, 20.5, 628.0, 290.0, 1.0, 0.81, 10.1),
        RequestKind(2, 29.4, 1800.0, 23.0, 1.0, 1.2, 2.5),
    )
    LOSS = InstanceLoss(6.0, 0.2)

    def _share_after(self, switches, seed):
        """Return the share of the value owed that is earned while slots were held."""
        deployment = DrawnDeployment(
            (0.55,) * 4 + (1.0,) * 5 + (2.8,) * 3, 5, 0.0026, 0.014, 48_200.0, 1024, 8,
            0.3, self.KINDS, (Burst(2.0, 12.0, 1.3),), 0.0, self.LOSS,
        )  # fmt: skip
        outcomes = PoolEmulator(deployment, seed, switches).run()
        windows = [at for at in outcomes.owed if 6.0 <= at < 12.0]
        earned = sum(outcomes.earned[at] for at in windows)
        return earned / sum(outcomes.owed[at] for at in windows)

    def test_what_the_dead_hold_is_asked_for(self):
        """Four seeds gave 0.77 of what is owed with it, 0.67 without, 0.89 with no
        instance lost."""
        off = Switches.disabling("ask_overdue")
        gains = [
            self._share_after(ALL_ENABLED, seed) - self._share_after(off, seed)
            for seed in (1, 2, 3, 4)
        ]
        assert min(gains) > 0
        assert sum(gains) / len(gains) > 0.05


class TestRestartOfAll:
    """All instances restart; for some seconds each dispatches for itself.

    In a region of 195 instances and 78 targets 0.17 of what was asked in the first two
    seconds after it was answered in time, 0.62 in the next two, 0.71 and 0.88 in those
    after: each took the fastest targets, of which it saw only its own requests, and
    their queues were full long after one dispatcher decided for all again.
    """

    KINDS = (
        RequestKind(0, 54.5, 6610.0, 384.0, 1.2, 1.02, 12.3),
        RequestKind(1, 65.5, 628.0, 290.0, 1.0, 0.81, 10.1),
        RequestKind(2, 94.0, 1800.0, 23.0, 1.0, 1.2, 2.5),
    )

    def _share_after(self, switches):
        """Return the share of the value owed that is earned in the next six seconds."""
        deployment = DrawnDeployment(
            (0.55,) * 13 + (1.0,) * 13 + (2.8,) * 13, 5, 0.0026, 0.014, 48_200.0, 1024,
            8, 0.3, self.KINDS, (), 10.0, instances=98, alone=1.5,
        )  # fmt: skip
        outcomes = PoolEmulator(deployment, 1, switches).run()
        windows = [at for at in outcomes.owed if 10.0 <= at < 16.0]
        earned = sum(outcomes.earned[at] for at in windows)
        return earned / sum(outcomes.owed[at] for at in windows)

    def test_instances_that_are_alone_use_different_targets(self):
        """Two seeds gave 0.98 with it, 0.49 without."""
        assert self._share_after(ALL_ENABLED) > 0.95
        assert self._share_after(Switches.disabling("spread_alone")) < 0.6
