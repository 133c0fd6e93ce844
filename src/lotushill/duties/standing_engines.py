"""How many reclaimable engines of a hall serve, told from orders and starts. Pure.

An engine's entry does not tell of which kind it is. Ordinary ones serve a start after their order
and are not taken away, so that all others that serve are reclaimable.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

_SLACK_SECONDS = 1.5
"""After its start an engine's entry comes with its next heartbeat, and is read a little later."""


@dataclass(frozen=True)
class Standing:
    """Engines of one hall."""

    ordinary: int
    """Those that stand ordered."""
    serving: int
    """Those of both kinds that serve and do not leave."""


class StandingEngines:
    """Tells the reclaimable engines of each hall from the ordinary ones."""

    def __init__(self) -> None:
        self._ordinary: dict[str, deque[tuple[float, int]]] = {}
        """Rising numbers of ordinary engines, each with the last time at which so few stood
        ordered."""
        self._reclaimable: dict[str, int] = {}

    def note(
        self, hall: str, engines: Standing, boot_seconds: float, dry: bool, now: float
    ) -> None:
        """Note the engines of a hall; where it is `dry` no reclaimable ones are to be had."""
        ordinary, serving = engines.ordinary, engines.serving
        orders = self._ordinary.setdefault(hall, deque())
        while orders and orders[-1][1] >= ordinary:
            orders.pop()
        orders.append((now, ordinary))
        while orders[0][0] <= now - boot_seconds - _SLACK_SECONDS:
            orders.popleft()
        others = max(0, serving - orders[0][1])
        # Where none are to be had, what comes is ordinary and only not expected yet.
        most = self._reclaimable.get(hall, others) if dry else others
        self._reclaimable[hall] = min(most, others)

    def reclaimable(self, hall: str) -> int:
        """Return how many reclaimable engines of a hall serve, too many rather than too few."""
        return self._reclaimable.get(hall, 0)
