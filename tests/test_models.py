import json
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscusstep.configuration.folder import read_folder
from hibiscusstep.configuration.models import load_configuration
from hibiscusstep.errors import ConfigurationError

EXAMPLES = Path(__file__).parent.parent / "examples"
HASH = "0" * 64
TIERS = '{"tiers": {"high": {"rank": 0}, "low": {"rank": 1}}}'
POOL = '{"pools": {"p": {"kind": "engine", "targets": {"t": %s}}}}'
TARGET = '{"address": "127.0.0.1:1", "data_centre": "hall"}'


def load_error(**files):
    with pytest.raises(ConfigurationError) as error_info:
        load_configuration({f"{name}.json": text for name, text in files.items()})
    return error_info.value


class TestExamples:
    @pytest.mark.parametrize("name", ["hanul", "bertolini"])
    def test_are_valid(self, name):
        configuration, merged = load_configuration(
            read_folder(EXAMPLES / name / "conf.d")
        )
        assert len(configuration.customers) == 5
        assert merged.overrides == ()


class TestErrors:
    def test_unknown_key(self):
        error = load_error(a=TIERS, b='{"tiers": {"low": {"rnak": 1}}}')
        assert (error.file, error.key) == ("b.json", "tiers.low.rnak")

    def test_duplicate_rank(self):
        error = load_error(a='{"tiers": {"x": {"rank": 0}, "y": {"rank": 0}}}')
        assert error.key == "tiers.y.rank" and "tiers.x.rank" in error.detail

    def test_duplicate_key_of_two_customers(self):
        customers = {n: {"key_hashes": [HASH], "tier": "low"} for n in "ab"}
        error = load_error(a=TIERS, b=json.dumps({"customers": customers}))
        assert error.key == "customers.b.key_hashes.0"

    def test_duplicate_address(self):
        two = (
            f'{{"pools": {{"q": {{"kind": "engine", "targets": {{"u": {TARGET}}}}}}}}}'
        )
        error = load_error(a=TIERS, b=POOL % TARGET, c=two)
        assert (error.file, error.key) == ("c.json", "pools.q.targets.u.address")

    def test_dangling_pool(self):
        route = {"pool": "none", "model": "m", "idempotent": True}
        error = load_error(a=TIERS, b=json.dumps({"routes": {"r": route}}))
        assert (error.file, error.key) == ("b.json", "routes.r.pool")

    def test_service_route_on_an_engine_pool(self):
        route = {"pool": "p", "path": "/x/", "idempotent": True}
        error = load_error(
            a=TIERS, b=POOL % TARGET, c=json.dumps({"routes": {"r": route}})
        )
        assert error.key == "routes.r"

    def test_higher_tier_shed_before_a_lower_one(self):
        error = load_error(a=TIERS, b='{"shedding": {"low": {"may_be_shed": false}}}')
        assert (error.file, error.key) == ("b.json", "shedding.low.may_be_shed")

    def test_higher_tier_stopped_before_a_lower_one(self):
        error = load_error(
            a=TIERS, b='{"shedding": {"high": {"may_be_stopped": true}}}'
        )
        assert error.key == "shedding.low.may_be_stopped"

    def test_unknown_policy_lists_the_choices(self):
        pool = json.loads(POOL % TARGET)
        pool["pools"]["p"]["policy"] = "magic"
        assert "expected-work" in load_error(a=TIERS, b=json.dumps(pool)).detail

    def test_key_none_needs_idempotent(self):
        route = {"pool": "p", "model": "m", "idempotent": False, "key": "none"}
        error = load_error(
            a=TIERS, b=POOL % TARGET, c=json.dumps({"routes": {"r": route}})
        )
        assert "idempotent" in error.detail

    @given(
        st.recursive(
            st.none() | st.booleans() | st.floats() | st.text(max_size=8),
            lambda children: (
                st.lists(children, max_size=3)
                | st.dictionaries(
                    st.sampled_from(
                        ["tiers", "customers", "pools", "routes", "rank", "x"]
                    ),
                    children,
                    max_size=3,
                )
            ),
            max_leaves=12,
        )
    )
    def test_any_input_is_valid_or_raises_a_typed_error(self, tree):
        try:
            load_configuration({"fuzz.json": json.dumps(tree)})
        except ConfigurationError as error:
            assert "\n" not in str(error)
