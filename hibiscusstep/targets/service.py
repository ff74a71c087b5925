"""hibiscusstep.targets.service: client of plain services, passed through unmodified."""

import aiohttp
from result import Result

from hibiscusstep.errors import TargetError
from hibiscusstep.target import TargetAnswer, TargetRequest
from hibiscusstep.targets.http import READ_BUFFER_BYTES, HttpTargetClient

__all__ = ["ServiceAnswer", "ServiceClient"]


class ServiceAnswer(TargetAnswer):
    """A response whose end is detected by its framing (length or last chunk)."""

    def __init__(
        self, response: aiohttp.ClientResponse, target: HttpTargetClient
    ) -> None:
        self._response = response
        self._target = target
        self.status = response.status
        self.content_type = response.headers.get(
            "Content-Type", "application/octet-stream"
        )

    async def chunks(self):
        """Yield the body; the HTTP library checks its framing."""
        try:
            async for chunk in self._response.content.iter_chunked(READ_BUFFER_BYTES):
                yield chunk
        except (aiohttp.ClientError, OSError, TimeoutError) as cause:
            raise self._target.error(cause, step="read", sent=True) from None

    async def cancel(self) -> None:
        """Close the connection; a plain service has no other way to cancel."""
        self.close()

    def close(self) -> None:
        """Release the connection if the body was read to its end; else close it."""
        if self._response.content.at_eof():
            self._response.release()
        else:
            self._response.close()


class ServiceClient(HttpTargetClient):
    """A plain service."""

    name = "service"

    async def send(
        self, target_request: TargetRequest
    ) -> Result[TargetAnswer, TargetError]:
        """Send a request once."""
        sent = await self.send_once(target_request)
        return sent.map(lambda response: ServiceAnswer(response, self))
