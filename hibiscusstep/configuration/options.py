"""hibiscusstep.configuration.options: Markdown tables of the options of the models."""

import types
import typing
from collections.abc import Iterator

from pydantic import BaseModel
from pydantic.fields import FieldInfo
from pydantic_core import PydanticUndefined

from hibiscusstep.configuration.models import (
    ClaimSettings,
    Customer,
    Pool,
    Route,
    SheddingRule,
    Target,
    Tier,
)
from hibiscusstep.configuration.settings import Settings

__all__ = ["SECTIONS", "option_rows", "options_page"]

SECTIONS = {
    "tiers.NAME": Tier,
    "customers.NAME": Customer,
    "pools.NAME": Pool,
    "pools.NAME.targets.NAME": Target,
    "routes.NAME": Route,
    "shedding.TIER": SheddingRule,
    "claims": ClaimSettings,
    "Settings of an instance": Settings,
}
_TYPE_NAMES = {str: "text", int: "whole number", float: "number", bool: "true or false"}


def option_rows(model: type[BaseModel]) -> Iterator[str]:
    """Yield a Markdown table row for each option: name, type, default, meaning."""
    for name, field in model.model_fields.items():
        default = _default_text(field)
        meaning = field.description or ""
        yield f"| `{name}` | {_type_name(field.annotation)} | {default} | {meaning} |"


def options_page() -> str:
    """Return the tables of all sections as Markdown."""
    parts = []
    for title, model in SECTIONS.items():
        parts.append(f"### {title}\n")
        parts.append("| option | type | default | meaning |\n| --- | --- | --- | --- |")
        parts.extend([*option_rows(model), ""])
    return "\n".join(parts)


def _default_text(field: FieldInfo) -> str:
    if field.default is PydanticUndefined:
        return "needed"
    if field.default in ("", None, []):
        return "none"
    if isinstance(field.default, bool):
        return str(field.default).lower()
    return str(field.default)


def _type_name(annotation) -> str:
    if annotation in _TYPE_NAMES:
        return _TYPE_NAMES[annotation]
    origin, arguments = typing.get_origin(annotation), typing.get_args(annotation)
    if origin is typing.Annotated:
        return _type_name(arguments[0])
    if origin is typing.Literal:
        return " or ".join(map(str, arguments))
    if origin is list:
        return f"list of {_type_name(arguments[0])}"
    if origin is dict:
        return "names to sections"
    if origin in (types.UnionType, typing.Union):
        return _type_name(arguments[0])
    return "section"
