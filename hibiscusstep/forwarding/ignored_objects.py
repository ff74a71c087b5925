"""hibiscusstep.forwarding.ignored_objects: objects ignored once per revision."""

__all__ = ["IgnoredRevisions"]

# Objects whose revisions are remembered; the oldest is forgotten for a further one.
MAX_OBJECTS = 10_000


class IgnoredRevisions:
    """Counts ignored objects; one that is read again is counted once per revision.

    Attributes
    ----------
    count : int
        Number of ignored revisions so far.
    """

    def __init__(self) -> None:
        self._revisions: dict[str, int] = {}
        self.count = 0

    def record(self, name: str, revision: int) -> bool:
        """Record an ignored object and return whether this revision is new."""
        if self._revisions.get(name) == revision:
            return False
        if name not in self._revisions and len(self._revisions) >= MAX_OBJECTS:
            del self._revisions[next(iter(self._revisions))]
        self._revisions[name] = revision
        self.count += 1
        return True
