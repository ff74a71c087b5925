"""hibiscusstep.hosted_dispatcher: state of a hosted dispatcher; message conversion."""

import asyncio
from dataclasses import dataclass, field

from hibiscusstep.peer import PlaceInfo, PoolLearnt, StreamGroup, WorkInfo
from hibiscusstep.routing import messages as m
from hibiscusstep.routing.pool_dispatcher import PoolDispatcher

__all__ = [
    "TICK_S",
    "HostedDispatcher",
    "to_estimates",
    "to_place",
    "to_stream_groups",
    "to_work",
]

# Seconds between a dispatcher's ticks, at which it applies timeouts.
TICK_S = 0.05


@dataclass(slots=True, eq=False)
class HostedDispatcher:
    """A dispatcher that this instance runs, and the state that its host keeps for it.

    `registered_incarnations` are those that reported their requests,
    `dropped_incarnations` those considered dead since. `unregistered` are the names of
    the instances that have not registered since a pause. `addresses` and
    `last_heard_at` are the peer address and the time of the last message of each
    instance. `keepalives_sent_at` is the time of the last keepalives to instances with
    waiting requests, `keepalive_interval_s` the seconds until the next.
    `state_logged_at` is the time of the last log of the state, `rollout_reported_at`
    that of the last report of the rollout's progress. `poller` reads the targets' load
    reports. `new_streams` are the versions of the streams since `streams_sent_at`, when
    those before were sent to the incarnations `streams_sent_to`. `saves_streams` is
    whether they are stored too, and `unsaved_streams` are those since the last tick.
    `unconfirmed_since` is since when a request waits for it to be confirmed which
    versions began streams, None if none does, and `confirms_by_messages` whether other
    instances' messages did last when the store was silent. `created_at` is
    when the dispatcher was created or its last pause ended, 0 for a standby dispatcher.
    Times are in seconds on the loop's clock.
    """

    dispatcher: PoolDispatcher
    registered_incarnations: set[str] = field(default_factory=set)
    dropped_incarnations: set[str] = field(default_factory=set)
    unregistered: set[str] = field(default_factory=set)
    addresses: dict[str, str] = field(default_factory=dict)
    last_heard_at: dict[str, float] = field(default_factory=dict)
    poller: asyncio.Task | None = None
    new_streams: dict[int, str] = field(default_factory=dict)
    unsaved_streams: dict[int, str] = field(default_factory=dict)
    streams_sent_at: float = 0.0
    streams_sent_to: frozenset[str] = frozenset()
    saves_streams: bool = False
    unconfirmed_since: float | None = None
    confirms_by_messages: bool | None = None
    created_at: float = 0.0
    state_logged_at: float = 0.0
    keepalives_sent_at: float = 0.0
    keepalive_interval_s: float = TICK_S
    rollout_reported_at: float = 0.0


def to_estimates(message: PoolLearnt, old: bool = False) -> m.LearnedEstimates:
    """Convert a peer message into the message that a dispatcher handles."""
    slowness = dict(zip(message.targets, message.slowness, strict=True))
    return m.LearnedEstimates(
        slowness, message.first, message.token, message.share, old
    )


def to_place(info: PlaceInfo, now: float) -> m.KnownPlace:
    """Convert a place's description, with its time on the dispatcher's clock."""
    return m.KnownPlace(
        info.identity,
        info.customer,
        info.rank,
        info.seconds,
        now + info.starts_in,
        info.used,
    )


def to_stream_groups(streams: dict[str, list[int]]) -> list[StreamGroup]:
    """Convert streams by version into the form that peers receive."""
    return [StreamGroup(version, hashes) for version, hashes in streams.items()]


def to_work(info: WorkInfo, now: float) -> m.Work:
    """Convert a request's description, with times on the dispatcher's clock."""
    return m.Work(
        info.ask,
        info.request,
        info.instance,
        info.customer,
        info.tier,
        info.rank,
        info.prompt_tokens,
        info.output_tokens,
        now + info.deadline_in,
        now - info.waited,
        info.stoppable,
        tuple(info.prefixes),
        tuple(info.avoid),
        now + info.due_in,
        info.data_centre,
        now + info.ends_in if info.ends_in else 0.0,
        info.identity,
        info.suspect,
        tuple(info.resting),
        info.route,
        info.memory_tokens,
        info.bound_version,
        info.stream,
        info.resumes,
    )
