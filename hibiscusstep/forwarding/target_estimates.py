"""hibiscusstep.forwarding.target_estimates: stored estimates of target speeds."""

import logging
from collections.abc import Callable
from dataclasses import asdict

from hibiscusstep.forwarding.saved_values import to_name
from hibiscusstep.log import decision
from hibiscusstep.mailbox import Tick, Worker
from hibiscusstep.peer import PoolLearnt
from hibiscusstep.store import EstimateStore

__all__ = ["SavedEstimatesWorker"]

_LOG = logging.getLogger(__name__)
# With two pools this makes half a call per second; the store handles hundreds.
STORE_INTERVAL_S = 4.0
# Upper bound of a plausible value: target speeds differ by a factor of tens, and first
# tokens arrive within seconds.
MAX_VALUE = 1000.0


class SavedEstimatesWorker(Worker):
    """Stores dispatchers' estimates of target speeds, and reads them at the start.

    After a restart of all instances no peer knows which targets are slow. Long prompts
    would be sent to slow targets too and delay all streams there until enough answers
    have been measured. If the store is unavailable, an instance starts without
    estimates.

    Parameters
    ----------
    store : EstimateStore
        Stores one document per pool.
    on_read : callable of PoolLearnt
        Receives each document that was read.
    """

    def __init__(
        self, store: EstimateStore, on_read: Callable[[PoolLearnt], None]
    ) -> None:
        super().__init__("beliefs", tick_interval=STORE_INTERVAL_S)
        self._store = store
        self._on_read = on_read
        self._unwritten: dict[str, PoolLearnt] = {}
        self._is_read = False

    async def handle(self, message) -> None:
        """Handle an update from a dispatcher of this instance, or a tick."""
        match message:
            case PoolLearnt() as estimates:
                self._unwritten[estimates.pool] = estimates
            case Tick():
                if not self._is_read:
                    await self._read_all()
                await self._write_newest()

    async def _read_all(self) -> None:
        reply = await self._store.read_all()
        if reply.is_err():
            decision("beliefs-not-read", error=str(reply.unwrap_err()))
            return
        self._is_read = True
        for pool, document in reply.unwrap().items():
            estimates = _parse_document(pool, document)
            if estimates is not None:
                decision("beliefs-read", pool=pool, targets=len(estimates.targets))
                self._on_read(estimates)

    async def _write_newest(self) -> None:
        while self._unwritten:
            pool, estimates = self._unwritten.popitem()
            written = await self._store.write(pool, asdict(estimates))
            if written.is_err():
                error = str(written.unwrap_err())
                decision("beliefs-not-kept", pool=pool, error=error)


def _parse_document(pool: str, document: dict) -> PoolLearnt | None:
    """Return a document as a message; log an error and return None if malformed."""
    try:
        targets = [to_name(name) for name in document["targets"]]
        slowness = [float(value) for value in document["slowness"]]
        timings = [float(document[name]) for name in ("first", "token", "share")]
        in_range = all(0 <= value <= MAX_VALUE for value in (*slowness, *timings))
        if len(targets) != len(slowness) or not in_range:
            raise ValueError("values out of range, or not one slowness per target")
        return PoolLearnt(pool, targets, slowness, *timings)
    except (KeyError, TypeError, ValueError, OverflowError) as cause:
        _LOG.error("beliefs ignored", extra={"pool": pool, "error": repr(cause)})
        return None
