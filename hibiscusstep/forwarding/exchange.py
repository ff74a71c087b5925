"""hibiscusstep.forwarding.exchange: one request, from its grant to its whole answer."""

import asyncio
import enum

from aiohttp import web

from hibiscusstep.dispatcher_host import TargetLoad
from hibiscusstep.errors import TargetError
from hibiscusstep.forwarding.connections import Connection, Reply
from hibiscusstep.forwarding.dialect import AnswerHead, Order
from hibiscusstep.forwarding.events import EventSplitter
from hibiscusstep.forwarding.incoming import Incoming, Means
from hibiscusstep.forwarding.model import (
    DiscoveredTarget,
    Repeat,
)
from hibiscusstep.forwarding.own_answer import own_answer
from hibiscusstep.forwarding.pace import Pace
from hibiscusstep.forwarding.placement import Placement, Refusal
from hibiscusstep.forwarding.standing import Standing
from hibiscusstep.log import decision
from hibiscusstep.routing import messages as m

__all__ = ["Exchange"]

MAX_WHOLE_BYTES = 16 << 20
# An answer that has not begun after this many times its objective will not come: a
# target that hangs is left for another one where the request may be repeated.
HANG_FACTOR = 2.0
MIN_HANG_S = 1.0
# No event for so long in the midst of a stream: its target is gone.
STREAM_GAP_S = 2.0
REPEATABLE_STATUS = 500
DEADLINE_STATUS = 504
# Another target, or the same one a moment later, may take what some did not.
NOT_TAKEN_RETRY_S = 0.2
# Targets that are tried without being reached, beside the attempts.
MAX_UNREACHED = 4


class _Next(enum.Enum):
    """What an attempt that gave no whole answer leaves open."""

    UNSENT = "the target could not be reached"
    NOT_RUN = "the target did not run it"
    BROKEN = "it may have run"
    FAILED = "the target answered with a failure"


class _Spoilt(Exception):
    """The target's bytes are not the answer to this request."""


class _CallerLeft(Exception):
    """The caller's connection is closed."""


