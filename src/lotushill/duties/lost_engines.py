"""Tracks engines of a hall that served recently and were taken away; the time is an argument.

The target load: all reclaimable engines of a hall are taken away at short notice while no others
are available, just before a burst. The order for them remains unchanged, so it does not show the
loss.
"""

from __future__ import annotations

from collections import deque

_TRACKING_SECONDS = 20.0
"""Seconds for which lost engines are tracked: two starts of an engine and a wait between them.

Engines that are not back by then are not replaced.
"""


class LostEngines:
    """Compares the recent maximum of serving engines in each hall with those that serve now."""

    def __init__(self) -> None:
        self._served: dict[str, deque[tuple[float, int]]] = {}
        """Decreasing numbers of engines, each with the last time at which that many served."""
        self._lost: dict[str, int] = {}

    def record(self, hall: str, serving: int, ordered: int | None, now: float) -> None:
        """Record how many engines of a hall serve and do not leave, and how many are ordered.

        Engines that were returned are not lost, so at most the engines missing from the order count
        as lost. `ordered` is None if lost engines cannot be ordered again, in which case the order
        does not limit the loss.
        """
        served = self._served.setdefault(hall, deque())
        while served and served[-1][1] <= serving:
            served.pop()
        served.append((now, serving))
        while served[0][0] <= now - _TRACKING_SECONDS:
            served.popleft()
        expected = served[0][1] if ordered is None else min(served[0][1], ordered)
        self._lost[hall] = max(0, expected - serving)

    def count(self, hall: str) -> int:
        """Return the number of lost engines of a hall."""
        return self._lost.get(hall, 0)

    @property
    def total(self) -> int:
        """Return the number of lost engines in all halls."""
        return sum(self._lost.values())
