"""Settings documents for tests."""

from __future__ import annotations

from typing import Any

from lotushill.contracts.document import write


def root_text(**changes: Any) -> str:
    """Return a root document."""
    document: dict[str, Any] = {
        "tiers": ["counter", "desk", "batch"],
        "pools": {"drafts": {"kind": "engine", "model": "drafts-8b"}},
        "policy": {"pool": "drafts", "tier": "batch"},
    }
    return write(document | changes)


def team_text(team: str, **changes: Any) -> str:
    """Return a team document with one class."""
    document: dict[str, Any] = {
        "team": team,
        "services": {"rsvp": {"classes": {"answer": {"policy": {"tier": "desk"}}}}},
    }
    return write(document | changes)
