"""hibiscusstep.forwarding.grant_client: obtains a target for a request."""

import asyncio
import math
from dataclasses import dataclass

from hibiscusstep.forwarding.connections import Connection
from hibiscusstep.forwarding.incoming_request import ForwardingContext, IncomingRequest
from hibiscusstep.forwarding.model import DiscoveredTarget
from hibiscusstep.forwarding.quarantine_status import QuarantineStatus
from hibiscusstep.forwarding.quota_request import QUOTA_RETRY_S
from hibiscusstep.forwarding.stream_timing import StreamTiming
from hibiscusstep.grant_messages import (
    FirstTokenReceived,
    Granted,
    GrantRequest,
    Refused,
    RequestEnded,
)
from hibiscusstep.mailbox import MailboxFull
from hibiscusstep.peer import WorkInfo
from hibiscusstep.routing import messages as m

__all__ = ["GrantClient", "Refusal"]

# A dispatcher that does not know how long a request can still be served in time refuses
# it after this share of the route's objective. One that knows it keeps the request
# waiting longer. A dispatcher that does not answer is waited for somewhat longer.
GRANT_WAIT_SHARE = 0.25
# Grants of targets unknown here that a request discards before it is refused. An
# instance without a connection to the store receives new targets from its peers, later.
MAX_UNKNOWN_TARGETS = 3
UNKNOWN_TARGET_RETRY_AFTER_S = 0.5
_CONTINUATION_TITLE = "This stream cannot be continued"
_CONTINUATION_DETAILS = {
    m.RefusalReason.VERSION_GONE: "No target of the software version that began it"
    " accepts requests. The request has to be sent again from its beginning.",
    m.RefusalReason.VERSION_UNKNOWN: "It is not known which of several software"
    " versions began it.",
}
_NO_VERSION_PROBLEM = {
    "title": "No software version serves",
    "detail": "The targets are of software versions that may not serve.",
}
# Time without a byte after which the path of an overdue request is checked.
SILENT_AFTER_S = 0.5


@dataclass(frozen=True, slots=True)
class Refusal:
    """The reason why a request is sent to no target.

    Parameters
    ----------
    retry_after : float
        Seconds after which the caller may retry.
    reason : str
        For the log.
    status : int
        HTTP status of the response.
    problem : dict of str to str or None
        Members of the problem document in the response.
    """

    retry_after: float
    reason: str
    status: int = 503
    problem: dict[str, str] | None = None


