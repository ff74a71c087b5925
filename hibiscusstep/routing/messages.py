"""hibiscusstep.routing.messages: input messages and decisions of a dispatcher."""

import enum
from dataclasses import dataclass, field

from hibiscusstep.rollout.order import RolloutState
from hibiscusstep.routing.stream_versions import StreamOrigin

__all__ = [
    "AdoptRunning",
    "ConcludeRollout",
    "Configure",
    "Decision",
    "Finished",
    "FirstToken",
    "Grant",
    "GrantLost",
    "GrantOutcome",
    "HeldGrants",
    "ImportPlaces",
    "InstanceGone",
    "KnownPlace",
    "LearnedEstimates",
    "LoadReport",
    "QueryGrants",
    "Recovered",
    "RefusalReason",
    "Refuse",
    "RequestGrant",
    "Stop",
    "StreamOrigin",
    "SuspectPartition",
    "TimePassed",
    "Withdraw",
    "Work",
]


class GrantOutcome(enum.StrEnum):
    """How a granted request ended at its target.

    `FAILED`: the target answered with an error. `REJECTED`: the target answered that
    it did not run the request. `UNREACHABLE`: the request was not sent. `BROKEN`: it
    was sent, but the answer broke off, was invalid or timed out. `CANCELLED`: its
    caller disconnected or it was stopped. `UNUSED`: the instance did not use the
    grant. `LEAVING`: the target accepts no more requests.
    """

    DONE = "done"
    FAILED = "failed"
    REJECTED = "rejected"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    CANCELLED = "cancelled"
    UNUSED = "unused"
    LEAVING = "leaving"


class RefusalReason(enum.StrEnum):
    """Why a request was refused or stopped.

    `LOAD`: the pool is overloaded. `DEADLINE`: it was not granted in time.
    `HIGHER_TIER`: requests of higher tiers need the pool. `IMPOSSIBLE`: it would be
    late on an idle target too, or is larger than the memory of a target.
    `CUSTOMER_LIMIT`: its customer has too many waiting requests. `NO_TARGET`: no target
    accepts requests. `UNAVAILABLE`: its tier is not known, or part of the system cannot
    be reached. `VERSION_GONE`: it continues a stream, and no target of the version that
    began the stream accepts requests. `VERSION_UNKNOWN`: it continues a stream, and it
    is not known which of several versions began it. `NO_VERSION`: targets accept
    requests, but none of a version that may serve.
    """

    LOAD = "load"
    DEADLINE = "deadline"
    HIGHER_TIER = "higher-tier"
    IMPOSSIBLE = "impossible"
    CUSTOMER_LIMIT = "customer-limit"
    NO_TARGET = "no-target"
    UNAVAILABLE = "unavailable"
    VERSION_GONE = "version-gone"
    VERSION_UNKNOWN = "version-unknown"
    NO_VERSION = "no-version"


@dataclass(frozen=True, slots=True)
class Work:
    """A request as its dispatcher knows it; times are seconds on its clock.

    Parameters
    ----------
    ask : str
        Id of this grant request; each new one for the same request has a new id.
    request, instance : str
        Id of the request, and name of the instance that received it.
    customer, tier : str
        Names of the customer and the tier.
    rank : int
        Rank of the tier, 0 the highest.
    prompt_tokens, output_tokens : int
        Estimates by the instance; 0 prompt tokens for a plain service.
    deadline : float
        Time at which the first byte is due.
    received_at : float
        Time of receipt.
    stoppable : bool
        Whether it may be stopped while it runs.
    prefixes : tuple of int
        Hashes of prompt prefixes, the shortest first.
    avoid : tuple of str
        Targets at which an earlier attempt failed.
    first_token_due : float
        Latest time at which the first token counts as on time; 0 if not given.
    data_centre : str
        Data centre of the instance.
    answer_due : float
        Time at which the whole answer is due; 0 if not given.
    identity : int
        Identifier common to all attempts of a caller at one request; 0 if not known.
    suspect : int
        Fingerprint of the request if targets crashed while they ran it, else 0.
    avoided_by_backoff : tuple of str
        Targets that accept no requests from the instance for now; none is granted.
    route : str
        Name of the route.
    memory_tokens : int
        Maximum tokens that it takes of a target's memory; 0 if not known.
    bound_version : str or None
        Software version that began the stream that it continues; None if any may run
        it, or if `resumes` tells which.
    stream : int
        Hash by which its caller may later resume its stream; 0 if it has none.
    resumes : int
        Hash of the stream that its caller resumes; 0 if it begins one.
    """

    ask: str
    request: str
    instance: str
    customer: str
    tier: str
    rank: int
    prompt_tokens: int
    output_tokens: int
    deadline: float
    received_at: float
    stoppable: bool = False
    prefixes: tuple[int, ...] = ()
    avoid: tuple[str, ...] = ()
    first_token_due: float = 0.0
    data_centre: str = ""
    answer_due: float = 0.0
    identity: int = 0
    suspect: int = 0
    avoided_by_backoff: tuple[str, ...] = ()
    route: str = ""
    memory_tokens: int = 0
    bound_version: str | None = None
    stream: int = 0
    resumes: int = 0