class Exchange:
    """Brings one request to its answer or to an honest failure.

    Parameters
    ----------
    incoming : Incoming
        The request.
    means : Means
        What it uses.
    """

    def __init__(self, incoming: Incoming, means: Means) -> None:
        self._in = incoming
        self._means = means
        self._attempts = 0
        self._may_have_run = False
        self._splitter = EventSplitter()
        self._splitter.last_id = incoming.head.last_event
        self._response: web.StreamResponse | None = None
        self._kept: web.Response | None = None
        self._pace = Pace(incoming.received)
        self._answer: AnswerHead | None = None
        self._standing = Standing(incoming, means.quarantine)
        self._placement = Placement(incoming, means, self._standing)

    async def run(self) -> web.StreamResponse:
        """Return the response, sent or to be sent."""
        try:
            response = await self._run_in_time()
        except asyncio.CancelledError:
            self._log_end(499, "caller left")
            raise
        self._count(response.status)
        return response

    async def _run_in_time(self) -> web.StreamResponse:
        try:
            async with asyncio.timeout_at(self._in.deadline):
                return await self._run()
        except TimeoutError:
            return self._fail(504, "timeout")

    def _count(self, status: int) -> None:
        metrics, route = self._means.metrics, {"route": self._in.route.name}
        labels = {**route, "rank": str(self._in.rank), "status": str(status)}
        metrics.requests.inc(labels)
        if self._attempts:
            first = self._pace.first_event or self._now() - self._in.received
            metrics.first_event.observe(route, first)
            metrics.pause.observe(route, self._pace.longest_pause)

    async def _run(self) -> web.StreamResponse:
        means, pool = self._means, self._in.pool
        means.retries.first_try(pool, self._now())
        while True:
            target = await self._placement.find_target(repeats=self._attempts > 0)
            if isinstance(target, Refusal):
                return self._refused(target)
            self._attempts += 1
            self._pace.begin_attempt()
            left = await self._attempt(target)
            if left is None:
                return self._response
            tried = self._placement.avoid(target)
            if left is _Next.UNSENT and tried <= MAX_UNREACHED:
                self._attempts -= 1
                continue
            if not self._may_repeat(left):
                return self._give_up(left)

    async def _attempt(self, target: DiscoveredTarget) -> _Next | None:
        """Send the request to a target; None once the answer has been passed on."""
        connection = None
        self._answer = None
        outcome = m.Outcome.CANCELLED
        started = self._now()
        cause = ""
        may_have_run_before = self._may_have_run
        try:
            connection = await self._means.connections.acquire(
                target.name, target.address
            )
            reply, answer = await self._send(connection, target)
            left = await self._take(connection, reply, answer, target)
            outcome = _OUTCOMES[left]
            if left is None and _is_failure(reply.message.code):
                outcome = m.Outcome.FAILED
            elif left is None:
                self._standing.answered()
            if left is _Next.NOT_RUN:
                self._may_have_run = may_have_run_before
                if answer.misdirected:
                    outcome = m.Outcome.LEAVING
            return left
        except TargetError as error:
            cause = str(error)
            if not error.sent:
                outcome = m.Outcome.UNREACHABLE
                return _Next.UNSENT
            outcome = m.Outcome.BROKEN
            self._standing.broke(
                target, self._placement.granted_at, not self._pace.events
            )
            return _Next.BROKEN
        except (_Spoilt, TimeoutError) as error:
            if self._now() >= self._in.deadline:
                raise
            cause = str(error) or "hangs"
            outcome = m.Outcome.BROKEN
            return _Next.BROKEN
        except _CallerLeft:
            cause = "caller left"
            self._response = self._response or web.Response(status=499)
            return None
        finally:
            if connection is not None and outcome not in _READ_WHOLE:
                connection.abort()
            self._placement.end(outcome, self._pace, self._attempts == 1)
            self._note_attempt(target, outcome, cause, started)

    def _note_attempt(self, target, outcome: m.Outcome, cause: str, started) -> None:
        metrics, pool = self._means.metrics, target.pool
        broken = outcome is m.Outcome.BROKEN
        version = target.version
        metrics.attempts.inc({"pool": pool, "version": version, "outcome": outcome})
        if self._attempts > 1:
            metrics.repeats.inc({"pool": pool})
        decision(
            "attempt",
            request=self._in.head.request,
            target=target.name,
            address=target.address,
            pool=pool,
            route=self._in.route.name,
            rank=self._in.rank,
            number=self._attempts,
            outcome=outcome,
            cause=cause,
            seconds=round(self._now() - started, 4),
            waited=round(started - self._in.received, 4),
            due_in=round(self._in.due - self._in.received, 3),
            max_pause=self._in.route.max_pause,
            events=self._splitter.count,
            last_event=self._splitter.last_id,
            first_event=round(self._pace.first_event, 4),
            longest_pause=round(self._pace.longest_pause, 4),
            tokens=self._in.head.prompt_tokens,
            customer=self._in.customer.name if self._in.customer else "",
            counted=self._in.claim.tokens if self._in.claim else 0,
            target_revision=target.revision,
            version=target.version,
            fingerprint=self._standing.fingerprint if broken else "",
            says_it_leaves=self._answer is not None and self._answer.leaving,
            stay_away=self._answer.stay_away if self._answer else 0.0,
            routine=outcome is m.Outcome.DONE,
        )

    async def _send(
        self, connection: Connection, target: DiscoveredTarget
    ) -> tuple[Reply, AnswerHead]:
        """Send the request and return the head of its own answer."""
        incoming, dialect = self._in, self._means.dialect
        customer = incoming.customer.name if incoming.customer else ""
        order = Order(
            target.id,
            customer,
            incoming.deadline - self._now(),
            self._splitter.last_id,
        )
        fields = dialect.order_fields(incoming.request.raw_headers, order)
        if incoming.claim:
            incoming.claim.use()
        connection.begin()
        connection.write(_serialize(incoming, fields))
        self._may_have_run = True
        async with asyncio.timeout(self._hang_limit()):
            while True:
                reply = await connection.next_reply()
                answer = dialect.read_answer(reply.message.code, reply.message.headers)
                if answer.leaving and not target.leaving:
                    self._means.on_leaving(target)
                if answer.request == incoming.head.request:
                    self._answer = answer
                    self._report(target, answer)
                    if answer.stay_away:
                        self._means.rests.rest(
                            target.name, answer.stay_away, self._now()
                        )
                    return reply, answer
                # The answer to an earlier request on this connection.
                await self._drain(reply)

    async def _take(
        self,
        connection: Connection,
        reply: Reply,
        answer: AnswerHead,
        target: DiscoveredTarget,
    ) -> _Next | None:
        status = reply.message.code
        if answer.not_run:
            await self._drain(reply)
            return _Next.NOT_RUN
        if status < 300 and (not answer.sealed or answer.encoded):
            raise _Spoilt("no answer of the target")
        if self._in.route.streaming and status < 300:
            await self._relay_events(reply)
        else:
            body = await self._read_whole(reply)
            if status >= REPEATABLE_STATUS and self._in.route.repeat is Repeat.WHOLE:
                self._keep(connection, reply, answer, target)
                self._kept = self._whole(reply, body)
                return _Next.FAILED
            if self._response is not None:
                raise _Spoilt("a failure in the midst of a stream")
            self._response = self._whole(reply, body)
        self._keep(connection, reply, answer, target)
        return None

    def _keep(self, connection, reply, answer, target) -> None:
        if reply.message.should_close or answer.leaving:
            connection.abort()
        else:
            self._means.connections.release(
                target.name, connection, answer.idle_timeout
            )

    async def _drain(self, reply: Reply) -> None:
        while not reply.body.at_eof():
            await reply.body.readany()

    async def _read_whole(self, reply: Reply) -> bytes:
        parts = []
        size = 0
        while True:
            async with asyncio.timeout(self._hang_limit()):
                part = await reply.body.readany()
            if not part and reply.body.at_eof():
                return b"".join(parts)
            parts.append(part)
            size += len(part)
            if size > MAX_WHOLE_BYTES:
                raise _Spoilt("too long")

    def _whole(self, reply: Reply, body: bytes) -> web.Response:
        response = web.Response(status=reply.message.code, body=body)
        self._copy_fields(reply, response)
        return response

    async def _relay_events(self, reply: Reply) -> None:
        """Pass whole events on as they come."""
        splitter = self._splitter
        limit = self._hang_limit()
        while True:
            async with asyncio.timeout(limit):
                data = await reply.body.readany()
            if not data and reply.body.at_eof():
                break
            before = splitter.count
            whole = splitter.feed(data)
            if whole:
                await self._pass_on(reply, whole)
            if splitter.count > before:
                self._note_events(splitter.count - before)
                limit = STREAM_GAP_S if self._repeatable else None
        await self._pass_on(reply, splitter.rest)
        splitter.drop_rest()
        await self._to_caller(self._response.write_eof())

    def _note_events(self, count: int) -> None:
        """Measure the pace; tell the dispatcher when the prompt has been read."""
        if self._pace.note(count, self._now()):
            self._placement.begun()

    async def _pass_on(self, reply: Reply, data: bytes) -> None:
        if self._response is None:
            response = web.StreamResponse(status=reply.message.code)
            self._copy_fields(reply, response)
            self._response = response
            await self._to_caller(response.prepare(self._in.request))
        if data:
            await self._to_caller(self._response.write(data))

    async def _to_caller(self, sending) -> None:
        try:
            await sending
        except ConnectionError:
            raise _CallerLeft from None

    def _copy_fields(self, reply: Reply, response: web.StreamResponse) -> None:
        for name, value in self._means.dialect.answer_fields(reply.message.raw_headers):
            if name.lower() == "content-type":
                response.headers[name] = value
            else:
                response.headers.add(name, value)

    @property
    def _repeatable(self) -> bool:
        route = self._in.route
        return (
            route.repeat is not Repeat.NEVER
            and self._attempts < route.max_attempts
            and self._means.retries.left(self._in.pool, self._now()) >= 1
        )

    def _hang_limit(self) -> float | None:
        """Return the seconds to wait for a sign of life where others may be tried."""
        if not self._repeatable:
            return None
        return max(MIN_HANG_S, HANG_FACTOR * self._in.route.objective)

    def _may_repeat(self, left: _Next) -> bool:
        route = self._in.route
        if self._attempts >= route.max_attempts:
            return False
        if left in (_Next.BROKEN, _Next.FAILED) and route.repeat is Repeat.NEVER:
            return False
        if self._response is not None and route.repeat is not Repeat.RESUME:
            return False
        if left is _Next.BROKEN and not self._standing.may_be_repeated:
            return False
        self._splitter.drop_rest()
        return self._means.retries.take(self._in.pool, self._now())

    def _give_up(self, left: _Next) -> web.StreamResponse:
        if left is _Next.FAILED and self._kept is not None:
            return self._kept
        if left in (_Next.NOT_RUN, _Next.UNSENT) and not self._may_have_run:
            return self._refused(Refusal(NOT_TAKEN_RETRY_S, "targets took it not"))
        return self._fail(502, "no whole answer")

    def _refused(self, refusal: Refusal) -> web.StreamResponse:
        if self._may_have_run or self._response is not None:
            why = f"refused after an attempt: {refusal.reason}"
            return self._fail(502, why, refusal.problem)
        self._log_end(refusal.status, refusal.reason)
        return own_answer(refusal.status, refusal.problem, refusal.retry_after)

    def _fail(
        self, status: int, why: str, problem: dict[str, str] | None = None
    ) -> web.StreamResponse:
        self._log_end(status, why)
        if self._response is None:
            if self._kept is not None:
                return self._kept
            return own_answer(status, problem)
        transport = self._in.request.transport
        if transport is not None:
            transport.abort()
        return self._response

    def _log_end(self, status: int, why: str) -> None:
        decision(
            "given-up",
            request=self._in.head.request,
            pool=self._in.pool,
            route=self._in.route.name,
            rank=self._in.rank,
            status=status,
            why=why,
            attempts=self._attempts,
            seconds=round(self._now() - self._in.received, 4),
        )

    def _report(self, target: DiscoveredTarget, answer: AnswerHead) -> None:
        if answer.running >= 0:
            report = m.LoadReport(target.name, answer.running, answer.waiting, False)
            self._means.dispatching.tell(TargetLoad(target.pool, report))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


_OUTCOMES = {
    None: m.Outcome.DONE,
    _Next.FAILED: m.Outcome.FAILED,
    _Next.NOT_RUN: m.Outcome.REJECTED,
    _Next.BROKEN: m.Outcome.BROKEN,
}


# After these the connection has been given back.
_READ_WHOLE = (m.Outcome.DONE, m.Outcome.FAILED)


def _is_failure(status: int) -> bool:
    """Whether a target answered that it failed; 504 is the caller's deadline."""
    return status >= REPEATABLE_STATUS and status != DEADLINE_STATUS


def _serialize(incoming: Incoming, fields) -> bytes:
    request = incoming.request
    lines = [f"{request.method} {request.raw_path} HTTP/1.1".encode("latin-1")]
    lines += [name + b": " + value for name, value in fields]
    if incoming.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(b"Content-Length: %d" % len(incoming.body))
    return b"\r\n".join([*lines, b"", b""]) + incoming.body
