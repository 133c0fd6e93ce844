"""Access to the fields of an object of the store, with checks of type and range.

Loading the library that validates the settings tree takes a third of a gateway's start-up time.
Objects that are read at start-up are therefore validated by these few functions.
"""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

from lotushill.links.address import split_address
from lotushill.views.exceptions import MalformedEntryError

if TYPE_CHECKING:
    from collections.abc import Callable

Item = TypeVar("Item")

_MAX_TEXT_CHARACTERS = 1000
_HEADER_TEXT_PATTERN = re.compile(r"[!-~]{1,200}")


class Fields:
    """Fields of one object; a field of another type or range raises MalformedEntryError."""

    def __init__(self, value: Any) -> None:
        if not isinstance(value, dict):
            raise MalformedEntryError("entry", "is not an object")
        self._values = value

    def has(self, name: str) -> bool:
        """Return whether the field exists."""
        return name in self._values

    def array(self, name: str) -> list[Any]:
        """Return an array, whose items are not checked."""
        value = self._value(name)
        if not isinstance(value, list):
            raise MalformedEntryError(name, "is not an array")
        return value

    def nested(self, name: str) -> Fields:
        """Return the fields of a nested object."""
        return Fields(self._value(name))

    def raw(self, name: str) -> Any:
        """Return the unchecked value, None if the field is missing."""
        return self._values.get(name)

    def text(self, name: str) -> str:
        """Return a text that is not empty and not longer than the limit."""
        value = self._value(name)
        if not isinstance(value, str) or not value or len(value) > _MAX_TEXT_CHARACTERS:
            raise MalformedEntryError(name, "is not a non-empty text of bounded length")
        return value

    def integer(self, name: str, minimum: int, maximum: int) -> int:
        """Return an integer within bounds."""
        value = self._value(name)
        if type(value) is not int or not minimum <= value <= maximum:
            raise MalformedEntryError(name, f"is not an integer from {minimum} to {maximum}")
        return value

    def number(self, name: str, minimum: float, maximum: float) -> float:
        """Return a finite number within bounds."""
        value = self._value(name)
        if (
            type(value) not in (int, float)
            or not minimum <= value <= maximum
            or not math.isfinite(value)
        ):
            raise MalformedEntryError(name, f"is not a number from {minimum} to {maximum}")
        return float(value)

    def optional_number(
        self, name: str, minimum: float, maximum: float, unit: float
    ) -> float | None:
        """Return a number divided by `unit`, None if it is missing or invalid."""
        try:
            return self.number(name, minimum, maximum) / unit
        except MalformedEntryError:
            return None

    def choice(self, name: str, known: frozenset[str]) -> str:
        """Return a text that is one of the `known` values."""
        value = self.text(name)
        if value not in known:
            raise MalformedEntryError(name, "is not one of the known values")
        return value

    def address(self, name: str) -> str:
        """Return an address of the form IP:PORT."""
        value = self.text(name)
        try:
            _, port = split_address(value)
        except ValueError as error:
            raise MalformedEntryError(name, "is not an address of the form IP:PORT") from error
        if not port:
            raise MalformedEntryError(name, "has port 0; expected one from 1 to 65535")
        return value

    def _value(self, name: str) -> Any:
        if name not in self._values:
            raise MalformedEntryError(name, "is missing")
        return self._values[name]


def is_header_text(text: str) -> bool:
    """Return whether a text is valid as a header value without encoding."""
    return _HEADER_TEXT_PATTERN.fullmatch(text) is not None


def parse_readable(parse: Callable[[Any], Item], items: list[Any]) -> list[Item]:
    """Return the parsed items; malformed ones are skipped so that the others are not lost."""
    parsed = []
    for item in items:
        try:
            parsed.append(parse(item))
        except MalformedEntryError:
            continue
    return parsed
