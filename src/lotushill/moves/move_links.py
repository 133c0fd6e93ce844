"""How many moves are under way at once, by the links that they share.

Answers the load of a reclaim that empties many upstreams at the same moment: copies go one after
another over a link, so that one more makes all behind it later. What would not be done in time
stays where it is, and holds up nobody.
"""

from __future__ import annotations

_MOST_AT_ONCE = 4
"""Moves of one gateway at one upstream: as many as keep a link in use while calls travel."""


class MoveLinks:
    """The seconds of copies that this gateway has under way at each upstream."""

    def __init__(self) -> None:
        self._due: dict[str, list[float]] = {}

    def try_reserve(self, upstream_id: str, seconds: float, within: float) -> bool:
        """Count in a copy of so many seconds if it is done in time behind the others."""
        due = self._due.get(upstream_id, [])
        if len(due) >= _MOST_AT_ONCE or sum(due) + seconds > within:
            return False
        self._due.setdefault(upstream_id, []).append(seconds)
        return True

    def release(self, upstream_id: str, seconds: float) -> None:
        """Count out a copy that is done or given up."""
        due = self._due[upstream_id]
        due.remove(seconds)
        if not due:
            del self._due[upstream_id]

    def is_full(self, upstream_id: str) -> bool:
        """Return whether no further move may be under way at an upstream."""
        return len(self._due.get(upstream_id, ())) >= _MOST_AT_ONCE
