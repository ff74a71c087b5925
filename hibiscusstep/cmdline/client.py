"""hibiscusstep.cmdline.client: the operators' program hibiscusstep."""

import difflib
import json
import sys
from pathlib import Path

import aiohttp
import click

from hibiscusstep import __version__
from hibiscusstep.cmdline.common import EXIT_CODES, one_line_errors, run
from hibiscusstep.configuration.change import (
    apply_folder,
    read_stored,
    set_drained,
    write_folder,
)
from hibiscusstep.configuration.folder import read_folder
from hibiscusstep.configuration.models import hash_key, load_configuration
from hibiscusstep.configuration.options import options_page
from hibiscusstep.errors import HibiscusstepError
from hibiscusstep.operator_client import OperatorClient
from hibiscusstep.store import Platform, get_platform_by_name
from hibiscusstep.timeline import build_timeline, parse_lines

__all__ = ["main"]

EXIT_NOT_EVERYWHERE = 4
_FOLDER = click.argument(
    "folder", type=click.Path(exists=True, file_okay=False, path_type=Path)
)
_JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
_PLATFORM = click.option(
    "--platform",
    "url",
    required=True,
    envvar="HIBISCUSSTEP_PLATFORM",
    help="URL of the platform's object service [HIBISCUSSTEP_PLATFORM].",
)
_ENTRY = click.option(
    "--entry",
    required=True,
    envvar="HIBISCUSSTEP_ENTRY",
    help="Operators' address of any instance [HIBISCUSSTEP_ENTRY].",
)
_KEY = click.option(
    "--key",
    required=True,
    envvar="HIBISCUSSTEP_OPERATOR_KEY",
    help="Operators' key [HIBISCUSSTEP_OPERATOR_KEY].",
)
_AUTHOR = click.option(
    "--author", default="", help="Author of the change; default: the user."
)
_TIMEOUT = click.option(
    "--timeout",
    default=30.0,
    show_default=True,
    help="Seconds to wait for all instances.",
)


@click.group(
    epilog=EXIT_CODES + " 4 accepted, but not seen in force on every instance."
)
@click.version_option(__version__)
def main() -> None:
    r"""Operate hibiscusstep with a folder of configuration files.

    \b
    Examples:
      hibiscusstep check examples/hanul/conf.d
      hibiscusstep apply examples/hanul/conf.d
      hibiscusstep status --json
      hibiscusstep drain pool-3
    """


def _platform(url: str) -> Platform:
    return get_platform_by_name("http")(url)


def _print_result(data, as_json: bool, lines) -> None:
    if as_json:
        click.echo(json.dumps(data))
    else:
        for line in lines:
            click.echo(line)


@main.command()
@_FOLDER
@_JSON
@one_line_errors
def check(folder: Path, as_json: bool) -> None:
    """Validate a folder of files, without network access."""
    configuration, merged = load_configuration(read_folder(folder))
    counts = {
        name: len(getattr(configuration, name))
        for name in ("tiers", "customers", "pools", "routes")
    }
    lines = [f"good: {', '.join(f'{n} {name}' for name, n in counts.items())}"]
    lines += [f"note: {line}" for line in merged.overrides]
    _print_result({**counts, "overrides": merged.overrides}, as_json, lines)


@main.command()
@_FOLDER
@_PLATFORM
@_JSON
@one_line_errors
def diff(folder: Path, url: str, as_json: bool) -> None:
    """Show the differences between the accepted configuration and a folder."""
    version, stored = run(_read_accepted(url))
    files = read_folder(folder)
    names = sorted(files.keys() | stored.files.keys())
    lines = [
        line.rstrip("\n")
        for name in names
        for line in difflib.unified_diff(
            stored.files.get(name, "").splitlines(),
            files.get(name, "").splitlines(),
            f"accepted/{name}",
            f"folder/{name}",
            lineterm="",
        )
    ]
    changed = [name for name in names if files.get(name) != stored.files.get(name)]
    data = {"version": version, "changed": changed}
    _print_result(data, as_json, lines or [f"no difference from version {version}"])


async def _read_accepted(url: str):
    platform = _platform(url)
    try:
        return await read_stored(platform)
    finally:
        await platform.close()


@main.command()
@click.argument("folder", type=click.Path(file_okay=False, path_type=Path))
@_PLATFORM
@one_line_errors
def pull(folder: Path, url: str) -> None:
    """Write the accepted configuration to a folder."""
    version, stored = run(_read_accepted(url))
    write_folder(folder, version, stored)
    click.echo(f"{folder} holds version {version}")


@main.command()
@_FOLDER
@_PLATFORM
@_ENTRY
@_KEY
@_AUTHOR
@_TIMEOUT
@_JSON
@one_line_errors
def apply(folder, url, entry, key, author, timeout, as_json) -> None:
    """Validate and submit a folder, and wait until it is in force everywhere."""
    load_configuration(read_folder(folder))

    async def change(platform):
        return await apply_folder(platform, folder, author, log=_print_progress)

    run(_change_and_wait(change, url, entry, key, timeout, as_json))


