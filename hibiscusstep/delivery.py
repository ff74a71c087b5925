"""hibiscusstep.delivery: one accepted request, from its grant to its whole answer."""

import asyncio
import enum
import logging
from dataclasses import dataclass

from hibiscusstep.admission import Admitted
from hibiscusstep.answers import AnswerState, KeptAnswer
from hibiscusstep.configuration.models import Configuration
from hibiscusstep.continuation import Continuation
from hibiscusstep.desk import Desk, Ended, Granted, Place, Refused, Started
from hibiscusstep.errors import TargetError
from hibiscusstep.events import EventKind, NullRecorder
from hibiscusstep.explain import Explainer
from hibiscusstep.keys import KeyGuard
from hibiscusstep.mailbox import MailboxFull
from hibiscusstep.peer import WorkInfo
from hibiscusstep.problem import Outcome, Problem
from hibiscusstep.routing.messages import Outcome as Ending
from hibiscusstep.routing.messages import Reason
from hibiscusstep.sink import Sink
from hibiscusstep.target import Answer, Order, get_target_by_kind

__all__ = ["Delivery", "Services"]

_LOG = logging.getLogger(__name__)
MAX_WHOLE_BYTES = 16 << 20
STREAM_TYPE = "text/event-stream"

_REFUSALS = {
    Reason.LOAD: (503, "overloaded", "The pool cannot begin it before its deadline."),
    Reason.DEADLINE: (503, "deadline", "It could not begin before its deadline."),
    Reason.HIGHER_TIER: (503, "displaced", "Higher tiers need the whole pool."),
    Reason.IMPOSSIBLE: (
        422,
        "deadline-too-short",
        "Even an idle target would begin its answer after the deadline.",
    ),
    Reason.CUSTOMER_LIMIT: (429, "customer-limit", "Too many of your requests wait."),
    Reason.NO_TARGET: (503, "no-target", "No target of the pool takes work."),
    Reason.UNAVAILABLE: (503, "unavailable", "Part of the system cannot be reached."),
}


class _Interrupt(enum.Enum):
    NONE = enum.auto()
    CALLER_LEFT = enum.auto()
    STOPPED = enum.auto()


@dataclass(frozen=True, slots=True)
class Services:
    """What deliveries use.

    Parameters
    ----------
    name : str
        The instance.
    desk : Desk
        Gets grants.
    keys : KeyGuard
        Claims keys and fetches earlier answers.
    sessions : TargetSessions
        Connections to targets.
    recorder : NullRecorder
        Gets the history.
    explainer : Explainer
        Remembers what was decided.
    """

    name: str
    desk: Desk
    keys: KeyGuard
    sessions: object
    recorder: NullRecorder
    explainer: Explainer


class _TryElsewhere(Exception):
    """The attempt ended without an answer and may be repeated on another target."""


