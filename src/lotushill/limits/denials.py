"""Upstreams with a limit for which this gateway has no permit now. Pure.

Load case: a gateway has hundreds of requests a second for an upstream that accepts one. If each of
them asked for a permit, it would cost a round trip and time of the limit owner.
"""

from __future__ import annotations

import math

_NO_UPSTREAMS: frozenset[str] = frozenset()


class Denials:
    """Times until which no permit is requested, by upstream and rank.

    The limit owner ranks requests; those of a route are assumed to have the rank of its last one.
    """

    def __init__(self) -> None:
        self._denied_until: dict[str, dict[int, float]] = {}
        self._route_ranks: dict[str, int] = {}
        self._pending_until: dict[str, float] = {}
        """Upstreams with a pending permit request, with the time at which it times out."""

    def note_pending(self, upstream_id: str, until: float) -> None:
        """Record a permit request: a gateway has at most one pending per upstream."""
        self._pending_until[upstream_id] = until

    def note_answered(self, upstream_id: str) -> None:
        """Record that the permit request is no longer pending."""
        self._pending_until.pop(upstream_id, None)

    def note_denied(self, upstream_id: str, route: str, rank: int, until: float) -> None:
        """Record a denied permit; until then none of the same or a later rank is requested."""
        self._route_ranks[route] = rank
        self._denied_until.setdefault(upstream_id, {})[rank] = until

    def clear(self, upstream_id: str) -> None:
        """Drop the denials of an upstream whose limit has changed."""
        self._denied_until.pop(upstream_id, None)

    def seconds_left(self, upstream_id: str, route: str, now: float) -> float:
        """Return for how many seconds no permit is requested for a route, 0 if one may be now."""
        rank = self._route_ranks.get(route, -1)
        denied = self._denied_until.get(upstream_id, {})
        ends = [until for other, until in denied.items() if other <= rank]
        return max(0.0, max([*ends, self._pending_until.get(upstream_id, -math.inf)]) - now)

    def is_barred(self, upstream_id: str, route: str, now: float) -> bool:
        """Return whether no permit is requested for a route now."""
        return self.seconds_left(upstream_id, route, now) > 0.0

    def barred(self, route: str, now: float) -> frozenset[str]:
        """Return all upstreams for which no permit is requested for a route now."""
        if not self._denied_until and not self._pending_until:
            return _NO_UPSTREAMS
        names = self._denied_until.keys() | self._pending_until.keys()
        return frozenset(name for name in names if self.is_barred(name, route, now))

    def retain_only(self, limited: set[str], now: float) -> None:
        """Drop expired denials, and those of upstreams that have no limit any more."""
        for upstream_id, ranks in list(self._denied_until.items()):
            if upstream_id not in limited or max(ranks.values()) <= now:
                del self._denied_until[upstream_id]
        if not limited:
            self._route_ranks.clear()
