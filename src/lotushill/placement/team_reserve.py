"""What room a team over its share leaves to the others. Pure.

The load that it answers: one team asks many times its usual, and whoever of the other teams asks
finds the upstreams filled by it. A team over its share still gets all room that nobody waits for:
its requests begin at once or are refused, and never stand in line before those of other teams.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lotushill.placement.choice import Choice
    from lotushill.placement.need import Need

_MOST_WAIT = 0.2
"""Of its target, how long a request of such a team may wait at its upstream: short enough that one
of another team that comes next is in time, long enough that no upstream runs out of work."""


_KEPT_SHARE = 0.1
"""Of all slots, how many such a team leaves: more than come free between two looks for room."""


def reserved_slots(slots: int) -> int:
    """Return how many of so many slots a team over its share leaves to the others."""
    return int(_KEPT_SHARE * slots)


def has_to_wait(need: Need, choices: Iterable[Choice], engine: bool) -> bool:
    """Return whether no upstream would take a request about at once; `engine`: of model engines."""
    return not any(_is_free(need, choice, engine) for choice in choices)


def _is_free(need: Need, choice: Choice, engine: bool) -> bool:
    if not engine:
        return choice.running < choice.upstream.slots
    return not choice.is_full and choice.wait_seconds <= _MOST_WAIT * need.target
