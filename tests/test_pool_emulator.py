"""Tests of hibiscusstep.load.pool_emulator: load patterns on the real dispatcher.

The patterns have the figures of docs/design/deciding.md: targets of three speeds (17,
32 and 85 ms per event), long and short prompts, bursts that exceed all slots.
"""

from dataclasses import replace

import pytest
from click.testing import CliRunner

from hibiscusstep.cmdline.load import main
from hibiscusstep.load.drawn_deployment import (
    RUN_LENGTH_S,
    Burst,
    CustomerFlood,
    DrawnDeployment,
    InstanceLoss,
    RequestKind,
    TargetLimit,
    draw_deployment,
)
from hibiscusstep.load.experiment import gain_table, run_experiment
from hibiscusstep.load.pool_emulator import PoolEmulator
from hibiscusstep.routing.switches import ALL_ENABLED, Switches

LONG = RequestKind(0, 16.0, 6600.0, 380.0, 1.2, 0.8, 15.0)
SHORT = RequestKind(1, 27.0, 630.0, 290.0, 1.0, 0.4, 12.0)
BURST = Burst(6.0, 11.0, 1.7)


def _mixed_speeds(kinds=(LONG, SHORT), bursts=(), restart=0.0):
    """Return a deployment of nine targets of three speeds."""
    return DrawnDeployment(
        (0.55, 0.55, 0.55, 1.0, 1.0, 1.0, 2.8, 2.8, 2.8), 10, 0.00382, 0.036,
        68_200.0, 2048, 6, 0.3, kinds, bursts, restart,
    )  # fmt: skip


def _mean(deployment, switches=ALL_ENABLED, seeds=(1, 2)):
    goodputs = [PoolEmulator(deployment, s, switches).run().goodput for s in seeds]
    return sum(goodputs) / len(goodputs)


class TestEmulator:
    def test_a_run_is_deterministic_for_a_seed(self):
        runs = [PoolEmulator(draw_deployment(2), 5).run() for _ in range(2)]
        assert runs[0].counts == runs[1].counts
        assert runs[0].achieved_value == runs[1].achieved_value
        other = PoolEmulator(draw_deployment(2), 6).run()
        assert other.counts != runs[0].counts

    def test_every_request_ends_once(self):
        outcomes = PoolEmulator(_mixed_speeds(bursts=(BURST,), restart=12.0), 1).run()
        assert sum(outcomes.counts.values()) == sum(outcomes.possible_value.values())

    def test_light_load_is_served_in_time(self):
        light = RequestKind(0, 4.0, 630.0, 100.0, 0.5, 0.8, 12.0)
        outcomes = PoolEmulator(_mixed_speeds((light,)), 1).run()
        assert outcomes.overall_share > 0.95

    def test_a_restart_loses_open_requests_and_recovers(self):
        outcomes = PoolEmulator(_mixed_speeds(restart=12.0), 1).run()
        assert outcomes.counts["lost"] > 0
        after = [v for at, v in outcomes.achieved_value.items() if at >= 16.0]
        possible = [v for at, v in outcomes.possible_value.items() if at >= 16.0]
        assert sum(after) > 0.6 * sum(possible)


class TestPatterns:
    """Each mechanism under the load that it is made for, with two caller seeds."""

    def test_late_requests_are_served_last_in_a_burst(self):
        """Late requests take no slots from requests that can still be in time.

        Three seeds gave goodputs of 0.825 with `late_last` and 0.795 without.
        """
        burst = _mixed_speeds(bursts=(BURST,))
        off = Switches.disabling("late_last")
        assert _mean(burst) > _mean(burst, off) + 0.015

    def test_engine_model_learns_a_higher_prefill_rate_in_a_burst(self):
        """Three seeds gave goodputs of 0.825 with the model and 0.809 without."""
        burst = _mixed_speeds(bursts=(BURST,))
        off = Switches.disabling("engine_model")
        assert _mean(burst) > _mean(burst, off)


