"""What an upstream says of itself in one answer."""

from __future__ import annotations

import math
from dataclasses import dataclass

LONGEST_REST_SECONDS = 300.0
"""A longer wish is cut to this: whoever wants nothing for minutes says that it leaves, and a figure
that is absurd by mistake must not take an upstream away for hours."""
_MOST_LOGGED = 60


@dataclass(frozen=True)
class Statement:
    """Facts that the upstream alone knows; what an answer does not say is left at its default."""

    not_executed: bool = False
    """Whether it did not run the request and never will."""
    rest: float = 0.0
    """Seconds from now in which it wants no request from this gateway; 0 for none."""
    leaving: bool = False
    """Whether it is about to end, and wants no new request from anybody."""
    unreadable: str = ""
    """A wish for rest that could not be read, and so is not followed."""


NOTHING_SAID = Statement()


@dataclass(frozen=True)
class Rest:
    """How long an upstream wants no requests, as far as that can be read."""

    seconds: float = 0.0
    unreadable: str = ""


def read_rest(values: list[bytes]) -> Rest:
    """Return the longest of several wishes in seconds; dates are not among the forms in use."""
    longest, unreadable = 0.0, ""
    for value in values:
        seconds = _seconds(value)
        if seconds is None:
            unreadable = value.decode("latin-1")[:_MOST_LOGGED]
        else:
            longest = max(longest, min(LONGEST_REST_SECONDS, seconds))
    return Rest(longest, unreadable)


def _seconds(value: bytes) -> float | None:
    try:
        seconds = float(value)
    except ValueError:
        return None
    return seconds if 0.0 <= seconds < math.inf else None