class Delivery:
    """Brings one request to its answer, a refusal, or an honest *unknown*.

    Parameters
    ----------
    admitted : Admitted
        The request.
    sink : Sink
        Where the answer goes.
    services : Services
        What it uses.
    configuration : Configuration
        In force when it was admitted.
    """

    def __init__(
        self,
        admitted: Admitted,
        sink: Sink,
        services: Services,
        configuration: Configuration,
    ) -> None:
        self._admitted = admitted
        self._sink = sink
        self._services = services
        self._configuration = configuration
        self._interrupt = _Interrupt.NONE
        self._scope: asyncio.Timeout | None = None
        self._dispatched = False
        self._claiming = False
        self._complete = False
        self._avoid: list[str] = []
        self._received = asyncio.get_running_loop().time()

    @property
    def admitted(self) -> Admitted:
        """The request."""
        return self._admitted

    async def run(self) -> None:
        """Do it; every path ends with one answer."""
        self._record(EventKind.RECEIVED, detail=self._admitted.head.tier)
        try:
            await self._answer()
        except ConnectionError:
            self._record(EventKind.CANCELLED, detail="caller left")
        finally:
            if self._claiming:
                self._end_claim()

    async def _answer(self) -> None:
        try:
            await self._run()
        except Problem as problem:
            self._record_problem(problem)
            await self._sink.problem(problem)
        except ConnectionError:
            raise
        except Exception:
            _LOG.exception("delivery failed", extra={"request": self.admitted.request})
            problem = self._internal()
            self._record_problem(problem)
            await self._sink.problem(problem)

    def _internal(self) -> Problem:
        detail = "An error of the scheduler itself; it is in its log."
        if not self._dispatched:
            return Problem(500, "internal", detail, Outcome.NOT_RUN, 1.0)
        idempotent = self._admitted.route.idempotent
        outcome = Outcome.FAILED if idempotent else Outcome.UNKNOWN
        return Problem(500, "internal", detail, outcome)

    def _end_claim(self) -> None:
        sink = self._sink
        kept = None
        if self._complete and sink.sent is not None:
            kept = KeptAnswer(
                AnswerState.KEPT, sink.status, sink.content_type, sink.sent
            )
        self._services.keys.end(self._admitted, self._dispatched, kept)

    def caller_left(self) -> None:
        """Go on without the caller if the answer is kept for a repeat, else end."""
        self._sink.detached = True
        if not (self._admitted.keyed and self._dispatched):
            self._end_now(_Interrupt.CALLER_LEFT)

    def stop(self) -> None:
        """End to make way for a higher tier."""
        self._end_now(_Interrupt.STOPPED)

    def _end_now(self, why: _Interrupt) -> None:
        if self._interrupt is _Interrupt.NONE:
            self._interrupt = why
        if self._scope is not None:
            self._scope.reschedule(asyncio.get_running_loop().time())

    async def _run(self) -> None:
        admitted = self._admitted
        try:
            async with asyncio.timeout(admitted.route.answer_timeout) as self._scope:
                if admitted.keyed and await self._answered_before():
                    return
                for number in range(1, admitted.route.max_attempts + 1):
                    if await self._attempt(number):
                        return
        except TimeoutError:
            raise self._interrupted() from None
        finally:
            self._scope = None
        raise self._failed("No target gave a whole answer.")

    async def _answered_before(self) -> bool:
        """Answer from an earlier attempt with the key, if there was one."""
        earlier = await self._services.keys.look_up(self._admitted)
        return earlier is not None and await self._replay(earlier)

    async def _replay(self, earlier) -> bool:
        self._explain("replayed", state=earlier.state)
        await self._sink.whole(
            earlier.status,
            earlier.content_type,
            earlier.body,
            **{"Idempotency-Replayed": "true"},
        )
        self._record(EventKind.ANSWERED, detail="replayed")
        return True

    async def _attempt(self, number: int) -> bool:
        """Try one target; False if another may be tried."""
        granted = await self._place()
        attempt = f"{self._admitted.request}.{number}"
        run = _Run(self, granted, attempt)
        try:
            if self._admitted.keyed:
                self._claiming = True
                earlier = await self._services.keys.claim(self._admitted)
                if earlier is not None:
                    run.finish(Ending.UNUSED)
                    return await self._replay(earlier)
            await run.dispatch()
            return True
        except _TryElsewhere:
            self._avoid.append(granted.target)
            return False
        finally:
            run.finish(Ending.CANCELLED if self._dispatched else Ending.UNUSED)

    async def _place(self) -> Granted:
        admitted = self._admitted
        rule = self._configuration.rule(admitted.tier)
        place = Place(
            admitted.route.pool,
            self._work(rule),
            self._received + admitted.route.deadline,
            not rule.may_be_shed,
            self.stop,
        )
        self._record(EventKind.QUEUED)
        try:
            reply = await self._services.desk.ask(place)
        except MailboxFull:
            reply = Refused(Reason.LOAD, 1.0)
        if isinstance(reply, Refused):
            self._explain("refused", reason=reply.reason, retry_after=reply.retry_after)
            raise self._refusal(reply)
        self._explain("granted", target=reply.target)
        return reply

    def _work(self, rule) -> WorkInfo:
        admitted = self._admitted
        return WorkInfo(
            "",
            admitted.request,
            self._services.name,
            admitted.customer,
            admitted.tier,
            admitted.rank,
            admitted.prompt_tokens,
            admitted.output_tokens,
            0.0,
            0.0,
            admitted.route.idempotent and rule.may_be_stopped,
            list(admitted.prefixes),
            list(self._avoid),
        )

    def _refusal(self, refused: Refused) -> Problem:
        if self._dispatched and not self._admitted.route.idempotent:
            return self._unknown("It was sent to a target that gave no whole answer.")
        status, name, detail = _REFUSALS[refused.reason]
        if self._dispatched:
            detail = f"An attempt broke off, and then: {detail}"
            return Problem(status, name, detail, Outcome.FAILED, refused.retry_after)
        after = None if refused.reason is Reason.IMPOSSIBLE else refused.retry_after
        return Problem(status, name, detail, Outcome.NOT_RUN, after)

    def _interrupted(self) -> Problem:
        if self._dispatched and not self._admitted.route.idempotent:
            return self._unknown("It was sent to a target and then given up.")
        outcome = Outcome.FAILED if self._dispatched else Outcome.NOT_RUN
        if self._interrupt is _Interrupt.STOPPED:
            self._record(EventKind.STOPPED)
            detail = "It was stopped for a higher tier before its answer was whole."
            return Problem(503, "stopped", detail, outcome, 1.0)
        if self._interrupt is _Interrupt.CALLER_LEFT:
            return Problem(499, "caller-left", "The caller left.", outcome)
        return Problem(504, "answer-timeout", "The answer took too long.", outcome, 1.0)

    def _failed(self, detail: str) -> Problem:
        if not self._admitted.route.idempotent and self._dispatched:
            return self._unknown(detail)
        outcome = Outcome.FAILED if self._dispatched else Outcome.NOT_RUN
        return Problem(502, "target-failed", detail, outcome, 1.0)

    def _unknown(self, detail: str) -> Problem:
        return Problem(502, "outcome-unknown", detail, Outcome.UNKNOWN)

    def _record_problem(self, problem: Problem) -> None:
        kinds = {
            Outcome.NOT_RUN: EventKind.REFUSED,
            Outcome.UNKNOWN: EventKind.UNKNOWN,
            Outcome.FAILED: EventKind.FAILED,
        }
        self._record(kinds[problem.outcome], detail=problem.name)
        self._explain(problem.outcome, problem=problem.name, detail=problem.detail)

    def _record(self, kind: EventKind, **fields) -> None:
        admitted = self._admitted
        self._services.recorder.record(
            kind,
            request=admitted.request,
            customer=admitted.customer,
            key=admitted.digest.hex() if admitted.keyed else "",
            pool=admitted.route.pool,
            tier=admitted.tier,
            rank=admitted.rank,
            stoppable=admitted.route.idempotent
            and self._configuration.rule(admitted.tier).may_be_stopped,
            idempotent=admitted.route.idempotent,
            **fields,
        )

    def _explain(self, what: str, **fields) -> None:
        self._services.explainer.note(
            self._admitted.request, self._admitted.customer, what, **fields
        )