class TestLimitedTargets:
    """Some of the targets name a limit of requests per second for a part of the run."""

    NOTICE_S, WINDOW_S = 3.0, 4.0
    START_S, END_S = 4.0, 20.0

    def _run(self, limit, targets=(0, 3, 6), **options):
        limits = [TargetLimit(n, self.START_S, self.END_S, limit) for n in targets]
        deployment = _mixed_speeds(bursts=(BURST,), **options)
        deployment = replace(deployment, limits=tuple(limits))
        return PoolEmulator(deployment, 1).run()

    def _fullest_window(self, arrivals):
        """Return the most arrivals in a window while the limit is named."""
        first = next(at for at in arrivals if at >= self.START_S)
        counted = [a for a in arrivals if first + self.NOTICE_S <= a < self.END_S]
        return max(
            (sum(at <= a < at + self.WINDOW_S for a in counted) for at in counted),
            default=0,
        )

    @pytest.mark.parametrize("limit", [0.0, 0.7, 1.2, 5.0])
    @pytest.mark.parametrize("restart", [0.0, 12.0])
    def test_receive_no_more_than_they_allow(self, limit, restart):
        outcomes = self._run(limit, restart=restart)
        for name in ("t0", "t3", "t6"):
            most = self._fullest_window(outcomes.arrivals[name])
            assert most <= 1.5 * limit * self.WINDOW_S + 5

    def test_are_used_fully_again_after_the_end(self):
        outcomes = self._run(0.7)
        before = sum(at < self.START_S for at in outcomes.arrivals["t0"])
        after = sum(at >= RUN_LENGTH_S - 2.0 for at in outcomes.arrivals["t0"])
        assert after > before / 4

    def test_serve_what_their_limit_allows(self):
        """A pool in need of them uses nearly all of the limit."""
        outcomes = self._run(2.0, targets=range(9))
        arrived = sum(
            self.START_S + 1.0 <= at < self.END_S
            for times in outcomes.arrivals.values()
            for at in times
        )
        assert arrived >= 0.9 * 9 * 2.0 * (self.END_S - self.START_S - 1.0)

    def test_are_worth_more_than_none(self):
        served = [self._run(limit).all_served for limit in (0.0, 1.2, 5.0)]
        assert served == sorted(served)
        assert served[-1] > served[0]


class TestExperiment:
    def test_compares_variants_on_the_same_runs(self):
        runs = run_experiment([1], [1], ["late_last"])
        assert runs[""].keys() == runs["late_last"].keys() == {"1.1"}
        header, _titles, row = gain_table(runs)
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
    """A pool's lowest rank must not starve in a long overload.

    In a region of 68 instances almost no requests of the lowest rank were served while
    the share over all ranks was fair. It happens when the higher ranks demand more than
    all slots for a long time: in strict rank order the lowest rank gets only what is
    left, and its callers wait three seconds at most. The same day replayed with and
    without processor time, and on the code before and after, served 0.28 and 0.30,
    0.17 and 0.16 of the lowest rank's requests. This emulator, which models neither
    network nor processor time, serves 0.03 to 0.12 of them, and 0.48 to 0.58 of all.
    """

    KINDS = (
        RequestKind(0, 10.2, 6610.0, 384.0, 1.2, 1.2, 15.0),
        RequestKind(1, 18.2, 628.0, 290.0, 1.0, 1.0, 12.0),
        RequestKind(2, 15.6, 1800.0, 23.0, 1.0, 1.5, 3.0),
    )
    SEEDS = (1, 2, 3, 4)

    def _overload(self, factor):
        """Return six targets of different speeds with a constant overload."""
        return DrawnDeployment(
            (0.8, 1.0, 1.0, 1.2, 2.0, 3.0), 8, 0.0026, 0.014, 48_200.0, 2048, 8, 0.5,
            self.KINDS, (Burst(0.0, 24.0, factor),), 0.0,
        )  # fmt: skip

    def _runs(self, factor):
        return [PoolEmulator(self._overload(factor), s).run() for s in self.SEEDS]

    def test_its_share_served_is_at_least_a_quarter_of_the_overall_share(self):
        shares = [(o.share_served(2), o.all_served) for o in self._runs(1.4)]
        assert all(lowest >= all_ / 4 for lowest, all_ in shares), shares

    def test_the_highest_rank_is_still_served(self):
        assert min(o.share_served(0) for o in self._runs(1.4)) > 0.97


