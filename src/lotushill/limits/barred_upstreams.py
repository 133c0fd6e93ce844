"""Upstreams that are to be sent nothing now: they rest, or there is no permit for them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lotushill.availability.cooldowns import Cooldowns
    from lotushill.limits.denials import Denials


class BarredUpstreams:
    """What those who choose leave out. Pure, with the clock passed in."""

    def __init__(self, rests: Cooldowns, denials: Denials) -> None:
        self._rests = rests
        self._denials = denials

    def names(self, route: str, now: float) -> frozenset[str]:
        """Return all upstreams that a request of a route is not to be sent to now."""
        return self._rests.barred(now) | self._denials.barred(route, now)

    def any_limited(self, upstream_ids: Iterable[str], route: str, now: float) -> bool:
        """Return whether for any of some upstreams there is no permit."""
        return any(self._denials.is_barred(name, route, now) for name in upstream_ids)

    def seconds_to_first_end(self, upstream_ids: Iterable[str], route: str, now: float) -> float:
        """Return after how many seconds the first of some upstreams may be sent a request."""
        return min((self._end(name, route, now) for name in upstream_ids), default=0.0)

    def _end(self, upstream_id: str, route: str, now: float) -> float:
        return max(
            self._rests.seconds_to_first_end((upstream_id,), now),
            self._denials.seconds_left(upstream_id, route, now),
        )
