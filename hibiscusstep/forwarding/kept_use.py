"""hibiscusstep.forwarding.kept_use: customers' use, for after a restart of all."""

import itertools
import logging
import math
from collections.abc import Callable
from dataclasses import asdict, dataclass

from hibiscusstep.forwarding.usage import RECENT_STEP_S, UsageLedger
from hibiscusstep.log import decision
from hibiscusstep.mailbox import Tick, Worker
from hibiscusstep.peer import Usage, UsageScope
from hibiscusstep.store import UsageStore

__all__ = ["KeepUse", "KeptUse", "KeptUseWorker", "ReadUse", "UseRecorder"]

_LOG = logging.getLogger(__name__)
_INCARNATION = "kept"
# A write or a reading that failed is tried again after so many seconds.
RETRY_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class ReadUse:
    """Asks for what was kept, once."""


@dataclass(frozen=True, slots=True)
class KeptUse:
    """What was kept before this instance started."""

    usage: Usage


@dataclass(frozen=True, slots=True)
class KeepUse:
    """What is to be kept from now on."""

    usage: Usage


class UseRecorder:
    """Decides when the store must learn of what customers used, and of what.

    Only customers that used a good part of their limit are listed, and each again only
    after it used some more: a customer at its limit costs about a write a second, the
    others none. What it may have used since is added, so that a restart of all at any
    moment finds no less than was used.
    """

    # From this share of its limit on a customer is listed. The usual use of large
    # customers is four tenths of it.
    LISTED_FROM = 0.3
    # It is listed again after it used this share of its limit; with one busy customer
    # that is a call to the store each 1.2 s.
    AGAIN_AFTER = 0.15
    # What may be used beside that until the write stands: two tellings and a call, half
    # a second, at a fifth of the limit a second.
    UNWRITTEN_SHARE = 0.1
    # Of a customer that was not listed this much may have been used at the most.
    UNLISTED_SHARE = LISTED_FROM + AGAIN_AFTER + UNWRITTEN_SHARE
    # Customers that no longer are near their limits stay listed for so many seconds: no
    # write for each of their bursts.
    DROP_AFTER_S = 4.0

    def __init__(self) -> None:
        # What was written of whom; None while the last writer's document stands.
        self._written: dict[str, int] | None = None
        self._written_at: float | None = None

    def due(
        self, ledger: UsageLedger, limits: dict[str, float], now: float
    ) -> Usage | None:
        """Return what is to be written, None if what stands there will do."""
        used = {name: ledger.total_used(name, now) for name in limits}
        near = [n for n, limit in limits.items() if used[n] >= self.LISTED_FROM * limit]
        again = any(
            self._used_since(ledger, name) >= self.AGAIN_AFTER * limits[name]
            for name in near
        )
        if not again and not self._is_outdated(near, now):
            return None
        self._written = {name: ledger.of_all[name] for name in near}
        self._written_at = now
        rows = [self._row(ledger.by_age(name, now), limits[name]) for name in near]
        totals = [sum(row) for row in rows]
        recent = list(itertools.chain.from_iterable(rows))
        return Usage(_INCARNATION, UsageScope.KEPT, near, totals, recent)

    def forget(self) -> None:
        """Take what was written for lost."""
        self._written = None

    def _used_since(self, ledger: UsageLedger, name: str) -> float:
        """Return what a customer used since it was listed."""
        if self._written is None or name not in self._written:
            return math.inf
        return ledger.of_all[name] - self._written[name]

    def _is_outdated(self, near: list[str], now: float) -> bool:
        """Whether customers have been listed long enough who need not be."""
        if self._written_at is None:
            self._written_at = now
        if now - self._written_at < self.DROP_AFTER_S:
            return False
        return self._written is None or bool(self._written.keys() - set(near))

    def _row(self, ages: list[int], limit: float) -> list[int]:
        """Return parts by age with what may still be used, no more than the limit."""
        margin = round((self.AGAIN_AFTER + self.UNWRITTEN_SHARE) * limit)
        left, row = round(limit), []
        for amount in (ages[0] + margin, *ages[1:]):
            row.append(min(amount, left))
            left -= row[-1]
        return row


class KeptUseWorker(Worker):
    """Reads what was kept once, and writes what is to be kept.

    Parameters
    ----------
    store : UsageStore
        Keeps the document.
    span : float
        Seconds of the window.
    found : callable of KeptUse
        Takes what was read.
    """

    def __init__(
        self, store: UsageStore, span: float, found: Callable[[KeptUse], None]
    ) -> None:
        super().__init__("kept-use", tick_interval=RETRY_INTERVAL_S)
        self._store = store
        self._steps = -int(-span // RECENT_STEP_S)
        self._found = found
        self._wanted = self._read = False
        self._unwritten: Usage | None = None

    async def handle(self, message) -> None:
        """Take a wish to read, what is to be written, or a tick."""
        match message:
            case ReadUse():
                first, self._wanted = not self._wanted, True
                if first:
                    await self._read_kept()
            case KeepUse(usage=usage):
                self._unwritten = usage
                await self._write()
            case Tick():
                if self._wanted and not self._read:
                    await self._read_kept()
                if self._unwritten:
                    await self._write()

    async def _read_kept(self) -> None:
        reply = await self._store.read()
        if reply.is_err():
            decision("use-not-read", error=str(reply.unwrap_err()))
            return
        self._read = True
        usage = self._usage(reply.unwrap())
        decision("use-read", customers=len(usage.customers))
        self._found(KeptUse(usage))

    def _usage(self, document: dict | None) -> Usage:
        """Return a document as a message; none, or a malformed one, lists nobody."""
        nobody = Usage(_INCARNATION, UsageScope.KEPT, [], [], [])
        if document is None:
            return nobody
        try:
            customers = [str(name) for name in document["customers"]]
            recent = [max(0, int(amount)) for amount in document["recent"]]
            if len(recent) != self._steps * len(customers):
                raise ValueError("not as many figures as customers have")
        except (KeyError, TypeError, ValueError, OverflowError) as cause:
            _LOG.error("kept use ignored", extra={"error": repr(cause)})
            return nobody
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
