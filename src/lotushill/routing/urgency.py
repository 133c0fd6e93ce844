"""Urgency of requests, which orders them for service."""

from __future__ import annotations

from dataclasses import dataclass

DEFAULT_TEAM_RANK = 1
"""Rank of a team without a setting: between the teams served first and those served last."""

LAST_TEAM_RANK = 254
"""Largest rank that gateways tell each other."""


@dataclass(frozen=True, order=True)
class Urgency:
    """Urgency of a request; smaller is more urgent, and teams are ordered within a tier."""

    tier: int
    """Rank of the route, or the value that replaces it in the settings tree."""
    team_rank: int = DEFAULT_TEAM_RANK
    """Rank of the team relative to other teams."""
