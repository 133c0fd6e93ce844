"""How many slots each tier has asked for of late, as a smoothed level."""

from __future__ import annotations

import math

_RISE_SECONDS = 10.0
_FALL_SECONDS = 3.0
"""A level rises slowly, so that a short burst stops nobody, and falls fast, so that slots
are not kept empty for a burst that is over."""


class Demand:
    """Slots asked for by tier, running and waiting together, smoothed over bursts."""

    def __init__(self) -> None:
        self._levels: dict[int, float] = {}
        self._at: float | None = None

    def note(self, asked: dict[int, int], now: float) -> None:
        """Take a reading of the slots that each tier asks for now."""
        since = 0.0 if self._at is None else max(0.0, now - self._at)
        self._at = now if self._at is None else max(self._at, now)
        for tier in self._levels.keys() | asked.keys():
            level = self._levels.get(tier, 0.0)
            gap = asked.get(tier, 0) - level
            memory = _RISE_SECONDS if gap > 0 else _FALL_SECONDS
            self._levels[tier] = level + gap * (1.0 - math.exp(-since / memory))

    def level(self, below: int) -> float:
        """Return the slots that the tiers above `below` have been asking for."""
        return sum(level for tier, level in self._levels.items() if tier < below)
