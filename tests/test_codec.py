"""Tests of hibiscusstep.codec and of the generated schema."""

from pathlib import Path

import pytest
import thriftpy2

from hibiscusstep import codec, peer, schema

_THRIFT_FILE = Path(schema.__file__).with_name("hibiscusstep.thrift")


def _class_names_only(spec):
    """Return a thrift specification with classes replaced by their names."""
    if isinstance(spec, dict):
        return {number: _class_names_only(field) for number, field in spec.items()}
    if isinstance(spec, tuple):
        return tuple(_class_names_only(part) for part in spec)
    return spec.__name__ if isinstance(spec, type) else spec


def _sample(cls):
    """Return a message with a value in each field, one item in each list."""
    type_names = {
        name: type_name for _number, type_name, name in schema.STRUCTS[cls.__name__]
    }
    return cls(**{name: _value(type_name) for name, type_name in type_names.items()})


def _value(type_name):
    if type_name.startswith("list<"):
        return [_value(type_name.removeprefix("list<").removesuffix(">"))]
    primitives = {"bool": True, "double": 0.5, "i32": 3, "i64": 4, "string": "s"}
    primitives["binary"] = b"b"
    return (
        primitives[type_name]
        if type_name in primitives
        else _sample(getattr(peer, type_name))
    )


class TestMessages:
    @pytest.mark.parametrize("cls", peer.MESSAGES)
    def test_are_equal_after_encoding_and_decoding(self, cls):
        """Guards against fields named like a method of thriftpy2's struct classes."""
        message = _sample(cls)
        assert codec.decode(cls, codec.encode(message)) == message


class TestSchema:
    _STRUCTS = thriftpy2.load(
        str(_THRIFT_FILE), module_name="tested_thrift"
    ).__thrift_meta__["structs"]

    def test_contains_all_structs(self):
        assert [struct.__name__ for struct in self._STRUCTS] == list(schema.STRUCTS)

    @pytest.mark.parametrize("name", schema.STRUCTS)
    def test_matches_the_thrift_source(self, name):
        """If this fails, run examples/generate_schema.py."""
        (struct,) = (s for s in self._STRUCTS if s.__name__ == name)
        generated = codec._struct_class(name)
        assert _class_names_only(generated.thrift_spec) == _class_names_only(
            struct.thrift_spec
        )
