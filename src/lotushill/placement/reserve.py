"""Slots that long prompts leave to more urgent requests. Pure.

The load that it answers: long requests come at two to three times their rate for some seconds, and
the most urgent ones right after or meanwhile. Engines let the urgent in first, but whoever runs
keeps its slot to the end: once long requests hold all slots, urgent ones wait for them.
"""

from __future__ import annotations

import math
from dataclasses import replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lotushill.placement.choice import Choice

_MOST_RESERVED = 0.4
"""Of an engine's slots. In replays of overlapping bursts it raised the credit earned from 0.50 to
0.58, and the urgent requests in time from 0.49 to 0.68; a quarter and a half were worth less. More
than half of the slots are taken before it refuses anybody."""
_RESERVE_TIMES = 2.0
"""Times the slots that more urgent requests hold now: they come in bursts as well."""


def with_reserve(choices: Iterable[Choice], urgent: int, slots: int) -> list[Choice]:
    """Return the choices of a long request, with those as full that have only reserved slots.

    `urgent` counts the more urgent requests that run on all of them, each with so many slots.
    """
    found = list(choices)
    share = min(_MOST_RESERVED, _RESERVE_TIMES * urgent / (len(found) * slots))
    open_slots = slots - math.ceil(share * slots)
    return [replace(item, full=True) if item.running >= open_slots else item for item in found]
