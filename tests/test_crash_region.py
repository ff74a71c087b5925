"""Quarantine of crashing requests in a simulated region: precision and delay."""

import pytest
from crash_region import CrashRegion

SEEDS = range(12)
# Attempts that may still be sent after the third crash is known to all instances.
MAX_LATE = 3


class TestRegion:
    """Two crashing requests arrive twice per second each, for a minute.

    Three in ten of the harmless requests repeat one of a few identical ones. Those run
    beside many crashes, and so do requests that arrive only once.
    """

    @pytest.mark.parametrize(
        "troubles",
        [
            {},
            {"kill_each": 2.0},
            {"crash_each": 4.0},
            {"crash_each": 1.5, "at_once": 2},
            {"crash_each": 4.0, "at_once": 4},
            {"crash_each": 4.0, "at_once": 4, "kill_each": 2.0},
        ],
        ids=str,
    )
    def test_few_are_sent_late_and_no_harmless_one_is_refused(self, troubles):
        for seed in SEEDS:
            region = CrashRegion(seed, **troubles).simulate()
            assert max(region.late.values(), default=0) <= MAX_LATE
            assert not [request for request in region.refused if request >= 100]
            assert set(region.refused) == {1, 2}

    @pytest.mark.parametrize("troubles", [{}, {"kill_each": 2.0}, {"crash_each": 4.0}])
    def test_few_are_sent_late_if_targets_crash_with_the_first_event(self, troubles):
        for seed in SEEDS:
            region = CrashRegion(seed, with_event=True, **troubles).simulate()
            assert max(region.late.values(), default=0) <= MAX_LATE
