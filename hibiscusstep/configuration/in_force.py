"""hibiscusstep.configuration.in_force: the version that an instance acts by."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hibiscusstep.configuration.models import Configuration

__all__ = ["InForce"]


@dataclass(frozen=True, slots=True)
class InForce:
    """A version of the configuration that an instance acts by.

    Parameters
    ----------
    version : int
        The platform's version of the object; 0 is none.
    value : bytes
        The object, to hand on to peers.
    configuration : Configuration or None
        Its checked form; None only for version 0.
    """

    version: int = 0
    value: bytes = b""
    configuration: Configuration | None = None
