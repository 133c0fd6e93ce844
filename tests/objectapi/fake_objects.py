"""An object API in memory whose every call can be made to fail, lose its answer or be late."""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import TYPE_CHECKING

import anyio

from lotushill.objectapi.exceptions import UnavailableError
from lotushill.objectapi.exceptions import UnknownEffectError

if TYPE_CHECKING:
    from lotushill.objectapi.objects import HostRecord
    from lotushill.objectapi.objects import StoredObject
    from lotushill.standin.object_store import ObjectStore


class Trouble(Enum):
    """What happens to one call."""

    NONE = "none"
    UNAVAILABLE = "unavailable"
    ANSWER_LOST = "answer-lost"
    NOT_SENT_UNKNOWN = "not-sent-unknown"
    """A write that did not take effect, though its writer cannot know."""


class FakeObjects:
    """One client's way to a shared store."""

    def __init__(self, store: ObjectStore) -> None:
        self.store = store
        self.troubles: deque[Trouble] = deque()
        """What happens to the next calls; none once it is empty."""

    async def get(self, key: str) -> StoredObject | None:
        """Read one object."""
        self._read()
        return self.store.get(key)

    async def list(self, prefix: str) -> tuple[StoredObject, ...]:
        """Read all objects under a prefix."""
        self._read()
        return self.store.list(prefix)

    async def put(self, key: str, value: str, expected: int) -> StoredObject:
        """Write one object."""
        trouble = self._write()
        stored = self.store.put(key, value, expected)
        if trouble is Trouble.ANSWER_LOST:
            raise UnknownEffectError("the answer was lost")
        return stored

    async def delete(self, key: str, expected: int) -> None:
        """Delete one object."""
        trouble = self._write()
        self.store.delete(key, expected)
        if trouble is Trouble.ANSWER_LOST:
            raise UnknownEffectError("the answer was lost")

    async def watch(self, prefix: str, after: int, patience: float) -> tuple[StoredObject, ...]:
        """Return what changed, without waiting."""
        self._read()
        await anyio.sleep(0)
        return self.store.changes(prefix, after)

    async def hosts(self) -> tuple[HostRecord, ...]:
        """Return the host list."""
        self._read()
        return tuple(self.store.hosts.values())

    def _next(self) -> Trouble:
        return self.troubles.popleft() if self.troubles else Trouble.NONE

    def _read(self) -> None:
        if self._next() is not Trouble.NONE:
            raise UnavailableError("the platform is down")

    def _write(self) -> Trouble:
        trouble = self._next()
        if trouble is Trouble.UNAVAILABLE:
            raise UnavailableError("the platform is down")
        if trouble is Trouble.NOT_SENT_UNKNOWN:
            raise UnknownEffectError("the connection broke")
        return trouble
