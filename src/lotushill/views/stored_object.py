"""Objects of the store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True)
class StoredObject:
    """One object; `spec` is plain data as JSON knows it."""

    name: str
    revision: int
    """Revision of its last change."""
    spec: Any


@dataclass(frozen=True)
class Change:
    """One change: what an object became, or that it is gone."""

    object: StoredObject
    gone: bool


@dataclass(frozen=True)
class ObjectList:
    """All objects of a kind, as of a revision of the store."""

    objects: tuple[StoredObject, ...]
    revision: int
