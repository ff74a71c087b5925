"""hibiscusstep.forwarding.exchange: forwards one request to targets."""

import asyncio
import enum

from aiohttp import web

from hibiscusstep.dispatcher_host import TargetLoad
from hibiscusstep.errors import TargetError
from hibiscusstep.forwarding.buffer_budget import WINDOW_BYTES, BufferKind
from hibiscusstep.forwarding.caller_connection import CollectedResponse
from hibiscusstep.forwarding.caller_waits import CallerWaits
from hibiscusstep.forwarding.connections import Connection, Framing, TargetResponse
from hibiscusstep.forwarding.dialect import TargetRequestHead, TargetResponseHead
from hibiscusstep.forwarding.event_splitter import EventSplitter
from hibiscusstep.forwarding.grant_client import GrantClient, Refusal
from hibiscusstep.forwarding.incoming_request import ForwardingContext, IncomingRequest
from hibiscusstep.forwarding.local_response import local_response
from hibiscusstep.forwarding.model import (
    DiscoveredTarget,
    RetryMode,
)
from hibiscusstep.forwarding.quarantine_status import QuarantineStatus
from hibiscusstep.forwarding.stream_timing import StreamTiming
from hibiscusstep.forwarding.suspect_parts import SOUND_AFTER_S
from hibiscusstep.log import decision
from hibiscusstep.routing import messages as m

__all__ = ["Exchange"]

MAX_BODY_BYTES = 16 << 20
# Characters of a caller's id that are logged.
MAX_LOGGED_ID = 64
# Late responses to earlier requests that are discarded on a connection. It carries one
# request at a time, so few can be due.
MAX_STALE_RESPONSES = 4
EVENT_STREAM = "text/event-stream"
# A target that has sent nothing after this many times the route's objective is taken to
# hang. Another target is tried if the request may be retried.
SILENCE_FACTOR = 2.0
# Sound targets may pause for a second or so beyond the time that their work takes. The
# request would run twice if another target were tried within a pause.
MAX_SOUND_PAUSE_S = 1.5
MIN_SERVER_ERROR_STATUS = 500
GATEWAY_TIMEOUT_STATUS = 504
# Retry-After where every tried target rejected the request; one may accept it soon.
REJECTED_RETRY_AFTER_S = 0.2
# Retry-After where no target can be reached, directly or through others. Lost paths are
# tried again at about this interval.
UNREACHABLE_RETRY_AFTER_S = 0.5
# An unreachable target does not count as an attempt until a request avoids more targets
# than this.
MAX_UNREACHABLE_TARGETS = 4


class _AttemptFailure(enum.Enum):
    """How an attempt failed to return a complete response."""

    NOT_SENT = "the target could not be reached"
    NOT_RUN = "the target did not run the request"
    BROKEN = "the request may have run"
    FAILED = "the target responded with a server error"


class _InvalidResponse(Exception):
    """The target sent something other than a valid response to this request."""


class _CallerDisconnected(Exception):
    """The caller's connection is closed."""


