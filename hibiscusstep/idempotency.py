"""hibiscusstep.idempotency: ensures at most one dispatch per idempotency key."""

import asyncio

from hibiscusstep.admission import AdmittedRequest
from hibiscusstep.answer_store import (
    AnswerState,
    AnswerStore,
    AttemptEnded,
    AttemptStarted,
    FetchAnswer,
    KeptAnswer,
)
from hibiscusstep.claims.client import ClaimClient, ClaimRequest, ReleaseRequest
from hibiscusstep.claims.index import ClaimResult, ClaimVerdict
from hibiscusstep.claims.records import ClaimRecord
from hibiscusstep.events import EventKind, NullRecorder
from hibiscusstep.problem import Outcome, Problem

__all__ = ["KeyGuard"]

PLATFORM_RETRY_S = 5.0
FETCH_TIMEOUT_S = 600.0
EARLIER_NOT_KNOWN = "not known"


class KeyGuard:
    """Looks up and claims keys, and fetches the answers of earlier attempts.

    Parameters
    ----------
    claim_client : ClaimClient
        Sends claims to their writers.
    answers : AnswerStore
        Keeps the outcomes of attempts.
    recorder : NullRecorder
        Records the history.
    enabled : bool
        Whether keys are claimed; off only to show what claims prevent.
    """

    def __init__(
        self,
        claim_client: ClaimClient,
        answers: AnswerStore,
        recorder: NullRecorder,
        *,
        enabled: bool = True,
    ) -> None:
        self._claim_client = claim_client
        self._answers = answers
        self._recorder = recorder
        self._enabled = enabled

    async def look_up(self, admitted: AdmittedRequest) -> KeptAnswer | None:
        """Return the kept answer of an earlier attempt, None if there was none.

        Raises
        ------
        Problem
            If there was one whose answer is not available, or if the claims
            cannot be read. This attempt is not run then.
        """
        if not self._enabled:
            return None
        verdict = await self._request_claim(admitted, "", lookup=True)
        if verdict.result is ClaimResult.HELD:
            return await self._fetch_earlier(admitted, verdict.record)
        if verdict.result is ClaimResult.UNAVAILABLE:
            raise _claims_unavailable()
        return None

    async def claim(self, admitted: AdmittedRequest) -> KeptAnswer | None:
        """Claim the key for the request; return an earlier answer if it is held.

        After None the request may be dispatched, once.

        Raises
        ------
        Problem
            If the claim is not confirmed, or the key is held and its answer is not
            available. This attempt is never dispatched then.
        """
        if not self._enabled:
            return None
        self._answers.tell(AttemptStarted(admitted.key_digest, admitted.request))
        supersedes = ""
        while True:
            verdict = await self._request_claim(admitted, supersedes)
            if verdict.result is ClaimResult.CONFIRMED:
                self._recorder.record(
                    EventKind.CLAIMED,
                    request=admitted.request,
                    key=admitted.key_digest.hex(),
                    customer=admitted.customer,
                )
                return None
            if verdict.result is ClaimResult.UNAVAILABLE:
                raise _claims_unavailable()
            earlier = await self._fetch_earlier(admitted, verdict.record)
            if earlier is not None:
                return earlier
            supersedes = verdict.record.attempt

    def publish_outcome(
        self,
        admitted: AdmittedRequest,
        dispatched: bool,
        kept_answer: KeptAnswer | None,
    ) -> None:
        """Publish the outcome of the request, for repeats of its key.

        Parameters
        ----------
        admitted : AdmittedRequest
            The request.
        dispatched : bool
            Whether it may have reached a target.
        kept_answer : KeptAnswer or None
            Its complete answer, if there is one.
        """
        if not self._enabled:
            return
        if dispatched:
            answer = kept_answer or KeptAnswer(AnswerState.GONE)
        else:
            answer = KeptAnswer(AnswerState.DEAD)
            self._claim_client.tell(
                ReleaseRequest(admitted.key_digest, admitted.request)
            )
        self._answers.tell(AttemptEnded(admitted.request, answer))

    async def _request_claim(
        self, admitted, supersedes: str, lookup: bool = False
    ) -> ClaimVerdict:
        request = ClaimRequest(
            admitted.key_digest,
            admitted.body_digest,
            admitted.request,
            supersedes,
            lookup,
        )
        return await self._claim_client.ask(request)

    async def _fetch_earlier(
        self, admitted: AdmittedRequest, record: ClaimRecord
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
        raise _outcome_unknown(found.state)


def _claims_unavailable() -> Problem:
    return Problem(
        503,
        "claims-unavailable",
        "The key could not be claimed on the platform; this attempt was not run.",
        Outcome.NOT_RUN,
        PLATFORM_RETRY_S,
        earlier=EARLIER_NOT_KNOWN,
    )


def _outcome_unknown(state: AnswerState) -> Problem:
    reason = {
        AnswerState.GONE: "its answer is not kept",
        AnswerState.UNREACHABLE: "the instance that held it is gone",
    }[state]
    return Problem(
        409,
        "outcome-unknown",
        f"An earlier attempt with this key may have run, and {reason}.",
        Outcome.UNKNOWN,
        earlier="one, outcome unknown",
    )
