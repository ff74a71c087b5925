"""hibiscusstep.codec: the generated schema and the classes made of it."""

from pathlib import Path

import pytest
import thriftpy2

from hibiscusstep import codec, peer, schema

_SOURCE = Path(schema.__file__).with_name("hibiscusstep.thrift")


def _plain(spec):
    """Return a specification with the names of classes in place of the classes."""
    if isinstance(spec, dict):
        return {number: _plain(field) for number, field in spec.items()}
    if isinstance(spec, tuple):
        return tuple(_plain(part) for part in spec)
    return spec.__name__ if isinstance(spec, type) else spec


def _sample(cls):
    """Return a message with a value in each field, one item in each list."""
    kinds = {name: kind for _number, kind, name in schema.STRUCTS[cls.__name__]}
    return cls(**{name: _value(kind) for name, kind in kinds.items()})


def _value(kind):
    if kind.startswith("list<"):
        return [_value(kind.removeprefix("list<").removesuffix(">"))]
    plain = {"bool": True, "double": 0.5, "i32": 3, "i64": 4, "string": "s"}
    plain["binary"] = b"b"
    return plain[kind] if kind in plain else _sample(getattr(peer, kind))


class TestMessages:
    @pytest.mark.parametrize("cls", peer.MESSAGES)
    def test_are_the_same_after_the_way(self, cls):
        """A field named as a method of the library's struct did not come through."""
        message = _sample(cls)
        assert codec.decode(cls, codec.encode(message)) == message


class TestSchema:
    _STRUCTS = thriftpy2.load(
        str(_SOURCE), module_name="tested_thrift"
    ).__thrift_meta__["structs"]

    def test_holds_all_structs(self):
        assert [struct.__name__ for struct in self._STRUCTS] == list(schema.STRUCTS)

    @pytest.mark.parametrize("name", schema.STRUCTS)
    def test_is_what_the_source_says(self, name):
        """If this fails, run examples/generate_schema.py."""
        (struct,) = (s for s in self._STRUCTS if s.__name__ == name)
        made = codec._struct_class(name)
        assert _plain(made.thrift_spec) == _plain(struct.thrift_spec)
