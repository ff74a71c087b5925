"""hibiscusstep.configuration.change: operators' changes, written conditionally."""

import asyncio
import getpass
import hashlib
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import orjson

from hibiscusstep.configuration.folder import SUFFIX, read_folder
from hibiscusstep.configuration.stored import CONFIGURATION_KEY, Stored
from hibiscusstep.errors import (
    ConfigurationError,
    HibiscusstepError,
    PlatformConflict,
    PlatformNotFound,
)
from hibiscusstep.store import Platform

__all__ = [
    "Applied",
    "Base",
    "ChangeConflict",
    "apply_change",
    "apply_folder",
    "file_changes",
    "mark_drained",
    "read_stored",
    "write_folder",
]

BASE_NAME = ".hibiscusstep-base"
MAX_TRIES = 10
RETRY_PAUSE_S = 0.5


class ChangeConflict(HibiscusstepError):
    """Someone else changed the same file since it was read."""


@dataclass(frozen=True, slots=True)
class Applied:
    """An accepted change.

    Parameters
    ----------
    version : int
        The platform's version of the object.
    changed : tuple of str
        Files added, replaced or removed; empty if nothing had to change.
    """

    version: int
    changed: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Base:
    """What a folder was last made equal to.

    Parameters
    ----------
    version : int
        Version of the configuration, 0 for none.
    digests : dict of str to str
        File name to digest.
    """

    version: int = 0
    digests: dict | None = None

    @classmethod
    def read(cls, folder: Path) -> "Base":
        """Return the base of a folder; of a new folder, the empty one."""
        try:
            data = orjson.loads((folder / BASE_NAME).read_bytes())
            return cls(data["version"], data["digests"])
        except (OSError, KeyError, orjson.JSONDecodeError):
            return cls(0, {})

    @classmethod
    def of(cls, version: int, files: dict[str, str]) -> "Base":
        """Return the base that a version's files make."""
        return cls(version, {name: _digest(text) for name, text in files.items()})

    def write(self, folder: Path) -> None:
        """Keep the base in the folder."""
        data = {"version": self.version, "digests": self.digests}
        (folder / BASE_NAME).write_bytes(orjson.dumps(data))


async def read_stored(platform: Platform) -> tuple[int, Stored]:
    """Return version and object of the accepted configuration, 0 if there is none.

    Raises
    ------
    PlatformError
        If the platform gives no answer.
    """
    found = await platform.get(CONFIGURATION_KEY)
    if found.is_ok():
        item = found.unwrap()
        return item.version, Stored.parse(item.value)
    if isinstance(found.unwrap_err(), PlatformNotFound):
        return 0, Stored()
    raise found.unwrap_err()


def file_changes(mine: dict[str, str], stored: Stored, base: Base) -> dict:
    """Return what the folder changed since its base: name to text, None if removed.

    Raises
    ------
    ChangeConflict
        If another operator changed one of these files, or added one of that name.
    """
    known = base.digests or {}
    theirs = {name: _digest(text) for name, text in stored.files.items()}
    digests = {name: _digest(text) for name, text in mine.items()}
    changed = {
        name: mine.get(name)
        for name in sorted(digests.keys() | known.keys())
        if digests.get(name) != known.get(name)
    }
    for name in changed:
        if theirs.get(name) not in (known.get(name), digests.get(name)):
            who = stored.changed.get(name, "someone")
            raise ChangeConflict(
                f"{name} was changed by {who} since version {base.version}; "
                "pull into another folder, compare, and apply again",
                step="apply",
                peer=name,
            )
    return {n: text for n, text in changed.items() if theirs.get(n) != digests.get(n)}


