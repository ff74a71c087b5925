"""hibiscusstep.stores: dialects of the platform's object service."""

from hibiscusstep.stores.http import HttpPlatform
from hibiscusstep.stores.memory import MemoryPlatform
from hibiscusstep.registry import Registry

__all__ = ["PLATFORMS"]

PLATFORMS = Registry("platform dialect", [HttpPlatform, MemoryPlatform])
