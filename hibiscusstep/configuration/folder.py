"""hibiscusstep.configuration.folder: small JSON files with comments, merged by name."""

from dataclasses import dataclass
from functools import lru_cache
from pathlib import Path

import json5

from hibiscusstep.errors import ConfigurationError

__all__ = ["Merged", "merge", "read_folder"]

SUFFIX = ".json"
MAX_PARSED = 2048


@dataclass(frozen=True)
class Merged:
    """The files of a folder as one tree.

    Parameters
    ----------
    data : dict
        The merged tree.
    origins : dict of str to str
        Dotted key to the name of the file that set it last.
    overrides : tuple of str
        One line for each value that a later file replaced.
    """

    data: dict
    origins: dict[str, str]
    overrides: tuple[str, ...]

    def origin(self, key: str) -> str:
        """Return the file that set a dotted key or its nearest parent."""
        while key and key not in self.origins:
            key = key.rpartition(".")[0]
        return self.origins.get(key, "")


def read_folder(path: Path) -> dict[str, str]:
    """Return file name to text of the settings files of a folder, or of one file.

    Raises
    ------
    ConfigurationError
        If there is none, or one cannot be read as text.
    """
    files = sorted(path.glob(f"*{SUFFIX}")) if path.is_dir() else [path]
    if not files:
        raise ConfigurationError(f"holds no file *{SUFFIX}; add one", file=str(path))
    try:
        return {file.name: file.read_text("utf-8") for file in files}
    except (OSError, UnicodeDecodeError) as cause:
        raise ConfigurationError(f"cannot be read: {cause}", file=str(path)) from None


def merge(texts: dict[str, str]) -> Merged:
    """Merge files in the order of their names; later values replace earlier ones.

    Raises
    ------
    ConfigurationError
        Names the file that is not JSON with comments, or the key given twice in it.
    """
    merged = Merged({}, {}, ())
    overrides: list[str] = []
    for name in sorted(texts):
        tree = _parse(name, texts[name])
        _merge_into(merged.data, tree, name, "", merged.origins, overrides)
    return Merged(merged.data, merged.origins, tuple(overrides))


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


@lru_cache(maxsize=MAX_PARSED)
def _loads(text: str):
    """Return the tree of a text, which nobody may change.

    The library takes 5 us a byte; a change of one file parses that file alone.
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
