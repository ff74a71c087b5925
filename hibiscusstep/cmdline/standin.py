"""hibiscusstep.cmdline.standin: the program hibiscusstep-standin."""

from pathlib import Path

import click

from hibiscusstep import __version__
from hibiscusstep.cmdline.common import (
    EXIT_CODES,
    one_line_errors,
    run,
    serve_until_signal,
)
from hibiscusstep.events import NullRecorder, Recorder
from hibiscusstep.standins.batching import EngineSpeed
from hibiscusstep.standins.engine import make_engine_app
from hibiscusstep.standins.platform import make_platform_app
from hibiscusstep.standins.service import make_service_app

__all__ = ["main"]

_LISTEN = click.option(
    "--listen", default="127.0.0.1:0", show_default=True, help="IP address and port."
)
_NAME = click.option("--name", default="standin", help="Name in the history.")
_HISTORY = click.option(
    "--history", default="", help="Folder for the history of events."
)
_MAX_RUNNING = click.option("--max-running", default=8, show_default=True)


@click.group(epilog=EXIT_CODES)
@click.version_option(__version__)
def main() -> None:
    r"""Run stand-ins for the platform, an engine and a plain service.

    \b
    Examples:
      hibiscusstep-standin platform --listen 127.0.0.1:7000
      hibiscusstep-standin engine --listen 127.0.0.1:7101 --decode-rate 60
      hibiscusstep-standin service --duration 0.05
    """


def _recorder(history: str, name: str) -> NullRecorder:
    if not history:
        return NullRecorder()
    return Recorder(Path(history) / f"{name}.events", name, "standin")


@main.command()
@_LISTEN
@click.option("--list-lag", default=0.0, help="Delay of the instance list in seconds.")
@one_line_errors
def platform(listen: str, list_lag: float) -> None:
    """Serve an in-memory platform."""

    async def serve():
        await serve_until_signal(make_platform_app(list_lag), listen)

    run(serve())


@main.command()
@_LISTEN
@_NAME
@_HISTORY
@_MAX_RUNNING
@click.option("--prefill-rate", default=4000.0, help="Prompt tokens per second.")
@click.option("--decode-rate", default=40.0, help="Tokens per second of one stream.")
@click.option("--batch-cost", default=0.02, help="Step share added by a stream.")
@click.option("--report-lag", default=0.0, help="Delay of the load report in seconds.")
@one_line_errors
def engine(
    listen,
    name,
    history,
    max_running,
    prefill_rate,
    decode_rate,
    batch_cost,
    report_lag,
) -> None:
    """Serve a model engine with continuous batching."""
    speed = EngineSpeed(prefill_rate, decode_rate, batch_cost, max_running)

    async def serve():
        app = make_engine_app(
            speed,
            name=name,
            report_lag=report_lag,
            recorder=_recorder(history, name),
        )
        await serve_until_signal(app, listen)

    run(serve())


@main.command()
@_LISTEN
@_NAME
@_HISTORY
@_MAX_RUNNING
@click.option("--duration", default=0.02, help="Duration of a call in seconds.")
@one_line_errors
def service(listen, name, history, max_running, duration) -> None:
    """Serve a plain service."""

    async def serve():
        app = make_service_app(
            name=name,
            duration=duration,
            max_running=max_running,
            recorder=_recorder(history, name),
        )
        await serve_until_signal(app, listen)

    run(serve())
