"""Tracks whether more urgent requests had to wait recently. Pure.

Between two urgent requests of a burst there is always a moment in which none is queued. A less
urgent request that is admitted in that moment occupies its slot while the next urgent ones arrive.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lotushill.waiting.entry import QueueEntry

_PRESSURE_SECONDS = 0.5
"""Time after a noticeable wait for which its tier counts as under pressure: longer than the pauses
within a burst."""
_NOTICEABLE_WAIT_FRACTION = 0.25
"""Fraction of a request's target from which its wait counts as noticeable: shorter waits occur with
every full engine."""


class Pressure:
    """Stores by service and tier when the last noticeable wait ended."""

    def __init__(self) -> None:
        self._last_waits: dict[str, dict[int, float]] = {}

    def note(self, entry: QueueEntry, now: float) -> None:
        """Note that a request has left the queue."""
        if now - entry.arrived_at > _NOTICEABLE_WAIT_FRACTION * entry.need.target:
            self._last_waits.setdefault(entry.need.service, {})[entry.need.tier] = now

    def applies_to(self, service: str, tier: int, now: float) -> bool:
        """Return whether requests more urgent than `tier` had a noticeable wait recently."""
        last_waits = self._last_waits.get(service, {})
        return any(
            other_tier < tier and now - at < _PRESSURE_SECONDS
            for other_tier, at in last_waits.items()
        )
