"""Reserves slots for more urgent requests, which long prompts may not take. Performs no I/O.

Protects against this load: long requests arrive at two to three times their normal rate for some
seconds, and the most urgent ones right after or meanwhile. Engines admit urgent requests first, but
a running request keeps its slot to its end: once long requests hold all slots, urgent ones wait for
them.
"""

from __future__ import annotations

_MAX_RESERVED_FRACTION = 0.4
"""Maximum fraction of all slots that is reserved. With less, urgent requests are not served while
larger ones start. Over half of the slots are taken before any request is refused."""
_RESERVE_FACTOR = 2.0
"""Reserved slots per slot that more urgent requests hold now, since these arrive in bursts as well.
"""


def only_reserved_left(
    used_slots: int, urgent_slots: int, slots: int, max_reserved_fraction: float | None = None
) -> bool:
    """Return whether the remaining slots are reserved for more urgent requests than a long one.

    `used_slots` counts all requests that run on the `slots` slots of all upstreams, `urgent_slots`
    the more urgent of them. `max_reserved_fraction` replaces the default maximum. All upstreams
    count together: a reserve on each would spread long requests over the upstreams on which others
    are packed, and direct the requests of all schedulers to the few that are left.
    """
    fraction = min(
        _MAX_RESERVED_FRACTION if max_reserved_fraction is None else max_reserved_fraction,
        _RESERVE_FACTOR * urgent_slots / max(1, slots),
    )
    return used_slots >= (1.0 - fraction) * slots