class Exchange:
    """Forwards one request until it has a complete response or has failed.

    Parameters
    ----------
    incoming : IncomingRequest
        The request.
    context : ForwardingContext
        Services shared by all exchanges.
    """

    def __init__(self, incoming: IncomingRequest, context: ForwardingContext) -> None:
        self._incoming = incoming
        self._context = context
        self._attempts = 0
        self._may_have_run = False
        self._splitter = EventSplitter()
        self._splitter.last_id = incoming.head.last_event_id
        self._response: web.StreamResponse | None = None
        self._last_failure_response: web.StreamResponse | None = None
        self._account = incoming.account
        self._connection: Connection | None = None
        self._caller_waits = CallerWaits()
        self._timing = StreamTiming(incoming.received)
        self._response_head: TargetResponseHead | None = None
        self._framing = ""
        self._incomplete_bytes = 0
        # Id of the event after which the last attempt resumed the stream.
        self._resumed_after = ""
        # Software version of the last attempt's target.
        self._target_version = ""
        # Whether the retry budget allowed an attempt that has not been sent yet.
        self._has_waiting_retry = False
        self._quarantine_status = QuarantineStatus(incoming, context.quarantine)
        self._grants = GrantClient(incoming, context, self._quarantine_status)

    async def run(self) -> web.StreamResponse:
        """Return the response; a stream's has been sent already."""
        try:
            response = await self._run_with_deadline()
        except asyncio.CancelledError:
            why = self._incoming.caller.cut_off_reason
            self._log_failure(499, f"cut off: {why}" if why else "caller disconnected")
            raise
        finally:
            if self._has_waiting_retry:
                self._context.retries.release(self._incoming.pool)
        self._record_metrics(response.status)
        return response

    async def _run_with_deadline(self) -> web.StreamResponse:
        try:
            async with asyncio.timeout_at(self._incoming.deadline):
                return await self._run()
        except TimeoutError:
            return self._fail(504, "timeout")

    def _record_metrics(self, status: int) -> None:
        metrics, route = self._context.metrics, {"route": self._incoming.route.name}
        labels = {**route, "rank": str(self._incoming.rank), "status": str(status)}
        metrics.requests.inc(labels)
        if self._attempts:
            first = self._timing.first_event or self._now() - self._incoming.received
            metrics.first_event.observe(route, first)
            metrics.stream_pause.observe(route, self._timing.longest_pause)

    async def _run(self) -> web.StreamResponse:
        context, pool = self._context, self._incoming.pool
        context.retries.record_request(pool, self._now())
        while True:
            target = await self._grants.acquire_target(is_retry=self._attempts > 0)
            if isinstance(target, Refusal):
                return self._refuse(target)
            self._attempts += 1
            self._timing.begin_attempt()
            self._quarantine_status.begin_attempt()
            failure = await self._attempt(target)
            if failure is None:
                return self._response
            avoided = self._grants.avoid(target)
            is_unreachable = failure is _AttemptFailure.NOT_SENT
            if is_unreachable and context.paths.reaches_nothing:
                reason = "neither this instance nor others reach the targets"
                return self._refuse(Refusal(UNREACHABLE_RETRY_AFTER_S, reason))
            if is_unreachable and avoided <= MAX_UNREACHABLE_TARGETS:
                self._attempts -= 1
                continue
            if not self._may_retry(failure):
                return self._respond_to_failure(failure)

    async def _attempt(self, target: DiscoveredTarget) -> _AttemptFailure | None:
        """Send the request to a target; return None if a response was relayed."""
        connection = None
        self._response_head = None
        self._framing, self._incomplete_bytes = "", 0
        self._resumed_after = self._splitter.last_id
        self._target_version = target.version
        self._caller_waits = CallerWaits()
        outcome = m.GrantOutcome.CANCELLED
        started = self._now()
        cause = ""
        in_path = False
        may_have_run_earlier = self._may_have_run
        try:
            connection = await self._context.connections.acquire(
                target.name, target.address
            )
            self._connection = self._grants.connection = connection
            target_response, response_head = await self._send(connection, target)
            failure = await self._relay_response(
                connection, target_response, response_head, target
            )
            outcome = _OUTCOMES[failure]
            if failure is None and _is_target_failure(target_response.message.code):
                outcome = m.GrantOutcome.FAILED
            elif failure is None:
                self._quarantine_status.record_answer(self._grants.granted_at)
            if failure is _AttemptFailure.NOT_RUN:
                self._may_have_run = may_have_run_earlier
                if response_head.misdirected:
                    outcome = m.GrantOutcome.LEAVING
            return failure
        except TargetError as error:
            failed_at = self._now()
            cause = str(error)
            in_path = error.in_path
            if not error.sent:
                unused, failed = m.GrantOutcome.UNUSED, m.GrantOutcome.UNREACHABLE
                outcome = unused if in_path else failed
                return _AttemptFailure.NOT_SENT
            if self._caller_waits.excuse_break(self._now()):
                return _AttemptFailure.BROKEN
            in_path = in_path or await self._is_path_lost(connection, target)
            if in_path:
                return _AttemptFailure.BROKEN
            outcome = m.GrantOutcome.BROKEN
            since_first = self._timing.seconds_since_first(failed_at)
            self._quarantine_status.record_interruption(
                target,
                self._grants.granted_at,
                since_first if self._timing.events else None,
            )
            return _AttemptFailure.BROKEN
        except (_InvalidResponse, TimeoutError) as error:
            if self._now() >= self._incoming.deadline:
                raise
            cause = str(error) or "hangs"
            if isinstance(error, TimeoutError):
                in_path = await self._is_path_lost(connection, target)
            if in_path:
                return _AttemptFailure.BROKEN
            outcome = m.GrantOutcome.BROKEN
            return _AttemptFailure.BROKEN
        except _CallerDisconnected:
            cause = "caller disconnected"
            self._response = self._response or web.Response(status=499)
            return None
        finally:
            if connection is not None and outcome not in _CONNECTION_RELEASED:
                is_silent = connection.is_reused and self._response_head is None
                if is_silent and outcome is m.GrantOutcome.CANCELLED and not in_path:
                    # The connection may hang since the path is lost.
                    self._context.connections.check_path(target.name, target.address)
                connection.abort()
            distorted = self._caller_waits.distort_rate(self._now() - started)
            timing = None if distorted else self._timing
            self._grants.release_grant(
                outcome, timing, self._attempts == 1, in_path=in_path
            )
            via = connection.via if connection else ""
            self._record_attempt(target, outcome, cause, started, via, in_path)

    async def _is_path_lost(
        self, connection: Connection, target: DiscoveredTarget
    ) -> bool:
        """Whether an attempt failed since this instance does not reach the target."""
        if connection.via:
            return False
        connections = self._context.connections
        return await connections.is_path_lost(target.name, target.address)

    def _record_attempt(
        self,
        target,
        outcome: m.GrantOutcome,
        cause: str,
        started: float,
        via: str,
        in_path: bool,
    ) -> None:
        metrics, pool = self._context.metrics, target.pool
        broken = outcome is m.GrantOutcome.BROKEN
        version = target.version
        metrics.attempts.inc({"pool": pool, "version": version, "outcome": outcome})
        if self._attempts > 1:
            metrics.repeats.inc({"pool": pool})
        decision(
            "attempt",
            request=self._incoming.head.request,
            target=target.name,
            address=target.address,
            pool=pool,
            route=self._incoming.route.name,
            rank=self._incoming.rank,
            number=self._attempts,
            outcome=outcome,
            cause=cause,
            in_path=in_path,
            via=via,
            seconds=round(self._now() - started, 4),
            waited=round(started - self._incoming.received, 4),
            due_in=round(self._incoming.due - self._incoming.received, 3),
            max_pause=self._incoming.route.max_pause,
            events=self._splitter.count,
            resumed_after=self._resumed_after,
            resumed_request=self._incoming.head.resumed_request[:MAX_LOGGED_ID],
            last_event=self._splitter.last_id,
            framing=self._framing,
            incomplete=self._incomplete_bytes,
            first_event=round(self._timing.first_event, 4),
            longest_pause=round(self._timing.longest_pause, 4),
            tokens=self._incoming.head.prompt_tokens,
            customer=self._incoming.customer.name if self._incoming.customer else "",
            counted=self._incoming.quota_request.tokens
            if self._incoming.quota_request
            else 0,
            target_revision=target.revision,
            version=target.version,
            fingerprint=self._quarantine_status.fingerprint if broken else "",
            parts=self._quarantine_status.parts if broken else [],
            says_it_leaves=self._response_head is not None
            and self._response_head.leaving,
            stay_away=self._response_head.retry_after if self._response_head else 0.0,
            rate_limit=self._response_head.rate_limit if self._response_head else None,
            pace=self._response_head.pace if self._response_head else 0.0,
            routine=outcome is m.GrantOutcome.DONE,
        )

    async def _send(
        self, connection: Connection, target: DiscoveredTarget
    ) -> tuple[TargetResponse, TargetResponseHead]:
        """Send the request and return the response to it, with its parsed head."""
        incoming, dialect = self._incoming, self._context.dialect
        customer = incoming.customer.name if incoming.customer else ""
        target_head = TargetRequestHead(
            target.id,
            customer,
            incoming.deadline - self._now(),
            self._splitter.last_id,
        )
        fields = dialect.target_request_fields(
            incoming.request.raw_headers, target_head
        )
        if incoming.quota_request:
            incoming.quota_request.commit()
        if self._has_waiting_retry:
            self._has_waiting_retry = False
            self._context.retries.record_sent(incoming.pool, self._now())
        connection.begin(self._account, self._context.buffers.window)
        for part in _serialize_request(incoming, fields):
            connection.write(part, is_counted=part is incoming.body)
        self._may_have_run = True
        async with asyncio.timeout(self._silence_timeout()):
            for _ in range(1 + MAX_STALE_RESPONSES):
                target_response = await connection.next_response()
                response_head = dialect.read_response(
                    target_response.message.code, target_response.message.headers
                )
                is_own = response_head.request == incoming.head.request
                self._context.announcements.read(target, response_head, is_own=is_own)
                if is_own:
                    self._response_head = response_head
                    self._framing = target_response.framing
                    self._context.paths.record_response()
                    self._grants.record_pace(response_head.pace)
                    self._report_load(target, response_head)
                    if response_head.retry_after:
                        self._context.target_backoff.back_off(
                            target.name, response_head.retry_after, self._now()
                        )
                    return target_response, response_head
                # A late response to an earlier request on this connection is discarded.
                await self._drain(connection, target_response)
        raise _InvalidResponse("responses to other requests only")

    async def _relay_response(
        self,
        connection: Connection,
        target_response: TargetResponse,
        response_head: TargetResponseHead,
        target: DiscoveredTarget,
    ) -> _AttemptFailure | None:
        status = target_response.message.code
        if response_head.not_run:
            # The head says all; the body may not end, and the connection is closed.
            return _AttemptFailure.NOT_RUN
        if status < 300 and (not response_head.sealed or response_head.is_reencoded):
            raise _InvalidResponse(
                "response without the target's seal, or with an encoded body"
            )
        if self._incoming.route.streaming and status < 300:
            await self._relay_events(connection, target_response)
        else:
            parts = await self._read_body(connection, target_response)
            if (
                status >= MIN_SERVER_ERROR_STATUS
                and self._incoming.route.retry_mode is RetryMode.FROM_START
            ):
                self._release_connection(
                    connection, target_response, response_head, target
                )
                self._drop_failure_response()
                self._last_failure_response = self._build_response(
                    target_response, parts
                )
                return _AttemptFailure.FAILED
            if self._response is not None:
                raise _InvalidResponse(
                    "error status after part of a stream was relayed"
                )
            self._drop_failure_response()
            self._response = self._build_response(target_response, parts)
        self._release_connection(connection, target_response, response_head, target)
        return None

    def _release_connection(
        self, connection, target_response, response_head, target
    ) -> None:
        if target_response.message.should_close or response_head.leaving:
            connection.abort()
        else:
            self._context.connections.release(
                target.name, connection, response_head.idle_timeout
            )

    async def _drain(
        self, connection: Connection, target_response: TargetResponse
    ) -> None:
        while not target_response.body.at_eof():
            await connection.read(target_response)
            if target_response.taken > MAX_BODY_BYTES:
                raise _InvalidResponse("response to another request too long")

    async def _read_body(
        self, connection: Connection, target_response: TargetResponse
    ) -> list[bytes]:
        """Return the parts of a body; they stay counted until they are written."""
        parts = []
        size = 0
        try:
            while True:
                async with asyncio.timeout(self._silence_timeout()):
                    part = await connection.read(target_response)
                if not part and target_response.body.at_eof():
                    return parts
                parts.append(part)
                size += len(part)
                self._account.add(BufferKind.RESPONSE, len(part))
                if size > MAX_BODY_BYTES:
                    raise _InvalidResponse("response body too long")
        except BaseException:
            self._account.add(BufferKind.RESPONSE, -size)
            raise

    def _drop_failure_response(self) -> None:
        """Release the response of an earlier attempt that is no longer needed."""
        if self._last_failure_response is not None:
            size = self._last_failure_response.content_length or 0
            self._account.add(BufferKind.RESPONSE, -size)
            self._last_failure_response = None

    def _build_response(
        self, target_response: TargetResponse, parts: list[bytes]
    ) -> web.StreamResponse:
        status = target_response.message.code
        if sum(map(len, parts)) <= WINDOW_BYTES:
            response = web.Response(status=status, body=b"".join(parts))
        else:
            response = CollectedResponse(
                status, parts, self._incoming.caller, self._account
            )
        self._copy_fields(target_response, response)
        return response

    async def _relay_events(
        self, connection: Connection, target_response: TargetResponse
    ) -> None:
        """Relay each event to the caller once it is complete."""
        splitter = self._splitter
        count_before = splitter.count
        limit = self._silence_timeout()
        # Comments keep a connection open, but are no progress of the stream.
        silence = 0.0
        while True:
            started = self._now()
            async with asyncio.timeout(None if limit is None else limit - silence):
                data = await connection.read(target_response)
            silence += self._now() - started
            if not data and target_response.body.at_eof():
                break
            self._caller_waits.record_read()
            before = splitter.count
            whole = splitter.feed(data)
            del data
            self._incomplete_bytes = splitter.remainder_size
            self._account.set(BufferKind.RESPONSE, self._incomplete_bytes)
            if self._incomplete_bytes > MAX_BODY_BYTES:
                raise _InvalidResponse("event too long")
            if splitter.count > before:
                self._record_events(splitter.count - before)
                limit = self._stream_silence_timeout()
            if splitter.count > before or splitter.has_begun_event:
                silence = 0.0
            if whole:
                await self._write_to_caller(target_response, whole)
        self._check_stream_end(target_response, splitter.count > count_before)
        await self._write_to_caller(target_response, splitter.remainder)
        splitter.drop_remainder()
        self._account.set(BufferKind.RESPONSE, 0)
        await self._await_caller(self._response.write_eof())

    def _check_stream_end(
        self, target_response: TargetResponse, has_events: bool
    ) -> None:
        """Check that a stream of events has not ended within one of them.

        Raises
        ------
        TargetError
            If it was broken off with its connection.
        _InvalidResponse
            If its framing is complete.
        """
        media_type = _media_type(target_response)
        if target_response.framing is not Framing.CONNECTION:
            if media_type == EVENT_STREAM and self._splitter.is_inside_event:
                raise _InvalidResponse("stream ended within an event")
            return
        if media_type not in ("", EVENT_STREAM):
            return
        is_resumed_by_caller = self._attempts == 1 and self._splitter.last_id
        if self._splitter.is_inside_event or not (has_events or is_resumed_by_caller):
            raise TargetError(
                "connection closed within the stream",
                step="read",
                peer=self._connection.peer,
                sent=True,
            )

    def _record_events(self, count: int) -> None:
        """Record the time of events; report an attempt's first to the dispatcher."""
        if self._timing.record(count, self._now()):
            self._grants.report_first_event()
        elif self._timing.seconds_since_first(self._now()) >= SOUND_AFTER_S:
            self._quarantine_status.record_progress(self._grants.granted_at)

    async def _write_to_caller(
        self, target_response: TargetResponse, data: bytes
    ) -> None:
        if self._response is None:
            response = web.StreamResponse(status=target_response.message.code)
            self._copy_fields(target_response, response)
            self._response = response
            self._grants.bound_version = self._target_version
            await self._await_caller(self._incoming.caller.begin_stream(response))
        if len(data) > WINDOW_BYTES:
            await self._write_in_pieces(data)
        elif data:
            await self._write_piece(data)

    async def _write_in_pieces(self, data: bytes) -> None:
        """Write many events, so that only a window of them is copied to a transport."""
        account = self._account
        account.add(BufferKind.RESPONSE, len(data))
        for start in range(0, len(data), WINDOW_BYTES):
            piece = data[start : start + WINDOW_BYTES]
            account.add(BufferKind.RESPONSE, -len(piece))
            await self._write_piece(piece)

    async def _write_piece(self, data: bytes) -> None:
        """Write; while the caller takes no data, read nothing from the target."""
        caller, account = self._incoming.caller, self._account
        # A wait within this call would go on reading from the target.
        await self._await_caller(caller.write(data))
        account.set(BufferKind.TO_CALLER, caller.buffered)
        if caller.is_blocked:
            started = self._now()
            try:
                with self._connection.reading_paused():
                    await self._await_caller(caller.wait_for_room())
            finally:
                now = self._now()
                self._caller_waits.add(now - started, now)
            account.set(BufferKind.TO_CALLER, caller.buffered)
            account.record_progress()

    async def _await_caller(self, sending) -> None:
        try:
            await sending
        except ConnectionError:
            raise _CallerDisconnected from None

    def _copy_fields(
        self, target_response: TargetResponse, response: web.StreamResponse
    ) -> None:
        for name, value in self._context.dialect.caller_response_fields(
            target_response.message.raw_headers
        ):
            if name.lower() == "content-type":
                response.headers[name] = value
            else:
                response.headers.add(name, value)

    @property
    def _can_retry(self) -> bool:
        route = self._incoming.route
        return (
            route.retry_mode is not RetryMode.NEVER
            and self._attempts < route.max_attempts
            and self._context.retries.remaining(self._incoming.pool, self._now()) >= 1
        )

    def _silence_timeout(self) -> float | None:
        """Return the seconds to wait for a target's data; None if no retry is left."""
        if not self._can_retry:
            return None
        objective = self._incoming.route.objective
        return max(SILENCE_FACTOR * objective, objective + MAX_SOUND_PAUSE_S)

    def _stream_silence_timeout(self) -> float | None:
        """Return the seconds to wait for the next event; None if no retry is left."""
        if not self._can_retry:
            return None
        return self._incoming.route.max_pause + MAX_SOUND_PAUSE_S

    def _may_retry(self, failure: _AttemptFailure) -> bool:
        route = self._incoming.route
        if self._attempts >= route.max_attempts:
            return False
        if (
            failure in (_AttemptFailure.BROKEN, _AttemptFailure.FAILED)
            and route.retry_mode is RetryMode.NEVER
        ):
            return False
        if self._response is not None and route.retry_mode is not RetryMode.RESUME:
            return False
        if failure is _AttemptFailure.BROKEN and not self._quarantine_status.may_retry:
            return False
        self._splitter.drop_remainder()
        retries, pool, now = self._context.retries, self._incoming.pool, self._now()
        is_allowed = self._has_waiting_retry or retries.try_acquire(pool, now)
        self._has_waiting_retry = is_allowed
        decision(
            "retry-allowed" if is_allowed else "retry-refused",
            request=self._incoming.head.request,
            pool=pool,
            number=self._attempts + 1,
            failure=failure.value,
            **retries.summary(pool, now),
        )
        return is_allowed

    def _respond_to_failure(self, failure: _AttemptFailure) -> web.StreamResponse:
        if (
            failure is _AttemptFailure.FAILED
            and self._last_failure_response is not None
        ):
            return self._last_failure_response
        if (
            failure in (_AttemptFailure.NOT_RUN, _AttemptFailure.NOT_SENT)
            and not self._may_have_run
        ):
            return self._refuse(
                Refusal(REJECTED_RETRY_AFTER_S, "rejected by all tried targets")
            )
        return self._fail(502, "no complete response from a target")

    def _refuse(self, refusal: Refusal) -> web.StreamResponse:
        if self._may_have_run or self._response is not None:
            why = f"refused after an attempt: {refusal.reason}"
            return self._fail(502, why, refusal.problem)
        self._log_failure(refusal.status, refusal.reason)
        return local_response(refusal.status, refusal.problem, refusal.retry_after)

    def _fail(
        self, status: int, why: str, problem: dict[str, str] | None = None
    ) -> web.StreamResponse:
        self._log_failure(status, why)
        if self._response is None:
            if self._last_failure_response is not None:
                return self._last_failure_response
            return local_response(status, problem)
        self._incoming.caller.reset()
        return self._response

    def _log_failure(self, status: int, why: str) -> None:
        decision(
            "given-up",
            request=self._incoming.head.request,
            pool=self._incoming.pool,
            route=self._incoming.route.name,
            rank=self._incoming.rank,
            status=status,
            why=why,
            attempts=self._attempts,
            seconds=round(self._now() - self._incoming.received, 4),
        )

    def _report_load(
        self, target: DiscoveredTarget, response_head: TargetResponseHead
    ) -> None:
        if response_head.running >= 0 or response_head.pace:
            report = m.LoadReport(
                target.name,
                response_head.running,
                response_head.waiting,
                False,
                pace=response_head.pace,
            )
            self._context.dispatcher_host.tell(TargetLoad(target.pool, report))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


