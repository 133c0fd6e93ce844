"""Timer for announcements that all gateways need (the Trickle algorithm, RFC 6206). Pure.

Load case: hundreds of gateways learn the same fact within milliseconds. If each sent it to all
others, one upstream that leaves would cost the square of their number in datagrams. With this timer
a few gateways announce it for all, and one that joins or was unreachable receives it soon after.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

MIN_INTERVAL_SECONDS = 0.1
"""First interval; short against the seconds for which a leaving upstream goes on serving."""
MAX_INTERVAL_SECONDS = 3.2
"""Longest interval. While nothing is new, all gateways together announce about once per interval,
for those that joined since."""
_REDUNDANCY_CONSTANT = 2
"""Consistent announcements in an interval that suppress the own one. With only one of them, a lost
datagram would leave a gateway without the fact for long."""


class TrickleTimer:
    """Fires once per interval unless others announced the same; intervals double up to a limit."""

    def __init__(self, rng: random.Random) -> None:
        """Create a stopped timer."""
        self._rng = rng
        self._interval = MIN_INTERVAL_SECONDS
        self._fires_at = math.inf
        self._interval_ends_at = math.inf
        self._consistent_count = 0

    @property
    def running(self) -> bool:
        """Whether there is anything to announce."""
        return self._interval_ends_at < math.inf

    @property
    def next_due(self) -> float:
        """Time at which to call `is_due` next, infinity for never."""
        return min(self._fires_at, self._interval_ends_at)

    def reset(self, now: float) -> None:
        """Restart with the shortest interval, since a fact is new here or to another gateway."""
        if self.running and self._interval == MIN_INTERVAL_SECONDS:
            return
        self._begin(MIN_INTERVAL_SECONDS, now)

    def stop(self) -> None:
        """Stop until the next `reset`."""
        self._fires_at = self._interval_ends_at = math.inf

    def note_consistent(self) -> None:
        """Record that another gateway announced all that this one would."""
        self._consistent_count += 1

    def is_due(self, now: float) -> bool:
        """Return whether to announce now; begin the next interval when the current one is over."""
        due = now >= self._fires_at and self._consistent_count < _REDUNDANCY_CONSTANT
        if now >= self._fires_at:
            self._fires_at = math.inf
        if now >= self._interval_ends_at:
            self._begin(min(MAX_INTERVAL_SECONDS, 2.0 * self._interval), now)
        return due

    def _begin(self, interval: float, now: float) -> None:
        self._interval = interval
        # The first half of an interval only receives (RFC 6206, listen-only period). Without it a
        # gateway whose interval began earlier would always announce before it has received the
        # announcements of others.
        self._fires_at = now + self._rng.uniform(0.5, 1.0) * interval
        self._interval_ends_at = now + interval
        self._consistent_count = 0
