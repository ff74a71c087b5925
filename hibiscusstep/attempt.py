"""hibiscusstep.attempt: dispatches a request to one target and relays the answer."""

import asyncio

from hibiscusstep.admission import AdmittedRequest
from hibiscusstep.answer_sink import AnswerSink
from hibiscusstep.configuration.models import Configuration
from hibiscusstep.continuation import Continuation
from hibiscusstep.dispatch_client import DispatchClient
from hibiscusstep.errors import TargetError
from hibiscusstep.events import EventKind
from hibiscusstep.grant_messages import FirstTokenReceived, Granted, RequestEnded
from hibiscusstep.progress import Progress
from hibiscusstep.routing.messages import GrantOutcome as TargetOutcome
from hibiscusstep.target import TargetAnswer, TargetRequest, get_client_class

__all__ = ["Attempt", "RetryElsewhere"]

MAX_BUFFERED_BYTES = 16 << 20
EVENT_STREAM_TYPE = "text/event-stream"


class RetryElsewhere(Exception):
    """The attempt ended without an answer and may be repeated on another target.

    Parameters
    ----------
    target_failed : bool
        Whether the target failed, so that the retry counts against the retry budget.
    """

    def __init__(self, target_failed: bool = True) -> None:
        super().__init__(target_failed)
        self.target_failed = target_failed


