"""hibiscusstep.forwarding.beliefs: what dispatchers learnt, beyond the processes."""

import logging
from collections.abc import Callable
from dataclasses import asdict

from hibiscusstep.log import decision
from hibiscusstep.mailbox import Tick, Worker
from hibiscusstep.peer import PoolLearnt
from hibiscusstep.store import EstimateStore

__all__ = ["BeliefKeeper"]

_LOG = logging.getLogger(__name__)
# Two pools written so often are half a call a second, of the store's hundreds.
KEEP_INTERVAL_S = 4.0
# Targets differ in speed by tens, and first tokens come within seconds.
MAX_FIGURE = 1000.0


class BeliefKeeper(Worker):
    """Reads at the start what was learnt before, and writes now and then what is.

    After a restart of all, no peer is left that knows which targets are slow: long
    prompts go to those too, and hold up all streams there, until answers have taught it
    again. With the store away an instance starts without.

    Parameters
    ----------
    store : EstimateStore
        Keeps the documents.
    found : callable of PoolLearnt
        Takes what was read.
    """

    def __init__(
        self, store: EstimateStore, found: Callable[[PoolLearnt], None]
    ) -> None:
        super().__init__("beliefs", tick_interval=KEEP_INTERVAL_S)
        self._store = store
        self._found = found
        self._newest: dict[str, PoolLearnt] = {}
        self._read = False

    async def handle(self, message) -> None:
        """Take what a dispatcher of this instance learnt, or a tick."""
        match message:
            case PoolLearnt() as news:
                self._newest[news.pool] = news
            case Tick():
                if not self._read:
                    await self._read_all()
                await self._write_newest()

    async def _read_all(self) -> None:
        reply = await self._store.read_all()
        if reply.is_err():
            decision("beliefs-not-read", error=str(reply.unwrap_err()))
            return
        self._read = True
        for pool, document in reply.unwrap().items():
            news = _news(pool, document)
            if news is not None:
                decision("beliefs-read", pool=pool, targets=len(news.targets))
                self._found(news)

    async def _write_newest(self) -> None:
        while self._newest:
            pool, news = self._newest.popitem()
            written = await self._store.write(pool, asdict(news))
            if written.is_err():
                error = str(written.unwrap_err())
                decision("beliefs-not-kept", pool=pool, error=error)


def _news(pool: str, document: dict) -> PoolLearnt | None:
    """Return a document as a message; None, with a log line, if it is malformed."""
    try:
        targets = [str(name) for name in document["targets"]]
        slowness = [float(value) for value in document["slowness"]]
        figures = [float(document[name]) for name in ("first", "token", "share")]
        fit = all(0 <= value <= MAX_FIGURE for value in (*slowness, *figures))
        if len(targets) != len(slowness) or not fit:
            raise ValueError("figures that do not fit")
        return PoolLearnt(pool, targets, slowness, *figures)
    except (KeyError, TypeError, ValueError, OverflowError) as cause:
        _LOG.error("beliefs ignored", extra={"pool": pool, "error": repr(cause)})
        return None
