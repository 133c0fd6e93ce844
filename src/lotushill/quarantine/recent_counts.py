"""Counts of recent occurrences by key, without side effects; the time is an argument."""

from __future__ import annotations

from collections import Counter
from typing import Generic
from typing import TypeVar

Key = TypeVar("Key")


class RecentCounts(Generic[Key]):
    """Counts occurrences over the last one to two windows, for a bounded number of keys."""

    def __init__(self, window: float, most: int) -> None:
        """Count over `window` seconds; more than `most` keys in one window are not counted."""
        self._window = window
        self._most = most
        self._counts: Counter[Key] = Counter()
        self._former: Counter[Key] = Counter()
        self._began = float("-inf")

    def note(self, key: Key, now: float) -> None:
        """Count one occurrence of a key."""
        self._turn(now)
        if key in self._counts or len(self._counts) < self._most:
            self._counts[key] += 1

    def count(self, key: Key, now: float) -> int:
        """Return the number of recent occurrences of a key."""
        self._turn(now)
        return self._counts[key] + self._former[key]

    def _turn(self, now: float) -> None:
        age = now - self._began
        if age < self._window:
            return
        self._former = self._counts if age < 2 * self._window else Counter()
        self._counts = Counter()
        self._began = now
