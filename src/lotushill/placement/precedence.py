"""Order in which requests that compete for room are served. Performs no I/O."""

from __future__ import annotations

from dataclasses import dataclass

from lotushill.routing.urgency import DEFAULT_TEAM_RANK


@dataclass(frozen=True, order=True)
class Precedence:
    """Position of one request; the smallest is served first, compared field by field."""

    tier: int
    """Tier; 0 is the most urgent."""
    is_new: bool = True
    """False for the request of a caller that was refused and returned after its Retry-After time.
    """
    standing: float = 0.0
    """Recent usage of its team relative to its share of the service, 0 for teams within it."""
    team_rank: int = DEFAULT_TEAM_RANK
    """Rank of its team, 0 going first."""
    arrived_at: float = 0.0
    """Arrival time."""
