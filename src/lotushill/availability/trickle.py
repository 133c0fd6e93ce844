"""When a gateway tells what all are to know (the Trickle algorithm, RFC 6206). Pure.

The load that it answers: hundreds of gateways learn the same fact within milliseconds. If each told
all others, one upstream that leaves would cost the square of their number in datagrams. With this a
few speak for all, and whoever joins or was cut off is told soon after.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

MIN_INTERVAL_SECONDS = 0.1
"""The first interval; an upstream that says that it leaves serves on for seconds."""
MAX_INTERVAL_SECONDS = 3.2
"""Once nothing is new, all gateways together tell once in so long, for those that joined since."""
_ENOUGH = 2
"""Heard so often in an interval, nothing more is said in it: with one telling alone, a datagram
that is lost leaves a gateway untold for long."""


class TrickleTimer:
    """Tells once in an interval, unless others were heard to tell the same; they double."""

    def __init__(self, rng: random.Random) -> None:
        """Make a timer that is stopped."""
        self._rng = rng
        self._interval = MIN_INTERVAL_SECONDS
        self._tells = math.inf
        self._ends = math.inf
        self._heard = 0

    @property
    def running(self) -> bool:
        """Return whether there is anything to tell."""
        return self._ends < math.inf

    @property
    def next_due(self) -> float:
        """Return when `is_due` is to be asked, infinity for never."""
        return min(self._tells, self._ends)

    def reset(self, now: float) -> None:
        """Begin with the shortest interval, since something is new here or to another one."""
        if self.running and self._interval == MIN_INTERVAL_SECONDS:
            return
        self._begin(MIN_INTERVAL_SECONDS, now)

    def stop(self) -> None:
        """Tell no more."""
        self._tells = self._ends = math.inf

    def note_consistent(self) -> None:
        """Note that another one has told all that would be told here."""
        self._heard += 1

    def is_due(self, now: float) -> bool:
        """Return whether to tell now, and go on to the next interval once one is over."""
        due = now >= self._tells and self._heard < _ENOUGH
        if now >= self._tells:
            self._tells = math.inf
        if now >= self._ends:
            self._begin(min(MAX_INTERVAL_SECONDS, 2.0 * self._interval), now)
        return due

    def _begin(self, interval: float, now: float) -> None:
        self._interval = interval
        # The first half is for listening: without it one whose interval began earlier would
        # always speak before it has heard the others.
        self._tells = now + self._rng.uniform(0.5, 1.0) * interval
        self._ends = now + interval
        self._heard = 0