class _Run:
    """One dispatch of a delivery to one target."""

    def __init__(self, delivery: Delivery, granted: Granted, attempt: str) -> None:
        self._delivery = delivery
        self._admitted = delivery._admitted
        self._sink = delivery._sink
        self._services = delivery._services
        self._granted = granted
        self._attempt = attempt
        self._begun = 0.0
        self._first: float | None = None
        self._finished = False
        self._dispatched_before = False

    async def dispatch(self) -> None:
        """Send the order once and bring its answer to the caller."""
        order = self._order()
        target = self._target()
        self._begun = asyncio.get_running_loop().time()
        self._dispatched_before = self._delivery._dispatched
        self._delivery._dispatched = True
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
        self._services.desk.tell(
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
        pool = self._delivery._configuration.pools[self._admitted.route.pool]
        name = self._granted.target
        if name not in pool.targets:
            raise _TryElsewhere
        kind = get_target_by_kind(pool.kind)
        return kind(name, pool.targets[name].address, self._services.sessions)

    def _on_send_error(self, error: TargetError) -> None:
        if error.sent:
            self._on_break(error)
        self._delivery._dispatched = self._dispatched_before
        self._record(EventKind.NOT_SENT, detail=error.detail)
        self._explain_error(error)
        self.finish(Ending.LEAVING if error.leaving else Ending.UNREACHABLE)
        raise _TryElsewhere

    def _on_break(self, error: TargetError) -> None:
        self.finish(Ending.BROKEN)
        self._explain_error(error)
        if not self._admitted.route.idempotent:
            raise self._delivery._unknown(f"The target broke off: {error.detail}")
        if self._sink.begun and (self._sink.sent is None or not self._admitted.stream):
            raise self._delivery._failed(f"The target broke off: {error.detail}")
        raise _TryElsewhere

    def _explain_error(self, error: TargetError) -> None:
        self._delivery._explain(
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
        self._delivery._complete = True
        self._record(EventKind.COMPLETED, detail=str(answer.tokens))
        self._delivery._explain(
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
            raise self._delivery._failed(detail)

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
        self._services.desk.tell(
            Started(self._admitted.route.pool, self._granted.ask, seconds)
        )

    def _record(self, kind: EventKind, **fields) -> None:
        self._delivery._record(
            kind, attempt=self._attempt, target=self._granted.target, **fields
        )
