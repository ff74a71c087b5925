"""hibiscusstep.platform.partial_json: reading JSON that is malformed in places.

A parser reads a document as a whole or not at all, and limits its depth, the digits of
a number and the encoding. Others write to the store too, and its answers hold many
objects, so an object beyond a limit must not hide the others. If the strict parser
fails, the parts of a document are found by their brackets and strings, and each is
parsed by itself.
"""

import json
import re
from dataclasses import dataclass, field

import orjson

__all__ = ["Unreadable", "load", "split_list", "split_object"]

# Larger documents are not split and larger parts are only parsed strictly, since other
# work waits meanwhile.
MAX_DOCUMENT_BYTES = 16 * 2**20
MAX_LENIENT_BYTES = 2**20
MAX_REASON_LENGTH = 120
# Groups of brackets nested up to this depth are skipped by one regular expression.
_SHALLOW_DEPTH = 6

_STRING = rb'"(?:[^"\\]++|\\.)*+"'
_PLAIN = rb'[^"\[\]{}]++'


def _group_pattern(depth: int) -> bytes:
    """Return a pattern of a group of brackets nested up to a depth."""
    nested = b"|" + _group_pattern(depth - 1) if depth > 1 else b""
    return rb"[\[{](?:" + _PLAIN + b"|" + _STRING + nested + rb")*+[\]}]"


# A part, up to the comma or bracket after it, or up to a group that is nested deeply.
_PART = re.compile(
    rb'(?:[^"\[\]{},]++|%b|%b)*+' % (_STRING, _group_pattern(_SHALLOW_DEPTH)), re.DOTALL
)
# A run of opening or closing brackets and what is before it.
_RUN = re.compile(
    rb"(?:%b|%b|%b)*+(?:([\[{]++)|([\]}]++))" % (_PLAIN, _STRING, _group_pattern(1)),
    re.DOTALL,
)
_KEY = re.compile(rb"\s*+(%b)\s*+:" % _STRING, re.DOTALL)


@dataclass(frozen=True, slots=True)
class Unreadable:
    """A part of a document that cannot be read.

    Parameters
    ----------
    reason : str
        Why it cannot be read.
    text : bytes
        The part.
    members : dict
        If it is an object that is malformed between its members, those found.
    """

    reason: str
    text: bytes = field(default=b"", repr=False)
    members: dict = field(default_factory=dict, repr=False)


def load(text: bytes, levels: int) -> object:
    """Return the value of a JSON text, with `Unreadable` for malformed parts.

    Parameters
    ----------
    text : bytes
        The document.
    levels : int
        Number of nested levels of lists and objects whose parts are parsed separately
        if the document cannot be parsed. Parts below them are parsed leniently: bytes
        that are not UTF-8 are replaced, and NaN and infinity are accepted.

    Raises
    ------
    ValueError
        If the document itself is malformed, not only parts of it.
    """
    value = _load(text, levels)
    if isinstance(value, Unreadable):
        raise ValueError(value.reason)
    return value


def split_list(text: bytes) -> list[bytes]:
    """Return the texts of a list's items.

    Raises
    ------
    ValueError
        If brackets or quotes do not match, or if it is no list.
    """
    return _split(text, b"[", b"]")


def split_object(text: bytes) -> list[tuple[bytes | None, bytes]]:
    """Return the texts of an object's members: the quoted name, or None, and the value.

    Raises
    ------
    ValueError
        If brackets or quotes do not match, or if it is no object.
    """
    members = []
    for part in _split(text, b"{", b"}"):
        key = _KEY.match(part)
        members.append((key[1], part[key.end() :]) if key else (None, part))
    return members


def _load(text: bytes, levels: int) -> object:
    try:
        return orjson.loads(text)
    except orjson.JSONDecodeError:
        pass
    try:
        if len(text) > MAX_DOCUMENT_BYTES:
            raise ValueError(f"malformed, and larger than {MAX_DOCUMENT_BYTES} bytes")
        opening = text.lstrip()[:1]
        if levels and opening == b"[":
            return [_load(part, levels - 1) for part in split_list(text)]
        if levels and opening == b"{":
            return _load_members(text, levels)
        return _load_leniently(text)
    except ValueError as cause:
        return Unreadable(str(cause)[:MAX_REASON_LENGTH], text)


def _load_members(text: bytes, levels: int) -> dict | Unreadable:
    members, has_unnamed = {}, False
    for key, part in split_object(text):
        if key is None:
            has_unnamed = True
        else:
            members[_load_leniently(key)] = _load(part, levels - 1)
    if has_unnamed:
        return Unreadable("a member of an object has no name", text, members)
    return members


def _load_leniently(text: bytes) -> object:
    if len(text) > MAX_LENIENT_BYTES:
        raise ValueError(f"malformed, and larger than {MAX_LENIENT_BYTES} bytes")
    try:
        return json.loads(text.decode("utf-8", "replace"))
    except RecursionError:
        raise ValueError("nested too deeply") from None


def _split(text: bytes, opening: bytes, closing: bytes) -> list[bytes]:
    """Return the parts between a pair of brackets, which commas separate."""
    position = len(text) - len(text.lstrip())
    if text[position : position + 1] != opening:
        raise ValueError(f"does not begin with {opening.decode()}")
    parts = []
    separator = b","
    while separator == b",":
        end = _find_end(text, position + 1)
        parts.append(text[position + 1 : end])
        separator, position = text[end : end + 1], end
    if separator != closing or text[position + 1 :].strip():
        raise ValueError("brackets or quotes do not match")
    return parts if len(parts) > 1 or parts[0].strip() else []


def _find_end(text: bytes, position: int) -> int:
    """Return the position of the comma or closing bracket after a part."""
    position = _PART.match(text, position).end()
    while text[position : position + 1] in (b"[", b"{"):
        position = _skip_group(text, position)
        position = _PART.match(text, position).end()
    return position


def _skip_group(text: bytes, position: int) -> int:
    """Return the position after a group of brackets of any depth."""
    depth = 0
    while run := _RUN.match(text, position):
        position = run.end()
        if run[1]:
            depth += len(run[1])
        elif len(run[2]) < depth:
            depth -= len(run[2])
        else:
            return position - len(run[2]) + depth
    raise ValueError("brackets or quotes do not match")
