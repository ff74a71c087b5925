"""hibiscusstep.targets.engine: client of model engines, chat completions over HTTP."""

import asyncio
import logging
import re

import aiohttp
import orjson
from result import Result

from hibiscusstep.errors import TargetError
from hibiscusstep.target import TargetAnswer, TargetRequest
from hibiscusstep.targets.http import HttpTargetClient
from hibiscusstep.targets.service import ServiceAnswer

__all__ = ["EngineAnswer", "EngineClient", "StreamedAnswer"]

_LOG = logging.getLogger(__name__)
END_MARK = b"data: [DONE]\n\n"
EVENT_END = b"\n\n"
RESUME_ATTEMPTS = 3
RESUME_PAUSE_S = 0.1
CANCEL_TIMEOUT_S = 1.0
_COMPUTED_TOKENS = re.compile(rb'"prompt_tokens_computed":\s*(\d+)')


class EngineClient(HttpTargetClient):
    """A model engine that can stream, resume and cancel requests by their id."""

    name = "engine"

    async def send(
        self, target_request: TargetRequest
    ) -> Result[TargetAnswer, TargetError]:
        """Send a request once."""
        sent = await self.send_once(target_request)
        answer_type = StreamedAnswer if target_request.stream else EngineAnswer
        return sent.map(lambda response: answer_type(response, self, target_request))

    async def resume(self, attempt: str, after: int) -> aiohttp.ClientResponse:
        """Return the rest of an interrupted stream, after event number `after`."""
        url = f"http://{self._address}/v1/requests/{attempt}?after={after}"
        response = await self._sessions.reused.get(
            url, timeout=aiohttp.ClientTimeout(total=None, sock_connect=1.0)
        )
        if response.status != 200:
            response.release()
            raise aiohttp.ClientPayloadError(f"resume: status {response.status}")
        return response

    async def cancel(self, attempt: str) -> None:
        """Cancel a request; an unreachable engine is assumed to have stopped."""
        url = f"http://{self._address}/v1/requests/{attempt}"
        timeout = aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_S)
        try:
            async with self._sessions.reused.delete(url, timeout=timeout):
                pass
        except (aiohttp.ClientError, OSError, TimeoutError) as cause:
            _LOG.info(
                "cancel request failed", extra={"attempt": attempt, "error": str(cause)}
            )


class EngineAnswer(ServiceAnswer):
    """A completion as one JSON document."""

    def __init__(
        self, response, target: EngineClient, target_request: TargetRequest
    ) -> None:
        super().__init__(response, target)
        self._attempt = target_request.attempt

    async def chunks(self):
        """Yield the whole body once it is complete and checked to be JSON."""
        body = b"".join([chunk async for chunk in super().chunks()])
        if self.status == 200:
            self._read_usage(body)
        yield body

    async def cancel(self) -> None:
        """Close the connection and cancel the request on the engine."""
        self.close()
        await self._target.cancel(self._attempt)

    def _read_usage(self, body: bytes) -> None:
        try:
            usage = orjson.loads(body).get("usage") or {}
        except (orjson.JSONDecodeError, AttributeError):
            detail = "answer is not a JSON object"
            peer = self._target.name
            raise TargetError(detail, step="read", peer=peer, sent=True) from None
        self.tokens = int(usage.get("completion_tokens", 0))
        self.computed_prompt_tokens = int(usage.get("prompt_tokens_computed", -1))


class StreamedAnswer(EngineAnswer):
    """Unmodified server-sent events; an interrupted stream is resumed on its engine."""

    def __init__(
        self, response, target: EngineClient, target_request: TargetRequest
    ) -> None:
        super().__init__(response, target, target_request)
        self._partial_event = b""
        self._end_seen = False

    async def chunks(self):
        """Yield complete events until the end mark."""
        if self.status != 200:
            async for chunk in ServiceAnswer.chunks(self):
                yield chunk
            return
        for attempts_left in reversed(range(RESUME_ATTEMPTS + 1)):
            try:
                async for events in self._read_events():
                    yield events
                if self._end_seen:
                    return
                raise aiohttp.ClientPayloadError("ended without its end mark")
            except (aiohttp.ClientError, OSError, TimeoutError) as cause:
                if not await self._try_resume(attempts_left, cause):
                    raise self._target.error(cause, step="read", sent=True) from None

    async def _read_events(self):
        content = self._response.content
        while chunk := await content.readany():
            data = self._partial_event + chunk if self._partial_event else chunk
            end = data.rfind(EVENT_END) + len(EVENT_END)
            if end < len(EVENT_END):
                self._partial_event = data
                continue
            self._partial_event = data[end:]
            events = data if end == len(data) else data[:end]
            self._count_tokens(events)
            yield events

    def _count_tokens(self, events: bytes) -> None:
        if events.endswith(END_MARK):
            self._end_seen = True
            found = _COMPUTED_TOKENS.search(events[-400:])
            self.computed_prompt_tokens = int(found.group(1)) if found else -1
            self.tokens += events.count(EVENT_END) - 2
        else:
            self.tokens += events.count(EVENT_END)

    async def _try_resume(self, attempts_left: int, cause: Exception) -> bool:
        if not attempts_left:
            return False
        self._response.close()
        self._partial_event = b""
        await asyncio.sleep(RESUME_PAUSE_S)
        try:
            self._response = await self._target.resume(self._attempt, self.tokens)
        except (aiohttp.ClientError, OSError, TimeoutError) as failure:
            _LOG.info(
                "stream not resumed",
                extra={
                    "attempt": self._attempt,
                    "cut": str(cause),
                    "why": str(failure),
                },
            )
            return False
        _LOG.info("resumed", extra={"attempt": self._attempt, "after": self.tokens})
        return True
