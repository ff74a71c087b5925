"""hibiscusstep.platform.fields: checked reading of the fields of a document.

Others write to the store too. What is read is checked here, once, field by field, with
no conversion: a boolean is no number, a number no text. A model library would say the
same in fewer lines, but its import takes 0.13 s of processor time on top of the 0.48 s
of each start, which callers wait for after a restart of all.
"""

import ipaddress
from collections.abc import Collection, Mapping

__all__ = [
    "MALFORMED",
    "MalformedField",
    "read_address",
    "read_choice",
    "read_id",
    "read_number",
    "read_text",
    "read_whole",
]

# What reading a malformed document may raise.
MALFORMED = (
    AttributeError,
    IndexError,
    KeyError,
    OverflowError,
    TypeError,
    ValueError,
)
# Longer than any name of the platform; it stands in each log line of a request.
MAX_TEXT = 200
# The largest whole number that every JSON reader keeps exact.
MAX_WHOLE = 2**53
MAX_PORT = 65_535
# Stands where bytes were no text.
_REPLACED = "\ufffd"


class MalformedField(ValueError):
    """A field is missing, of another type or beyond what it may hold."""

    def __init__(self, field: str, why: str) -> None:
        super().__init__(f"{field}: {why}")


def _read(document: Mapping, field: str) -> object:
    if not isinstance(document, Mapping):
        raise MalformedField(field, "not in a table")
    if field not in document:
        raise MalformedField(field, "missing")
    return document[field]


def read_text(document: Mapping, field: str) -> str:
    """Return a text that is not empty.

    Raises
    ------
    MalformedField
        If it is missing or no such text; so do all functions here.
    """
    value = _read(document, field)
    if not isinstance(value, str) or not 0 < len(value) <= MAX_TEXT:
        raise MalformedField(field, "no text")
    if _REPLACED in value:
        raise MalformedField(field, "bytes that are no text")
    return value


def read_id(document: Mapping, field: str) -> str:
    """Return a text that may stand in a header field."""
    value = read_text(document, field)
    if not value.isascii() or not value.isprintable() or " " in value:
        raise MalformedField(field, "no id")
    return value


def read_choice(document: Mapping, field: str, choices: Collection[str]) -> str:
    """Return one of some texts."""
    value = read_text(document, field)
    if value not in choices:
        raise MalformedField(field, f"unknown: {value!r}")
    return value


def read_whole(
    document: Mapping, field: str, least: int = 0, most: int = MAX_WHOLE
) -> int:
    """Return a whole number between two bounds."""
    value = _read(document, field)
    if type(value) is not int:
        raise MalformedField(field, "no whole number")
    if not least <= value <= most:
        raise MalformedField(field, f"not between {least} and {most}")
    return value


def read_number(document: Mapping, field: str) -> float:
    """Return a finite number, 0 or more."""
    value = _read(document, field)
    if type(value) not in (int, float) or not 0 <= value <= MAX_WHOLE:
        raise MalformedField(field, "no number")
    return float(value)


def read_address(document: Mapping, field: str) -> str:
    """Return an IP number and port."""
    value = read_text(document, field)
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise MalformedField(field, "no IP number") from None
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        raise MalformedField(field, "no port")
    return value
