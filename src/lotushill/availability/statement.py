"""Statements of an upstream about itself in one answer."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass

from lotushill.availability.stated_limits import NO_LIMIT

MAX_COOLDOWN_SECONDS = 300.0
"""Longest cooldown; longer ones are reduced to this. An upstream that wants no requests for minutes
states that it is leaving, and an absurd value sent by mistake must not remove it for hours."""
MIN_REQUESTS_PER_SECOND = 0.1
"""Lowest limit in requests per second; lower ones are raised to this. If no request were sent, no
answer could state that the limit ended."""
MAX_REQUESTS_PER_SECOND = 100_000.0
"""Highest limit in requests per second; higher ones are reduced to this. No fleet sends one
upstream as much."""
_MAX_LOGGED_CHARACTERS = 60
_EMPTY_TEXT = "(empty)"
_DECIMAL = re.compile(rb"[0-9]{1,30}(?:\.[0-9]{0,30})?|\.[0-9]{1,30}")


@dataclass(frozen=True)
class Statement:
    """Facts that only the upstream knows; those missing in an answer keep their default."""

    not_executed: bool = False
    """Whether the upstream did not run the request and never will."""
    cooldown: float = 0.0
    """Seconds from now for which the upstream wants no request from this gateway; 0 for none."""
    leaving: bool = False
    """Whether the upstream is about to shut down and wants no new request from any gateway."""
    unreadable_cooldown: str = ""
    """Text of a cooldown that could not be parsed, and so is ignored."""
    limit: float | None = NO_LIMIT
    """Requests per second that it accepts from all gateways together, `NO_LIMIT` if it states none.

    None if it states one that cannot be parsed: then the known limit stays.
    """
    unreadable_limit: str = ""
    """Text of a limit that could not be parsed."""
    max_rejections: float | None = None
    """Requests per second that it can reject for want of room; one more and it falls over.

    None if it states no such number.
    """


EMPTY_STATEMENT = Statement()


@dataclass(frozen=True)
class ParsedCooldown:
    """Cooldown that an upstream asked for, as far as it can be parsed."""

    seconds: float = 0.0
    unreadable: str = ""


@dataclass(frozen=True)
class ParsedLimit:
    """Limit that an upstream stated for all gateways together, as far as it can be parsed."""

    rate: float | None = NO_LIMIT
    unreadable: str = ""


_NO_LIMIT_STATED = ParsedLimit()


def parse_cooldown(values: list[bytes]) -> ParsedCooldown:
    """Return the longest of several cooldowns in seconds; dates are not among the forms in use."""
    longest, unreadable = 0.0, ""
    for value in values:
        seconds = _parse_seconds(value)
        if seconds is None:
            unreadable = _loggable_text(value)
        else:
            longest = max(longest, min(MAX_COOLDOWN_SECONDS, seconds))
    return ParsedCooldown(longest, unreadable)


def _parse_seconds(value: bytes) -> float | None:
    try:
        seconds = float(value)
    except ValueError:
        return None
    return seconds if 0.0 <= seconds < math.inf else None


def parse_limit(values: list[bytes]) -> ParsedLimit:
    """Return the lowest of several limits; its rate is None if none of them can be parsed."""
    if not values:
        return _NO_LIMIT_STATED
    parsed = [_parse_decimal(value) for value in values]
    rates = [
        max(MIN_REQUESTS_PER_SECOND, min(MAX_REQUESTS_PER_SECOND, rate))
        for rate in parsed
        if rate is not None
    ]
    unreadable_texts = [
        _loggable_text(value) for value, rate in zip(values, parsed) if rate is None
    ]
    if rates:
        return ParsedLimit(min(rates), *unreadable_texts[-1:])
    return ParsedLimit(None, unreadable_texts[-1] or _EMPTY_TEXT)


def parse_max_rejections(values: list[bytes]) -> float | None:
    """Return the lowest of several numbers of rejections per second, None if there is none."""
    numbers = [number for value in values if (number := _parse_decimal(value)) is not None]
    return min(numbers, default=None)


def _parse_decimal(value: bytes) -> float | None:
    """Parse a decimal number of at least 0; return None for anything else."""
    text = value.strip()
    return float(text) if _DECIMAL.fullmatch(text) else None


def _loggable_text(value: bytes) -> str:
    return value.decode("latin-1")[:_MAX_LOGGED_CHARACTERS]
