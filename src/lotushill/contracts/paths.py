"""Reads and changes plain settings data by a dotted path."""

from __future__ import annotations

import copy
from typing import Any

from lotushill.contracts.exceptions import UnknownPathError


def find(data: Any, path: str) -> Any:
    """Return the value at a path; raise UnknownPathError if the path does not exist."""
    value = data
    for part in path.split("."):
        if not isinstance(value, dict) or part not in value:
            raise UnknownPathError(path)
        value = value[part]
    return value


def put(data: dict[str, Any], path: str, value: Any) -> dict[str, Any]:
    """Return a copy with the value at a path set; missing levels above it are created."""
    changed = copy.deepcopy(data)
    *parents, last = path.split(".")
    level = changed
    for part in parents:
        inner = level.setdefault(part, {})
        if not isinstance(inner, dict):
            raise UnknownPathError(path)
        level = inner
    level[last] = value
    return changed


def remove(data: dict[str, Any], path: str) -> dict[str, Any]:
    """Return a copy without the value at a path; raise UnknownPathError if it does not exist."""
    find(data, path)
    changed = copy.deepcopy(data)
    *parents, last = path.split(".")
    level = changed
    for part in parents:
        level = level[part]
    del level[last]
    return changed


def flatten(data: Any, prefix: str = "") -> dict[str, Any]:
    """Return every leaf by its path; an empty level counts as a leaf."""
    if not isinstance(data, dict) or not data:
        return {prefix: data}
    leaves: dict[str, Any] = {}
    for key, value in data.items():
        leaves.update(flatten(value, f"{prefix}.{key}" if prefix else str(key)))
    return leaves
