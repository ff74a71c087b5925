"""hibiscusstep.platforms: dialects of the platform's object service."""

from hibiscusstep.platforms.http import HttpPlatform
from hibiscusstep.platforms.memory import MemoryPlatform
from hibiscusstep.registry import Registry

__all__ = ["PLATFORMS"]

PLATFORMS = Registry("platform dialect", [HttpPlatform, MemoryPlatform])
