"""hibiscusstep.configuration.change: conditional writes of operators' changes."""

import asyncio
import getpass
import hashlib
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import orjson

from hibiscusstep.configuration.folder import FILE_SUFFIX, read_folder
from hibiscusstep.configuration.stored import CONFIGURATION_KEY, StoredConfiguration
from hibiscusstep.errors import (
    ConfigurationError,
    HibiscusstepError,
    PlatformConflict,
    PlatformNotFound,
)
from hibiscusstep.store import Platform

__all__ = [
    "AppliedChange",
    "ChangeConflict",
    "FolderBase",
    "apply_change",
    "apply_folder",
    "file_changes",
    "read_stored",
    "set_drained",
    "write_folder",
]

BASE_FILE_NAME = ".hibiscusstep-base"
MAX_ATTEMPTS = 10
RETRY_PAUSE_S = 0.5


class ChangeConflict(HibiscusstepError):
    """Another operator changed the same file since it was read."""


@dataclass(frozen=True, slots=True)
class AppliedChange:
    """An accepted change.

    Parameters
    ----------
    version : int
        Version of the stored object on the platform.
    changed : tuple of str
        Files added, replaced or removed; empty if nothing changed.
    """

    version: int
    changed: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class FolderBase:
    """The accepted configuration that a folder was last synchronized with.

    Parameters
    ----------
    version : int
        Version of the configuration; 0 if there was none.
    digests : dict of str to str
        Digests by file name.
    """

    version: int = 0
    digests: dict | None = None

    @classmethod
    def read(cls, folder: Path) -> "FolderBase":
        """Return the base of a folder, or an empty one for a new folder."""
        try:
            data = orjson.loads((folder / BASE_FILE_NAME).read_bytes())
            return cls(data["version"], data["digests"])
        except (OSError, KeyError, orjson.JSONDecodeError):
            return cls(0, {})

    @classmethod
    def from_files(cls, version: int, files: dict[str, str]) -> "FolderBase":
        """Return the base for the files of a version."""
        return cls(version, {name: _digest(text) for name, text in files.items()})

    def write(self, folder: Path) -> None:
        """Write the base to the folder."""
        data = {"version": self.version, "digests": self.digests}
        (folder / BASE_FILE_NAME).write_bytes(orjson.dumps(data))


async def read_stored(platform: Platform) -> tuple[int, StoredConfiguration]:
    """Return the accepted configuration and its version, 0 if there is none.

    Raises
    ------
    PlatformError
        If the platform does not answer.
    """
    found = await platform.get(CONFIGURATION_KEY)
    if found.is_ok():
        item = found.unwrap()
        return item.version, StoredConfiguration.parse(item.value)
    if isinstance(found.unwrap_err(), PlatformNotFound):
        return 0, StoredConfiguration()
    raise found.unwrap_err()


def file_changes(
    folder_files: dict[str, str], stored: StoredConfiguration, base: FolderBase
) -> dict:
    """Return the files changed since the base: name to text, None if removed.

    Raises
    ------
    ChangeConflict
        If another operator changed one of these files, or added one with its name.
    """
    base_digests = base.digests or {}
    stored_digests = {name: _digest(text) for name, text in stored.files.items()}
    digests = {name: _digest(text) for name, text in folder_files.items()}
    changed = {
        name: folder_files.get(name)
        for name in sorted(digests.keys() | base_digests.keys())
        if digests.get(name) != base_digests.get(name)
    }
    for name in changed:
        if stored_digests.get(name) not in (base_digests.get(name), digests.get(name)):
            editor = stored.changed.get(name, "someone")
            raise ChangeConflict(
                f"{name} was changed by {editor} since version {base.version}; "
                "pull into another folder, compare, and apply again",
                step="apply",
                peer=name,
            )
    return {
        n: text
        for n, text in changed.items()
        if stored_digests.get(n) != digests.get(n)
    }


async def apply_folder(
    platform: Platform, folder: Path, author: str = "", *, log: Callable
) -> AppliedChange:
    """Merge a folder's changes into the accepted configuration.

    Parameters
    ----------
    platform : Platform
        Stores the configuration.
    folder : pathlib.Path
        Folder with the files and a hidden file with their base.
    author : str
        Author of the change; the user's name by default.
    log : callable of str
        Called with a line for each retry.

    Raises
    ------
    ChangeConflict, ConfigurationError, PlatformError
        Nothing was changed, unless the message says that the outcome is unknown.
    """
    files = read_folder(folder)
    base = FolderBase.read(folder)

    def edit(stored: StoredConfiguration) -> StoredConfiguration:
        changed = file_changes(files, stored, base)
        merged = {**stored.files, **{n: t for n, t in changed.items() if t is not None}}
        remaining = {n: t for n, t in merged.items() if changed.get(n, t) is not None}
        authors = {**stored.changed, **dict.fromkeys(changed, _author(author))}
        return stored.model_copy(update={"files": remaining, "changed": authors})

    applied = await apply_change(platform, edit, author, log=log)
    _version, stored = await read_stored(platform)
    FolderBase.from_files(
        applied.version, {n: stored.files.get(n, "") for n in files}
    ).write(folder)
    return applied


