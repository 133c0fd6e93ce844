"""In which order requests that compete for room are served. Pure."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, order=True)
class Precedence:
    """The place of one request; the least goes first, compared field by field."""

    tier: int
    """0 is the most urgent."""
    newcomer: bool = True
    """False for one that was refused and comes back when it was told to."""
    standing: float = 0.0
    """What its team has had of late beside its share of the service."""
    arrived_at: float = 0.0
    """When it came."""
