"""hibiscusstep.peer: data classes for the messages between instances."""

from dataclasses import dataclass, field

__all__ = [
    "AnswerAsk",
    "AnswerReply",
    "Beat",
    "ClaimAsk",
    "ClaimRelease",
    "ClaimReply",
    "ConfigurationAsk",
    "ConfigurationReply",
    "Heartbeat",
    "MESSAGES",
    "NO_LIMIT",
    "NotDispatcher",
    "PlaceInfo",
    "PoolAsk",
    "PoolFinished",
    "PoolFirstToken",
    "PoolGrant",
    "PoolHeld",
    "PoolInquire",
    "PoolLearnt",
    "PoolQueued",
    "PoolRefuse",
    "PoolRegister",
    "PoolStop",
    "PoolStreams",
    "PoolWithdraw",
    "Received",
    "Relays",
    "RolloutRecord",
    "RolloutRecords",
    "RolloutWrite",
    "StatusAsk",
    "StatusReply",
    "StreamGroup",
    "SuspectState",
    "SuspectStates",
    "TargetState",
    "TargetStates",
    "TunnelOpen",
    "Usage",
    "UsageAsk",
    "UsageHistory",
    "UsageScope",
    "WorkInfo",
]


@dataclass(slots=True)
class WorkInfo:
    """`hibiscusstep.routing.messages.Work` with times in seconds relative to now."""

    ask: str
    request: str
    instance: str
    customer: str
    tier: str
    rank: int
    prompt_tokens: int
    output_tokens: int
    deadline_in: float
    waited: float
    stoppable: bool
    prefixes: list[int]
    avoid: list[str]
    due_in: float = 0.0
    data_centre: str = ""
    ends_in: float = 0.0
    identity: int = 0
    suspect: int = 0
    resting: list[str] = field(default_factory=list)
    route: str = ""
    memory_tokens: int = 0
    bound_version: str | None = None
    stream: int = 0
    resumes: int = 0


@dataclass(slots=True)
class Heartbeat:
    """The full state that an instance announces about itself.

    Sent to instances that do not know the sender, on each change, and periodically.

    Parameters
    ----------
    known : list of str
        Peer addresses of known instances; empty in most heartbeats.
    greet : bool
        Whether the receiver is asked to send its own heartbeat.
    followers : int
        Number of instances that a relay forwards messages for.
    parent : str
        Peer address of the relay that the sender follows; empty if the sender is a
        relay.
    accepts_tunnels : bool
        Whether the sender serves tunnels to targets for other instances.
    receives_streams : bool
        Whether the sender knows the message `PoolStreams`.
    """

    instance: str
    incarnation: str
    data_centre: str
    region: str
    peer_address: str
    operator_address: str
    version: int
    ready: bool
    leaving: bool
    known: list[str]
    greet: bool
    relay: bool = True
    capacity: int = 1
    followers: int = 0
    parent: str = ""
    accepts_tunnels: bool = False
    receives_streams: bool = False


@dataclass(slots=True)
class Relays:
    """All relays and the number of live instances, sent by a relay to its followers."""

    relays: list[Heartbeat]
    instances: int


@dataclass(slots=True)
class Beat:
    """A short liveness message to instances that know the sender's heartbeat."""

    incarnation: str
    version: int


@dataclass(slots=True)
class PoolAsk:
    """Asks for a target of a pool for a request."""

    pool: str
    work: WorkInfo


@dataclass(slots=True)
class PoolWithdraw:
    """Cancels an ask, or the grant that answered it."""

    pool: str
    ask: str


@dataclass(slots=True)
class PoolFirstToken:
    """Reports that the first token arrived `seconds` after the dispatch.

    `pace` is as in ``FirstToken``. `stream` is the hash of the stream that began, 0 if
    none did or its instance runs an older build; `version` the software version of its
    target, None if the pool's targets have none.
    """

    pool: str
    ask: str
    seconds: float
    pace: float = 0.0
    stream: int = 0
    version: str | None = None


