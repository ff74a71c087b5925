"""hibiscusstep.forwarding.saved_usage: token usage stored for a full restart."""

import itertools
import logging
import math
from collections.abc import Callable
from dataclasses import asdict, dataclass

from hibiscusstep.forwarding.saved_values import to_count, to_name
from hibiscusstep.forwarding.usage import AGE_STEP_S, UsageLedger
from hibiscusstep.log import decision
from hibiscusstep.mailbox import Tick, Worker
from hibiscusstep.peer import Usage, UsageScope
from hibiscusstep.store import UsageStore

__all__ = [
    "ReadUsage",
    "SaveUsage",
    "SavedUsage",
    "SavedUsagePlanner",
    "SavedUsageWorker",
]

_LOG = logging.getLogger(__name__)
# Takes the place of an instance's incarnation in saved usage.
_INCARNATION = "kept"
# Interval in seconds between attempts after a failed read or write.
RETRY_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class ReadUsage:
    """Requests that the saved usage is read, once."""


@dataclass(frozen=True, slots=True)
class SavedUsage:
    """The stored usage from before this instance started.

    Parameters
    ----------
    usage : Usage or None
        The usage; None if the document is malformed.
    """

    usage: Usage | None


@dataclass(frozen=True, slots=True)
class SaveUsage:
    """Usage to write to the store in place of the previous."""

    usage: Usage


class SavedUsagePlanner:
    """Decides when token usage is written to the store, and for which customers.

    Only customers above a share of their limit are listed, and a customer causes a new
    write only after some more usage: a customer at its limit causes about one write a
    second, the others none. A margin for later usage is added, so that the document
    never lists less than was used when all instances restart.
    """

    # Share of its limit from which a customer is listed. Large customers usually use
    # four tenths of it.
    LISTED_MIN_SHARE = 0.3
    # Further usage, as a share of the limit, that causes a new write; with one busy
    # customer that is one call to the store every 1.2 s.
    REWRITE_SHARE = 0.15
    # Further usage, as a share of the limit, until the write is done: half a second for
    # two exchanges and a call, at a fifth of the limit per second.
    UNWRITTEN_SHARE = 0.1
    # Maximum share of its limit that a customer that is not listed may have used.
    UNLISTED_SHARE = LISTED_MIN_SHARE + REWRITE_SHARE + UNWRITTEN_SHARE
    # Seconds for which customers stay listed after their usage has dropped, so that not
    # every burst causes another write.
    UNLIST_AFTER_S = 4.0

    def __init__(self) -> None:
        # Totals by customer at this instance's last write; None before it, while the
        # previous writer's document stands, and after a loss of the document.
        self._written_totals: dict[str, int] | None = None
        self._written_at: float | None = None

    def next_document(
        self, ledger: UsageLedger, limits: dict[str, float], now: float
    ) -> Usage | None:
        """Return the document to write, or None if the stored one is sufficient."""
        used = {name: ledger.total_usage(name, now) for name in limits}
        to_list = [
            n for n, limit in limits.items() if used[n] >= self.LISTED_MIN_SHARE * limit
        ]
        needs_write = any(
            self._used_since_write(ledger, name) >= self.REWRITE_SHARE * limits[name]
            for name in to_list
        )
        if not needs_write and not self._is_outdated(to_list, now):
            return None
        self._written_totals = {name: ledger.all_totals[name] for name in to_list}
        self._written_at = now
        rows = [
            self._with_margin(ledger.by_age(name, now), limits[name])
            for name in to_list
        ]
        totals = [sum(row) for row in rows]
        recent = list(itertools.chain.from_iterable(rows))
        return Usage(_INCARNATION, UsageScope.KEPT, to_list, totals, recent)

    def mark_lost(self) -> None:
        """Assume that the stored document is lost."""
        self._written_totals = None

    def _used_since_write(self, ledger: UsageLedger, name: str) -> float:
        """Return a customer's tokens since the last write that listed it."""
        if self._written_totals is None or name not in self._written_totals:
            return math.inf
        return ledger.all_totals[name] - self._written_totals[name]

    def _is_outdated(self, to_list: list[str], now: float) -> bool:
        """Return whether customers that need not be listed can be dropped now."""
        if self._written_at is None:
            self._written_at = now
        if now - self._written_at < self.UNLIST_AFTER_S:
            return False
        return self._written_totals is None or bool(
            self._written_totals.keys() - set(to_list)
        )

    def _with_margin(self, ages: list[int], limit: float) -> list[int]:
        """Return tokens by age plus the margin, limited to the customer's limit."""
        margin = round((self.REWRITE_SHARE + self.UNWRITTEN_SHARE) * limit)
        limit_left, row = round(limit), []
        for amount in (ages[0] + margin, *ages[1:]):
            row.append(min(amount, limit_left))
            limit_left -= row[-1]
        return row


class SavedUsageWorker(Worker):
    """Reads the saved usage once and writes new usage.

    Parameters
    ----------
    store : UsageStore
        Holds the document.
    span : float
        Length of the quota window in seconds.
    on_read : callable of SavedUsage
        Receives the saved usage.
    """

    def __init__(
        self, store: UsageStore, span: float, on_read: Callable[[SavedUsage], None]
    ) -> None:
        super().__init__("kept-use", tick_interval=RETRY_INTERVAL_S)
        self._store = store
        self._steps = -int(-span // AGE_STEP_S)
        self._on_read = on_read
        self._read_requested = self._read_done = False
        self._unwritten: Usage | None = None

    async def handle(self, message) -> None:
        """Process a read request, usage to write, or a tick."""
        match message:
            case ReadUsage():
                first_request, self._read_requested = not self._read_requested, True
                if first_request:
                    await self._read_store()
            case SaveUsage(usage=usage):
                self._unwritten = usage
                await self._write()
            case Tick():
                if self._read_requested and not self._read_done:
                    await self._read_store()
                if self._unwritten:
                    await self._write()

    async def _read_store(self) -> None:
        reply = await self._store.read()
        if reply.is_err():
            decision("use-not-read", error=str(reply.unwrap_err()))
            return
        self._read_done = True
        usage = self._parse_document(reply.unwrap())
        if usage is not None:
            decision("use-read", customers=len(usage.customers))
        self._on_read(SavedUsage(usage))

    def _parse_document(self, document: dict | None) -> Usage | None:
        """Return the usage in a document, None if malformed; empty if it is missing."""
        if document is None:
            return Usage(_INCARNATION, UsageScope.KEPT, [], [], [])
        try:
            customers = [to_name(name) for name in document["customers"]]
            recent = [to_count(amount) for amount in document["recent"]]
            if len(recent) != self._steps * len(customers):
                raise ValueError("wrong number of values in recent")
        except (KeyError, TypeError, ValueError, OverflowError) as cause:
            _LOG.error("malformed saved usage ignored", extra={"error": repr(cause)})
            return None
        rows = (
            recent[at : at + self._steps] for at in range(0, len(recent), self._steps)
        )
        totals = [sum(row) for row in rows]
        return Usage(_INCARNATION, UsageScope.KEPT, customers, totals, recent)

    async def _write(self) -> None:
        usage, self._unwritten = self._unwritten, None
        written = await self._store.write(asdict(usage))
        if written.is_err():
            decision("use-not-kept", error=str(written.unwrap_err()))
            self._unwritten = self._unwritten or usage
