"""hibiscusstep.platform.eras: one order of revisions over restores of the store.

The store's revisions go back when it is restored from an older copy, and are given out
again. Its era, which all of its answers tell, rises by one each time. The product knows
one number that only grows: the era and the revision, compared as a whole.
"""

import logging
from collections.abc import Callable

__all__ = ["EraTracker", "join_revision", "split_revision"]

_LOG = logging.getLogger(__name__)
# A revision has so many bits, which a thousand changes a second use up in 35 years; the
# era has what is left of a signed integer of 64 bits.
_REVISION_BITS = 40
_MAX_ERA = (1 << (63 - _REVISION_BITS)) - 1
# An answer that was on its way over a restore tells the era before. So many in a row
# show that the era itself went back, which it never should: the known one is kept then.
_LATE_ANSWERS = 3


def join_revision(era: int, revision: int) -> int:
    """Return a store's revision as the product orders them."""
    return (era << _REVISION_BITS) | revision


def split_revision(joined: int) -> tuple[int, int]:
    """Return era and revision of the store; see `join_revision`."""
    return joined >> _REVISION_BITS, joined & ((1 << _REVISION_BITS) - 1)


class EraTracker:
    """The store's era, as its answers tell it.

    Attributes
    ----------
    era : int
        The highest that was told; 0 while none was.
    """

    def __init__(self) -> None:
        self.era = 0
        self._on_restored: Callable[[int, int], None] | None = None
        self._late = 0
        self._complained_of: str | None = None

    def tell(self, on_restored: Callable[[int, int], None]) -> None:
        """Tell of each restore: the era before, and the one since."""
        self._on_restored = on_restored

    def read(self, field: str | None) -> int:
        """Return the era of an answer by its header field.

        A field that is missing or can't be read means the known era. A lower era is
        taken for that of a late answer, unless that goes on.
        """
        era = _parse(field)
        if era is None:
            if field is not None or self.era:
                self._complain(field)
            return self.era
        if era >= self.era:
            self._late = 0
            if era > self.era:
                self._rise(era)
            return era
        self._late += 1
        if self._late < _LATE_ANSWERS:
            return era
        self._complain(field)
        return self.era

    def _rise(self, era: int) -> None:
        before, self.era = self.era, era
        if before and self._on_restored:
            self._on_restored(before, era)

    def _complain(self, field: str | None) -> None:
        """Log a field that can't be what it should, once for each value of it."""
        shown = "none" if field is None else field[:40]
        if shown != self._complained_of:
            self._complained_of = shown
            extra = {"told": shown, "known": self.era}
            _LOG.error("store era ignored", extra=extra)


def _parse(field: str | None) -> int | None:
    if field is None or not (field.isascii() and field.isdigit()):
        return None
    era = int(field) if len(field) < 20 else 0
    return era if 0 < era <= _MAX_ERA else None