class TestInstancesLostInABurst:
    """A fifth of all instances loses power while all slots are taken.

    Their targets finish what they run, but no instance reports it. In a region of 195
    instances of which 33 were lost, 108 of 436 slots stayed reserved for 4.5 s for
    requests that would never end, while hundreds of others were refused.
    """

    KINDS = (
        RequestKind(0, 17.0, 6610.0, 384.0, 1.2, 1.02, 12.3),
        RequestKind(1, 20.5, 628.0, 290.0, 1.0, 0.81, 10.1),
        RequestKind(2, 29.4, 1800.0, 23.0, 1.0, 1.2, 2.5),
    )
    LOSS = InstanceLoss(6.0, 0.2)

    def _share_after(self, switches, seed):
        """Return the achieved share of the possible value while slots are reserved."""
        deployment = DrawnDeployment(
            (0.55,) * 4 + (1.0,) * 5 + (2.8,) * 3, 5, 0.0026, 0.014, 48_200.0, 1024, 8,
            0.3, self.KINDS, (Burst(2.0, 12.0, 1.3),), 0.0, self.LOSS,
        )  # fmt: skip
        outcomes = PoolEmulator(deployment, seed, switches).run()
        windows = [at for at in outcomes.possible_value if 6.0 <= at < 12.0]
        achieved = sum(outcomes.achieved_value[at] for at in windows)
        return achieved / sum(outcomes.possible_value[at] for at in windows)

    def test_overdue_slots_of_lost_instances_are_queried(self):
        """Four seeds gave 0.77 of the possible value with `ask_overdue`, 0.67 without,
        and 0.89 with no instance lost."""
        off = Switches.disabling("ask_overdue")
        gains = [
            self._share_after(ALL_ENABLED, seed) - self._share_after(off, seed)
            for seed in (1, 2, 3, 4)
        ]
        assert min(gains) > 0
        assert sum(gains) / len(gains) > 0.05


class TestRestartOfAll:
    """All instances restart and use their standby dispatchers for some seconds.

    In a region of 195 instances and 78 targets, 0.17 of the requests of the first two
    seconds after the restart were answered in time, 0.62 in the next two, then 0.71
    and 0.88. Each instance chose the fastest targets because it saw only its own
    requests there, and their queues stayed full long after the pool's dispatcher was
    back.
    """

    KINDS = (
        RequestKind(0, 54.5, 6610.0, 384.0, 1.2, 1.02, 12.3),
        RequestKind(1, 65.5, 628.0, 290.0, 1.0, 0.81, 10.1),
        RequestKind(2, 94.0, 1800.0, 23.0, 1.0, 1.2, 2.5),
    )

    def _share_after(self, switches):
        """Return the achieved share of the possible value in the next six seconds."""
        deployment = DrawnDeployment(
            (0.55,) * 13 + (1.0,) * 13 + (2.8,) * 13, 5, 0.0026, 0.014, 48_200.0, 1024,
            8, 0.3, self.KINDS, (), 10.0, instances=98, standby_seconds=1.5,
        )  # fmt: skip
        outcomes = PoolEmulator(deployment, 1, switches).run()
        windows = [at for at in outcomes.possible_value if 10.0 <= at < 16.0]
        achieved = sum(outcomes.achieved_value[at] for at in windows)
        return achieved / sum(outcomes.possible_value[at] for at in windows)

    def test_instances_that_dispatch_locally_use_different_targets(self):
        """Two seeds gave 0.98 with `spread_alone` and 0.49 without."""
        assert self._share_after(ALL_ENABLED) > 0.95
        assert self._share_after(Switches.disabling("spread_alone")) < 0.6


class TestCustomers:
    """One of the customers sends far more than usual for some seconds."""

    @pytest.mark.parametrize("seed", range(20))
    def test_do_not_change_what_a_seed_draws(self, seed):
        """Measurements of earlier builds must stay comparable."""
        alone, drawn = draw_deployment(seed), draw_deployment(seed, 16)
        assert len(drawn.customers) == 16
        assert drawn.flood is not None
        assert replace(drawn, customers=(1.0,), flood=None) == alone

    def test_flood_raises_the_rate_of_its_customer(self):
        flood = CustomerFlood(1, 4.0, 10.0, 5.0)
        deployment = replace(_mixed_speeds(), customers=(0.5, 0.5), flood=flood)
        assert deployment.rate(LONG, 3.9) == LONG.rate
        assert deployment.rate(LONG, 4.0) == pytest.approx(3.0 * LONG.rate)
        assert deployment.customer_rates(4.0) == [0.5, 2.5]
        assert deployment.customer_rates(10.0) == [0.5, 0.5]

    def test_the_others_are_served_in_a_flood(self):
        """Without fair shares the others' requests are refused as often."""
        flood = CustomerFlood(0, 4.0, 15.0, 7.5)
        customers = (0.25, *[0.05] * 15)
        deployment = replace(_mixed_speeds(), customers=customers, flood=flood)
        served = {}
        for off in ("", "fair_shares"):
            runs = [
                PoolEmulator(deployment, seed, Switches.disabling(off)).run()
                for seed in (1, 2)
            ]
            asked = sum(sum(run.asked_by_customer.values()) for run in runs)
            assert asked == sum(sum(run.asked.values()) for run in runs)
            others = [f"c{n}" for n in range(1, 16)]
            served[off] = sum(
                run.served_by_customer[name] for run in runs for name in others
            ) / sum(run.asked_by_customer[name] for run in runs for name in others)
        assert served[""] > served["fair_shares"] + 0.05
