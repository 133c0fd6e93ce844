"""Derives from orders and start times how many reclaimable engines of a hall serve.

The entry of an engine does not contain its kind. Ordinary engines serve one start after their order
and are not taken away, so all other serving engines are reclaimable. The module has no side
effects.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

_ENTRY_DELAY_SECONDS = 1.5
"""Extra seconds after the start of an engine until its entry is known.

The entry is written with the next heartbeat of the engine and read a little later.
"""


@dataclass(frozen=True)
class EngineCounts:
    """Numbers of engines of one hall."""

    ordinary: int
    """Number of ordinary engines that are ordered."""
    serving: int
    """Number of engines of both kinds that serve and do not leave."""


class ReclaimableEngines:
    """Distinguishes the reclaimable engines of each hall from the ordinary ones."""

    def __init__(self) -> None:
        self._ordinary: dict[str, deque[tuple[float, int]]] = {}
        """Increasing numbers of ordinary engines, each with the last time that few were ordered."""
        self._reclaimable: dict[str, int] = {}

    def record(
        self, hall: str, counts: EngineCounts, boot_seconds: float, is_short: bool, now: float
    ) -> None:
        """Record the engines of a hall; if `is_short`, no reclaimable ones are available."""
        ordinary, serving = counts.ordinary, counts.serving
        orders = self._ordinary.setdefault(hall, deque())
        while orders and orders[-1][1] >= ordinary:
            orders.pop()
        orders.append((now, ordinary))
        while orders[0][0] <= now - boot_seconds - _ENTRY_DELAY_SECONDS:
            orders.popleft()
        others = max(0, serving - orders[0][1])
        # In a shortage, new engines are ordinary ones that serve earlier than expected.
        upper_bound = self._reclaimable.get(hall, others) if is_short else others
        self._reclaimable[hall] = min(upper_bound, others)

    def count(self, hall: str) -> int:
        """Return an upper estimate of the reclaimable engines that serve in a hall."""
        return self._reclaimable.get(hall, 0)
