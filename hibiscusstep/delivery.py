"""hibiscusstep.delivery: one accepted request, from its grant to its whole answer."""

import asyncio
import enum
import logging
from dataclasses import dataclass

from hibiscusstep.admission import Admitted
from hibiscusstep.answers import AnswerState, KeptAnswer
from hibiscusstep.attempt import Attempt, TryElsewhere
from hibiscusstep.configuration.models import Configuration
from hibiscusstep.desk import Desk
from hibiscusstep.events import EventKind, NullRecorder
from hibiscusstep.explain import Explainer
from hibiscusstep.grants import Granted, GrantRequest, Refused
from hibiscusstep.keys import KeyGuard
from hibiscusstep.mailbox import MailboxFull
from hibiscusstep.peer import WorkInfo
from hibiscusstep.problem import Problem
from hibiscusstep.progress import Progress
from hibiscusstep.routing.messages import GrantOutcome as Ending
from hibiscusstep.routing.messages import RefusalReason
from hibiscusstep.routing.retry_budget import RetryBudget
from hibiscusstep.sink import Sink

__all__ = ["Delivery", "Services"]

_LOG = logging.getLogger(__name__)


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
    retries : RetryBudget
        Bounds repeats after failures.
    """

    name: str
    desk: Desk
    keys: KeyGuard
    sessions: object
    recorder: NullRecorder
    explainer: Explainer
    retries: RetryBudget


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
        self._progress = Progress(
            admitted, configuration, services.recorder, services.explainer
        )
        self._interrupt = _Interrupt.NONE
        self._scope: asyncio.Timeout | None = None
        self._claiming = False
        self._avoid: list[str] = []
        self._received = asyncio.get_running_loop().time()

    @property
    def admitted(self) -> Admitted:
        """The request."""
        return self._admitted

    async def run(self) -> None:
        """Do it; every path ends with one answer."""
        self._progress.record(EventKind.RECEIVED, detail=self._admitted.head.tier)
        try:
            await self._answer()
        except ConnectionError:
            self._progress.record(EventKind.CANCELLED, detail="caller left")
        finally:
            if self._claiming:
                self._end_claim()

    async def _answer(self) -> None:
        try:
            await self._run()
        except Problem as problem:
            self._progress.end(problem)
            await self._sink.problem(problem)
        except ConnectionError:
            raise
        except Exception:
            _LOG.exception("delivery failed", extra={"request": self.admitted.request})
            problem = self._progress.internal()
            self._progress.end(problem)
            await self._sink.problem(problem)

    def _end_claim(self) -> None:
        sink = self._sink
        kept = None
        if self._progress.complete and sink.sent is not None:
            kept = KeptAnswer(
                AnswerState.KEPT, sink.status, sink.content_type, sink.sent
            )
        self._services.keys.end(self._admitted, self._progress.dispatched, kept)

    def caller_left(self) -> None:
        """Go on without the caller if the answer is kept for a repeat, else end."""
        self._sink.detached = True
        if not (self._admitted.keyed and self._progress.dispatched):
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
        self._services.retries.record_request()
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
        raise self._progress.failed("No target gave a whole answer.")

    async def _answered_before(self) -> bool:
        """Answer from an earlier attempt with the key, if there was one."""
        earlier = await self._services.keys.look_up(self._admitted)
        return earlier is not None and await self._replay(earlier)

    async def _replay(self, earlier) -> bool:
        self._progress.explain("replayed", state=earlier.state)
        await self._sink.whole(
            earlier.status,
            earlier.content_type,
            earlier.body,
            **{"Idempotency-Replayed": "true"},
        )
        self._progress.record(EventKind.ANSWERED, detail="replayed")
        return True

    async def _attempt(self, number: int) -> bool:
        """Try one target; False if another may be tried."""
        granted = await self._place()
        run = self._make_attempt(number, granted)
        try:
            if self._admitted.keyed:
                self._claiming = True
                earlier = await self._services.keys.claim(self._admitted)
                if earlier is not None:
                    run.finish(Ending.UNUSED)
                    return await self._replay(earlier)
            await run.dispatch()
            return True
        except TryElsewhere as ended:
            if ended.failed and not self._services.retries.try_acquire():
                detail = "The target failed, and too many requests are repeated now."
                raise self._progress.failed(detail) from None
            self._avoid.append(granted.target)
            return False
        finally:
            run.finish(Ending.CANCELLED if self._progress.dispatched else Ending.UNUSED)

    def _make_attempt(self, number: int, granted: Granted) -> Attempt:
        return Attempt(
            f"{self._admitted.request}.{number}",
            self._admitted,
            granted,
            self._sink,
            self._progress,
            self._configuration,
            self._services.desk,
            self._services.sessions,
        )

    async def _place(self) -> Granted:
        admitted = self._admitted
        rule = self._configuration.rule(admitted.tier)
        wanted = GrantRequest(
            admitted.route.pool,
            self._work(),
            self._received + admitted.route.deadline,
            not rule.may_be_shed,
            self.stop,
        )
        self._progress.record(EventKind.QUEUED)
        try:
            reply = await self._services.desk.ask(wanted)
        except MailboxFull:
            reply = Refused(RefusalReason.LOAD, 1.0)
        if isinstance(reply, Refused):
            self._progress.explain(
                "refused", reason=reply.reason, retry_after=reply.retry_after
            )
            raise self._progress.refused(reply)
        self._progress.explain("granted", target=reply.target)
        return reply

    def _work(self) -> WorkInfo:
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
            list(self._avoid),
        )

    def _interrupted(self) -> Problem:
        makers = {
            _Interrupt.STOPPED: self._progress.stopped,
            _Interrupt.CALLER_LEFT: self._progress.caller_left,
            _Interrupt.NONE: self._progress.timed_out,
        }
        return makers[self._interrupt]()
