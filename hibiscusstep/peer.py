"""hibiscusstep.peer: the messages between instances, as data classes."""

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
    "NotDispatcher",
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
    "PoolWithdraw",
    "Received",
    "Relays",
    "RolloutRecord",
    "RolloutRecords",
    "RolloutWrite",
    "StatusAsk",
    "StatusReply",
    "SuspectState",
    "SuspectStates",
    "TargetState",
    "TargetStates",
    "Usage",
    "UsageAsk",
    "UsageHistory",
    "UsageScope",
    "WorkInfo",
]


@dataclass(slots=True)
class WorkInfo:
    """`hibiscusstep.routing.messages.Work` with times relative to now, in seconds."""

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


@dataclass(slots=True)
class Heartbeat:
    """All that an instance tells of itself.

    Sent to those that do not know it, when it changes, and now and then; `known`
    holds peer addresses and is mostly empty; `greet` asks for the like in return.
    `followers` counts the instances that a relay relays for; `parent` is the peer
    address of the relay that the sender follows, empty if it is one itself.
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


@dataclass(slots=True)
class Relays:
    """A relay tells its followers of all relays, and how many instances live."""

    relays: list[Heartbeat]
    instances: int


@dataclass(slots=True)
class Beat:
    """A sign of life between heartbeats, from whoever was heard before."""

    incarnation: str
    version: int


@dataclass(slots=True)
class PoolAsk:
    """A request wants a target of a pool."""

    pool: str
    work: WorkInfo


@dataclass(slots=True)
class PoolWithdraw:
    """An ask, or the grant that answers it, is void."""

    pool: str
    ask: str


@dataclass(slots=True)
class PoolFirstToken:
    """The first token came, `seconds` after the dispatch."""

    pool: str
    ask: str
    seconds: float


@dataclass(slots=True)
class PoolFinished:
    """A granted request ended; `outcome` is a value of ``Outcome``."""

    pool: str
    ask: str
    outcome: str
    tokens: int
    decode_seconds: float
    computed: int
    longest_pause: float = 0.0


@dataclass(slots=True)
class PoolRegister:
    """All that an instance holds for a pool, to a dispatcher that is new to it."""

    pool: str
    instance: str
    incarnation: str
    waiting: list[WorkInfo]
    running: list[WorkInfo]
    targets: list[str]


@dataclass(slots=True)
class PoolGrant:
    """The ask may go to `target`."""

    pool: str
    ask: str
    target: str
    waited: float


@dataclass(slots=True)
class PoolQueued:
    """The dispatcher is alive and holds the receiver's asks; repeated while it does.

    `again_in` is the seconds until it says so again, at the latest.
    """

    pool: str
    again_in: float = 0.0


@dataclass(slots=True)
class PoolInquire:
    """The dispatcher asks which grants the receiver holds; see ``PoolHeld``."""

    pool: str


@dataclass(slots=True)
class PoolHeld:
    """The grants of a pool that an instance still holds; any others are void."""

    pool: str
    instance: str
    asks: list[str]


@dataclass(slots=True)
class PoolLearnt:
    """What a pool's dispatcher learnt, for its successor; see ``messages.Learnt``."""

    pool: str
    targets: list[str]
    slowness: list[float]
    first: float = 0.0
    token: float = 0.0
    share: float = 0.0


@dataclass(slots=True)
class PoolRefuse:
    """The ask is refused; `reason` is a value of ``Reason``."""

    pool: str
    ask: str
    reason: str
    retry_after: float


@dataclass(slots=True)
class PoolStop:
    """The running request must end."""

    pool: str
    ask: str


@dataclass(slots=True)
class NotDispatcher:
    """The sender does not think that it dispatches the pool."""

    pool: str


