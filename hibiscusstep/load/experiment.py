"""hibiscusstep.load.experiment: what mechanisms are worth on drawn deployments."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import fields

import numpy as np

from hibiscusstep.load.deployment import draw_deployment
from hibiscusstep.load.pool_emulator import PoolEmulator
from hibiscusstep.routing.switches import ALL_ENABLED, Switches

__all__ = ["ALL_OFF", "run_experiment", "table"]

MECHANISMS = tuple(field.name for field in fields(Switches))
ALL_OFF = ",".join(MECHANISMS)
# Half of a 95 % interval, in standard errors.
INTERVAL = 1.96


def run_experiment(
    deployments: Iterable[int], seeds: Sequence[int], variants: Sequence[str] = ()
) -> dict[str, dict[str, float]]:
    """Return the goodput of each run, by variant and by deployment and seed.

    Parameters
    ----------
    deployments : iterable of int
        Numbers of drawn deployments.
    seeds : sequence of int
        Of the callers.
    variants : sequence of str
        Mechanisms, by comma, that are off in one variant; empty for each by itself and
        all together.

    Raises
    ------
    ValueError
        If a mechanism is not known.
    """
    chosen = {"": ALL_ENABLED}
    chosen |= {
        off: Switches.disabling(off) for off in variants or (*MECHANISMS, ALL_OFF)
    }
    runs: dict[str, dict[str, float]] = {off: {} for off in chosen}
    for number in deployments:
        deployment = draw_deployment(number)
        for seed in seeds:
            for off, switches in chosen.items():
                outcomes = PoolEmulator(deployment, seed, switches).run()
                runs[off][f"{number}.{seed}"] = outcomes.goodput
    return runs


def table(runs: dict[str, dict[str, float]]) -> Iterator[str]:
    """Yield a row a variant: what its mechanisms are worth, in goodput.

    The mean over deployments of the run with all on less that without, half of its
    95 % interval, the least and the most.
    """
    whole = runs[""]
    yield f"all on: goodput {np.mean(list(whole.values())):.3f} of {len(whole)} runs"
    yield "off | worth | +- | least | most"
    for off, results in runs.items():
        if not off:
            continue
        gains = np.array([whole[key] - results[key] for key in whole])
        error = gains.std(ddof=1) / np.sqrt(len(gains)) if len(gains) > 1 else 0.0
        name = "all" if off == ALL_OFF else off
        figures = (gains.mean(), INTERVAL * error, gains.min(), gains.max())
        yield f"{name} | " + " | ".join(f"{figure:.3f}" for figure in figures)
