"""Limits how many moves are in flight at once, by the links that they share.

Load case: a reclaim empties many upstreams at the same moment. Copies go over a link one after
another, so that one more delays all behind it. A run whose copy would not be done in time stays at
its upstream and delays no other.
"""

from __future__ import annotations

_MOST_AT_ONCE = 4
"""Most moves of one gateway in flight from one upstream: enough to keep a link in use during the
calls' round trips."""


class MoveLinks:
    """Seconds of the copies that this gateway has in flight from each upstream."""

    def __init__(self) -> None:
        self._due: dict[str, list[float]] = {}

    def try_reserve(self, upstream_id: str, seconds: float, within: float) -> bool:
        """Reserve the link for a copy that takes `seconds`.

        Return False if the upstream has too many moves in flight, or if the copy would not be done
        `within` so many seconds behind them.
        """
        due = self._due.get(upstream_id, [])
        if len(due) >= _MOST_AT_ONCE or sum(due) + seconds > within:
            return False
        self._due.setdefault(upstream_id, []).append(seconds)
        return True

    def release(self, upstream_id: str, seconds: float) -> None:
        """Release the reservation of a copy that is done or was given up."""
        due = self._due[upstream_id]
        due.remove(seconds)
        if not due:
            del self._due[upstream_id]

    def is_full(self, upstream_id: str) -> bool:
        """Return whether an upstream has as many moves in flight as are allowed."""
        return len(self._due.get(upstream_id, ())) >= _MOST_AT_ONCE
