"""hibiscusstep.load.report: goodput, latencies, refusals, wasted prefill."""

from collections import Counter, defaultdict
from dataclasses import asdict, dataclass

import numpy as np

from hibiscusstep.load.drive import Result, State

__all__ = ["Report", "make_report"]


@dataclass(frozen=True, slots=True)
class Report:
    """Figures of one run.

    Parameters
    ----------
    goodput : dict of str to float
        Share of useful answers by class: complete ones that began in time.
    useful : dict of str to int
        Number of useful answers by class.
    first : dict of str to dict of str to float
        Percentiles of the seconds to the first token of complete answers, by class.
    gaps : dict of str to dict of str to float
        Percentiles of the seconds between events, by class.
    states : dict of str to int
        Number of requests by final state.
    refusals : dict of str to int
        Number of refusals by reason.
    prefilled, wasted, aborted : int
        Prompt tokens that engines computed; the part that no delivered answer needed;
        of these, the tokens of requests aborted on the engine.
    recomputed : int
        Prompt tokens computed for delivered answers although their prefix had been
        computed before.
    """

    goodput: dict
    useful: dict
    first: dict
    gaps: dict
    states: dict
    refusals: dict
    prefilled: int = 0
    wasted: int = 0
    aborted: int = 0
    recomputed: int = 0

    def to_dict(self) -> dict:
        """Return the figures as nested dictionaries."""
        return asdict(self)


def make_report(results: list[Result], engines: list[dict]) -> Report:
    """Return the figures of a run.

    Parameters
    ----------
    results : list of Result
        Results of all requests.
    engines : list of dict
        Final counts of each engine stand-in.
    """
    by_class = defaultdict(list)
    for result in results:
        by_class[result.arrival.kind].append(result)
    useful = {kind: sum(map(_useful, group)) for kind, group in by_class.items()}
    prefilled = sum(counts.get("prefilled", 0) for counts in engines)
    delivered = sum(r.computed for r in results if r.state is State.COMPLETE)
    return Report(
        {kind: useful[kind] / len(group) for kind, group in by_class.items()},
        useful,
        {
            kind: _percentiles([r.first for r in group if r.state is State.COMPLETE])
            for kind, group in by_class.items()
        },
        {
            kind: _percentiles([gap for r in group for gap in r.gaps])
            for kind, group in by_class.items()
        },
        dict(Counter(str(r.state) for r in results)),
        dict(Counter(r.reason for r in results if r.reason)),
        prefilled,
        max(0, prefilled - delivered),
        sum(counts.get("aborted_prefill", 0) for counts in engines),
        _recomputed(results),
    )


def _useful(result: Result) -> bool:
    return (
        result.state is State.COMPLETE and result.first <= result.arrival.spec.deadline
    )


def _percentiles(values: list[float]) -> dict:
    if not values:
        return {}
    marks = np.percentile(values, [50, 95, 99])
    return dict(zip(("p50", "p95", "p99"), np.round(marks, 4).tolist(), strict=True))


def _recomputed(results: list[Result]) -> int:
    """Return prefix tokens that a cache could have saved."""
    seen: set[str] = set()
    total = 0
    for result in sorted(results, key=lambda r: r.arrival.at):
        spec = result.arrival.spec
        if result.state is not State.COMPLETE or not spec.prefixes:
            continue
        prefix = result.arrival.prompt[:64]
        own = len(result.arrival.prompt) // 4 * (1 - spec.prefix_share)
        if prefix in seen:
            total += max(0, int(result.computed - own))
        seen.add(prefix)
    return total
