"""Settings documents for tests."""

from __future__ import annotations

from typing import Any


def team_document(team: str, **changes: Any) -> dict[str, Any]:
    """Return a team document with one class."""
    classes = {"answer": {"policy": {"tier": 1}}}
    return {"team": team, "services": {"rsvp": {"classes": classes}}} | changes
