"""How fast requests in line are placed, to tell how long one more would wait. Pure."""

from __future__ import annotations

import math
from collections import deque

_SPAN_SECONDS = 1.0
_LEAST_RATE = 1.0
"""Placed a second: what is known after a second without any."""


class ReleaseRate:
    """Counts what was placed within the last second, by tier."""

    def __init__(self) -> None:
        self._placed: dict[int, deque[float]] = {}
        self._asked_since = -math.inf
        self._asked_at = -math.inf

    def note(self, tier: int, now: float) -> None:
        """Note that a request of a tier was placed."""
        self._placed.setdefault(tier, deque()).append(now)

    def is_known(self, now: float) -> bool:
        """Return whether the line has been there for a second, so that its pace is known."""
        if now - self._asked_at > _SPAN_SECONDS:
            self._asked_since = now
        self._asked_at = now
        return now - self._asked_since >= _SPAN_SECONDS

    def expected_wait(self, tier: int, more_urgent: int, before: int, now: float) -> float:
        """Return how long one of a tier waits behind so many, in seconds.

        `more_urgent` ones take what all tiers get, the `before` of its own tier what is left.
        """
        return more_urgent / self._rate(0, now) + before / self._rate(tier, now)

    def _rate(self, tier: int, now: float) -> float:
        """Return how many of a tier and of less urgent ones are placed in a second."""
        count = 0
        for other, times in self._placed.items():
            while times and now - times[0] > _SPAN_SECONDS:
                times.popleft()
            if other >= tier:
                count += len(times)
        return max(_LEAST_RATE, count / _SPAN_SECONDS)
