"""hibiscusstep.targets: clients of the target kinds, one module per kind."""

from hibiscusstep.registry import Registry
from hibiscusstep.targets.engine import EngineClient
from hibiscusstep.targets.service import ServiceClient

__all__ = ["TARGET_CLIENTS"]

TARGET_CLIENTS = Registry("target kind", [EngineClient, ServiceClient])
