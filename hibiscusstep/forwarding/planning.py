"""hibiscusstep.forwarding.planning: builds the dispatchers' plans."""

import logging
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from hibiscusstep.forwarding.ignored_objects import IgnoredRevisions
from hibiscusstep.forwarding.model import DiscoveredTarget, RoutingTable
from hibiscusstep.rollout.controller import PlannedRollout
from hibiscusstep.routing.dispatch_plan import DispatchPlan, PlannedPool, PlannedTarget

__all__ = ["PlannedVersions", "Planner"]

_LOG = logging.getLogger(__name__)
# Callers of a route with a shorter objective are late by several objectives if they
# return after the shortest unplanned delay, 2 s, and most of them return once only.
MAX_PLANNED_OBJECTIVE_S = 0.5
MIN_SHARING_CUSTOMERS = 2


@dataclass(frozen=True, slots=True)
class PlannedVersions:
    """A pool's current versions and its order.

    Parameters
    ----------
    serving : frozenset of str
        Current versions; empty if all may serve.
    rollout : PlannedRollout or None
        Order in progress.
    rejected : str or None
        Version whose order was rolled back.
    stream_origins : frozenset of str
        As in `PlannedPool`.
    """

    serving: frozenset[str] = frozenset()
    rollout: PlannedRollout | None = None
    rejected: str | None = None
    stream_origins: frozenset[str] = frozenset()


class Planner:
    """Builds plans; targets of pools that the routing table lacks are ignored."""

    def __init__(self) -> None:
        self._ignored = IgnoredRevisions()

    @property
    def ignored_targets(self) -> int:
        """Number of targets ignored so far; each revision of a target counts once."""
        return self._ignored.count

    def build_plan(
        self,
        table: RoutingTable,
        targets: dict[str, DiscoveredTarget],
        versions: Callable[[str, set[str], set[str]], PlannedVersions] | None = None,
    ) -> DispatchPlan:
        """Return the pools of a routing table with their targets.

        Parameters
        ----------
        table : RoutingTable
            The routing table in force.
        targets : dict of str to DiscoveredTarget
            All known targets by name.
        versions : callable of str and two sets of str, default=None
            Returns which versions of a pool may serve, given its name, the versions of
            its targets, and those of its targets that accept requests.
        """
        pools = _pools_of(table)
        present_versions: dict[str, set[str]] = defaultdict(set)
        ready_versions: dict[str, set[str]] = defaultdict(set)
        for target in targets.values():
            present_versions[target.pool].add(target.version)
            if not target.leaving:
                ready_versions[target.pool].add(target.version)
        for name in pools if versions else ():
            planned = versions(name, present_versions[name], ready_versions[name])
            pools[name] = replace(
                pools[name],
                current_versions=planned.serving,
                rollout=planned.rollout,
                rejected_version=planned.rejected,
                stream_origins=planned.stream_origins,
            )
        rejection_limits = _rejection_limits(targets.values())
        for name, target in targets.items():
            pool = pools.get(target.pool)
            if pool is None:
                self._ignore(target)
                continue
            pool.targets[name] = PlannedTarget(
                target.slots,
                target.leaving,
                target.data_centre,
                target.version,
                target.rate_limit.per_second,
                _rejection_limit(target, rejection_limits),
            )
        return DispatchPlan(pools)

    def _ignore(self, target: DiscoveredTarget) -> None:
        if not self._ignored.record(target.name, target.revision):
            return
        _LOG.error(
            "target of an unknown pool ignored",
            extra={
                "target": target.name,
                "revision": target.revision,
                "error": f"unknown pool: {target.pool!r}",
            },
        )


def _rejection_limits(targets: Iterable[DiscoveredTarget]) -> dict[str, float]:
    """Return the lowest rejection limit by pool, where any target has one."""
    limits: dict[str, float] = {}
    for target in targets:
        limit = target.rejection_limit.per_second
        if limit is not None:
            limits[target.pool] = min(limit, limits.get(target.pool, limit))
    return limits


def _rejection_limit(
    target: DiscoveredTarget, pool_limits: dict[str, float]
) -> float | None:
    """Return a target's rejection limit.

    The targets of a pool announce it together, so one that has not responded yet,
    for example after a restart, is taken to be like the others.
    """
    if target.rejection_limit.version:
        return target.rejection_limit.per_second
    return pool_limits.get(target.pool)


def _pools_of(table: RoutingTable) -> dict[str, PlannedPool]:
    """Return the pools of a routing table, without targets."""
    streams = [
        (share.pool, route)
        for route in table.routes
        if route.streaming
        for share in route.shares
    ]
    pauses = {pool: route.max_pause for pool, route in streams}
    contended = _contended_pools(table)
    routed = {share.pool: PlannedPool(True) for r in table.routes for share in r.shares}
    named = {}
    for pool in table.pools:
        is_contended = pool.name in contended
        named[pool.name] = PlannedPool(
            pool.is_engine,
            pool.tokens_per_event,
            pauses.get(pool.name, 1.0),
            fair_shares=is_contended,
            planned_returns=is_contended,
            customer_weights=_customer_weights(table) if is_contended else {},
            memory_tokens=pool.memory_tokens,
        )
    return routed | named


def _contended_pools(table: RoutingTable) -> set[str]:
    """Return the pools in which customers share by weight and returns are planned.

    If one stream has a short objective, callers of the plain services beside it have
    short ones too, and the same customers compete there.
    """
    if len(table.customers) < MIN_SHARING_CUSTOMERS:
        return set()
    if not any(
        route.streaming and route.objective < MAX_PLANNED_OBJECTIVE_S
        for route in table.routes
    ):
        return set()
    return {pool.name for pool in table.pools}


def _customer_weights(table: RoutingTable) -> dict[str, float]:
    """Return the customers' quota rates; one without a quota has the mean of them."""
    rates = {rule.name: rule.quota.rate for rule in table.customers}
    limited = [rate for rate in rates.values() if rate > 0]
    mean = sum(limited) / len(limited) if limited else 1.0
    return {name: rate if rate > 0 else mean for name, rate in rates.items()}
