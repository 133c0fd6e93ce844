"""Limit on the requests that the whole fleet accepts from a team."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class RateLimit:
    """One rate limit; all requests with the same scope are counted together."""

    scope: str
    """Identifies the team and the level of the settings tree that sets the limit."""
    rate: float
    """Requests per second."""
