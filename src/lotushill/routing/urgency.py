"""Which of two requests goes first."""

from __future__ import annotations

from dataclasses import dataclass

USUAL_TEAM = 1
"""Of a team of which nothing is said: between those that go first and those that go last."""


@dataclass(frozen=True, order=True)
class Urgency:
    """How urgent a request is: the smaller, the more; teams are ordered within a tier."""

    tier: int
    """Rank of the route, or what the settings tree puts in its place."""
    team: int = USUAL_TEAM
    """Rank of the team among others."""
