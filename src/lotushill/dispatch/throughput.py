"""A rate of events that forgets the past."""

from __future__ import annotations

import math

_MEMORY_SECONDS = 5.0


class Throughput:
    """Events a second, as an exponentially decayed count."""

    def __init__(self, memory: float = _MEMORY_SECONDS) -> None:
        self._memory = memory
        self._count = 0.0
        self._at: float | None = None
        self._since = 0.0

    def add(self, now: float) -> None:
        """Count one event."""
        self._decay(now)
        self._count += 1.0

    def rate(self, now: float) -> float:
        """Return events a second, 0 until the first event."""
        if self._at is None:
            return 0.0
        self._decay(now)
        covered = 1.0 - math.exp(-max(now - self._since, 0.1) / self._memory)
        return self._count / (self._memory * covered)

    def _decay(self, now: float) -> None:
        if self._at is None:
            self._since = now
        elif now > self._at:
            self._count *= math.exp(-(now - self._at) / self._memory)
        self._at = now if self._at is None else max(now, self._at)
