"""How long upstreams that leave go on working.

Answers the load of a reclaim: upstreams of one kind in a data hall say within a moment that they
leave, and end some two seconds later under all that runs there.
"""

from __future__ import annotations

DEFAULT_NOTICE_SECONDS = 2.0
"""What an upstream that names no time is taken to work on: the least notice that one gives."""
_MOST_REMEMBERED = 4096
"""Lives, some times as many as the largest fleet has upstreams."""


class Notices:
    """The upstreams that are known to leave, and by when they are taken to have ended."""

    def __init__(self) -> None:
        self._ends: dict[str, float] = {}

    def note(self, upstream_id: str, seconds: float | None, now: float) -> None:
        """Note that an upstream leaves, in so many seconds where it says so.

        The first word counts, since a notice that is heard again is as old as it was; a time that
        is named brings the end nearer, and never farther.
        """
        known = self._ends.get(upstream_id)
        if known is None:
            while len(self._ends) >= _MOST_REMEMBERED:
                del self._ends[next(iter(self._ends))]
            self._ends[upstream_id] = now + (DEFAULT_NOTICE_SECONDS if seconds is None else seconds)
        elif seconds is not None:
            self._ends[upstream_id] = min(known, now + seconds)

    def seconds_left(self, upstream_id: str, now: float) -> float | None:
        """Return how many seconds an upstream works on, 0 past its time; None if it stays."""
        ends = self._ends.get(upstream_id)
        return None if ends is None else max(0.0, ends - now)

    def forget(self, known: set[str]) -> None:
        """Drop the lives that no view knows any longer."""
        for upstream_id in self._ends.keys() - known:
            del self._ends[upstream_id]
