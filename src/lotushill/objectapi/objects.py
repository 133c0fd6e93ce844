"""The port to the platform: the object API and the host list."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

ABSENT = 0
"""Version of an object that does not exist; writing against it creates the object."""
MAX_VALUE_BYTES = 1_000_000


@dataclass(frozen=True)
class StoredObject:
    """One object with the version of its last write."""

    key: str
    version: int
    """Grows with every write to the whole store, so versions of different keys compare."""
    value: str
    deleted: bool = False


class HostState(Enum):
    """The state of a host in the host list."""

    LIVE = "live"
    LEAVING = "leaving"


class HostRole(Enum):
    """What a host is for."""

    ENTRY = "entry"
    ENGINE = "engine"
    SERVICE = "service"


@dataclass(frozen=True)
class HostRecord:
    """One line of the host list."""

    name: str
    role: HostRole
    hall: str
    region: str
    address: str
    pool: str
    """Pool that an upstream belongs to; empty for an entry host."""
    state: HostState


class ObjectApi(Protocol):
    """What the system needs of the object API; every call may raise UnavailableError."""

    async def get(self, key: str) -> StoredObject | None:
        """Return an object, or None if there is none."""

    async def list(self, prefix: str) -> tuple[StoredObject, ...]:
        """Return all objects whose key starts with a prefix, by key."""

    async def put(self, key: str, value: str, expected: int) -> StoredObject:
        """Write against a version.

        Raises ConflictError if the object has another version, UnknownEffectError if the
        answer was lost after the write was sent.
        """

    async def delete(self, key: str, expected: int) -> None:
        """Delete against a version; raises as `put` does."""

    async def watch(self, prefix: str, after: int, patience: float) -> tuple[StoredObject, ...]:
        """Wait until objects under a prefix are newer than `after`, at most `patience` seconds.

        Returns all that are newer, deleted ones marked so; empty when none came in time.
        """


class HostList(Protocol):
    """What the system needs of the host list."""

    async def hosts(self) -> tuple[HostRecord, ...]:
        """Return every host that the platform lists; it lags behind the truth."""
