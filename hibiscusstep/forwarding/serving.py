"""hibiscusstep.forwarding.serving: an application on an address, until cancelled."""

import asyncio
from collections.abc import Callable

from aiohttp import web

__all__ = ["serve"]

# Connections waiting to be accepted.
BACKLOG = 1024
# Handlers that are still running at the end have had their time already.
SHUTDOWN_TIMEOUT_S = 0.2


async def serve(
    app: web.Application,
    address: str,
    started: Callable[[web.TCPSite], None] | None = None,
    **options,
) -> None:
    """Serve an application until cancelled.

    Parameters
    ----------
    app : aiohttp.web.Application
        What to serve.
    address : str
        IP number and port.
    started : callable or None
        Gets the site once it listens.
    **options : object
        Of the library's connections.
    """
    runner = web.AppRunner(
        app,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        **options,
    )
    await runner.setup()
    host, _, port = address.rpartition(":")
    site = web.TCPSite(runner, host, int(port), backlog=BACKLOG)
    await site.start()
    if started:
        started(site)
    try:
        await asyncio.Event().wait()
    finally:
        await runner.cleanup()