_OUTCOMES = {
    None: m.GrantOutcome.DONE,
    _AttemptFailure.FAILED: m.GrantOutcome.FAILED,
    _AttemptFailure.NOT_RUN: m.GrantOutcome.REJECTED,
    _AttemptFailure.BROKEN: m.GrantOutcome.BROKEN,
}


# Outcomes after which the connection has been released already.
_CONNECTION_RELEASED = (m.GrantOutcome.DONE, m.GrantOutcome.FAILED)


def _media_type(target_response: TargetResponse) -> str:
    """Return the type that a response names; "" if it names none."""
    content_type = target_response.message.headers.get("Content-Type", "")
    return content_type.partition(";")[0].strip().lower()


def _is_target_failure(status: int) -> bool:
    """Whether a status is the target's failure; 504 means the caller's deadline."""
    return status >= MIN_SERVER_ERROR_STATUS and status != GATEWAY_TIMEOUT_STATUS


def _serialize_request(incoming: IncomingRequest, fields) -> tuple[bytes, ...]:
    """Return the bytes of a request; a long body is not copied."""
    request = incoming.request
    lines = [f"{request.method} {request.raw_path} HTTP/1.1".encode("latin-1")]
    lines += [name + b": " + value for name, value in fields]
    if incoming.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(b"Content-Length: %d" % len(incoming.body))
    head, body = b"\r\n".join([*lines, b"", b""]), incoming.body
    return (head, body) if len(body) > WINDOW_BYTES else (head + body,)