async def apply_folder(
    platform: Platform, folder: Path, author: str = "", *, log: Callable
) -> Applied:
    """Make the accepted configuration contain a folder's changes.

    Parameters
    ----------
    platform : Platform
        Where it lives.
    folder : pathlib.Path
        Files and, hidden, the base that they were changed from.
    author : str
        Who changes; by default the user's name.
    log : callable of str
        Gets a line on each repeated try.

    Raises
    ------
    ChangeConflict, ConfigurationError, PlatformError
        Nothing was changed by this call, unless the error says it is not known.
    """
    files = read_folder(folder)
    base = Base.read(folder)

    def edit(stored: Stored) -> Stored:
        changed = file_changes(files, stored, base)
        merged = {**stored.files, **{n: t for n, t in changed.items() if t is not None}}
        kept = {n: t for n, t in merged.items() if changed.get(n, t) is not None}
        authors = {**stored.changed, **dict.fromkeys(changed, _author(author))}
        return stored.model_copy(update={"files": kept, "changed": authors})

    applied = await apply_change(platform, edit, author, log=log)
    _version, stored = await read_stored(platform)
    Base.of(applied.version, {n: stored.files.get(n, "") for n in files}).write(folder)
    return applied


async def mark_drained(
    platform: Platform, target: str, drained: bool, author: str = ""
) -> Applied:
    """Mark a target as taking no new work, or take the mark off.

    Raises
    ------
    ConfigurationError
        If there is no such target.
    """

    def edit(stored: Stored) -> Stored:
        pools = stored.load().pools.values()
        known = sorted(name for pool in pools for name in pool.targets)
        if target not in known:
            raise ConfigurationError(
                f"no such target; choose from {', '.join(known)}", key=target
            )
        marks = set(stored.drained) - {target} | ({target} if drained else set())
        return stored.model_copy(update={"drained": sorted(marks)})

    return await apply_change(platform, edit, author, log=lambda _line: None)


async def apply_change(
    platform: Platform,
    edit: Callable[[Stored], Stored],
    author: str,
    *,
    log: Callable,
) -> Applied:
    """Read, edit, check, and write if nothing changed meanwhile; else again.

    A write whose answer was lost is read back: the change has an id, so whether it
    stands is known and not guessed.
    """
    for _try in range(MAX_TRIES):
        version, stored = await read_stored(platform)
        edited = edit(stored)
        if edited == stored:
            return Applied(version, ())
        successor = edited.load()
        if version:
            stored.load().check_successor(successor)
        changed = tuple(
            name
            for name in sorted(edited.files.keys() | stored.files.keys())
            if edited.files.get(name) != stored.files.get(name)
        )
        change = uuid.uuid4().hex
        named = edited.model_copy(update={"change": change, "author": _author(author)})
        done = await _write(platform, named, version, log)
        if done is not None:
            return Applied(done, changed or ("drained",))
        log("another change came first; merging with it")
    raise ChangeConflict("others keep changing it; try again", step="apply")


async def _write(platform: Platform, stored: Stored, version: int, log) -> int | None:
    """Return the version written, None if another change came first."""
    value = stored.to_bytes()
    last = None
    for _try in range(MAX_TRIES):
        written = await platform.put(CONFIGURATION_KEY, value, version)
        if written.is_ok():
            return written.unwrap()
        last = written.unwrap_err()
        if isinstance(last, PlatformConflict):
            now, found = await _read_until_answered(platform, log)
            return now if found.change == stored.change else None
        log("no answer from the platform; sending the same write again")
        await asyncio.sleep(RETRY_PAUSE_S)
    raise HibiscusstepError(
        f"outcome unknown, the platform gives no answer ({last}); run apply again: "
        "it finds out",
        step="apply",
        peer="platform",
    )


async def _read_until_answered(platform: Platform, log) -> tuple[int, Stored]:
    for _try in range(MAX_TRIES):
        found = await platform.get(CONFIGURATION_KEY)
        if found.is_ok():
            item = found.unwrap()
            return item.version, Stored.parse(item.value)
        log("no answer from the platform; reading again")
        await asyncio.sleep(RETRY_PAUSE_S)
    raise HibiscusstepError("outcome unknown; run apply again", step="apply")


def _author(author: str) -> str:
    return author or getpass.getuser()


def _digest(text: str) -> str:
    return hashlib.blake2b(text.encode(), digest_size=12).hexdigest()


def write_folder(folder: Path, version: int, stored: Stored) -> None:
    """Make a folder equal to the accepted configuration."""
    folder.mkdir(parents=True, exist_ok=True)
    for path in folder.glob(f"*{SUFFIX}"):
        if path.name not in stored.files:
            path.unlink()
    for name, text in stored.files.items():
        (folder / name).write_text(text, "utf-8")
    Base.of(version, stored.files).write(folder)
