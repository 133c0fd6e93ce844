"""Decides whether the fleet model of a gateway that has just started is complete enough for use.

Protects against this load: all hosts lose power, all gateways start within a second, and all
clients return at once. For 0.1 to 1 s a gateway then has few members in view and takes the fleet
for a small one, or schedules before it has received the load of the upstreams: it would choose by
its own few requests, and all gateways would send to the same few upstreams. Performs no I/O.
"""

from __future__ import annotations

STARTUP_SECONDS = 5.0
"""Time after its start in which a gateway counts as new: members discover each other within a
second, and a model is pulled within 1.5 s more. Later, few members mean a partition, and the
members on its own side are known."""
_MIN_REACHABLE_FRACTION = 0.5
"""Fraction of the registered gateways that the reachable ones must exceed; their updates then cover
the running requests."""


class StartupPhase:
    """Startup phase of one gateway."""

    def __init__(self, small_fleet: int, started_at: float) -> None:
        """Record the start; in a fleet of up to `small_fleet` gateways, all of them schedule."""
        self._small_fleet = small_fleet
        self._started_at = started_at

    def is_new(self, now: float) -> bool:
        """Return whether the start is so recent that the fleet may be largely unknown."""
        return now - self._started_at < STARTUP_SECONDS

    def has_usable_model(
        self, reachable: int, registered: int, has_model: bool, now: float
    ) -> bool:
        """Return whether to choose upstreams by the own model.

        `reachable` is the number of live gateways, including this one; `registered` is the number
        in the store's list, 0 while it has not been read; `has_model` states whether this gateway
        has received the load of the upstreams from another one.
        """
        if not self.is_new(now):
            return True
        if not registered:
            return reachable > 1
        if reachable <= self._small_fleet:
            return reachable > _MIN_REACHABLE_FRACTION * registered
        return has_model
