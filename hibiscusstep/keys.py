"""hibiscusstep.keys: at most one dispatch for a key, as a delivery uses it."""

import asyncio

from hibiscusstep.admission import Admitted
from hibiscusstep.answers import (
    AnswerKeeper,
    AnswerState,
    AttemptBegun,
    AttemptEnded,
    FetchAnswer,
    KeptAnswer,
)
from hibiscusstep.claims.claimer import Claimer, ClaimRequest, ReleaseRequest
from hibiscusstep.claims.index import ClaimResult, Verdict
from hibiscusstep.claims.records import ClaimRecord
from hibiscusstep.events import EventKind, NullRecorder
from hibiscusstep.problem import Outcome, Problem

__all__ = ["KeyGuard"]

PLATFORM_RETRY_S = 5.0
FETCH_TIMEOUT_S = 600.0
NOT_KNOWN = "not known"


class KeyGuard:
    """Looks keys up, claims them, and fetches what an earlier attempt gave.

    Parameters
    ----------
    claimer : Claimer
        Speaks to the writers of claims.
    answers : AnswerKeeper
        Knows what became of attempts.
    recorder : NullRecorder
        Gets the history.
    enabled : bool
        Off only to show what claims prevent.
    """

    def __init__(
        self,
        claimer: Claimer,
        answers: AnswerKeeper,
        recorder: NullRecorder,
        *,
        enabled: bool = True,
    ) -> None:
        self._claimer = claimer
        self._answers = answers
        self._recorder = recorder
        self._enabled = enabled

    async def look_up(self, admitted: Admitted) -> KeptAnswer | None:
        """Return the kept answer of an earlier attempt, None if there was none.

        Raises
        ------
        Problem
            If there was one whose answer is not to be had, or if the claims
            cannot be read: then this attempt is not run.
        """
        if not self._enabled:
            return None
        verdict = await self._ask(admitted, "", lookup=True)
        if verdict.result is ClaimResult.HELD:
            return await self._earlier(admitted, verdict.record)
        if verdict.result is ClaimResult.UNAVAILABLE:
            raise _unavailable()
        return None

    async def claim(self, admitted: Admitted) -> KeptAnswer | None:
        """Claim the key for the request; return an earlier answer if it is held.

        After None the request may be dispatched, once.

        Raises
        ------
        Problem
            If the claim is not confirmed, or the key is held and its answer is not
            to be had: then this attempt is dead.
        """
        if not self._enabled:
            return None
        self._answers.tell(AttemptBegun(admitted.digest, admitted.request))
        supersedes = ""
        while True:
            verdict = await self._ask(admitted, supersedes)
            if verdict.result is ClaimResult.CONFIRMED:
                self._recorder.record(
                    EventKind.CLAIMED,
                    request=admitted.request,
                    key=admitted.digest.hex(),
                    customer=admitted.customer,
                )
                return None
            if verdict.result is ClaimResult.UNAVAILABLE:
                raise _unavailable()
            earlier = await self._earlier(admitted, verdict.record)
            if earlier is not None:
                return earlier
            supersedes = verdict.record.attempt

    def end(
        self, admitted: Admitted, dispatched: bool, kept: KeptAnswer | None
    ) -> None:
        """Tell what became of the request, so that repeats of its key hear it.

        Parameters
        ----------
        admitted : Admitted
            The request.
        dispatched : bool
            Whether it may have reached a target.
        kept : KeptAnswer or None
            Its whole answer.
        """
        if not self._enabled:
            return
        if dispatched:
            answer = kept or KeptAnswer(AnswerState.GONE)
        else:
            answer = KeptAnswer(AnswerState.DEAD)
            self._claimer.tell(ReleaseRequest(admitted.digest, admitted.request))
        self._answers.tell(AttemptEnded(admitted.request, answer))

    async def _ask(self, admitted, supersedes: str, lookup: bool = False) -> Verdict:
        request = ClaimRequest(
            admitted.digest, admitted.body_digest, admitted.request, supersedes, lookup
        )
        return await self._claimer.ask(request)

    async def _earlier(
        self, admitted: Admitted, record: ClaimRecord
    ) -> KeptAnswer | None:
        """Return the answer of the attempt that holds the key, None if it is dead."""
        if record.body_digest != admitted.body_digest:
            detail = "The Idempotency-Key was used before with another request."
            raise Problem(422, "key-reused", detail, earlier="with another request")
        fetch = FetchAnswer(record.holder, record.incarnation, record.attempt)
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                found = await self._answers.ask(fetch)
        except TimeoutError:
            found = KeptAnswer(AnswerState.UNREACHABLE)
        if found.state is AnswerState.KEPT:
            return found
        if found.state is AnswerState.DEAD:
            return None
        raise _unknown(found.state)


def _unavailable() -> Problem:
    return Problem(
        503,
        "claims-unavailable",
        "The key could not be claimed on the platform; this attempt was not run.",
        Outcome.NOT_RUN,
        PLATFORM_RETRY_S,
        earlier=NOT_KNOWN,
    )


def _unknown(state: AnswerState) -> Problem:
    why = {
        AnswerState.GONE: "its answer is not kept",
        AnswerState.UNREACHABLE: "the instance that held it is gone",
    }[state]
    return Problem(
        409,
        "outcome-unknown",
        f"An earlier attempt with this key may have run, and {why}.",
        Outcome.UNKNOWN,
        earlier="one, outcome unknown",
    )
