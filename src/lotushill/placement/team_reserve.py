"""Limits the room that a team over its share takes from other teams. Performs no I/O.

Protects against this load: one team sends many times its normal rate, and requests of the other
teams find the upstreams filled by it. A team over its share still gets all room for which no other
team waits: its requests start at once or are refused, and never queue ahead of those of other
teams.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lotushill.placement.choice import Choice
    from lotushill.placement.need import Need

_MAX_WAIT_FRACTION = 0.2
"""Fraction of its target that a request of a team over its share may wait on its upstream: short
enough that the next request of another team is in time, long enough that no upstream runs out of
work."""


_RESERVED_FRACTION = 0.1
"""Fraction of all slots that a team over its share leaves free: more than become free between two
checks for free slots."""


def reserved_slots(slots: int) -> int:
    """Return how many of `slots` slots a team over its share leaves to the others."""
    return int(_RESERVED_FRACTION * slots)


def has_to_wait(need: Need, choices: Iterable[Choice], engine: bool) -> bool:
    """Return whether no upstream would start a request almost at once.

    `engine` states whether the upstreams are model engines.
    """
    return not any(_is_free(need, choice, engine) for choice in choices)


def _is_free(need: Need, choice: Choice, engine: bool) -> bool:
    if not engine:
        return choice.running < choice.upstream.slots
    return not choice.is_full and choice.wait_seconds <= _MAX_WAIT_FRACTION * need.target
