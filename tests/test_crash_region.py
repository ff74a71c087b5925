"""Crashing requests in a region without network: who is held back, and how soon."""

import pytest
from crash_region import CrashRegion

SEEDS = range(12)
# What may still be sent when three targets have crashed under a request and all know.
MOST_LATE = 3


class TestRegion:
    """Two requests that crash targets come twice a second each, for a minute.

    Three in ten of the sound ones come again and again, alike; they stand beside many
    crashes, and so do others, which come once.
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
    def test_few_come_late_and_no_sound_one_is_refused(self, troubles):
        for seed in SEEDS:
            region = CrashRegion(seed, **troubles).play()
            assert max(region.late.values(), default=0) <= MOST_LATE
            assert not [request for request in region.refused if request >= 100]
            assert set(region.refused) == {1, 2}
