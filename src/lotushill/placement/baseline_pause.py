"""Models the pause between a stream's events without concurrent prefill.

The pause depends on the number of running requests.
"""

from __future__ import annotations

_INITIAL_SECONDS = 0.03
"""Typical pause assumed before the first event; engines produce an event in 0.02 to 0.05 s."""
_DECAY = 0.998
"""Factor by which the weight of earlier pauses decays with each new one: about 500 count."""
_MIN_SECONDS = 0.001
"""Minimum pause. A step of an engine takes longer; events that arrived in one read of the socket
say nothing about its pause."""
_MIN_VARIANCE = 4.0
"""Variance of the number of requests below which the pauses say nothing about its effect."""


class BaselinePause:
    """Linear regression of pauses on the number of running requests, with decaying weights."""

    def __init__(self) -> None:
        self._weight = 0.0
        self._running = 0.0
        self._seconds = _INITIAL_SECONDS
        self._variance = 0.0
        self._covariance = 0.0

    def note(self, running: int, seconds: float) -> None:
        """Record one pause.

        Without a lower bound the typical pause could become 0, by which others are divided.
        """
        seconds = max(_MIN_SECONDS, seconds)
        self._weight = _DECAY * self._weight + 1.0
        fraction = 1.0 / self._weight
        running_difference = running - self._running
        seconds_difference = seconds - self._seconds
        self._running += fraction * running_difference
        self._seconds += fraction * seconds_difference
        remaining = 1.0 - fraction
        self._variance = remaining * (
            self._variance + fraction * running_difference * running_difference
        )
        self._covariance = remaining * (
            self._covariance + fraction * running_difference * seconds_difference
        )

    def at(self, running: int) -> float:
        """Return the typical pause, in seconds, with `running` requests."""
        if self._variance < _MIN_VARIANCE:
            return self._seconds
        slope = max(0.0, self._covariance / self._variance)
        return max(0.5 * self._seconds, self._seconds + slope * (running - self._running))

    def relative_to_mean(self, running: int) -> float:
        """Return the ratio of the pause with `running` requests to the average pause."""
        return self.at(running) / self._seconds
