"""hibiscusstep.platform.eras: total order of revisions across restores of the store.

The store's revisions decrease when it is restored from an older copy, and are then
reused. Its era, which all of its answers carry, increases by one with each restore. All
other modules see a single increasing number, which combines the era and the revision.
"""

import logging
from collections.abc import Callable

__all__ = ["MAX_REVISION", "EraTracker", "join_revision", "split_revision"]

_LOG = logging.getLogger(__name__)
# Bits of a revision, enough for 35 years of a thousand changes per second. The era uses
# the remaining bits of a signed 64-bit integer.
_REVISION_BITS = 40
MAX_REVISION = (1 << _REVISION_BITS) - 1
_MAX_ERA = (1 << (63 - _REVISION_BITS)) - 1
# An answer in flight during a restore carries the previous era. This many such answers
# in a row mean that the era itself decreased, which it never should; the known era is
# kept then.
_LATE_ANSWER_LIMIT = 3


def join_revision(era: int, revision: int) -> int:
    """Return an era and a revision combined into one ordered number."""
    return (era << _REVISION_BITS) | revision


def split_revision(joined: int) -> tuple[int, int]:
    """Return the era and the revision of a number from `join_revision`."""
    return joined >> _REVISION_BITS, joined & ((1 << _REVISION_BITS) - 1)


class EraTracker:
    """Tracks the store's era from its answers.

    Attributes
    ----------
    era : int
        Highest era received; 0 before the first.
    """

    def __init__(self) -> None:
        self.era = 0
        self._on_restored: Callable[[int, int], None] | None = None
        self._late_count = 0
        self._last_logged: str | None = None

    def set_on_restored(self, on_restored: Callable[[int, int], None]) -> None:
        """Set the function that is called at each restore with the old and new era."""
        self._on_restored = on_restored

    def read(self, field: str | None) -> int:
        """Return the era of an answer from its header field.

        A missing or malformed field means the known era. A lower era is accepted as
        that of a late answer, unless `_LATE_ANSWER_LIMIT` answers in a row have one.
        """
        era = _parse_era(field)
        if era is None:
            if field is not None or self.era:
                self._log_invalid(field)
            return self.era
        if era >= self.era:
            self._late_count = 0
            if era > self.era:
                self._advance_era(era)
            return era
        self._late_count += 1
        if self._late_count < _LATE_ANSWER_LIMIT:
            return era
        self._log_invalid(field)
        return self.era

    def _advance_era(self, era: int) -> None:
        before, self.era = self.era, era
        if before and self._on_restored:
            self._on_restored(before, era)

    def _log_invalid(self, field: str | None) -> None:
        """Log an invalid field, unless its value is the last one logged."""
        shown = "none" if field is None else field[:40]
        if shown != self._last_logged:
            self._last_logged = shown
            extra = {"told": shown, "known": self.era}
            _LOG.error("store era ignored", extra=extra)


def _parse_era(field: str | None) -> int | None:
    if field is None or not (field.isascii() and field.isdigit()):
        return None
    era = int(field) if len(field) < 20 else 0
    return era if 0 < era <= _MAX_ERA else None
