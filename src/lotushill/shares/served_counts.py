"""Counts the requests of a team and those that were placed lately, at one scheduler. Pure.

A team that requests many times its share of a service would have next to none of its requests
served; users hold it against a service if a team is served far less often than all teams are.
"""

from __future__ import annotations

import math

_SECONDS = 30.0
"""Time constant of the decay, after which a third of the requests counts: with many schedulers,
each sees few requests of each team."""
_LEAST_ASKED = 3.0
"""Minimum decayed number of requests from which a fraction is given."""


class ServedCounts:
    """Decaying counts of requests received and placed."""

    def __init__(self) -> None:
        self._asked = 0.0
        self._placed = 0.0
        self._at = 0.0

    def note_request(self, now: float) -> None:
        """Count a request that arrived, once even if an upstream is searched for repeatedly."""
        self._fade(now)
        self._asked += 1.0

    def note_placed(self, now: float) -> None:
        """Count a request that was placed on an upstream."""
        self._fade(now)
        self._placed += 1.0

    def placed_fraction(self, now: float) -> float | None:
        """Return the fraction of requests that were placed, None if too few arrived."""
        self._fade(now)
        return self._placed / self._asked if self._asked >= _LEAST_ASKED else None

    def _fade(self, now: float) -> None:
        kept = math.exp(min(0.0, self._at - now) / _SECONDS)
        self._asked *= kept
        self._placed *= kept
        self._at = max(self._at, now)
