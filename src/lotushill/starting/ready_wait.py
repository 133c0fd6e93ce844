"""Bounds how long and how many requests wait at a gateway that is not ready yet.

Protects against this load: all gateways have just started, and requests arrive while some of them
lack their configuration or the list of requests that are held back from upstreams. Most clients
return once: if all were given the same half second, all of them would use up that return together,
some before any gateway is ready. Performs no I/O.
"""

from __future__ import annotations

MAX_READY_WAIT_SECONDS = 0.6
"""Maximum seconds that a request waits for readiness: what is missing arrives within some tenths of
a second, and clients leave a host that does not read their request within a second."""
_WAIT_FRACTION = 0.2
"""Fraction of the client's remaining time that a request may wait; clients leave after a third."""
MAX_WAITING_REQUESTS = 256
"""Maximum number of requests that wait at one gateway, with only their heads in memory."""
_MIN_RETRY_AFTER_SECONDS = 0.25
_MAX_RETRY_AFTER_SECONDS = 1.0
"""Bounds in seconds of the Retry-After times of refused requests."""


def ready_wait_seconds(time_left: float) -> float:
    """Return how many seconds a request may wait; `time_left` is 0 if its client states none."""
    return (
        min(MAX_READY_WAIT_SECONDS, _WAIT_FRACTION * time_left)
        if time_left > 0.0
        else MAX_READY_WAIT_SECONDS
    )


def ready_retry_after_seconds(spread: float) -> float:
    """Return the Retry-After time in seconds; `spread`, from 0 to 1, is random per request."""
    return _MIN_RETRY_AFTER_SECONDS + (_MAX_RETRY_AFTER_SECONDS - _MIN_RETRY_AFTER_SECONDS) * spread