@main.command()
@click.argument("target")
@_PLATFORM
@_ENTRY
@_KEY
@_AUTHOR
@_TIMEOUT
@_JSON
@one_line_errors
def drain(target, url, entry, key, author, timeout, as_json) -> None:
    """Stop sending new work to a target; running work finishes."""
    _set_drained(target, True, url, entry, key, author, timeout, as_json)


@main.command()
@click.argument("target")
@_PLATFORM
@_ENTRY
@_KEY
@_AUTHOR
@_TIMEOUT
@_JSON
@one_line_errors
def undrain(target, url, entry, key, author, timeout, as_json) -> None:
    """Send work to a drained target again."""
    _set_drained(target, False, url, entry, key, author, timeout, as_json)


def _set_drained(target, drained, url, entry, key, author, timeout, as_json) -> None:
    async def change(platform):
        return await set_drained(platform, target, drained, author)

    run(_change_and_wait(change, url, entry, key, timeout, as_json))


def _print_progress(line: str) -> None:
    click.echo(line, err=True)


async def _change_and_wait(change, url, entry, key, timeout, as_json) -> None:
    platform = _platform(url)
    try:
        applied = await change(platform)
    finally:
        await platform.close()
    changed = ", ".join(applied.changed) or "nothing to change"
    _print_progress(f"accepted: version {applied.version} ({changed})")
    client = OperatorClient(entry, key)
    try:
        behind = await client.wait_until_in_force(
            applied.version, timeout, _print_progress
        )
    except (HibiscusstepError, aiohttp.ClientError, OSError) as error:
        behind = [f"{entry} ({error})"]
    finally:
        await client.close()
    data = {"version": applied.version, "changed": applied.changed, "behind": behind}
    line = f"version {applied.version} is in force everywhere"
    if behind:
        line = f"version {applied.version} is accepted, not in force on {behind}"
    _print_result(data, as_json, [line])
    if behind:
        sys.exit(EXIT_NOT_EVERYWHERE)


@main.command()
@_ENTRY
@_KEY
@_JSON
@one_line_errors
def status(entry, key, as_json) -> None:
    """Show instances, pools, targets and queues."""
    data = run(_query(entry, key, lambda client: client.status()))
    _print_result(data, as_json, _status_lines(data))


@main.command()
@click.argument("request")
@click.option(
    "--log",
    type=click.File("r"),
    help="Read log lines of the instances from this file, - for standard input.",
)
@click.option("--entry", envvar="HIBISCUSSTEP_ENTRY", help="As of status.")
@click.option("--key", envvar="HIBISCUSSTEP_OPERATOR_KEY", help="As of status.")
@_JSON
@one_line_errors
def explain(request, log, entry, key, as_json) -> None:
    """Show the decisions about a request, with their place and reason.

    Queries an instance, or with --log reads the log lines of all instances.
    """
    if log is not None:
        timeline = build_timeline(request, parse_lines(log))
        if not timeline:
            raise HibiscusstepError("no line of this request", step="explain")
        fields = [line.fields for line in timeline]
        _print_result(fields, as_json, (line.text() for line in timeline))
        return
    if not entry or not key:
        raise click.UsageError("give --log, or --entry and --key")
    steps = run(_query(entry, key, lambda client: client.explain(request)))
    lines = (
        f"{item['at']:.3f} {item['what']}: "
        + " ".join(f"{name}={value}" for name, value in item["fields"].items())
        for item in steps
    )
    _print_result(steps, as_json, lines)


@main.command()
@one_line_errors
def options() -> None:
    """Print tables of all options of configuration files and settings."""
    click.echo(options_page())


@main.command("hash-key")
@one_line_errors
def hash_key_command() -> None:
    """Read a customer's key from standard input and print its hash."""
    click.echo(hash_key(sys.stdin.readline().strip()))


async def _query(entry, key, query):
    client = OperatorClient(entry, key)
    try:
        return await query(client)
    finally:
        await client.close()


def _status_lines(data: dict):
    yield f"configuration version {data['version']} on {data['instance']}"
    for member in data["members"]:
        flags = [flag for flag in ("ready", "leaving") if member[flag]]
        yield (
            f"  instance {member['name']:<12} {member['data_centre']:<14} "
            f"version {member['version']:<6} {' '.join(flags)}"
        )
    for pool, state in data["pools"].items():
        if not state:
            yield f"pool {pool}: its dispatcher does not answer"
            continue
        waiting = " ".join(f"{tier}={n}" for tier, n in state["waiting"].items())
        yield f"pool {pool} dispatched by {state['dispatcher']}, waiting {waiting}"
        for name, target in state["targets"].items():
            yield _target_line(name, target)


def _target_line(name: str, target: dict) -> str:
    flags = [flag for flag in ("drained", "leaving") if target[flag]]
    flags += [] if target["reachable"] else ["unreachable"]
    flags += [f"failures={target['failures']}"] if target["failures"] else []
    return (
        f"  target {name:<12} {target['running']}/{target['max_running']} running, "
        f"prefill {target['prefill_rate']:.0f}/s decode {target['decode_rate']:.1f}/s "
        f"{' '.join(flags)}"
    )
