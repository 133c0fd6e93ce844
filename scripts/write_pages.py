"""Writes the pages generated from the code: the settings reference and the fault matrix."""

from __future__ import annotations

import ast
import dataclasses
import inspect
import sys
import textwrap
import types
import typing
from pathlib import Path
from typing import Any

from pydantic import BaseModel

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from tests import fault_matrix  # noqa: E402

from lotushill.contracts.policy import Limit  # noqa: E402
from lotushill.contracts.policy import Policy  # noqa: E402
from lotushill.contracts.policy import Target  # noqa: E402
from lotushill.contracts.tree import Root  # noqa: E402
from lotushill.contracts.tree import Service  # noqa: E402
from lotushill.contracts.tree import ServiceClass  # noqa: E402
from lotushill.contracts.tree import TeamSettings  # noqa: E402
from lotushill.process.settings import GatewaySettings  # noqa: E402
from lotushill.process.settings import RetrySettings  # noqa: E402
from lotushill.standin.settings import StandinSettings  # noqa: E402

_TREE: tuple[type[BaseModel], ...] = (
    Root,
    TeamSettings,
    Service,
    ServiceClass,
    Policy,
    Target,
    Limit,
)
_PROGRAMS: tuple[type[Any], ...] = (GatewaySettings, RetrySettings, StandinSettings)


_REQUIRED = object()


@dataclasses.dataclass(frozen=True)
class _Setting:
    """One key of a settings file."""

    name: str
    type_name: str
    default: Any


def pages() -> dict[str, str]:
    """Return the text of each page by its path."""
    return {
        "docs/configuration.md": _configuration(),
        "docs/fault-matrix.md": fault_matrix.page(),
    }


def _configuration() -> str:
    lines = [
        "# Configuration",
        "",
        "Generated from the definitions of the settings by `python scripts/write_pages.py`, and",
        "checked against them in CI. Each error is reported with the path of its key.",
        "",
        "## The settings tree",
        "",
        "Operators edit one object `root` and one object `team/NAME` for each team, which is a",
        "tenant of the platform's configuration. A class is a route. Values are inherited from the",
        "platform's route to the root, its services and their classes, then to the team, its",
        "services and their classes; the nearest level that sets a value wins.",
        "`lotushill get team/NAME --effective SERVICE/CLASS` shows each value with the level that",
        "it comes from. Unknown keys are errors. Edits take effect at all gateways within",
        "seconds; `lotushill status` shows which gateways have applied them.",
        "",
    ]
    for model in _TREE:
        lines += _table(model)
    lines += ["## Settings files of the programs", ""]
    lines += ["`lotushill-gateway` ignores unknown keys.", ""]
    for model in _PROGRAMS:
        lines += _table(model)
    return "\n".join(lines).rstrip() + "\n"


def _table(model: type[Any]) -> list[str]:
    docs = _field_docs(model)
    lines = [f"### {model.__name__}", "", (model.__doc__ or "").strip(), ""]
    lines += ["| key | type | default | meaning |", "|---|---|---|---|"]
    for item in _fields(model):
        default = "required" if item.default is _REQUIRED else f"`{_format_default(item.default)}`"
        lines.append(
            f"| `{item.name}` | {item.type_name} | {default} | {docs.get(item.name, '')} |"
        )
    return [*lines, ""]


def _fields(model: type[Any]) -> list[_Setting]:
    if dataclasses.is_dataclass(model):
        hints = typing.get_type_hints(model)
        return [
            _Setting(item.name, _type_name(hints[item.name]), _default(item))
            for item in dataclasses.fields(model)
        ]
    return [
        _Setting(
            name, _type_name(item.annotation), _REQUIRED if item.is_required() else item.default
        )
        for name, item in model.model_fields.items()
    ]


def _default(item: dataclasses.Field[Any]) -> Any:
    return _REQUIRED if item.default is dataclasses.MISSING else item.default


def _format_default(value: Any) -> str:
    if isinstance(value, BaseModel) or dataclasses.is_dataclass(value):
        return "{}"
    return "none" if value is None else str(value)


def _type_name(annotation: Any) -> str:
    """Return the name of a type as shown to operators."""
    origin = typing.get_origin(annotation)
    if origin is typing.Annotated:
        return _type_name(typing.get_args(annotation)[0])
    if origin is typing.Literal:
        return ", ".join(f"`{choice}`" for choice in typing.get_args(annotation))
    if origin in (typing.Union, types.UnionType):
        members = [item for item in typing.get_args(annotation) if item is not type(None)]
        return " or ".join(_type_name(item) for item in members)
    if origin is tuple:
        return f"list of {_type_name(typing.get_args(annotation)[0])}"
    if origin is dict:
        key, value = typing.get_args(annotation)
        return f"map of {_type_name(key)} to {_type_name(value)}"
    names = {str: "text", int: "whole number", float: "number", bool: "true or false"}
    return names.get(annotation, getattr(annotation, "__name__", str(annotation)))


def _field_docs(model: type[Any]) -> dict[str, str]:
    """Return the docstrings placed below the fields in the source, by field name."""
    tree = ast.parse(textwrap.dedent(inspect.getsource(model))).body[0]
    assert isinstance(tree, ast.ClassDef)
    docs: dict[str, str] = {}
    for field, note in zip(tree.body, tree.body[1:], strict=False):
        if not isinstance(field, ast.AnnAssign) or not isinstance(field.target, ast.Name):
            continue
        if isinstance(note, ast.Expr) and isinstance(note.value, ast.Constant):
            docs[field.target.id] = " ".join(str(note.value.value).split())
    return docs


def main() -> None:
    """Write every page."""
    for path, text in pages().items():
        (ROOT / path).write_text(text, encoding="utf-8")
        print(path)


if __name__ == "__main__":
    main()
