"""A team: whose request it is, told by its API key."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Team:
    """One team; a priority, if it has one, overrules that of the route."""

    name: str
    api_keys: tuple[str, ...]
    priority: int | None
