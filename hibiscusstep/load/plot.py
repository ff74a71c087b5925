"""hibiscusstep.load.plot: plots of comparisons, log analyses and rollouts."""

from pathlib import Path

from hibiscusstep.load.log_analysis import AttemptResult, LogAnalysis
from hibiscusstep.load.rollout_result import RolloutResult

__all__ = ["plot_log_analysis", "plot_rollouts", "plot_summary"]

FIGURES = ("goodput.", "wasted")


def plot_summary(summary: dict, title: str, path: Path) -> None:
    """Plot goodput by class and wasted prefill, one bar per policy with its spread.

    Parameters
    ----------
    summary : dict
        As `hibiscusstep.load.compare.summarize` returns it.
    title : str
        Title of the plot.
    path : pathlib.Path
        PNG file to write.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = [n for n in next(iter(summary.values())) if n.startswith(FIGURES)]
    figure, axes = pyplot.subplots(1, len(names), figsize=(3.2 * len(names), 3.6))
    for axis, name in zip(axes, names, strict=True):
        spreads = [figures.get(name, [0, 0, 0]) for figures in summary.values()]
        medians = [median for median, _least, _most in spreads]
        below = [median - least for median, least, _most in spreads]
        above = [most - median for median, _least, most in spreads]
        axis.barh(list(summary), medians, xerr=[below, above])
        axis.set_title(name)
        if axis is not axes[0]:
            axis.set_yticklabels([])
    figure.suptitle(title)
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)


def plot_log_analysis(analysis: LogAnalysis, path: Path) -> None:
    """Plot the results of all attempts by window as stacked areas.

    Parameters
    ----------
    analysis : LogAnalysis
        As `hibiscusstep.load.log_analysis.analyze_log` returns it.
    path : pathlib.Path
        PNG file to write.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    starts = sorted(analysis.windows)
    counts = [
        [analysis.windows[start][ending] for start in starts]
        for ending in AttemptResult.ALL
    ]
    figure, axis = pyplot.subplots(figsize=(9, 4))
    axis.stackplot(starts, counts, labels=AttemptResult.ALL, step="post")
    axis.set_xlabel("seconds")
    axis.set_ylabel("attempts in a window")
    axis.legend(loc="upper right", fontsize="small")
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)


def plot_rollouts(played: dict[int, RolloutResult], path: Path) -> None:
    """Plot the share of the requests that each version gets, over time.

    Parameters
    ----------
    played : dict of int to RolloutResult
        Results by seed.
    path : pathlib.Path
        PNG file to write.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axis = pyplot.subplots(figsize=(9, 4))
    for seed, result in played.items():
        seconds, parts = zip(*result.parts, strict=True)
        style = "--" if result.bad else "-"
        axis.plot(seconds, parts, style, label=f"{seed}: {result.state or 'running'}")
    axis.set_xlabel("seconds since the order")
    axis.set_ylabel("part of the requests (dashed: bad version)")
    axis.legend(loc="center left", bbox_to_anchor=(1, 0.5), fontsize="small")
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
