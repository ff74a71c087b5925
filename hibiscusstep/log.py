"""hibiscusstep.log: sets up standard logging as text or as JSON lines."""

import asyncio
import logging
import sys
import time

from pythonjsonlogger.json import JsonFormatter

from hibiscusstep.logstream import FLUSH_INTERVAL_S, BoundedHandler

__all__ = [
    "TextFormatter",
    "count_dropped_lines",
    "decision",
    "flush_periodically",
    "set_up_logging",
]

_STANDARD_FIELDS = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}
# Fields that hold what a caller sent, and how much of it is logged.
_CALLERS_WORDS = ("request", "resumed_request", "last_event")
MAX_WORD_LENGTH = 128
_DECISION_LOG = logging.getLogger("hibiscusstep.decision")


class TextFormatter(logging.Formatter):
    """Formats a record as one line with extra fields as ``name=value`` at the end."""

    def format(self, record: logging.LogRecord) -> str:
        """Format the record as text."""
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
    """Log to standard error, or as JSON lines to a stream without blocking.

    Parameters
    ----------
    style : {'auto', 'human', 'json'}
        ``auto`` selects human if standard error is a terminal, else JSON.
    level : str
        Name of the minimum level.
    instance : str
        Name of the instance, a field of every JSON record.
    stream : file or None
        Destination of JSON lines, written by a `BoundedHandler`; None for standard
        error.

    Returns
    -------
    logging.Handler
        The installed handler.
    """
    human = style == "human" or (style == "auto" and sys.stderr.isatty())
    if stream is None or human:
        handler = logging.StreamHandler(sys.stderr)
    else:
        handler = BoundedHandler(stream.fileno(), time.monotonic)
    if human:
        handler.setFormatter(
            TextFormatter("%(asctime)s %(levelname)-7s %(name)s: %(message)s")
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


def count_dropped_lines() -> int:
    """Return the number of log lines dropped since the start."""
    return sum(handler.dropped for handler in _bounded_handlers())


async def flush_periodically() -> None:
    """Flush pending log lines periodically until cancelled."""
    while True:
        await asyncio.sleep(FLUSH_INTERVAL_S)
        for handler in _bounded_handlers():
            handler.flush()


def decision(kind: str, **fields) -> None:
    """Log one routing or placement decision.

    Parameters
    ----------
    kind : str
        Kind of decision, e.g. ``"grant"``, ``"refuse"``, ``"drain"``.
    **fields : object
        Request, customer, tier, target, candidates, reason, wait in seconds; `routine`
        marks lines that are dropped first under load.
    """
    for name in _CALLERS_WORDS:
        word = fields.get(name)
        if isinstance(word, str) and len(word) > MAX_WORD_LENGTH:
            fields[name] = word[:MAX_WORD_LENGTH]
    _DECISION_LOG.info(kind, extra=fields)
