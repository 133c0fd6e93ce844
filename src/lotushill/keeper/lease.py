"""A lease in the object API, with a fencing token that only rises.

Nobody's clock is compared with another's. A candidate takes the lease when it has seen its
version stand still for the whole duration on the candidate's own monotonic clock. A holder
counts its time from before it sent the renewal, so it stops believing before others start.
"""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lotushill.contracts.document import Document
from lotushill.contracts.document import check
from lotushill.contracts.document import parse
from lotushill.objectapi.exceptions import ConflictError
from lotushill.objectapi.exceptions import UnavailableError
from lotushill.objectapi.exceptions import UnknownEffectError
from lotushill.objectapi.objects import ABSENT
from lotushill.objectapi.objects import StoredObject

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.objectapi.objects import ObjectApi

PREFIX = "leases/"


class LeaseRecord(Document):
    """What the lease object holds; a free lease has an empty holder."""

    holder: str
    nonce: str
    token: int


@dataclass(frozen=True)
class LeaseOptions:
    """Timing, in seconds."""

    duration: float = 5.0
    margin: float = 1.0
    """A holder stops acting this long before others may take over."""


@dataclass
class _Seen:
    version: int
    since: float


class Lease:
    """One process's hold on, or wait for, one lease."""

    def __init__(
        self,
        name: str,
        holder: str,
        objects: ObjectApi,
        clock: Callable[[], float],
        options: LeaseOptions | None = None,
    ) -> None:
        self.key = PREFIX + name
        self.holder = holder
        self.options = options or LeaseOptions()
        self.token = 0
        self._objects = objects
        self._clock = clock
        self._seen: _Seen | None = None
        self._held_version = ABSENT
        self._held_until = float("-inf")

    def held(self) -> bool:
        """Return whether this process may act under the lease now."""
        return self._clock() < self._held_until

    async def refresh(self) -> bool:
        """Renew the lease, or try to take it; return whether it is held."""
        began = self._clock()
        try:
            stored = await self._objects.get(self.key)
            if self._is_ours(stored):
                await self._write(stored, self.token, began)
            elif self._may_take(stored):
                token = _record(stored).token + 1 if stored else 1
                await self._write(stored, token, began)
        except (UnavailableError, UnknownEffectError, ConflictError):
            return self.held()
        return self.held()

    async def release(self) -> None:
        """Give the lease up, so that another may take it at once."""
        if not self.held():
            return
        self._held_until = float("-inf")
        free = LeaseRecord(holder="", nonce=secrets.token_hex(8), token=self.token)
        try:
            await self._objects.put(self.key, free.model_dump_json(), self._held_version)
        except (UnavailableError, UnknownEffectError, ConflictError):
            pass

    def _is_ours(self, stored: StoredObject | None) -> bool:
        return stored is not None and stored.version == self._held_version

    def _may_take(self, stored: StoredObject | None) -> bool:
        self._held_until = float("-inf")
        if stored is None or not _record(stored).holder:
            return True
        now = self._clock()
        if self._seen is None or self._seen.version != stored.version:
            self._seen = _Seen(stored.version, now)
            return False
        return now - self._seen.since >= self.options.duration

    async def _write(self, stored: StoredObject | None, token: int, began: float) -> None:
        expected = stored.version if stored else ABSENT
        nonce = secrets.token_hex(8)
        record = LeaseRecord(holder=self.holder, nonce=nonce, token=token)
        try:
            written = await self._objects.put(self.key, record.model_dump_json(), expected)
        except UnknownEffectError:
            found = await self._objects.get(self.key)
            if found is None or _record(found).nonce != nonce:
                raise
            written = found
        self.token = token
        self._held_version = written.version
        self._held_until = began + self.options.duration - self.options.margin


def _record(stored: StoredObject) -> LeaseRecord:
    return check(LeaseRecord, parse(stored.value, stored.key), stored.key)
