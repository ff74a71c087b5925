"""hibiscusstep.platform.stored_objects: objects of the store, readable or not."""

import logging

from hibiscusstep.forwarding.ignored_objects import IgnoredRevisions
from hibiscusstep.platform import fields as f
from hibiscusstep.platform.eras import MAX_REVISION, join_revision
from hibiscusstep.platform.partial_json import Unreadable, load

__all__ = [
    "IgnoredObjects",
    "find_members",
    "read_metadata",
    "read_name",
    "read_revision",
]

_LOG = logging.getLogger(__name__)
# Characters of a name and of a reason that are logged.
MAX_LOGGED_LENGTH = 200


def find_members(value: object) -> dict:
    """Return the members of an object, also of a malformed one; else an empty dict."""
    if isinstance(value, Unreadable):
        return value.members
    return value if isinstance(value, dict) else {}


def read_metadata(item: object) -> dict:
    """Return the metadata of an object as far as they can be read.

    Raises
    ------
    ValueError
        If the object has none, or they are malformed.
    """
    metadata = find_members(item).get("Metadata")
    if isinstance(metadata, Unreadable):
        # One of their members may be malformed, which others can write too.
        metadata = metadata.members or load(metadata.text, levels=1)
    if not isinstance(metadata, dict):
        raise f.MalformedField("Metadata", "missing or not a table")
    return metadata


def read_name(metadata: dict) -> str:
    """Return the name in an object's metadata.

    Raises
    ------
    MalformedField
        If it is missing or not a text.
    """
    name = metadata.get("Name")
    if not isinstance(name, str):
        raise f.MalformedField("Name", "missing or not a text")
    return name


def read_revision(document: dict, field: str) -> int:
    """Return a revision of the store.

    Raises
    ------
    MalformedField
        If it is missing or malformed.
    """
    return f.read_int(document, field, most=MAX_REVISION)


class IgnoredObjects:
    """Objects of one kind that were left out, each logged once per revision.

    Parameters
    ----------
    kind : str
        Kind of the objects.
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._revisions = IgnoredRevisions()

    @property
    def count(self) -> int:
        """Number of revisions that were left out so far."""
        return self._revisions.count

    def record(
        self, item: object, position: int, era: int, at: int, cause: Exception
    ) -> None:
        """Record an object that was left out.

        Parameters
        ----------
        item : object
            The object as it was decoded.
        position : int
            Its index in the answer, which is logged if its name cannot be read.
        era, at : int
            The store's era, and the revision of the answer, which is used if the
            object's cannot be read.
        cause : Exception
            Why it was left out, unless parts of it are unreadable.
        """
        extra = {"kind": self._kind, "object": "", "revision": join_revision(era, at)}
        try:
            metadata = read_metadata(item)
            extra["object"] = read_name(metadata)[:MAX_LOGGED_LENGTH]
            revision = read_revision(metadata, "Revision")
            extra["revision"] = join_revision(era, revision)
        except f.MALFORMED_ERRORS:
            pass
        if not extra["object"]:
            extra["position"] = position
        if self._revisions.record(extra["object"] or f"#{position}", extra["revision"]):
            reason = _reason(item, cause)[:MAX_LOGGED_LENGTH]
            _LOG.error("object left out", extra={**extra, "error": reason})


def _reason(item: object, cause: Exception) -> str:
    if isinstance(item, Unreadable):
        return item.reason
    for name, value in find_members(item).items():
        if isinstance(value, Unreadable):
            return f"{name}: {value.reason}"
    return str(cause)
