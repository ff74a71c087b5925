"""hibiscusstep.http_client: connections of the HTTP clients of targets and stores."""

from functools import partial

import aiohttp
from aiohttp.client_proto import ResponseHandler

__all__ = ["make_connector"]


class _ResetDetectingHandler(ResponseHandler):
    """Fails the body of a response whose connection is reset.

    The library completes a body without a length or chunks however its connection ends,
    and has no public option for this.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the body before the library completes it."""
        body = self._payload
        if exc is not None and body is not None and not body.is_eof():
            detail = f"connection lost within the response: {exc!r}"
            body.set_exception(aiohttp.ClientPayloadError(detail), exc)
        super().connection_lost(exc)


def make_connector(**options) -> aiohttp.TCPConnector:
    """Return a connector whose responses fail if their connection is reset.

    Parameters
    ----------
    **options
        Options of `aiohttp.TCPConnector`.
    """
    connector = aiohttp.TCPConnector(**options)
    connector._factory = partial(_ResetDetectingHandler, loop=connector._loop)
    return connector
