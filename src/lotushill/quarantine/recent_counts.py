"""How often something came of late, by key. Pure."""

from __future__ import annotations

from collections import Counter
from typing import Generic
from typing import TypeVar

Key = TypeVar("Key")


class RecentCounts(Generic[Key]):
    """Counts over the last one to two windows, of a bounded number of keys."""

    def __init__(self, window: float, most: int) -> None:
        """Count over `window` seconds; keys beyond `most` in one are left out."""
        self._window = window
        self._most = most
        self._counts: Counter[Key] = Counter()
        self._former: Counter[Key] = Counter()
        self._began = float("-inf")

    def note(self, key: Key, now: float) -> None:
        """Count one."""
        self._turn(now)
        if key in self._counts or len(self._counts) < self._most:
            self._counts[key] += 1

    def count(self, key: Key, now: float) -> int:
        """Return how many came of late."""
        self._turn(now)
        return self._counts[key] + self._former[key]

    def _turn(self, now: float) -> None:
        age = now - self._began
        if age < self._window:
            return
        self._former = self._counts if age < 2 * self._window else Counter()
        self._counts = Counter()
        self._began = now
