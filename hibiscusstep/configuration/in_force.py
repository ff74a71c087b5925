"""hibiscusstep.configuration.in_force: the configuration in force on an instance."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hibiscusstep.configuration.models import Configuration

__all__ = ["ConfigurationInForce"]


@dataclass(frozen=True, slots=True)
class ConfigurationInForce:
    """A version of the configuration that is in force on an instance.

    Parameters
    ----------
    version : int
        Version of the stored object on the platform; 0 if there is none.
    value : bytes
        The stored object, to be sent to peers.
    configuration : Configuration or None
        The validated configuration; None only for version 0.
    """

    version: int = 0
    value: bytes = b""
    configuration: Configuration | None = None
