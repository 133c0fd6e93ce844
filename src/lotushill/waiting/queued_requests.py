"""The requests that wait at one gateway, bounded in number, bytes and time. Pure."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from lotushill.waiting.entry import EXPIRY_SECONDS

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lotushill.waiting.entry import QueueEntry

MAX_QUEUED_REQUESTS = 2000
"""Of one gateway: eight schedulers hold what a fleet is asked for in some ten seconds."""
MAX_QUEUED_BYTES = 4_000_000
_ENTRY_BYTES = 600
_PART_BYTES = 80
_EXCLUDED_BYTES = 100
"""What a request in line, each part of its prompt and each upstream excluded take of memory."""


class QueuedRequests:
    """Holds requests by their key, those of each service apart."""

    def __init__(
        self, max_requests: int = MAX_QUEUED_REQUESTS, max_bytes: int = MAX_QUEUED_BYTES
    ) -> None:
        self._most = max_requests
        self._most_bytes = max_bytes
        self._entries: dict[int, QueueEntry] = {}
        self._services: dict[str, dict[int, QueueEntry]] = {}
        self._tiers: dict[str, Counter[int]] = {}
        self.bytes = 0
        """Memory that the requests in line take, as reckoned."""
        self.overflows = 0
        """Requests that found the room full."""

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, key: int) -> QueueEntry | None:
        """Return a request that waits, None where none does."""
        return self._entries.get(key)

    def services(self) -> list[str]:
        """Return the services for which requests wait."""
        return [name for name, held in self._services.items() if held]

    def for_service(self, service: str) -> list[QueueEntry]:
        """Return all that waits for a service, in no order."""
        return list(self._services.get(service, {}).values())

    def count(self, service: str) -> int:
        """Return how many wait for a service."""
        return len(self._services.get(service, {}))

    def tiers(self, service: str) -> dict[int, int]:
        """Return how many of each tier wait for a service."""
        counts = self._tiers.get(service, Counter())
        return {tier: count for tier, count in counts.items() if count}

    def add(self, entry: QueueEntry) -> bool:
        """Take in a request, or its renewal; return False where there is no more room."""
        former = self._entries.get(entry.key)
        taken = _bytes(entry) - (_bytes(former) if former else 0)
        if former is None and len(self._entries) >= self._most:
            self.overflows += 1
            return False
        if self.bytes + taken > self._most_bytes:
            self.overflows += 1
            return False
        self.bytes += taken
        self._entries[entry.key] = entry
        self._services.setdefault(entry.need.service, {})[entry.key] = entry
        if former is None:
            self._tiers.setdefault(entry.need.service, Counter())[entry.need.tier] += 1
        return True

    def drop(self, key: int) -> QueueEntry | None:
        """Take a request out of line, since it was placed, refused or given up."""
        entry = self._entries.pop(key, None)
        if entry is not None:
            del self._services[entry.need.service][key]
            self._tiers[entry.need.service][entry.need.tier] -= 1
            self.bytes -= _bytes(entry)
        return entry

    def expire(self, now: float) -> list[int]:
        """Take out what its gateway no longer asks for, and return the keys of these."""
        gone = [
            entry.key for entry in self._entries.values() if now - entry.renewed_at > EXPIRY_SECONDS
        ]
        for key in gone:
            self.drop(key)
        return gone

    def __iter__(self) -> Iterator[QueueEntry]:
        return iter(self._entries.values())


def _bytes(entry: QueueEntry) -> int:
    parts = _PART_BYTES * len(entry.need.parts)
    return _ENTRY_BYTES + parts + _EXCLUDED_BYTES * len(entry.excluded)
