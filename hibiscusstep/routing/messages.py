"""hibiscusstep.routing.messages: what a dispatcher is told and what it decides."""

import enum
from dataclasses import dataclass, field

from hibiscusstep.rollout.order import RolloutState

__all__ = [
    "Adopt",
    "Ask",
    "Conclude",
    "Configure",
    "Doubt",
    "Decision",
    "Finished",
    "FirstToken",
    "Grant",
    "Held",
    "Inquire",
    "Learnt",
    "InstanceGone",
    "LoadReport",
    "Lost",
    "Outcome",
    "Reason",
    "Recovered",
    "Refuse",
    "Stop",
    "Tick",
    "Withdraw",
    "Work",
]


class Outcome(enum.StrEnum):
    """How a granted request ended at its target.

    `FAILED` is a target's own answer that it failed, `REJECTED` one that it did not
    run the request, `UNUSED` a grant that was not taken up.
    """

    DONE = "done"
    FAILED = "failed"
    REJECTED = "rejected"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    CANCELLED = "cancelled"
    UNUSED = "unused"
    LEAVING = "leaving"


class Reason(enum.StrEnum):
    """Why a request was refused, or stopped."""

    LOAD = "load"
    DEADLINE = "deadline"
    HIGHER_TIER = "higher-tier"
    IMPOSSIBLE = "impossible"
    CUSTOMER_LIMIT = "customer-limit"
    NO_TARGET = "no-target"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class Work:
    """A request as the dispatcher sees it.

    Parameters
    ----------
    ask : str
        Unique id of this ask; a repeated ask of a request has a new one.
    request, instance : str
        Whose it is: the request's id and the instance that holds it.
    customer, tier : str
        Names.
    rank : int
        Rank of the tier, 0 the highest.
    prompt_tokens, output_tokens : int
        Estimated by the instance; 0 prompt tokens for a plain service.
    deadline : float
        When the first byte is due, in seconds on the dispatcher's clock.
    received : float
        When it was received, in seconds on the dispatcher's clock.
    stoppable : bool
        Whether it may be stopped while it runs.
    prefixes : tuple of int
        Hashes of leading parts of the prompt, shortest first.
    avoid : tuple of str
        Targets that failed this request before.
    due : float
        When the first token is on time at the latest, on the dispatcher's clock; 0 if
        not told.
    data_centre : str
        Where the instance runs.
    ends : float
        When the whole answer must have come, on the dispatcher's clock; 0 if not told.
    identity : int
        The same for all attempts of a caller at one request; 0 if not known.
    suspect : int
        The request's fingerprint if targets crashed under it, else 0.
    resting : tuple of str
        Targets that want nothing from the instance for now; none of them is granted.
    route : str
        By which it came.
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
    received: float
    stoppable: bool = False
    prefixes: tuple[int, ...] = ()
    avoid: tuple[str, ...] = ()
    due: float = 0.0
    data_centre: str = ""
    ends: float = 0.0
    identity: int = 0
    suspect: int = 0
    resting: tuple[str, ...] = ()
    route: str = ""


@dataclass(frozen=True, slots=True)
class Ask:
    """A request wants a target."""

    work: Work


@dataclass(frozen=True, slots=True)
class Withdraw:
    """The request no longer wants one, or does not use its grant."""

    ask: str


@dataclass(frozen=True, slots=True)
class FirstToken:
    """The answer's first token came `seconds` after the dispatch."""

    ask: str
    seconds: float


@dataclass(frozen=True, slots=True)
class Finished:
    """A granted request ended.

    Parameters
    ----------
    ask : str
        The ask that was granted.
    outcome : Outcome
        How.
    tokens : int
        Tokens of the answer.
    decode_seconds : float
        Seconds from the first to the last token; if the answer came in one piece,
        minus the seconds from dispatch to its end; 0 if not known.
    computed : int
        Prompt tokens that the target says it computed; -1 if it does not say.
    longest_pause : float
        The longest pause between two events, in seconds; 0 if not known.
    """

    ask: str
    outcome: Outcome
    tokens: int = 0
    decode_seconds: float = 0.0
    computed: int = -1
    longest_pause: float = 0.0


@dataclass(frozen=True, slots=True)
class Held:
    """All grants that an instance holds; what else is counted for it got lost."""

    instance: str
    asks: frozenset[str]


@dataclass(frozen=True, slots=True)
class Learnt:
    """What a dispatcher of the pool learnt, or one before a restart of all.

    Parameters
    ----------
    slowness : dict of str to float
        Of targets by name.
    first, token : float
        Seconds before a first token, and of a prompt's token; 0 if not learnt.
    share : float
        Seconds of prompts that are read between two events; 0 if not learnt.
    old : bool
        Whether it only stands in for what is not known yet.
    """

    slowness: dict[str, float]
    first: float = 0.0
    token: float = 0.0
    share: float = 0.0
    old: bool = False


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What a target said of itself, some time ago."""

    target: str
    running: int
    waiting: int
    leaving: bool
    reachable: bool = True


@dataclass(frozen=True, slots=True)
class Adopt:
    """An instance reports a request that already runs, after a change of dispatcher."""

    work: Work
    target: str


@dataclass(frozen=True, slots=True)
class Recovered:
    """Every live instance has reported; grants may begin."""


@dataclass(frozen=True, slots=True)
class Doubt:
    """Whether another dispatcher may be at work beyond a cut.

    In doubt nothing is refused for load: what the other side serves is not known.
    """

    doubtful: bool


@dataclass(frozen=True, slots=True)
class InstanceGone:
    """An instance is dead; what it held is void."""

    instance: str


@dataclass(frozen=True, slots=True)
class Configure:
    """A new version of the configuration is in force."""

    configuration: object = field(repr=False)


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class Grant:
    """The request goes to `target`.

    Parameters
    ----------
    work : Work
        The request.
    target : str
        Where it goes.
    wait : float
        Seconds it waited.
    candidates : dict of str to float
        Estimated seconds to the end of the answer, by target weighed.
    """

    work: Work
    target: str
    wait: float
    candidates: dict[str, float]


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request is not run; come back in `retry_after` seconds."""

    work: Work
    reason: Reason
    retry_after: float


@dataclass(frozen=True, slots=True)
class Stop:
    """The running request must end, to make way for a higher tier."""

    work: Work
    target: str


@dataclass(frozen=True, slots=True)
class Inquire:
    """An instance is asked which grants it holds: some should have ended."""

    instance: str


@dataclass(frozen=True, slots=True)
class Lost:
    """A granted request counts no more: its instance did not say that it holds it."""

    work: Work
    target: str


@dataclass(frozen=True, slots=True)
class Conclude:
    """An order to move the pool's traffic to a version is concluded.

    Parameters
    ----------
    version : str
        The version.
    number : int
        Of the order.
    state : RolloutState
        How it ended.
    reason : str
        Why, for operators.
    """

    version: str
    number: int
    state: RolloutState
    reason: str


Decision = Grant | Refuse | Stop | Inquire | Lost | Conclude
