"""Upstreams with a limit for which this gateway has no permit now. Pure.

The load that it answers: a gateway with hundreds of requests a second for an upstream that takes
one. Each of them asking for a permit would cost a round trip and the counting gateway its time.
"""

from __future__ import annotations

import math

_NOBODY: frozenset[str] = frozenset()


class Denials:
    """Until when nothing is to be asked, by upstream and rank.

    The counting gateway ranks requests; those of a route are taken to rank as the last one did.
    """

    def __init__(self) -> None:
        self._until: dict[str, dict[int, float]] = {}
        self._ranks: dict[str, int] = {}
        self._asked: dict[str, float] = {}
        """Upstreams for which an answer is awaited, by when it is given up."""

    def note_pending(self, upstream_id: str, until: float) -> None:
        """Note that a permit is asked for: one ask of a gateway is under way at a time."""
        self._asked[upstream_id] = until

    def note_answered(self, upstream_id: str) -> None:
        """Note that no answer is awaited any longer."""
        self._asked.pop(upstream_id, None)

    def note_denied(self, upstream_id: str, route: str, rank: int, until: float) -> None:
        """Note that a request was denied a permit; none of a later rank gets any meanwhile."""
        self._ranks[route] = rank
        self._until.setdefault(upstream_id, {})[rank] = until

    def clear(self, upstream_id: str) -> None:
        """Forget what was denied, since the limit is another one."""
        self._until.pop(upstream_id, None)

    def seconds_left(self, upstream_id: str, route: str, now: float) -> float:
        """Return for how many seconds nothing is to be asked for a route, 0 for not at all."""
        rank = self._ranks.get(route, -1)
        denied = self._until.get(upstream_id, {})
        ends = [until for other, until in denied.items() if other <= rank]
        return max(0.0, max([*ends, self._asked.get(upstream_id, -math.inf)]) - now)

    def is_barred(self, upstream_id: str, route: str, now: float) -> bool:
        """Return whether nothing is to be asked for a route now."""
        return self.seconds_left(upstream_id, route, now) > 0.0

    def barred(self, route: str, now: float) -> frozenset[str]:
        """Return all upstreams for which nothing is to be asked for a route now."""
        if not self._until and not self._asked:
            return _NOBODY
        names = self._until.keys() | self._asked.keys()
        return frozenset(name for name in names if self.is_barred(name, route, now))

    def forget(self, limited: set[str], now: float) -> None:
        """Drop what is over, and what was said of upstreams without a limit."""
        for upstream_id, ranks in list(self._until.items()):
            if upstream_id not in limited or max(ranks.values()) <= now:
                del self._until[upstream_id]
        if not limited:
            self._ranks.clear()
