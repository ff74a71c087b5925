"""hibiscusstep.cmdline.common: error handling and event loop of the programs."""

import functools
import signal
import sys

import click

from hibiscusstep.errors import ConfigurationError, HibiscusstepError

__all__ = ["EXIT_CODES", "one_line_errors", "run", "serve_until_signal"]

EXIT_FAILED = 1
EXIT_CONFIGURATION = 3
EXIT_CODES = "\b\nExit codes: 0 done, 1 failed, 2 wrong use, 3 configuration refused."


def run(coroutine):
    """Run a coroutine on uvloop and return its result."""
    import uvloop

    return uvloop.run(coroutine)


def one_line_errors(function):
    """Report the library's errors as one line on standard error and an exit code."""

    @functools.wraps(function)
    def wrapper(*args, **kwargs):
        try:
            return function(*args, **kwargs)
        except ConfigurationError as error:
            click.echo(f"error: {error}", err=True)
            sys.exit(EXIT_CONFIGURATION)
        except (HibiscusstepError, OSError) as error:
            click.echo(f"error: {error}", err=True)
            sys.exit(EXIT_FAILED)

    return wrapper


async def serve_until_signal(app, address: str) -> None:
    """Serve an application until SIGTERM or SIGINT.

    Parameters
    ----------
    app : aiohttp.web.Application
        Application to serve.
    address : str
        IP address and port; port 0 selects a free one. The bound address is printed.
    """
    import asyncio

    from aiohttp import web

    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    runner = web.AppRunner(
        app, access_log=None, handler_cancellation=True, shutdown_timeout=0.5
    )
    await runner.setup()
    host, _, port = address.rpartition(":")
    site = web.TCPSite(runner, host, int(port))
    await site.start()
    bound_address = site._server.sockets[0].getsockname()
    click.echo(f"listening {bound_address[0]}:{bound_address[1]}")
    await stop_requested.wait()
    await runner.cleanup()
