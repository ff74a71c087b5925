"""hibiscusstep.stores.memory: in-memory object service with fault injection."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from hibiscusstep.errors import (
    PlatformConflict,
    PlatformError,
    PlatformNotFound,
    PlatformUnavailable,
)
from hibiscusstep.store import InstanceRecord, Platform, VersionedObject

__all__ = ["MAX_VALUE_BYTES", "InjectedFaults", "MemoryPlatform"]

MAX_VALUE_BYTES = 1 << 20


@dataclass
class InjectedFaults:
    """Injected faults, set by tests and by the stand-in's control calls.

    Parameters
    ----------
    down : bool
        Whether calls fail without taking effect.
    delay : float
        Seconds added before each call takes effect.
    lose_answers : int
        Number of the next writes that take effect while their answer is lost.
    """

    down: bool = False
    delay: float = 0.0
    lose_answers: int = 0


class MemoryPlatform(Platform):
    """Object service in a dictionary, for tests and the stand-in process.

    Parameters
    ----------
    url : str
        Unused; all dialects have the same signature.

    Attributes
    ----------
    faults : InjectedFaults
        Injected faults.
    calls : collections.Counter
        Number of calls by kind.
    observer : callable of (str, str) or None
        Called with kind and key of each call before it takes effect.
    """

    name = "memory"

    def __init__(self, url: str = "") -> None:
        self.faults = InjectedFaults()
        self.calls: Counter = Counter()
        self.instance_records: list[InstanceRecord] = []
        self.observer: Callable[[str, str], None] | None = None
        self._objects: dict[str, VersionedObject] = {}
        self._last_version = 0
        self._object_changed = asyncio.Condition()

    async def get(self, key: str) -> Result[VersionedObject, PlatformError]:
        """Return the object."""
        return await self._call("get", key, lambda: self._read(key))

    async def put(
        self, key: str, value: bytes, expected: int
    ) -> Result[int, PlatformError]:
        """Write the object if its version is `expected` (0: if it does not exist)."""
        answer = await self._call("put", key, lambda: self._write(key, value, expected))
        if answer.is_ok():
            async with self._object_changed:
                self._object_changed.notify_all()
        return self._lose_answer_if_set(answer, "put")

    async def delete(self, key: str) -> Result[None, PlatformError]:
        """Delete the object."""
        answer = await self._call("delete", key, lambda: self._remove(key))
        return self._lose_answer_if_set(answer, "delete")

    async def watch(
        self, key: str, after: int, timeout: float
    ) -> Result[VersionedObject | None, PlatformError]:
        """Return the object once its version is above `after`; None after `timeout`."""
        accepted = await self._call("watch", key, lambda: Ok(None))
        if accepted.is_err():
            return accepted
        try:
            async with asyncio.timeout(timeout), self._object_changed:
                await self._object_changed.wait_for(
                    lambda: key in self._objects and self._objects[key].version > after
                )
        except TimeoutError:
            return Ok(None)
        return Ok(self._objects[key])

    async def instances(self) -> Result[list[InstanceRecord], PlatformError]:
        """Return the list of instances."""
        return await self._call(
            "instances", "", lambda: Ok(list(self.instance_records))
        )

    async def _call(self, step, key, operation):
        self.calls[step] += 1
        if self.observer:
            self.observer(step, key)
        await asyncio.sleep(self.faults.delay)
        if self.faults.down:
            return Err(PlatformUnavailable("outage", step=step, peer="platform"))
        return operation()

    def _lose_answer_if_set(self, answer, step):
        if answer.is_ok() and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return Err(PlatformUnavailable("answer lost", step=step, peer="platform"))
        return answer

    def _read(self, key: str):
        if key not in self._objects:
            return Err(
                PlatformNotFound(f"no object {key}", step="get", peer="platform")
            )
        return Ok(self._objects[key])

    def _write(self, key: str, value: bytes, expected: int):
        current = self._objects[key].version if key in self._objects else 0
        if current != expected or len(value) > MAX_VALUE_BYTES:
            detail = f"{key} is at version {current}, not {expected}"
            return Err(PlatformConflict(detail, step="put", peer="platform"))
        self._last_version += 1
        self._objects[key] = VersionedObject(key, self._last_version, value)
        return Ok(self._last_version)

    def _remove(self, key: str):
        self._objects.pop(key, None)
        return Ok(None)
