"""hibiscusstep.http_server.server: runs an HTTP server until it is cancelled."""

import asyncio
import socket
from collections.abc import Callable

from aiohttp import web

from hibiscusstep.http_server.acceptor import Acceptor
from hibiscusstep.http_server.connection import Connection
from hibiscusstep.http_server.server_context import ServerContext
from hibiscusstep.listening import listen

__all__ = ["serve"]

# The drain has already given running handlers their time.
SHUTDOWN_TIMEOUT_S = 0.2
# Idle connections are closed by the context.
KEEPALIVE_TIMEOUT_S = 86_400.0


async def serve(
    app: web.Application,
    address: str | socket.socket,
    context: ServerContext,
    on_started: Callable[[Acceptor], None] | None = None,
    **options,
) -> None:
    """Serve an application until cancelled.

    Parameters
    ----------
    app : aiohttp.web.Application
        The application.
    address : str or socket.socket
        IP address and port, or a listening socket.
    context : ServerContext
        Limits of the port; receives the counts.
    on_started : callable or None
        Called with the acceptor once it listens.
    **options : object
        Further arguments of `aiohttp.web.RequestHandler`.
    """
    runner = web.AppRunner(
        app, handler_cancellation=True, shutdown_timeout=SHUTDOWN_TIMEOUT_S
    )
    await runner.setup()
    loop = asyncio.get_running_loop()

    def make_connection() -> Connection:
        return Connection(
            runner.server,
            context,
            loop=loop,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            **options,
        )

    acceptor = None
    try:
        listener = listen(address) if isinstance(address, str) else address
        acceptor = Acceptor(listener, make_connection, context)
        acceptor.start()
        if on_started:
            on_started(acceptor)
        await context.close_expired()
    finally:
        if acceptor is not None:
            acceptor.stop()
        await runner.cleanup()
