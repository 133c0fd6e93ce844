"""The pause between a stream's events while nothing is read beside it, by how many requests run."""

from __future__ import annotations

_FIRST_SECONDS = 0.03
"""Taken for usual before the first event was seen; engines make an event in 0.02 to 0.05 s."""
_KEPT = 0.998
"""What each earlier pause counts once another came: some 500 of them count."""
_LEAST_SECONDS = 0.001
"""A step of an engine takes longer; events that came in one read tell nothing of its pause."""
_LEAST_VARIANCE = 4.0
"""Of the number of requests, below which the pauses say nothing of its effect."""


class BaselinePause:
    """A line fitted to pauses over running requests, earlier ones counting less and less."""

    def __init__(self) -> None:
        self._weight = 0.0
        self._running = 0.0
        self._seconds = _FIRST_SECONDS
        self._variance = 0.0
        self._covariance = 0.0

    def note(self, running: int, seconds: float) -> None:
        """Note one pause.

        Without a lower bound the usual pause could become 0, by which others are divided.
        """
        seconds = max(_LEAST_SECONDS, seconds)
        self._weight = _KEPT * self._weight + 1.0
        share = 1.0 / self._weight
        more = running - self._running
        longer = seconds - self._seconds
        self._running += share * more
        self._seconds += share * longer
        kept = 1.0 - share
        self._variance = kept * (self._variance + share * more * more)
        self._covariance = kept * (self._covariance + share * more * longer)

    def at(self, running: int) -> float:
        """Return the usual pause, in seconds, where so many requests run."""
        if self._variance < _LEAST_VARIANCE:
            return self._seconds
        slope = max(0.0, self._covariance / self._variance)
        return max(0.5 * self._seconds, self._seconds + slope * (running - self._running))

    def share(self, running: int) -> float:
        """Return how many times longer the pause is than on average, where so many run."""
        return self.at(running) / self._seconds
