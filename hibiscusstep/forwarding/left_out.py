"""hibiscusstep.forwarding.left_out: what is left out, told once a revision."""

__all__ = ["LeftOut"]


class LeftOut:
    """Counts what is left out; a list read again tells of the same things again.

    Attributes
    ----------
    count : int
        What was left out so far, each revision once.
    """

    def __init__(self) -> None:
        self._revisions: dict[str, int] = {}
        self.count = 0

    def is_new(self, name: str, revision: int) -> bool:
        """Take note of what is left out; whether this revision of it is the first."""
        if self._revisions.get(name) == revision:
            return False
        self._revisions[name] = revision
        self.count += 1
        return True