class Attempt:
    """Sends a request to a target once and relays its answer to the caller.

    Parameters
    ----------
    name : str
        Id of the attempt, unique to this dispatch.
    admitted : AdmittedRequest
        The request.
    granted : Granted
        The grant, with the target.
    sink : AnswerSink
        Receives the answer.
    progress : Progress
        Progress of the request.
    configuration : Configuration
        The configuration in force when the request was admitted.
    dispatch_client : DispatchClient
        Receives `FirstTokenReceived` and `RequestEnded`.
    sessions : TargetSessions
        Connections to targets.
    """

    def __init__(
        self,
        name: str,
        admitted: AdmittedRequest,
        granted: Granted,
        sink: AnswerSink,
        progress: Progress,
        configuration: Configuration,
        dispatch_client: DispatchClient,
        sessions,
    ) -> None:
        self._name = name
        self._admitted = admitted
        self._granted = granted
        self._sink = sink
        self._progress = progress
        self._configuration = configuration
        self._dispatch_client = dispatch_client
        self._sessions = sessions
        self._dispatched_at = 0.0
        self._first_token_at: float | None = None
        self._finished = False
        self._dispatched_before = False

    async def dispatch(self) -> None:
        """Send the request to the target once and relay the answer."""
        target_request = self._make_target_request()
        target = self._make_target_client()
        self._dispatched_at = asyncio.get_running_loop().time()
        self._dispatched_before = self._progress.dispatched
        self._progress.dispatched = True
        self._record_event(EventKind.DISPATCHED)
        sent = await target.send(target_request)
        if sent.is_err():
            self._handle_send_error(sent.unwrap_err())
        answer = sent.unwrap()
        try:
            await self._relay_answer(answer)
        except TargetError as error:
            self._handle_broken_answer(error)
        except BaseException:
            await asyncio.shield(answer.cancel())
            raise
        finally:
            answer.close()

    def finish(
        self, outcome: TargetOutcome, answer: TargetAnswer | None = None
    ) -> None:
        """Release the grant; later calls do nothing."""
        if self._finished:
            return
        self._finished = True
        now = asyncio.get_running_loop().time()
        self._dispatch_client.tell(
            RequestEnded(
                self._admitted.route.pool,
                self._granted.ask,
                outcome,
                answer.tokens if answer else 0,
                self._decode_seconds(now),
                answer.computed_prompt_tokens if answer else -1,
            )
        )

    def _decode_seconds(self, now: float) -> float:
        """Return the decoding seconds if streamed, else the negated total seconds.

        It is 0 if there was no first token.
        """
        if self._first_token_at is None:
            return 0.0
        return (
            now - self._first_token_at
            if self._admitted.stream
            else self._dispatched_at - now
        )

    def _make_target_request(self) -> TargetRequest:
        admitted = self._admitted
        return TargetRequest(
            admitted.request,
            self._name,
            admitted.head.method,
            admitted.head.path,
            admitted.body,
            admitted.head.content_type,
            admitted.head.key,
            admitted.stream,
            admitted.route.idempotent,
            admitted.route.answer_timeout,
        )

    def _make_target_client(self):
        pool = self._configuration.pools[self._admitted.route.pool]
        name = self._granted.target
        if name not in pool.targets:
            raise RetryElsewhere(target_failed=False)
        client_class = get_client_class(pool.kind)
        return client_class(name, pool.targets[name].address, self._sessions)

    def _handle_send_error(self, error: TargetError) -> None:
        if error.sent:
            self._handle_broken_answer(error)
        self._progress.dispatched = self._dispatched_before
        self._record_event(EventKind.NOT_SENT, detail=error.detail)
        self._explain_error(error)
        self.finish(
            TargetOutcome.LEAVING if error.leaving else TargetOutcome.UNREACHABLE
        )
        raise RetryElsewhere(target_failed=not error.leaving)

    def _handle_broken_answer(self, error: TargetError) -> None:
        self.finish(TargetOutcome.BROKEN)
        self._explain_error(error)
        if not self._admitted.route.idempotent:
            raise self._progress.unknown(f"The target broke off: {error.detail}")
        if self._sink.has_started and (
            self._sink.written is None or not self._admitted.stream
        ):
            raise self._progress.failed(f"The target broke off: {error.detail}")
        raise RetryElsewhere

    def _explain_error(self, error: TargetError) -> None:
        self._progress.explain(
            "target-error", target=error.peer, step=error.step, detail=error.detail
        )

    async def _relay_answer(self, answer: TargetAnswer) -> None:
        if answer.status >= 500 and self._admitted.route.idempotent:
            peer, step = self._granted.target, "answer"
            detail = f"status {answer.status}"
            raise TargetError(detail, step=step, peer=peer, sent=True)
        if self._admitted.stream and answer.content_type.startswith(EVENT_STREAM_TYPE):
            await self._relay_stream(answer)
        else:
            await self._relay_whole(answer)
        self.finish(TargetOutcome.DONE, answer)
        self._progress.complete = True
        self._record_event(EventKind.COMPLETED, detail=str(answer.tokens))
        self._progress.explain(
            "completed", target=self._granted.target, tokens=answer.tokens
        )

    async def _relay_stream(self, answer: TargetAnswer) -> None:
        sink = self._sink
        continuation = Continuation(sink.written) if sink.has_started else None
        async for events in answer.chunks():
            self._note_first_token()
            if continuation is not None:
                events = continuation.remove_sent(events)
                self._check_continuation(continuation)
            if not sink.has_started:
                await sink.begin(answer.status, answer.content_type)
            if events:
                await sink.write(events)
        await sink.end()

    def _check_continuation(self, continuation: Continuation) -> None:
        if not continuation.matches:
            detail = "The stream broke off, and a second answer was not the same."
            raise self._progress.failed(detail)

    async def _relay_whole(self, answer: TargetAnswer) -> None:
        """Send the answer in one piece; stream it if it is over the buffer limit."""
        parts: list[bytes] = []
        size = 0
        async for chunk in answer.chunks():
            self._note_first_token()
            parts.append(chunk)
            size += len(chunk)
            if size > MAX_BUFFERED_BYTES:
                await self._flush(answer, parts)
                parts = []
        if self._sink.has_started:
            await self._flush(answer, parts)
            await self._sink.end()
        else:
            body = b"".join(parts)
            await self._sink.send_whole(answer.status, answer.content_type, body)

    async def _flush(self, answer: TargetAnswer, parts: list[bytes]) -> None:
        if not self._sink.has_started:
            await self._sink.begin(answer.status, answer.content_type)
        for part in parts:
            await self._sink.write(part)

    def _note_first_token(self) -> None:
        if self._first_token_at is not None:
            return
        self._first_token_at = asyncio.get_running_loop().time()
        self._record_event(EventKind.FIRST_TOKEN)
        if not self._admitted.stream:
            return
        seconds = self._first_token_at - self._dispatched_at
        self._dispatch_client.tell(
            FirstTokenReceived(self._admitted.route.pool, self._granted.ask, seconds)
        )

    def _record_event(self, kind: EventKind, **fields) -> None:
        self._progress.record(
            kind, attempt=self._name, target=self._granted.target, **fields
        )
