"""hibiscusstep.forwarding.exchange: one request, from its grant to its whole answer."""

import asyncio
import enum
from functools import cached_property

import orjson
from aiohttp import web

from hibiscusstep.dispatching import TargetLoad
from hibiscusstep.errors import TargetError
from hibiscusstep.forwarding.connections import Connection, Reply
from hibiscusstep.forwarding.crashes import BrokenRun
from hibiscusstep.forwarding.dialect import AnswerHead, Order
from hibiscusstep.forwarding.events import EventSplitter
from hibiscusstep.forwarding.incoming import Incoming, Means
from hibiscusstep.forwarding.model import (
    DiscoveredTarget,
    Repeat,
)
from hibiscusstep.forwarding.pace import Pace
from hibiscusstep.forwarding.quota_claim import QUOTA_RETRY_S
from hibiscusstep.grants import Ended, Granted, GrantRequest, Refused, Started
from hibiscusstep.log import decision
from hibiscusstep.mailbox import MailboxFull
from hibiscusstep.peer import WorkInfo
from hibiscusstep.routing import messages as m

__all__ = ["Exchange"]

MAX_WHOLE_BYTES = 16 << 20
# A dispatcher that does not know how long a request can be in time refuses it after
# this part of its objective; one that does not answer at all has somewhat longer.
PATIENCE = 0.25
# An answer that has not begun after this many times its objective will not come: a
# target that hangs is left for another one where the request may be repeated.
HANG_FACTOR = 2.0
MIN_HANG_S = 1.0
# No event for so long in the midst of a stream: its target is gone.
STREAM_GAP_S = 2.0
REPEATABLE_STATUS = 500
DEADLINE_STATUS = 504
# An instance that is cut off from the store hears of new targets from its peers.
MAX_UNKNOWN_TARGETS = 3
UNKNOWN_RETRY_S = 0.5
# Targets that are tried without being reached, beside the attempts.
MAX_UNREACHED = 4


