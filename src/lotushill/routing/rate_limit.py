"""How many requests of a team the whole fleet takes."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class RateLimit:
    """One limit; all requests with the same scope count together."""

    scope: str
    """The team, and the level of the settings tree that sets the limit."""
    rate: float
    """Requests a second."""
