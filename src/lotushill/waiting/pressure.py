"""Whether more urgent requests have had to wait of late. Pure.

Between two urgent requests of a burst there is always a moment in which none waits. Whoever is let
in then keeps its slot through what comes next.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lotushill.waiting.entry import QueueEntry

_PRESSED_SECONDS = 0.5
"""So long after a wait that was felt its tier counts as pressed: longer than a burst is silent."""
_FELT_SHARE = 0.25
"""Of its target, from which a wait is felt: shorter ones come with every full engine."""


class Pressure:
    """Remembers by service and tier when a wait ended that was felt."""

    def __init__(self) -> None:
        self._felt: dict[str, dict[int, float]] = {}

    def note(self, entry: QueueEntry, now: float) -> None:
        """Note that a request waits no longer."""
        if now - entry.arrived_at > _FELT_SHARE * entry.need.target:
            self._felt.setdefault(entry.need.service, {})[entry.need.tier] = now

    def applies_to(self, service: str, tier: int, now: float) -> bool:
        """Return whether requests that are more urgent than a tier had to wait of late."""
        felt = self._felt.get(service, {})
        return any(other < tier and now - at < _PRESSED_SECONDS for other, at in felt.items())
