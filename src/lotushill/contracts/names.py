"""Names of the objects of the tree, for operators and in the platform's store."""

from __future__ import annotations

from typing import Any

SETTINGS_KIND = "lotushill-settings"
"""Object kind of the settings tree in the platform's store."""
ROOT_NAME = "root"
TEAM_PREFIX = "team/"
_STORED_TEAM_PREFIX = "team."


def document_name(data: Any) -> str:
    """Return the name of the object that a document describes: `root` or `team/NAME`."""
    if isinstance(data, dict) and "team" in data:
        return f"{TEAM_PREFIX}{data['team']}"
    return ROOT_NAME


def stored_name(name: str) -> str:
    """Return an object's name in the store, where names may not contain a slash."""
    if name.startswith(TEAM_PREFIX):
        return _STORED_TEAM_PREFIX + name.removeprefix(TEAM_PREFIX)
    return name


def display_name(stored: str) -> str:
    """Return an object's name as operators write it."""
    if stored.startswith(_STORED_TEAM_PREFIX):
        return TEAM_PREFIX + stored.removeprefix(_STORED_TEAM_PREFIX)
    return stored
