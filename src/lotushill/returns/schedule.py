"""When somebody who is refused is to come back. Pure.

The load that it answers: requests come for some seconds at 1.3 to 2 times the rate at which room
comes. Told the same short pause, nearly all who were refused come back into the same crowd, and
most clients come back only once.
"""

from __future__ import annotations

from dataclasses import dataclass

RESERVED_FRACTION = 0.5
"""Of the room that comes, how much goes to those who return: with more, newcomers that could still
be in time would wait for those who mostly no longer can."""
MIN_RETRY_AFTER_SECONDS = 0.2
"""Sooner, those who were refused together would meet the same full slots."""
_HONOURED_SHARE = 1.0 / 3.0
"""Of the time that a client has left, up to which it waits as told."""
_MARGIN = 0.95
"""Of that, what is used: the answer takes its time to reach the client."""
_SPREAD = 0.25
"""Of a pause that leads to no promise, over which returns are spread."""


@dataclass(frozen=True)
class ReturnTime:
    """When to come back."""

    seconds: float
    promised: bool
    """Whether there is likely to be room then."""


def latest_return(time_left: float) -> float:
    """Return after how many seconds a client that has so much time left comes back at most."""
    return _MARGIN * _HONOURED_SHARE * max(0.0, time_left)


def return_time(backlog: int, room_rate: float, time_left: float, spread: float) -> ReturnTime:
    """Return when there is room for one more, behind `backlog` others who were told to return.

    `room_rate` is in requests a second; `spread`, from 0 to 1, is drawn for each request.
    Where room comes too late for the client, it is told to come as late as it can, in case that
    the crowd has gone: sooner it would use up its last try in vain.
    """
    last = latest_return(time_left)
    reserved = RESERVED_FRACTION * room_rate
    seconds = (backlog + 0.5 + spread) / reserved if reserved > 0.0 else float("inf")
    seconds = max(MIN_RETRY_AFTER_SECONDS * (1.0 + spread), seconds)
    if seconds <= last:
        return ReturnTime(seconds, True)
    return ReturnTime(last * (1.0 - _SPREAD * spread), False)
