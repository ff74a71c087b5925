"""Tests of quotas around a pause of some instances, in a simulated region."""

import pytest
from quota_region import QuotaRegion, RelayedQuotaRegion

INSTANCES = 6
RELAY = 0


async def _play_pause(region, numbers, seconds, demand):
    """Pause instances; callers that wait at them go before messages of the others.

    Returns the tokens that are refused afterwards.
    """
    await region.play(20.0, demand=min(demand, 0.2))
    for number in numbers:
        region.pause(number)
    await region.play(seconds, demand=demand)
    for number in numbers:
        region.resume(number)
    refused = region.refused
    await region.play(10.0, demand=demand)
    return region.refused - refused


@pytest.mark.parametrize("region_class", [QuotaRegion, RelayedQuotaRegion])
@pytest.mark.parametrize("numbers", [(5,), (4, 5), (RELAY, 3, 4, 5)])
@pytest.mark.parametrize("seconds", [2.0, 4.0, 10.0])
class TestPause:
    """Guards against a customer that is served twice since instances missed usage.

    Usage of before a pause was taken for that of now, while callers waited.
    """

    @pytest.mark.parametrize("seed", [1, 2])
    async def test_the_limit_holds(
        self, monkeypatch, region_class, numbers, seconds, seed
    ):
        region = region_class(INSTANCES, monkeypatch, seed=seed)
        await _play_pause(region, numbers, seconds, demand=8.0)
        assert region.max_used <= region.limit

    async def test_a_customer_below_its_limit_is_served(
        self, monkeypatch, region_class, numbers, seconds
    ):
        region = region_class(INSTANCES, monkeypatch)
        assert await _play_pause(region, numbers, seconds, demand=0.4) == 0
        assert region.used_since(region.now - region.WINDOW_S) > 0


class TestPausedRelay:
    """Guards against usage that followers miss while their relay stands still."""

    @pytest.mark.parametrize("seed", [1, 2, 3])
    @pytest.mark.parametrize("seconds", [2.0, 4.0])
    async def test_the_limit_holds(self, monkeypatch, seconds, seed):
        region = RelayedQuotaRegion(INSTANCES, monkeypatch, seed=seed)
        await _play_pause(region, [RELAY], seconds, demand=8.0)
        assert region.max_used <= region.limit


class TestLoneInstance:
    """Guards against calls that wait for others where there are none."""

    async def test_does_not_wait_after_a_pause(self, monkeypatch):
        region = QuotaRegion(1, monkeypatch)
        assert await _play_pause(region, [0], 4.0, demand=0.4) == 0
        assert region.instances[0].limiter.history_known
