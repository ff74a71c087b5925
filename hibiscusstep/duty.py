"""hibiscusstep.duty: a pool's dispatcher as its instance runs it, and its messages."""

import asyncio
from dataclasses import dataclass, field

from hibiscusstep.peer import PoolLearnt, WorkInfo
from hibiscusstep.routing import messages as m
from hibiscusstep.routing.pool_dispatcher import PoolDispatcher

__all__ = ["TICK_S", "Duty", "learnt_of", "work_of"]

# Between two looks of a dispatcher at what is only a matter of time.
TICK_S = 0.05


@dataclass(slots=True, eq=False)
class Duty:
    """One pool that falls to this instance.

    `registered` are the incarnations that told what they hold, `dropped` those that
    were taken for dead since. `signed` is when those that wait were last told that they
    are not forgotten, `sign_interval` the seconds within which they are told again.
    `rollout_told` is when it was last told how far the pool's order came.
    """

    dispatcher: PoolDispatcher
    registered: set[str] = field(default_factory=set)
    dropped: set[str] = field(default_factory=set)
    addresses: dict[str, str] = field(default_factory=dict)
    heard: dict[str, float] = field(default_factory=dict)
    poller: asyncio.Task | None = None
    since: float = 0.0
    told: float = 0.0
    signed: float = 0.0
    sign_interval: float = TICK_S
    rollout_told: float = 0.0


def learnt_of(news: PoolLearnt, old: bool = False) -> m.LearnedEstimates:
    """Return what another instance tells as what a dispatcher takes."""
    slowness = dict(zip(news.targets, news.slowness, strict=True))
    return m.LearnedEstimates(slowness, news.first, news.token, news.share, old)


def work_of(info: WorkInfo, now: float) -> m.Work:
    """Return a request as a dispatcher sees it, with times on its clock."""
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
    )
