"""Services whose upstreams fall over if they have to reject too many requests. Pure.

All gateways together make an upstream reject, so that each must not send one more than there is
room for, by the load of all. Only the slots count as room: brittle upstreams may let nobody wait.
"""

from __future__ import annotations

_HOLD_SECONDS = 3.0
"""Time after the last statement for which the upstreams of a service count as brittle. They state
it in all answers, and may give none while they are down."""


class BrittleServices:
    """Services whose upstreams have stated of late that they are brittle."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def note_stated(self, service: str, now: float) -> None:
        """Record that an upstream of a service has stated that it is brittle."""
        self._until[service] = now + _HOLD_SECONDS

    def is_brittle(self, service: str, now: float) -> bool:
        """Return whether upstreams of a service must not be sent more than they have slots."""
        return now < self._until.get(service, 0.0)