_PROBLEM_TYPE = "application/problem+json"
_QUARANTINED = {
    "title": "This request is quarantined",
    "detail": "Targets crashed each time that they ran it, so it is sent to no other.",
}


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
        self._avoid: list[str] = []
        self._attempts = 0
        self._may_have_run = False
        self._splitter = EventSplitter()
        self._splitter.last_id = incoming.head.last_event
        self._response: web.StreamResponse | None = None
        self._kept: web.Response | None = None
        self._grant: Granted | None = None
        self._granted_at = 0.0
        self._pace = Pace(incoming.received)
        self._answer: AnswerHead | None = None

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
            if self._is_quarantined():
                return self._refuse_quarantined()
            if seconds := await self._wait_for_rests():
                return self._refused(seconds, "targets want nothing")
            reply = await self._place()
            if isinstance(reply, Refused):
                return self._refused(reply.retry_after, reply.reason)
            if self._is_quarantined():
                # The targets crashed under other attempts while this one waited.
                self._end(m.Outcome.UNUSED)
                return self._refuse_quarantined()
            target = means.targets.get(reply.target)
            if target is None:
                # The dispatcher knows a target that has not been heard of here yet.
                self._end(m.Outcome.UNUSED)
                self._avoid.append(reply.target)
                if len(self._avoid) > MAX_UNKNOWN_TARGETS:
                    return self._refused(UNKNOWN_RETRY_S, "unknown targets")
                continue
            if target.leaving:
                # It said so to this instance, or to another one, since it was granted.
                self._end(m.Outcome.LEAVING)
                self._avoid.append(target.name)
                continue
            if means.rests.is_resting(target.name, self._now()):
                # It turned another request away since this one asked.
                self._end(m.Outcome.UNUSED)
                continue
            if self._in.claim and not self._in.claim.take():
                self._end(m.Outcome.UNUSED)
                return self._refused(QUOTA_RETRY_S, "over the quota", 429)
            self._attempts += 1
            left = await self._attempt(target)
            if left is None:
                return self._response
            self._avoid.append(target.name)
            if left is _Next.UNSENT and len(self._avoid) <= MAX_UNREACHED:
                self._attempts -= 1
                continue
            if not self._may_repeat(left):
                return self._give_up(left)

    @property
    def _latest(self) -> float:
        """When a dispatcher's answer is due, on the loop's clock."""
        begun = self._now() if self._attempts else self._in.received
        patience = PATIENCE * self._in.route.objective
        return min(begun + patience, self._in.deadline)

    async def _wait_for_rests(self) -> float:
        """Wait where all targets of the pool want nothing from here for a moment.

        Returns
        -------
        float
            The seconds until one of them may be asked, where that is too long to wait;
            else 0.
        """
        means, now = self._means, self._now()
        if not means.rests.resting(now):
            return 0.0
        names = [
            name
            for name, target in means.targets.items()
            if target.pool == self._in.pool and not target.leaving
        ]
        seconds = means.rests.until_any(names, now)
        if now + seconds > self._latest:
            return seconds
        await asyncio.sleep(seconds)
        return 0.0

    async def _place(self) -> Granted | Refused:
        incoming = self._in
        head, latest = incoming.head, self._latest
        customer = incoming.customer.name if incoming.customer else ""
        begun = self._now() if self._attempts else incoming.received
        work = WorkInfo(
            "",
            head.request,
            self._means.instance,
            customer,
            str(incoming.rank),
            incoming.rank,
            head.prompt_tokens,
            max(1, head.expected_output),
            0.0,
            0.0,
            False,
            [],
            list(self._avoid),
            data_centre=self._means.data_centre,
            identity=incoming.identity,
            suspect=self._suspect(),
            resting=self._means.rests.resting(self._now()),
        )
        wanted = GrantRequest(
            incoming.pool,
            work,
            latest,
            False,
            _never_stopped,
            incoming.due,
            incoming.deadline,
        )
        try:
            reply = await self._means.desk.ask(wanted)
        except MailboxFull:
            reply = Refused(m.Reason.LOAD, 1.0)
        if isinstance(reply, Granted):
            waited = self._now() - begun
            self._means.metrics.queue_wait.observe({"pool": incoming.pool}, waited)
            self._grant = reply
            self._pace.begin_attempt()
            self._granted_at = self._now()
        return reply

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
            elif left is None and not self._means.quarantine.is_empty:
                self._means.quarantine.answered(self._fingerprint)
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
            self._note_broken(target)
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
            self._end(outcome)
            self._note_attempt(target, outcome, cause, started)

    def _is_quarantined(self) -> bool:
        """Whether targets crashed under other attempts at this request."""
        quarantine = self._means.quarantine
        return not quarantine.is_empty and quarantine.holds(self._fingerprint)

    def _suspect(self) -> int:
        """Return the fingerprint if targets crashed under this request, else 0."""
        quarantine = self._means.quarantine
        if quarantine.is_empty or not quarantine.is_suspected(self._fingerprint):
            return 0
        return self._fingerprint

    def _refuse_quarantined(self) -> web.StreamResponse:
        """Tell the caller why, and when the request would be served again."""
        seconds = self._means.quarantine.expires_in(self._fingerprint)
        problem = {**_QUARANTINED, "fingerprint": f"{self._fingerprint:016x}"}
        return self._refused(seconds, "quarantined", problem=problem)

    def _note_broken(self, target: DiscoveredTarget) -> None:
        """Hold it against the request if the target has crashed."""
        run = BrokenRun(
            self._in.head.request,
            self._fingerprint,
            began=self._granted_at,
            early=not self._pace.events,
        )
        self._means.quarantine.broke(target, run)

    def _note_attempt(self, target, outcome: m.Outcome, cause: str, started) -> None:
        metrics, pool = self._means.metrics, target.pool
        metrics.attempts.inc({"pool": pool, "outcome": outcome})
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
            fingerprint=self._shown_fingerprint(outcome),
            says_it_leaves=self._answer is not None and self._answer.leaving,
            stay_away=self._answer.stay_away if self._answer else 0.0,
            routine=outcome is m.Outcome.DONE,
        )

    def _shown_fingerprint(self, outcome: m.Outcome) -> str:
        return f"{self._fingerprint:016x}" if outcome is m.Outcome.BROKEN else ""

    @cached_property
    def _fingerprint(self) -> int:
        """What all attempts of callers at this request share."""
        return self._in.fingerprint()

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
        now = self._now()
        if self._pace.note(count, now) and self._grant is not None:
            seconds = now - self._granted_at
            self._means.desk.tell(Started(self._in.pool, self._grant.ask, seconds))

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
        if left is _Next.BROKEN and not self._may_break_another():
            return False
        self._splitter.drop_rest()
        return self._means.retries.take(self._in.pool, self._now())

    def _may_break_another(self) -> bool:
        """Whether a broken request may be sent on, as far as other attempts tell."""
        quarantine = self._means.quarantine
        return quarantine.is_empty or quarantine.may_be_repeated(self._fingerprint)

    def _give_up(self, left: _Next) -> web.StreamResponse:
        if left is _Next.FAILED and self._kept is not None:
            return self._kept
        if left in (_Next.NOT_RUN, _Next.UNSENT) and not self._may_have_run:
            return self._refused(0.2, "targets took it not")
        return self._fail(502, "no whole answer")

    def _refused(
        self,
        retry_after: float,
        reason,
        status: int = 503,
        problem: dict[str, str] | None = None,
    ) -> web.StreamResponse:
        if self._may_have_run or self._response is not None:
            why = f"refused after an attempt: {reason}"
            return self._fail(502, why, problem)
        self._log_end(status, str(reason))
        headers = {"Retry-After": f"{retry_after:.2f}"}
        return _own_answer(status, problem, headers)

    def _fail(
        self, status: int, why: str, problem: dict[str, str] | None = None
    ) -> web.StreamResponse:
        self._log_end(status, why)
        if self._response is None:
            if self._kept is not None:
                return self._kept
            return _own_answer(status, problem)
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

    def _end(self, outcome: m.Outcome) -> None:
        if self._grant is None:
            return
        ended = Ended(
            self._in.pool,
            self._grant.ask,
            outcome,
            self._pace.events,
            self._pace.decode_seconds,
            longest_pause=self._pace.longest_pause if self._attempts == 1 else 0.0,
        )
        self._grant = None
        self._means.desk.tell(ended)

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


def _own_answer(
    status: int, problem: dict[str, str] | None, headers: dict | None = None
) -> web.Response:
    """Return an answer of the instance's own; `problem` tells the caller why."""
    if problem is None:
        return web.Response(status=status, headers=headers)
    body = orjson.dumps({**problem, "status": status})
    return web.Response(
        status=status, headers=headers, body=body, content_type=_PROBLEM_TYPE
    )


def _never_stopped() -> None:
    """Nothing that runs is stopped here."""


def _serialize(incoming: Incoming, fields) -> bytes:
    request = incoming.request
    lines = [f"{request.method} {request.raw_path} HTTP/1.1".encode("latin-1")]
    lines += [name + b": " + value for name, value in fields]
    if incoming.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(b"Content-Length: %d" % len(incoming.body))
    return b"\r\n".join([*lines, b"", b""]) + incoming.body
