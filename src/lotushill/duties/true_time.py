"""True time from many clocks, of which some may be wrong by seconds."""

from __future__ import annotations

from statistics import median_low
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

_KEPT_SECONDS = 15.0
"""A sample of another host's clock counts so long."""


class TrueTime:
    """Seconds since 1970: an offset to the steady clock, so that steps of a clock do not show.

    The offset begins as that of the own clock and is then told by a gateway that compares the
    clocks of all; its error is that of the median clock and some milliseconds of travel.
    """

    def __init__(self, wall: Callable[[], float], clock: Callable[[], float]) -> None:
        """Start from the own clocks: `wall` may step, `clock` never does."""
        self._wall = wall
        self._clock = clock
        self._offset = wall() - clock()
        self._samples: dict[str, tuple[float, float]] = {}

    def now(self) -> float:
        """Return the best estimate."""
        return self._clock() + self._offset

    def wall(self) -> float:
        """Return what the own host's clock shows."""
        return self._wall()

    def set_time(self, now: float) -> None:
        """Take the time that another gateway worked out from many clocks."""
        self._offset = now - self._clock()

    def add_sample(self, member: str, wall: float) -> None:
        """Take in what another host's clock shows, and follow the median of all."""
        clock = self._clock()
        self._samples[member] = (wall - clock, clock)
        fresh = [offset for offset, at in self._samples.values() if clock - at < _KEPT_SECONDS]
        self._offset = median_low([*fresh, self._wall() - clock])
