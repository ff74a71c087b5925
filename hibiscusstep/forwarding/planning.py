"""hibiscusstep.forwarding.planning: what dispatchers need of table and targets."""

import logging
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, replace

from hibiscusstep.forwarding.left_out import LeftOut
from hibiscusstep.forwarding.model import DiscoveredTarget, RoutingTable
from hibiscusstep.rollout.controller import PlannedRollout
from hibiscusstep.routing.plan import Plan, PlannedPool, PlannedTarget

__all__ = ["PlannedVersions", "Planner"]

_LOG = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class PlannedVersions:
    """Versions of a pool's targets in force, and the order to change them."""

    serving: frozenset[str] = frozenset()
    rollout: PlannedRollout | None = None


class Planner:
    """Makes plans; a target of a pool that the table does not know has no place."""

    def __init__(self) -> None:
        self._left_out = LeftOut()

    @property
    def ignored_count(self) -> int:
        """Targets that had no place so far, each revision once."""
        return self._left_out.count

    def make(
        self,
        table: RoutingTable,
        targets: dict[str, DiscoveredTarget],
        versions: Callable[[str, set[str]], PlannedVersions] | None = None,
    ) -> Plan:
        """Return the pools of a routing table with their targets.

        Parameters
        ----------
        table : RoutingTable
            In force.
        targets : dict of str to DiscoveredTarget
            By name.
        versions : callable of str and set of str, default=None
            Returns which versions of a pool may serve, given those of its targets.
        """
        pools = _pools(table)
        seen: dict[str, set[str]] = defaultdict(set)
        for target in targets.values():
            seen[target.pool].add(target.version)
        for name in pools if versions else ():
            planned = versions(name, seen[name])
            pools[name] = replace(
                pools[name], serving=planned.serving, rollout=planned.rollout
            )
        for name, target in targets.items():
            pool = pools.get(target.pool)
            if pool is None:
                self._leave_out(target)
                continue
            pool.targets[name] = PlannedTarget(
                target.slots, target.leaving, target.data_centre, target.version
            )
        return Plan(pools)

    def _leave_out(self, target: DiscoveredTarget) -> None:
        if not self._left_out.is_new(target.name, target.revision):
            return
        _LOG.error(
            "target left out",
            extra={
                "target": target.name,
                "revision": target.revision,
                "error": f"unknown pool: {target.pool!r}",
            },
        )


def _pools(table: RoutingTable) -> dict[str, PlannedPool]:
    """Return the pools that a table names, without targets."""
    pauses = {
        share.pool: route.max_pause
        for route in table.routes
        if route.streaming
        for share in route.shares
    }
    routed = {share.pool: PlannedPool(True) for r in table.routes for share in r.shares}
    named = {
        pool.name: PlannedPool(
            pool.engine, pool.tokens_per_event, pauses.get(pool.name, 1.0)
        )
        for pool in table.pools
    }
    return routed | named
