"""hibiscusstep.cmdline.load: the program hibiscusstep-load."""

import itertools
import os
import sys
from collections.abc import Iterator
from dataclasses import asdict
from pathlib import Path

import click
import orjson

from hibiscusstep import __version__
from hibiscusstep.checker import check_history
from hibiscusstep.cmdline.common import EXIT_CODES, one_line_errors, run
from hibiscusstep.events import read_history
from hibiscusstep.load.compare import RunningSystem, compare, summarize
from hibiscusstep.load.drive import Driver
from hibiscusstep.load.experiment import gain_table, run_experiment
from hibiscusstep.load.log_analysis import analyze_log
from hibiscusstep.load.mix import arrivals, load_mix
from hibiscusstep.load.plot import plot_log_analysis, plot_rollouts, plot_summary
from hibiscusstep.load.report import make_report
from hibiscusstep.load.rollout_report import rollout_table_lines, run_rollout
from hibiscusstep.operator_client import OperatorClient
from hibiscusstep.policies import POLICIES
from hibiscusstep.store import get_platform_by_name

__all__ = ["main"]

EXIT_BROKEN_PROMISE = 5
# Bytes per update of the progress bar, some hundredths of a second of reading.
PROGRESS_STEP_BYTES = 1 << 19
_MIX = click.argument("mix", type=click.Path(exists=True, path_type=Path))
_CALLERS = click.option(
    "--caller", "callers", multiple=True, required=True, help="URL of an instance."
)
_RATE = click.option("--rate", default=1.0, show_default=True, help="Factor on rates.")
_HISTORY = click.option(
    "--check",
    "history",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    help="Check the recorded history in this folder afterwards.",
)


@click.group(epilog=EXIT_CODES + " 5 a promise was broken.")
@click.version_option(__version__)
def main() -> None:
    r"""Replay load mixes, measure, compare policies and check promises.

    \b
    Examples:
      hibiscusstep-load run examples/loads/demo.json --caller http://127.0.0.1:8100
      hibiscusstep-load check history/
      make compare MIX=hanul-night     (starts a system and runs compare on it)
    """


@main.command("run")
@_MIX
@_CALLERS
@_RATE
@_HISTORY
@click.option("--seed", default=1, show_default=True)
@one_line_errors
def run_mix(mix: Path, callers, rate: float, history: Path | None, seed: int) -> None:
    """Replay a mix once and print the figures as JSON."""
    recording = arrivals(load_mix(mix), seed, rate)
    results = run(Driver(callers).run(recording))
    report = make_report(results, []).to_dict()
    click.echo(orjson.dumps(report, option=orjson.OPT_INDENT_2))
    if history:
        _check(history, ())


@main.command()
@click.argument("history", type=click.Path(exists=True, path_type=Path))
@click.option("--killed", multiple=True, help="Instance that was killed.")
@one_line_errors
def check(history: Path, killed) -> None:
    """Check the promises against a recorded history."""
    _check(history, killed)


def _check(history: Path, killed) -> None:
    events = read_history(history)
    findings = check_history(events, killed)
    for finding in findings:
        click.echo(str(finding))
    click.echo(f"{len(events)} events, {len(findings)} broken promises")
    if findings:
        sys.exit(EXIT_BROKEN_PROMISE)


@main.command()
@click.argument("logs", nargs=-1, required=True, type=click.File("r", errors="replace"))
@click.option("--window", default=2.0, show_default=True, help="Seconds of a row.")
@click.option("--plot", type=click.Path(path_type=Path), help="Write a PNG.")
@one_line_errors
def account(logs, window: float, plot: Path | None) -> None:
    """Show where requests were lost or late, from the log lines of all instances."""
    size = sum(os.fstat(log.fileno()).st_size for log in logs)
    with click.progressbar(length=size, label="reading", file=sys.stderr) as bar:
        analysis = analyze_log(_read_lines(logs, bar), window)
    for line in analysis.lines():
        click.echo(line)
    if plot:
        plot_log_analysis(analysis, plot)


def _read_lines(logs, bar) -> Iterator[str]:
    """Yield the lines of log files and update the progress bar."""
    unreported = 0
    for line in itertools.chain.from_iterable(logs):
        yield line
        unreported += len(line)
        if unreported > PROGRESS_STEP_BYTES:
            bar.update(unreported)
            unreported = 0


