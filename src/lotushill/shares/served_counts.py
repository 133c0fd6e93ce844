"""Counts the requests of a team and those that were placed recently, at one scheduler. Pure.

A team that requests many times its share of a service would have next to none of its requests
served; users hold it against a service if a team is served far less often than all teams are.
"""

from __future__ import annotations

import math

_DECAY_SECONDS = 30.0
"""Time constant of the decay, after which a third of the requests counts: with many schedulers,
each sees few requests of each team."""
_MIN_REQUESTS = 3.0
"""Minimum decayed number of requests from which a fraction is given."""


class ServedCounts:
    """Decaying counts of requests received and placed."""

    def __init__(self) -> None:
        self._requested = 0.0
        self._placed = 0.0
        self._decayed_at = 0.0

    def note_request(self, now: float) -> None:
        """Count a request that arrived, once even if an upstream is searched for repeatedly."""
        self._decay(now)
        self._requested += 1.0

    def note_placed(self, now: float) -> None:
        """Count a request that was placed on an upstream."""
        self._decay(now)
        self._placed += 1.0

    def placed_fraction(self, now: float) -> float | None:
        """Return the fraction of requests that were placed, None if too few arrived."""
        self._decay(now)
        return self._placed / self._requested if self._requested >= _MIN_REQUESTS else None

    def _decay(self, now: float) -> None:
        factor = math.exp(min(0.0, self._decayed_at - now) / _DECAY_SECONDS)
        self._requested *= factor
        self._placed *= factor
        self._decayed_at = max(self._decayed_at, now)