@dataclass(frozen=True, slots=True)
class RequestGrant:
    """A request asks for a target."""

    work: Work


@dataclass(frozen=True, slots=True)
class Withdraw:
    """A request no longer needs a target or does not use its grant."""

    ask: str


@dataclass(frozen=True, slots=True)
class FirstToken:
    """The first token of the answer arrived `seconds` after the dispatch.

    `pace` is the factor by which work takes longer than usual on the target's machine;
    0 if the target does not tell.
    """

    ask: str
    seconds: float
    pace: float = 0.0


@dataclass(frozen=True, slots=True)
class Finished:
    """A granted request ended.

    Parameters
    ----------
    ask : str
        Id of the grant.
    outcome : GrantOutcome
        How the request ended.
    tokens : int
        Number of tokens of the answer.
    decode_seconds : float
        Seconds from the first to the last token; for an answer that was not streamed,
        the negative of the seconds from dispatch to its end; 0 if not known.
    computed : int
        Prompt tokens that the target reports as computed; -1 if not reported.
    longest_pause : float
        Longest pause between two stream events in seconds; 0 if not known.
    pace, pace_age : float
        As `FirstToken.pace`, and the seconds since it was received.
    in_path : bool
        Whether it failed on the path from its instance, which says nothing about the
        target.
    """

    ask: str
    outcome: GrantOutcome
    tokens: int = 0
    decode_seconds: float = 0.0
    computed: int = -1
    longest_pause: float = 0.0
    pace: float = 0.0
    pace_age: float = 0.0
    in_path: bool = False


@dataclass(frozen=True, slots=True)
class OriginsConfirmed:
    """No version but the plan's `stream_origins` began a stream before a time.

    Parameters
    ----------
    at : float
        The time, on the dispatcher's clock.
    """

    at: float


