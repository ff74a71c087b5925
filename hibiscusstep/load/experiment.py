"""hibiscusstep.load.experiment: measures the gain of mechanisms in emulated pools."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import fields, replace

import numpy as np

from hibiscusstep.load.drawn_deployment import draw_deployment
from hibiscusstep.load.pool_emulator import PoolEmulator
from hibiscusstep.routing.switches import ALL_ENABLED, Switches

__all__ = ["ALL_OFF", "gain_table", "run_experiment"]

MECHANISMS = tuple(field.name for field in fields(Switches))
ALL_OFF = ",".join(MECHANISMS)
# Half-width of a 95 % confidence interval, in standard errors.
HALF_WIDTH_ERRORS = 1.96


def run_experiment(
    deployments: Iterable[int],
    seeds: Sequence[int],
    variants: Sequence[str] = (),
    customers: int = 1,
    *,
    plans_returns: bool = False,
    at_once_share: float = 0.0,
    due_from_return: bool = False,
    host_changes: bool = False,
) -> dict[str, dict[str, float]]:
    """Return the goodput of each run, by variant and by deployment and seed.

    Parameters
    ----------
    deployments : iterable of int
        Seeds of the deployments.
    seeds : sequence of int
        Seeds of the callers.
    variants : sequence of str
        Mechanisms disabled in each variant, separated by commas. Empty for one variant
        per mechanism and one with all of them disabled.
    customers : int
        Number of customers, of which one floods the pool; 1 for no flood.
    plans_returns : bool
        Whether the pools' plans call for planned returns.
    at_once_share : float
        Share of the callers that retry at once instead of waiting as told.
    due_from_return : bool
        Whether an answer to a returned caller is in time by its last attempt.
    host_changes : bool
        Whether the pace of the targets' hosts changes.

    Raises
    ------
    ValueError
        If a mechanism is unknown.
    """
    chosen = {"": ALL_ENABLED}
    chosen |= {
        off: Switches.disabling(off) for off in variants or (*MECHANISMS, ALL_OFF)
    }
    runs: dict[str, dict[str, float]] = {off: {} for off in chosen}
    for number in deployments:
        deployment = replace(
            draw_deployment(number, customers, host_changes=host_changes),
            plans_returns=plans_returns,
            at_once_share=at_once_share,
            due_from_return=due_from_return,
        )
        for seed in seeds:
            for off, switches in chosen.items():
                outcomes = PoolEmulator(deployment, seed, switches).run()
                runs[off][f"{number}.{seed}"] = outcomes.goodput
    return runs


def gain_table(runs: dict[str, dict[str, float]]) -> Iterator[str]:
    """Yield a row per variant with the goodput gain of its mechanisms.

    A gain is the goodput with all mechanisms enabled minus that of the variant. A row
    has the mean, the half-width of its 95 % confidence interval, minimum and maximum.
    """
    all_on = runs[""]
    yield f"all on: goodput {np.mean(list(all_on.values())):.3f} of {len(all_on)} runs"
    yield "off | worth | +- | least | most"
    for off, results in runs.items():
        if not off:
            continue
        gains = np.array([all_on[key] - results[key] for key in all_on])
        error = gains.std(ddof=1) / np.sqrt(len(gains)) if len(gains) > 1 else 0.0
        name = "all" if off == ALL_OFF else off
        figures = (gains.mean(), HALF_WIDTH_ERRORS * error, gains.min(), gains.max())
        yield f"{name} | " + " | ".join(f"{figure:.3f}" for figure in figures)
