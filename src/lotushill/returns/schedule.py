"""Computes Retry-After times of refused requests. Pure.

Handles requests that arrive for some seconds at 1.3 to 2 times the rate at which capacity becomes
free. Given the same short pause, nearly all refused callers would return into the same overload,
and most clients return only once.
"""

from __future__ import annotations

from dataclasses import dataclass

RESERVED_FRACTION = 0.5
"""Fraction of the freed capacity that goes to returning requests: with more, new requests that can
still be on time would wait for returning ones, most of which no longer can."""
MIN_RETRY_AFTER_SECONDS = 0.2
"""Minimum Retry-After time: with a shorter one, requests refused together would meet the same full
slots."""
_HONOURED_FRACTION = 1.0 / 3.0
"""Fraction of its time left up to which a client honours a Retry-After time."""
_USED_FRACTION = 0.95
"""Fraction of that limit that is used, since the answer takes time to reach the client."""
_SPREAD_FRACTION = 0.25
"""Fraction of a pause without a promise over which returns are spread."""


@dataclass(frozen=True)
class ReturnTime:
    """A Retry-After time and whether it is promised."""

    seconds: float
    promised: bool
    """Whether there is likely to be capacity then."""


def latest_return(time_left: float) -> float:
    """Return the longest Retry-After time in seconds that a client with `time_left` honours."""
    return _USED_FRACTION * _HONOURED_FRACTION * max(0.0, time_left)


def return_time(backlog: int, start_rate: float, time_left: float, spread: float) -> ReturnTime:
    """Return when there is capacity for one more request, behind `backlog` promised returns.

    `start_rate` is in requests per second; `spread`, from 0 to 1, is drawn at random for each
    request. If capacity becomes free too late for the client, it is given the latest time that it
    honours, in case the overload has ended: sooner it would waste its last return.
    """
    latest_seconds = latest_return(time_left)
    reserved_rate = RESERVED_FRACTION * start_rate
    seconds = (backlog + 0.5 + spread) / reserved_rate if reserved_rate > 0.0 else float("inf")
    seconds = max(MIN_RETRY_AFTER_SECONDS * (1.0 + spread), seconds)
    if seconds <= latest_seconds:
        return ReturnTime(seconds, True)
    return ReturnTime(latest_seconds * (1.0 - _SPREAD_FRACTION * spread), False)
