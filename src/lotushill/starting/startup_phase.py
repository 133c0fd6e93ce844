"""Whether a gateway that has started knows enough of its fleet to choose by its model. Pure.

The load that it answers: all hosts lose power, all gateways start within a second, and all callers
come back at once. For 0.1 to 1 s a gateway then knows few others and takes the fleet for a small
one, or schedules before it was told what runs: it would choose by its own few requests, and all
gateways would send to the same few upstreams.
"""

from __future__ import annotations

STARTUP_SECONDS = 5.0
"""After its start a gateway counts as new for so long: members find each other within a second, a
model is pulled within 1.5 s more. Later, few members are a cut, and its side is known."""
_KNOWN_SHARE = 0.5
"""Of the gateways that are registered: with more of them heard, their news tell what runs."""


class StartupPhase:
    """The start of one gateway."""

    def __init__(self, small_fleet: int, started_at: float) -> None:
        """Start in a fleet that is small with so many gateways, all of which schedule then."""
        self._small_fleet = small_fleet
        self._started_at = started_at

    def is_new(self, now: float) -> bool:
        """Return whether the start is so lately that little may be known."""
        return now - self._started_at < STARTUP_SECONDS

    def knows_fleet(self, heard: int, registered: int, has_model: bool, now: float) -> bool:
        """Return whether to choose by the own model.

        `heard` gateways are known to live, this one included; `registered` are in the store's list,
        0 while it was not read; `has_model` tells whether somebody told this one what runs.
        """
        if not self.is_new(now):
            return True
        if not registered:
            return heard > 1
        if heard <= self._small_fleet:
            return heard > _KNOWN_SHARE * registered
        return has_model
