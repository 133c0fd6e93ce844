"""Validates plain data against a model and reports the path of each invalid value."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import ValidationError

from lotushill.contracts.exceptions import Fault
from lotushill.contracts.exceptions import SettingsError
from lotushill.contracts.yaml_text import parse_file

if TYPE_CHECKING:
    from pathlib import Path

_MAX_SHOWN_CHARACTERS = 80

M = TypeVar("M", bound=BaseModel)


class Document(BaseModel):
    """Base of every settings model: unknown keys are rejected, and instances are immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)


def check(model: type[M], value: Any, source: str) -> M:
    """Validate `value` as `model`; raise SettingsError with the path of each fault."""
    try:
        return model.model_validate(value)
    except ValidationError as error:
        raise SettingsError(source, tuple(_fault(item) for item in error.errors())) from error


def read(model: type[M], path: Path) -> M:
    """Read one YAML file as `model`; raise SettingsError for any fault in it."""
    return check(model, parse_file(path), str(path))


def _fault(item: Any) -> Fault:
    path = ".".join(str(part) for part in item["loc"]) or "(document)"
    value = repr(item["input"])
    if len(value) > _MAX_SHOWN_CHARACTERS:
        value = value[:_MAX_SHOWN_CHARACTERS] + "..."
    return Fault(path, value, item["msg"])
