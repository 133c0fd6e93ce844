"""Engines of a hall that served of late and were taken away. Pure, with the clock passed in.

The load that it answers: all reclaimable engines of a hall go at short notice while no others are
to be had, just before a burst. The order for them stands, so that no order shows the loss.
"""

from __future__ import annotations

from collections import deque

_SPAN_SECONDS = 20.0
"""Two starts of an engine and a wait between them; what is not back then is not replaced."""


class LostEngines:
    """The most engines that served in each hall of late, held against those that serve now."""

    def __init__(self) -> None:
        self._served: dict[str, deque[tuple[float, int]]] = {}
        """Falling numbers of engines, each with the last time at which so many served."""
        self._lost: dict[str, int] = {}

    def note(self, hall: str, serving: int, ordered: int | None, now: float) -> None:
        """Note how many engines of a hall serve and do not leave, and how many stand ordered.

        Engines that were given back are not lost: no more are than are missing of the order. None
        where what was lost cannot be ordered again, so that the order says nothing of it.
        """
        served = self._served.setdefault(hall, deque())
        while served and served[-1][1] <= serving:
            served.pop()
        served.append((now, serving))
        while served[0][0] <= now - _SPAN_SECONDS:
            served.popleft()
        most = served[0][1] if ordered is None else min(served[0][1], ordered)
        self._lost[hall] = max(0, most - serving)

    def count(self, hall: str) -> int:
        """Return how many engines of a hall are lost."""
        return self._lost.get(hall, 0)

    @property
    def total(self) -> int:
        """Return how many are lost in all halls."""
        return sum(self._lost.values())