@dataclass(frozen=True, slots=True)
class HeldGrants:
    """All grants that an instance holds; others counted for it are lost.

    Parameters
    ----------
    instance : str
        Name of the instance.
    asks : frozenset of str
        The grants.
    hanging : frozenset of str
        Those whose ends cannot reach the instance, since it lost the path to their
        targets.
    """

    instance: str
    asks: frozenset[str]
    hanging: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class LearnedEstimates:
    """Estimates of another dispatcher of the pool, or of one before a full restart.

    Parameters
    ----------
    slowness : dict of str to float
        Slowness factor by name of target.
    base_seconds, seconds_per_prompt_token : float
        Seconds to the first token, and seconds of prefill per prompt token; 0 if not
        known.
    prefill_chunk_s : float
        Seconds of prefill that a target does between two stream events; 0 if not
        known.
    is_fallback : bool
        Whether they only fill in for estimates that are not known yet.
    """

    slowness: dict[str, float]
    base_seconds: float = 0.0
    seconds_per_prompt_token: float = 0.0
    prefill_chunk_s: float = 0.0
    is_fallback: bool = False


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The last load report of a target; it may be out of date.

    `running` and `waiting` are -1 if not declared; `pace` is as in `FirstToken`.
    """

    target: str
    running: int
    waiting: int
    leaving: bool
    reachable: bool = True
    pace: float = 0.0


@dataclass(frozen=True, slots=True)
class AdoptRunning:
    """A running request, reported by its instance after a change of dispatcher."""

    work: Work
    target: str


@dataclass(frozen=True, slots=True)
class KnownPlace:
    """A place for a returning request that an instance knows.

    Parameters
    ----------
    identity : int
        Identity of the refused request.
    customer : str
        Name of its customer.
    rank : int
        Rank of the request.
    seconds : float
        Booked seconds of service at slowness 1.
    starts_at : float
        The time named, on the dispatcher's clock.
    used : bool
        Whether the request returned and was granted a target.
    """

    identity: int
    customer: str
    rank: int
    seconds: float
    starts_at: float
    used: bool = False


@dataclass(frozen=True, slots=True)
class ImportPlaces:
    """Places that an instance reports after a change of dispatcher."""

    places: tuple[KnownPlace, ...]


@dataclass(frozen=True, slots=True)
class Recovered:
    """All live instances have registered; the dispatcher may decide."""


@dataclass(frozen=True, slots=True)
class SuspectPartition:
    """Whether another dispatcher may be active on the far side of a partition.

    While this is so nothing is refused for load, because the load on the other side is
    not known.
    """

    is_suspected: bool


@dataclass(frozen=True, slots=True)
class InstanceGone:
    """An instance is dead; its requests and grants are dropped."""

    instance: str


@dataclass(frozen=True, slots=True)
class Configure:
    """A new version of the configuration is in force."""

    configuration: object = field(repr=False)


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class Grant:
    """A request is assigned to `target`.

    Parameters
    ----------
    work : Work
        The request.
    target : str
        Name of the target.
    wait : float
        Seconds that it waited.
    candidates : dict of str to float
        Estimated seconds to the end of the answer, by candidate target; from a slot
        dispatcher the weighted cost in seconds.
    limited_targets : int
        Number of targets of the pool with a rate limit.
    share : float or None
        Customer's recent share of the seconds granted in its rank; None where customers
        do not share the rank by weight.
    attempt : str
        Value of ``Attempt`` where returns are planned; else empty.
    used_place : bool
        Whether it used a planned place.
    memory_tokens : int
        Tokens in use of the target's memory after the grant; 0 if they are less than
        half of it.
    version : str or None
        Software version of the target; None if targets have none.
    stream_origin : StreamOrigin or None
        How the version that began the request's stream is known; None if the request
        continues no stream.
    """

    work: Work
    target: str
    wait: float
    candidates: dict[str, float]
    limited_targets: int = 0
    share: float | None = None
    attempt: str = ""
    used_place: bool = False
    memory_tokens: int = 0
    version: str | None = None
    stream_origin: StreamOrigin | None = None


@dataclass(frozen=True, slots=True)
class Refuse:
    """A request is not run; the caller may retry after `retry_after` seconds.

    `limited_targets` and `share` are as in `Grant`. `attempt`, `place_s` and
    `place_seconds` are set where returns are planned: the value of ``Attempt``, the
    seconds until the booked place, and its seconds of service.
    """

    work: Work
    reason: RefusalReason
    retry_after: float
    limited_targets: int = 0
    share: float | None = None
    attempt: str = ""
    place_s: float = 0.0
    place_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class Stop:
    """A running request is cancelled to free its slot for a higher tier."""

    work: Work
    target: str


@dataclass(frozen=True, slots=True)
class QueryGrants:
    """An instance must report its grants, because some should have ended."""

    instance: str


@dataclass(frozen=True, slots=True)
class GrantLost:
    """A grant is released because its instance did not confirm it."""

    work: Work
    target: str


@dataclass(frozen=True, slots=True)
class ConfirmOrigins:
    """A request waits until `OriginsConfirmed` is received for the time of its receipt.

    It resumes a stream that is not known, and a single version is known to have begun
    streams.
    """


@dataclass(frozen=True, slots=True)
class ConcludeRollout:
    """The rollout of a version to the pool has ended.

    Parameters
    ----------
    version : str
        Name of the version.
    number : int
        Number of the rollout order.
    state : RolloutState
        How the rollout ended.
    reason : str
        Reason, for operators.
    """

    version: str
    number: int
    state: RolloutState
    reason: str


Decision = (
    Grant | Refuse | Stop | QueryGrants | GrantLost | ConfirmOrigins | ConcludeRollout
)
