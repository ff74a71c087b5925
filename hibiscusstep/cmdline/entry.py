"""hibiscusstep.cmdline.entry: the program hibiscusstep-entry."""

from hibiscusstep.cmdline import early_signals

if __name__ == "__main__":
    # Before the slow imports.
    early_signals.record_signals()

import gc
import signal
import sys
import time
from pathlib import Path

import click

from hibiscusstep import __version__
from hibiscusstep.cmdline.common import EXIT_CODES, one_line_errors, run

__all__ = ["main"]

_early_reloads = early_signals.reload_times


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
    help="Format of SETTINGS: own folder, or file of the users' platform.",
)
@click.option("--check", is_flag=True, help="Validate the settings and exit.")
@one_line_errors
def main(settings: Path, dialect: str, check: bool) -> None:
    r"""Run one entry instance with the files of SETTINGS (a folder or one file).

    SETTINGS may also be given in the variable HIBISCUSSTEP_SETTINGS.

    SIGTERM drains: the instance reports not ready, open answers finish, exit 0. A
    second SIGTERM cuts the open answers and logs it. SIGHUP reloads the bounds of the
    users' platform; own settings are only read at the start.

    \b
    Examples:
      hibiscusstep-entry examples/hanul/instances/guro-1
      hibiscusstep-entry --check /etc/hibiscusstep
    """
    # The start creates hardly any garbage. Collection would take a tenth of its
    # processor time, in the busiest seconds after a restart of all instances.
    gc.disable()
    if not check:
        early_signals.record_signals()
    loaded_settings, make_instance = _LOADERS[dialect](settings, not check)
    if check:
        click.echo("settings are good")
        return
    from hibiscusstep.log import set_up_logging

    stream = sys.stdout if dialect == "platform" else None
    set_up_logging(
        loaded_settings.log_style,
        loaded_settings.log_level,
        loaded_settings.name,
        stream,
    )
    run(_serve(make_instance))


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
    # Slow imports, after the port is open.
    from hibiscusstep.forwarding.instance import ForwardingInstance
    from hibiscusstep.platform.environment import load_environment

    environment = load_environment(path, callers)
    return environment.settings, lambda: ForwardingInstance(environment)


def _exit_if_stopped() -> None:
    """Exit if a stop signal arrived before callers could connect."""
    if early_signals.stop_times:
        sys.exit(0)


_LOADERS = {"own": _load_own, "platform": _load_platform}


async def _serve(make_instance) -> None:
    import asyncio

    entry_instance = make_instance()
    gc.freeze()
    gc.enable()
    running = asyncio.create_task(entry_instance.run())
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()

    def on_stop() -> None:
        if stop_requested.is_set():
            entry_instance.cut("second signal")
        stop_requested.set()

    def on_signal(number: int, _frame) -> None:
        is_reload = number == early_signals.RELOAD_SIGNAL
        loop.call_soon_threadsafe(entry_instance.reload if is_reload else on_stop)

    # Not with the loop's handlers: on closing, the loop restores the default actions,
    # and a further signal would turn a clean exit into a failure.
    for number in early_signals.HANDLED_SIGNALS:
        signal.signal(number, on_signal)
    # After the first step of the task, which creates what is reloaded or stopped.
    if early_signals.reload_times:
        loop.call_soon(entry_instance.reload)
    if early_signals.stop_times:
        loop.call_soon(stop_requested.set)
    stopping = asyncio.create_task(stop_requested.wait())
    await asyncio.wait({running, stopping}, return_when=asyncio.FIRST_COMPLETED)
    if running.done():
        stopping.cancel()
        running.result()
        return
    first = min(early_signals.stop_times, default=time.monotonic())
    await entry_instance.drain(time.monotonic() - first)
    # Ignored until the process ends: the interpreter, at its exit, restores the default
    # action of signals that have a handler in Python.
    for number in early_signals.HANDLED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)


if __name__ == "__main__":
    main()
