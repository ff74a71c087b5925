"""hibiscusstep.delivery: runs one admitted request until its answer is complete."""

import asyncio
import enum
import logging
from dataclasses import dataclass

from hibiscusstep.admission import AdmittedRequest
from hibiscusstep.answer_sink import AnswerSink
from hibiscusstep.answer_store import AnswerState, KeptAnswer
from hibiscusstep.attempt import Attempt, RetryElsewhere
from hibiscusstep.configuration.models import Configuration
from hibiscusstep.dispatch_client import DispatchClient
from hibiscusstep.events import EventKind, NullRecorder
from hibiscusstep.explain import Explainer
from hibiscusstep.grant_messages import Granted, GrantRequest, Refused
from hibiscusstep.idempotency import KeyGuard
from hibiscusstep.mailbox import MailboxFull
from hibiscusstep.peer import WorkInfo
from hibiscusstep.problem import Problem
from hibiscusstep.progress import Progress
from hibiscusstep.routing.messages import GrantOutcome as TargetOutcome
from hibiscusstep.routing.messages import RefusalReason
from hibiscusstep.routing.retry_budget import RetryBudget

__all__ = ["Delivery", "DeliveryServices"]

_LOG = logging.getLogger(__name__)


class _Interrupt(enum.Enum):
    NONE = enum.auto()
    CALLER_DISCONNECTED = enum.auto()
    STOPPED = enum.auto()


@dataclass(frozen=True, slots=True)
class DeliveryServices:
    """Components that deliveries share.

    Parameters
    ----------
    name : str
        The instance's name.
    dispatch_client : DispatchClient
        Requests grants.
    keys : KeyGuard
        Claims keys and fetches earlier answers.
    sessions : TargetSessions
        Connections to targets.
    recorder : NullRecorder
        Records the history.
    explainer : Explainer
        Stores decisions for operators.
    retries : RetryBudget
        Limits retries after failures.
    """

    name: str
    dispatch_client: DispatchClient
    keys: KeyGuard
    sessions: object
    recorder: NullRecorder
    explainer: Explainer
    retries: RetryBudget


