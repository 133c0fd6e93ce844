"""Reads and validates the settings file of `lotushill-gateway`."""

from __future__ import annotations

import math
from dataclasses import MISSING
from dataclasses import fields
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

from lotushill.contracts.exceptions import Fault
from lotushill.contracts.exceptions import SettingsError
from lotushill.contracts.yaml_text import parse_file
from lotushill.links.address import split_address
from lotushill.process.settings import DutySettings
from lotushill.process.settings import GatewaySettings
from lotushill.process.settings import RetrySettings

if TYPE_CHECKING:
    from pathlib import Path

_MOST_SHOWN = 80
"""Number of characters of an invalid value that an error message shows."""

S = TypeVar("S", GatewaySettings, RetrySettings, DutySettings)


class _ValueError(Exception):
    """A value that is invalid; the message states why."""


def read_settings(path: Path) -> GatewaySettings:
    """Read a settings file; raise SettingsError, which lists each fault with its path."""
    return check_settings(parse_file(path), str(path))


def check_settings(value: Any, source: str) -> GatewaySettings:
    """Return settings from plain data; raise SettingsError on any fault, ignore unknown keys.

    A file that is not a mapping yields a single fault with the path `(document)`.
    """
    faults: list[Fault] = []
    settings = _section(GatewaySettings, value, "", faults)
    if settings is None or faults:
        raise SettingsError(source, tuple(faults))
    return settings


def _section(kind: type[S], value: Any, path: str, faults: list[Fault]) -> S | None:
    if not isinstance(value, dict):
        faults.append(Fault(path or "(document)", _shown(value), "must be a mapping"))
        return None
    before = len(faults)
    found: dict[str, Any] = {}
    for item in fields(kind):
        place = f"{path}.{item.name}" if path else item.name
        if item.name not in value:
            if item.default is MISSING:
                faults.append(Fault(place, "nothing", "is required"))
            continue
        try:
            found[item.name] = _checked(str(item.type), value[item.name], place, faults)
        except _ValueError as error:
            faults.append(Fault(place, _shown(value[item.name]), str(error)))
    return kind(**found) if len(faults) == before else None


def _checked(kind: str, value: Any, path: str, faults: list[Fault]) -> Any:
    """Return a validated value; `kind` is the name of the type in the field's annotation."""
    if kind == "RetrySettings":
        return _section(RetrySettings, value, path, faults)
    if kind == "DutySettings | None":
        return None if value is None else _section(DutySettings, value, path, faults)
    if kind == "Flag":
        return _flag(value)
    if kind in ("Text", "Address"):
        return _text(value, is_address=kind == "Address")
    return _number(value, may_be_zero=kind == "Amount")


def _text(value: Any, is_address: bool) -> str:
    if not isinstance(value, str) or not value:
        raise _ValueError("must be a string that is not empty")
    if is_address:
        try:
            split_address(value)
        except ValueError as error:
            raise _ValueError(str(error)) from error
    return value


def _flag(value: Any) -> bool:
    if not isinstance(value, bool):
        raise _ValueError("must be true or false")
    return value


def _number(value: Any, may_be_zero: bool) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise _ValueError("must be a finite number")
    if value < 0 or (value == 0 and not may_be_zero):
        raise _ValueError("must be 0 or more" if may_be_zero else "must be above 0")
    return float(value)


def _shown(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= _MOST_SHOWN else text[:_MOST_SHOWN] + "..."
