"""Upstreams to which no request may be sent now: in cooldown, or without a permit."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lotushill.availability.cooldowns import Cooldowns
    from lotushill.limits.denials import Denials


class BarredUpstreams:
    """Upstreams that placement has to leave out. Pure, with the clock passed in."""

    def __init__(self, cooldowns: Cooldowns, denials: Denials) -> None:
        self._cooldowns = cooldowns
        self._denials = denials

    def names(self, route: str, now: float) -> frozenset[str]:
        """Return all upstreams to which no request of a route may be sent now."""
        return self._cooldowns.barred(now) | self._denials.barred(route, now)

    def any_limited(self, upstream_ids: Iterable[str], route: str, now: float) -> bool:
        """Return whether a permit is denied for any of some upstreams."""
        return any(self._denials.is_barred(name, route, now) for name in upstream_ids)

    def seconds_to_first_end(self, upstream_ids: Iterable[str], route: str, now: float) -> float:
        """Return the seconds until a request may be sent to the first of some upstreams."""
        return min((self._seconds_to_end(name, route, now) for name in upstream_ids), default=0.0)

    def _seconds_to_end(self, upstream_id: str, route: str, now: float) -> float:
        return max(
            self._cooldowns.seconds_to_first_end((upstream_id,), now),
            self._denials.seconds_left(upstream_id, route, now),
        )
