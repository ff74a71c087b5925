"""hibiscusstep.attempt: one dispatch of a request to one target."""

import asyncio

from hibiscusstep.admission import Admitted
from hibiscusstep.configuration.models import Configuration
from hibiscusstep.continuation import Continuation
from hibiscusstep.desk import Desk
from hibiscusstep.errors import TargetError
from hibiscusstep.events import EventKind
from hibiscusstep.grants import Ended, Granted, Started
from hibiscusstep.progress import Progress
from hibiscusstep.routing.messages import GrantOutcome as Ending
from hibiscusstep.sink import Sink
from hibiscusstep.target import Answer, Order, get_target_by_kind

__all__ = ["Attempt", "TryElsewhere"]

MAX_WHOLE_BYTES = 16 << 20
STREAM_TYPE = "text/event-stream"


class TryElsewhere(Exception):
    """The attempt ended without an answer and may be repeated on another target.

    Parameters
    ----------
    failed : bool
        Whether a target failed, so that the repeat counts against the budget.
    """

    def __init__(self, failed: bool = True) -> None:
        super().__init__(failed)
        self.failed = failed


class Attempt:
    """Sends an order once and brings its answer to the caller.

    Parameters
    ----------
    name : str
        Id of the attempt, unique to this dispatch.
    admitted : Admitted
        The request.
    granted : Granted
        Where it goes.
    sink : Sink
        Where the answer goes.
    progress : Progress
        How far the request has come.
    configuration : Configuration
        In force when the request was admitted.
    desk : Desk
        Is told of the first token and of the end.
    sessions : TargetSessions
        Connections to targets.
    """

    def __init__(
        self,
        name: str,
        admitted: Admitted,
        granted: Granted,
        sink: Sink,
        progress: Progress,
        configuration: Configuration,
        desk: Desk,
        sessions,
    ) -> None:
        self._attempt = name
        self._admitted = admitted
        self._granted = granted
        self._sink = sink
        self._progress = progress
        self._configuration = configuration
        self._desk = desk
        self._sessions = sessions
        self._begun = 0.0
        self._first: float | None = None
        self._finished = False
        self._dispatched_before = False

    async def dispatch(self) -> None:
        """Send the order once and bring its answer to the caller."""
        order = self._order()
        target = self._target()
        self._begun = asyncio.get_running_loop().time()
        self._dispatched_before = self._progress.dispatched
        self._progress.dispatched = True
        self._record(EventKind.DISPATCHED)
        sent = await target.send(order)
        if sent.is_err():
            self._on_send_error(sent.unwrap_err())
        answer = sent.unwrap()
        try:
            await self._relay(answer)
        except TargetError as error:
            self._on_break(error)
        except BaseException:
            await asyncio.shield(answer.cancel())
            raise
        finally:
            answer.close()

    def finish(self, outcome: Ending, answer: Answer | None = None) -> None:
        """Give the grant back, the first time."""
        if self._finished:
            return
        self._finished = True
        now = asyncio.get_running_loop().time()
        self._desk.tell(
            Ended(
                self._admitted.route.pool,
                self._granted.ask,
                outcome,
                answer.tokens if answer else 0,
                self._seconds(now),
                answer.computed if answer else -1,
            )
        )

    def _seconds(self, now: float) -> float:
        """Return the seconds of decoding if streamed, else minus the seconds of all."""
        if self._first is None:
            return 0.0
        return now - self._first if self._admitted.stream else self._begun - now

    def _order(self) -> Order:
        admitted = self._admitted
        return Order(
            admitted.request,
            self._attempt,
            admitted.head.method,
            admitted.head.path,
            admitted.body,
            admitted.head.content_type,
            admitted.head.key,
            admitted.stream,
            admitted.route.idempotent,
            admitted.route.answer_timeout,
        )

    def _target(self):
        pool = self._configuration.pools[self._admitted.route.pool]
        name = self._granted.target
        if name not in pool.targets:
            raise TryElsewhere(failed=False)
        kind = get_target_by_kind(pool.kind)
        return kind(name, pool.targets[name].address, self._sessions)

    def _on_send_error(self, error: TargetError) -> None:
        if error.sent:
            self._on_break(error)
        self._progress.dispatched = self._dispatched_before
        self._record(EventKind.NOT_SENT, detail=error.detail)
        self._explain_error(error)
        self.finish(Ending.LEAVING if error.leaving else Ending.UNREACHABLE)
        raise TryElsewhere(failed=not error.leaving)

    def _on_break(self, error: TargetError) -> None:
        self.finish(Ending.BROKEN)
        self._explain_error(error)
        if not self._admitted.route.idempotent:
            raise self._progress.unknown(f"The target broke off: {error.detail}")
        if self._sink.begun and (self._sink.sent is None or not self._admitted.stream):
            raise self._progress.failed(f"The target broke off: {error.detail}")
        raise TryElsewhere

    def _explain_error(self, error: TargetError) -> None:
        self._progress.explain(
            "target-error", target=error.peer, step=error.step, detail=error.detail
        )

    async def _relay(self, answer: Answer) -> None:
        if answer.status >= 500 and self._admitted.route.idempotent:
            peer, step = self._granted.target, "answer"
            detail = f"status {answer.status}"
            raise TargetError(detail, step=step, peer=peer, sent=True)
        if self._admitted.stream and answer.content_type.startswith(STREAM_TYPE):
            await self._relay_stream(answer)
        else:
            await self._relay_whole(answer)
        self.finish(Ending.DONE, answer)
        self._progress.complete = True
        self._record(EventKind.COMPLETED, detail=str(answer.tokens))
        self._progress.explain(
            "completed", target=self._granted.target, tokens=answer.tokens
        )

    async def _relay_stream(self, answer: Answer) -> None:
        sink = self._sink
        again = Continuation(sink.sent) if sink.begun else None
        async for events in answer.chunks():
            self._note_first()
            if again is not None:
                events = again.rest(events)
                self._check_fits(again)
            if not sink.begun:
                await sink.begin(answer.status, answer.content_type)
            if events:
                await sink.write(events)
        await sink.end()

    def _check_fits(self, again: Continuation) -> None:
        if not again.fits:
            detail = "The stream broke off, and a second answer was not the same."
            raise self._progress.failed(detail)

    async def _relay_whole(self, answer: Answer) -> None:
        """Answer in one piece; what is too large for that is passed on as it comes."""
        parts: list[bytes] = []
        size = 0
        async for chunk in answer.chunks():
            self._note_first()
            parts.append(chunk)
            size += len(chunk)
            if size > MAX_WHOLE_BYTES:
                await self._flush(answer, parts)
                parts = []
        if self._sink.begun:
            await self._flush(answer, parts)
            await self._sink.end()
        else:
            body = b"".join(parts)
            await self._sink.whole(answer.status, answer.content_type, body)

    async def _flush(self, answer: Answer, parts: list[bytes]) -> None:
        if not self._sink.begun:
            await self._sink.begin(answer.status, answer.content_type)
        for part in parts:
            await self._sink.write(part)

    def _note_first(self) -> None:
        if self._first is not None:
            return
        self._first = asyncio.get_running_loop().time()
        self._record(EventKind.FIRST_TOKEN)
        if not self._admitted.stream:
            return
        seconds = self._first - self._begun
        self._desk.tell(Started(self._admitted.route.pool, self._granted.ask, seconds))

    def _record(self, kind: EventKind, **fields) -> None:
        self._progress.record(
            kind, attempt=self._attempt, target=self._granted.target, **fields
        )
