"""A team: whose request it is, told by its API key."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Team:
    """One team; its priority, if it has one, orders its requests among those of a tier."""

    name: str
    api_keys: tuple[str, ...]
    priority: int | None