@dataclass(slots=True)
class ClaimAsk:
    """A key is to be claimed, or with `lookup` just looked up.

    `supersedes` names an attempt that its holder says is dead.
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
    """`result` is a value of ``ClaimResult``; who holds the key if it is held."""

    number: str
    result: str
    holder: str
    incarnation: str
    attempt: str
    body_digest: bytes


@dataclass(slots=True)
class ClaimRelease:
    """The attempt was never dispatched and never will be."""

    shard: int
    digest: bytes
    attempt: str


@dataclass(slots=True)
class AnswerAsk:
    """Asks what became of an attempt that the receiver holds."""

    number: str
    attempt: str


@dataclass(slots=True)
class AnswerReply:
    """`state` is a value of ``AnswerState``; the answer if it was kept."""

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
    """The configuration object as the platform keeps it; version 0 is none."""

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
    """JSON text of ``PoolStatus``."""

    number: str
    text: str


class UsageScope:
    """Whose use a `Usage` tells."""

    # A relay with its followers; an instance without any is a group of one.
    GROUP = "group"
    # An instance that follows the receiver.
    FOLLOWER = "follower"
    # All but the receiver, as its relay knows it.
    ALL = "all"
    # All before a restart, as it was kept in the platform's store.
    KEPT = "kept"


@dataclass(slots=True)
class Usage:
    """What an instance let customers use, in tokens.

    `totals` are since its start. `recent` is empty, or has the parts of the quota's
    window by age, newest first, so many for each customer in turn.
    """

    incarnation: str
    scope: str
    customers: list[str]
    totals: list[int]
    recent: list[int] = field(default_factory=list)


@dataclass(slots=True)
class UsageAsk:
    """Asks for all that the receiver knows of customers' use.

    `incarnation` is the sender's.
    """

    incarnation: str


@dataclass(slots=True)
class UsageHistory:
    """What the sender knows of customers' use, of ended instances too.

    Parameters
    ----------
    age, known_for : float
        Seconds since the sender's start, and for which it knows what was used.
    kept_known : bool
        Whether what was kept before a restart is among it.
    listed : list of str
        The customers of which something was kept.
    usages : list of Usage
        With `recent`.
    instances : int
        That live or, out of the sender's reach, may live.
    """

    age: float
    known_for: float
    kept_known: bool
    listed: list[str]
    usages: list[Usage]
    instances: int = 0


@dataclass(slots=True)
class TargetState:
    """A target's state at a revision of the store; gone if `removed`.

    `name` is the id under which it registered, `incarnation` the Unix millisecond of
    its start, 0 if it does not say, `version` that of its software.
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


@dataclass(slots=True)
class TargetStates:
    """States of targets that the sender has just learnt.

    Where `revision` is not 0, these are all targets at that revision of the store.
    """

    states: list[TargetState]
    revision: int = 0


@dataclass(slots=True)
class SuspectState:
    """What the sender knows of a request under which targets crashed.

    Parameters
    ----------
    fingerprint : int
        What all attempts at the request share.
    targets : list of str
        Those whose crash counts against it.
    weights, spans, ages : list of float
        Of each of these crashes: how much it counts, seconds for which the request had
        been there, and seconds since.
    cleared : list of str
        Targets whose crash counts no more since the request was answered.
    """

    fingerprint: int
    targets: list[str]
    weights: list[float]
    spans: list[float]
    ages: list[float]
    cleared: list[str]


@dataclass(slots=True)
class SuspectStates:
    """Requests under which targets crashed, as the sender knows them."""

    states: list[SuspectState]


@dataclass(slots=True)
class RolloutRecord:
    """What the sender knows of a pool's versions and of the order to change them.

    Parameters
    ----------
    pool, version : str
        The pool, and the version to which its traffic is to move.
    revision : int
        Of the order in the store; 0 if none is known.
    removed : bool
        Whether the order was withdrawn.
    duration : float
        Seconds from the order until it should be completed.
    state, state_version : str
        A value of ``RolloutState``, empty if there is none, and which version it is of.
    number : int
        Tells the order from others.
    age : float
        Seconds since it was first seen by any instance.
    requests, exposed, answers : int
        As in ``RolloutProgress``.
    is_known : bool
        Whether that is all.
    evidence : float
        As there.
    is_rejected : bool
        Whether the version was found to be bad.
    serving : list of str
        Versions in force.
    serving_since : int
        Revision of the order whose completion put them in force; 0 if they were there
        before any.
    serving_for : float
        Seconds for which the sender has known them.
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


@dataclass(slots=True)
class RolloutRecords:
    """Pools' versions and orders, as the sender knows them."""

    records: list[RolloutRecord]


@dataclass(slots=True)
class RolloutWrite:
    """Asks for an order's status to be written: the sender can't reach the store."""

    pool: str
    revision: int
    version: str
    state: str


@dataclass(slots=True)
class Received:
    """A message from a peer.

    Parameters
    ----------
    sender : str
        Peer address that the sender gave of itself.
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
)
