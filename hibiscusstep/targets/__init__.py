"""hibiscusstep.targets: dialects of targets, one a file."""

from hibiscusstep.registry import Registry
from hibiscusstep.targets.engine import EngineTarget
from hibiscusstep.targets.service import ServiceTarget

__all__ = ["TARGETS"]

TARGETS = Registry("target kind", [EngineTarget, ServiceTarget])
