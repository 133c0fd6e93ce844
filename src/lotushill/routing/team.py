"""Teams, which are identified by the API keys of their requests."""

from __future__ import annotations

from dataclasses import dataclass
from functools import lru_cache

import xxhash

_TEAM_NUMBERS_CACHE_SIZE = 1024


@dataclass(frozen=True)
class Team:
    """One team; its priority, if set, orders its requests among those of a tier."""

    name: str
    api_keys: tuple[str, ...]
    priority: int | None


@lru_cache(maxsize=_TEAM_NUMBERS_CACHE_SIZE)
def team_number(name: str) -> int:
    """Return the number that identifies a team, the same on all gateways; 0 for none."""
    return xxhash.xxh32_intdigest(name) if name else 0
