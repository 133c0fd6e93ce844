"""Reading YAML and checking it against a model, with the path of each value at fault."""

from __future__ import annotations

import io
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import ValidationError
from ruamel.yaml import YAML
from ruamel.yaml.error import YAMLError

from lotushill.contracts.exceptions import Fault
from lotushill.contracts.exceptions import SettingsError

if TYPE_CHECKING:
    from pathlib import Path

_MAX_SHOWN_VALUE = 80

M = TypeVar("M", bound=BaseModel)


class Document(BaseModel):
    """Base of every settings model: unknown keys are errors and values do not change."""

    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)


def parse(text: str, source: str) -> Any:
    """Parse YAML (a subset of it is JSON); raise SettingsError on malformed text."""
    try:
        return YAML(typ="safe", pure=True).load(text)
    except (YAMLError, ValueError, RecursionError) as error:
        reason = " ".join(str(error).split())
        raise SettingsError(source, (Fault("(document)", "text", reason),)) from error


def check(model: type[M], value: Any, source: str) -> M:
    """Validate `value` as `model`; raise SettingsError that lists each fault by its path."""
    try:
        return model.model_validate(value)
    except ValidationError as error:
        raise SettingsError(source, tuple(_fault(item) for item in error.errors())) from error


def read(model: type[M], path: Path) -> M:
    """Read one YAML file as `model`; raise SettingsError for any fault in it."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(path), (Fault("(file)", "file", str(error)),)) from error
    return check(model, parse(text, str(path)), str(path))


def write(value: Any) -> str:
    """Write plain data as YAML text."""
    stream = io.StringIO()
    yaml = YAML(typ="safe", pure=True)
    yaml.default_flow_style = False
    yaml.dump(value, stream)
    return stream.getvalue()


def _fault(item: Any) -> Fault:
    path = ".".join(str(part) for part in item["loc"]) or "(document)"
    value = repr(item["input"])
    if len(value) > _MAX_SHOWN_VALUE:
        value = value[:_MAX_SHOWN_VALUE] + "..."
    return Fault(path, value, item["msg"])
