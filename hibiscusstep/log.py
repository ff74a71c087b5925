"""hibiscusstep.log: set-up of the standard logging, for people or as JSON lines."""

import asyncio
import logging
import sys
import time

from pythonjsonlogger.json import JsonFormatter

from hibiscusstep.logstream import FLUSH_INTERVAL_S, BoundedHandler

__all__ = [
    "HumanFormatter",
    "decision",
    "dropped_lines",
    "keep_flushing",
    "set_up_logging",
]

_STANDARD_FIELDS = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}
_DECISIONS = logging.getLogger("hibiscusstep.decision")


class HumanFormatter(logging.Formatter):
    """One line a record, the extra fields as ``name=value`` behind the message."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as text."""
        line = super().format(record)
        extra = " ".join(
            f"{name}={value}"
            for name, value in vars(record).items()
            if name not in _STANDARD_FIELDS
        )
        return f"{line} {extra}" if extra else line


def set_up_logging(
    style: str = "auto", level: str = "INFO", instance: str = "", stream=None
) -> logging.Handler:
    """Send all records to standard error, or JSON lines to a stream that never blocks.

    Parameters
    ----------
    style : {'auto', 'human', 'json'}
        ``auto`` is human on a terminal, JSON elsewhere.
    level : str
        Name of the lowest level that is written.
    instance : str
        Name of the instance, a field of every JSON record.
    stream : file or None
        Where JSON lines go, bounded and without blocking; None is standard error.

    Returns
    -------
    logging.Handler
        The handler.
    """
    human = style == "human" or (style == "auto" and sys.stderr.isatty())
    if stream is None or human:
        handler = logging.StreamHandler(sys.stderr)
    else:
        handler = BoundedHandler(stream.fileno(), time.monotonic)
    if human:
        handler.setFormatter(
            HumanFormatter("%(asctime)s %(levelname)-7s %(name)s: %(message)s")
        )
    else:
        handler.setFormatter(
            JsonFormatter(
                "%(asctime)s %(levelname)s %(name)s %(message)s",
                static_fields={"instance": instance},
            )
        )
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    logging.getLogger("asyncio").setLevel(logging.WARNING)
    return handler


def _bounded_handlers() -> list[BoundedHandler]:
    return [h for h in logging.getLogger().handlers if isinstance(h, BoundedHandler)]


def dropped_lines() -> int:
    """Return how many log lines were dropped since the start."""
    return sum(handler.dropped for handler in _bounded_handlers())


async def keep_flushing() -> None:
    """Write waiting log lines until cancelled."""
    while True:
        await asyncio.sleep(FLUSH_INTERVAL_S)
        for handler in _bounded_handlers():
            handler.flush()


def decision(kind: str, **fields) -> None:
    """Log one routing or placement decision.

    Parameters
    ----------
    kind : str
        What was decided, e.g. ``"grant"``, ``"refuse"``, ``"drain"``.
    **fields : object
        Request, customer, tier, target, candidates, reason, wait in seconds; `routine`
        marks what may be left out first when there is too much.
    """
    _DECISIONS.info(kind, extra=fields)
