"""Measures the rate at which queued requests are placed, to predict the wait of one more. Pure."""

from __future__ import annotations

import math
from collections import deque

_WINDOW_SECONDS = 1.0
_MIN_RATE = 1.0
"""Lower bound of the rate in requests per second: the rate assumed after a second without any."""


class ReleaseRate:
    """Counts the requests placed within the last second, by tier."""

    def __init__(self) -> None:
        self._placed: dict[int, deque[float]] = {}
        self._queried_since = -math.inf
        self._last_queried_at = -math.inf

    def note(self, tier: int, now: float) -> None:
        """Note that a request of a tier was placed."""
        self._placed.setdefault(tier, deque()).append(now)

    def is_known(self, now: float) -> bool:
        """Return whether the queue has existed for a second, so that its rate is known."""
        if now - self._last_queried_at > _WINDOW_SECONDS:
            self._queried_since = now
        self._last_queried_at = now
        return now - self._queried_since >= _WINDOW_SECONDS

    def expected_wait(self, tier: int, more_urgent: int, same_tier: int, now: float) -> float:
        """Return the expected wait in seconds of a request of `tier`.

        The `more_urgent` requests in the queue are placed at the rate of all tiers, the `same_tier`
        requests of its own tier at the rate that is left.
        """
        return more_urgent / self._rate(0, now) + same_tier / self._rate(tier, now)

    def _rate(self, tier: int, now: float) -> float:
        """Return how many requests of a tier and of less urgent ones are placed per second."""
        count = 0
        for other_tier, times in self._placed.items():
            while times and now - times[0] > _WINDOW_SECONDS:
                times.popleft()
            if other_tier >= tier:
                count += len(times)
        return max(_MIN_RATE, count / _WINDOW_SECONDS)
