"""What an upstream says of itself in one answer."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass

from lotushill.availability.stated_limits import NO_LIMIT

MAX_COOLDOWN_SECONDS = 300.0
"""A longer wish is cut to this: whoever wants nothing for minutes says that it leaves, and a figure
that is absurd by mistake must not take an upstream away for hours."""
MIN_REQUESTS_PER_SECOND = 0.1
"""A lower limit is taken for this: with nothing sent, nobody would hear of its end."""
MAX_REQUESTS_PER_SECOND = 100_000.0
"""A higher limit is taken for this: no fleet sends one upstream as much."""
_MOST_LOGGED = 60
_EMPTY = "(empty)"
_DECIMAL = re.compile(rb"[0-9]{1,30}(?:\.[0-9]{0,30})?|\.[0-9]{1,30}")


@dataclass(frozen=True)
class Statement:
    """Facts that the upstream alone knows; what an answer does not say is left at its default."""

    not_executed: bool = False
    """Whether it did not run the request and never will."""
    cooldown: float = 0.0
    """Seconds from now in which it wants no request from this gateway; 0 for none."""
    leaving: bool = False
    """Whether it is about to end, and wants no new request from anybody."""
    unreadable_cooldown: str = ""
    """A wish for rest that could not be read, and so is not followed."""
    limit: float | None = NO_LIMIT
    """Requests a second that it takes from all gateways together, `NO_LIMIT` where it names none.

    None where it names one that cannot be read: then what is known of it stays.
    """
    unreadable_limit: str = ""
    """What stands in the place of such a limit."""


EMPTY_STATEMENT = Statement()


@dataclass(frozen=True)
class ParsedCooldown:
    """How long an upstream wants no requests, as far as that can be read."""

    seconds: float = 0.0
    unreadable: str = ""


@dataclass(frozen=True)
class ParsedLimit:
    """How much an upstream takes from all gateways together, as far as that can be read."""

    rate: float | None = NO_LIMIT
    unreadable: str = ""


_NONE_NAMED = ParsedLimit()


def parse_cooldown(values: list[bytes]) -> ParsedCooldown:
    """Return the longest of several wishes in seconds; dates are not among the forms in use."""
    longest, unreadable = 0.0, ""
    for value in values:
        seconds = _seconds(value)
        if seconds is None:
            unreadable = _shown(value)
        else:
            longest = max(longest, min(MAX_COOLDOWN_SECONDS, seconds))
    return ParsedCooldown(longest, unreadable)


def _seconds(value: bytes) -> float | None:
    try:
        seconds = float(value)
    except ValueError:
        return None
    return seconds if 0.0 <= seconds < math.inf else None


def parse_limit(values: list[bytes]) -> ParsedLimit:
    """Return the lowest of several limits; one alone that cannot be read leaves it open."""
    if not values:
        return _NONE_NAMED
    read = [_decimal(value) for value in values]
    rates = [
        max(MIN_REQUESTS_PER_SECOND, min(MAX_REQUESTS_PER_SECOND, rate))
        for rate in read
        if rate is not None
    ]
    odd = [_shown(value) for value, rate in zip(values, read) if rate is None]
    if rates:
        return ParsedLimit(min(rates), *odd[-1:])
    return ParsedLimit(None, odd[-1] or _EMPTY)


def _decimal(value: bytes) -> float | None:
    """Return a decimal number of at least 0, None for anything else."""
    text = value.strip()
    return float(text) if _DECIMAL.fullmatch(text) else None


def _shown(value: bytes) -> str:
    return value.decode("latin-1")[:_MOST_LOGGED]