@dataclass(slots=True)
class PoolFinished:
    """Reports the end of a granted request; `outcome` is a ``GrantOutcome``."""

    pool: str
    ask: str
    outcome: str
    tokens: int
    decode_seconds: float
    computed: int
    longest_pause: float = 0.0
    pace: float = 0.0
    pace_age: float = 0.0
    in_path: bool = False


@dataclass(slots=True)
class PlaceInfo:
    """A place that a refusal named, or that a returning request used.

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
    starts_in : float
        Seconds until the named time; negative if it has passed.
    used : bool
        Whether the request returned and was granted a target.
    """

    identity: int
    customer: str
    rank: int
    seconds: float
    starts_in: float
    used: bool = False


@dataclass(slots=True)
class StreamGroup:
    """Hashes of streams that began at a software version."""

    version: str
    streams: list[int]


@dataclass(slots=True)
class PoolRegister:
    """All requests of an instance for a pool, sent to a newly chosen dispatcher.

    `targets` holds the target of each entry of `running`, `places` the places for
    returning requests that the instance knows of, `streams` its recent streams.
    """

    pool: str
    instance: str
    incarnation: str
    waiting: list[WorkInfo]
    running: list[WorkInfo]
    targets: list[str]
    places: list[PlaceInfo] = field(default_factory=list)
    streams: list[StreamGroup] = field(default_factory=list)


@dataclass(slots=True)
class PoolStreams:
    """Recent streams of a pool, sent by its dispatcher to those that may succeed it."""

    pool: str
    streams: list[StreamGroup]


@dataclass(slots=True)
class PoolGrant:
    """Assigns `target` to an ask; `used_place` if it returned in its planned place.

    `version` is the target's software version as the dispatcher knows it.
    """

    pool: str
    ask: str
    target: str
    waited: float
    used_place: bool = False
    version: str | None = None


@dataclass(slots=True)
class PoolQueued:
    """Confirms periodically that the dispatcher is alive and holds the receiver's asks.

    `again_in` is the maximum number of seconds until the next confirmation.
    """

    pool: str
    again_in: float = 0.0


@dataclass(slots=True)
class PoolInquire:
    """Asks which grants the receiver holds; answered by ``PoolHeld``."""

    pool: str


@dataclass(slots=True)
class PoolHeld:
    """The grants of a pool that an instance still holds; all others are void.

    Parameters
    ----------
    pool, instance : str
        The pool, and the name of the instance.
    asks : list of str
        The grants.
    hanging : list of str
        Those on whose lost path nothing has arrived; their targets may have ended them.
    """

    pool: str
    instance: str
    asks: list[str]
    hanging: list[str] = field(default_factory=list)


@dataclass(slots=True)
class PoolLearnt:
    """A dispatcher's estimates for its successor; see ``LearnedEstimates``."""

    pool: str
    targets: list[str]
    slowness: list[float]
    first: float = 0.0
    token: float = 0.0
    share: float = 0.0


@dataclass(slots=True)
class PoolRefuse:
    """Refuses an ask; `reason` is a value of ``RefusalReason``.

    `place_s` is the seconds until a planned place for its return, 0 for none, and
    `place_seconds` the booked seconds of service.
    """

    pool: str
    ask: str
    reason: str
    retry_after: float
    place_s: float = 0.0
    place_seconds: float = 0.0


@dataclass(slots=True)
class PoolStop:
    """Orders the receiver to stop a running request."""

    pool: str
    ask: str


@dataclass(slots=True)
class NotDispatcher:
    """Rejects a message: the sender is not the dispatcher of the pool."""

    pool: str


@dataclass(slots=True)
class ClaimAsk:
    """Asks for a key to be claimed, or only looked up if `lookup` is set.

    `supersedes` is the id of an attempt that its holder reported as dead.
    """

    number: str
    shard: int
    digest: bytes
    body_digest: bytes
    holder: str
    incarnation: str
    attempt: str
    supersedes: str
    lookup: bool


@dataclass(slots=True)
class ClaimReply:
    """Answers `ClaimAsk`; `result` is a value of ``ClaimResult``.

    The fields after it describe the holder of the key, if it is held.
    """

    number: str
    result: str
    holder: str
    incarnation: str
    attempt: str
    body_digest: bytes


