"""hibiscusstep.platform.settings: the platform's settings file as the product's."""

import os
from dataclasses import dataclass
from pathlib import Path

import orjson

from hibiscusstep.errors import ConfigurationError
from hibiscusstep.forwarding.bounds import Bounds, InstanceSettings
from hibiscusstep.rollout.budget import ExposureLimits
from hibiscusstep.routing.switches import Switches

__all__ = ["PlatformSettings", "load_platform_settings"]

PEER_KEY_VARIABLE = "HIBISCUSSTEP_PEER_KEY"
# Names of mechanisms to turn off, by comma; to measure what each is worth.
OFF_VARIABLE = "HIBISCUSSTEP_OFF"
# The deploy file declares the same port and path as the place of the metrics.
METRICS_PORT = 9464
# A quarter of a second and four misses: a dead peer is gone after a second, well
# within the time in which a second dispatcher must stand in.
HEARTBEAT_INTERVAL_S = 0.25
SUSPECT_AFTER_S = 1.0
# A link that lets two cores work; relays and dispatchers speak to many.
WIDE_LINK_MBPS = 100.0
MOST_CORES = 2.0


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """The product's settings, and where the platform's store is.

    Parameters
    ----------
    instance : InstanceSettings
        Of the instance.
    bounds : Bounds
        Times and limits that the platform sets.
    store_address : str
        IP number and port of the store.
    ready_address : str
        Where the platform's balancer asks for readiness.
    all_are_new : bool
        Whether the whole system starts for the first time.
    """

    instance: InstanceSettings
    bounds: Bounds
    store_address: str
    ready_address: str
    all_are_new: bool


def load_platform_settings(path: Path) -> PlatformSettings:
    """Return the settings that the platform wrote.

    Raises
    ------
    ConfigurationError
        If the file is missing, is no JSON or lacks a field.
    """
    try:
        document = orjson.loads(path.read_bytes())
        return _settings(document)
    except (OSError, orjson.JSONDecodeError) as cause:
        raise ConfigurationError(str(cause), file=str(path)) from None
    except (KeyError, TypeError, ValueError) as cause:
        raise ConfigurationError(f"malformed: {cause!r}", file=str(path)) from None


def _settings(document: dict) -> PlatformSettings:
    ip, listen = document["Ip"], document["Listen"]
    port = document["InternalPorts"][0]
    hosts = [seed.rpartition(":")[0] for seed in document.get("Seeds") or ()]
    instance = InstanceSettings(
        name=document["NodeName"],
        data_centre=document["Zone"],
        region=document.get("Region") or "default",
        caller_address=listen["Front"],
        operator_address=f"{ip}:{METRICS_PORT}",
        peer_address=f"{ip}:{port}",
        peer_key=os.environ[PEER_KEY_VARIABLE],
        seeds=tuple(f"{host}:{port}" for host in hosts if host != ip),
        heartbeat_interval=HEARTBEAT_INTERVAL_S,
        suspect_after=SUSPECT_AFTER_S,
        capacity=_capacity(document.get("Limits") or {}),
        switches=Switches.without(os.environ.get(OFF_VARIABLE, "")),
    )
    return PlatformSettings(
        instance,
        _bounds(document["Bounds"]),
        document["Platform"]["Address"],
        listen["Ready"],
        bool(document.get("Bootstrap", False)),
    )


def _capacity(limits: dict) -> int:
    """Return hundredths of a core, or fewer where the link is narrow.

    `CpuShare` is of each of the `Cores`.
    """
    cores = float(limits.get("CpuShare", 1.0)) * float(limits.get("Cores", 1))
    link = float(limits.get("LinkMbps", WIDE_LINK_MBPS)) / WIDE_LINK_MBPS
    return max(1, round(100 * min(cores, MOST_CORES * link)))


def _bounds(bounds: dict) -> Bounds:
    default = Bounds()
    return Bounds(
        stop_grace=float(bounds.get("GraceS", default.stop_grace)),
        retry_share=float(bounds.get("RetryBudgetRatio", default.retry_share)),
        retry_reserve=float(bounds.get("RetryBudgetSlack", default.retry_reserve)),
        retry_window=float(bounds.get("BudgetWindowS", default.retry_window)),
        quota_window=float(bounds.get("QuotaWindowS", default.quota_window)),
        quota_overage=float(bounds.get("QuotaOverage", default.quota_overage)),
        quota_slack=float(bounds.get("QuotaSlack", default.quota_slack)),
        exposure=ExposureLimits(
            float(bounds.get("ExposureShare", default.exposure.share)),
            float(bounds.get("ExposureSlack", default.exposure.slack)),
        ),
    )
