"""hibiscusstep.forwarding.serving: an application on an address, until cancelled."""

import asyncio
import socket
from collections.abc import Callable

from aiohttp import web

from hibiscusstep.listening import BACKLOG, listen

__all__ = ["serve"]

# Handlers that are still running at the end have had their time already.
SHUTDOWN_TIMEOUT_S = 0.2


async def serve(
    app: web.Application,
    address: str | socket.socket,
    started: Callable[[web.SockSite], None] | None = None,
    **options,
) -> None:
    """Serve an application until cancelled.

    Parameters
    ----------
    app : aiohttp.web.Application
        What to serve.
    address : str or socket.socket
        IP number and port, or a socket that listens.
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
    listener = listen(address) if isinstance(address, str) else address
    site = web.SockSite(runner, listener, backlog=BACKLOG)
    await site.start()
    if started:
        started(site)
    try:
        await asyncio.Event().wait()
    finally:
        await runner.cleanup()