@dataclass(slots=True)
class ClaimRelease:
    """Releases the key of an attempt that was not and will not be dispatched."""

    shard: int
    digest: bytes
    attempt: str


@dataclass(slots=True)
class AnswerAsk:
    """Asks for the state and answer of an attempt that the receiver holds."""

    number: str
    attempt: str


@dataclass(slots=True)
class AnswerReply:
    """Answers `AnswerAsk`; `state` is a value of ``AnswerState``.

    The fields after it hold the answer, if it was kept.
    """

    number: str
    state: str
    status: int
    content_type: str
    body: bytes


@dataclass(slots=True)
class ConfigurationAsk:
    """Asks for the configuration that the receiver has in force."""

    number: str


@dataclass(slots=True)
class ConfigurationReply:
    """The configuration object as the platform stores it; version 0 means none."""

    number: str
    version: int
    value: bytes


@dataclass(slots=True)
class StatusAsk:
    """Asks for the state of a pool that the receiver dispatches."""

    number: str
    pool: str


@dataclass(slots=True)
class StatusReply:
    """Answers `StatusAsk`; `text` is the JSON form of `DispatcherHost.status`."""

    number: str
    text: str


class UsageScope:
    """The set of instances whose usage a `Usage` message reports."""

    # A relay and its followers; an instance without followers is a group of one.
    GROUP = "group"
    # One follower of the receiver.
    FOLLOWER = "follower"
    # All instances except the receiver, as known by the receiver's relay.
    ALL = "all"
    # All instances before a restart, as saved in the platform's store.
    KEPT = "kept"


@dataclass(slots=True)
class Usage:
    """Tokens used by customers at an instance.

    `totals` counts since the start of the instance. `recent` is empty or holds the
    buckets of the quota window, newest first, for each customer in turn; all customers
    have the same number of buckets.
    """

    incarnation: str
    scope: str
    customers: list[str]
    totals: list[int]
    recent: list[int] = field(default_factory=list)


@dataclass(slots=True)
class UsageAsk:
    """Asks for the `UsageHistory` of the receiver.

    `incarnation` is the sender's.
    """

    incarnation: str


@dataclass(slots=True)
class UsageHistory:
    """All usage of customers known to the sender, including that of ended instances.

    Parameters
    ----------
    age : float
        Seconds since the sender's start.
    known_for : float
        Seconds for which the sender knows the usage.
    kept_known : bool
        Whether the usage saved before a restart is included.
    listed : list of str
        The customers in the saved usage.
    usages : list of Usage
        Usage records with `recent` set.
    instances : int
        Number of instances that are live, or unreachable and possibly live.
    """

    age: float
    known_for: float
    kept_known: bool
    listed: list[str]
    usages: list[Usage]
    instances: int = 0


# Value of `TargetState.rate_limit` of a target without a limit.
NO_LIMIT = -1.0


@dataclass(slots=True)
class TargetState:
    """The state of a target at a revision of the store.

    Parameters
    ----------
    name : str
        Id under which the target registered.
    removed : bool
        Whether the target was removed.
    incarnation : int
        Start of the target in Unix milliseconds; 0 if the target does not report it.
    version : str
        Software version of the target.
    rate_limit : float
        Requests per second that it accepts; `NO_LIMIT` if it has no limit.
    rate_limit_version : int
        Number of changes of the limit so far.
    rejection_limit, rejection_limit_version : float, int
        The same for the requests per second that it bears to reject.
    """

    name: str
    revision: int
    removed: bool
    pool: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    incarnation: int = 0
    version: str = ""
    rate_limit: float = NO_LIMIT
    rate_limit_version: int = 0
    rejection_limit: float = NO_LIMIT
    rejection_limit_version: int = 0


@dataclass(slots=True)
class TargetStates:
    """New states of targets.

    If `revision` is not 0, `states` holds all targets at that revision of the store.
    If `announced` is set, only what the targets announced in responses is new; it says
    nothing of their entries in the store.
    """

    states: list[TargetState]
    revision: int = 0
    announced: bool = False


