"""hibiscusstep.configuration.folder: merges the JSON files, with comments, of a folder.

Files are merged in the order of their names.
"""

from dataclasses import dataclass
from functools import lru_cache
from pathlib import Path

import json5

from hibiscusstep.errors import ConfigurationError

__all__ = ["MergedFiles", "merge", "read_folder"]

FILE_SUFFIX = ".json"
MAX_CACHED_TREES = 2048


@dataclass(frozen=True)
class MergedFiles:
    """The files of a folder merged into one tree.

    Parameters
    ----------
    data : dict
        The merged tree.
    origins : dict of str to str
        Name of the file that set each dotted key last.
    overrides : tuple of str
        A message for each value that a later file replaced.
    """

    data: dict
    origins: dict[str, str]
    overrides: tuple[str, ...]

    def origin(self, key: str) -> str:
        """Return the name of the file that set a dotted key or its nearest parent."""
        while key and key not in self.origins:
            key = key.rpartition(".")[0]
        return self.origins.get(key, "")


def read_folder(path: Path) -> dict[str, str]:
    """Return the texts of the files of a folder, or of one file, by file name.

    Raises
    ------
    ConfigurationError
        If there is no file, or one cannot be read as text.
    """
    files = sorted(path.glob(f"*{FILE_SUFFIX}")) if path.is_dir() else [path]
    if not files:
        raise ConfigurationError(
            f"holds no file *{FILE_SUFFIX}; add one", file=str(path)
        )
    try:
        return {file.name: file.read_text("utf-8") for file in files}
    except (OSError, UnicodeDecodeError) as cause:
        raise ConfigurationError(f"cannot be read: {cause}", file=str(path)) from None


def merge(texts: dict[str, str]) -> MergedFiles:
    """Merge files in the order of their names; later values replace earlier ones.

    Raises
    ------
    ConfigurationError
        If a file is not JSON with comments or contains a key twice.
    """
    merged = MergedFiles({}, {}, ())
    overrides: list[str] = []
    for name in sorted(texts):
        tree = _parse(name, texts[name])
        _merge_into(merged.data, tree, name, "", merged.origins, overrides)
    return MergedFiles(merged.data, merged.origins, tuple(overrides))


def _parse(name: str, text: str) -> dict:
    try:
        tree = _loads(text)
    except (ValueError, RecursionError) as cause:
        detail = str(cause).splitlines()[0]
        detail = f"not JSON with comments: {detail}"
        raise ConfigurationError(detail, file=name) from None
    if not isinstance(tree, dict):
        raise ConfigurationError("must hold one object {...}", file=name)
    return tree


@lru_cache(maxsize=MAX_CACHED_TREES)
def _loads(text: str):
    """Return the parsed tree of a text; callers must not modify it.

    The library takes 5 us per byte. With the cache, a change of one file parses only
    that file.
    """
    return json5.loads(text, allow_duplicate_keys=False)


def _merge_into(base, tree, name, prefix, origins, overrides) -> None:
    for key, value in tree.items():
        dotted = f"{prefix}.{key}" if prefix else str(key)
        if isinstance(value, dict) and isinstance(base.get(key), dict):
            _merge_into(base[key], value, name, dotted, origins, overrides)
            continue
        if key in base and base[key] != value:
            overrides.append(f"{name} replaces {dotted} of {origins.get(dotted, '?')}")
        if isinstance(value, dict):
            base[key] = {}
            _merge_into(base[key], value, name, dotted, origins, overrides)
        else:
            base[key] = value
        origins[dotted] = name
