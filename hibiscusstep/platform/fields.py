"""hibiscusstep.platform.fields: validated reading of document fields.

Others write to the store too, so each field is validated once, when it is read, without
conversion: a boolean is not accepted as a number, nor a number as text. A model library
would need fewer lines, but its import adds 0.13 s of processor time to the 0.48 s of
each start, for which callers wait after a restart of all instances.
"""

import ipaddress
from collections.abc import Collection, Mapping

__all__ = [
    "MALFORMED_ERRORS",
    "MalformedField",
    "read_address",
    "read_choice",
    "read_float",
    "read_id",
    "read_int",
    "read_text",
]

# Exceptions that reading a malformed document may raise.
MALFORMED_ERRORS = (
    AttributeError,
    IndexError,
    KeyError,
    OverflowError,
    TypeError,
    ValueError,
)
# Longer than any name of the platform. Names are part of each log line of a request.
MAX_TEXT_LENGTH = 200
# Largest integer that every JSON parser keeps exact.
MAX_EXACT_INT = 2**53
MAX_PORT = 65_535
# The lenient parser inserts it for bytes that are not UTF-8.
_REPLACEMENT_CHARACTER = "\ufffd"


class MalformedField(ValueError):
    """A field is missing, of another type or out of range."""

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}")


def _read(document: Mapping, field: str) -> object:
    if not isinstance(document, Mapping):
        raise MalformedField(field, "document is not a table")
    if field not in document:
        raise MalformedField(field, "missing")
    return document[field]


def read_text(document: Mapping, field: str) -> str:
    """Return a non-empty text of at most `MAX_TEXT_LENGTH` characters.

    Raises
    ------
    MalformedField
        If the field is missing or malformed, as in all functions of this module.
    """
    value = _read(document, field)
    if not isinstance(value, str) or not 0 < len(value) <= MAX_TEXT_LENGTH:
        raise MalformedField(field, "not a text, empty or too long")
    if _REPLACEMENT_CHARACTER in value or not _is_encodable(value):
        raise MalformedField(field, "not valid UTF-8")
    return value


def _is_encodable(text: str) -> bool:
    """Return whether a text has a UTF-8 form; JSON may escape lone surrogates."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def read_id(document: Mapping, field: str) -> str:
    """Return a text that is valid in a header field."""
    value = read_text(document, field)
    if not value.isascii() or not value.isprintable() or " " in value:
        raise MalformedField(field, "not printable ASCII without spaces")
    return value


def read_choice(document: Mapping, field: str, choices: Collection[str]) -> str:
    """Return a text that is one of the choices."""
    value = read_text(document, field)
    if value not in choices:
        raise MalformedField(field, f"unknown: {value!r}")
    return value


def read_int(
    document: Mapping, field: str, least: int = 0, most: int = MAX_EXACT_INT
) -> int:
    """Return an integer between two bounds, both inclusive."""
    value = _read(document, field)
    if type(value) is not int:
        raise MalformedField(field, "not an integer")
    if not least <= value <= most:
        raise MalformedField(field, f"not between {least} and {most}")
    return value


def read_float(document: Mapping, field: str) -> float:
    """Return a finite, non-negative number."""
    value = _read(document, field)
    if type(value) not in (int, float) or not 0 <= value <= MAX_EXACT_INT:
        raise MalformedField(field, "not a number, negative or too large")
    return float(value)


def read_address(document: Mapping, field: str) -> str:
    """Return an IP address and port."""
    value = read_text(document, field)
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise MalformedField(field, "not an IP address") from None
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        raise MalformedField(field, "not a valid port")
    return value
