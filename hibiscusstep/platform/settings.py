"""hibiscusstep.platform.settings: reads the platform's settings file."""

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
# Comma-separated names of mechanisms to disable, to measure the effect of each.
DISABLED_MECHANISMS_VARIABLE = "HIBISCUSSTEP_OFF"
# The deploy file declares the same port and path for the metrics.
METRICS_PORT = 9464
# A dead peer is taken to be gone after 1 s, that is four missed heartbeats, well within
# the time in which another instance must take over as a pool's dispatcher.
HEARTBEAT_INTERVAL_S = 0.25
SUSPECT_AFTER_S = 1.0
# Link bandwidth that keeps two cores busy; relays and dispatchers serve many peers.
FULL_LINK_MBPS = 100.0
MAX_CORES = 2.0


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings of an instance, and the address of the platform's store.

    Parameters
    ----------
    instance : InstanceSettings
        Settings of the instance.
    bounds : Bounds
        Times and limits set by the platform.
    store_address : str
        IP address and port of the store.
    ready_address : str
        Address of the readiness check by the platform's load balancer.
    """

    instance: InstanceSettings
    bounds: Bounds
    store_address: str
    ready_address: str


def load_platform_settings(path: Path) -> PlatformSettings:
    """Return the settings in the platform's file.

    Raises
    ------
    ConfigurationError
        If the file is missing, is not JSON or lacks a field.
    """
    try:
        document = orjson.loads(path.read_bytes())
        return _parse_settings(document)
    except (OSError, orjson.JSONDecodeError) as cause:
        raise ConfigurationError(str(cause), file=str(path)) from None
    except (KeyError, TypeError, ValueError) as cause:
        raise ConfigurationError(f"malformed: {cause!r}", file=str(path)) from None


def _parse_settings(document: dict) -> PlatformSettings:
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
        memory_mb=_memory_mb(document.get("Limits") or {}),
        max_fds=_max_fds(document.get("Limits") or {}),
        capacity=_capacity(document.get("Limits") or {}),
        region_count=_count_regions(document.get("Zones")),
        is_first_start=bool(document.get("Bootstrap", False)),
        switches=Switches.disabling(os.environ.get(DISABLED_MECHANISMS_VARIABLE, "")),
    )
    return PlatformSettings(
        instance,
        _parse_bounds(document["Bounds"]),
        document["Platform"]["Address"],
        listen["Ready"],
    )


def _count_regions(zones: object) -> int:
    """Return the number of regions; 1 if the zones are missing or malformed."""
    if not isinstance(zones, dict):
        return 1
    return max(1, len({str(region) for region in zones.values()}))


def _memory_mb(limits: dict) -> float:
    """Return the memory limit in MB; 0 if there is none."""
    limit = float(limits.get("MemoryMb") or 0)
    if not 0 <= limit < float("inf"):
        raise ValueError(f"MemoryMb: {limit}")
    return limit


def _max_fds(limits: dict) -> int:
    """Return the number of descriptors; 0 if there is no limit."""
    limit = int(limits.get("MaxFds") or 0)
    if limit < 0:
        raise ValueError(f"MaxFds: {limit}")
    return limit


def _capacity(limits: dict) -> int:
    """Return the capacity in hundredths of a core, reduced for a slow link.

    `CpuShare` applies to each of the `Cores`.
    """
    cores = float(limits.get("CpuShare", 1.0)) * float(limits.get("Cores", 1))
    link = float(limits.get("LinkMbps", FULL_LINK_MBPS)) / FULL_LINK_MBPS
    return max(1, round(100 * min(cores, MAX_CORES * link)))


def _seconds(bounds: dict, field: str, default: float) -> float:
    """Return a time given in milliseconds, in seconds."""
    return float(bounds[field]) / 1000 if field in bounds else default


def _parse_bounds(bounds: dict) -> Bounds:
    default = Bounds()
    return Bounds(
        stop_grace=float(bounds.get("GraceS", default.stop_grace)),
        retry_share=float(bounds.get("RetryBudgetRatio", default.retry_share)),
        retry_reserve=float(bounds.get("RetryBudgetSlack", default.retry_reserve)),
        retry_window=float(bounds.get("BudgetWindowS", default.retry_window)),
        quota_window=float(bounds.get("QuotaWindowS", default.quota_window)),
        quota_overage=float(bounds.get("QuotaOverage", default.quota_overage)),
        quota_slack=float(bounds.get("QuotaSlack", default.quota_slack)),
        silence_limit=_seconds(bounds, "ContactMs", default.silence_limit),
        exposure=ExposureLimits(
            float(bounds.get("ExposureShare", default.exposure.share)),
            float(bounds.get("ExposureSlack", default.exposure.slack)),
        ),
        # The settings limit exposure exactly where rollouts are ordered.
        orders_rollouts="ExposureShare" in bounds,
    )
