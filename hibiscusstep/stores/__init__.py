"""hibiscusstep.stores: clients of the platform's object service, by dialect."""

from hibiscusstep.registry import Registry
from hibiscusstep.stores.http import HttpPlatform
from hibiscusstep.stores.memory import MemoryPlatform

__all__ = ["PLATFORMS"]

PLATFORMS = Registry("platform dialect", [HttpPlatform, MemoryPlatform])
