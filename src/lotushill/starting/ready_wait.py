"""What a request meets at a gateway that is not ready yet. Pure.

The load that it answers: all gateways have just started, and callers come while some lack their
configuration or the requests that are held from upstreams. Most clients come back once: told the
same half second, all of them would use that up together, some again before anybody is ready.
"""

from __future__ import annotations

MAX_READY_WAIT_SECONDS = 0.6
"""Seconds that a request waits for readiness: what is missing comes within some tenths, and clients
leave a host that does not read their request within a second."""
_WAIT_SHARE = 0.2
"""Of the time that its client has left; clients leave after a third."""
MAX_WAITING_REQUESTS = 256
"""Requests that wait at one gateway, with their heads only."""
_SHORTEST_RETRY = 0.25
_LONGEST_RETRY = 1.0
"""Seconds between which those who are turned away come back."""


def ready_wait_seconds(time_left: float) -> float:
    """Return how many seconds a request may wait; `time_left` is 0 where its client tells none."""
    return (
        min(MAX_READY_WAIT_SECONDS, _WAIT_SHARE * time_left)
        if time_left > 0.0
        else MAX_READY_WAIT_SECONDS
    )


def ready_retry_after_seconds(spread: float) -> float:
    """Return after how many seconds to come back; `spread`, from 0 to 1, is drawn for each."""
    return _SHORTEST_RETRY + (_LONGEST_RETRY - _SHORTEST_RETRY) * spread
