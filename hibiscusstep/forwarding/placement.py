"""hibiscusstep.forwarding.placement: finds a target for a request, or a refusal."""

import asyncio
from dataclasses import dataclass

from hibiscusstep.forwarding.incoming import Incoming, Means
from hibiscusstep.forwarding.model import DiscoveredTarget
from hibiscusstep.forwarding.pace import Pace
from hibiscusstep.forwarding.quota_claim import QUOTA_RETRY_S
from hibiscusstep.forwarding.standing import Standing
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

__all__ = ["Placement", "Refusal"]

# A dispatcher that does not know how long a request can be in time refuses it after
# this part of its objective; one that does not answer at all has somewhat longer.
PATIENCE = 0.25
# An instance that is cut off from the store hears of new targets from its peers.
MAX_UNKNOWN_TARGETS = 3
UNKNOWN_RETRY_S = 0.5


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is sent to no target now.

    Parameters
    ----------
    retry_after : float
        Seconds after which its caller may come back.
    reason : str
        For the log.
    status : int
        Of the answer.
    problem : dict of str to str or None
        What the caller is told beside that.
    """

    retry_after: float
    reason: str
    status: int = 503
    problem: dict[str, str] | None = None


class Placement:
    """Asks for grants for one request, and gives back what can't be used.

    A grant may be older than what is known by the time it comes: of the target, of the
    request, or of the customer's quota. So all that is checked before the send.

    Parameters
    ----------
    incoming : Incoming
        The request.
    means : Means
        What it uses.
    standing : Standing
        Whether targets crashed under it.

    Attributes
    ----------
    granted_at : float
        When the last grant came, on the loop's clock.
    """

    def __init__(self, incoming: Incoming, means: Means, standing: Standing) -> None:
        self._in = incoming
        self._means = means
        self._standing = standing
        self._avoid: list[str] = []
        self._repeats = False
        self._grant: Granted | None = None
        self.granted_at = 0.0

    def avoid(self, target: DiscoveredTarget) -> int:
        """Rather have another target from now on; return how many were tried."""
        self._avoid.append(target.name)
        return len(self._avoid)

    async def find_target(self, *, repeats: bool) -> DiscoveredTarget | Refusal:
        """Return a target that was granted and may be sent to, or a refusal.

        Parameters
        ----------
        repeats : bool
            Whether the request was sent to a target before.
        """
        self._repeats = repeats
        while True:
            if self._standing.is_quarantined:
                return self._quarantined()
            if seconds := await self._wait_for_rests():
                return Refusal(seconds, "targets want nothing")
            reply = await self._ask()
            if isinstance(reply, Refused):
                return Refusal(reply.retry_after, str(reply.reason))
            if self._standing.is_quarantined:
                # Targets crashed under other attempts while this one waited.
                self.end(m.Outcome.UNUSED)
                return self._quarantined()
            target = self._means.targets.get(reply.target)
            if target is None:
                # The dispatcher knows a target that has not been heard of here yet.
                self.end(m.Outcome.UNUSED)
                self._avoid.append(reply.target)
                if len(self._avoid) > MAX_UNKNOWN_TARGETS:
                    return Refusal(UNKNOWN_RETRY_S, "unknown targets")
                continue
            if not self._still_wants(target):
                continue
            if self._in.claim and not self._in.claim.take():
                self.end(m.Outcome.UNUSED)
                return Refusal(QUOTA_RETRY_S, "over the quota", 429)
            return target

    def _still_wants(self, target: DiscoveredTarget) -> bool:
        """Whether a target takes work by its own latest word; else the grant ends."""
        if target.leaving:
            self.end(m.Outcome.LEAVING)
            self._avoid.append(target.name)
            return False
        if self._means.rests.is_resting(target.name, self._now()):
            self.end(m.Outcome.UNUSED)
            return False
        return True

    @property
    def _latest(self) -> float:
        """When a dispatcher's answer is due, on the loop's clock."""
        begun = self._now() if self._repeats else self._in.received
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

    async def _ask(self) -> Granted | Refused:
        incoming = self._in
        head, latest = incoming.head, self._latest
        customer = incoming.customer.name if incoming.customer else ""
        begun = self._now() if self._repeats else incoming.received
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
            suspect=self._standing.suspect,
            resting=self._means.rests.resting(self._now()),
            route=incoming.route.name,
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
            self.granted_at = self._now()
        return reply

    def _quarantined(self) -> Refusal:
        """Tell the caller why, and when the request would be served again."""
        standing = self._standing
        return Refusal(standing.expires_in, "quarantined", problem=standing.problem)

    def begun(self) -> None:
        """Tell the dispatcher that the first event has come."""
        if self._grant is not None:
            seconds = self._now() - self.granted_at
            self._means.desk.tell(
                FirstTokenReceived(self._in.pool, self._grant.ask, seconds)
            )

    def end(
        self, outcome: m.Outcome, pace: Pace | None = None, first: bool = False
    ) -> None:
        """Tell the dispatcher that the grant is over.

        Parameters
        ----------
        outcome : Outcome
            How.
        pace : Pace or None
            Of the answer's events; None where nothing was sent.
        first : bool
            Whether all of these events are of one target.
        """
        if self._grant is None:
            return
        ended = RequestEnded(
            self._in.pool,
            self._grant.ask,
            outcome,
            pace.events if pace else 0,
            pace.decode_seconds if pace else 0.0,
            longest_pause=pace.longest_pause if pace and first else 0.0,
        )
        self._grant = None
        self._means.desk.tell(ended)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _never_stopped() -> None:
    """Nothing that runs is stopped here."""
