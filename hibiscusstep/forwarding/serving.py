"""hibiscusstep.forwarding.serving: runs an HTTP server until it is cancelled."""

import asyncio
import socket
from collections.abc import Callable

from aiohttp import web

from hibiscusstep.listening import BACKLOG, listen

__all__ = ["serve"]

# The drain has already given running handlers their time.
SHUTDOWN_TIMEOUT_S = 0.2


async def serve(
    app: web.Application,
    address: str | socket.socket,
    on_started: Callable[[web.SockSite], None] | None = None,
    **options,
) -> None:
    """Serve an application until cancelled.

    Parameters
    ----------
    app : aiohttp.web.Application
        The application.
    address : str or socket.socket
        IP address and port, or a listening socket.
    on_started : callable or None
        Called with the site once it listens.
    **options : object
        Further arguments of `aiohttp.web.AppRunner`.
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
    if on_started:
        on_started(site)
    try:
        await asyncio.Event().wait()
    finally:
        await runner.cleanup()
