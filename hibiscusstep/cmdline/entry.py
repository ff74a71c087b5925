"""hibiscusstep.cmdline.entry: the program hibiscusstep-entry."""

from hibiscusstep.cmdline import early_signals

if __name__ == "__main__":
    # Before the imports that take long.
    early_signals.hold()

import gc
import signal
import sys
import time
from pathlib import Path

import click

from hibiscusstep import __version__
from hibiscusstep.cmdline.common import EXIT_CODES, one_line_errors, run

__all__ = ["main"]

_early_reloads = early_signals.reloads


@click.command(epilog=EXIT_CODES)
@click.version_option(__version__)
@click.argument(
    "settings",
    type=click.Path(exists=True, path_type=Path),
    envvar="HIBISCUSSTEP_SETTINGS",
)
@click.option(
    "--dialect",
    type=click.Choice(["own", "platform"]),
    default="own",
    help="Whose settings these are: our folder, or the users' platform's file.",
)
@click.option("--check", is_flag=True, help="Check the settings and exit.")
@one_line_errors
def main(settings: Path, dialect: str, check: bool) -> None:
    r"""Run one entry instance by the files of SETTINGS (a folder or one file).

    SETTINGS may also stand in the variable HIBISCUSSTEP_SETTINGS.

    SIGTERM drains: readiness goes off, open answers finish, exit 0. A second
    SIGTERM cuts what is open and says so. SIGHUP reads the bounds of the users'
    platform again; settings of our own are read at a start only.

    \b
    Examples:
      hibiscusstep-entry examples/hanul/instances/guro-1
      hibiscusstep-entry --check /etc/hibiscusstep
    """
    # Hardly anything that a start makes is garbage, and to look for it takes a tenth of
    # its processor time, in the worst seconds after a restart of all.
    gc.disable()
    if not check:
        early_signals.hold()
    loaded, make = _LOADERS[dialect](settings, not check)
    if check:
        click.echo("settings are good")
        return
    from hibiscusstep.log import set_up_logging

    stream = sys.stdout if dialect == "platform" else None
    set_up_logging(loaded.log_style, loaded.log_level, loaded.name, stream)
    run(_serve(make))


def _load_own(path: Path, _serves: bool):
    from hibiscusstep.configuration.settings import load_settings
    from hibiscusstep.instance import Instance

    settings = load_settings(path)
    _exit_if_stopped()
    return settings, lambda: Instance(settings)


def _load_platform(path: Path, serves: bool):
    from hibiscusstep.listening import listen
    from hibiscusstep.platform.settings import load_platform_settings

    settings = load_platform_settings(path).instance
    _exit_if_stopped()
    callers = listen(settings.caller_address) if serves else None
    # Only now the modules that take long to import.
    from hibiscusstep.forwarding.instance import ForwardingInstance
    from hibiscusstep.platform.environment import load_environment

    surroundings = load_environment(path, callers)
    return surroundings.settings, lambda: ForwardingInstance(surroundings)


def _exit_if_stopped() -> None:
    """End by a stop that came while nobody could connect yet."""
    if early_signals.stops:
        sys.exit(0)


_LOADERS = {"own": _load_own, "platform": _load_platform}


async def _serve(make) -> None:
    import asyncio

    entry = make()
    gc.freeze()
    gc.enable()
    running = asyncio.create_task(entry.run())
    asked = asyncio.Event()
    loop = asyncio.get_running_loop()

    def on_stop() -> None:
        if asked.is_set():
            entry.cut("second signal")
        asked.set()

    def on_signal(number: int, _frame) -> None:
        reloads = number == early_signals.RELOAD
        loop.call_soon_threadsafe(entry.reload if reloads else on_stop)

    # Not by the loop: closing, it would give them back to the system, which ends a
    # process by them, and that would make a failure of a whole end.
    for number in early_signals.FOLLOWED:
        signal.signal(number, on_signal)
    # After the first step of what runs: only then is there what is reloaded or stopped.
    if early_signals.reloads:
        loop.call_soon(entry.reload)
    if early_signals.stops:
        loop.call_soon(asked.set)
    stopping = asyncio.create_task(asked.wait())
    await asyncio.wait({running, stopping}, return_when=asyncio.FIRST_COMPLETED)
    if running.done():
        stopping.cancel()
        running.result()
        return
    first = min(early_signals.stops, default=time.monotonic())
    await entry.drain(time.monotonic() - first)
    # Until the process has ended; the interpreter gives back what it handles itself.
    for number in early_signals.FOLLOWED:
        signal.signal(number, signal.SIG_IGN)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)


if __name__ == "__main__":
    main()
