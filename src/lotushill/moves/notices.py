"""Estimates how long leaving upstreams go on working.

Load case: a reclaim. Upstreams of one kind in a data hall announce within a moment that they leave,
and shut down some two seconds later with all their runs.
"""

from __future__ import annotations

DEFAULT_NOTICE_SECONDS = 2.0
"""Notice assumed for an upstream that states no time: the shortest notice that upstreams give."""
_MAX_INCARNATIONS = 4096
"""Most incarnations remembered: several times the number of upstreams in the largest fleet."""


class Notices:
    """Upstreams known to be leaving, with the times by which they are expected to shut down."""

    def __init__(self) -> None:
        self._ends: dict[str, float] = {}

    def note(self, upstream_id: str, seconds: float | None, now: float) -> None:
        """Record that an upstream leaves, in `seconds` if it states a time.

        The first notice counts, since a repeated notice does not start the time anew. A stated time
        can only bring the end forward, never postpone it.
        """
        known = self._ends.get(upstream_id)
        if known is None:
            while len(self._ends) >= _MAX_INCARNATIONS:
                del self._ends[next(iter(self._ends))]
            self._ends[upstream_id] = now + (DEFAULT_NOTICE_SECONDS if seconds is None else seconds)
        elif seconds is not None:
            self._ends[upstream_id] = min(known, now + seconds)

    def seconds_left(self, upstream_id: str, now: float) -> float | None:
        """Return the seconds until an upstream shuts down, 0 past its end, None if it stays."""
        ends = self._ends.get(upstream_id)
        return None if ends is None else max(0.0, ends - now)

    def retain_only(self, known: set[str]) -> None:
        """Drop the incarnations that are in no view any longer."""
        for upstream_id in self._ends.keys() - known:
            del self._ends[upstream_id]