class GrantClient:
    """Requests grants for one request and returns those that cannot be used.

    The state of the target, of the request or of the customer's quota may have changed
    since the dispatcher decided, so all three are checked before the request is sent.

    Parameters
    ----------
    incoming : IncomingRequest
        The request.
    context : ForwardingContext
        Services shared by all exchanges.
    quarantine_status : QuarantineStatus
        Quarantine state of the request.

    Attributes
    ----------
    granted_at : float
        Time of the last grant, on the loop's clock.
    connection : Connection or None
        The connection on which the granted request was sent.
    bound_version : str or None
        Software version that began the response; only its targets may continue it.
    """

    def __init__(
        self,
        incoming: IncomingRequest,
        context: ForwardingContext,
        quarantine_status: QuarantineStatus,
    ) -> None:
        self._incoming = incoming
        self._context = context
        self._quarantine_status = quarantine_status
        self._avoid: list[str] = []
        self._is_retry = False
        self._grant: Granted | None = None
        # Pace of the target's host that the dispatcher was not told yet; 0 for none.
        self._pace = 0.0
        self._pace_received_at = 0.0
        self.granted_at = 0.0
        self.connection: Connection | None = None
        self.bound_version: str | None = None

    def avoid(self, target: DiscoveredTarget) -> int:
        """Prefer other targets from now on; return how many are avoided."""
        self._avoid.append(target.name)
        return len(self._avoid)

    async def acquire_target(self, *, is_retry: bool) -> DiscoveredTarget | Refusal:
        """Return a granted target that accepts the request, or a refusal.

        Parameters
        ----------
        is_retry : bool
            Whether the request was sent to a target before.
        """
        self._is_retry = is_retry
        self._quarantine_status.take_trial()
        while True:
            if self._quarantine_status.is_quarantined:
                return self._quarantine_refusal()
            if seconds := await self._wait_for_target_after_backoff():
                return Refusal(seconds, "all targets asked this instance to back off")
            reply = await self._request_grant()
            if isinstance(reply, Refused):
                return self._to_refusal(reply)
            if self._quarantine_status.is_quarantined:
                # Other attempts at this request crashed targets during the wait.
                self.release_grant(m.GrantOutcome.UNUSED)
                return self._quarantine_refusal()
            target = self._context.targets.get(reply.target)
            if target is None or not self._may_stream_at(target, reply):
                # The dispatcher knows another state of the pool's targets.
                self.release_grant(m.GrantOutcome.UNUSED)
                self._avoid.append(reply.target)
                if len(self._avoid) > MAX_UNKNOWN_TARGETS:
                    return Refusal(
                        UNKNOWN_TARGET_RETRY_AFTER_S, "granted targets not known here"
                    )
                continue
            if not self._accepts_work(target):
                continue
            if (
                self._incoming.quota_request
                and not self._incoming.quota_request.reserve()
            ):
                self.release_grant(m.GrantOutcome.UNUSED)
                return Refusal(QUOTA_RETRY_S, "customer quota exceeded", 429)
            return target

    def _to_refusal(self, refused: Refused) -> Refusal:
        problem = None
        if refused.reason in _CONTINUATION_DETAILS:
            labels = {"pool": self._incoming.pool, "reason": str(refused.reason)}
            self._context.metrics.streams_not_continued.inc(labels)
            detail = _CONTINUATION_DETAILS[refused.reason]
            problem = {"title": _CONTINUATION_TITLE, "detail": detail}
        elif refused.reason is m.RefusalReason.NO_VERSION:
            problem = _NO_VERSION_PROBLEM
            labels = {"pool": self._incoming.pool}
            self._context.metrics.refused_without_version.inc(labels)
        return Refusal(refused.retry_after, str(refused.reason), problem=problem)

    def _may_stream_at(self, target: DiscoveredTarget, granted: Granted) -> bool:
        """Whether a stream may begin or continue at a target.

        One that begins must do so at the version that the dispatcher has recorded.
        """
        version = self.bound_version
        if version is None and self._incoming.route.streaming:
            version = granted.version
        return version in (None, target.version)

    def _accepts_work(self, target: DiscoveredTarget) -> bool:
        """Whether a target accepts work by its latest state; else release the grant."""
        if target.leaving:
            self.release_grant(m.GrantOutcome.LEAVING)
            self._avoid.append(target.name)
            return False
        if self._context.target_backoff.is_backing_off(target.name, self._now()):
            self.release_grant(m.GrantOutcome.UNUSED)
            return False
        return True

    @property
    def _grant_deadline(self) -> float:
        """Time until which the request waits for a grant, on the loop's clock.

        A dispatcher that knows how long the request can be served in time may answer
        later.
        """
        started = self._now() if self._is_retry else self._incoming.received
        max_wait = GRANT_WAIT_SHARE * self._incoming.route.objective
        return min(started + max_wait, self._incoming.deadline)

    async def _wait_for_target_after_backoff(self) -> float:
        """Wait while all targets of the pool have asked this instance to back off.

        Returns
        -------
        float
            Seconds until one of them accepts requests, if that is after the grant's
            deadline; else 0.
        """
        context, now = self._context, self._now()
        if not context.target_backoff.names_backing_off(now):
            return 0.0
        seconds = context.target_backoff.seconds_until_any(self._pool_targets(), now)
        if now + seconds > self._grant_deadline:
            return seconds
        await asyncio.sleep(seconds)
        return 0.0

    def _pool_targets(self) -> list[str]:
        return [
            name
            for name, target in self._context.targets.items()
            if target.pool == self._incoming.pool and not target.leaving
        ]

    def _names_to_avoid(self) -> list[str]:
        """Return the targets that asked for a pause or are not reached from here."""
        context, now = self._context, self._now()
        names = context.target_backoff.names_backing_off(now)
        if context.paths.has_unreachable(now):
            names += context.paths.names_unreachable(self._pool_targets(), now)
        return names

    async def _request_grant(self) -> Granted | Refused:
        incoming = self._incoming
        head, grant_deadline = incoming.head, self._grant_deadline
        customer = incoming.customer.name if incoming.customer else ""
        started = self._now() if self._is_retry else incoming.received
        work = WorkInfo(
            "",
            head.request,
            self._context.instance,
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
            data_centre=self._context.data_centre,
            identity=incoming.identity,
            suspect=self._quarantine_status.suspect_fingerprint,
            resting=self._names_to_avoid(),
            route=incoming.route.name,
            memory_tokens=head.prompt_tokens + head.output_tokens,
            bound_version=self.bound_version,
            stream=incoming.stream,
            resumes=incoming.resumes,
        )
        grant_request = GrantRequest(
            incoming.pool,
            work,
            grant_deadline,
            False,
            _ignore_stop,
            incoming.due,
            incoming.deadline,
            self._is_hanging,
        )
        try:
            reply = await self._context.dispatch_client.ask(grant_request)
        except MailboxFull:
            reply = Refused(m.RefusalReason.LOAD, 1.0)
        if isinstance(reply, Granted):
            waited = self._now() - started
            self._context.metrics.queue_wait.observe({"pool": incoming.pool}, waited)
            self._grant = reply
            self.granted_at = self._now()
        return reply

    def _is_hanging(self) -> bool:
        """Return whether nothing has arrived on a lost path; check a silent one."""
        connection, grant = self.connection, self._grant
        if connection is None or connection.via or grant is None:
            return False
        context, now = self._context, self._now()
        lost_since = context.paths.lost_since(grant.target)
        if lost_since < math.inf:
            return connection.received_at < lost_since
        due = connection.received_at + SILENT_AFTER_S
        target = context.targets.get(grant.target)
        if target and context.paths.take_check(target.name, due, now):
            context.connections.check_path(target.name, target.address)
        return False

    def _quarantine_refusal(self) -> Refusal:
        """Return a refusal with the cause and the remaining time of the quarantine."""
        quarantine_status = self._quarantine_status
        return Refusal(
            quarantine_status.expires_in,
            "quarantined",
            problem=quarantine_status.problem,
        )

    def record_pace(self, pace: float) -> None:
        """Record the pace in a response's head, for the next report; 0 for none."""
        self._pace, self._pace_received_at = pace, self._now()

    def report_first_event(self) -> None:
        """Report the first event of the response to the dispatcher."""
        if self._grant is not None:
            seconds = self._now() - self.granted_at
            pace, self._pace = self._pace, 0.0
            self._context.dispatch_client.tell(
                FirstTokenReceived(self._incoming.pool, self._grant.ask, seconds, pace)
            )

    def release_grant(
        self,
        outcome: m.GrantOutcome,
        timing: StreamTiming | None = None,
        from_one_target: bool = False,
        *,
        in_path: bool = False,
    ) -> None:
        """Return the grant to the dispatcher.

        Parameters
        ----------
        outcome : GrantOutcome
            How the attempt ended.
        timing : StreamTiming or None
            Timing of the response's events; None if nothing was sent.
        from_one_target : bool
            Whether all of these events came from one target.
        in_path : bool
            Whether it failed on the path from this instance to the target.
        """
        if self._grant is None:
            return
        ended = RequestEnded(
            self._incoming.pool,
            self._grant.ask,
            outcome,
            timing.events if timing else 0,
            timing.decode_seconds if timing else 0.0,
            longest_pause=timing.longest_pause if timing and from_one_target else 0.0,
            pace=self._pace,
            pace_age=self._now() - self._pace_received_at if self._pace else 0.0,
            in_path=in_path,
        )
        self._grant, self.connection, self._pace = None, None, 0.0
        self._context.dispatch_client.tell(ended)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _ignore_stop() -> None:
    """Ignore a request to stop: forwarded requests are never stopped."""
