"""Counts of recent occurrences by key, without side effects; the time is an argument."""

from __future__ import annotations

from collections import Counter
from typing import Generic
from typing import TypeVar

Key = TypeVar("Key")


class RecentCounts(Generic[Key]):
    """Counts occurrences over the last one to two windows, for a bounded number of keys."""

    def __init__(self, window_seconds: float, max_keys: int) -> None:
        """Count over `window_seconds`; keys beyond `max_keys` in one window are not counted."""
        self._window_seconds = window_seconds
        self._max_keys = max_keys
        self._counts: Counter[Key] = Counter()
        self._previous_counts: Counter[Key] = Counter()
        self._window_start = float("-inf")

    def add(self, key: Key, now: float) -> None:
        """Count one occurrence of a key."""
        self._advance(now)
        if key in self._counts or len(self._counts) < self._max_keys:
            self._counts[key] += 1

    def count(self, key: Key, now: float) -> int:
        """Return the number of recent occurrences of a key."""
        self._advance(now)
        return self._counts[key] + self._previous_counts[key]

    def _advance(self, now: float) -> None:
        age = now - self._window_start
        if age < self._window_seconds:
            return
        self._previous_counts = self._counts if age < 2 * self._window_seconds else Counter()
        self._counts = Counter()
        self._window_start = now