@main.command()
@click.option("--deployments", default="0-9", show_default=True, help="First-last.")
@click.option("--seeds", default="1", show_default=True, help="Of callers, by comma.")
@click.option("--off", "variants", multiple=True, help="Mechanisms, by comma.")
@click.option("--customers", default=1, help="Customers, one of which floods the pool.")
@click.option("--plan-returns", is_flag=True, help="Pools that plan returns.")
@click.option(
    "--at-once", default=0.0, show_default=True, help="Share of callers retrying so."
)
@click.option(
    "--due-from-return",
    is_flag=True,
    help="Returned callers are due after the last try.",
)
@click.option("--host-changes", is_flag=True, help="Hosts of changing pace.")
@click.option("--out", type=click.Path(path_type=Path), help="Write the runs as JSON.")
@one_line_errors
def experiment(
    deployments: str,
    seeds: str,
    variants,
    customers: int,
    plan_returns: bool,
    at_once: float,
    due_from_return: bool,
    host_changes: bool,
    out: Path | None,
) -> None:
    """Emulate random deployments with mechanisms on and off.

    Each --off lists the mechanisms that are off in one variant. Without it, there is
    one variant per mechanism and one with all of them off.
    """
    first, _, last = deployments.partition("-")
    numbers = range(int(first), int(last or first) + 1)
    runs = run_experiment(
        numbers,
        [int(seed) for seed in seeds.split(",")],
        variants,
        customers,
        plans_returns=plan_returns,
        at_once_share=at_once,
        due_from_return=due_from_return,
        host_changes=host_changes,
    )
    for line in gain_table(runs):
        click.echo(line)
    if out:
        out.write_bytes(orjson.dumps(runs, option=orjson.OPT_INDENT_2))


@main.command()
@click.option("--seeds", default="1-20", show_default=True, help="First-last.")
@click.option("--test", default="cusum", show_default=True, help="Sequential test.")
@click.option("--json", "as_json", is_flag=True, help="Print the results as JSON.")
@click.option("--plot", type=click.Path(path_type=Path), help="Write a PNG.")
@one_line_errors
def rollout(seeds: str, test: str, as_json: bool, plot: Path | None) -> None:
    """Emulate random rollouts in virtual time.

    Prints a row per seed and totals: requests that the version got and was allowed to
    get, time from its 50th bad answer to its last request, and findings.
    """
    first, _, last = seeds.partition("-")
    numbers = range(int(first), int(last or first) + 1)
    with click.progressbar(numbers, label="playing", file=sys.stderr) as bar:
        results_by_seed = {seed: run_rollout(seed, test) for seed in bar}
    if as_json:
        results = {
            str(seed): asdict(result) for seed, result in results_by_seed.items()
        }
        click.echo(orjson.dumps(results, option=orjson.OPT_INDENT_2))
    else:
        for line in rollout_table_lines(results_by_seed):
            click.echo(line)
    if plot:
        plot_rollouts(results_by_seed, plot)


@main.command("compare")
@_MIX
@_CALLERS
@_RATE
@click.option("--platform", required=True, help="URL of the platform stand-in.")
@click.option("--entry", required=True, help="Operators' address of an instance.")
@click.option("--key", required=True, envvar="HIBISCUSSTEP_OPERATOR_KEY")
@click.option("--policies", default=",".join(POLICIES.primary_names), show_default=True)
@click.option("--seeds", default="1,2,3", show_default=True)
@click.option("--only", default="", help="Send only these classes, by comma.")
@click.option("--out", type=click.Path(path_type=Path), help="Write JSON and a plot.")
@one_line_errors
def compare_policies(
    mix, callers, rate, platform, entry, key, policies, seeds, only, out
) -> None:
    """Replay a mix against several policies on a running system."""

    async def replay():
        client = OperatorClient(entry, key)
        store = get_platform_by_name("http")(platform)
        deployment = RunningSystem(callers, client, store, platform)
        try:
            return await compare(
                load_mix(mix),
                deployment,
                policies.split(","),
                [int(seed) for seed in seeds.split(",")],
                rate,
                lambda line: click.echo(line, err=True),
                only.split(",") if only else None,
            )
        finally:
            await client.close()
            await store.close()

    summary = summarize(run(replay()))
    click.echo(_summary_table(summary))
    if out:
        out.with_suffix(".json").write_bytes(
            orjson.dumps(summary, option=orjson.OPT_INDENT_2)
        )
        plot_summary(summary, mix.stem, out.with_suffix(".png"))


def _summary_table(summary: dict) -> str:
    names = [
        name
        for name in next(iter(summary.values()))
        if name.startswith(("goodput.", "useful.all", "wasted", "refused", "aborted"))
        or (name.startswith("first.") and name.endswith(".p95"))
    ]
    lines = ["figure (median, least to most) | " + " | ".join(summary)]
    for name in names:
        cells = [
            _format_cell(figures.get(name, [0, 0, 0])) for figures in summary.values()
        ]
        lines.append(f"{name} | " + " | ".join(cells))
    return "\n".join(lines)


def _format_cell(spread) -> str:
    median, least, most = spread
    digits = 0 if most >= 100 else 3
    return f"{median:.{digits}f} ({least:.{digits}f} to {most:.{digits}f})"
