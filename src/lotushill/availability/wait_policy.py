"""Decides whether a request waits while all upstreams that could serve it are in cooldown. Pure.

Load case: all engines of a service reject requests for some seconds and ask for a cooldown. A
refused caller returns to any gateway, mostly with its last try, and not before its Retry-After time
is over; a request that waits here is served as soon as the first engine accepts requests again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.returns.promise import GRACE_SECONDS

if TYPE_CHECKING:
    from lotushill.placement.need import Need

MAX_WAIT_FRACTION = 1.0
"""Fraction of its target for which a request waits for a cooldown to end; it can still be served in
time then."""
_TIER_DELAY_SECONDS = 0.01
"""Additional delay per tier until a request checks again: one probe request goes first at the end
of a cooldown, and it has to be one of the most urgent."""
_MIN_LIMITED_RETRY_AFTER_SECONDS = 1.0
"""Shortest Retry-After time of a request that got no permit within its whole target. A caller
that returned at once would mostly waste its last try."""
MAX_RETURN_WAIT_FRACTION = 0.6
"""Fraction of its target for which a returned request waits for the slot promised to it."""
_RETURN_POLL_INTERVAL_SECONDS = 0.06
"""Interval between two checks for the promised slot: about as often as a slot becomes free."""


def limited_retry_after_seconds(seconds_to_first_end: float) -> float:
    """Return the Retry-After time in seconds for a request that got no permit."""
    return max(_MIN_LIMITED_RETRY_AFTER_SECONDS, seconds_to_first_end)


def cooldown_wait(cooldown_ends_in: float, waited: float, need: Need) -> float | None:
    """Return for how many seconds a request that has waited so far waits on, None to refuse it."""
    pause = cooldown_ends_in + need.tier * _TIER_DELAY_SECONDS
    return pause if waited + pause <= MAX_WAIT_FRACTION * need.target else None


def returned_request_wait(waited: float, need: Need) -> float | None:
    """Return how many seconds a returned request waits until the next check, or None to refuse it.

    Its client has no further try, and a slot is about to become free: it waits here longer than a
    new request does, while its promise is kept. With longer waits, requests that are late already
    would take the slots of many that are not.
    """
    longest = min(GRACE_SECONDS, MAX_RETURN_WAIT_FRACTION * need.target)
    return (
        _RETURN_POLL_INTERVAL_SECONDS if waited + _RETURN_POLL_INTERVAL_SECONDS <= longest else None
    )