@dataclass(slots=True)
class SuspectState:
    """A request, or a part of prompts, that targets were running when they crashed.

    Parameters
    ----------
    fingerprint : int
        Hash that is equal for all attempts at the request, or all uses of the part.
    targets : list of str
        Targets whose crash is attributed to the request.
    weights, spans, ages : list of float
        For each of these crashes: its weight, the seconds for which the request had
        been at the target, and the seconds since the crash.
    cleared : list of str
        Targets whose crash is no longer attributed, because the request was answered.
    """

    fingerprint: int
    targets: list[str]
    weights: list[float]
    spans: list[float]
    ages: list[float]
    cleared: list[str]


@dataclass(slots=True)
class SuspectStates:
    """The sender's records of requests and parts that may have crashed targets.

    Parameters
    ----------
    states, parts : list of SuspectState
        Requests, and parts of their prompts.
    """

    states: list[SuspectState]
    parts: list[SuspectState] = field(default_factory=list)


@dataclass(slots=True)
class RolloutRecord:
    """A pool's versions and its rollout order, as known to the sender.

    Parameters
    ----------
    pool, version : str
        The pool, and the version to which its traffic moves.
    revision : int
        Revision of the order in the store; 0 if no order is known.
    removed : bool
        Whether the order was withdrawn.
    duration : float
        Seconds from the order to its planned completion.
    state, state_version : str
        A value of ``RolloutState``, empty if there is none, and the version that it
        applies to.
    number : int
        Identifies the order.
    age : float
        Seconds since any instance first saw the order.
    requests, exposed, answers : int
        As in ``RolloutProgress``.
    is_known : bool
        Whether these counts are complete.
    evidence : float
        As in ``RolloutProgress``.
    is_rejected : bool
        Whether the version was found to be bad.
    serving : list of str
        Current versions.
    serving_since : int
        Revision of the order whose completion made them current; 0 if they were
        current before any order.
    serving_for : float
        Seconds for which the sender has known them to be current.
    serving_began : float
        Unix time at which an instance first took them for current; 0 if the sender's
        build does not tell it.
    begun : list of str
        Versions that may have begun streams, as they are in the store.
    begun_revision : int
        Revision of these in the store; 0 if none are known.
    """

    pool: str
    version: str
    revision: int
    removed: bool
    duration: float
    state: str
    state_version: str
    number: int
    age: float
    requests: int
    exposed: int
    answers: int
    is_known: bool
    evidence: float
    is_rejected: bool
    serving: list[str]
    serving_since: int
    serving_for: float
    serving_began: float = 0.0
    begun: list[str] = field(default_factory=list)
    begun_revision: int = 0


@dataclass(slots=True)
class RolloutRecords:
    """The sender's records of pools' versions and rollout orders."""

    records: list[RolloutRecord]


@dataclass(slots=True)
class RolloutWrite:
    """Asks for an order's status to be written by an instance that reaches the store.

    Sent by a dispatcher that cannot reach the store itself.
    """

    pool: str
    revision: int
    version: str
    state: str


@dataclass(slots=True)
class TunnelOpen:
    """Asks for a tunnel to a target; the rest of the connection belongs to it.

    Parameters
    ----------
    target : str
        Name of the target.
    address : str
        Its IP address and port as the sender knows it.
    """

    target: str
    address: str


@dataclass(slots=True)
class Received:
    """A message from a peer.

    Parameters
    ----------
    sender : str
        Peer address that the sender gave in the handshake.
    message : object
        One of the classes of this module.
    """

    sender: str
    message: object


MESSAGES = (
    Heartbeat,
    PoolAsk,
    PoolWithdraw,
    PoolFirstToken,
    PoolFinished,
    PoolRegister,
    PoolGrant,
    PoolRefuse,
    PoolStop,
    NotDispatcher,
    ClaimAsk,
    ClaimReply,
    ClaimRelease,
    AnswerAsk,
    AnswerReply,
    ConfigurationAsk,
    ConfigurationReply,
    StatusAsk,
    StatusReply,
    Beat,
    PoolQueued,
    Usage,
    UsageAsk,
    UsageHistory,
    TargetStates,
    PoolHeld,
    PoolLearnt,
    Relays,
    PoolInquire,
    SuspectStates,
    RolloutRecords,
    RolloutWrite,
    TunnelOpen,
    PoolStreams,
)
