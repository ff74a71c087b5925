"""hibiscusstep.targets: clients of the target kinds, one module per kind."""

from hibiscusstep.registry import Registry
from hibiscusstep.targets.engine import EngineTarget
from hibiscusstep.targets.service import ServiceTarget

__all__ = ["TARGETS"]

TARGETS = Registry("target kind", [EngineTarget, ServiceTarget])
