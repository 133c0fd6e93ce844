"""Parses JSON of which single values cannot be represented, without losing the others.

Objects of many writers arrive in one answer. One with a number of thousands of digits, or nested
thousands of levels deep, must not make the others unreadable.
"""

from __future__ import annotations

import json
import re
from typing import Any

_MAX_DEPTH = 100
"""Levels of nesting that are kept; a value below them is replaced by null."""
_MAX_DIGITS = 400
"""Digits of whole numbers that are kept; larger numbers become infinite."""
_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)
"""A string, or a bracket outside of strings."""


def parse_json(text: str) -> Any:
    """Return parsed JSON; raise ValueError if the text is malformed."""
    try:
        return _parse(text)
    except RecursionError:
        return _parse(_without_deep_values(text))


def _parse(text: str) -> Any:
    return json.loads(text, strict=False, parse_int=_parse_integer)


def _parse_integer(digits: str) -> int | float:
    return int(digits) if len(digits) <= _MAX_DIGITS else float(digits)


def _without_deep_values(text: str) -> str:
    """Return JSON in which every array or object below the depth limit is null."""
    kept = []
    depth = position = 0
    for token in _TOKEN.finditer(text):
        bracket = token.group()
        if bracket in ("[", "{"):
            depth += 1
            if depth == _MAX_DEPTH + 1:
                kept.append(text[position : token.start()] + "null")
        elif bracket in ("]", "}"):
            if depth == _MAX_DEPTH + 1:
                position = token.end()
            depth -= 1
    if depth <= _MAX_DEPTH:
        kept.append(text[position:])
    return "".join(kept)
