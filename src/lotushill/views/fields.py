"""The fields of an object of the store, checked for type and range as they are read.

The library that checks the settings tree takes a third of a gateway's start to load; what is read
at the start is checked by these few functions.
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

_MOST_TEXT = 1000
_HEADER_TEXT = re.compile(r"[!-~]{1,200}")


class Fields:
    """The fields of one object; what cannot be read as asked for raises MalformedEntryError."""

    def __init__(self, value: Any) -> None:
        if not isinstance(value, dict):
            raise MalformedEntryError("entry", "is no object")
        self._values = value

    def has(self, name: str) -> bool:
        """Return whether there is a field."""
        return name in self._values

    def array(self, name: str) -> list[Any]:
        """Return a list, whatever stands in it."""
        value = self._value(name)
        if not isinstance(value, list):
            raise MalformedEntryError(name, "is no list")
        return value

    def nested(self, name: str) -> Fields:
        """Return the fields of an object within."""
        return Fields(self._value(name))

    def raw(self, name: str) -> Any:
        """Return whatever stands there, None for nothing."""
        return self._values.get(name)

    def text(self, name: str) -> str:
        """Return a text that says something."""
        value = self._value(name)
        if not isinstance(value, str) or not value or len(value) > _MOST_TEXT:
            raise MalformedEntryError(name, "is no text")
        return value

    def integer(self, name: str, least: int, most: int) -> int:
        """Return a whole number within bounds."""
        value = self._value(name)
        if type(value) is not int or not least <= value <= most:
            raise MalformedEntryError(name, f"is no whole number from {least} to {most}")
        return value

    def number(self, name: str, least: float, most: float) -> float:
        """Return a finite number within bounds."""
        value = self._value(name)
        if (
            type(value) not in (int, float)
            or not least <= value <= most
            or not math.isfinite(value)
        ):
            raise MalformedEntryError(name, f"is no number from {least} to {most}")
        return float(value)

    def optional_number(self, name: str, least: float, most: float, unit: float) -> float | None:
        """Return a number in units of `unit`, None where it is missing or cannot be read."""
        try:
            return self.number(name, least, most) / unit
        except MalformedEntryError:
            return None

    def choice(self, name: str, known: frozenset[str]) -> str:
        """Return one of the texts that are known."""
        value = self.text(name)
        if value not in known:
            raise MalformedEntryError(name, "is none that is known")
        return value

    def address(self, name: str) -> str:
        """Return an IP number and a port."""
        value = self.text(name)
        try:
            _, port = split_address(value)
        except ValueError as error:
            raise MalformedEntryError(name, "is no IP:PORT") from error
        if not port:
            raise MalformedEntryError(name, "has no port")
        return value

    def _value(self, name: str) -> Any:
        if name not in self._values:
            raise MalformedEntryError(name, "is missing")
        return self._values[name]


def is_header_text(text: str) -> bool:
    """Return whether a text can stand in a header as it is."""
    return _HEADER_TEXT.fullmatch(text) is not None


def parse_readable(read: Callable[[Any], Item], items: list[Any]) -> list[Item]:
    """Return what can be read of a list: an item that cannot must not cost those beside it."""
    found = []
    for item in items:
        try:
            found.append(read(item))
        except MalformedEntryError:
            continue
    return found
