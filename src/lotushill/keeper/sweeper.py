"""Deletes what is over: expired claims, and accepted texts that no head names any more."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.callers.claims import has_expired
from lotushill.callers.claims import shards
from lotushill.contracts.generation import HEAD_KEY
from lotushill.contracts.generation import OBJECT_PREFIX
from lotushill.contracts.generation import parse_head
from lotushill.objectapi.exceptions import ConflictError
from lotushill.objectapi.exceptions import UnknownEffectError

if TYPE_CHECKING:
    from lotushill.objectapi.objects import ObjectApi
    from lotushill.objectapi.objects import StoredObject

_MOST_DELETES = 20
"""Deletes of one round; writes are scarce."""
_ROUNDS_BETWEEN_TEXTS = 60
"""Accepted texts are looked at once in so many rounds."""


class Sweeper:
    """Does a little at a time; every delete is conditional, so a race loses nothing."""

    def __init__(self, objects: ObjectApi) -> None:
        self._objects = objects
        self._shards = shards()
        self._round = 0
        self._unnamed: frozenset[str] = frozenset()
        """Accepted texts that no head named at the last look."""

    async def sweep(self, now: float) -> int:
        """Do one round at `now` (seconds since the epoch); return how much was deleted."""
        shard = self._shards[self._round % len(self._shards)]
        self._round += 1
        expired = [item for item in await self._objects.list(shard) if has_expired(item.value, now)]
        deleted = await self._delete(expired)
        if self._round % _ROUNDS_BETWEEN_TEXTS == 0:
            deleted += await self._sweep_texts()
        return deleted

    async def _sweep_texts(self) -> int:
        texts = await self._objects.list(OBJECT_PREFIX)
        head = await self._objects.get(HEAD_KEY)
        if head is None:
            return 0
        named = {OBJECT_PREFIX + digest for digest in parse_head(head.value).objects.values()}
        unnamed = {item.key: item for item in texts if item.key not in named}
        # A text may have been written for a head that is still to come: look twice.
        over = [item for key, item in unnamed.items() if key in self._unnamed]
        self._unnamed = frozenset(unnamed)
        return await self._delete(over)

    async def _delete(self, items: list[StoredObject]) -> int:
        deleted = 0
        for item in items[:_MOST_DELETES]:
            try:
                await self._objects.delete(item.key, item.version)
                deleted += 1
            except (ConflictError, UnknownEffectError):
                continue
        return deleted
