"""Objects and changes as the store returns them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True)
class StoredObject:
    """One object of the store; `spec` is plain JSON data."""

    name: str
    revision: int
    """Revision of the object's last change."""
    spec: Any


@dataclass(frozen=True)
class Change:
    """One change of an object: its new state, or its deletion."""

    object: StoredObject
    gone: bool


@dataclass(frozen=True)
class ObjectList:
    """All objects of a kind as of a revision of the store."""

    objects: tuple[StoredObject, ...]
    revision: int
