"""Estimates the true time from many clocks, some of which may be wrong by seconds."""

from __future__ import annotations

from statistics import median_low
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

_SAMPLE_SECONDS = 15.0
"""Seconds for which a sample of another host's clock is used."""


class TrueTime:
    """The time in seconds since 1970, as an offset to the monotonic clock.

    Steps of a wall clock thus have no effect. The offset starts as that of the local clock and is
    then received from a gateway that compares the clocks of all gateways. Its error is that of the
    median clock plus some milliseconds of network delay.
    """

    def __init__(self, wall: Callable[[], float], clock: Callable[[], float]) -> None:
        """Start from the local clocks: `wall` may step, `clock` is monotonic."""
        self._wall = wall
        self._clock = clock
        self._offset = wall() - clock()
        self._samples: dict[str, tuple[float, float]] = {}

    def now(self) -> float:
        """Return the best estimate of the true time."""
        return self._clock() + self._offset

    def wall(self) -> float:
        """Return the wall-clock time of the local host."""
        return self._wall()

    def set_time(self, now: float) -> None:
        """Adopt the time that another gateway computed from many clocks."""
        self._offset = now - self._clock()

    def add_sample(self, member: str, wall: float) -> None:
        """Add a sample of another host's clock, and set the offset to the median of all."""
        clock = self._clock()
        self._samples[member] = (wall - clock, clock)
        fresh = [offset for offset, at in self._samples.values() if clock - at < _SAMPLE_SECONDS]
        self._offset = median_low([*fresh, self._wall() - clock])
