"""hibiscusstep.codec: encodes data classes in the thrift binary protocol."""

import typing
from collections.abc import Callable
from dataclasses import MISSING, fields, is_dataclass
from functools import cache

from thriftpy2.protocol.cybin import TCyBinaryProtocolFactory
from thriftpy2.thrift import TPayload, TType, gen_init
from thriftpy2.utils import deserialize, serialize

from hibiscusstep.errors import HibiscusstepError
from hibiscusstep.schema import STRUCTS

__all__ = ["CodecError", "decode", "encode"]

_FACTORY = TCyBinaryProtocolFactory()
_PRIMITIVE_TYPES = {
    "bool": TType.BOOL,
    "double": TType.DOUBLE,
    "i32": TType.I32,
    "i64": TType.I64,
    "string": TType.STRING,
    "binary": TType.BINARY,
}


class CodecError(HibiscusstepError):
    """The bytes are not a valid message of the expected class."""


def encode(item) -> bytes:
    """Encode a data class by the schema of the struct of the same name."""
    return serialize(_to_struct(item), _FACTORY)


def decode(cls: type, data: bytes):
    """Decode bytes from `encode` into an instance of a data class.

    Fields that this version does not know are ignored, and a field with a default may
    be absent, so that versions that differ by such fields understand each other.

    Raises
    ------
    CodecError
        If the bytes are truncated, do not match the schema, or lack a field without a
        default.
    """
    try:
        struct = deserialize(_struct_class(cls.__name__)(), data, _FACTORY)
        return _from_struct(cls, struct)
    except Exception as cause:
        detail = f"not a {cls.__name__}: {type(cause).__name__}"
        raise CodecError(detail, step="decode") from None


@cache
def _struct_class(name: str) -> type:
    """Return the thriftpy2 class of a struct; created on first use."""
    spec = {
        number: _field_spec(type_name, field)
        for number, type_name, field in STRUCTS[name]
    }
    defaults = [(field, None) for _number, _kind, field in STRUCTS[name]]
    return gen_init(type(name, (TPayload,), {}), spec, defaults)


def _field_spec(type_name: str, field: str) -> tuple:
    if type_name.startswith("list<"):
        element = type_name.removeprefix("list<").removesuffix(">")
        return TType.LIST, field, _element_type(element), False
    if type_name in _PRIMITIVE_TYPES:
        return _PRIMITIVE_TYPES[type_name], field, False
    return TType.STRUCT, field, _struct_class(type_name), False


def _element_type(type_name: str) -> int | tuple:
    return (
        _PRIMITIVE_TYPES[type_name]
        if type_name in _PRIMITIVE_TYPES
        else (TType.STRUCT, _struct_class(type_name))
    )


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
    """Return the fields of a data class with the converters to thriftpy2 values.

    The converter is None where the value needs no conversion.
    """
    type_names = {name: type_name for _number, type_name, name in STRUCTS[cls.__name__]}
    return tuple((name, _converter(type_names[name])) for name in _field_names(cls))


def _converter(type_name: str) -> Callable | None:
    if not type_name.startswith("list<"):
        return None if type_name in _PRIMITIVE_TYPES else _to_struct
    element = type_name.removeprefix("list<").removesuffix(">")
    return list if element in _PRIMITIVE_TYPES else _to_structs


def _to_structs(items) -> list:
    return [_to_struct(item) for item in items]


def _from_struct(cls: type, struct):
    values = {}
    for name, nested in _nested_classes(cls):
        value = getattr(struct, name)
        if value is None and name in _optional_fields(cls):
            continue
        if value is None:
            raise ValueError(f"{name} is missing")
        if nested is not None:
            value = (
                [_from_struct(nested, entry) for entry in value]
                if isinstance(value, list)
                else _from_struct(nested, value)
            )
        values[name] = value
    return cls(**values)


@cache
def _optional_fields(cls: type) -> frozenset[str]:
    """Return the names of the fields of a data class that have a default."""
    return frozenset(
        field.name
        for field in fields(cls)
        if field.default is not MISSING or field.default_factory is not MISSING
    )


@cache
def _nested_classes(cls: type) -> tuple[tuple[str, type | None], ...]:
    """Return the fields of a data class with the data classes of their values."""
    return tuple((name, _nested_class(cls, name)) for name in _field_names(cls))


def _nested_class(cls: type, name: str) -> type | None:
    """Return the data class of a field, or of the items of a list field, else None."""
    hint = typing.get_type_hints(cls)[name]
    value_type = next(iter(typing.get_args(hint)), hint)
    return value_type if is_dataclass(value_type) else None
