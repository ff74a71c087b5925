"""Quotas where the settings name several regions, whose instances share nothing."""

import logging

import orjson
import pytest
from platform_standin import configuration
from test_forwarding import Site

WARNING = "quotas hold for each region by itself"


def _configuration(rate):
    document = configuration()
    for tenant in document["Tenants"]:
        tenant |= {"RatePerS": rate, "Burst": 0, "Unit": "token_count"}
    return document


class RegionalSite(Site):
    """A deployment whose settings name zones in some regions."""

    regions = ("r", "another")

    def make_instance(self, path):
        zones = self.regions
        if isinstance(zones, tuple):
            zones = {f"z{n}": region for n, region in enumerate(zones)}
        settings = {**orjson.loads(path.read_bytes()), "Zones": zones}
        path.write_bytes(orjson.dumps(settings))
        return super().make_instance(path)


@pytest.fixture
async def site(tmp_path, monkeypatch, caplog):
    caplog.set_level(logging.WARNING)
    site = RegionalSite(tmp_path, monkeypatch)
    yield site
    await site.stop()


class TestRegionalQuotas:
    """Guards against quotas that are exceeded by each further region unnoticed."""

    async def test_are_warned_of(self, site, caplog):
        await site.start(document=_configuration(100.0))
        (record,) = [r for r in caplog.records if r.message == WARNING]
        assert record.regions == 2
        assert record.customers > 0

    @pytest.mark.parametrize(
        ("rate", "regions"),
        [
            (0.0, ("r", "another")),
            (100.0, ("r", "r")),
            (100.0, ()),
            (100.0, "no table"),
            (100.0, (["r"],)),
        ],
    )
    async def test_are_not_without_a_quota_or_with_one_region(
        self, site, caplog, rate, regions
    ):
        site.regions = regions
        await site.start(document=_configuration(rate))
        assert not [r for r in caplog.records if r.message == WARNING]