class Delivery:
    """Runs one request until it is answered, refused or its outcome is unknown.

    Parameters
    ----------
    admitted : AdmittedRequest
        The request.
    sink : AnswerSink
        Receives the answer.
    services : DeliveryServices
        Shared components.
    configuration : Configuration
        The configuration in force when the request was admitted.
    """

    def __init__(
        self,
        admitted: AdmittedRequest,
        sink: AnswerSink,
        services: DeliveryServices,
        configuration: Configuration,
    ) -> None:
        self._admitted = admitted
        self._sink = sink
        self._services = services
        self._configuration = configuration
        self._progress = Progress(
            admitted, configuration, services.recorder, services.explainer
        )
        self._interrupt = _Interrupt.NONE
        self._timeout: asyncio.Timeout | None = None
        self._claim_started = False
        self._failed_targets: list[str] = []
        self._received_at = asyncio.get_running_loop().time()

    @property
    def admitted(self) -> AdmittedRequest:
        """The request."""
        return self._admitted

    async def run(self) -> None:
        """Run the request; every path sends exactly one answer."""
        self._progress.record(EventKind.RECEIVED, detail=self._admitted.head.tier)
        try:
            await self._run_and_report()
        except ConnectionError:
            self._progress.record(EventKind.CANCELLED, detail="caller left")
        finally:
            if self._claim_started:
                self._finish_claim()

    async def _run_and_report(self) -> None:
        try:
            await self._run_attempts()
        except Problem as problem:
            self._progress.end(problem)
            await self._sink.send_problem(problem)
        except ConnectionError:
            raise
        except Exception:
            _LOG.exception("delivery failed", extra={"request": self.admitted.request})
            problem = self._progress.internal()
            self._progress.end(problem)
            await self._sink.send_problem(problem)

    def _finish_claim(self) -> None:
        sink = self._sink
        kept_answer = None
        if self._progress.complete and sink.written is not None:
            kept_answer = KeptAnswer(
                AnswerState.KEPT, sink.status, sink.content_type, sink.written
            )
        self._services.keys.publish_outcome(
            self._admitted, self._progress.dispatched, kept_answer
        )

    def on_caller_disconnected(self) -> None:
        """Continue if the answer is kept for a repeat of the key, else cancel."""
        self._sink.detached = True
        if not (self._admitted.needs_claim and self._progress.dispatched):
            self._cancel_with(_Interrupt.CALLER_DISCONNECTED)

    def stop(self) -> None:
        """Cancel in favour of a higher tier."""
        self._cancel_with(_Interrupt.STOPPED)

    def _cancel_with(self, interrupt: _Interrupt) -> None:
        if self._interrupt is _Interrupt.NONE:
            self._interrupt = interrupt
        if self._timeout is not None:
            self._timeout.reschedule(asyncio.get_running_loop().time())

    async def _run_attempts(self) -> None:
        admitted = self._admitted
        self._services.retries.record_request()
        try:
            async with asyncio.timeout(admitted.route.answer_timeout) as self._timeout:
                if admitted.needs_claim and await self._replay_earlier_answer():
                    return
                for number in range(1, admitted.route.max_attempts + 1):
                    if await self._try_target(number):
                        return
        except TimeoutError:
            raise self._interrupt_problem() from None
        finally:
            self._timeout = None
        raise self._progress.failed("No target gave a whole answer.")

    async def _replay_earlier_answer(self) -> bool:
        """Replay the answer of an earlier attempt with the key, if there was one."""
        earlier = await self._services.keys.look_up(self._admitted)
        return earlier is not None and await self._send_replay(earlier)

    async def _send_replay(self, earlier) -> bool:
        self._progress.explain("replayed", state=earlier.state)
        await self._sink.send_whole(
            earlier.status,
            earlier.content_type,
            earlier.body,
            **{"Idempotency-Replayed": "true"},
        )
        self._progress.record(EventKind.ANSWERED, detail="replayed")
        return True

    async def _try_target(self, number: int) -> bool:
        """Try one target; return False if another may be tried."""
        granted = await self._request_grant()
        attempt = self._make_attempt(number, granted)
        try:
            if self._admitted.needs_claim:
                self._claim_started = True
                earlier = await self._services.keys.claim(self._admitted)
                if earlier is not None:
                    attempt.finish(TargetOutcome.UNUSED)
                    return await self._send_replay(earlier)
            await attempt.dispatch()
            return True
        except RetryElsewhere as error:
            if error.target_failed and not self._services.retries.try_acquire():
                detail = "The target failed, and too many requests are repeated now."
                raise self._progress.failed(detail) from None
            self._failed_targets.append(granted.target)
            return False
        finally:
            attempt.finish(
                TargetOutcome.CANCELLED
                if self._progress.dispatched
                else TargetOutcome.UNUSED
            )

    def _make_attempt(self, number: int, granted: Granted) -> Attempt:
        return Attempt(
            f"{self._admitted.request}.{number}",
            self._admitted,
            granted,
            self._sink,
            self._progress,
            self._configuration,
            self._services.dispatch_client,
            self._services.sessions,
        )

    async def _request_grant(self) -> Granted:
        admitted = self._admitted
        rule = self._configuration.shedding_rule(admitted.tier)
        grant_request = GrantRequest(
            admitted.route.pool,
            self._work_info(),
            self._received_at + admitted.route.deadline,
            not rule.may_be_shed,
            self.stop,
        )
        self._progress.record(EventKind.QUEUED)
        try:
            reply = await self._services.dispatch_client.ask(grant_request)
        except MailboxFull:
            reply = Refused(RefusalReason.LOAD, 1.0)
        if isinstance(reply, Refused):
            self._progress.explain(
                "refused", reason=reply.reason, retry_after=reply.retry_after
            )
            raise self._progress.refused(reply)
        self._progress.explain("granted", target=reply.target)
        return reply

    def _work_info(self) -> WorkInfo:
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
            self._progress.stoppable,
            list(admitted.prefixes),
            list(self._failed_targets),
        )

    def _interrupt_problem(self) -> Problem:
        problem_factories = {
            _Interrupt.STOPPED: self._progress.stopped,
            _Interrupt.CALLER_DISCONNECTED: self._progress.caller_left,
            _Interrupt.NONE: self._progress.timed_out,
        }
        return problem_factories[self._interrupt]()
