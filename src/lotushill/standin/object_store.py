"""The state behind the stand-in of the object API and the host list, with its faults."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

from lotushill.objectapi.exceptions import ConflictError
from lotushill.objectapi.objects import ABSENT
from lotushill.objectapi.objects import HostRecord
from lotushill.objectapi.objects import StoredObject


class StoreFault(Enum):
    """How the stand-in misbehaves."""

    NONE = "none"
    DOWN = "down"
    SLOW = "slow"
    LOSE_ANSWERS = "lose-answers"
    """Writes take effect and their answers are lost."""


@dataclass
class ObjectStore:
    """Objects with versions, the change log and the host list."""

    revision: int = 0
    objects: dict[str, StoredObject] = field(default_factory=dict)
    hosts: dict[str, HostRecord] = field(default_factory=dict)
    fault: StoreFault = StoreFault.NONE
    reads: int = 0
    writes: int = 0

    def get(self, key: str) -> StoredObject | None:
        """Return an object that exists."""
        found = self.objects.get(key)
        return None if found is None or found.deleted else found

    def list(self, prefix: str) -> tuple[StoredObject, ...]:
        """Return the objects under a prefix, by key."""
        keys = sorted(key for key in self.objects if key.startswith(prefix))
        return tuple(self.objects[key] for key in keys if not self.objects[key].deleted)

    def put(self, key: str, value: str, expected: int) -> StoredObject:
        """Write against a version; raise ConflictError for another."""
        self._expect(key, expected)
        return self._store(key, value, False)

    def delete(self, key: str, expected: int) -> StoredObject:
        """Delete against a version; raise ConflictError for another."""
        self._expect(key, expected)
        return self._store(key, "", True)

    def changes(self, prefix: str, after: int) -> tuple[StoredObject, ...]:
        """Return the objects under a prefix that changed after a version."""
        found = [
            item
            for key, item in self.objects.items()
            if item.version > after and key.startswith(prefix)
        ]
        return tuple(sorted(found, key=lambda item: item.version))

    def _expect(self, key: str, expected: int) -> None:
        found = self.get(key)
        version = ABSENT if found is None else found.version
        if version != expected:
            raise ConflictError(key, expected, version)

    def _store(self, key: str, value: str, deleted: bool) -> StoredObject:
        self.revision += 1
        stored = StoredObject(key, self.revision, value, deleted)
        self.objects[key] = stored
        return stored
