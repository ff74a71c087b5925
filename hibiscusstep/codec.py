"""hibiscusstep.codec: data classes to bytes and back, by thrift's binary protocol."""

import typing
from collections.abc import Callable
from dataclasses import fields, is_dataclass
from functools import cache

from thriftpy2.protocol.cybin import TCyBinaryProtocolFactory
from thriftpy2.thrift import TPayload, TType, gen_init
from thriftpy2.utils import deserialize, serialize

from hibiscusstep.errors import HibiscusstepError
from hibiscusstep.schema import STRUCTS

__all__ = ["CodecError", "decode", "encode"]

_FACTORY = TCyBinaryProtocolFactory()
_TYPES = {
    "bool": TType.BOOL,
    "double": TType.DOUBLE,
    "i32": TType.I32,
    "i64": TType.I64,
    "string": TType.STRING,
    "binary": TType.BINARY,
}


class CodecError(HibiscusstepError):
    """The bytes are not a message of the expected class."""


def encode(item) -> bytes:
    """Return a data class as bytes; the struct of the same name is its schema."""
    return serialize(_to_struct(item), _FACTORY)


def decode(cls: type, data: bytes):
    """Return the data class that `encode` made bytes of.

    Raises
    ------
    CodecError
        If the bytes are cut, of another shape, or lack a field.
    """
    try:
        struct = deserialize(_struct_class(cls.__name__)(), data, _FACTORY)
        return _from_struct(cls, struct)
    except Exception as cause:
        detail = f"not a {cls.__name__}: {type(cause).__name__}"
        raise CodecError(detail, step="decode") from None


@cache
def _struct_class(name: str) -> type:
    """Return the library's class of a struct, made when it is first needed."""
    spec = {number: _field_spec(kind, field) for number, kind, field in STRUCTS[name]}
    defaults = [(field, None) for _number, _kind, field in STRUCTS[name]]
    return gen_init(type(name, (TPayload,), {}), spec, defaults)


def _field_spec(kind: str, field: str) -> tuple:
    if kind.startswith("list<"):
        inner = kind.removeprefix("list<").removesuffix(">")
        return TType.LIST, field, _type_of(inner), False
    if kind in _TYPES:
        return _TYPES[kind], field, False
    return TType.STRUCT, field, _struct_class(kind), False


def _type_of(kind: str) -> int | tuple:
    return _TYPES[kind] if kind in _TYPES else (TType.STRUCT, _struct_class(kind))


@cache
def _field_names(cls: type) -> tuple[str, ...]:
    return tuple(field.name for field in fields(cls))


def _to_struct(item):
    cls = type(item)
    struct = _struct_class(cls.__name__)()
    for name, convert in _converters(cls):
        value = getattr(item, name)
        setattr(struct, name, convert(value) if convert else value)
    return struct


@cache
def _converters(cls: type) -> tuple[tuple[str, Callable | None], ...]:
    """Return the fields of a data class, and what makes the library's values of them.

    None where the value is taken as it is.
    """
    kinds = {name: kind for _number, kind, name in STRUCTS[cls.__name__]}
    return tuple((name, _converter(kinds[name])) for name in _field_names(cls))


def _converter(kind: str) -> Callable | None:
    if not kind.startswith("list<"):
        return None if kind in _TYPES else _to_struct
    inner = kind.removeprefix("list<").removesuffix(">")
    return list if inner in _TYPES else _to_structs


def _to_structs(items) -> list:
    return [_to_struct(item) for item in items]


def _from_struct(cls: type, struct):
    values = []
    for name, nested in _nested_classes(cls):
        value = getattr(struct, name)
        if value is None:
            raise ValueError(f"{name} is missing")
        if nested is not None:
            value = (
                [_from_struct(nested, entry) for entry in value]
                if isinstance(value, list)
                else _from_struct(nested, value)
            )
        values.append(value)
    return cls(*values)


@cache
def _nested_classes(cls: type) -> tuple[tuple[str, type | None], ...]:
    """Return the fields of a data class, and the data classes of their values."""
    return tuple((name, _nested_class(cls, name)) for name in _field_names(cls))


def _nested_class(cls: type, name: str) -> type | None:
    """Return the data class of a field, or of the items of a list field."""
    hint = typing.get_type_hints(cls)[name]
    inner = next(iter(typing.get_args(hint)), hint)
    return inner if is_dataclass(inner) else None
