"""hibiscusstep.load.rollout_report: table of the results of emulated orders."""

from collections import Counter
from collections.abc import Iterator

from hibiscusstep.load.rollout_emulator import RolloutEmulator
from hibiscusstep.load.rollout_result import RolloutResult
from hibiscusstep.load.rollout_scenario import draw_scenario
from hibiscusstep.rollout.order import RolloutState

__all__ = ["rollout_table_lines", "run_rollout"]


def run_rollout(seed: int, test: str = "cusum") -> RolloutResult:
    """Return the result of the order in the scenario of a seed."""
    return RolloutEmulator(draw_scenario(seed), seed, test).run()


def rollout_table_lines(played: dict[int, RolloutResult]) -> Iterator[str]:
    """Yield a header, a row for each seed, and totals.

    Parameters
    ----------
    played : dict of int to RolloutResult
        Results by seed.
    """
    yield (
        "seed | version | ended | after s | exposed | allowed | bad answers | "
        "ms from the 50th bad answer to the last request | cut | findings | reason"
    )
    totals: Counter[str] = Counter()
    for seed, result in played.items():
        scenario = draw_scenario(seed)
        findings = result.findings(scenario.duration)
        yield " | ".join(
            str(cell)
            for cell in (
                seed,
                scenario.defect if result.bad else "good",
                result.state or "running",
                f"{result.concluded_after:.1f} of {scenario.duration:g}",
                result.exposed,
                round(result.allowed),
                result.bad_answers,
                round(result.late_ms),
                result.cut,
                ", ".join(findings) or "-",
                result.reason,
            )
        )
        totals["bad" if result.bad else "good"] += 1
        totals["requests cut by the completion"] += result.cut
        totals["requests"] += result.asked
        if result.bad and result.state is RolloutState.ROLLED_BACK:
            totals["bad and rolled back"] += 1
        if not result.bad and not findings:
            totals["good and completed in time"] += 1
        totals.update(findings)
    yield ", ".join(f"{name}: {count}" for name, count in totals.items())
