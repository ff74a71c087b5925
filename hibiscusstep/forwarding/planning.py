"""hibiscusstep.forwarding.planning: what dispatchers need of table and targets."""

from hibiscusstep.forwarding.model import DiscoveredTarget, RoutingTable
from hibiscusstep.routing.plan import Plan, PlannedPool, PlannedTarget

__all__ = ["make_plan"]


def make_plan(table: RoutingTable, targets: dict[str, DiscoveredTarget]) -> Plan:
    """Return the pools of a routing table with their targets.

    Parameters
    ----------
    table : RoutingTable
        In force.
    targets : dict of str to DiscoveredTarget
        By name; those of a pool that the table does not know get a pool too.
    """
    pauses = {
        share.pool: route.max_pause
        for route in table.routes
        if route.streaming
        for share in route.shares
    }
    pools = {
        pool.name: PlannedPool(
            pool.engine, pool.tokens_per_event, pauses.get(pool.name, 1.0)
        )
        for pool in table.pools
    }
    for name, target in targets.items():
        pool = pools.setdefault(target.pool, PlannedPool(True))
        pool.targets[name] = PlannedTarget(
            target.slots, target.leaving, target.data_centre
        )
    return Plan(pools)
