"""Limits how many moves are in flight at once, by the links that they share.

Load case: a reclaim empties many upstreams at the same moment. Copies go over a link one after
another, so that one more delays all behind it. A run whose copy would not be done in time stays at
its upstream and delays no other.
"""

from __future__ import annotations

_MAX_MOVES_IN_FLIGHT = 4
"""Most moves of one gateway in flight from one upstream: enough to keep a link in use during the
calls' round trips."""


class MoveLinks:
    """Seconds of the copies that this gateway has in flight from each upstream."""

    def __init__(self) -> None:
        self._reserved: dict[str, list[float]] = {}

    def try_reserve(self, upstream_id: str, seconds: float, time_limit: float) -> bool:
        """Reserve the link for a copy that takes `seconds`.

        Return False if the upstream has too many moves in flight, or if the copy would not be done
        within `time_limit` seconds behind them.
        """
        reserved = self._reserved.get(upstream_id, [])
        if len(reserved) >= _MAX_MOVES_IN_FLIGHT or sum(reserved) + seconds > time_limit:
            return False
        self._reserved.setdefault(upstream_id, []).append(seconds)
        return True

    def release(self, upstream_id: str, seconds: float) -> None:
        """Release the reservation of a copy that is done or was given up."""
        reserved = self._reserved[upstream_id]
        reserved.remove(seconds)
        if not reserved:
            del self._reserved[upstream_id]

    def is_full(self, upstream_id: str) -> bool:
        """Return whether an upstream has as many moves in flight as are allowed."""
        return len(self._reserved.get(upstream_id, ())) >= _MAX_MOVES_IN_FLIGHT
