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

_MAX_SHOWN_CHARACTERS = 80
"""Number of characters of an invalid value that an error message shows."""

S = TypeVar("S", GatewaySettings, RetrySettings, DutySettings)


class _InvalidValueError(Exception):
    """A value that is invalid; the message states why."""


def read_settings(path: Path) -> GatewaySettings:
    """Read a settings file; raise SettingsError, which lists each fault with its path."""
    return check_settings(parse_file(path), str(path))


def check_settings(value: Any, source: str) -> GatewaySettings:
    """Return settings from plain data; raise SettingsError on any fault, ignore unknown keys.

    A file that is not a mapping yields a single fault with the path `(document)`.
    """
    faults: list[Fault] = []
    settings = _check_section(GatewaySettings, value, "", faults)
    if settings is None or faults:
        raise SettingsError(source, tuple(faults))
    return settings


def _check_section(kind: type[S], value: Any, path: str, faults: list[Fault]) -> S | None:
    if not isinstance(value, dict):
        faults.append(Fault(path or "(document)", _abbreviate(value), "must be a mapping"))
        return None
    fault_count_before = len(faults)
    values: dict[str, Any] = {}
    for item in fields(kind):
        item_path = f"{path}.{item.name}" if path else item.name
        if item.name not in value:
            if item.default is MISSING:
                faults.append(Fault(item_path, "nothing", "is required"))
            continue
        try:
            values[item.name] = _check_value(str(item.type), value[item.name], item_path, faults)
        except _InvalidValueError as error:
            faults.append(Fault(item_path, _abbreviate(value[item.name]), str(error)))
    return kind(**values) if len(faults) == fault_count_before else None


def _check_value(kind: str, value: Any, path: str, faults: list[Fault]) -> Any:
    """Return a validated value; `kind` is the name of the type in the field's annotation."""
    if kind == "RetrySettings":
        return _check_section(RetrySettings, value, path, faults)
    if kind == "DutySettings | None":
        return None if value is None else _check_section(DutySettings, value, path, faults)
    if kind == "Flag":
        return _check_flag(value)
    if kind in ("Text", "Address"):
        return _check_text(value, is_address=kind == "Address")
    return _check_number(value, may_be_zero=kind == "Amount")


def _check_text(value: Any, is_address: bool) -> str:
    if not isinstance(value, str) or not value:
        raise _InvalidValueError("must be a string that is not empty")
    if not value.isprintable():
        raise _InvalidValueError("must consist of printable characters")
    if is_address:
        try:
            split_address(value)
        except ValueError as error:
            raise _InvalidValueError(str(error)) from error
    return value


def _check_flag(value: Any) -> bool:
    if not isinstance(value, bool):
        raise _InvalidValueError("must be true or false")
    return value


def _check_number(value: Any, may_be_zero: bool) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise _InvalidValueError("must be a finite number")
    try:
        number = float(value)
    except OverflowError as error:
        raise _InvalidValueError("must be a finite number") from error
    if not math.isfinite(number):
        raise _InvalidValueError("must be a finite number")
    if number < 0 or (number == 0 and not may_be_zero):
        raise _InvalidValueError("must be 0 or more" if may_be_zero else "must be above 0")
    return number


def _abbreviate(value: Any) -> str:
    try:
        text = repr(value)
    except (ValueError, RecursionError):
        # A whole number of thousands of digits, or a structure nested thousands of levels deep.
        text = f"a value of type {type(value).__name__}"
    return text if len(text) <= _MAX_SHOWN_CHARACTERS else text[:_MAX_SHOWN_CHARACTERS] + "..."
