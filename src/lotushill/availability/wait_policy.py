"""Whether a request waits where all upstreams that could serve it want a rest. Pure.

The load that it answers: all engines of a service turn requests away for some seconds and ask for
rest. A caller that is refused comes back to any gateway, mostly with its last try, and no sooner
than it is told to; one that waits here is served as soon as the first engine takes requests again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.returns.promise import GRACE_SECONDS

if TYPE_CHECKING:
    from lotushill.placement.need import Need

MAX_WAIT_FRACTION = 1.0
"""Of its target, up to which a request waits for the end of a rest: it can still be in time."""
_TIER_SECONDS = 0.01
"""By so much later each less urgent tier looks again: at a rest's end one request goes first, and
it is to be one of the most urgent."""
_LIMITED_RETRY_SECONDS = 1.0
"""Without a permit for its whole target, a request that came back at once would mostly use up its
caller's last try in vain."""
MAX_RETURN_WAIT_FRACTION = 0.6
"""Of its target, up to which one that came back waits for the room that it was promised."""
_RETURN_POLL_SECONDS = 0.06
"""Between two looks for the room that was promised: about as often as a slot comes free."""


def limited_retry_after_seconds(first_end: float) -> float:
    """Return after how many seconds a request that had no permit is to come back."""
    return max(_LIMITED_RETRY_SECONDS, first_end)


def cooldown_wait(rest_ends_in: float, waited: float, need: Need) -> float | None:
    """Return for how long a request that has waited so long is to wait, None if it is refused."""
    pause = rest_ends_in + need.tier * _TIER_SECONDS
    return pause if waited + pause <= MAX_WAIT_FRACTION * need.target else None


def returned_request_wait(waited: float, need: Need) -> float | None:
    """Return for how long one that came back as it was told is to wait, None if it is refused.

    Its client has no further try, and room is about to come: it waits here beyond what a newcomer
    waits, while its place is kept. Longer, those that are late already would take the room of many
    that are not.
    """
    longest = min(GRACE_SECONDS, MAX_RETURN_WAIT_FRACTION * need.target)
    return _RETURN_POLL_SECONDS if waited + _RETURN_POLL_SECONDS <= longest else None