async def set_drained(
    platform: Platform, target: str, drained: bool, author: str = ""
) -> AppliedChange:
    """Mark a target as drained, so that it gets no new work, or remove the mark.

    Raises
    ------
    ConfigurationError
        If there is no such target.
    """

    def edit(stored: StoredConfiguration) -> StoredConfiguration:
        pools = stored.load().pools.values()
        target_names = sorted(name for pool in pools for name in pool.targets)
        if target not in target_names:
            raise ConfigurationError(
                f"no such target; choose from {', '.join(target_names)}", key=target
            )
        drained_targets = set(stored.drained) - {target} | (
            {target} if drained else set()
        )
        return stored.model_copy(update={"drained": sorted(drained_targets)})

    return await apply_change(platform, edit, author, log=lambda _line: None)


async def apply_change(
    platform: Platform,
    edit: Callable[[StoredConfiguration], StoredConfiguration],
    author: str,
    *,
    log: Callable,
) -> AppliedChange:
    """Read, edit, check and conditionally write the configuration, with retries.

    After a lost answer, the configuration is read back: the id of the change shows
    whether the write took effect.
    """
    for _attempt in range(MAX_ATTEMPTS):
        version, stored = await read_stored(platform)
        edited = edit(stored)
        if edited == stored:
            return AppliedChange(version, ())
        successor = edited.load()
        if version:
            stored.load().check_successor(successor)
        changed = tuple(
            name
            for name in sorted(edited.files.keys() | stored.files.keys())
            if edited.files.get(name) != stored.files.get(name)
        )
        change = uuid.uuid4().hex
        signed = edited.model_copy(update={"change": change, "author": _author(author)})
        done = await _write(platform, signed, version, log)
        if done is not None:
            return AppliedChange(done, changed or ("drained",))
        log("another change was written first; merging with it")
    raise ChangeConflict("the configuration keeps changing; try again", step="apply")


async def _write(
    platform: Platform, stored: StoredConfiguration, version: int, log
) -> int | None:
    """Return the version written, or None if another change was written first."""
    value = stored.to_bytes()
    last_error = None
    for _attempt in range(MAX_ATTEMPTS):
        written = await platform.put(CONFIGURATION_KEY, value, version)
        if written.is_ok():
            return written.unwrap()
        last_error = written.unwrap_err()
        if isinstance(last_error, PlatformConflict):
            current_version, found = await _read_until_answered(platform, log)
            return current_version if found.change == stored.change else None
        log("no answer from the platform; sending the same write again")
        await asyncio.sleep(RETRY_PAUSE_S)
    raise HibiscusstepError(
        f"outcome unknown, the platform does not answer ({last_error}); run apply "
        "again to find out",
        step="apply",
        peer="platform",
    )


async def _read_until_answered(
    platform: Platform, log
) -> tuple[int, StoredConfiguration]:
    for _attempt in range(MAX_ATTEMPTS):
        found = await platform.get(CONFIGURATION_KEY)
        if found.is_ok():
            item = found.unwrap()
            return item.version, StoredConfiguration.parse(item.value)
        log("no answer from the platform; reading again")
        await asyncio.sleep(RETRY_PAUSE_S)
    raise HibiscusstepError("outcome unknown; run apply again", step="apply")


def _author(author: str) -> str:
    return author or getpass.getuser()


def _digest(text: str) -> str:
    return hashlib.blake2b(text.encode(), digest_size=12).hexdigest()


def write_folder(folder: Path, version: int, stored: StoredConfiguration) -> None:
    """Write the accepted configuration to a folder and remove other JSON files."""
    folder.mkdir(parents=True, exist_ok=True)
    for path in folder.glob(f"*{FILE_SUFFIX}"):
        if path.name not in stored.files:
            path.unlink()
    for name, text in stored.files.items():
        (folder / name).write_text(text, "utf-8")
    FolderBase.from_files(version, stored.files).write(folder)
