"""Slots that long prompts leave to more urgent requests. Pure.

The load that it answers: long requests come at two to three times their rate for some seconds, and
the most urgent ones right after or meanwhile. Engines let the urgent in first, but whoever runs
keeps its slot to the end: once long requests hold all slots, urgent ones wait for them.
"""

from __future__ import annotations

_MOST_RESERVED = 0.4
"""Of all slots: with less, urgent requests get nothing while larger ones begin. Over half of the
slots are taken before it refuses anybody."""
_RESERVE_TIMES = 2.0
"""Times the slots that more urgent requests hold now: they come in bursts as well."""


def only_reserved_left(held: int, urgent: int, slots: int, most: float | None = None) -> bool:
    """Return whether the slots that are left are for more urgent requests than a long one.

    `held` counts all requests that run on `slots` slots of all upstreams, `urgent` the more urgent
    of them, and at most the share `most` is kept where that is given. All upstreams count together:
    a reserve on each would spread long requests over the upstreams that others are packed on, and
    send those of all schedulers to the few that are left.
    """
    share = min(_MOST_RESERVED if most is None else most, _RESERVE_TIMES * urgent / max(1, slots))
    return held >= (1.0 - share) * slots
