"""Tests of the plans that dispatchers get of a configuration."""

from dataclasses import replace

import pytest

from hibiscusstep.forwarding.model import (
    CustomerRule,
    ForwardRoute,
    PoolRule,
    PoolShare,
    Quota,
    RetryMode,
    RoutingTable,
)
from hibiscusstep.forwarding.planning import Planner
from hibiscusstep.http_server.limits import IngressLimits
from hibiscusstep.platform.documents import decode_table_spec


def table(objective=0.4, customers=(100.0, 300.0), *, streaming=True):
    """Return a table with one pool, one route and customers of the given quotas."""
    route = ForwardRoute(
        "r", "h", "/", (PoolShare("p", 1.0),), streaming, RetryMode.NEVER, 9.0,
        objective, 0, 1, False,
    )  # fmt: skip
    rules = (
        CustomerRule(f"c{n}", frozenset({f"k{n}"}), None, Quota(rate, 0.0, 0))
        for n, rate in enumerate(customers)
    )
    pool = PoolRule("p", True, 6, 0, 1000)
    return RoutingTable(1, (route,), tuple(rules), (pool,), IngressLimits())


class TestContendedPools:
    """Fair shares and planned returns act only where a configuration calls for them."""

    def test_a_pool_of_engines_with_a_short_objective_and_customers(self):
        pool = Planner().build_plan(table(), {}).pools["p"]
        assert pool.fair_shares and pool.planned_returns
        assert pool.customer_weights == {"c0": 100.0, "c1": 300.0}

    @pytest.mark.parametrize(
        "options",
        [
            {"objective": 0.5},
            {"customers": (100.0,)},
            {"customers": ()},
            {"streaming": False},
        ],
    )
    def test_other_pools_are_served_as_before(self, options):
        pool = Planner().build_plan(table(**options), {}).pools["p"]
        assert not pool.fair_shares and not pool.planned_returns
        assert pool.customer_weights == {}

    def test_a_plain_service_beside_such_a_stream(self):
        both = table()
        plain = PoolRule("plain", False, 1, 0)
        with_plain = replace(both, pools=(*both.pools, plain))
        plan = Planner().build_plan(with_plain, {})
        assert plan.pools["plain"].fair_shares

    def test_a_customer_without_a_quota_has_the_mean_weight(self):
        plan = Planner().build_plan(table(customers=(100.0, 0.0, 300.0)), {})
        assert plan.pools["p"].customer_weights["c1"] == 200.0

    def test_without_any_quota_all_weigh_the_same(self):
        plan = Planner().build_plan(table(customers=(0.0, 0.0)), {})
        assert plan.pools["p"].customer_weights == {"c0": 1.0, "c1": 1.0}


class TestMemoryOfEngines:
    """The memory that a configuration names reaches the dispatchers."""

    def test_it_is_part_of_the_plan(self):
        assert Planner().build_plan(table(), {}).pools["p"].memory_tokens == 1000

    def test_it_is_read_from_the_platforms_document(self):
        services = [
            {"Name": "engines", "Engine": {"KvCapacity": 4000}},
            {"Name": "plain"},
        ]
        decoded = decode_table_spec({"Version": 1, "Services": services})
        assert [pool.memory_tokens for pool in decoded.pools] == [4000, 0]
