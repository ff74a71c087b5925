"""Documents of the store with one value that a parser reads but that is odd."""

import copy
import math
from dataclasses import asdict

import orjson
import pytest
from platform_standin import configuration

from hibiscusstep.errors import ConfigurationError
from hibiscusstep.forwarding import (
    saved_rollouts,
    saved_streams,
    saved_suspects,
    saved_usage,
    target_estimates,
)
from hibiscusstep.platform.documents import decode_table_bytes, decode_table_spec

MAX_INT64 = 2**63 - 1


def _nested(depth):
    value = []
    for _ in range(depth):
        value = [value]
    return value


ODD = {
    "900 deep": _nested(900),
    "900 deep in an object": {"a": _nested(900)},
    "400 digits": 10**399,
    "negative, 400 digits": -(10**399),
    "30 digits": 10**29,
    "infinity": math.inf,
    "negative infinity": -math.inf,
    "NaN": math.nan,
}


def _paths(value, path=()):
    if path:
        yield path
    items = value.items() if isinstance(value, dict) else ()
    items = enumerate(value) if isinstance(value, list) else items
    for key, inner in items:
        yield from _paths(inner, (*path, key))


def _variants(document, value):
    """Return copies of a document, each with the value at another place."""
    for path in _paths(document):
        variant = inner = copy.deepcopy(document)
        for key in path[:-1]:
            inner = inner[key]
        inner[path[-1]] = value
        yield variant


def _check_writable(value):
    """Check that a value can be sent to peers and written to the store."""
    orjson.dumps(value)
    for inner in value.values() if isinstance(value, dict) else value:
        if isinstance(inner, dict | list | tuple):
            _check_writable(inner)
        elif isinstance(inner, int):
            assert abs(inner) < MAX_INT64
        elif isinstance(inner, float):
            assert math.isfinite(inner)


@pytest.mark.parametrize("value", ODD.values(), ids=ODD)
class TestOddValue:
    """Guards against a value that is accepted and then ends what uses it."""

    def test_in_the_configuration(self, value):
        """Peers receive the configuration that is in force here."""
        for variant in _variants(configuration(3), value):
            try:
                table = decode_table_spec(variant)
            except ConfigurationError:
                continue
            assert decode_table_bytes(table.document) == table

    def test_in_the_progress_of_a_rollout(self, value):
        document = {
            "version": "v1",
            "began": 1.0,
            "requests": 1,
            "exposed": 1,
            "answers": 1,
            "evidence": 0.5,
        }
        assert saved_rollouts.from_document("p", document)
        for variant in _variants(document, value):
            saved = saved_rollouts.from_document("p", variant)
            if saved:
                _check_writable(saved_rollouts.to_document(saved))
                assert len(saved.version) < 100

    def test_in_streams(self, value):
        document = {"Number": 1, "Streams": {"v1": ""}}
        assert saved_streams.from_document(document)
        for variant in _variants(document, value):
            if found := saved_streams.from_document(variant):
                _check_writable({"next": found[0] + 1})

    def test_in_the_estimates(self, value):
        document = {
            "targets": ["a"],
            "slowness": [1.0],
            "first": 1.0,
            "token": 1.0,
            "share": 1.0,
        }
        assert target_estimates._parse_document("p", document)
        for variant in _variants(document, value):
            if learnt := target_estimates._parse_document("p", variant):
                _check_writable(asdict(learnt))
                assert all(len(name) < 100 for name in learnt.targets)

    def test_in_the_usage(self, value):
        worker = saved_usage.SavedUsageWorker(None, 2.0, None)
        document = {"customers": ["a"], "recent": [1] * worker._steps}
        assert worker._parse_document(document)
        for variant in _variants(document, value):
            if usage := worker._parse_document(variant):
                _check_writable(asdict(usage))
                assert all(len(name) < 100 for name in usage.customers)

    def test_in_the_quarantine(self, value):
        entry = {
            "fingerprint": "00000000000000ff",
            "targets": ["a"],
            "weights": [0.5],
            "spans": [1.0],
            "crashed_at": [5.0],
        }
        document = {"requests": [entry], "parts": []}
        assert saved_suspects.from_document(document, 10.0)
        for variant in _variants(document, value):
            for state in saved_suspects.from_document(variant, 10.0):
                _check_writable(asdict(state))
                assert all(len(name) < 100 for name in state.targets)
