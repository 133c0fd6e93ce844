"""How many of the requests of a team were placed of late, as one scheduler sees it. Pure.

A team that asks many times its share of a service would get next to nothing of what it asks for;
users hold it against a service if a team is served far less often than all are.
"""

from __future__ import annotations

import math

_SECONDS = 30.0
"""After which a third of the requests counts: a scheduler of many sees few of each team."""
_LEAST_ASKED = 3.0
"""With fewer nothing is said of a team."""


class ServedCounts:
    """Requests asked and placed, the recent ones counting most."""

    def __init__(self) -> None:
        self._asked = 0.0
        self._placed = 0.0
        self._at = 0.0

    def note_request(self, now: float) -> None:
        """Count a request that came; not again when it is looked for again."""
        self._fade(now)
        self._asked += 1.0

    def note_placed(self, now: float) -> None:
        """Count a request that got an upstream."""
        self._fade(now)
        self._placed += 1.0

    def placed_fraction(self, now: float) -> float | None:
        """Return which part of the requests was placed, None where too few came."""
        self._fade(now)
        return self._placed / self._asked if self._asked >= _LEAST_ASKED else None

    def _fade(self, now: float) -> None:
        kept = math.exp(min(0.0, self._at - now) / _SECONDS)
        self._asked *= kept
        self._placed *= kept
        self._at = max(self._at, now)
