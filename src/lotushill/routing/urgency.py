"""Which of two requests goes first."""

from __future__ import annotations

from dataclasses import dataclass

DEFAULT_TEAM_RANK = 1
"""Of a team of which nothing is said: between those that go first and those that go last."""


@dataclass(frozen=True, order=True)
class Urgency:
    """How urgent a request is: the smaller, the more; teams are ordered within a tier."""

    tier: int
    """Rank of the route, or what the settings tree puts in its place."""
    team_rank: int = DEFAULT_TEAM_RANK
    """Rank of the team among others."""
