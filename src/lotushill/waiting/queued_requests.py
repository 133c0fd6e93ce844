"""Storage of the requests queued at one gateway, bounded in number, bytes and time. Pure."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from lotushill.waiting.entry import ENTRY_EXPIRY_SECONDS

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lotushill.waiting.entry import QueueEntry

MAX_QUEUED_REQUESTS = 2000
"""Maximum number of requests queued at one gateway: eight schedulers hold the requests that a fleet
receives in about ten seconds."""
MAX_QUEUED_BYTES = 4_000_000
_ENTRY_BYTES = 600
_PART_BYTES = 80
_EXCLUDED_BYTES = 100
"""Estimated memory per excluded upstream; the two sizes above are per request and per prompt
part."""


class QueuedRequests:
    """Stores queued requests by key and by service."""

    def __init__(
        self, max_requests: int = MAX_QUEUED_REQUESTS, max_bytes: int = MAX_QUEUED_BYTES
    ) -> None:
        self._max_requests = max_requests
        self._max_bytes = max_bytes
        self._entries: dict[int, QueueEntry] = {}
        self._services: dict[str, dict[int, QueueEntry]] = {}
        self._tiers: dict[str, Counter[int]] = {}
        self.bytes = 0
        """Estimated memory of the queued requests in bytes."""
        self.overflows = 0
        """Number of requests rejected because a bound was reached."""

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, key: int) -> QueueEntry | None:
        """Return the queued request with a key, None if there is none."""
        return self._entries.get(key)

    def services(self) -> list[str]:
        """Return the names of services that have queued requests."""
        return [name for name, entries in self._services.items() if entries]

    def for_service(self, service: str) -> list[QueueEntry]:
        """Return all queued requests of a service, in no particular order."""
        return list(self._services.get(service, {}).values())

    def count(self, service: str) -> int:
        """Return the number of queued requests of a service."""
        return len(self._services.get(service, {}))

    def tiers(self, service: str) -> dict[int, int]:
        """Return the number of queued requests of a service by tier."""
        counts = self._tiers.get(service, Counter())
        return {tier: count for tier, count in counts.items() if count}

    def add(self, entry: QueueEntry) -> bool:
        """Add a request or its renewal; return False if a bound does not allow it."""
        previous = self._entries.get(entry.key)
        added_bytes = _estimated_bytes(entry) - (_estimated_bytes(previous) if previous else 0)
        if previous is None and len(self._entries) >= self._max_requests:
            self.overflows += 1
            return False
        if self.bytes + added_bytes > self._max_bytes:
            self.overflows += 1
            return False
        self.bytes += added_bytes
        self._entries[entry.key] = entry
        self._services.setdefault(entry.need.service, {})[entry.key] = entry
        if previous is None:
            self._tiers.setdefault(entry.need.service, Counter())[entry.need.tier] += 1
        return True

    def drop(self, key: int) -> QueueEntry | None:
        """Remove and return a request that was placed, refused or given up."""
        entry = self._entries.pop(key, None)
        if entry is not None:
            del self._services[entry.need.service][key]
            self._tiers[entry.need.service][entry.need.tier] -= 1
            self.bytes -= _estimated_bytes(entry)
        return entry

    def expire(self, now: float) -> list[int]:
        """Remove the requests that their gateways no longer renew, and return their keys."""
        expired_keys = [
            entry.key
            for entry in self._entries.values()
            if now - entry.renewed_at > ENTRY_EXPIRY_SECONDS
        ]
        for key in expired_keys:
            self.drop(key)
        return expired_keys

    def __iter__(self) -> Iterator[QueueEntry]:
        return iter(self._entries.values())


def _estimated_bytes(entry: QueueEntry) -> int:
    parts = _PART_BYTES * len(entry.need.parts)
    return _ENTRY_BYTES + parts + _EXCLUDED_BYTES * len(entry.excluded)
