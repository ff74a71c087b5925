"""hibiscusstep.log: set-up of the standard logging, for people or as JSON lines."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

__all__ = ["HumanFormatter", "decision", "set_up_logging"]

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
    style: str = "auto", level: str = "INFO", instance: str = ""
) -> None:
    """Send all records to standard error.

    Parameters
    ----------
    style : {'auto', 'human', 'json'}
        ``auto`` is human on a terminal, JSON elsewhere.
    level : str
        Name of the lowest level that is written.
    instance : str
        Name of the instance, a field of every JSON record.
    """
    human = style == "human" or (style == "auto" and sys.stderr.isatty())
    handler = logging.StreamHandler(sys.stderr)
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


def decision(kind: str, **fields) -> None:
    """Log one routing or placement decision.

    Parameters
    ----------
    kind : str
        What was decided, e.g. ``"grant"``, ``"refuse"``, ``"drain"``.
    **fields : object
        Request, customer, tier, target, candidates, reason, wait in seconds.
    """
    _DECISIONS.info(kind, extra=fields)
